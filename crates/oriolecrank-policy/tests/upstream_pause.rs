//! Pauses that upstreams ask for: their length and end, the first requests after them, and the times
//! that refused callers are told.

use std::time::Duration;

use oriolecrank_policy::upstream_pause::UpstreamPause;
use oriolecrank_schema::TimePoint;

const fn at(seconds: u64) -> TimePoint {
    TimePoint::from_millis(seconds * 1_000)
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against requests in a pause, and against one that ends too early or not at all.
#[test]
fn nothing_is_sent_until_the_end_of_a_pause() {
    let mut pause = UpstreamPause::default();
    assert!(pause.allows(at(10)));
    assert!(pause.record(seconds(3), at(10)), "a pause begins");
    for millis in 10_000..13_000 {
        assert!(!pause.allows(TimePoint::from_millis(millis)), "{millis}");
    }
    assert_eq!(pause.time_left(at(11)), Some(seconds(2)));
    assert_eq!(pause.age(at(11)), seconds(1));
    assert!(pause.allows(at(13)));
    assert_eq!(pause.time_left(at(13)), None);
}

/// Guards against a later answer that shortens a pause, and against one that is not extended.
#[test]
fn the_latest_end_holds() {
    let mut pause = UpstreamPause::default();
    assert!(pause.record(seconds(10), at(10)));
    assert!(!pause.record(seconds(1), at(11)), "it goes on");
    assert!(!pause.allows(at(15)), "a shorter pause changes nothing");
    assert!(!pause.record(seconds(10), at(15)), "it goes on");
    assert!(!pause.allows(at(24)));
    assert_eq!(pause.age(at(24)), seconds(14));
    assert!(pause.allows(at(25)));
    assert!(pause.record(seconds(1), at(26)), "a new one begins");
}

/// Guards against a pause of length 0 that stops requests.
#[test]
fn a_pause_of_no_length_is_none() {
    let mut pause = UpstreamPause::default();
    assert!(!pause.record(Duration::ZERO, at(10)));
    assert!(pause.allows(at(10)));
    assert_eq!(pause, UpstreamPause::default());
}

/// Guards against an upstream that is lost for good because it states a wrong unit, and against an
/// overflow.
#[test]
fn an_absurd_pause_ends_after_an_hour() {
    let mut pause = UpstreamPause::default();
    pause.record(Duration::MAX, at(10));
    assert!(!pause.allows(at(3_609)));
    assert!(pause.allows(at(3_610)));
}

/// Guards against all requests that were held back reaching an upstream at the end of its pause.
#[test]
fn requests_increase_with_the_answers_after_a_pause() {
    let mut pause = UpstreamPause::default();
    pause.record(seconds(3), at(10));
    // An answer to a request from before the pause shows nothing.
    pause.record_answer(at(9), at(13));
    let mut sent = Vec::new();
    for round in 0..4 {
        let now = at(13) + Duration::from_millis(round * 20);
        let mut count = 0;
        while pause.allows(now) {
            pause.record_sent(now);
            count += 1;
        }
        sent.push(count);
        for _ in 0..count {
            pause.record_answer(now, now + Duration::from_millis(10));
        }
    }
    assert_eq!(sent, [1, 2, 4, 8]);
}

/// Guards against a ramp that never ends because the first request gets no answer.
#[test]
fn the_ramp_ends_by_time() {
    let mut pause = UpstreamPause::default();
    pause.record(seconds(3), at(10));
    pause.record_sent(at(13));
    assert!(!pause.allows(at(14)));
    assert!(pause.allows(at(15)));
}

/// Guards against a second pause after which all requests are sent at once.
#[test]
fn a_pause_in_the_ramp_begins_a_new_ramp() {
    let mut pause = UpstreamPause::default();
    pause.record(seconds(3), at(10));
    pause.record_sent(at(13));
    assert!(pause.record(seconds(3), at(13)), "a new one begins");
    assert!(!pause.allows(at(15)));
    assert!(pause.allows(at(16)));
    pause.record_sent(at(16));
    assert!(!pause.allows(at(16)));
}

/// Guards against refused callers that come back too early, all at once or out of order, or later
/// than needed.
#[test]
fn callers_come_back_after_the_pause_in_order_and_spread() {
    let mut pause = UpstreamPause::default();
    assert_eq!(pause.return_time(at(10)), Duration::ZERO);
    pause.record(seconds(3), at(10));
    let times: Vec<_> = (0..30)
        .map(|tenth| at(10) + Duration::from_millis(tenth * 100))
        .map(|now| now + pause.return_time(now))
        .collect();
    assert!(times.is_sorted_by(|one, other| one < other), "{times:?}");
    assert_eq!(times[0], at(13));
    assert!(times[29] < at(13) + Duration::from_millis(1_500));
    let mut long = UpstreamPause::default();
    long.record(seconds(600), at(10));
    let last = at(609) + long.return_time(at(609));
    assert_eq!(last, at(615), "the spread is bounded");
}
