//! Compares the role planner with a separate exhaustive search on small fleets.

use crate::common::{fleet, seconds, service, shaped_demand};
use oriolecrank_capacity::{
    CapabilityEstimator, EngineCounts, EngineUtilisation, Freshness, PoolInput, RoleDecision,
    RolePlanner, RoleSettings, ShapedDemand, UpstreamView, engine_shortfall,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::UpstreamRole;
use proptest::prelude::{ProptestConfig, Strategy, prop, proptest};
use proptest::prop_assert;

const ROLES: [UpstreamRole; 3] = [
    UpstreamRole::Prefill,
    UpstreamRole::Decode,
    UpstreamRole::Mixed,
];

/// Reference implementation: evaluates every assignment of roles.
struct ExhaustiveSearch<'a> {
    upstreams: &'a [UpstreamView],
    demand: ShapedDemand,
    urgent: ShapedDemand,
    capability: CapabilityEstimator,
    settings: RoleSettings,
}

impl<'a> ExhaustiveSearch<'a> {
    /// Disables hysteresis, so that the planner makes every change that pays off.
    fn new(upstreams: &'a [UpstreamView], demand: ShapedDemand, urgent_share: f64) -> Self {
        Self {
            upstreams,
            demand,
            urgent: demand * urgent_share,
            capability: CapabilityEstimator::default(),
            settings: RoleSettings {
                hysteresis: 1.0,
                hysteresis_increase: 0.0,
                ..RoleSettings::default()
            },
        }
    }

    fn engines(&self, roles: &[UpstreamRole], include: impl Fn(usize) -> bool) -> EngineCounts {
        let mut engines = EngineCounts::default();
        for (index, role) in roles
            .iter()
            .enumerate()
            .filter(|(index, _)| include(*index))
        {
            let view = &self.upstreams[index];
            engines.add(*role, self.capability.speed(&view.upstream));
        }
        engines
    }

    fn is_changed(&self, roles: &[UpstreamRole], index: usize) -> bool {
        self.upstreams[index].role != roles[index]
    }

    fn net_gain(&self, roles: &[UpstreamRole]) -> f64 {
        let shortfall = |roles: &[UpstreamRole]| {
            let engines = self.engines(roles, |_| true);
            let bound = self.settings.target_utilisation;
            engine_shortfall(self.demand, engines, bound, &self.capability)
        };
        let current: Vec<UpstreamRole> = self.upstreams.iter().map(|view| view.role).collect();
        let changes = (0..roles.len()).filter(|index| self.is_changed(roles, *index));
        let cost = self.settings.change_duration.as_secs_f64() + self.settings.change_penalty;
        let horizon = self.settings.horizon.as_secs_f64();
        (shortfall(&current) - shortfall(roles)) * horizon - changes.count() as f64 * cost
    }

    fn urgent_shortfall(&self, roles: &[UpstreamRole], include: impl Fn(usize) -> bool) -> f64 {
        ["a", "b", "c"]
            .into_iter()
            .filter(|domain| {
                self.upstreams
                    .iter()
                    .any(|view| **view.failure_domain == **domain)
            })
            .map(|domain| {
                let remaining = self.engines(roles, |index| {
                    include(index) && *self.upstreams[index].failure_domain != domain
                });
                engine_shortfall(
                    self.urgent,
                    remaining,
                    EngineUtilisation::FULL,
                    &self.capability,
                )
            })
            .fold(0.0, f64::max)
    }

    fn is_permitted(&self, roles: &[UpstreamRole]) -> bool {
        let indices = 0..roles.len();
        let changes = indices
            .clone()
            .filter(|index| self.is_changed(roles, *index));
        let limit = self.settings.changes_per_engine_hour * roles.len() as f64;
        if changes.count() > (limit as usize).max(1) {
            return false;
        }
        // In failure domains of up to seven upstreams, only one may change at a time.
        for domain in ["a", "b", "c"] {
            let in_domain = indices.clone().filter(|index| {
                *self.upstreams[*index].failure_domain == domain && self.is_changed(roles, *index)
            });
            if in_domain.count() > 1 {
                return false;
            }
        }
        let current: Vec<UpstreamRole> = self.upstreams.iter().map(|view| view.role).collect();
        for excluded in [UpstreamRole::Decode, UpstreamRole::Prefill] {
            let before = current.iter().any(|role| *role != excluded);
            let during = indices
                .clone()
                .any(|index| !self.is_changed(roles, index) && roles[index] != excluded);
            let after = roles.iter().any(|role| *role != excluded);
            if before && !(during && after) {
                return false;
            }
        }
        // Like the planner, treats shortfalls that differ by at most 0.02 engines as equal, which
        // covers the tie-break term of `engine_shortfall`.
        let bound = self.urgent_shortfall(&current, |_| true) + 0.02;
        self.urgent_shortfall(roles, |_| true) <= bound
            && self.urgent_shortfall(roles, |index| !self.is_changed(roles, index)) <= bound
    }

