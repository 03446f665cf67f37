//! Crash of the upstream against the loss of one connection.

use oriolecrank_agent::{CrashDetector, RunningCall};
use oriolecrank_policy::AttemptId;
use oriolecrank_schema::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn attempt(name: &str) -> AttemptId {
    AttemptId {
        request_id: name.to_owned().into(),
        attempt: 1,
    }
}

fn call(name: &str) -> RunningCall {
    RunningCall {
        organisation: "o".to_owned(),
        fingerprint: name.to_owned(),
    }
}

fn running(names: &[&str]) -> CrashDetector {
    let mut detector = CrashDetector::default();
    for name in names {
        detector.start(attempt(name), call(name), at(0));
    }
    detector
}

/// Guards against a crash whose culprit is missing from the report.
#[test]
fn reports_all_calls_when_all_break() {
    let mut detector = running(&["a", "b"]);
    let number = detector.record_break(&attempt("a"), at(100));
    assert_eq!(detector.record_break(&attempt("b"), at(150)), number);
    let record = detector.decide(number).unwrap();
    let names: Vec<_> = record
        .calls
        .iter()
        .map(|(_, call)| call.fingerprint.as_str())
        .collect();
    assert_eq!(names, ["a", "b"]);
}

/// Guards against innocent requests that become suspects because one connection was lost.
#[test]
fn a_single_break_beside_running_calls_is_no_crash() {
    let mut detector = running(&["a", "b"]);
    let number = detector.record_break(&attempt("a"), at(100));
    assert_eq!(detector.decide(number), None);
}

/// Guards against a false report when the other call ends well before the decision.
#[test]
fn a_call_that_ends_well_after_the_break_shows_that_the_upstream_lives() {
    let mut detector = running(&["a", "b"]);
    let number = detector.record_break(&attempt("a"), at(100));
    detector.finish(&attempt("b"), true);
    assert_eq!(detector.decide(number), None);
}

/// Guards against a restarted upstream whose new calls hide the crash.
#[test]
fn calls_started_after_the_break_do_not_count() {
    let mut detector = running(&["a"]);
    let number = detector.record_break(&attempt("a"), at(100));
    detector.start(attempt("c"), call("c"), at(120));
    assert!(detector.decide(number).is_some());
}

/// Guards against two crashes that are reported as one.
#[test]
fn a_later_break_opens_a_new_group() {
    let mut detector = running(&["a"]);
    let first = detector.record_break(&attempt("a"), at(100));
    detector.start(attempt("b"), call("b"), at(500));
    assert_ne!(detector.record_break(&attempt("b"), at(900)), first);
}
