//! Orders, starts, stops and plans.

use oriolecrank_schema::control::{
    Command, CommandOutcome, EngineOrder, FencingNumber, IntentState, OrderAction, OrderResult,
    PlanAction, PlanStep, StepState,
};
use oriolecrank_schema::document::{BudgetConfig, FailureDomainId, ServiceId, UpstreamId};
use oriolecrank_state::cluster::{MAX_PLAN_STEPS, START_ANNOUNCE_MS};

use crate::cluster_fixture::{
    CaseStep, TestCluster, announce, place_order, refused, remove, settle_order, submit,
};
use crate::fixtures::document;

fn placed(upstream: &str, term: u64, sequence: u64) -> CommandOutcome {
    CommandOutcome::OrderPlaced {
        order: EngineOrder {
            action: OrderAction::Drain,
            fence: FencingNumber { sequence, term },
            lifetime_ms: 2_000,
            upstream: UpstreamId(upstream.to_owned()),
        },
    }
}

const fn pending(term: u64, sequence: u64) -> CommandOutcome {
    CommandOutcome::OrderPending {
        fence: FencingNumber { sequence, term },
    }
}

/// Guards against two orders in flight for one upstream, and against the settlement of an order by
/// a message about an earlier one.
#[test]
fn one_order_is_in_flight_for_each_upstream() {
    let (accepted, unchanged) = (CommandOutcome::Accepted, CommandOutcome::Unchanged);
    let done = |sequence| settle_order("desk-1", 1, sequence, OrderResult::Done);
    let unknown = settle_order("desk-1", 1, 1, OrderResult::Unknown);
    TestCluster::ready().expect_all(
        "orders",
        vec![
            (place_order("desk-1"), placed("desk-1", 1, 1)),
            (place_order("desk-1"), pending(1, 1)),
            (place_order("engine-1"), placed("engine-1", 1, 2)),
            (unknown, unchanged.clone()),
            (place_order("desk-1"), pending(1, 1)),
            (done(1), accepted),
            (done(1), unchanged.clone()),
            (place_order("desk-1"), placed("desk-1", 1, 3)),
            // A late repetition of the first settlement.
            (done(1), unchanged),
            (place_order("desk-1"), pending(1, 3)),
            (done(4), refused("no order has this number")),
            (place_order("desk-9"), refused("the upstream is not known")),
        ],
    );
}

/// Guards against orders of an old leader, and numbers that fall when the leader changes.
#[test]
fn fencing_numbers_rise_over_terms() {
    let mut cluster = TestCluster::ready();
    cluster.term = 3;
    assert_eq!(cluster.send(place_order("desk-1")), placed("desk-1", 3, 1));
    cluster.term = 4;
    // The successor finds the order in flight and settles it first.
    assert_eq!(cluster.send(place_order("desk-1")), pending(3, 1));
    assert_eq!(cluster.state.orders_in_flight().count(), 1);
    cluster.send(settle_order("desk-1", 3, 1, OrderResult::Failed));
    assert_eq!(cluster.send(place_order("desk-1")), placed("desk-1", 4, 2));
    cluster.send(settle_order("desk-1", 4, 2, OrderResult::Refused));
    cluster.term = 3;
    let old = refused("the term is older than that of the last order");
    assert_eq!(cluster.send(place_order("desk-1")), old);
}

/// Guards against orders of unbounded size in the replicated state.
#[test]
fn long_action_is_refused() {
    let mut cluster = TestCluster::ready();
    let command = Command::PlaceOrder {
        action: OrderAction::LoadModel {
            model: "m".repeat(1_024),
            version: "1".to_owned(),
        },
        reason: String::new(),
        upstream: UpstreamId("engine-1".to_owned()),
    };
    assert_eq!(cluster.send(command), refused("the action is too long"));
    assert_eq!(
        cluster.send(place_order("engine-1")),
        placed("engine-1", 1, 1)
    );
}

