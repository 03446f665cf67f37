//! Starts and stops whose answers may be lost.

use oriolecrank_capacity::{
    IntentId, PlatformInstance, PlatformIntent, PlatformReconciler, PlatformStep,
    ReconcilerSettings,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::UpstreamId;

use crate::common::{domain, seconds, service, upstream};

const FIRST_INTENT: IntentId = IntentId(1);
const SECOND_INTENT: IntentId = IntentId(2);

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

fn reconcile_at(
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
    reconciler.add(FIRST_INTENT, start("a"));
    let sent = reconcile_at(&mut reconciler, &["old"], &["old"], seconds(0));
    assert_eq!(sent, [PlatformStep::Send(FIRST_INTENT)]);
    reconciler.record_sent(FIRST_INTENT, seconds(0));
    let too_early = reconcile_at(&mut reconciler, &["old"], &["old"], seconds(1));
    assert_eq!(too_early, [PlatformStep::ReadBack(FIRST_INTENT)]);
    let seen = reconcile_at(&mut reconciler, &["old", "new"], &["old"], seconds(2));
    assert_eq!(seen, []);
    let settled = reconcile_at(
        &mut reconciler,
        &["old", "new"],
        &["old", "new"],
        seconds(60),
    );
    assert_eq!(settled, [PlatformStep::Settled(FIRST_INTENT)]);
    assert!(!reconciler.is_starting(&service(), &domain("a")));
}

/// Guards against a start that is never sent again although it had no effect.
#[test]
fn a_start_without_effect_is_sent_again_after_the_flight_time() {
    let mut reconciler = reconciler();
    reconciler.add(FIRST_INTENT, start("a"));
    reconciler.record_sent(FIRST_INTENT, seconds(0));
    let at_flight_time = reconcile_at(&mut reconciler, &["old"], &["old"], seconds(2));
    assert_eq!(at_flight_time, [PlatformStep::ReadBack(FIRST_INTENT)]);
    let after = reconcile_at(&mut reconciler, &["old"], &["old"], seconds(3));
    assert_eq!(after, [PlatformStep::Send(FIRST_INTENT)]);
}

/// Guards against a new leader that repeats a start of its predecessor, before it has a baseline or
/// after the new upstream has announced itself.
#[test]
fn new_leader_finds_the_upstream_started_by_its_predecessor() {
    let mut reconciler = PlatformReconciler::default();
    reconciler.add_possibly_sent(FIRST_INTENT, start("a"), seconds(100));
    let before_baseline = reconcile_at(&mut reconciler, &["old"], &["old"], seconds(200));
    assert_eq!(before_baseline, [PlatformStep::ReadBack(FIRST_INTENT)]);
    reconciler.set_known_upstreams(announced(&["old"]));
    let adopted = reconcile_at(
        &mut reconciler,
        &["old", "new"],
        &["old", "new"],
        seconds(200),
    );
    assert_eq!(adopted, [PlatformStep::Settled(FIRST_INTENT)]);
}

/// Guards against one new upstream that settles two starts, or a start in another failure domain.
#[test]
fn one_upstream_settles_one_start() {
    let mut reconciler = reconciler();
    reconciler.add(FIRST_INTENT, start("a"));
    reconciler.add(SECOND_INTENT, start("a"));
    reconciler.add(IntentId(3), start("b"));
    for id in [FIRST_INTENT, SECOND_INTENT, IntentId(3)] {
        reconciler.record_sent(id, seconds(0));
    }
    let steps = reconcile_at(
        &mut reconciler,
        &["old", "new"],
        &["old", "new"],
        seconds(10),
    );
    let expected = [
        PlatformStep::Settled(FIRST_INTENT),
        PlatformStep::Send(SECOND_INTENT),
        PlatformStep::Send(IntentId(3)),
    ];
    assert_eq!(steps, expected);
}

/// Guards against an upstream that was started outside the reconciler and later settles a start.
#[test]
fn upstream_started_elsewhere_settles_no_later_start() {
    let mut reconciler = reconciler();
    reconcile_at(&mut reconciler, &["old", "foreign"], &["old"], seconds(0));
    reconciler.add(FIRST_INTENT, start("a"));
    reconciler.record_sent(FIRST_INTENT, seconds(1));
    let steps = reconcile_at(
        &mut reconciler,
        &["old", "foreign"],
        &["old", "foreign"],
        seconds(2),
    );
    assert_eq!(steps, [PlatformStep::ReadBack(FIRST_INTENT)]);
}

/// Guards against starts that crash or hang and stay open forever.
#[test]
fn start_that_exits_or_never_announces_counts_as_crashed() {
    let announce_within_s = ReconcilerSettings::default().announce_within.as_secs();
    let cases = [
        ("exited", vec!["old"], 10),
        ("never announced", vec!["old", "new"], announce_within_s + 1),
    ];
    for (name, platform, at) in cases {
        let mut reconciler = reconciler();
        reconciler.add(FIRST_INTENT, start("a"));
        reconciler.record_sent(FIRST_INTENT, seconds(0));
        reconciler.record_answer(FIRST_INTENT, upstream("new"), seconds(0));
        assert_eq!(
            reconcile_at(&mut reconciler, &["old", "new"], &["old"], seconds(2)),
            [],
            "{name}"
        );
        let steps = reconcile_at(&mut reconciler, &platform, &["old"], seconds(at));
        assert_eq!(steps, [PlatformStep::Crashed(FIRST_INTENT)], "{name}");
    }
}

/// Guards against a stop that is sent twice or reported before it took effect.
#[test]
fn stop_is_settled_when_the_platform_no_longer_lists_the_upstream() {
    let mut reconciler = reconciler();
    let stop = PlatformIntent::Stop {
        upstream: upstream("old"),
    };
    reconciler.add(FIRST_INTENT, stop);
    assert_eq!(
        reconcile_at(&mut reconciler, &["old"], &["old"], seconds(0)),
        [PlatformStep::Send(FIRST_INTENT)]
    );
    reconciler.record_sent(FIRST_INTENT, seconds(0));
    assert_eq!(
        reconcile_at(&mut reconciler, &["old"], &["old"], seconds(1)),
        [PlatformStep::ReadBack(FIRST_INTENT)]
    );
    assert_eq!(
        reconcile_at(&mut reconciler, &[], &[], seconds(2)),
        [PlatformStep::Settled(FIRST_INTENT)]
    );
}
