//! Generators of random commands that use only a few names, so that commands often affect the same
//! records.

use oriolecrank_schema::control::{
    Command, OrderResult, PlanAction, PlanStep, StepState, UpstreamPhase,
};
use oriolecrank_schema::document::{BudgetConfig, ConfigDocument};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::cluster_fixture::{
    announce, clear_suspect, complete_claim, open_claim_for, place_order, release_claim,
    release_rerun, remove_upstreams, report_crash, report_usage, rerun_suspect, settle_order,
    stored_answer, submit, upstream_record, usage_record,
};
use crate::fixtures::{document, organisation};

/// A command and the log time since the previous one, in milliseconds.
#[derive(Debug, Clone)]
pub struct TimedCommand {
    pub after_ms: u64,
    pub command: Command,
}

/// Configuration of a property test with a fixed seed and no persistence of failures.
pub fn fixed_seed(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

/// Mostly short delays, sometimes one after which windows, suspects, ids or claims expire.
pub fn any_delay() -> impl Strategy<Value = u64> {
    prop_oneof![
        12 => 0..2_000_u64,
        3 => Just(60_000_u64),
        2 => Just(600_000_u64),
        2 => Just(900_000_u64),
        1 => Just(86_400_000_u64),
    ]
}

pub fn any_upstream() -> impl Strategy<Value = &'static str> {
    prop_oneof![
        Just("desk-1"),
        Just("desk-2"),
        Just("engine-1"),
        Just("engine-2")
    ]
}

pub fn any_organisation() -> impl Strategy<Value = &'static str> {
    prop_oneof![Just("grove"), Just("press")]
}

/// Valid documents, and invalid ones with a usage window of 0 s.
pub fn any_document() -> impl Strategy<Value = ConfigDocument> {
    (0..4_u64, 0..3_u64, proptest::option::of(1..4_u32)).prop_map(|(window, extra, budget)| {
        let mut result = document();
        result.usage_window_s = window * 30;
        result.budget = budget.map(|limit| BudgetConfig {
            max_upstreams: Some(limit),
        });
        for number in 0..extra {
            result
                .organisations
                .push(organisation(&format!("extra-{number}"), 10 + number));
        }
        result
    })
}

pub fn any_submission() -> impl Strategy<Value = Command> {
    (0..8_u32, 0..6_u64, any_document()).prop_map(|(id, base_revision, document)| {
        submit(&format!("submit-{id}"), base_revision, document)
    })
}

pub fn any_membership() -> impl Strategy<Value = Command> {
    let announcement = (any_upstream(), 1..4_u64, 0..5_u64, any::<bool>()).prop_map(
        |(upstream, incarnation, number, leaving)| {
            let mut record = upstream_record(upstream, incarnation);
            if leaving {
                record.phase = UpstreamPhase::Leaving;
            }
            Command::Announce {
                load: None,
                number,
                record,
            }
        },
    );
    let removal = proptest::collection::vec((any_upstream(), 1..4_u64), 0..3)
        .prop_map(|removals| remove_upstreams(&removals));
    let joining = (any_upstream(), 1..3_u64)
        .prop_map(|(upstream, incarnation)| announce(upstream, incarnation, 0));
    prop_oneof![2 => announcement, 2 => joining, 1 => removal]
}

pub fn any_claim() -> impl Strategy<Value = Command> {
    let open = (
        any_organisation(),
        0..3_u32,
        0..2_u32,
        0..4_u32,
        any_upstream(),
        1..3_u64,
    );
    let open = open.prop_map(
        |(organisation, key, body, request, upstream, incarnation)| {
            let (key, body) = (format!("k-{key}"), format!("b-{body}"));
            open_claim_for(
                organisation,
                &key,
                &body,
                &format!("r-{request}"),
                (upstream, incarnation),
            )
        },
    );
    let size = prop_oneof![Just(30_usize), Just(3_000), Just(70_000)];
    let complete = (0..12_u64, 1..3_u64, proptest::option::of(size)).prop_map(
        |(claim_id, incarnation, bytes)| {
            complete_claim(claim_id, incarnation, bytes.map(stored_answer))
        },
    );
    let release = (0..12_u64, 1..3_u64)
        .prop_map(|(claim_id, incarnation)| release_claim(claim_id, incarnation));
    prop_oneof![3 => open, 1 => complete, 1 => release]
}

pub fn any_usage() -> impl Strategy<Value = Command> {
    let age = prop_oneof![4 => 0..1_000_u64, 2 => 50_000..70_000_u64, 1 => 899_000..901_000_u64];
    let record =
        (0..6_u32, 1..3_u32, 1..100_u64, age).prop_map(|(request, attempt, tokens, age)| {
            usage_record(&format!("r-{request}"), attempt, tokens, age)
        });
    let batch = proptest::collection::vec(record, 0..5).prop_map(report_usage);
    let reported = (0..6_u64).prop_map(|window_id| Command::WindowReported { window_id });
    prop_oneof![4 => batch, 2 => Just(Command::CloseWindow), 1 => reported]
}

