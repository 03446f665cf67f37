//! Tests of capacity plans, from reported demand to orders, starts and stops.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_control::TimeSource as _;
use oriolecrank_control::{
    CapacityExecutor, CapacityInputs, CapacitySettings, CapacitySources, ClusterLabel,
    ControlMetrics, HttpPlatform, OrderExecutor, OrderSettings, PlatformExecutor, PlatformSettings,
};
use oriolecrank_fakes::FakePlatform;
use oriolecrank_net::shutdown::ShutdownTrigger;
use oriolecrank_net::{
    AnswerBody, HttpClient, HttpHandler, empty_answer, message_answer, read_body,
};
use oriolecrank_schema::codec;
use oriolecrank_schema::control::{
    CallShape, Command, DemandEntry, EngineOrder, OrderAction, OrderAnswer, OrderResult,
    PingRequest, StepState, UpstreamPhase, UpstreamRemoval, UpstreamRole,
};
use oriolecrank_schema::data_path::UpstreamLoad;

use crate::support::{
    ManualTime, TestGroup, TestReplica, announce, document, engine_record, listen, secret, service,
    submit, upstream,
};

/// Agents of all upstreams; they share one address.
#[derive(Debug, Clone, Default)]
struct AgentFleet {
    orders: Arc<Mutex<Vec<EngineOrder>>>,
    /// If set, the agents answer that role changes failed.
    role_changes_fail: Arc<Mutex<bool>>,
    /// If set, orders are not carried out and get status 502.
    is_unreachable: Arc<Mutex<bool>>,
}

impl AgentFleet {
    fn orders(&self) -> Vec<EngineOrder> {
        self.orders.lock().unwrap().clone()
    }
}

impl HttpHandler for AgentFleet {
    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<AnswerBody> {
        let body = read_body(request.into_body(), 1 << 20).await.unwrap();
        let order: EngineOrder = codec::decode(&body).unwrap();
        if *self.is_unreachable.lock().unwrap() {
            return empty_answer(StatusCode::BAD_GATEWAY);
        }
        let is_role_change = matches!(order.action, OrderAction::ChangeRole { .. });
        let fails = is_role_change && *self.role_changes_fail.lock().unwrap();
        let result = if fails {
            OrderResult::Failed
        } else {
            OrderResult::Done
        };
        let fence = order.fence.clone();
        self.orders.lock().unwrap().push(order);
        message_answer(&OrderAnswer {
            fence,
            reason: None,
            result,
        })
    }
}

/// State of a simulated engine.
#[derive(Debug, Clone)]
struct Engine {
    domain: &'static str,
    role: UpstreamRole,
    phase: UpstreamPhase,
    incarnation: u64,
    announcements: u64,
    load: UpstreamLoad,
    /// Running requests; a drain waits until there are none.
    running: u32,
    is_present: bool,
}

/// What the entries and engines report each second. Demand is in tokens per second.
#[derive(Debug, Clone, Copy)]
struct Reports {
    prefill: u64,
    decode: u64,
    pings: bool,
    loads: bool,
}

impl Reports {
    const fn with_demand(prefill: u64, decode: u64) -> Self {
        Self {
            prefill,
            decode,
            pings: true,
            loads: true,
        }
    }
}

type Executors = (
    CapacityExecutor<TestReplica, ManualTime>,
    OrderExecutor<TestReplica, ManualTime>,
    Option<PlatformExecutor<TestReplica, ManualTime, HttpPlatform>>,
);

/// A control group with simulated engines and, if wanted, a platform.
struct TestCluster {
    group: TestGroup,
    replica: Arc<TestReplica>,
    inputs: CapacityInputs,
    executors: Executors,
    agents: AgentFleet,
    agent_address: SocketAddr,
    platform: Option<(FakePlatform, SocketAddr)>,
    engines: BTreeMap<String, Engine>,
    /// Number of orders that the engines have carried out.
    applied_orders: usize,
    pings: u64,
    settings: CapacitySettings,
    _triggers: Vec<ShutdownTrigger>,
}

