//! Orders to upstreams, starts, stops and plans.

use oriolecrank_schema::control::{
    Command, CommandOutcome, EngineOrder, FencingNumber, IntentState, OrderAction, OrderResult,
    PlanAction, PlanStep, StepState,
};
use oriolecrank_schema::document::{BudgetConfig, FailureDomainId, ServiceId, UpstreamId};
use oriolecrank_state::cluster::{MAX_PLAN_STEPS, START_ANNOUNCE_MS};

use crate::cluster_fixture::{
    CaseStep, TestCluster, announce, place_order, refused, remove_upstreams, settle_order, submit,
};
use crate::fixtures::document;

fn order_placed(upstream: &str, term: u64, sequence: u64) -> CommandOutcome {
    CommandOutcome::OrderPlaced {
        order: EngineOrder {
            action: OrderAction::Drain,
            fence: FencingNumber { sequence, term },
            lifetime_ms: 2_000,
            upstream: UpstreamId(upstream.to_owned()),
        },
    }
}

const fn order_pending(term: u64, sequence: u64) -> CommandOutcome {
    CommandOutcome::OrderPending {
        fence: FencingNumber { sequence, term },
    }
}

/// Guards against two orders in flight for one upstream, and against a repeated settlement of an
/// earlier order that settles the current one.
#[test]
fn one_order_is_in_flight_for_each_upstream() {
    let (accepted, unchanged) = (CommandOutcome::Accepted, CommandOutcome::Unchanged);
    let done = |sequence| settle_order("desk-1", 1, sequence, OrderResult::Done);
    let unknown = settle_order("desk-1", 1, 1, OrderResult::Unknown);
    TestCluster::ready().check_steps(
        "orders",
        vec![
            (place_order("desk-1"), order_placed("desk-1", 1, 1)),
            (place_order("desk-1"), order_pending(1, 1)),
            (place_order("engine-1"), order_placed("engine-1", 1, 2)),
            (unknown, unchanged.clone()),
            (place_order("desk-1"), order_pending(1, 1)),
            (done(1), accepted),
            (done(1), unchanged.clone()),
            (place_order("desk-1"), order_placed("desk-1", 1, 3)),
            // A delayed repetition of the first settlement.
            (done(1), unchanged),
            (place_order("desk-1"), order_pending(1, 3)),
            (done(4), refused("no order has this number")),
            (place_order("desk-9"), refused("the upstream is not known")),
        ],
    );
}

/// Guards against orders of a former leader, and against fencing numbers that decrease when the
/// leader changes.
#[test]
fn fencing_numbers_increase_over_terms() {
    let mut cluster = TestCluster::ready();
    cluster.term = 3;
    assert_eq!(
        cluster.send(place_order("desk-1")),
        order_placed("desk-1", 3, 1)
    );
    cluster.term = 4;
    // The new leader finds the order in flight and settles it first.
    assert_eq!(cluster.send(place_order("desk-1")), order_pending(3, 1));
    assert_eq!(cluster.state.orders_in_flight().count(), 1);
    cluster.send(settle_order("desk-1", 3, 1, OrderResult::Failed));
    assert_eq!(
        cluster.send(place_order("desk-1")),
        order_placed("desk-1", 4, 2)
    );
    cluster.send(settle_order("desk-1", 4, 2, OrderResult::Refused));
    cluster.term = 3;
    let stale_term = refused("the term is older than that of the last order");
    assert_eq!(cluster.send(place_order("desk-1")), stale_term);
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
        order_placed("engine-1", 1, 1)
    );
}

/// Guards against an order that is dropped when its upstream leaves, so that a contradicting one
/// could be placed.
#[test]
fn order_stays_in_flight_when_the_upstream_leaves() {
    let mut cluster = TestCluster::ready();
    cluster.send(place_order("desk-1"));
    cluster.send(remove_upstreams(&[("desk-1", 1)]));
    assert_eq!(cluster.send(place_order("desk-1")), order_pending(1, 1));
    cluster.send(announce("desk-1", 2, 1));
    assert_eq!(cluster.send(place_order("desk-1")), order_pending(1, 1));
    cluster.send(settle_order("desk-1", 1, 1, OrderResult::Done));
    assert_eq!(
        cluster.send(place_order("desk-1")),
        order_placed("desk-1", 1, 2)
    );
    cluster.send(settle_order("desk-1", 1, 2, OrderResult::Done));
    cluster.send(remove_upstreams(&[("desk-1", 2)]));
    let not_member = refused("the upstream is not a member");
    assert_eq!(cluster.send(place_order("desk-1")), not_member);
}

