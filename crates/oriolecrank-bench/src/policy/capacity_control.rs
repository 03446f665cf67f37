//! Interface between the replay and the decisions about roles, starts and stops, and the
//! implementation of each policy.

use std::time::Duration;

use oriolecrank_capacity::{
    CapabilityEstimator, DemandEstimator, DemandRate, DemandReport, FleetInput, FleetPlanner,
    FleetSettings, PoolInput, RoleDecision, RolePlanner, RoleSettings, ShapedDemand, TokenRate,
    UpstreamView,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{UpstreamPhase, UpstreamRole};
use oriolecrank_schema::document::{
    FailureDomainId, PriorityClass, RegionId, ServiceId, UpstreamId,
};

use super::request_path::{EngineInfo, LoadReport};
use super::scenario::{Scenario, Variant};

/// State of an engine as the leader of the control group sees it.
#[derive(Debug, Clone, Copy)]
pub struct EngineStatus {
    /// Announced values; the role is the new one during a role change.
    pub info: EngineInfo,
    /// Announced phase.
    pub phase: UpstreamPhase,
    /// Time of the last role change on the clock of the decisions, in milliseconds; 0 if the engine
    /// still has its initial role.
    pub role_since_ms: u64,
    /// Whether it runs or starts; false if it is stopped or its failure domain is lost.
    pub exists: bool,
}

/// A decision that the replay carries out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetAction {
    /// Changes the role of an engine.
    Change {
        /// Index of the engine.
        engine: usize,
        /// New role.
        role: UpstreamRole,
        /// Whether the change takes no time and needs no drain.
        instant: bool,
    },
    /// Starts an engine.
    Start {
        /// Index of the pool.
        pool: usize,
        /// Index of the failure domain.
        domain: usize,
    },
    /// Drains and stops an engine.
    Stop {
        /// Index of the engine.
        engine: usize,
    },
}

/// Decisions of one policy about roles, starts and stops.
pub trait CapacityControl {
    /// Delivers a demand report.
    fn observe_demand(&mut self, report: &DemandReport, now: TimePoint);

    /// Delivers a load report.
    fn observe_load(&mut self, role: UpstreamRole, report: &LoadReport, now: TimePoint);

    /// Decides what to change; called every [`DECISION_INTERVAL`]. `lost` marks by index the
    /// failure domains in which no engine can start.
    fn decide(
        &mut self,
        engines: &[EngineStatus],
        lost: &[bool],
        now: TimePoint,
    ) -> Vec<FleetAction>;
}

/// Identifier of the service that a pool runs.
pub fn service_id(pool: usize) -> ServiceId {
    ServiceId(format!("pool-{pool}"))
}

fn upstream_id(engine: usize) -> UpstreamId {
    UpstreamId(format!("{engine}"))
}

fn engine_index(upstream: &UpstreamId) -> usize {
    upstream
        .parse()
        .expect("upstreams are named by their index")
}

fn domain_id(domain: usize) -> FailureDomainId {
    FailureDomainId(format!("{domain}"))
}

/// Keeps all engines and their roles.
#[derive(Debug, Default)]
pub struct StaticControl;

impl CapacityControl for StaticControl {
    fn observe_demand(&mut self, _report: &DemandReport, _now: TimePoint) {}

    fn observe_load(&mut self, _role: UpstreamRole, _report: &LoadReport, _now: TimePoint) {}

    fn decide(&mut self, _: &[EngineStatus], _: &[bool], _: TimePoint) -> Vec<FleetAction> {
        Vec::new()
    }
}

/// The decisions of `oriolecrank-capacity`.
#[derive(Debug)]
pub struct ShippedControl {
    demand: DemandEstimator,
    capability: CapabilityEstimator,
    roles: Vec<RolePlanner>,
    fleet: FleetPlanner,
    /// Initial number of engines by pool, which is also the upper limit.
    sizes: Vec<usize>,
    domains: usize,
    /// Whether role changes are left out.
    fleet_only: bool,
}

