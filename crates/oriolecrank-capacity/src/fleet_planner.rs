//! Decides which upstreams start and stop.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, UpstreamPhase, UpstreamRole};
use oriolecrank_schema::document::{FailureDomainId, ServiceId, UpstreamId};

use crate::{
    CapabilityEstimator, DemandSettings, DemandSummary, Freshness, ShapedDemand, UpstreamView,
};

/// Largest exponent of the backoff, so that the doubling does not overflow.
const MAX_BACKOFF_STEPS: u32 = 16;

/// Settings of [`FleetPlanner`].
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// Time from the start order until the upstream serves requests.
    pub start_duration: Duration,
    /// Share of the throughput that the forecast demand may use. Lower than the mean of the role
    /// planner's target utilisations, because the roles never match the mix of the demand exactly.
    pub target_utilisation: f64,
    /// An upstream is stopped only if the demand uses at most this fraction of the throughput of
    /// the remaining ones.
    pub stop_utilisation: f64,
    /// An upstream is stopped only after the service had a surplus for this long without a break.
    pub stop_after: Duration,
    /// Smallest number of upstreams of a service; not enforced while demand reports are stale.
    pub min_upstreams: usize,
    /// Largest number of starts of one service in one round.
    pub starts_per_round: usize,
    /// Wait after the first crashed start in a failure domain; doubles with each further crash.
    pub backoff: Duration,
    /// Upper bound of the wait after crashed starts.
    pub max_backoff: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            start_duration: Duration::from_secs(150),
            target_utilisation: 0.7,
            stop_utilisation: 0.5,
            stop_after: Duration::from_mins(10),
            min_upstreams: 2,
            starts_per_round: 4,
            backoff: Duration::from_secs(30),
            max_backoff: Duration::from_mins(15),
        }
    }
}

/// Input of one planning round for one service.
#[derive(Debug, Clone, Copy)]
pub struct FleetInput<'a> {
    /// Service to plan.
    pub service: &'a ServiceId,
    /// Upstreams of all services.
    pub upstreams: &'a [UpstreamView],
    /// Service and failure domain of each committed start whose upstream has not announced itself.
    pub starting: &'a [(ServiceId, FailureDomainId)],
    /// Upstreams with a committed stop.
    pub stopping: &'a [UpstreamId],
    /// Failure domains in which upstreams may start.
    pub domains: &'a [FailureDomainId],
    /// Upstreams that must not be stopped, for example because they have the last loaded copy of a
    /// model.
    pub protected: &'a [UpstreamId],
    /// Demand of all priority classes.
    pub demand: DemandSummary,
    /// Demand of the urgent class alone. The service has enough upstreams to serve it even after
    /// the loss of one failure domain.
    pub urgent: ShapedDemand,
    /// Whether the demand estimate is recent enough to act on.
    pub freshness: Freshness,
    /// Settings the demand was estimated with.
    pub demand_settings: &'a DemandSettings,
    /// Measured throughput of the upstreams.
    pub capability: &'a CapabilityEstimator,
    /// Largest number of upstreams of this service; unlimited if `None`.
    pub service_budget: Option<usize>,
    /// Largest number of upstreams of all services together; unlimited if `None`.
    pub total_budget: Option<usize>,
}

/// An upstream to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Service of the new upstream.
    pub service: ServiceId,
    /// Failure domain to start it in.
    pub failure_domain: FailureDomainId,
    /// Reason recorded in the audit trail.
    pub reason: String,
}

/// An upstream to drain and stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopRequest {
    /// Upstream to stop.
    pub upstream: UpstreamId,
    /// Reason recorded in the audit trail.
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

/// Result of one planning round; it contains starts or stops, never both.
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

/// Plans starts and stops, and delays starts in failure domains where starts crashed.
#[derive(Debug, Clone, Default)]
pub struct FleetPlanner {
    settings: FleetSettings,
    backoffs: IndexMap<(ServiceId, FailureDomainId), StartBackoff>,
    /// When each service began to have more upstreams than it needs; no entry without a surplus.
    surplus_since: IndexMap<ServiceId, TimePoint>,
}