fn place_start(service: &str) -> Command {
    Command::PlaceStart {
        failure_domain: FailureDomainId("piedmont-1".to_owned()),
        reason: "demand".to_owned(),
        service: ServiceId(service.to_owned()),
    }
}

fn place_stop(upstream: &str) -> Command {
    Command::PlaceStop {
        reason: "idle".to_owned(),
        upstream: UpstreamId(upstream.to_owned()),
    }
}

const fn settle_platform(intent_id: u64, result: OrderResult) -> Command {
    Command::SettlePlatform { intent_id, result }
}

const fn intent_placed(intent_id: u64) -> CommandOutcome {
    CommandOutcome::IntentPlaced { intent_id }
}

/// A ready cluster with a budget of `total_budget` upstreams for all services and of
/// `assistant_budget` upstreams for service `assistant`.
fn cluster_with_budget(total_budget: u32, assistant_budget: u32) -> TestCluster {
    let budget = |max_upstreams| {
        Some(BudgetConfig {
            max_upstreams: Some(max_upstreams),
        })
    };
    let mut changed = document();
    changed.budget = budget(total_budget);
    changed.services[0].budget = budget(assistant_budget);
    let mut cluster = TestCluster::ready();
    cluster.send(submit("budget", 1, changed));
    cluster
}

/// Guards against upstreams beyond the budget, including while the result of a start is pending or
/// unknown.
#[test]
fn starts_stay_within_the_budgets() {
    let service_exhausted = refused("the budget of the service is exhausted");
    let total_exhausted = refused("the budget of all services is exhausted");
    let (accepted, unchanged) = (CommandOutcome::Accepted, CommandOutcome::Unchanged);
    let joined = crate::cluster_fixture::announced(0, 0);
    let cases: Vec<(&str, TestCluster, Vec<CaseStep>)> = vec![
        (
            "pending, unknown and unannounced starts count",
            cluster_with_budget(9, 2),
            vec![
                (place_start("assistant"), intent_placed(1)),
                (place_start("assistant"), service_exhausted.clone()),
                (settle_platform(1, OrderResult::Unknown), unchanged.clone()),
                (place_start("assistant"), service_exhausted.clone()),
                (settle_platform(1, OrderResult::Done), accepted.clone()),
                (place_start("assistant"), service_exhausted.clone()),
                (announce("engine-2", 1, 1), joined.clone()),
                (place_start("assistant"), service_exhausted.clone()),
                (remove_upstreams(&[("engine-2", 1)]), accepted.clone()),
                (place_start("assistant"), intent_placed(2)),
            ],
        ),
        (
            "an upstream that joins before its start is settled counts once",
            cluster_with_budget(9, 3),
            vec![
                (place_start("assistant"), intent_placed(1)),
                (announce("engine-2", 1, 1), joined.clone()),
                (place_start("assistant"), intent_placed(2)),
                (settle_platform(1, OrderResult::Done), accepted.clone()),
                (settle_platform(1, OrderResult::Done), unchanged.clone()),
                (place_start("assistant"), service_exhausted),
            ],
        ),
        (
            "a failed start no longer counts",
            cluster_with_budget(9, 2),
            vec![
                (place_start("assistant"), intent_placed(1)),
                (settle_platform(1, OrderResult::Failed), accepted.clone()),
                (place_start("assistant"), intent_placed(2)),
                (
                    settle_platform(9, OrderResult::Done),
                    refused("no start or stop has this number"),
                ),
            ],
        ),
        (
            "an upstream that rejoins is not the started one",
            cluster_with_budget(9, 2),
            vec![
                (remove_upstreams(&[("engine-1", 1)]), accepted.clone()),
                (place_start("assistant"), intent_placed(1)),
                (announce("engine-1", 1, 2), joined),
                (
                    place_start("assistant"),
                    refused("the budget of the service is exhausted"),
                ),
            ],
        ),
        (
            "budget of all services",
            cluster_with_budget(3, 3),
            vec![
                (place_start("desk"), intent_placed(1)),
                (place_start("assistant"), total_exhausted),
            ],
        ),
        (
            "unknown names",
            TestCluster::ready(),
            vec![(
                place_start("nowhere"),
                refused("the service is not in the document"),
            )],
        ),
        (
            "stops",
            TestCluster::ready(),
            vec![
                (place_stop("engine-1"), intent_placed(1)),
                (place_stop("engine-1"), intent_placed(1)),
                (remove_upstreams(&[("engine-1", 1)]), accepted.clone()),
                (settle_platform(1, OrderResult::Done), accepted),
                (settle_platform(1, OrderResult::Done), unchanged),
                (place_stop("engine-9"), refused("the upstream is not known")),
            ],
        ),
    ];
    for (name, mut cluster, steps) in cases {
        cluster.check_steps(name, steps);
    }
}

