//! Decides which engines are prefill, decode or mixed.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, OrderAction, UpstreamRole};
use oriolecrank_schema::document::{FailureDomainId, ServiceId, UpstreamId};

use crate::{CapabilityEstimator, EngineCounts, Freshness, ShapedDemand, UpstreamView};

/// Roles that an engine may take.
const ENGINE_ROLES: [UpstreamRole; 3] = [
    UpstreamRole::Prefill,
    UpstreamRole::Decode,
    UpstreamRole::Mixed,
];

/// Pools up to this size are also searched for pairs of changes; larger pools change step by step.
const PAIR_SEARCH_LIMIT: usize = 32;

/// Differences below this are rounding errors.
const EPSILON: f64 = 1e-9;

/// Parts of the engines that are used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineUtilisation {
    /// Part of the prefill engines.
    pub prefill: f64,
    /// Part of the decode engines.
    pub decode: f64,
}

impl EngineUtilisation {
    /// Engines that are used completely.
    pub const FULL: Self = Self {
        prefill: 1.0,
        decode: 1.0,
    };
}

impl Default for EngineUtilisation {
    /// A prompt waits behind whole other prompts before its first token, while output tokens share
    /// each iteration, so prefill engines need more headroom.
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
    /// Time over which a change has to pay off.
    pub horizon: Duration,
    /// Time for which a change makes an engine unavailable.
    pub change_duration: Duration,
    /// Further cost of a change, in engine-seconds: lost cache and moved requests.
    pub change_penalty: f64,
    /// Parts of the engines that may be used before latency bounds are missed.
    pub target_utilisation: EngineUtilisation,
    /// The gain has to exceed the cost by this factor.
    pub hysteresis: f64,
    /// Shortest time that an engine keeps its role.
    pub minimum_stay: Duration,
    /// Largest share of a failure domain that changes at once; at least one upstream may.
    pub domain_share: f64,
    /// Largest number of changes per engine and hour. The target is 6 changes for 8 engines.
    pub changes_per_engine_hour: f64,
    /// Pools with at most this many permitted assignments of roles are searched completely; larger
    /// ones by local search, which may stop at a lesser gain.
    pub complete_search: f64,
    /// How much the required gain grows while the hourly number of changes is used up: at the full
    /// number the factor is `hysteresis + scarcity`.
    pub scarcity: f64,
}

impl Default for RoleSettings {
    fn default() -> Self {
        Self {
            horizon: Duration::from_mins(3),
            change_duration: Duration::from_secs(8),
            change_penalty: 12.0,
            target_utilisation: EngineUtilisation::default(),
            hysteresis: 1.5,
            minimum_stay: Duration::from_mins(3),
            domain_share: 0.25,
            changes_per_engine_hour: 0.75,
            complete_search: 20_000.0,
            scarcity: 2.0,
        }
    }
}

/// Engines of one service and the demand for them.
#[derive(Debug, Clone, Copy)]
pub struct PoolInput<'a> {
    /// Service to plan.
    pub service: &'a ServiceId,
    /// Upstreams of all services; the bound per failure domain counts all of them.
    pub upstreams: &'a [UpstreamView],
    /// Upstreams with unfinished plan steps.
    pub pending: &'a [UpstreamId],
    /// Demand of all classes on the short time scale.
    pub demand: ShapedDemand,
    /// Demand of the urgent class alone.
    pub urgent: ShapedDemand,
    /// Whether the demand may be acted on.
    pub freshness: Freshness,
    /// Measured abilities.
    pub capability: &'a CapabilityEstimator,
}

/// A role that an engine shall take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// Engine to change.
    pub upstream: UpstreamId,
    /// Role that it has.
    pub from: UpstreamRole,
    /// Role that it gets.
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

/// Why nothing is planned whatever the demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreezeReason {
    /// Reports are missing.
    StaleReports,
    /// The hourly number of changes is used up.
    ChangeLimit,
}

/// Result of one planning round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoleDecision {
    /// The roles fit, or a change would not pay off.
    Keep,
    /// The roles are kept because a decision is impossible.
    Frozen(FreezeReason),
    /// These engines change.
    Change(Vec<RoleChange>),
}

