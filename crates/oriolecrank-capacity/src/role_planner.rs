//! Plans which engines run as prefill, decode or mixed engines.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, OrderAction, UpstreamRole};
use oriolecrank_schema::document::{FailureDomainId, ServiceId, UpstreamId};

use crate::{CapabilityEstimator, EngineCounts, Freshness, ShapedDemand, UpstreamView};

/// Roles that the planner assigns.
const ENGINE_ROLES: [UpstreamRole; 3] = [
    UpstreamRole::Prefill,
    UpstreamRole::Decode,
    UpstreamRole::Mixed,
];

/// Local search tries pairs of changes in pools up to this size, and only single changes in larger
/// pools.
const MAX_PAIR_SEARCH_ENGINES: usize = 32;

/// Gain differences up to this value are treated as rounding errors.
const GAIN_TOLERANCE: f64 = 1e-9;

/// Utilisation of the engines of each kind, between 0 and 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineUtilisation {
    /// Utilisation of the prefill engines.
    pub prefill: f64,
    /// Utilisation of the decode engines.
    pub decode: f64,
}

impl EngineUtilisation {
    /// Full utilisation of both kinds.
    pub const FULL: Self = Self {
        prefill: 1.0,
        decode: 1.0,
    };
}

impl Default for EngineUtilisation {
    /// Prefill engines need more headroom: a prompt waits until the prompts before it are
    /// completely processed, while all running calls generate output tokens in the same iteration.
    fn default() -> Self {
        Self {
            prefill: 0.6,
            decode: 0.9,
        }
    }
}

/// Settings of [`RolePlanner`].
#[derive(Debug, Clone, PartialEq)]
pub struct RoleSettings {
    /// Time within which a change must pay off.
    pub horizon: Duration,
    /// Time for which an engine is unavailable during a change.
    pub change_duration: Duration,
    /// Additional cost of a change in engine-seconds, for the lost cache and the moved requests.
    pub change_penalty: f64,
    /// Largest utilisation at which latency bounds are still met.
    pub target_utilisation: EngineUtilisation,
    /// Factor by which the gain of the changes must exceed their cost if none was made in the last
    /// hour; see [`Self::hysteresis_increase`].
    pub hysteresis: f64,
    /// Shortest time for which an engine keeps its role.
    pub min_role_duration: Duration,
    /// Largest fraction of the upstreams of a failure domain that may change at the same time; one
    /// upstream always may.
    pub domain_share: f64,
    /// Largest number of changes per engine and hour; the default allows 6 changes for 8 engines.
    pub changes_per_engine_hour: f64,
    /// Largest number of possible role assignments that are all searched. With more of them a local
    /// search is used, which may miss the largest gain.
    pub complete_search_limit: f64,
    /// Increase of the required gain factor in proportion to the used part of the hourly limit. If
    /// the limit were used up, the factor would be `hysteresis + hysteresis_increase`.
    pub hysteresis_increase: f64,
}

impl Default for RoleSettings {
    fn default() -> Self {
        Self {
            horizon: Duration::from_mins(3),
            change_duration: Duration::from_secs(8),
            change_penalty: 12.0,
            target_utilisation: EngineUtilisation::default(),
            hysteresis: 1.5,
            min_role_duration: Duration::from_mins(3),
            domain_share: 0.25,
            changes_per_engine_hour: 0.75,
            complete_search_limit: 20_000.0,
            hysteresis_increase: 2.0,
        }
    }
}

/// Input of one planning round: the engines of one service and the demand for them.
#[derive(Debug, Clone, Copy)]
pub struct PoolInput<'a> {
    /// Service to plan.
    pub service: &'a ServiceId,
    /// Upstreams of all services; the limit of changes per failure domain counts all of them.
    pub upstreams: &'a [UpstreamView],
    /// Upstreams with unfinished plan steps.
    pub pending: &'a [UpstreamId],
    /// Short-term demand of all priority classes.
    pub demand: ShapedDemand,
    /// Demand of the urgent class alone. Changes must not increase its shortfall after the loss of
    /// any one failure domain.
    pub urgent: ShapedDemand,
    /// Whether the demand estimate is recent enough to act on.
    pub freshness: Freshness,
    /// Measured throughput of the engines.
    pub capability: &'a CapabilityEstimator,
}

/// A planned role change of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// Engine to change.
    pub upstream: UpstreamId,
    /// Current role.
    pub from: UpstreamRole,
    /// New role.
    pub to: UpstreamRole,
}