impl FleetPlanner {
    /// Creates a planner without recorded crashes.
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            settings,
            backoffs: IndexMap::new(),
            surplus_since: IndexMap::new(),
        }
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &FleetSettings {
        &self.settings
    }

    /// Records that an upstream crashed while it was starting, and extends the backoff of the
    /// failure domain.
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
        entry.until = now + wait.min(self.settings.max_backoff);
    }

    /// Records that an upstream started successfully, and resets the backoff of the failure domain.
    pub fn record_start_success(&mut self, service: &ServiceId, domain: &FailureDomainId) {
        self.backoffs
            .shift_remove(&(service.clone(), domain.clone()));
    }

    /// Plans the starts and stops of one service. The decision is empty while demand reports are
    /// stale, and contains at most one stop.
    pub fn plan(&mut self, input: &FleetInput<'_>, now: TimePoint) -> FleetDecision {
        if input.freshness == Freshness::Stale {
            self.surplus_since.shift_remove(input.service);
            return FleetDecision::default();
        }
        let running = running_upstreams(input);
        let starting = input
            .starting
            .iter()
            .filter(|(service, _)| service == input.service)
            .count();
        let existing = running.len() + starting;
        let needed = self.needed_upstreams(input);
        if existing < needed {
            self.surplus_since.shift_remove(input.service);
            let starts = self.plan_starts(input, &running, needed - existing, now);
            return FleetDecision {
                starts,
                stops: Vec::new(),
            };
        }
        let stop = self.plan_stop(input, &running, starting, now);
        FleetDecision {
            starts: Vec::new(),
            stops: stop.into_iter().collect(),
        }
    }

    /// Number of upstreams needed by the time that an upstream started now serves requests.
    fn needed_upstreams(&self, input: &FleetInput<'_>) -> usize {
        let ahead = self.settings.start_duration;
        let forecast = input.demand.forecast(ahead, input.demand_settings);
        let largest = engines_for(input, forecast).max(engines_for(input, input.demand.short));
        let by_demand = largest / self.settings.target_utilisation;
        let by_urgent = engines_for(input, input.urgent);
        let domains = input.domains.len().max(1) as f64;
        // Share of evenly spread upstreams that remains after the loss of one failure domain.
        let remaining_share = if domains > 1.0 {
            (domains - 1.0) / domains
        } else {
            1.0
        };
        let needed = by_demand.max(by_urgent / remaining_share).ceil() as usize;
        needed.max(self.settings.min_upstreams)
    }

    fn plan_starts(
        &self,
        input: &FleetInput<'_>,
        running: &[&UpstreamView],
        missing: usize,
        now: TimePoint,
    ) -> Vec<StartRequest> {
        let mut counts: IndexMap<&FailureDomainId, usize> = input
            .domains
            .iter()
            .filter(|domain| !self.is_backing_off(input.service, domain, now))
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

    fn is_backing_off(
        &self,
        service: &ServiceId,
        domain: &FailureDomainId,
        now: TimePoint,
    ) -> bool {
        self.backoffs
            .get(&(service.clone(), domain.clone()))
            .is_some_and(|backoff| now < backoff.until)
    }

    fn plan_stop(
        &mut self,
        input: &FleetInput<'_>,
        running: &[&UpstreamView],
        starting: usize,
        now: TimePoint,
    ) -> Option<StopRequest> {
        let remaining = running.len().saturating_sub(1);
        let has_surplus = starting == 0
            && remaining >= self.settings.min_upstreams
            && remaining >= self.needed_upstreams(input)
            && self.would_suffice(input, remaining);
        if !has_surplus {
            self.surplus_since.shift_remove(input.service);
            return None;
        }
        let since = *self
            .surplus_since
            .entry(input.service.clone())
            .or_insert(now);
        if now.since(since) < self.settings.stop_after {
            return None;
        }
        let view = select_stop_candidate(input, running)?;
        self.surplus_since.shift_remove(input.service);
        Some(StopRequest {
            upstream: view.upstream.clone(),
            reason: format!("{remaining} upstreams suffice for the demand"),
        })
    }

    /// Whether `count` upstreams stay below the stop utilisation on both time scales.
    fn would_suffice(&self, input: &FleetInput<'_>, count: usize) -> bool {
        let bound = count as f64 * self.settings.stop_utilisation;
        engines_for(input, input.demand.short) <= bound
            && engines_for(input, input.demand.long) <= bound
    }
}