impl ShippedControl {
    /// Control with default settings. With `fleet_only` it starts and stops engines, but changes no
    /// roles.
    pub fn new(scenario: &Scenario, fleet_only: bool) -> Self {
        let pools = scenario.pools.len();
        Self {
            demand: DemandEstimator::default(),
            capability: CapabilityEstimator::default(),
            roles: vec![RolePlanner::new(RoleSettings::default()); pools],
            fleet: FleetPlanner::new(FleetSettings::default()),
            sizes: scenario.pools.iter().map(|pool| pool.roles.len()).collect(),
            domains: scenario.domains,
            fleet_only,
        }
    }

    fn plan_pool(
        &mut self,
        pool: usize,
        views: &[UpstreamView],
        lost: &[bool],
        now: TimePoint,
    ) -> Vec<FleetAction> {
        let service = service_id(pool);
        let freshness = self.demand.freshness(now);
        let summary = self.demand.service_summary(&service);
        let urgent = self.demand.summary(&service, PriorityClass::Urgent).short;
        let mut actions = Vec::new();
        if !self.fleet_only {
            let input = PoolInput {
                service: &service,
                upstreams: views,
                pending: &[],
                demand: summary.short,
                urgent,
                freshness,
                capability: &self.capability,
            };
            if let RoleDecision::Change(changes) = self.roles[pool].plan(&input, now) {
                actions.extend(changes.iter().map(|change| FleetAction::Change {
                    engine: engine_index(&change.upstream),
                    role: change.to,
                    instant: false,
                }));
            }
        }
        let domains: Vec<FailureDomainId> = (0..self.domains)
            .filter(|domain| !lost[*domain])
            .map(domain_id)
            .collect();
        let input = FleetInput {
            service: &service,
            upstreams: views,
            // Starting and stopping engines are among `upstreams`, in the phases cold and leaving.
            starting: &[],
            stopping: &[],
            domains: &domains,
            protected: &[],
            demand: summary,
            urgent,
            freshness,
            demand_settings: self.demand.settings(),
            capability: &self.capability,
            service_budget: Some(self.sizes[pool]),
            total_budget: None,
        };
        let decision = self.fleet.plan(&input, now);
        actions.extend(decision.starts.iter().map(|start| {
            FleetAction::Start {
                pool,
                domain: start
                    .failure_domain
                    .parse()
                    .expect("failure domains are named by their index"),
            }
        }));
        actions.extend(decision.stops.iter().map(|stop| FleetAction::Stop {
            engine: engine_index(&stop.upstream),
        }));
        actions
    }
}

/// Views of all engines that run or start.
fn views(engines: &[EngineStatus]) -> Vec<UpstreamView> {
    engines
        .iter()
        .enumerate()
        .filter(|(_, status)| status.exists && status.info.role != UpstreamRole::Plain)
        .map(|(index, status)| UpstreamView {
            upstream: upstream_id(index),
            service: service_id(usize::from(status.info.pool)),
            failure_domain: domain_id(usize::from(status.info.domain)),
            region: RegionId(format!("{}", status.info.region)),
            role: status.info.role,
            phase: status.phase,
            model: None,
            capacity_blocks: super::engine_model::MEMORY_BLOCKS,
            role_since: TimePoint::from_millis(status.role_since_ms),
        })
        .collect()
}

impl CapacityControl for ShippedControl {
    fn observe_demand(&mut self, report: &DemandReport, now: TimePoint) {
        self.demand.observe(report, now);
    }

    fn observe_load(&mut self, role: UpstreamRole, report: &LoadReport, now: TimePoint) {
        let upstream = upstream_id(report.engine);
        self.capability.observe(&upstream, role, &report.load, now);
    }

