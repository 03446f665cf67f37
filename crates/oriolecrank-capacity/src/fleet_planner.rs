//! Decides which upstreams start and stop.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, UpstreamPhase, UpstreamRole};
use oriolecrank_schema::document::{FailureDomainId, ServiceId, UpstreamId};

use crate::{
    CapabilityEstimator, DemandSettings, DemandSummary, Freshness, ShapedDemand, UpstreamView,
};

/// Doublings of the backoff before it stays at its bound.
const MAX_BACKOFF_STEPS: u32 = 16;

/// Settings of [`FleetPlanner`].
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// Time from the order to start an upstream until it works.
    pub start_duration: Duration,
    /// Share of the ability that the forecast demand may use. It is lower than the bound for roles,
    /// because roles never fit the mix of the demand exactly.
    pub target_utilisation: f64,
    /// An upstream stops only if the demand would use less than this share without it.
    pub stop_utilisation: f64,
    /// An upstream stops only after it was superfluous for this long.
    pub stop_after: Duration,
    /// Fewest upstreams of a service while any demand is known.
    pub minimum: usize,
    /// Largest number of starts of one service in one round.
    pub starts_per_round: usize,
    /// Wait after the first crashed start; doubles with each further one.
    pub backoff: Duration,
    /// Longest wait after crashed starts.
    pub longest_backoff: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            start_duration: Duration::from_secs(150),
            target_utilisation: 0.7,
            stop_utilisation: 0.5,
            stop_after: Duration::from_mins(10),
            minimum: 2,
            starts_per_round: 4,
            backoff: Duration::from_secs(30),
            longest_backoff: Duration::from_mins(15),
        }
    }
}

/// One service and everything that bounds its upstreams.
#[derive(Debug, Clone, Copy)]
pub struct FleetInput<'a> {
    /// Service to plan.
    pub service: &'a ServiceId,
    /// Upstreams of all services.
    pub upstreams: &'a [UpstreamView],
    /// Failure domain of each committed start that has not announced itself.
    pub starting: &'a [(ServiceId, FailureDomainId)],
    /// Upstreams with a committed stop.
    pub stopping: &'a [UpstreamId],
    /// Failure domains in which upstreams may start.
    pub domains: &'a [FailureDomainId],
    /// Upstreams that must not stop, for example the last hot copy of a model.
    pub protected: &'a [UpstreamId],
    /// Demand of all classes.
    pub demand: DemandSummary,
    /// Demand of the urgent class.
    pub urgent: ShapedDemand,
    /// Whether the demand may be acted on.
    pub freshness: Freshness,
    /// Settings the demand was estimated with.
    pub demand_settings: &'a DemandSettings,
    /// Measured abilities.
    pub capability: &'a CapabilityEstimator,
    /// Largest number of upstreams of this service.
    pub service_budget: Option<usize>,
    /// Largest number of upstreams of all services.
    pub total_budget: Option<usize>,
}

/// An upstream to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Service of the new upstream.
    pub service: ServiceId,
    /// Failure domain to start it in.
    pub failure_domain: FailureDomainId,
    /// Why it is started, for the audit trail.
    pub reason: String,
}

/// An upstream to drain and stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopRequest {
    /// Upstream to stop.
    pub upstream: UpstreamId,
    /// Why it is stopped, for the audit trail.
    pub reason: String,
}

impl From<StartRequest> for Command {
    fn from(request: StartRequest) -> Self {
        Self::PlaceStart {
            service: request.service,
            failure_domain: request.failure_domain,
            reason: request.reason,
        }
    }
}

impl From<StopRequest> for Command {
    fn from(request: StopRequest) -> Self {
        Self::PlaceStop {
            upstream: request.upstream,
            reason: request.reason,
        }
    }
}

/// Result of one planning round.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FleetDecision {
    /// Upstreams to start.
    pub starts: Vec<StartRequest>,
    /// Upstreams to stop.
    pub stops: Vec<StopRequest>,
}

#[derive(Debug, Clone, Copy)]
struct StartBackoff {
    crashes: u32,
    until: TimePoint,
}

/// Plans starts and stops and remembers crashed starts.
#[derive(Debug, Clone, Default)]
pub struct FleetPlanner {
    settings: FleetSettings,
    backoffs: IndexMap<(ServiceId, FailureDomainId), StartBackoff>,
    /// Since when each service has a superfluous upstream.
    superfluous_since: IndexMap<ServiceId, TimePoint>,
}