/// Guards against a start that counts against the budget for ever because its upstream never
/// announces itself.
#[test]
fn unannounced_start_expires() {
    let mut cluster = cluster_with_budget(9, 2);
    cluster.send(place_start("assistant"));
    cluster.send(settle_platform(1, OrderResult::Done));
    let state = cluster.state.intents().next().map(|intent| intent.state);
    assert_eq!(state, Some(IntentState::AwaitingAnnouncement));
    cluster.send_after(START_ANNOUNCE_MS - 1, remove_upstreams(&[]));
    assert_eq!(cluster.state.intents().count(), 1);
    assert_eq!(
        cluster.send_after(1, place_start("assistant")),
        intent_placed(2)
    );
}

fn pending_step(number: u32) -> PlanStep {
    PlanStep {
        action: PlanAction::Order {
            action: OrderAction::Drain,
            upstream: UpstreamId("engine-1".to_owned()),
        },
        reason: "demand".to_owned(),
        state: StepState::Pending,
        step: number,
    }
}

fn place_plan(base_plan_id: u64, steps: u32) -> Command {
    Command::PlacePlan {
        base_plan_id,
        steps: (1..=steps).map(pending_step).collect(),
    }
}

const fn advance_step(plan_id: u64, step: u32, state: StepState) -> Command {
    Command::AdvanceStep {
        plan_id,
        state,
        step,
    }
}

/// Guards against a plan that replaces a newer one, a step that runs twice, and a new leader that
/// does not know which step was running.
#[test]
fn plan_steps_advance_once() {
    let (accepted, unchanged) = (CommandOutcome::Accepted, CommandOutcome::Unchanged);
    let invalid_transition = refused("the step cannot change to this state");
    let mut cluster = TestCluster::ready();
    let plan_placed = |plan_id| CommandOutcome::PlanPlaced { plan_id };
    cluster.check_steps(
        "plans",
        vec![
            (place_plan(0, 3), plan_placed(1)),
            (place_plan(0, 1), refused("a newer plan is committed")),
            (
                advance_step(1, 1, StepState::Done),
                invalid_transition.clone(),
            ),
            (advance_step(1, 1, StepState::Running), accepted.clone()),
            (advance_step(1, 1, StepState::Running), unchanged.clone()),
            (
                place_plan(1, 1),
                refused("a step of the current plan is running"),
            ),
            (advance_step(1, 1, StepState::Failed), accepted.clone()),
            (advance_step(1, 1, StepState::Undone), accepted.clone()),
            (
                advance_step(1, 1, StepState::Running),
                invalid_transition.clone(),
            ),
            (advance_step(1, 2, StepState::Cancelled), accepted.clone()),
            (advance_step(1, 2, StepState::Running), invalid_transition),
            (
                advance_step(1, 9, StepState::Running),
                refused("the plan has no such step"),
            ),
            (
                advance_step(2, 1, StepState::Running),
                refused("no plan has this number"),
            ),
            (place_plan(1, 2), plan_placed(2)),
            (advance_step(1, 3, StepState::Running), unchanged),
            (advance_step(2, 1, StepState::Running), accepted),
        ],
    );
    cluster.restore();
    let plan = cluster
        .state
        .plan()
        .expect("the snapshot contains the plan");
    assert_eq!(plan.steps[0].state, StepState::Running);
}

/// Guards against plans of unbounded size, and steps whose numbers are ambiguous.
#[test]
fn malformed_plans_are_refused() {
    let mut cluster = TestCluster::ready();
    let malformed = refused("steps are numbered from 1 and pending");
    let duplicate_steps = Command::PlacePlan {
        base_plan_id: 0,
        steps: vec![pending_step(1), pending_step(1)],
    };
    assert_eq!(cluster.send(duplicate_steps), malformed);
    let finished_step = Command::PlacePlan {
        base_plan_id: 0,
        steps: vec![PlanStep {
            state: StepState::Done,
            ..pending_step(1)
        }],
    };
    assert_eq!(cluster.send(finished_step), malformed);
    let too_long = place_plan(0, MAX_PLAN_STEPS as u32 + 1);
    assert_eq!(
        cluster.send(too_long),
        refused("the plan has too many steps")
    );
}
