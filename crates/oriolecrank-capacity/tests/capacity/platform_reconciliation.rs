//! Starts and stops whose answers are lost.

use oriolecrank_capacity::{
    IntentId, PlatformInstance, PlatformIntent, PlatformReconciler, PlatformStep,
    ReconcilerSettings,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::UpstreamId;

use crate::common::{domain, seconds, service, upstream};

const FIRST: IntentId = IntentId(1);
const SECOND: IntentId = IntentId(2);

fn start(failure_domain: &str) -> PlatformIntent {
    PlatformIntent::Start {
        service: service(),
        failure_domain: domain(failure_domain),
    }
}

fn running(names: &[&str]) -> Vec<PlatformInstance> {
    names
        .iter()
        .map(|name| PlatformInstance {
            upstream: upstream(name),
            service: service(),
            failure_domain: domain("a"),
        })
        .collect()
}

fn announced(names: &[&str]) -> Vec<UpstreamId> {
    names.iter().map(|name| upstream(name)).collect()
}

/// A reconciler that knows the upstream `old`.
fn reconciler() -> PlatformReconciler {
    let mut reconciler = PlatformReconciler::default();
    reconciler.set_known_upstreams(announced(&["old"]));
    reconciler
}

fn step(
    reconciler: &mut PlatformReconciler,
    platform: &[&str],
    members: &[&str],
    now: TimePoint,
) -> Vec<PlatformStep> {
    reconciler.reconcile(&running(platform), &announced(members), now)
}

/// Guards against a second upstream after the answer to a start was lost.
#[test]
fn a_lost_answer_starts_no_second_upstream() {
    let mut reconciler = reconciler();
    reconciler.add(FIRST, start("a"));
    let sent = step(&mut reconciler, &["old"], &["old"], seconds(0));
    assert_eq!(sent, [PlatformStep::Send(FIRST)]);
    reconciler.record_sent(FIRST, seconds(0));
    let too_early = step(&mut reconciler, &["old"], &["old"], seconds(1));
    assert_eq!(too_early, [PlatformStep::ReadBack(FIRST)]);
    let seen = step(&mut reconciler, &["old", "new"], &["old"], seconds(2));
    assert_eq!(seen, []);
    let settled = step(
        &mut reconciler,
        &["old", "new"],
        &["old", "new"],
        seconds(60),
    );
    assert_eq!(settled, [PlatformStep::Settled(FIRST)]);
    assert!(!reconciler.is_starting(&service(), &domain("a")));
}

/// Guards against a start that is never repeated although it had no effect.
#[test]
fn a_start_without_effect_is_sent_again_after_the_flight_time() {
    let mut reconciler = reconciler();
    reconciler.add(FIRST, start("a"));
    reconciler.record_sent(FIRST, seconds(0));
    let at_bound = step(&mut reconciler, &["old"], &["old"], seconds(2));
    assert_eq!(at_bound, [PlatformStep::ReadBack(FIRST)]);
    let after = step(&mut reconciler, &["old"], &["old"], seconds(3));
    assert_eq!(after, [PlatformStep::Send(FIRST)]);
}

/// Guards against a successor that repeats the start of its predecessor, before it has read back and
/// after the new upstream has announced itself.
#[test]
fn a_successor_adopts_the_upstream_of_its_predecessor() {
    let mut reconciler = PlatformReconciler::default();
    reconciler.add_possibly_sent(FIRST, start("a"), seconds(100));
    let blind = step(&mut reconciler, &["old"], &["old"], seconds(200));
    assert_eq!(blind, [PlatformStep::ReadBack(FIRST)]);
    reconciler.set_known_upstreams(announced(&["old"]));
    let adopted = step(
        &mut reconciler,
        &["old", "new"],
        &["old", "new"],
        seconds(200),
    );
    assert_eq!(adopted, [PlatformStep::Settled(FIRST)]);
}

/// Guards against one new upstream that settles two starts, and against a start in another failure
/// domain that is taken for this one.
#[test]
fn one_upstream_settles_one_start() {
    let mut reconciler = reconciler();
    reconciler.add(FIRST, start("a"));
    reconciler.add(SECOND, start("a"));
    reconciler.add(IntentId(3), start("b"));
    for id in [FIRST, SECOND, IntentId(3)] {
        reconciler.record_sent(id, seconds(0));
    }
    let steps = step(
        &mut reconciler,
        &["old", "new"],
        &["old", "new"],
        seconds(10),
    );
    let expected = [
        PlatformStep::Settled(FIRST),
        PlatformStep::Send(SECOND),
        PlatformStep::Send(IntentId(3)),
    ];
    assert_eq!(steps, expected);
}

/// Guards against an upstream that somebody else started and that later settles our start.
#[test]
fn a_foreign_upstream_settles_no_later_start() {
    let mut reconciler = reconciler();
    step(&mut reconciler, &["old", "foreign"], &["old"], seconds(0));
    reconciler.add(FIRST, start("a"));
    reconciler.record_sent(FIRST, seconds(1));
    let steps = step(
        &mut reconciler,
        &["old", "foreign"],
        &["old", "foreign"],
        seconds(2),
    );
    assert_eq!(steps, [PlatformStep::ReadBack(FIRST)]);
}

/// Guards against starts that crash or hang and count as running for ever.
#[test]
fn a_start_that_ends_or_hangs_counts_as_crashed() {
    let within = ReconcilerSettings::default().announce_within.as_secs();
    let cases = [
        ("ended", vec!["old"], 10),
        ("never announced", vec!["old", "new"], within + 1),
    ];
    for (name, platform, at) in cases {
        let mut reconciler = reconciler();
        reconciler.add(FIRST, start("a"));
        reconciler.record_sent(FIRST, seconds(0));
        reconciler.record_answer(FIRST, upstream("new"), seconds(0));
        assert_eq!(
            step(&mut reconciler, &["old", "new"], &["old"], seconds(2)),
            [],
            "{name}"
        );
        let steps = step(&mut reconciler, &platform, &["old"], seconds(at));
        assert_eq!(steps, [PlatformStep::Crashed(FIRST)], "{name}");
    }
}

/// Guards against a stop that is sent twice or reported before it took effect.
#[test]
fn a_stop_is_settled_when_the_platform_no_longer_runs_it() {
    let mut reconciler = reconciler();
    let stop = PlatformIntent::Stop {
        upstream: upstream("old"),
    };
    reconciler.add(FIRST, stop);
    assert_eq!(
        step(&mut reconciler, &["old"], &["old"], seconds(0)),
        [PlatformStep::Send(FIRST)]
    );
    reconciler.record_sent(FIRST, seconds(0));
    assert_eq!(
        step(&mut reconciler, &["old"], &["old"], seconds(1)),
        [PlatformStep::ReadBack(FIRST)]
    );
    assert_eq!(
        step(&mut reconciler, &[], &[], seconds(2)),
        [PlatformStep::Settled(FIRST)]
    );
}