impl FleetPlanner {
    /// A planner without history.
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            settings,
            backoffs: IndexMap::new(),
            superfluous_since: IndexMap::new(),
        }
    }

    /// Settings in force.
    pub const fn settings(&self) -> &FleetSettings {
        &self.settings
    }

    /// Records that an upstream crashed while it started.
    pub fn record_start_crash(
        &mut self,
        service: &ServiceId,
        domain: &FailureDomainId,
        now: TimePoint,
    ) {
        let key = (service.clone(), domain.clone());
        let entry = self.backoffs.entry(key).or_insert(StartBackoff {
            crashes: 0,
            until: now,
        });
        let doublings = entry.crashes.min(MAX_BACKOFF_STEPS);
        let wait = self.settings.backoff * 2_u32.pow(doublings);
        entry.crashes += 1;
        entry.until = now + wait.min(self.settings.longest_backoff);
    }

    /// Records that an upstream started and works.
    pub fn record_start_success(&mut self, service: &ServiceId, domain: &FailureDomainId) {
        self.backoffs
            .shift_remove(&(service.clone(), domain.clone()));
    }

    /// Plans the starts and stops of one service; empty while reports are stale.
    pub fn plan(&mut self, input: &FleetInput<'_>, now: TimePoint) -> FleetDecision {
        if input.freshness == Freshness::Stale {
            self.superfluous_since.shift_remove(input.service);
            return FleetDecision::default();
        }
        let running = running_upstreams(input);
        let starting = input
            .starting
            .iter()
            .filter(|(service, _)| service == input.service)
            .count();
        let present = running.len() + starting;
        let needed = self.needed(input);
        if present < needed {
            self.superfluous_since.shift_remove(input.service);
            let starts = self.starts(input, &running, needed - present, now);
            return FleetDecision {
                starts,
                stops: Vec::new(),
            };
        }
        let stop = self.stop(input, &running, starting, now);
        FleetDecision {
            starts: Vec::new(),
            stops: stop.into_iter().collect(),
        }
    }

    /// Number of upstreams for the demand at the time a start ordered now would work.
    fn needed(&self, input: &FleetInput<'_>) -> usize {
        let ahead = self.settings.start_duration;
        let forecast = input.demand.forecast(ahead, input.demand_settings);
        let largest = engines_for(input, forecast).max(engines_for(input, input.demand.short));
        let by_demand = largest / self.settings.target_utilisation;
        let by_urgent = engines_for(input, input.urgent);
        let domains = input.domains.len().max(1) as f64;
        // With the upstreams spread evenly, the loss of one domain leaves this share.
        let left = if domains > 1.0 {
            (domains - 1.0) / domains
        } else {
            1.0
        };
        let needed = by_demand.max(by_urgent / left).ceil() as usize;
        needed.max(self.settings.minimum)
    }

    fn starts(
        &self,
        input: &FleetInput<'_>,
        running: &[&UpstreamView],
        missing: usize,
        now: TimePoint,
    ) -> Vec<StartRequest> {
        let mut counts: IndexMap<&FailureDomainId, usize> = input
            .domains
            .iter()
            .filter(|domain| !self.backs_off(input.service, domain, now))
            .map(|domain| (domain, 0))
            .collect();
        let starting = input.starting.iter();
        let starting = starting.filter(|(service, _)| service == input.service);
        let domains = running.iter().map(|view| &view.failure_domain);
        for domain in domains.chain(starting.map(|(_, domain)| domain)) {
            if let Some(count) = counts.get_mut(domain) {
                *count += 1;
            }
        }
        let allowed = missing
            .min(self.settings.starts_per_round)
            .min(remaining_budget(input));
        let mut starts = Vec::new();
        while starts.len() < allowed {
            let Some((domain, count)) = counts.iter_mut().min_by_key(|(_, count)| **count) else {
                break;
            };
            *count += 1;
            starts.push(StartRequest {
                service: input.service.clone(),
                failure_domain: (*domain).clone(),
                reason: format!("{missing} upstreams are missing for the forecast demand"),
            });
        }
        starts
    }

    fn backs_off(&self, service: &ServiceId, domain: &FailureDomainId, now: TimePoint) -> bool {
        self.backoffs
            .get(&(service.clone(), domain.clone()))
            .is_some_and(|backoff| now < backoff.until)
    }

    fn stop(
        &mut self,
        input: &FleetInput<'_>,
        running: &[&UpstreamView],
        starting: usize,
        now: TimePoint,
    ) -> Option<StopRequest> {
        let left = running.len().saturating_sub(1);
        let is_superfluous = starting == 0
            && left >= self.settings.minimum
            && left >= self.needed(input)
            && self.would_suffice(input, left);
        if !is_superfluous {
            self.superfluous_since.shift_remove(input.service);
            return None;
        }
        let since = *self
            .superfluous_since
            .entry(input.service.clone())
            .or_insert(now);
        if now.since(since) < self.settings.stop_after {
            return None;
        }
        let view = first_to_drain(input, running)?;
        self.superfluous_since.shift_remove(input.service);
        Some(StopRequest {
            upstream: view.upstream.clone(),
            reason: format!("{left} upstreams suffice for the demand"),
        })
    }

    /// Whether `count` upstreams are enough on both time scales.
    fn would_suffice(&self, input: &FleetInput<'_>, count: usize) -> bool {
        let bound = count as f64 * self.settings.stop_utilisation;
        engines_for(input, input.demand.short) <= bound
            && engines_for(input, input.demand.long) <= bound
    }
}

