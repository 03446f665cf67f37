//! Which silent upstreams are taken for crashed.

use oriolecrank_routing::{
    CrashSuspect, PartId, SilentAttempts, UpstreamAnnouncement, UpstreamSigns,
};
use oriolecrank_schema::TimePoint;

use crate::fixtures::{announcement, at};

const SUSPECTS: [CrashSuspect; 2] = [CrashSuspect::Part(PartId(1)), CrashSuspect::Part(PartId(2))];

/// What an entry has observed.
#[derive(Debug, Default)]
struct Observed {
    answered_at: Option<TimePoint>,
    restarted: bool,
}

impl UpstreamSigns for Observed {
    fn has_answered(&self, _upstream: &UpstreamAnnouncement, since: TimePoint) -> bool {
        self.answered_at.is_some_and(|at| at > since)
    }

    fn has_successor(&self, _upstream: &UpstreamAnnouncement) -> bool {
        self.restarted
    }
}

const RESTARTED: Observed = Observed {
    answered_at: None,
    restarted: true,
};

fn silent_attempts() -> SilentAttempts {
    let mut attempts = SilentAttempts::default();
    let upstream = announcement("u", 5, 1);
    attempts.record(&upstream, &SUSPECTS[..1], at(10_000), at(11_200));
    attempts.record(&upstream, &SUSPECTS[1..], at(10_500), at(11_700));
    attempts
}

/// Guards against a crash that shows only by silence and a restart and has no suspects.
#[test]
fn a_silent_upstream_that_starts_again_has_crashed() {
    let mut attempts = silent_attempts();
    assert!(attempts.settle(&Observed::default(), at(12_000)).is_empty());
    let crashes = attempts.settle(&RESTARTED, at(14_000));
    assert_eq!(crashes.len(), 1);
    assert_eq!(crashes[0].suspects, SUSPECTS);
    assert_eq!(crashes[0].silent_since, at(10_000));
    assert!(attempts.settle(&RESTARTED, at(14_100)).is_empty());
}

/// Guards against requests that are blamed because a slow upstream, which answers others, is restarted
/// on purpose later.
#[test]
fn an_answer_to_another_request_clears_those_before() {
    let mut attempts = silent_attempts();
    let observed = Observed {
        answered_at: Some(at(10_200)),
        restarted: false,
    };
    assert!(attempts.settle(&observed, at(12_000)).is_empty());
    let crashes = attempts.settle(&RESTARTED, at(14_000));
    assert_eq!(crashes[0].suspects, SUSPECTS[1..]);
}

/// Guards against requests that are blamed for a restart long after their attempts, and for an
/// upstream from which nothing was awaited for long when their callers left.
#[test]
fn late_restarts_and_short_silences_do_not_count() {
    let mut attempts = silent_attempts();
    assert!(attempts.settle(&Observed::default(), at(40_000)).is_empty());
    attempts.record(&announcement("u", 5, 1), &SUSPECTS, at(50_000), at(50_100));
    assert!(attempts.settle(&RESTARTED, at(50_200)).is_empty());
}