    /// Largest net gain over all permitted assignments of roles with at most `max_changes` changes.
    fn best_net_gain(&self, max_changes: usize) -> f64 {
        let engines = self.upstreams.len() as u32;
        (0..3_usize.pow(engines))
            .map(|number| {
                (0..engines)
                    .map(|index| ROLES[number / 3_usize.pow(index) % 3])
                    .collect::<Vec<_>>()
            })
            .filter(|roles| {
                let changes = (0..roles.len()).filter(|index| self.is_changed(roles, *index));
                changes.count() <= max_changes && self.is_permitted(roles)
            })
            .map(|roles| self.net_gain(&roles))
            .fold(0.0, f64::max)
    }
}

fn any_roles() -> impl Strategy<Value = Vec<UpstreamRole>> {
    prop::collection::vec((0_usize..3).prop_map(|index| ROLES[index]), 2..=6)
}

/// Net gain of the planner's decision, and whether the decision respects all bounds.
fn evaluate_planner(search: &ExhaustiveSearch<'_>, now: TimePoint) -> (f64, bool) {
    let service = service();
    let input = PoolInput {
        service: &service,
        upstreams: search.upstreams,
        pending: &[],
        demand: search.demand,
        urgent: search.urgent,
        freshness: Freshness::Fresh,
        capability: &search.capability,
    };
    let decision = RolePlanner::new(search.settings.clone()).plan(&input, now);
    let mut roles: Vec<UpstreamRole> = search.upstreams.iter().map(|view| view.role).collect();
    match decision {
        RoleDecision::Change(changes) => {
            for change in changes {
                let is_changed_engine = |view: &UpstreamView| view.upstream == change.upstream;
                let index = search.upstreams.iter().position(is_changed_engine);
                roles[index.expect("the planner changes engines of the pool")] = change.to;
            }
        }
        RoleDecision::Keep => {}
        RoleDecision::Frozen(reason) => {
            panic!("expected a change or none, found frozen: {reason:?}")
        }
    }
    (search.net_gain(&roles), search.is_permitted(&roles))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a search that misses the best permitted changes, and against changes that
    /// violate a bound.
    #[test]
    fn complete_search_equals_exhaustive_search(
        roles in any_roles(),
        prefill in 0.0..60_000.0,
        decode in 0.0..6_000.0,
        urgent_share in 0.0..0.3,
    ) {
        let upstreams = fleet(&roles);
        let search =
            ExhaustiveSearch::new(&upstreams, shaped_demand(prefill, decode), urgent_share);
        let (net, permitted) = evaluate_planner(&search, seconds(180));
        let best = search.best_net_gain(roles.len());
        prop_assert!(permitted);
        prop_assert!((net - best).abs() < 1e-6, "net {net}, best {best}");
    }

    /// Guards against a local search, as used for large pools, whose result is worse than the best
    /// pair of changes.
    #[test]
    fn local_search_reaches_the_best_pair(
        roles in any_roles(),
        prefill in 0.0..60_000.0,
        decode in 0.0..6_000.0,
        urgent_share in 0.0..0.3,
    ) {
        let upstreams = fleet(&roles);
        let mut search =
            ExhaustiveSearch::new(&upstreams, shaped_demand(prefill, decode), urgent_share);
        search.settings.complete_search_limit = 0.0;
        let (net, permitted) = evaluate_planner(&search, seconds(180));
        let best = search.best_net_gain(2);
        prop_assert!(permitted);
        prop_assert!(net >= best - 1e-6, "net {net}, best pair {best}");
    }
}