impl From<&RoleChange> for Command {
    fn from(change: &RoleChange) -> Self {
        Self::PlaceOrder {
            upstream: change.upstream.clone(),
            action: OrderAction::ChangeRole { role: change.to },
            reason: format!(
                "demand shifted, role {} serves it better than {}",
                change.to, change.from
            ),
        }
    }
}

/// Why the planner makes no changes regardless of the demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreezeReason {
    /// Too few recent demand reports.
    StaleReports,
    /// The hourly limit of changes is reached.
    ChangeLimit,
}

/// Result of one planning round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoleDecision {
    /// The current roles match the demand, or no change would pay off.
    Keep,
    /// No change is allowed at the moment.
    Frozen(FreezeReason),
    /// These engines change their roles.
    Change(Vec<RoleChange>),
}

/// Returns how many engines are missing for a demand, as the sum over prefill and decode.
///
/// Only the fraction `utilisation` of the engines is available. A mixed engine counts as fractions
/// of a prefill and of a decode engine at the same time. The result includes a tie-break of at most
/// 0.01 engines, which grows with the utilisation of the busier kind, so that balanced roles are
/// preferred among otherwise equal ones.
pub fn engine_shortfall(
    demand: ShapedDemand,
    engines: EngineCounts,
    utilisation: EngineUtilisation,
    capability: &CapabilityEstimator,
) -> f64 {
    let needed = capability.engines_for(demand);
    let (mixed_prefill, mixed_decode) = capability.mixed_engine_shares();
    let prefill = engines.mixed.mul_add(mixed_prefill, engines.prefill);
    let decode = engines.mixed.mul_add(mixed_decode, engines.decode);
    let missing_prefill = (needed.prefill / utilisation.prefill - prefill).max(0.0);
    let missing_decode = (needed.decode / utilisation.decode - decode).max(0.0);
    let utilised_share = |needed: f64, present: f64| {
        if needed <= 0.0 {
            0.0
        } else {
            (needed / present).min(1.0)
        }
    };
    let peak_utilisation =
        utilised_share(needed.prefill, prefill).max(utilised_share(needed.decode, decode));
    BALANCE_WEIGHT.mul_add(peak_utilisation, missing_prefill + missing_decode)
}

/// Tie-break in [`engine_shortfall`]: number of engines added if the busier kind is fully utilised.
const BALANCE_WEIGHT: f64 = 0.01;

/// Plans role changes and enforces the hourly limit of changes.
#[derive(Debug, Clone, Default)]
pub struct RolePlanner {
    settings: RoleSettings,
    /// Times of the changes of the last hour, oldest first.
    change_times: VecDeque<TimePoint>,
}

impl RolePlanner {
    /// Creates a planner without earlier changes.
    pub fn new(settings: RoleSettings) -> Self {
        Self {
            settings,
            change_times: VecDeque::new(),
        }
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &RoleSettings {
        &self.settings
    }

    /// Adds the times of earlier changes from committed plans, so that a new leader also respects
    /// the hourly limit.
    pub fn restore(&mut self, change_times: impl IntoIterator<Item = TimePoint>) {
        self.change_times.extend(change_times);
        self.change_times.make_contiguous().sort_unstable();
    }

    /// Plans the changes of one pool. The changes of a [`RoleDecision::Change`] count against the
    /// hourly limit immediately.
    pub fn plan(&mut self, input: &PoolInput<'_>, now: TimePoint) -> RoleDecision {
        if input.freshness == Freshness::Stale {
            return RoleDecision::Frozen(FreezeReason::StaleReports);
        }
        self.drop_expired_changes(now);
        let pool = PoolState::new(input, &self.settings, now);
        let engines = pool.members.len();
        let limit = self.hourly_limit(engines);
        let max_changes = limit.saturating_sub(self.change_times.len());
        if max_changes == 0 {
            return RoleDecision::Frozen(FreezeReason::ChangeLimit);
        }
        let roles = pool.best_roles(max_changes);
        let changes = pool.changes(&roles);
        if changes.is_empty() {
            return RoleDecision::Keep;
        }
        let cost = pool.cost(changes.len());
        if pool.gain(&roles) <= cost * self.required_gain_factor(engines) {
            return RoleDecision::Keep;
        }
        self.change_times.extend(changes.iter().map(|_| now));
        RoleDecision::Change(changes)
    }

    /// Drops changes that no longer count against the hourly limit.
    fn drop_expired_changes(&mut self, now: TimePoint) {
        const HOUR: Duration = Duration::from_hours(1);
        while self
            .change_times
            .front()
            .is_some_and(|at| now.since(*at) >= HOUR)
        {
            self.change_times.pop_front();
        }
    }

    /// Largest number of changes per hour for a pool of this size; at least one.
    fn hourly_limit(&self, engines: usize) -> usize {
        let limit = self.settings.changes_per_engine_hour * engines as f64;
        (limit.floor() as usize).max(1)
    }

    /// Factor by which the gain must exceed the cost, given the changes of the last hour.
    fn required_gain_factor(&self, engines: usize) -> f64 {
        let used_share = self.change_times.len() as f64 / self.hourly_limit(engines) as f64;
        self.settings
            .hysteresis_increase
            .mul_add(used_share, self.settings.hysteresis)
    }
}

/// An engine of the pool with the data that the search needs.
#[derive(Debug)]
struct PoolMember<'a> {
    /// Index in [`PoolState::members`].
    index: usize,
    view: &'a UpstreamView,
    /// Index in [`PoolState::domain_quotas`].
    domain: usize,
    /// Measured speed relative to nominal.
    speed: f64,
    /// Whether it serves requests and has no unfinished plan steps.
    ready: bool,
    /// Whether it is ready and has kept its role for the minimum time.
    can_change: bool,
}