/// Guards against an order that is forgotten, and then contradicted, when its upstream leaves.
#[test]
fn order_stays_in_flight_when_the_upstream_leaves() {
    let mut cluster = TestCluster::ready();
    cluster.send(place_order("desk-1"));
    cluster.send(remove(&[("desk-1", 1)]));
    assert_eq!(cluster.send(place_order("desk-1")), pending(1, 1));
    cluster.send(announce("desk-1", 2, 1));
    assert_eq!(cluster.send(place_order("desk-1")), pending(1, 1));
    cluster.send(settle_order("desk-1", 1, 1, OrderResult::Done));
    assert_eq!(cluster.send(place_order("desk-1")), placed("desk-1", 1, 2));
    cluster.send(settle_order("desk-1", 1, 2, OrderResult::Done));
    cluster.send(remove(&[("desk-1", 2)]));
    let gone = refused("the upstream is not a member");
    assert_eq!(cluster.send(place_order("desk-1")), gone);
}

fn start(service: &str) -> Command {
    Command::PlaceStart {
        failure_domain: FailureDomainId("piedmont-1".to_owned()),
        reason: "demand".to_owned(),
        service: ServiceId(service.to_owned()),
    }
}

fn stop(upstream: &str) -> Command {
    Command::PlaceStop {
        reason: "idle".to_owned(),
        upstream: UpstreamId(upstream.to_owned()),
    }
}

const fn settle(intent_id: u64, result: OrderResult) -> Command {
    Command::SettlePlatform { intent_id, result }
}

const fn intent(intent_id: u64) -> CommandOutcome {
    CommandOutcome::IntentPlaced { intent_id }
}

/// A ready cluster with a budget of `of_all` upstreams, `of_engines` of them assistants.
fn with_budget(of_all: u32, of_engines: u32) -> TestCluster {
    let budget = |max_upstreams| {
        Some(BudgetConfig {
            max_upstreams: Some(max_upstreams),
        })
    };
    let mut changed = document();
    changed.budget = budget(of_all);
    changed.services[0].budget = budget(of_engines);
    let mut cluster = TestCluster::ready();
    cluster.send(submit("budget", 1, changed));
    cluster
}

/// Guards against upstreams beyond the budget, also while starts are under way or unknown.
#[test]
fn starts_stay_within_the_budgets() {
    let of_service = refused("the budget of the service is exhausted");
    let of_all = refused("the budget of all services is exhausted");
    let (accepted, unchanged) = (CommandOutcome::Accepted, CommandOutcome::Unchanged);
    let joined = crate::cluster_fixture::announced(0, 0);
    let cases: Vec<(&str, TestCluster, Vec<CaseStep>)> = vec![
        (
            "pending, unknown and unannounced starts count",
            with_budget(9, 2),
            vec![
                (start("assistant"), intent(1)),
                (start("assistant"), of_service.clone()),
                (settle(1, OrderResult::Unknown), unchanged.clone()),
                (start("assistant"), of_service.clone()),
                (settle(1, OrderResult::Done), accepted.clone()),
                (start("assistant"), of_service.clone()),
                (announce("engine-2", 1, 1), joined.clone()),
                (start("assistant"), of_service.clone()),
                (remove(&[("engine-2", 1)]), accepted.clone()),
                (start("assistant"), intent(2)),
            ],
        ),
        (
            "an upstream that joins before its start is settled counts once",
            with_budget(9, 3),
            vec![
                (start("assistant"), intent(1)),
                (announce("engine-2", 1, 1), joined.clone()),
                (start("assistant"), intent(2)),
                (settle(1, OrderResult::Done), accepted.clone()),
                (settle(1, OrderResult::Done), unchanged.clone()),
                (start("assistant"), of_service),
            ],
        ),
        (
            "a failed start is given back",
            with_budget(9, 2),
            vec![
                (start("assistant"), intent(1)),
                (settle(1, OrderResult::Failed), accepted.clone()),
                (start("assistant"), intent(2)),
                (
                    settle(9, OrderResult::Done),
                    refused("no start or stop has this number"),
                ),
            ],
        ),
        (
            "an agent that returns is not the started upstream",
            with_budget(9, 2),
            vec![
                (remove(&[("engine-1", 1)]), accepted.clone()),
                (start("assistant"), intent(1)),
                (announce("engine-1", 1, 2), joined),
                (
                    start("assistant"),
                    refused("the budget of the service is exhausted"),
                ),
            ],
        ),
        (
            "budget of all services",
            with_budget(3, 3),
            vec![(start("desk"), intent(1)), (start("assistant"), of_all)],
        ),
        (
            "unknown names",
            TestCluster::ready(),
            vec![(
                start("nowhere"),
                refused("the service is not in the document"),
            )],
        ),
        (
            "stops",
            TestCluster::ready(),
            vec![
                (stop("engine-1"), intent(1)),
                (stop("engine-1"), intent(1)),
                (remove(&[("engine-1", 1)]), accepted.clone()),
                (settle(1, OrderResult::Done), accepted),
                (settle(1, OrderResult::Done), unchanged),
                (stop("engine-9"), refused("the upstream is not known")),
            ],
        ),
    ];
    for (name, mut cluster, steps) in cases {
        cluster.expect_all(name, steps);
    }
}