/// Upstreams of the service that work, or will after a change.
fn running_upstreams<'a>(input: &FleetInput<'a>) -> Vec<&'a UpstreamView> {
    input
        .upstreams
        .iter()
        .filter(|view| view.service == *input.service)
        .filter(|view| !matches!(view.phase, UpstreamPhase::Leaving | UpstreamPhase::Suspect))
        .filter(|view| !input.stopping.contains(&view.upstream))
        .collect()
}

/// Number of fully used engines for a demand, with roles that fit it.
fn engines_for(input: &FleetInput<'_>, demand: ShapedDemand) -> f64 {
    let engines = input.capability.engines_for(demand);
    engines.prefill + engines.decode
}

/// Number of upstreams that may still start.
fn remaining_budget(input: &FleetInput<'_>) -> usize {
    let starting = input.starting.iter().map(|(service, _)| service);
    let services = input.upstreams.iter().map(|view| &view.service);
    let (mut total, mut own) = (0_usize, 0_usize);
    for service in services.chain(starting) {
        total += 1;
        own += usize::from(service == input.service);
    }
    let left = |budget: Option<usize>, used: usize| {
        budget.map_or(usize::MAX, |budget| budget.saturating_sub(used))
    };
    left(input.service_budget, own).min(left(input.total_budget, total))
}

/// The upstream whose loss matters least: one of the fullest failure domain, there the slowest, and
/// never the last one that is set up for a kind of work.
fn first_to_drain<'a>(
    input: &FleetInput<'_>,
    running: &[&'a UpstreamView],
) -> Option<&'a UpstreamView> {
    let in_domain = |domain: &FailureDomainId| {
        let same = running.iter().filter(|view| view.failure_domain == *domain);
        same.count()
    };
    let speed = |view: &UpstreamView| {
        let ability = input.capability.ability(&view.upstream, view.role);
        ability.prefill.as_f64() + ability.decode.as_f64()
    };
    running
        .iter()
        .copied()
        .filter(|view| view.is_ready())
        .filter(|view| !input.protected.contains(&view.upstream))
        .filter(|view| !is_last_capable(view, running))
        .min_by(|one, other| {
            let fuller = in_domain(&other.failure_domain).cmp(&in_domain(&one.failure_domain));
            fuller
                .then_with(|| speed(one).total_cmp(&speed(other)))
                .then_with(|| one.upstream.cmp(&other.upstream))
        })
}

/// Whether no other ready upstream is set up for a kind of work that `view` does.
fn is_last_capable(view: &UpstreamView, running: &[&UpstreamView]) -> bool {
    let others = || {
        running
            .iter()
            .filter(|other| other.is_ready() && other.upstream != view.upstream)
    };
    let does_prefill = |role| matches!(role, UpstreamRole::Prefill | UpstreamRole::Mixed);
    let does_decode = |role| matches!(role, UpstreamRole::Decode | UpstreamRole::Mixed);
    match view.role {
        UpstreamRole::Plain => others().next().is_none(),
        role => {
            does_prefill(role) && !others().any(|other| does_prefill(other.role))
                || does_decode(role) && !others().any(|other| does_decode(other.role))
        }
    }
}
