//! Tests of the policy replay: determinism, the drawn calls and the engine model.

use oriolecrank_bench::policy::engine_model::{EngineModel, Sequence};
use oriolecrank_bench::policy::replay_all;
use oriolecrank_bench::policy::scenario::{Scenario, Variant};
use oriolecrank_bench::policy::traffic::{CallKind, calls};
use oriolecrank_schema::control::UpstreamRole;

/// Guards against results that depend on the iteration order of a hash map or on the system clock.
#[test]
fn equal_seeds_give_equal_lines() {
    let scenario = Scenario::named("refugio", true).expect("the scenario exists");
    for variant in [
        Variant::LateReports,
        Variant::CrashingRequest,
        Variant::DomainLost,
    ] {
        let first = replay_all(&scenario, variant, 7);
        assert_eq!(first, replay_all(&scenario, variant, 7), "{variant:?}");
        assert_ne!(first, replay_all(&scenario, variant, 8), "{variant:?}");
    }
}

/// Guards against rates that stay constant in a variant with swings, for which the policies would
/// need no role changes.
#[test]
fn reads_and_chat_exchange_their_shares() {
    let scenario = Scenario::named("brine", false).expect("the scenario exists");
    let calls = calls(&scenario, Variant::Swing, 1);
    let count = |kind, from: u64, until: u64| {
        let between = |at: u64| at >= from * 1_000_000 && at < until * 1_000_000;
        let matching = calls
            .iter()
            .filter(|call| call.kind == kind && between(call.arrival_us));
        matching.count() as f64
    };
    let reading = count(CallKind::Read, 300, 900) / count(CallKind::Chat, 300, 900);
    let chatting = count(CallKind::Read, 1_200, 1_800) / count(CallKind::Chat, 1_200, 1_800);
    assert!(reading > 1.5 && chatting < 0.1, "{reading}, {chatting}");
}

fn sequence(call: u32, prompt: u32, output: u32) -> Sequence {
    Sequence {
        call,
        class: 1,
        prefix: 1,
        prefix_tokens: prompt / 1_000 * 1_000,
        prompt_left: prompt,
        output_left: output,
        begun: false,
    }
}

/// Runs the engine until it is idle and returns the time in milliseconds.
fn run(engine: &mut EngineModel) -> f64 {
    let mut total = 0;
    while let Some(length) = engine.begin_iteration() {
        total += length;
        engine.end_iteration();
    }
    total as f64 / 1e3
}

/// Guards against roles without a trade-off, which would make role changes pointless.
#[test]
fn each_role_is_best_at_its_work() {
    let time = |role, prompt, output| {
        let mut engine = EngineModel::new(role);
        (0..40).for_each(|call| engine.add(sequence(call, prompt, output)));
        run(&mut engine)
    };
    let roles = [
        UpstreamRole::Prefill,
        UpstreamRole::Mixed,
        UpstreamRole::Decode,
    ];
    let reads = roles.map(|role| time(role, 4_900, 1));
    let chats = roles.map(|role| time(role, 100, 300));
    assert!(reads[0] < reads[1] && reads[1] < reads[2], "{reads:?}");
    assert!(chats[0] > chats[1] && chats[1] > chats[2], "{chats:?}");
}

/// Guards against a token that is lost or generated twice when a sequence is added while an
/// iteration runs.
#[test]
fn a_sequence_that_joins_waits_for_the_next_iteration() {
    let mut engine = EngineModel::new(UpstreamRole::Decode);
    engine.add(sequence(1, 10, 3));
    assert!(engine.begin_iteration().is_some());
    engine.add(Sequence {
        class: 0,
        ..sequence(2, 10, 1)
    });
    assert_eq!(engine.end_iteration().tokens, [1]);
    assert!(engine.begin_iteration().is_some());
    assert_eq!(engine.end_iteration().tokens, [1, 2]);
}

/// Guards against a prefix cache that is never used or never evicts.
#[test]
fn cached_prefixes_are_computed_once_until_they_are_evicted() {
    let mut engine = EngineModel::new(UpstreamRole::Prefill);
    engine.add(sequence(1, 8_000, 1));
    run(&mut engine);
    let first = engine.counters();
    assert_eq!((first.prefill, first.cached), (8_000, 0));
    engine.add(sequence(2, 8_000, 1));
    run(&mut engine);
    assert_eq!(engine.counters().cached, 7_999);
    for prefix in 2..8 {
        engine.add(Sequence {
            prefix,
            ..sequence(prefix, 8_000, 1)
        });
        run(&mut engine);
    }
    engine.add(sequence(9, 8_000, 1));
    run(&mut engine);
    assert_eq!(
        engine.counters().cached,
        7_999,
        "48 blocks hold six documents"
    );
}
