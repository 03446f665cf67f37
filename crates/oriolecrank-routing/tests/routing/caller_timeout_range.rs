//! Guards against new callers that are mistaken for retrying ones and then queued behind all
//! others. This happens when the timeouts of first attempts differ by some percent.

use std::time::Duration;

use oriolecrank_routing::CallerTimeoutRange;

const LONGEST: Duration = Duration::from_secs(2);

#[test]
fn callers_with_a_slightly_shorter_timeout_are_new() {
    let mut range = CallerTimeoutRange::new(LONGEST);
    for millis in [1_700, 1_750, 1_900, 2_000] {
        let elapsed = range.time_since_first_attempt(Duration::from_millis(millis));
        assert_eq!(elapsed, Duration::ZERO, "{millis}");
    }
}

#[test]
fn callers_with_a_much_shorter_timeout_are_retrying() {
    let mut range = CallerTimeoutRange::new(LONGEST);
    let elapsed = range.time_since_first_attempt(Duration::from_millis(1_400));
    // New callers use 85 to 100% of the longest timeout; the middle of this range is 1,850 ms.
    assert_eq!(elapsed, Duration::from_millis(450));
}

#[test]
fn a_longer_timeout_extends_the_range() {
    let mut range = CallerTimeoutRange::new(Duration::from_secs(1));
    assert_eq!(range.time_since_first_attempt(LONGEST), Duration::ZERO);
    assert!(range.time_since_first_attempt(Duration::from_secs(1)) > Duration::ZERO);
}