impl TestCluster {
    /// Eight engines in three failure domains.
    async fn new(with_platform: bool) -> Self {
        Self::with_settings(with_platform, CapacitySettings::default()).await
    }

    /// A cluster whose leader makes one plan, a minute after it was elected.
    async fn with_one_plan() -> Self {
        let settings = CapacitySettings {
            warm_up: Duration::from_mins(1),
            plan_interval: Duration::from_hours(1),
            ..CapacitySettings::default()
        };
        Self::with_settings(false, settings).await
    }

    async fn with_settings(with_platform: bool, settings: CapacitySettings) -> Self {
        let group = TestGroup::default();
        // The initial roles count as an hour old, so they may be changed.
        group.time.advance(Duration::from_hours(1));
        let replica = group.replica();
        replica.lead(Duration::from_hours(100));
        submit(&replica, document()).await;
        let agents = AgentFleet::default();
        let (agent_address, trigger) = listen(agents.clone()).await;
        let mut triggers = vec![trigger];
        let mut platform = None;
        if with_platform {
            let fake = FakePlatform::default();
            let (address, trigger) = listen(fake.clone()).await;
            triggers.push(trigger);
            platform = Some((fake, address));
        }
        let inputs = CapacityInputs::default();
        let platform_address = platform.as_ref().map(|(_, address)| *address);
        let executors = executors(&group, &replica, &inputs, platform_address, &settings);
        let mut cluster = Self {
            group,
            replica,
            inputs,
            executors,
            agents,
            agent_address,
            platform,
            engines: BTreeMap::new(),
            applied_orders: 0,
            pings: 0,
            settings,
            _triggers: triggers,
        };
        for number in 0..8 {
            let domain = ["piedmont", "black-belt", "gulf-coast"][number % 3];
            cluster.add_engine(&format!("a-{number}"), domain);
        }
        cluster
    }

    fn add_engine(&mut self, name: &str, domain: &'static str) {
        let engine = Engine {
            domain,
            role: UpstreamRole::Mixed,
            phase: UpstreamPhase::Ready,
            incarnation: 1,
            announcements: 0,
            load: UpstreamLoad {
                decode_tokens: 0,
                prefill_tokens: 0,
                queued: 0,
                running: 0,
                tokens_in_flight: 0,
            },
            running: 0,
            is_present: true,
        };
        if let Some((fake, _)) = &self.platform {
            fake.add_running(oriolecrank_fakes::RunningUpstream {
                upstream: name.to_owned(),
                service: "assistant".to_owned(),
                failure_domain: domain.to_owned(),
            });
        }
        self.engines.insert(name.to_owned(), engine);
    }

    /// Replaces the leader by another instance with empty inputs.
    fn change_leader(&mut self) {
        self.replica.resign();
        self.replica = self.group.replica();
        self.replica.lead(Duration::from_hours(100));
        self.inputs = CapacityInputs::default();
        let platform = self.platform.as_ref().map(|(_, address)| *address);
        self.executors = executors(
            &self.group,
            &self.replica,
            &self.inputs,
            platform,
            &self.settings,
        );
    }

    /// Advances the clock by one second and runs a round of all executors.
    async fn advance_second(&mut self, reports: Reports) {
        self.group.time.advance(Duration::from_secs(1));
        self.apply_orders();
        self.announce(reports).await;
        self.ping(reports);
        let (capacity, orders, platform) = &mut self.executors;
        capacity.round().await;
        orders.round().await;
        if let Some(platform) = platform {
            platform.round().await;
        }
    }

    async fn advance_seconds(&mut self, count: u32, reports: Reports) {
        for _ in 0..count {
            self.advance_second(reports).await;
        }
    }