    fn decide(
        &mut self,
        engines: &[EngineStatus],
        lost: &[bool],
        now: TimePoint,
    ) -> Vec<FleetAction> {
        self.demand.expire(now);
        let views = views(engines);
        (0..self.sizes.len())
            .flat_map(|pool| self.plan_pool(pool, &views, lost, now))
            .collect()
    }
}

/// Threshold rule: if the engines of one role have too many calls and more than those of the other,
/// one engine changes to that role.
#[derive(Debug)]
pub struct ReactiveControl {
    pools: usize,
    /// Role, and number of queued and running calls, in the last load report of each engine.
    calls_by_engine: Vec<(UpstreamRole, u32)>,
}

/// Queued and running calls per engine above which the threshold rule acts; those of decode engines
/// are divided by the ratio of the batch sizes.
const REACTIVE_THRESHOLD: f64 = 4.0;

impl ReactiveControl {
    /// Control of all pools of the scenario.
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            pools: scenario.pools.len(),
            calls_by_engine: Vec::new(),
        }
    }

    /// Mean number of queued and running calls of the engines with a role.
    fn mean_load(&self, engines: &[EngineStatus], pool: usize, role: UpstreamRole) -> f64 {
        let members = || {
            self.calls_by_engine
                .iter()
                .zip(engines)
                .filter(|(_, status)| usize::from(status.info.pool) == pool)
                .filter(|(_, status)| status.exists && status.info.role == role)
        };
        let count = members().count();
        let calls: u32 = members().map(|((_, calls), _)| calls).sum();
        f64::from(calls) / count.max(1) as f64
    }
}

impl CapacityControl for ReactiveControl {
    fn observe_demand(&mut self, _report: &DemandReport, _now: TimePoint) {}

    fn observe_load(&mut self, role: UpstreamRole, report: &LoadReport, _now: TimePoint) {
        if self.calls_by_engine.len() <= report.engine {
            self.calls_by_engine.resize(report.engine + 1, (role, 0));
        }
        self.calls_by_engine[report.engine] = (role, report.load.queued + report.load.running);
    }

    fn decide(&mut self, engines: &[EngineStatus], _: &[bool], _: TimePoint) -> Vec<FleetAction> {
        let mut actions = Vec::new();
        for pool in 0..self.pools {
            // Decode engines run six times as many sequences as prefill engines.
            let prefill = self.mean_load(engines, pool, UpstreamRole::Prefill);
            let decode = self.mean_load(engines, pool, UpstreamRole::Decode) / 6.0;
            let (from, to) = if prefill > REACTIVE_THRESHOLD && prefill > decode {
                (UpstreamRole::Decode, UpstreamRole::Prefill)
            } else if decode > REACTIVE_THRESHOLD && decode > prefill {
                (UpstreamRole::Prefill, UpstreamRole::Decode)
            } else {
                continue;
            };
            let members: Vec<usize> = (0..engines.len())
                .filter(|index| usize::from(engines[*index].info.pool) == pool)
                .filter(|index| engines[*index].info.role == from && engines[*index].info.ready)
                .collect();
            if members.len() > 1 {
                actions.push(FleetAction::Change {
                    engine: members[0],
                    role: to,
                    instant: false,
                });
            }
        }
        actions
    }
}

/// Factors on the capacity of prefill engines that the policy `bound` tries, each in its own
/// replay. Prompts that wait delay the first token, so the best split of the engines depends on the
/// load.
pub const BOUND_FACTORS: [f64; 2] = [1.0, 0.7];

/// Knows the rates of the scenario in advance and changes roles at no cost. Starts engines like
/// [`ShippedControl`] and stops none.
#[derive(Debug)]
pub struct BoundControl {
    scenario: Scenario,
    variant: Variant,
    prefill_factor: f64,
    fleet: ShippedControl,
}

/// Mean number of computed prompt tokens and of generated tokens per read, chat and urgent call.
/// The former include a part of the shared beginnings of prompts, which are not always cached.
const MEAN_TOKENS: [(f64, f64); 3] = [(4_200.0, 50.0), (500.0, 250.0), (600.0, 4.0)];