/// Lack of engines for a demand.
///
/// Only `utilisation` of the engines counts. What the specialised engines cannot serve goes to mixed
/// ones, which process prompts and generate tokens side by side. A small share for the busier kind
/// makes balanced roles preferable among equals.
pub fn capacity_loss(
    demand: ShapedDemand,
    engines: EngineCounts,
    utilisation: EngineUtilisation,
    capability: &CapabilityEstimator,
) -> f64 {
    let needed = capability.engines_for(demand);
    let (mixed_prefill, mixed_decode) = capability.mixed_parts();
    let prefill = engines.mixed.mul_add(mixed_prefill, engines.prefill);
    let decode = engines.mixed.mul_add(mixed_decode, engines.decode);
    let missing_prefill = (needed.prefill / utilisation.prefill - prefill).max(0.0);
    let missing_decode = (needed.decode / utilisation.decode - decode).max(0.0);
    let part_used = |needed: f64, present: f64| {
        if needed <= 0.0 {
            0.0
        } else {
            (needed / present).min(1.0)
        }
    };
    let used = part_used(needed.prefill, prefill).max(part_used(needed.decode, decode));
    BALANCE_WEIGHT.mul_add(used, missing_prefill + missing_decode)
}

/// Engines that a fully used kind costs more than an idle one.
const BALANCE_WEIGHT: f64 = 0.01;

/// Plans role changes and remembers when they were made.
#[derive(Debug, Clone, Default)]
pub struct RolePlanner {
    settings: RoleSettings,
    /// Times of the changes of the last hour, oldest first.
    changes: VecDeque<TimePoint>,
}

impl RolePlanner {
    /// A planner without history.
    pub fn new(settings: RoleSettings) -> Self {
        Self {
            settings,
            changes: VecDeque::new(),
        }
    }

    /// Settings in force.
    pub const fn settings(&self) -> &RoleSettings {
        &self.settings
    }

    /// Restores the history from committed plans, for a new leader.
    pub fn restore(&mut self, changes: impl IntoIterator<Item = TimePoint>) {
        self.changes.extend(changes);
        self.changes.make_contiguous().sort_unstable();
    }

    /// Plans the changes of one pool. The changes of a [`RoleDecision::Change`] count as made.
    pub fn plan(&mut self, input: &PoolInput<'_>, now: TimePoint) -> RoleDecision {
        if input.freshness == Freshness::Stale {
            return RoleDecision::Frozen(FreezeReason::StaleReports);
        }
        self.forget_changes(now);
        let pool = PoolState::new(input, &self.settings, now);
        let engines = pool.members.len();
        let limit = self.hourly_limit(engines);
        let allowed = limit.saturating_sub(self.changes.len());
        if allowed == 0 {
            return RoleDecision::Frozen(FreezeReason::ChangeLimit);
        }
        let roles = pool.best_roles(allowed);
        let changes = pool.changes(&roles);
        if changes.is_empty() {
            return RoleDecision::Keep;
        }
        let cost = pool.cost(changes.len());
        if pool.gain(&roles) <= cost * self.required_factor(engines) {
            return RoleDecision::Keep;
        }
        self.changes.extend(changes.iter().map(|_| now));
        RoleDecision::Change(changes)
    }

    /// Drops changes that no longer count against the hourly bound.
    fn forget_changes(&mut self, now: TimePoint) {
        const HOUR: Duration = Duration::from_hours(1);
        while self
            .changes
            .front()
            .is_some_and(|at| now.since(*at) >= HOUR)
        {
            self.changes.pop_front();
        }
    }

    fn hourly_limit(&self, engines: usize) -> usize {
        let limit = self.settings.changes_per_engine_hour * engines as f64;
        (limit.floor() as usize).max(1)
    }

    fn required_factor(&self, engines: usize) -> f64 {
        let used = self.changes.len() as f64 / self.hourly_limit(engines) as f64;
        self.settings
            .scarcity
            .mul_add(used, self.settings.hysteresis)
    }
}

/// An engine of the pool, prepared for the search.
#[derive(Debug)]
struct PoolMember<'a> {
    /// Position in the pool.
    index: usize,
    view: &'a UpstreamView,
    domain: usize,
    /// Measured speed.
    speed: f64,
    /// Whether it works now.
    ready: bool,
    /// Whether it may change now.
    movable: bool,
}

