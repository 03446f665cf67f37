//! Distinction between a crash of the upstream and the loss of a single connection.

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

fn detector_with_running(names: &[&str]) -> CrashDetector {
    let mut detector = CrashDetector::default();
    for name in names {
        detector.record_start(attempt(name), call(name), at(0));
    }
    detector
}

/// Guards against a crash report that lacks the request that caused the crash.
#[test]
fn reports_all_calls_when_all_disconnect() {
    let mut detector = detector_with_running(&["a", "b"]);
    let group_id = detector.record_disconnect(&attempt("a"), at(100));
    assert_eq!(detector.record_disconnect(&attempt("b"), at(150)), group_id);
    let record = detector.detect_crash(group_id).unwrap();
    let names: Vec<_> = record
        .calls
        .iter()
        .map(|(_, call)| call.fingerprint.as_str())
        .collect();
    assert_eq!(names, ["a", "b"]);
}

/// Guards against requests that are suspected of a crash because a single connection was lost.
#[test]
fn a_single_disconnect_while_other_calls_run_is_no_crash() {
    let mut detector = detector_with_running(&["a", "b"]);
    let group_id = detector.record_disconnect(&attempt("a"), at(100));
    assert_eq!(detector.detect_crash(group_id), None);
}

/// Guards against a false crash report when another call completes before the decision.
#[test]
fn a_call_that_completes_after_the_disconnect_rules_out_a_crash() {
    let mut detector = detector_with_running(&["a", "b"]);
    let group_id = detector.record_disconnect(&attempt("a"), at(100));
    detector.record_end(&attempt("b"), true);
    assert_eq!(detector.detect_crash(group_id), None);
}

/// Guards against missing a crash because a restarted upstream already runs new calls.
#[test]
fn calls_started_after_the_disconnect_are_ignored() {
    let mut detector = detector_with_running(&["a"]);
    let group_id = detector.record_disconnect(&attempt("a"), at(100));
    detector.record_start(attempt("c"), call("c"), at(120));
    assert!(detector.detect_crash(group_id).is_some());
}

/// Guards against reporting two crashes as one.
#[test]
fn a_later_disconnect_opens_a_new_group() {
    let mut detector = detector_with_running(&["a"]);
    let first = detector.record_disconnect(&attempt("a"), at(100));
    detector.record_start(attempt("b"), call("b"), at(500));
    assert_ne!(detector.record_disconnect(&attempt("b"), at(900)), first);
}