/// Upstreams of the service that serve requests or will once their start or order is complete.
fn running_upstreams<'a>(input: &FleetInput<'a>) -> Vec<&'a UpstreamView> {
    input
        .upstreams
        .iter()
        .filter(|view| view.service == *input.service)
        .filter(|view| !matches!(view.phase, UpstreamPhase::Leaving | UpstreamPhase::Suspect))
        .filter(|view| !input.stopping.contains(&view.upstream))
        .collect()
}

/// Number of engines that the demand keeps fully busy if their roles match its mix.
fn engines_for(input: &FleetInput<'_>, demand: ShapedDemand) -> f64 {
    let engines = input.capability.engines_for(demand);
    engines.prefill + engines.decode
}

/// Number of upstreams that the budgets still allow to start.
fn remaining_budget(input: &FleetInput<'_>) -> usize {
    let starting = input.starting.iter().map(|(service, _)| service);
    let services = input.upstreams.iter().map(|view| &view.service);
    let (mut total, mut in_service) = (0_usize, 0_usize);
    for service in services.chain(starting) {
        total += 1;
        in_service += usize::from(service == input.service);
    }
    let unused = |budget: Option<usize>, used: usize| {
        budget.map_or(usize::MAX, |budget| budget.saturating_sub(used))
    };
    unused(input.service_budget, in_service).min(unused(input.total_budget, total))
}

/// Selects the upstream to stop: the slowest one in the failure domain with the most upstreams.
/// Protected upstreams and the last one that can do prefill or decode are excluded.
fn select_stop_candidate<'a>(
    input: &FleetInput<'_>,
    running: &[&'a UpstreamView],
) -> Option<&'a UpstreamView> {
    let count_in_domain = |domain: &FailureDomainId| {
        let same = running.iter().filter(|view| view.failure_domain == *domain);
        same.count()
    };
    let speed = |view: &UpstreamView| {
        let throughput = input.capability.throughput(&view.upstream, view.role);
        throughput.prefill.as_f64() + throughput.decode.as_f64()
    };
    running
        .iter()
        .copied()
        .filter(|view| view.is_ready())
        .filter(|view| !input.protected.contains(&view.upstream))
        .filter(|view| !is_last_capable(view, running))
        .min_by(|one, other| {
            let fuller =
                count_in_domain(&other.failure_domain).cmp(&count_in_domain(&one.failure_domain));
            fuller
                .then_with(|| speed(one).total_cmp(&speed(other)))
                .then_with(|| one.upstream.cmp(&other.upstream))
        })
}

/// Whether `view` is the only ready upstream that can do prefill or decode or, for a plain service,
/// the only ready one.
fn is_last_capable(view: &UpstreamView, running: &[&UpstreamView]) -> bool {
    let others = || {
        running
            .iter()
            .filter(|other| other.is_ready() && other.upstream != view.upstream)
    };
    let can_prefill = |role| matches!(role, UpstreamRole::Prefill | UpstreamRole::Mixed);
    let can_decode = |role| matches!(role, UpstreamRole::Decode | UpstreamRole::Mixed);
    match view.role {
        UpstreamRole::Plain => others().next().is_none(),
        role => {
            can_prefill(role) && !others().any(|other| can_prefill(other.role))
                || can_decode(role) && !others().any(|other| can_decode(other.role))
        }
    }
}