    /// Applies new orders to the engines.
    fn apply_orders(&mut self) {
        let orders = self.agents.orders();
        let role_changes_fail = *self.agents.role_changes_fail.lock().unwrap();
        for order in &orders[self.applied_orders..] {
            let engine = self.engines.get_mut(&order.upstream.0).unwrap();
            match order.action {
                OrderAction::Drain => engine.phase = UpstreamPhase::Changing,
                OrderAction::Undrain => engine.phase = UpstreamPhase::Ready,
                OrderAction::ChangeRole { role } if !role_changes_fail => engine.role = role,
                _ => {}
            }
        }
        self.applied_orders = orders.len();
    }

    async fn announce(&mut self, reports: Reports) {
        let now = self.group.time.now();
        let count = self.engines.len() as u64;
        for (name, engine) in &mut self.engines {
            if !engine.is_present {
                continue;
            }
            engine.announcements += 1;
            engine.load.prefill_tokens += reports.prefill / count;
            engine.load.decode_tokens += reports.decode / count;
            engine.load.running = engine.running;
            let mut record = engine_record(name, engine.domain, &self.agent_address.to_string());
            record.incarnation = engine.incarnation;
            record.role = engine.role;
            record.phase = engine.phase;
            if reports.loads {
                let number = engine.announcements;
                self.inputs.record_load(&record, number, &engine.load, now);
            }
            let known = self
                .replica
                .state
                .read(|state| state.member(&record.upstream) == Some(&record));
            if !known {
                announce(&self.replica, record, engine.announcements).await;
            }
        }
    }

    fn ping(&mut self, reports: Reports) {
        self.pings += 1;
        if !reports.pings {
            return;
        }
        let entry = |shape, prompt_tokens, output_tokens| DemandEntry {
            organisation: "grove".to_owned(),
            prompt_tokens,
            refused: 0,
            requests: 5,
            service: service("assistant"),
            shape,
            tokens: prompt_tokens + output_tokens,
        };
        let prompt_heavy = entry(CallShape::PromptHeavy, reports.prefill, 0);
        let output_heavy = entry(CallShape::OutputHeavy, 0, reports.decode);
        let ping = PingRequest {
            demand: vec![prompt_heavy, output_heavy],
            ping: self.pings,
            revision: 1,
            subscriber: "entry-1".to_owned(),
        };
        let now = self.group.time.now();
        self.replica
            .state
            .read(|state| self.inputs.record_ping(&ping, state.document(), now));
    }

    async fn remove(&mut self, name: &str) {
        let engine = self.engines.get_mut(name).unwrap();
        engine.is_present = false;
        let removal = UpstreamRemoval {
            incarnation: engine.incarnation,
            upstream: upstream(name),
        };
        let command = Command::RemoveUpstreams {
            reason: "test".to_owned(),
            upstreams: vec![removal],
        };
        self.replica.commit(command).await;
    }

    fn plan_id(&self) -> u64 {
        let state = &self.replica.state;
        state.read(|state| state.plan().map_or(0, |plan| plan.plan_id))
    }

    fn step_states(&self) -> Vec<StepState> {
        self.replica.state.read(|state| {
            let steps = state.plan().into_iter().flat_map(|plan| &plan.steps);
            steps.map(|step| step.state).collect()
        })
    }

    fn intents(&self) -> usize {
        self.replica.state.read(|state| state.intents().count())
    }

    fn actions_of(&self, name: &str) -> Vec<OrderAction> {
        let orders = self.agents.orders().into_iter();
        let orders = orders.filter(|order| order.upstream.0 == name);
        orders.map(|order| order.action).collect()
    }

