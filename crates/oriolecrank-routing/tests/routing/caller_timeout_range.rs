//! Guards against new callers that are mistaken for retrying ones and then queued behind all
//! others. This happens when the timeouts of first attempts differ by some percent.

use std::time::Duration;

use oriolecrank_routing::CallerTimeoutRange;

use crate::fixtures::at;

const LONGEST: Duration = Duration::from_secs(2);

#[test]
fn callers_with_a_slightly_shorter_timeout_are_new() {
    let mut range = CallerTimeoutRange::new(LONGEST, at(0));
    for millis in [1_700, 1_750, 1_900, 2_000] {
        let elapsed = range.time_since_first_attempt(Duration::from_millis(millis), at(0));
        assert_eq!(elapsed, Duration::ZERO, "{millis}");
    }
}

#[test]
fn callers_with_a_much_shorter_timeout_are_retrying() {
    let mut range = CallerTimeoutRange::new(LONGEST, at(0));
    let elapsed = range.time_since_first_attempt(Duration::from_millis(1_400), at(0));
    // New callers use 85 to 100% of the longest timeout; the middle of this range is 1,850 ms.
    assert_eq!(elapsed, Duration::from_millis(450));
}

#[test]
fn a_longer_timeout_extends_the_range() {
    let mut range = CallerTimeoutRange::new(Duration::from_secs(1), at(0));
    assert_eq!(
        range.time_since_first_attempt(LONGEST, at(0)),
        Duration::ZERO
    );
    assert!(range.time_since_first_attempt(Duration::from_secs(1), at(0)) > Duration::ZERO);
}

/// Guards against one caller with a very long timeout after whom all others are queued behind the
/// requests of other routes for good.
#[test]
fn a_single_long_timeout_is_forgotten() {
    let mut range = CallerTimeoutRange::new(LONGEST, at(0));
    let hour = Duration::from_hours(1);
    assert_eq!(
        range.time_since_first_attempt(hour, at(1_000)),
        Duration::ZERO
    );
    assert!(range.time_since_first_attempt(LONGEST, at(2_000)) > Duration::ZERO);
    for seconds in 3..62 {
        range.time_since_first_attempt(LONGEST, at(seconds * 1_000));
    }
    assert_eq!(
        range.time_since_first_attempt(LONGEST, at(62_000)),
        Duration::ZERO
    );
    // Callers that retry are still recognised.
    let retrying = Duration::from_millis(1_400);
    assert!(range.time_since_first_attempt(retrying, at(63_000)) > Duration::ZERO);
}