impl BoundControl {
    /// Control for a variant of a scenario, with one of [`BOUND_FACTORS`].
    pub fn new(scenario: &Scenario, variant: Variant, prefill_factor: f64) -> Self {
        Self {
            scenario: scenario.clone(),
            variant,
            prefill_factor,
            fleet: ShippedControl::new(scenario, true),
        }
    }

    fn demand(&self, pool: usize, now: TimePoint) -> ShapedDemand {
        let second = super::replay::replay_second(now);
        // The middle of the interval until the next decision.
        let rates = self.scenario.rates(pool, self.variant, second + 2.5);
        let tokens = |calls: f64, (prefill, decode): (f64, f64)| DemandRate {
            prefill: TokenRate::per_second(calls * prefill),
            decode: TokenRate::per_second(calls * decode),
        };
        let [read, chat, urgent] = MEAN_TOKENS;
        ShapedDemand {
            prompt_heavy: tokens(rates.reads, read) + tokens(rates.urgent, urgent),
            output_heavy: tokens(rates.chats, chat),
        }
    }

    /// Number of prefill engines with which the utilisation of the busier role is lowest; all other
    /// engines decode. Mixed engines would only lower the goodput, because the roles match the
    /// demand at any time.
    fn best_prefill_count(&self, engines: usize, demand: ShapedDemand) -> usize {
        let needed = self.fleet.capability.engines_for(demand);
        let busier_utilisation = |prefill: &usize| {
            let decode = engines - prefill;
            let prefill_utilisation =
                needed.prefill / (*prefill as f64).max(1e-3) / self.prefill_factor;
            prefill_utilisation.max(needed.decode / (decode as f64).max(1e-3))
        };
        (0..=engines)
            .min_by(|one, other| busier_utilisation(one).total_cmp(&busier_utilisation(other)))
            .unwrap_or(0)
    }
}

impl CapacityControl for BoundControl {
    fn observe_demand(&mut self, report: &DemandReport, now: TimePoint) {
        self.fleet.observe_demand(report, now);
    }

    fn observe_load(&mut self, role: UpstreamRole, report: &LoadReport, now: TimePoint) {
        self.fleet.observe_load(role, report, now);
    }

    fn decide(
        &mut self,
        engines: &[EngineStatus],
        lost: &[bool],
        now: TimePoint,
    ) -> Vec<FleetAction> {
        let mut actions = self.fleet.decide(engines, lost, now);
        actions.retain(|action| matches!(action, FleetAction::Start { .. }));
        for pool in 0..self.scenario.pools.len() {
            let members: Vec<usize> = (0..engines.len())
                .filter(|index| usize::from(engines[*index].info.pool) == pool)
                .filter(|index| engines[*index].info.ready)
                .collect();
            let prefill = self.best_prefill_count(members.len(), self.demand(pool, now));
            let wanted = [
                (UpstreamRole::Prefill, prefill),
                (UpstreamRole::Decode, members.len() - prefill),
            ];
            actions.extend(fewest_role_changes(engines, members, wanted));
        }
        actions
    }
}

/// The fewest changes that give each role its number of engines.
fn fewest_role_changes(
    engines: &[EngineStatus],
    members: Vec<usize>,
    wanted: [(UpstreamRole, usize); 2],
) -> Vec<FleetAction> {
    let mut free = members;
    let mut missing = Vec::new();
    for (role, count) in wanted {
        let mut kept = 0;
        free.retain(|index| {
            let keeps = kept < count && engines[*index].info.role == role;
            kept += usize::from(keeps);
            !keeps
        });
        missing.extend(std::iter::repeat_n(role, count - kept));
    }
    free.into_iter()
        .zip(missing)
        .map(|(engine, role)| FleetAction::Change {
            engine,
            role,
            instant: true,
        })
        .collect()
}

/// Interval between decisions.
pub const DECISION_INTERVAL: Duration = Duration::from_secs(5);