    /// Asserts that no step is open, no order is in flight, and every engine takes work.
    fn assert_settled(&self, case: &str) {
        let open = |state: &StepState| matches!(state, StepState::Pending | StepState::Running);
        let states = self.step_states();
        assert!(!states.iter().any(open), "{case}: {states:?}");
        let in_flight = self
            .replica
            .state
            .read(|state| state.orders_in_flight().count());
        assert_eq!(in_flight, 0, "{case}");
        for (name, engine) in self.engines.iter().filter(|(_, engine)| engine.is_present) {
            assert_eq!(engine.phase, UpstreamPhase::Ready, "{case}: {name}");
        }
    }
}

fn executors(
    group: &TestGroup,
    replica: &Arc<TestReplica>,
    inputs: &CapacityInputs,
    platform: Option<SocketAddr>,
    settings: &CapacitySettings,
) -> Executors {
    let metrics = ControlMetrics::default();
    let orders = OrderExecutor::new(
        Arc::clone(replica),
        Arc::clone(&replica.state),
        group.time.clone(),
        secret(),
        metrics.clone(),
        OrderSettings::default(),
    );
    let platform = platform.map(|address| {
        PlatformExecutor::new(
            Arc::clone(replica),
            Arc::clone(&replica.state),
            group.time.clone(),
            HttpPlatform::new(address, HttpClient::default()),
            ClusterLabel::new("grove"),
            metrics.clone(),
            PlatformSettings::default(),
        )
    });
    let sources = CapacitySources {
        inputs: inputs.clone(),
        orders: orders.outcomes(),
        starts: platform.as_ref().map(PlatformExecutor::outcomes),
    };
    let capacity = CapacityExecutor::new(
        Arc::clone(replica),
        Arc::clone(&replica.state),
        group.time.clone(),
        sources,
        metrics,
        settings.clone(),
    );
    (capacity, orders, platform)
}

/// Demand that fits eight mixed engines.
const BALANCED: Reports = Reports::with_demand(20_000, 2_400);

/// Demand for more output than eight mixed engines generate.
const HIGH_OUTPUT: Reports = Reports::with_demand(10_000, 6_000);

/// Time within which a new leader finishes the plan of its predecessor, in seconds. The demand
/// estimate of the new leader is stale for the first 40 s, so no drain begins earlier; it makes no
/// plan of its own before a minute has passed.
const TAKEOVER_S: u32 = 55;

/// Runs until the first plan is committed.
async fn run_until_plan(cluster: &mut TestCluster, reports: Reports) {
    for _ in 0..120 {
        if cluster.plan_id() > 0 {
            return;
        }
        cluster.advance_second(reports).await;
    }
    panic!("no plan within two minutes");
}

/// Guards against role changes without a drain, role changes that never end, too many at once, and
/// upstreams that stay drained.
#[tokio::test]
async fn a_demand_shift_leads_to_role_changes_after_drains() {
    let mut cluster = TestCluster::new(false).await;
    cluster.advance_seconds(60, BALANCED).await;
    assert_eq!(cluster.plan_id(), 0, "a plan is made under balanced demand");
    run_until_plan(&mut cluster, HIGH_OUTPUT).await;
    for _ in 0..30 {
        cluster.advance_second(HIGH_OUTPUT).await;
        let changing = cluster.engines.values();
        let changing = changing.filter(|engine| engine.phase == UpstreamPhase::Changing);
        let mut domains: Vec<_> = changing.map(|engine| engine.domain).collect();
        let count = domains.len();
        domains.sort_unstable();
        domains.dedup();
        assert_eq!(
            domains.len(),
            count,
            "more than one upstream of a failure domain changes at a time"
        );
    }
    cluster.assert_settled("demand shift");
    let changed: Vec<_> = cluster
        .engines
        .iter()
        .filter(|(_, engine)| engine.role == UpstreamRole::Decode)
        .map(|(name, _)| name.clone())
        .collect();
    assert!(!changed.is_empty());
    for name in changed {
        let role = UpstreamRole::Decode;
        let expected = [
            OrderAction::Drain,
            OrderAction::ChangeRole { role },
            OrderAction::Undrain,
        ];
        assert_eq!(cluster.actions_of(&name), expected, "{name}");
    }
    assert_eq!(cluster.intents(), 0);
}