/// A pool with the data that the search needs.
#[derive(Debug)]
struct PoolState<'a> {
    input: &'a PoolInput<'a>,
    settings: &'a RoleSettings,
    members: Vec<PoolMember<'a>>,
    /// Number of upstreams that may still change, by failure domain.
    domain_quotas: Vec<usize>,
    /// Shortfall with the current roles.
    current_shortfall: f64,
    /// Shortfall for urgent demand after the loss of the worst failure domain, with the current
    /// roles.
    current_urgent_shortfall: f64,
    /// Whether any ready member can do prefill, and whether any can do decode.
    current_coverage: (bool, bool),
}

impl<'a> PoolState<'a> {
    fn new(input: &'a PoolInput<'a>, settings: &'a RoleSettings, now: TimePoint) -> Self {
        let mut domains: IndexMap<&FailureDomainId, (usize, usize)> = IndexMap::new();
        for view in input.upstreams {
            let (size, changing) = domains.entry(&view.failure_domain).or_default();
            *size += 1;
            let pending = input.pending.contains(&view.upstream);
            *changing += usize::from(view.is_changing() || pending);
        }
        let domain_quotas = domains
            .values()
            .map(|(size, changing)| {
                let bound = (settings.domain_share * *size as f64).floor() as usize;
                bound.max(1).saturating_sub(*changing)
            })
            .collect();
        let members = input
            .upstreams
            .iter()
            .filter(|view| view.service == *input.service)
            .filter(|view| view.role != UpstreamRole::Plain)
            .filter(|view| view.is_ready() || view.is_changing())
            .enumerate()
            .map(|(index, view)| {
                let pending = input.pending.contains(&view.upstream);
                let is_past_min_duration = now.since(view.role_since) >= settings.min_role_duration;
                PoolMember {
                    index,
                    view,
                    domain: domains
                        .get_index_of(&view.failure_domain)
                        .expect("every domain was counted above"),
                    speed: input.capability.speed(&view.upstream),
                    ready: view.is_ready() && !pending,
                    can_change: view.is_ready() && !pending && is_past_min_duration,
                }
            })
            .collect();
        let mut state = Self {
            input,
            settings,
            members,
            domain_quotas,
            current_shortfall: 0.0,
            current_urgent_shortfall: 0.0,
            current_coverage: (false, false),
        };
        let roles = state.current_roles();
        state.current_shortfall = state.shortfall(&roles);
        state.current_urgent_shortfall = state.urgent_shortfall(&roles, |_| true);
        state.current_coverage = state.coverage(&roles, |member| member.ready);
        state
    }

    fn current_roles(&self) -> Vec<UpstreamRole> {
        self.members.iter().map(|member| member.view.role).collect()
    }

    /// Roles with the largest net gain among those with at most `max_changes` changes.
    fn best_roles(&self, max_changes: usize) -> Vec<UpstreamRole> {
        if self.assignment_count() > self.settings.complete_search_limit {
            return self.local_search(max_changes);
        }
        let mut domain_quotas = self.domain_quotas.clone();
        let mut candidate = self.current_roles();
        let mut best = (candidate.clone(), 0.0);
        self.complete_search(
            0,
            &mut domain_quotas,
            max_changes,
            &mut candidate,
            &mut best,
        );
        best.0
    }

