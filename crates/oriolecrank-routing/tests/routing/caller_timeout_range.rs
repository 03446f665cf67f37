//! Guards against new callers that are taken for ones that come back after a refusal, and are then
//! sent behind all others. Pattern: callers whose patience differs by some percent from the start.

use std::time::Duration;

use oriolecrank_routing::CallerTimeoutRange;

const LONGEST: Duration = Duration::from_secs(2);

#[test]
fn callers_with_a_slightly_shorter_patience_are_new() {
    let mut range = CallerTimeoutRange::new(LONGEST);
    for millis in [1_700, 1_750, 1_900, 2_000] {
        let spent = range.time_since_first_attempt(Duration::from_millis(millis));
        assert_eq!(spent, Duration::ZERO, "{millis}");
    }
}

#[test]
fn callers_with_a_clearly_shorter_patience_have_come_before() {
    let mut range = CallerTimeoutRange::new(LONGEST);
    let spent = range.time_since_first_attempt(Duration::from_millis(1_400));
    assert_eq!(spent, Duration::from_millis(450));
}

#[test]
fn a_longer_patience_than_all_before_moves_the_range() {
    let mut range = CallerTimeoutRange::new(Duration::from_secs(1));
    assert_eq!(range.time_since_first_attempt(LONGEST), Duration::ZERO);
    assert!(range.time_since_first_attempt(Duration::from_secs(1)) > Duration::ZERO);
}