/// Guards against a role change while requests run, and against a drain without end.
#[tokio::test]
async fn a_role_changes_only_when_the_upstream_is_idle() {
    let mut cluster = TestCluster::with_one_plan().await;
    for engine in cluster.engines.values_mut() {
        engine.running = 1;
    }
    run_until_plan(&mut cluster, HIGH_OUTPUT).await;
    cluster.advance_seconds(55, HIGH_OUTPUT).await;
    let is_role_change =
        |order: &EngineOrder| matches!(order.action, OrderAction::ChangeRole { .. });
    assert!(!cluster.agents.orders().iter().any(is_role_change));
    // The drain is abandoned after a minute, and the upstreams take work again.
    cluster.advance_seconds(15, HIGH_OUTPUT).await;
    assert!(!cluster.agents.orders().iter().any(is_role_change));
    cluster.assert_settled("busy");
}

/// Guards against changes that are based on old or missing reports.
#[tokio::test]
async fn stale_reports_change_nothing() {
    let without_pings = Reports {
        pings: false,
        ..HIGH_OUTPUT
    };
    let without_loads = Reports {
        loads: false,
        ..HIGH_OUTPUT
    };
    let silent = Reports {
        loads: false,
        ..without_pings
    };
    let cases = [
        ("no pings", without_pings),
        ("no loads", without_loads),
        ("neither pings nor loads", silent),
    ];
    for (name, reports) in cases {
        for has_history in [false, true] {
            let mut cluster = TestCluster::new(true).await;
            if has_history {
                cluster.advance_seconds(60, BALANCED).await;
                // Reports are lost from here on, before the demand changes.
                cluster
                    .advance_seconds(
                        20,
                        Reports {
                            ..with_gaps_of(reports, BALANCED)
                        },
                    )
                    .await;
            }
            cluster.advance_seconds(900, reports).await;
            assert_eq!(
                cluster.plan_id(),
                0,
                "{name}, with earlier reports: {has_history}"
            );
            assert!(
                cluster.agents.orders().is_empty(),
                "{name}, with earlier reports: {has_history}"
            );
            assert_eq!(
                cluster.intents(),
                0,
                "{name}, with earlier reports: {has_history}"
            );
        }
    }
}

/// Reports `demand`, with the same reports missing as in `gaps`.
const fn with_gaps_of(gaps: Reports, demand: Reports) -> Reports {
    Reports {
        pings: gaps.pings,
        loads: gaps.loads,
        ..demand
    }
}

/// Guards against a plan that is lost or left unfinished when the leader changes at any stage.
#[tokio::test]
async fn a_successor_finishes_the_plan_at_any_stage() {
    // Seconds between the commit of the plan and the change of leader.
    for stage in 0..8 {
        let mut cluster = TestCluster::with_one_plan().await;
        run_until_plan(&mut cluster, HIGH_OUTPUT).await;
        let plan = cluster.plan_id();
        cluster.advance_seconds(stage, HIGH_OUTPUT).await;
        cluster.change_leader();
        cluster.advance_seconds(TAKEOVER_S, HIGH_OUTPUT).await;
        assert_eq!(
            cluster.plan_id(),
            plan,
            "stage {stage}: a new plan replaces the unfinished one"
        );
        cluster.assert_settled(&format!("stage {stage}"));
        let states = cluster.step_states();
        assert!(
            states.iter().all(|state| *state == StepState::Done),
            "stage {stage}: {states:?}"
        );
    }
}