/// Guards against a budget that stays used up by an upstream that never came up.
#[test]
fn unannounced_start_is_given_up() {
    let mut cluster = with_budget(9, 2);
    cluster.send(start("assistant"));
    cluster.send(settle(1, OrderResult::Done));
    let state = cluster.state.intents().next().map(|intent| intent.state);
    assert_eq!(state, Some(IntentState::AwaitingAnnouncement));
    cluster.send_after(START_ANNOUNCE_MS - 1, remove(&[]));
    assert_eq!(cluster.state.intents().count(), 1);
    assert_eq!(cluster.send_after(1, start("assistant")), intent(2));
}

fn step(number: u32) -> PlanStep {
    PlanStep {
        action: PlanAction::Order {
            action: OrderAction::Drain,
            upstream: UpstreamId("engine-1".to_owned()),
        },
        reason: "swing".to_owned(),
        state: StepState::Pending,
        step: number,
    }
}

fn plan(base_plan_id: u64, steps: u32) -> Command {
    Command::PlacePlan {
        base_plan_id,
        steps: (1..=steps).map(step).collect(),
    }
}

const fn advance(plan_id: u64, step: u32, state: StepState) -> Command {
    Command::AdvanceStep {
        plan_id,
        state,
        step,
    }
}

/// Guards against a plan that replaces a newer one, a step that runs twice, and a successor that
/// does not know which step was running.
#[test]
fn plan_steps_advance_once() {
    let (accepted, unchanged) = (CommandOutcome::Accepted, CommandOutcome::Unchanged);
    let wrong = refused("the step cannot change to this state");
    let mut cluster = TestCluster::ready();
    let placed = |plan_id| CommandOutcome::PlanPlaced { plan_id };
    cluster.expect_all(
        "plans",
        vec![
            (plan(0, 3), placed(1)),
            (plan(0, 1), refused("a newer plan is committed")),
            (advance(1, 1, StepState::Done), wrong.clone()),
            (advance(1, 1, StepState::Running), accepted.clone()),
            (advance(1, 1, StepState::Running), unchanged.clone()),
            (plan(1, 1), refused("a step of the current plan is running")),
            (advance(1, 1, StepState::Failed), accepted.clone()),
            (advance(1, 1, StepState::Undone), accepted.clone()),
            (advance(1, 1, StepState::Running), wrong.clone()),
            (advance(1, 2, StepState::Cancelled), accepted.clone()),
            (advance(1, 2, StepState::Running), wrong),
            (
                advance(1, 9, StepState::Running),
                refused("the plan has no such step"),
            ),
            (
                advance(2, 1, StepState::Running),
                refused("no plan has this number"),
            ),
            (plan(1, 2), placed(2)),
            (advance(1, 3, StepState::Running), unchanged),
            (advance(2, 1, StepState::Running), accepted),
        ],
    );
    cluster.restore();
    let plan = cluster.state.plan().expect("the plan is kept");
    assert_eq!(plan.steps[0].state, StepState::Running);
}

/// Guards against plans of unbounded size, and steps whose numbers are ambiguous.
#[test]
fn malformed_plans_are_refused() {
    let mut cluster = TestCluster::ready();
    let numbering = refused("steps are numbered from 1 and pending");
    let unordered = Command::PlacePlan {
        base_plan_id: 0,
        steps: vec![step(1), step(1)],
    };
    assert_eq!(cluster.send(unordered), numbering);
    let finished = Command::PlacePlan {
        base_plan_id: 0,
        steps: vec![PlanStep {
            state: StepState::Done,
            ..step(1)
        }],
    };
    assert_eq!(cluster.send(finished), numbering);
    let many = plan(0, MAX_PLAN_STEPS as u32 + 1);
    assert_eq!(cluster.send(many), refused("the plan has too many steps"));
}