    /// Number of role assignments that respect the quota of each failure domain.
    fn assignment_count(&self) -> f64 {
        let choices = ENGINE_ROLES.len() as f64 - 1.0;
        self.domain_quotas
            .iter()
            .enumerate()
            .map(|(domain, quota)| {
                let movable = self.members.iter();
                let movable = movable.filter(|member| member.can_change && member.domain == domain);
                let movable = movable.count();
                // Each term is a binomial coefficient times the number of role choices of the
                // changed engines.
                let mut term = 1.0;
                let mut sum = 1.0;
                for changed in 1..=movable.min(*quota) {
                    term *= choices * (movable - changed + 1) as f64 / changed as f64;
                    sum += term;
                }
                sum
            })
            .product()
    }

    /// Tries all roles of the members from `index` on and stores the best assignment in `best`.
    fn complete_search(
        &self,
        index: usize,
        domain_quotas: &mut [usize],
        max_changes: usize,
        candidate: &mut Vec<UpstreamRole>,
        best: &mut (Vec<UpstreamRole>, f64),
    ) {
        let Some(member) = self.members.get(index) else {
            let net_gain = self.net_gain(candidate);
            if net_gain > best.1 + GAIN_TOLERANCE && self.is_permitted(candidate, max_changes) {
                *best = (candidate.clone(), net_gain);
            }
            return;
        };
        self.complete_search(index + 1, domain_quotas, max_changes, candidate, best);
        if !member.can_change || domain_quotas[member.domain] == 0 || max_changes == 0 {
            return;
        }
        let current = member.view.role;
        domain_quotas[member.domain] -= 1;
        for role in ENGINE_ROLES.into_iter().filter(|role| *role != current) {
            candidate[index] = role;
            self.complete_search(index + 1, domain_quotas, max_changes, candidate, best);
        }
        candidate[index] = current;
        domain_quotas[member.domain] += 1;
    }

    /// Applies the best single change or pair of changes until none increases the net gain.
    fn local_search(&self, max_changes: usize) -> Vec<UpstreamRole> {
        let mut roles = self.current_roles();
        let mut gain = 0.0;
        loop {
            let Some((better, better_gain)) = self.best_local_step(&roles, gain, max_changes)
            else {
                return roles;
            };
            roles = better;
            gain = better_gain;
        }
    }

    /// Best single change or pair of changes with a net gain above `min_gain`, and its net gain.
    fn best_local_step(
        &self,
        roles: &[UpstreamRole],
        min_gain: f64,
        max_changes: usize,
    ) -> Option<(Vec<UpstreamRole>, f64)> {
        let mut best: Option<(Vec<UpstreamRole>, f64)> = None;
        let mut consider = |candidate: &[UpstreamRole]| {
            let bound = best.as_ref().map_or(min_gain, |(_, gain)| *gain);
            let net_gain = self.net_gain(candidate);
            if net_gain > bound + GAIN_TOLERANCE && self.is_permitted(candidate, max_changes) {
                best = Some((candidate.to_vec(), net_gain));
            }
        };
        let mut candidate = roles.to_vec();
        let search_pairs = self.members.len() <= MAX_PAIR_SEARCH_ENGINES;
        for (first, member) in self.members.iter().enumerate() {
            if !member.can_change {
                continue;
            }
            for role in ENGINE_ROLES {
                candidate[first] = role;
                consider(&candidate);
                if !search_pairs || role == roles[first] {
                    continue;
                }
                for (second, other) in self.members.iter().enumerate().skip(first + 1) {
                    if !other.can_change {
                        continue;
                    }
                    for other_role in ENGINE_ROLES {
                        candidate[second] = other_role;
                        consider(&candidate);
                    }
                    candidate[second] = roles[second];
                }
            }
            candidate[first] = roles[first];
        }
        best
    }

    fn changes(&self, roles: &[UpstreamRole]) -> Vec<RoleChange> {
        self.members
            .iter()
            .zip(roles)
            .filter(|(member, role)| member.view.role != **role)
            .map(|(member, role)| RoleChange {
                upstream: member.view.upstream.clone(),
                from: member.view.role,
                to: *role,
            })
            .collect()
    }