/// Guards against an engine that stays drained, or a plan that never ends, when the engine crashes
/// in the middle of its change.
#[tokio::test]
async fn an_engine_crash_at_any_stage_ends_the_change() {
    // Seconds between the commit of the plan and the crash.
    for stage in 0..8 {
        for changes_leader in [false, true] {
            let case = format!("stage {stage}, leader changes: {changes_leader}");
            let mut cluster = TestCluster::with_one_plan().await;
            run_until_plan(&mut cluster, HIGH_OUTPUT).await;
            cluster.advance_seconds(stage, HIGH_OUTPUT).await;
            cluster.apply_orders();
            let mut crashed = Vec::new();
            for (name, engine) in &mut cluster.engines {
                if engine.phase == UpstreamPhase::Changing {
                    crashed.push(name.clone());
                    engine.incarnation += 1;
                    engine.announcements = 0;
                    engine.phase = UpstreamPhase::Ready;
                    engine.role = UpstreamRole::Mixed;
                }
            }
            let in_flight: Vec<EngineOrder> = cluster
                .replica
                .state
                .read(|state| state.orders_in_flight().cloned().collect());
            let before = cluster.agents.orders().len();
            if changes_leader {
                cluster.change_leader();
            }
            cluster.advance_seconds(TAKEOVER_S, HIGH_OUTPUT).await;
            cluster.assert_settled(&case);
            // The new incarnation is not drained; its role changes only after another drain.
            let orders = cluster.agents.orders().split_off(before);
            for name in crashed {
                let own = orders.iter().filter(|order| order.upstream.0 == name);
                let own = own.filter(|order| !in_flight.contains(order));
                let first = own.map(|order| order.action.clone()).next();
                let changes = matches!(first, Some(OrderAction::ChangeRole { .. }));
                assert!(!changes, "{case}: {name}");
            }
        }
    }
}

/// Guards against an engine that stays drained after its role change has failed.
#[tokio::test]
async fn a_failed_role_change_is_undone() {
    let mut cluster = TestCluster::with_one_plan().await;
    *cluster.agents.role_changes_fail.lock().unwrap() = true;
    run_until_plan(&mut cluster, HIGH_OUTPUT).await;
    cluster.advance_seconds(10, HIGH_OUTPUT).await;
    cluster.assert_settled("failed change");
    let states = cluster.step_states();
    assert!(states.contains(&StepState::Undone), "{states:?}");
    assert!(!states.contains(&StepState::Failed), "{states:?}");
}

/// Guards against a plan that never ends, because a delayed proposal of the former leader settled
/// an order and the new leader waits for its result.
#[tokio::test]
async fn an_order_is_repeated_if_its_result_never_arrives() {
    let mut cluster = TestCluster::with_one_plan().await;
    run_until_plan(&mut cluster, HIGH_OUTPUT).await;
    *cluster.agents.is_unreachable.lock().unwrap() = true;
    cluster.advance_seconds(3, HIGH_OUTPUT).await;
    let orders: Vec<EngineOrder> = cluster
        .replica
        .state
        .read(|state| state.orders_in_flight().cloned().collect());
    assert!(!orders.is_empty());
    for order in orders {
        let command = Command::SettleOrder {
            fence: order.fence,
            result: OrderResult::Done,
            upstream: order.upstream,
        };
        cluster.replica.commit(command).await;
    }
    *cluster.agents.is_unreachable.lock().unwrap() = false;
    cluster.advance_seconds(15, HIGH_OUTPUT).await;
    cluster.assert_settled("lost results");
    let states = cluster.step_states();
    assert!(
        states.iter().all(|state| *state == StepState::Done),
        "{states:?}"
    );
}