/// A pool, prepared for the search.
#[derive(Debug)]
struct PoolState<'a> {
    input: &'a PoolInput<'a>,
    settings: &'a RoleSettings,
    members: Vec<PoolMember<'a>>,
    /// Number of upstreams that may still change, by domain.
    quota: Vec<usize>,
    /// Lack of ability with the present roles.
    present_loss: f64,
    /// Lack of ability for urgent work after the loss of the worst failure domain, with the present
    /// roles.
    present_shortage: f64,
    /// Which kinds of work any ready member is set up for.
    present_capable: (bool, bool),
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
        let quota = domains
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
                let stayed = now.since(view.role_since) >= settings.minimum_stay;
                PoolMember {
                    index,
                    view,
                    domain: domains
                        .get_index_of(&view.failure_domain)
                        .expect("every domain was counted above"),
                    speed: input.capability.speed(&view.upstream),
                    ready: view.is_ready() && !pending,
                    movable: view.is_ready() && !pending && stayed,
                }
            })
            .collect();
        let mut state = Self {
            input,
            settings,
            members,
            quota,
            present_loss: 0.0,
            present_shortage: 0.0,
            present_capable: (false, false),
        };
        let roles = state.present_roles();
        state.present_loss = state.loss(&roles);
        state.present_shortage = state.urgent_shortage(&roles, |_| true);
        state.present_capable = state.capable(&roles, |member| member.ready);
        state
    }

    fn present_roles(&self) -> Vec<UpstreamRole> {
        self.members.iter().map(|member| member.view.role).collect()
    }

    fn best_roles(&self, allowed: usize) -> Vec<UpstreamRole> {
        if self.assignments() > self.settings.complete_search {
            return self.locally_best_roles(allowed);
        }
        let mut quota = self.quota.clone();
        let mut candidate = self.present_roles();
        let mut best = (candidate.clone(), 0.0);
        self.search(0, &mut quota, allowed, &mut candidate, &mut best);
        best.0
    }

    /// Number of assignments that keep the quota of each failure domain.
    fn assignments(&self) -> f64 {
        let choices = ENGINE_ROLES.len() as f64 - 1.0;
        self.quota
            .iter()
            .enumerate()
            .map(|(domain, quota)| {
                let movable = self.members.iter();
                let movable = movable.filter(|member| member.movable && member.domain == domain);
                let movable = movable.count();
                // Binomial coefficients, each multiplied by the choices of the changed engines.
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

    /// Tries all roles of the members from `index` on and keeps the best assignment.
    fn search(
        &self,
        index: usize,
        quota: &mut [usize],
        allowed: usize,
        candidate: &mut Vec<UpstreamRole>,
        best: &mut (Vec<UpstreamRole>, f64),
    ) {
        let Some(member) = self.members.get(index) else {
            let net = self.net(candidate);
            if net > best.1 + EPSILON && self.permitted(candidate, allowed) {
                *best = (candidate.clone(), net);
            }
            return;
        };
        self.search(index + 1, quota, allowed, candidate, best);
        if !member.movable || quota[member.domain] == 0 || allowed == 0 {
            return;
        }
        let present = member.view.role;
        quota[member.domain] -= 1;
        for role in ENGINE_ROLES.into_iter().filter(|role| *role != present) {
            candidate[index] = role;
            self.search(index + 1, quota, allowed, candidate, best);
        }
        candidate[index] = present;
        quota[member.domain] += 1;
    }

    /// Roles found by local search: the best single change or pair is applied until none helps.
    fn locally_best_roles(&self, allowed: usize) -> Vec<UpstreamRole> {
        let mut roles = self.present_roles();
        let mut value = 0.0;
        loop {
            let Some((better, better_value)) = self.best_move(&roles, value, allowed) else {
                return roles;
            };
            roles = better;
            value = better_value;
        }
    }

    fn best_move(
        &self,
        roles: &[UpstreamRole],
        value: f64,
        allowed: usize,
    ) -> Option<(Vec<UpstreamRole>, f64)> {
        let mut best: Option<(Vec<UpstreamRole>, f64)> = None;
        let mut consider = |candidate: &[UpstreamRole]| {
            let bound = best.as_ref().map_or(value, |(_, value)| *value);
            let net = self.net(candidate);
            if net > bound + EPSILON && self.permitted(candidate, allowed) {
                best = Some((candidate.to_vec(), net));
            }
        };
        let mut candidate = roles.to_vec();
        let pairs = self.members.len() <= PAIR_SEARCH_LIMIT;
        for (first, member) in self.members.iter().enumerate() {
            if !member.movable {
                continue;
            }
            for role in ENGINE_ROLES {
                candidate[first] = role;
                consider(&candidate);
                if !pairs || role == roles[first] {
                    continue;
                }
                for (second, other) in self.members.iter().enumerate().skip(first + 1) {
                    if !other.movable {
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

    /// Engine-seconds won over the horizon.
    fn gain(&self, roles: &[UpstreamRole]) -> f64 {
        (self.present_loss - self.loss(roles)) * self.settings.horizon.as_secs_f64()
    }

    /// Engine-seconds that a number of changes costs.
    fn cost(&self, changes: usize) -> f64 {
        changes as f64
            * (self.settings.change_duration.as_secs_f64() + self.settings.change_penalty)
    }

    fn net(&self, roles: &[UpstreamRole]) -> f64 {
        self.gain(roles) - self.cost(self.change_count(roles))
    }

    fn loss(&self, roles: &[UpstreamRole]) -> f64 {
        capacity_loss(
            self.input.demand,
            self.engines(roles, |_| true),
            self.settings.target_utilisation,
            self.input.capability,
        )
    }

    fn engines(
        &self,
        roles: &[UpstreamRole],
        counts: impl Fn(&PoolMember<'_>) -> bool,
    ) -> EngineCounts {
        let mut engines = EngineCounts::default();
        for (member, role) in self.members.iter().zip(roles) {
            if counts(member) {
                engines.add(*role, member.speed);
            }
        }
        engines
    }

    /// Whether any counted member is set up for prefill, and any for decode.
    fn capable(
        &self,
        roles: &[UpstreamRole],
        counts: impl Fn(&PoolMember<'_>) -> bool,
    ) -> (bool, bool) {
        let mut capable = (false, false);
        for (member, role) in self.members.iter().zip(roles) {
            if counts(member) {
                capable.0 |= *role != UpstreamRole::Decode;
                capable.1 |= *role != UpstreamRole::Prefill;
            }
        }
        capable
    }

    /// Largest lack of ability for urgent work over the losses of one failure domain.
    fn urgent_shortage(
        &self,
        roles: &[UpstreamRole],
        counts: impl Fn(&PoolMember<'_>) -> bool,
    ) -> f64 {
        let total = self.engines(roles, &counts);
        (0..self.quota.len())
            .map(|domain| {
                let lost = self.engines(roles, |member| counts(member) && member.domain == domain);
                let left = total - lost;
                capacity_loss(
                    self.input.urgent,
                    left,
                    EngineUtilisation::FULL,
                    self.input.capability,
                )
            })
            .fold(0.0, f64::max)
    }

    /// Whether the changes keep all bounds, both while they are made and afterwards.
    fn permitted(&self, roles: &[UpstreamRole], allowed: usize) -> bool {
        let count = self.change_count(roles);
        if count > allowed {
            return false;
        }
        let mut used = vec![0; self.quota.len()];
        let mut kept = Vec::with_capacity(roles.len());
        for (member, role) in self.members.iter().zip(roles) {
            let changes = member.view.role != *role;
            if changes && !member.movable {
                return false;
            }
            used[member.domain] += usize::from(changes);
            kept.push(!changes);
        }
        if used
            .iter()
            .zip(&self.quota)
            .any(|(used, quota)| used > quota)
        {
            return false;
        }
        let stays = |member: &PoolMember<'_>| member.ready && kept[member.index];
        let meanwhile = self.capable(roles, stays);
        let afterwards = self.capable(roles, |_| true);
        let (prefill, decode) = self.present_capable;
        if prefill && !(meanwhile.0 && afterwards.0) || decode && !(meanwhile.1 && afterwards.1) {
            return false;
        }
        let bound = self.present_shortage + SHORTAGE_TOLERANCE;
        self.urgent_shortage(roles, |_| true) <= bound
            && self.urgent_shortage(roles, |member| kept[member.index]) <= bound
    }
}

/// Shortages that differ by less are equal; it covers the balance share of [`capacity_loss`].
const SHORTAGE_TOLERANCE: f64 = 2.0 * BALANCE_WEIGHT;
