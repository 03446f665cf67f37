//! Plans that are carried out, resumed or undone.

use oriolecrank_capacity::{ChangePlan, PlanAction, PlanError, PlanId, RoleChange, StepState};
use oriolecrank_schema::control::{Command, FencingNumber, OrderAction, OrderResult, UpstreamRole};

use crate::common::upstream;

const fn fence(sequence: u64) -> FencingNumber {
    FencingNumber { term: 1, sequence }
}

fn plan(with_export: bool) -> ChangePlan {
    let change = RoleChange {
        upstream: upstream("u0"),
        from: UpstreamRole::Prefill,
        to: UpstreamRole::Decode,
    };
    let export = OrderAction::ExportCache {
        target: upstream("u1"),
        blocks: 4,
    };
    ChangePlan::role_change(PlanId(1), &change, with_export.then_some(export))
}

/// Plan whose first `steps` steps are done.
fn plan_after_steps(steps: u64) -> ChangePlan {
    let mut plan = plan(false);
    for sequence in 1..=steps {
        plan.record_commit(fence(sequence))
            .expect("the step is pending");
        plan.record_result(&fence(sequence), OrderResult::Done)
            .expect("the order is in flight");
    }
    plan
}

fn next_order(plan: &ChangePlan) -> Option<OrderAction> {
    match plan.next_action() {
        PlanAction::Place(Command::PlaceOrder { action, .. }) => Some(action),
        _ => None,
    }
}

/// Guards against steps in the wrong order, and against a plan that never ends.
#[test]
fn steps_run_one_after_the_other() {
    let mut plan = plan(true);
    let mut orders = Vec::new();
    let mut sequence = 0;
    while let Some(action) = next_order(&plan) {
        orders.push(action);
        sequence += 1;
        plan.record_commit(fence(sequence)).unwrap();
        assert_eq!(plan.next_action(), PlanAction::Wait);
        plan.record_result(&fence(sequence), OrderResult::Done)
            .unwrap();
    }
    let expected = [
        OrderAction::ExportCache {
            target: upstream("u1"),
            blocks: 4,
        },
        OrderAction::Drain,
        OrderAction::ChangeRole {
            role: UpstreamRole::Decode,
        },
        OrderAction::Undrain,
    ];
    assert_eq!(orders, expected);
    assert!(plan.is_complete());
    assert_eq!(plan.next_action(), PlanAction::Finished);
}

/// Guards against a new order while the result of the previous one is unknown.
#[test]
fn unknown_result_is_settled_before_the_next_order() {
    let mut plan = plan_after_steps(1);
    plan.record_commit(fence(2)).unwrap();
    plan.record_result(&fence(2), OrderResult::Unknown).unwrap();
    let settle = PlanAction::Settle {
        upstream: upstream("u0"),
        fence: fence(2),
    };
    assert_eq!(plan.next_action(), settle);
    assert_eq!(plan.record_commit(fence(3)), Err(PlanError::NotInFlight));
    plan.record_result(&fence(2), OrderResult::Done).unwrap();
    assert_eq!(next_order(&plan), Some(OrderAction::Undrain));
}

/// Guards against a new leader that repeats an order under a new fencing number or drops it.
#[test]
fn new_leader_settles_the_order_in_flight() {
    let mut plan = plan_after_steps(1);
    plan.record_commit(fence(2)).unwrap();
    let plan = plan.resumed();
    let settle = PlanAction::Settle {
        upstream: upstream("u0"),
        fence: fence(2),
    };
    assert_eq!(plan.next_action(), settle);
    let untouched = plan_after_steps(1).resumed();
    assert_eq!(next_order(&untouched), next_order(&plan_after_steps(1)));
}

/// Guards against results of old or repeated orders that advance the plan.
#[test]
fn results_of_other_orders_are_refused() {
    let mut plan = plan_after_steps(1);
    assert_eq!(
        plan.record_result(&fence(1), OrderResult::Done),
        Err(PlanError::NotInFlight)
    );
    plan.record_commit(fence(2)).unwrap();
    let before = plan.clone();
    assert_eq!(
        plan.record_result(&fence(1), OrderResult::Done),
        Err(PlanError::NotInFlight)
    );
    assert_eq!(plan, before);
}