/// Guards against a drain of the last upstream that can do the work, when others have left since
/// the plan was made.
#[tokio::test]
async fn the_last_capable_upstream_is_never_drained() {
    let mut cluster = TestCluster::new(false).await;
    cluster.advance_seconds(30, BALANCED).await;
    // Runs until the plan is committed, but not until its first step.
    let planned = loop {
        cluster.advance_second(HIGH_OUTPUT).await;
        let planned = cluster.replica.state.read(|state| {
            let steps = state.plan().map(|plan| plan.steps.clone());
            steps.unwrap_or_default()
        });
        if !planned.is_empty() {
            break planned;
        }
    };
    assert!(cluster.agents.orders().is_empty());
    let first = planned.iter().find_map(|step| match &step.action {
        oriolecrank_schema::control::PlanAction::Order { upstream, .. } => Some(upstream.0.clone()),
        _ => None,
    });
    let first = first.unwrap();
    let names: Vec<String> = cluster.engines.keys().cloned().collect();
    for name in names.iter().filter(|name| **name != first) {
        cluster.remove(name).await;
    }
    cluster.advance_seconds(90, HIGH_OUTPUT).await;
    assert!(
        cluster.agents.orders().is_empty(),
        "{:?}",
        cluster.agents.orders()
    );
    cluster.assert_settled("last capable");
}

/// Guards against starts and stops without a platform, whatever the demand.
#[tokio::test]
async fn without_a_platform_only_roles_change() {
    for reports in [
        Reports::with_demand(200_000, 20_000),
        Reports::with_demand(100, 10),
    ] {
        let mut cluster = TestCluster::new(false).await;
        cluster.advance_seconds(1_200, reports).await;
        assert_eq!(cluster.intents(), 0);
        let is_role_step = |order: &EngineOrder| {
            let action = &order.action;
            matches!(
                action,
                OrderAction::Drain | OrderAction::Undrain | OrderAction::ChangeRole { .. }
            )
        };
        assert!(cluster.agents.orders().iter().all(is_role_step));
        assert!(cluster.engines.values().all(|engine| engine.is_present));
    }
}

/// Guards against missing starts under growing demand, against starts beyond the budget, and
/// against crashed starts that are repeated without backoff.
#[tokio::test]
async fn starts_follow_the_demand_the_budget_and_the_backoff() {
    for (crashes, budget) in [(0, 10), (1_000, 12)] {
        let mut cluster = TestCluster::new(true).await;
        let mut document = document();
        document.services[0].budget = Some(oriolecrank_schema::document::BudgetConfig {
            max_upstreams: Some(budget),
        });
        submit(&cluster.replica, document).await;
        let platform = cluster.platform.as_ref().unwrap().0.clone();
        platform.crash_next_starts(crashes);
        cluster
            .advance_seconds(300, Reports::with_demand(60_000, 6_000))
            .await;
        let started = platform.started();
        if crashes == 0 {
            assert_eq!(started, u64::from(budget) - 8);
        } else {
            // The backoff of a failure domain is 30, 60, 120 and 240 s. A round of starts orders
            // at most four, in three domains.
            assert!((4..=20).contains(&started), "{started} starts in 300 s");
        }
    }
}

/// Guards against a stop that cuts off requests, and against a stop of an upstream that is needed.
#[tokio::test]
async fn a_superfluous_upstream_is_drained_before_it_stops() {
    let mut cluster = TestCluster::new(true).await;
    for engine in cluster.engines.values_mut() {
        engine.running = 1;
    }
    let low_demand = Reports::with_demand(2_000, 200);
    cluster.advance_seconds(700, low_demand).await;
    let drains = cluster.agents.orders();
    assert_eq!(drains.len(), 1, "{drains:?}");
    assert_eq!(drains[0].action, OrderAction::Drain);
    assert_eq!(
        cluster.intents(),
        0,
        "a stop is placed while the upstream runs a request"
    );
    let name = drains[0].upstream.0.clone();
    cluster.engines.get_mut(&name).unwrap().running = 0;
    let platform = cluster.platform.as_ref().unwrap().0.clone();
    cluster.advance_seconds(3, low_demand).await;
    assert_eq!(platform.running().len(), 7);
    assert!(
        !platform
            .running()
            .iter()
            .any(|running| running.upstream == name)
    );
    assert_eq!(cluster.actions_of(&name), [OrderAction::Drain]);
}