fn any_suspect() -> impl Strategy<Value = Command> {
    let running = proptest::collection::vec((any_organisation(), any_fingerprint()), 0..3);
    let crash = (any_upstream(), 0..5_u64, running)
        .prop_map(|(upstream, crash_id, running)| report_crash(upstream, crash_id, &running));
    let rerun = (any_fingerprint(), any_upstream(), 0..2_u32).prop_map(
        |(fingerprint, upstream, request)| {
            rerun_suspect(fingerprint, upstream, &format!("r-{request}"))
        },
    );
    let release = (any_fingerprint(), any_upstream(), 0..2_u32).prop_map(
        |(fingerprint, upstream, request)| {
            release_rerun(fingerprint, upstream, &format!("r-{request}"))
        },
    );
    let clear = (any_organisation(), any_fingerprint())
        .prop_map(|(organisation, fingerprint)| clear_suspect(organisation, fingerprint));
    prop_oneof![4 => crash, 2 => rerun, 1 => release, 2 => clear]
}

fn any_fingerprint() -> impl Strategy<Value = &'static str> {
    prop_oneof![Just("f-1"), Just("f-2"), Just("f-3")]
}

fn any_result() -> impl Strategy<Value = OrderResult> {
    prop_oneof![
        Just(OrderResult::Done),
        Just(OrderResult::Failed),
        Just(OrderResult::Unknown)
    ]
}

fn any_step_state() -> impl Strategy<Value = StepState> {
    prop_oneof![
        Just(StepState::Running),
        Just(StepState::Done),
        Just(StepState::Failed),
        Just(StepState::Undone),
        Just(StepState::Cancelled),
    ]
}

fn any_capacity() -> impl Strategy<Value = Command> {
    let order = any_upstream().prop_map(place_order);
    let settle = (any_upstream(), 0..8_u64, any_result())
        .prop_map(|(upstream, sequence, result)| settle_order(upstream, 1, sequence, result));
    let start = any::<bool>().prop_map(|is_desk| Command::PlaceStart {
        failure_domain: "piedmont-1".to_owned().into(),
        reason: "demand".to_owned(),
        service: if is_desk { "desk" } else { "assistant" }.to_owned().into(),
    });
    let stop = any_upstream().prop_map(|upstream| Command::PlaceStop {
        reason: "idle".to_owned(),
        upstream: upstream.to_owned().into(),
    });
    let settle_platform = (0..8_u64, any_result())
        .prop_map(|(intent_id, result)| Command::SettlePlatform { intent_id, result });
    let plan = (0..4_u64, 0..3_u32).prop_map(|(base_plan_id, count)| Command::PlacePlan {
        base_plan_id,
        steps: (1..=count).map(stop_step).collect(),
    });
    let advance = (0..4_u64, 1..4_u32, any_step_state()).prop_map(|(plan_id, step, state)| {
        Command::AdvanceStep {
            plan_id,
            state,
            step,
        }
    });
    prop_oneof![order, settle, start, stop, settle_platform, plan, advance]
}

fn stop_step(step: u32) -> PlanStep {
    PlanStep {
        action: PlanAction::Stop {
            upstream: "engine-1".to_owned().into(),
        },
        reason: "idle".to_owned(),
        state: StepState::Pending,
        step,
    }
}

fn any_operator_order() -> impl Strategy<Value = Command> {
    (0..4_u32, any_upstream()).prop_map(|(id, upstream)| Command::PlaceOperatorOrder {
        action: oriolecrank_schema::control::OrderAction::Drain,
        operator: "alma".to_owned(),
        origin: "10.0.0.9".to_owned(),
        reason: "new pump".to_owned(),
        request_id: format!("order-{id}"),
        upstream: upstream.to_owned().into(),
    })
}

/// Any command of the schema except [`Command::RecordAudit`].
pub fn any_command() -> impl Strategy<Value = Command> {
    prop_oneof![
        2 => any_submission(),
        4 => any_membership(),
        4 => any_claim(),
        3 => any_usage(),
        3 => any_suspect(),
        3 => any_capacity(),
        1 => any_operator_order(),
    ]
}

/// Sequences of fewer than `length` commands, each with a delay.
pub fn any_sequence<S: Strategy<Value = Command>>(
    command: S,
    length: usize,
) -> impl Strategy<Value = Vec<TimedCommand>> {
    let timed =
        (any_delay(), command).prop_map(|(after_ms, command)| TimedCommand { after_ms, command });
    proptest::collection::vec(timed, 0..length)
}