/// Guards against an engine that stays drained after a failed change.
#[test]
fn drained_engine_is_undrained_after_a_failed_order() {
    for result in [OrderResult::Refused, OrderResult::Failed] {
        let mut failed_change = plan_after_steps(1);
        failed_change.record_commit(fence(2)).unwrap();
        failed_change.record_result(&fence(2), result).unwrap();
        assert_eq!(
            next_order(&failed_change),
            Some(OrderAction::Undrain),
            "{result:?}"
        );
        assert!(!failed_change.is_complete());

        let mut failed_drain = plan(false);
        failed_drain.record_commit(fence(1)).unwrap();
        failed_drain.record_result(&fence(1), result).unwrap();
        assert!(failed_drain.is_finished(), "{result:?}");
        assert!(!failed_drain.is_complete());
    }
}

/// Guards against a role change that is abandoned because the cache could not be exported.
#[test]
fn a_failed_export_does_not_stop_the_change() {
    let mut plan = plan(true);
    plan.record_commit(fence(1)).unwrap();
    plan.record_result(&fence(1), OrderResult::Failed).unwrap();
    assert_eq!(next_order(&plan), Some(OrderAction::Drain));
}

/// Guards against plans that hang, drain a restarted engine or repeat a change after a crash.
#[test]
fn a_crash_completes_or_undoes_the_plan() {
    let target_role = UpstreamRole::Decode;
    let original = UpstreamRole::Prefill;
    // Number of steps done before the crash, whether the next one is in flight, role after the
    // crash, and expected next step.
    let undrain = OrderAction::Undrain;
    let cases = [
        (
            "before the first order",
            0,
            false,
            original,
            NextStep::Finished,
        ),
        ("drain in flight", 0, true, original, NextStep::Settle),
        (
            "after the drain",
            1,
            false,
            original,
            NextStep::Place(undrain.clone()),
        ),
        (
            "change in flight, not done",
            1,
            true,
            original,
            NextStep::Settle,
        ),
        (
            "change in flight, done",
            1,
            true,
            target_role,
            NextStep::Place(undrain.clone()),
        ),
        (
            "after the change",
            2,
            false,
            target_role,
            NextStep::Place(undrain),
        ),
        ("undrain in flight", 2, true, target_role, NextStep::Settle),
        ("at the end", 3, false, target_role, NextStep::Finished),
    ];
    for (name, steps, in_flight, role, expected) in cases {
        let mut plan = plan_after_steps(steps);
        if in_flight {
            plan.record_commit(fence(steps + 1)).unwrap();
        }
        plan.record_engine_crash(&upstream("u0"), role);
        let next = match plan.next_action() {
            PlanAction::Place(Command::PlaceOrder { action, .. }) => NextStep::Place(action),
            PlanAction::Settle { fence: number, .. } => {
                assert_eq!(number, fence(steps + 1), "{name}");
                NextStep::Settle
            }
            PlanAction::Finished => NextStep::Finished,
            other => panic!("{name}: unexpected action {other:?}"),
        };
        assert_eq!(next, expected, "{name}");
        let completed = steps == 3;
        assert_eq!(plan.is_complete(), completed, "{name}");
    }
}

#[derive(Debug, PartialEq)]
enum NextStep {
    Place(OrderAction),
    Settle,
    Finished,
}

/// Guards against an export to an engine that has lost its cache.
#[test]
fn a_crash_of_the_export_target_skips_the_export() {
    let mut waiting = plan(true);
    waiting.record_engine_crash(&upstream("u1"), UpstreamRole::Decode);
    assert_eq!(next_order(&waiting), Some(OrderAction::Drain));

    let mut in_flight = plan(true);
    in_flight.record_commit(fence(1)).unwrap();
    in_flight.record_engine_crash(&upstream("u1"), UpstreamRole::Decode);
    assert_eq!(in_flight.steps[0].state, StepState::Unsettled(fence(1)));
}

/// Guards against plans that react to crashes of engines that they do not involve.
#[test]
fn a_crash_of_another_engine_changes_nothing() {
    let mut plan = plan_after_steps(1);
    let before = plan.clone();
    plan.record_engine_crash(&upstream("u9"), UpstreamRole::Decode);
    assert_eq!(plan, before);
}