    fn change_count(&self, roles: &[UpstreamRole]) -> usize {
        let pairs = self.members.iter().zip(roles);
        pairs
            .filter(|(member, role)| member.view.role != **role)
            .count()
    }

    /// Reduction of the shortfall over the horizon, in engine-seconds.
    fn gain(&self, roles: &[UpstreamRole]) -> f64 {
        (self.current_shortfall - self.shortfall(roles)) * self.settings.horizon.as_secs_f64()
    }

    /// Cost of a number of changes, in engine-seconds.
    fn cost(&self, changes: usize) -> f64 {
        changes as f64
            * (self.settings.change_duration.as_secs_f64() + self.settings.change_penalty)
    }

    /// Gain minus cost, in engine-seconds; zero for the current roles.
    fn net_gain(&self, roles: &[UpstreamRole]) -> f64 {
        self.gain(roles) - self.cost(self.change_count(roles))
    }

    fn shortfall(&self, roles: &[UpstreamRole]) -> f64 {
        engine_shortfall(
            self.input.demand,
            self.engines(roles, |_| true),
            self.settings.target_utilisation,
            self.input.capability,
        )
    }

    /// Sum of the speeds by role, over the members for which `include` holds.
    fn engines(
        &self,
        roles: &[UpstreamRole],
        include: impl Fn(&PoolMember<'_>) -> bool,
    ) -> EngineCounts {
        let mut engines = EngineCounts::default();
        for (member, role) in self.members.iter().zip(roles) {
            if include(member) {
                engines.add(*role, member.speed);
            }
        }
        engines
    }

    /// Whether any member for which `include` holds can do prefill, and whether any can do decode.
    fn coverage(
        &self,
        roles: &[UpstreamRole],
        include: impl Fn(&PoolMember<'_>) -> bool,
    ) -> (bool, bool) {
        let mut coverage = (false, false);
        for (member, role) in self.members.iter().zip(roles) {
            if include(member) {
                coverage.0 |= *role != UpstreamRole::Decode;
                coverage.1 |= *role != UpstreamRole::Prefill;
            }
        }
        coverage
    }

    /// Shortfall for urgent demand after the loss of the worst failure domain, over the members for
    /// which `include` holds.
    fn urgent_shortfall(
        &self,
        roles: &[UpstreamRole],
        include: impl Fn(&PoolMember<'_>) -> bool,
    ) -> f64 {
        let total = self.engines(roles, &include);
        (0..self.domain_quotas.len())
            .map(|domain| {
                let lost = self.engines(roles, |member| include(member) && member.domain == domain);
                let remaining = total - lost;
                engine_shortfall(
                    self.input.urgent,
                    remaining,
                    EngineUtilisation::FULL,
                    self.input.capability,
                )
            })
            .fold(0.0, f64::max)
    }

    /// Whether the roles respect all bounds, both while the changes are made and once they are
    /// done.
    fn is_permitted(&self, roles: &[UpstreamRole], max_changes: usize) -> bool {
        let count = self.change_count(roles);
        if count > max_changes {
            return false;
        }
        let mut domain_changes = vec![0; self.domain_quotas.len()];
        let mut unchanged = Vec::with_capacity(roles.len());
        for (member, role) in self.members.iter().zip(roles) {
            let changes_role = member.view.role != *role;
            if changes_role && !member.can_change {
                return false;
            }
            domain_changes[member.domain] += usize::from(changes_role);
            unchanged.push(!changes_role);
        }
        if domain_changes
            .iter()
            .zip(&self.domain_quotas)
            .any(|(changes, quota)| changes > quota)
        {
            return false;
        }
        let keeps_serving = |member: &PoolMember<'_>| member.ready && unchanged[member.index];
        let during = self.coverage(roles, keeps_serving);
        let after = self.coverage(roles, |_| true);
        let (prefill, decode) = self.current_coverage;
        if prefill && !(during.0 && after.0) || decode && !(during.1 && after.1) {
            return false;
        }
        let bound = self.current_urgent_shortfall + SHORTFALL_TOLERANCE;
        self.urgent_shortfall(roles, |_| true) <= bound
            && self.urgent_shortfall(roles, |member| unchanged[member.index]) <= bound
    }
}

/// Shortfalls that differ by at most this count as equal. The value covers the tie-break term of
/// [`engine_shortfall`].
const SHORTFALL_TOLERANCE: f64 = 2.0 * BALANCE_WEIGHT;
