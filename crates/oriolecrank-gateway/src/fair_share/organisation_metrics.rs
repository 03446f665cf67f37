//! How each organisation fares, by route.

use oriolecrank_routing::OrganisationName;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrganisationOutcome {
    /// The answer has begun in the time in which its route expects it.
    OnTime,
    /// The answer has begun later.
    Late,
    /// Refused because its flow exceeds its share of overloaded engines.
    OverShare,
    /// Refused because no upstream can answer before the deadline.
    Full,
    /// Refused for another reason.
    OtherRefusal,
    /// Failed, or the deadline has passed.
    Failed,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrganisationLabels {
    organisation: String,
    route: String,
    outcome: &'static str,
}

/// Requests by organisation, route and outcome; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct OrganisationMetrics {
    requests: Family<OrganisationLabels, Counter>,
}

impl OrganisationMetrics {
    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Requests of each organisation, by route and outcome";
        registry.register("organisation_requests", help, self.requests.clone());
    }

    /// Counts a request; without an organisation it has no effect.
    pub(crate) fn count(
        &self,
        organisation: Option<&OrganisationName>,
        route: &str,
        outcome: OrganisationOutcome,
    ) {
        let Some(organisation) = organisation else {
            return;
        };
        let outcome = match outcome {
            OrganisationOutcome::OnTime => "on_time",
            OrganisationOutcome::Late => "late",
            OrganisationOutcome::OverShare => "over_share",
            OrganisationOutcome::Full => "full",
            OrganisationOutcome::OtherRefusal => "other_refusal",
            OrganisationOutcome::Failed => "failed",
        };
        let labels = OrganisationLabels {
            organisation: organisation.as_str().to_owned(),
            route: route.to_owned(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }
}
