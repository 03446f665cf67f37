//! Fencing check of orders in the agent.

use std::time::Duration;

use oriolecrank_agent::{GateSettings, OrderGate, OrderRefusal, OrderVerdict};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{FencingNumber, OrderResult};

const LIFETIME: Duration = Duration::from_secs(2);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn fence(term: u64, sequence: u64) -> FencingNumber {
    FencingNumber { sequence, term }
}

/// A gate that started at time 0 and whose floor is term 3, sequence 7.
fn gate() -> OrderGate {
    let mut gate = OrderGate::new(GateSettings::default(), at(0));
    gate.raise_floor(&fence(3, 7));
    gate
}

/// Guards against executing orders of a replaced leader, orders delayed in the network or by a
/// pause of the agent, and orders that arrive while one of an earlier agent may still be in flight.
#[test]
fn executes_only_current_orders_within_their_lifetime() {
    struct Case {
        name: &'static str,
        number: FencingNumber,
        received_at: u64,
        now: u64,
        expected: OrderVerdict,
    }
    let refuse = OrderVerdict::Refuse;
    let cases = [
        Case {
            name: "current number",
            number: fence(3, 7),
            received_at: 5_000,
            now: 5_000,
            expected: OrderVerdict::Execute(at(7_000)),
        },
        Case {
            name: "higher number",
            number: fence(3, 8),
            received_at: 5_000,
            now: 5_100,
            expected: OrderVerdict::Execute(at(7_000)),
        },
        Case {
            name: "higher term, lower sequence",
            number: fence(4, 1),
            received_at: 5_000,
            now: 5_000,
            expected: OrderVerdict::Execute(at(7_000)),
        },
        Case {
            name: "lower sequence",
            number: fence(3, 6),
            received_at: 5_000,
            now: 5_000,
            expected: refuse(OrderRefusal::StaleNumber),
        },
        Case {
            name: "lower term",
            number: fence(2, 9),
            received_at: 5_000,
            now: 5_000,
            expected: refuse(OrderRefusal::StaleNumber),
        },
        Case {
            name: "agent just started",
            number: fence(3, 8),
            received_at: 1_999,
            now: 1_999,
            expected: refuse(OrderRefusal::StartupWait),
        },
        Case {
            name: "pause after receipt",
            number: fence(3, 8),
            received_at: 5_000,
            now: 7_000,
            expected: refuse(OrderRefusal::Expired),
        },
    ];
    for case in cases {
        let verdict = gate().check(&case.number, LIFETIME, at(case.received_at), at(case.now));
        assert_eq!(verdict, case.expected, "{}", case.name);
    }
}

/// Guards against an agent that has lost the floor in a restart and executes an old order.
#[test]
fn refuses_everything_until_the_floor_is_known() {
    let mut gate = OrderGate::new(GateSettings::default(), at(0));
    let verdict = gate.check(&fence(9, 9), LIFETIME, at(5_000), at(5_000));
    assert_eq!(verdict, OrderVerdict::Refuse(OrderRefusal::FloorUnknown));
}

/// Guards against two agents that both send orders to the same upstream.
#[test]
fn refuses_everything_once_superseded() {
    let mut gate = gate();
    gate.supersede();
    let verdict = gate.check(&fence(9, 9), LIFETIME, at(5_000), at(5_000));
    assert_eq!(verdict, OrderVerdict::Refuse(OrderRefusal::Superseded));
}

/// Guards against executing an order twice because its answer was lost.
#[test]
fn returns_the_stored_result_for_a_repeated_number() {
    let mut gate = gate();
    let number = fence(3, 8);
    assert!(matches!(
        gate.check(&number, LIFETIME, at(5_000), at(5_000)),
        OrderVerdict::Execute(_)
    ));
    gate.record_result(&number, OrderResult::Done);
    let verdict = gate.check(&number, LIFETIME, at(5_500), at(5_500));
    assert_eq!(verdict, OrderVerdict::Repeat(OrderResult::Done));
}

/// Guards against an upstream that stays blocked because an order with an unknown result can
/// neither be retried nor replaced.
#[test]
fn executes_a_number_again_after_an_unknown_result() {
    let mut gate = gate();
    let number = fence(3, 8);
    assert!(matches!(
        gate.check(&number, LIFETIME, at(5_000), at(5_000)),
        OrderVerdict::Execute(_)
    ));
    gate.record_result(&number, OrderResult::Unknown);
    assert!(matches!(
        gate.check(&number, LIFETIME, at(6_000), at(6_000)),
        OrderVerdict::Execute(_)
    ));
}

/// Guards against a floor that decreases when announcements are answered out of order.
#[test]
fn floor_never_decreases() {
    let mut gate = gate();
    gate.raise_floor(&fence(2, 50));
    assert_eq!(gate.floor(), fence(3, 7));
}
