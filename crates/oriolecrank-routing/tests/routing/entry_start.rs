//! Load: a restart of everything with all callers waiting.

use std::time::Duration;

use oriolecrank_routing::EntryStart;
use oriolecrank_schema::TimePoint;

const fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// Guards against refusals of all callers between the start of an entry and its first document, and
/// against waits that use up the time of a caller or go on without a control group.
#[test]
fn callers_wait_for_the_first_document_as_far_as_their_time_allows() {
    let start = EntryStart {
        started_at: at(10_000),
        expected_within: Duration::from_millis(1_500),
    };
    let limit = |seconds| Some(Duration::from_secs(seconds));
    assert_eq!(start.wait(limit(2), at(10_000)), Duration::from_secs(1));
    assert_eq!(
        start.wait(limit(15), at(10_600)),
        Duration::from_millis(900)
    );
    assert_eq!(start.wait(None, at(10_600)), Duration::from_millis(500));
    assert_eq!(
        start.wait(limit(15), at(11_500)),
        Duration::ZERO,
        "no group has a leader"
    );
    let refusing = EntryStart {
        expected_within: Duration::ZERO,
        ..start
    };
    assert_eq!(
        refusing.wait(limit(15), at(10_000)),
        Duration::ZERO,
        "waits are off"
    );
}
