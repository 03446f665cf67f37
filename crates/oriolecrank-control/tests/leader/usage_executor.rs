//! Tests of usage windows and their reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use oriolecrank_control::{ClusterLabel, ControlMetrics, HttpUsage, UsageExecutor, UsageSettings};
use oriolecrank_fakes::{AnswerFault, FakeUsage, ReceivedReport};
use oriolecrank_schema::control::{Command, CommandOutcome, UsageRecord};
use oriolecrank_state::cluster::MAX_UNREPORTED_WINDOWS;
use serde_json::Value;

use crate::support::{ManualTime, TestGroup, TestReplica, document, listen, submit, usage_record};

type TestExecutor = UsageExecutor<TestReplica, ManualTime, HttpUsage>;

fn executor(
    replica: &Arc<TestReplica>,
    time: &ManualTime,
    usage: SocketAddr,
    metrics: &ControlMetrics,
) -> TestExecutor {
    UsageExecutor::new(
        Arc::clone(replica),
        Arc::clone(&replica.state),
        time.clone(),
        Some(HttpUsage::new(usage)),
        ClusterLabel::new("grove"),
        metrics.clone(),
        UsageSettings::default(),
    )
}

async fn report(replica: &TestReplica, records: Vec<UsageRecord>) {
    let source = "entry".to_owned();
    replica
        .commit(Command::ReportUsage { records, source })
        .await;
}

async fn run_for_seconds(executor: &mut TestExecutor, time: &ManualTime, seconds: u32) {
    for _ in 0..seconds * 2 {
        time.advance(Duration::from_millis(500));
        executor.round().await;
    }
}

fn decode_body(report: &ReceivedReport) -> Value {
    serde_json::from_slice(&report.body).unwrap()
}

/// Guards against windows that are closed late, reported late or lost, and against usage that is
/// counted in the wrong window.
#[tokio::test]
async fn windows_are_reported_on_time_and_late_records_go_into_the_next_one() {
    let group = TestGroup::default();
    let replica = group.leader();
    submit(&replica, document()).await;
    let usage = FakeUsage::default();
    let (address, _trigger) = listen(usage.clone()).await;
    let metrics = ControlMetrics::default();
    let mut executor = executor(&replica, &group.time, address, &metrics);
    run_for_seconds(&mut executor, &group.time, 30).await;
    report(&replica, vec![usage_record("r-1", 100, 0)]).await;
    run_for_seconds(&mut executor, &group.time, 32).await;
    // The attempt ended in the first window, and its record arrives in the second one.
    let late = usage_record("r-2", 7, 20_000);
    report(&replica, vec![late, usage_record("r-3", 5, 0)]).await;
    // This record was reported before and must not be counted again.
    report(&replica, vec![usage_record("r-1", 100, 0)]).await;
    run_for_seconds(&mut executor, &group.time, 65).await;
    let reports = usage.reports();
    assert_eq!(reports.len(), 2);
    let lines = |report: &ReceivedReport| {
        let body = decode_body(report);
        let lines = body["lines"].as_array().unwrap().clone();
        let line = |line: &Value| (line["prompt_tokens"].as_u64(), line["late"].as_bool());
        lines.iter().map(line).collect::<Vec<_>>()
    };
    assert_eq!(lines(&reports[0]), [(Some(100), Some(false))]);
    assert_eq!(
        lines(&reports[1]),
        [(Some(5), Some(false)), (Some(7), Some(true))]
    );
    let (first, second) = (decode_body(&reports[0]), decode_body(&reports[1]));
    assert_eq!(first["closed_ms"], second["opened_ms"]);
    for window in [first, second] {
        let length = window["closed_ms"].as_u64().unwrap() - window["opened_ms"].as_u64().unwrap();
        assert!((60_000..62_000).contains(&length), "{length} ms");
    }
    assert_eq!(metrics.late_windows(), 0);
}

/// Guards against a window that is lost, or reported with other bytes or under another id after a
/// failed attempt, and against more attempts than needed.
#[tokio::test]
async fn every_attempt_of_a_window_has_the_same_bytes_and_id() {
    use AnswerFault::{LoseAnswer, LoseRequest, Refuse};
    let refuse = Refuse(StatusCode::SERVICE_UNAVAILABLE);
    let conflict = Refuse(StatusCode::CONFLICT);
    let cases: &[(&str, &[AnswerFault])] = &[
        ("accepted", &[]),
        ("lost answer", &[LoseAnswer]),
        ("lost request", &[LoseRequest]),
        ("refused", &[refuse, conflict, refuse]),
        ("mixed", &[LoseAnswer, refuse, LoseRequest, LoseAnswer]),
    ];
    for (name, faults) in cases {
        let group = TestGroup::default();
        let replica = group.leader();
        submit(&replica, document()).await;
        let usage = FakeUsage::default();
        usage.faults().push(faults.iter().copied());
        let (address, _trigger) = listen(usage.clone()).await;
        let metrics = ControlMetrics::default();
        let mut executor = executor(&replica, &group.time, address, &metrics);
        report(&replica, vec![usage_record("r-1", 100, 0)]).await;
        run_for_seconds(&mut executor, &group.time, 90).await;
        let reports = usage.reports();
        assert_eq!(reports.len(), faults.len() + 1, "{name}");
        for report in &reports {
            assert_eq!(report.body, reports[0].body, "{name}");
            assert_eq!(report.report_id, "grove/window/1", "{name}");
        }
        let unreported = replica
            .state
            .read(|state| state.unreported_windows().count());
        assert_eq!(unreported, 0, "{name}");
        assert_eq!(metrics.late_windows(), 0, "{name}");
    }
}

/// Guards against two leaders that report one window with different bytes, and against a new leader
/// that reports while a report of the former one may still arrive.
#[tokio::test]
async fn two_leaders_report_one_window_with_the_same_bytes() {
    let group = TestGroup::default();
    let first = group.leader();
    submit(&first, document()).await;
    let usage = FakeUsage::default();
    usage.faults().push([AnswerFault::LoseAnswer]);
    let (address, _trigger) = listen(usage.clone()).await;
    let metrics = ControlMetrics::default();
    let mut first_executor = executor(&first, &group.time, address, &metrics);
    report(&first, vec![usage_record("r-1", 100, 0)]).await;
    while usage.reports().is_empty() {
        group.time.advance(Duration::from_millis(500));
        first_executor.round().await;
        assert!(
            group.time_ms() < 100_000,
            "the window is not reported within 100 s"
        );
    }
    let second = group.leader();
    // The former leader still holds its lease, while the new one commits further usage.
    report(&second, vec![usage_record("r-2", 50, 90_000)]).await;
    let mut second_executor = executor(&second, &group.time, address, &metrics);
    second_executor.round().await;
    group.time.advance(Duration::from_millis(2_399));
    second_executor.round().await;
    assert_eq!(usage.reports().len(), 1, "the successor does not wait");
    first.resign();
    run_for_seconds(&mut second_executor, &group.time, 5).await;
    first_executor.round().await;
    let reports = usage.reports();
    assert_eq!(reports.len(), 2);
    assert_eq!(reports[0].body, reports[1].body);
    assert_eq!(reports[0].report_id, reports[1].report_id);
}

/// Guards against a report that is sent without authority: after each check of the authority but
/// the last, the process pauses for longer than its lease.
#[tokio::test]
async fn no_report_is_sent_after_a_pause() {
    let checks = report_with_pause(None).await.unwrap_err();
    assert!(
        checks > 3,
        "the authority is not checked again immediately before the write"
    );
    for pause_at in 1..checks {
        let result = report_with_pause(Some(pause_at)).await;
        assert_eq!(result, Ok(()), "pause after check {pause_at}");
    }
}

/// Sends one report, with a pause after the given number of checks. Returns `Err` with the number
/// of checks if the report reached the usage interface.
async fn report_with_pause(pause_at: Option<u64>) -> Result<(), u64> {
    let group = TestGroup::default();
    let replica = group.leader();
    submit(&replica, document()).await;
    let usage = FakeUsage::default();
    let (address, _trigger) = listen(usage.clone()).await;
    let metrics = ControlMetrics::default();
    let mut executor = executor(&replica, &group.time, address, &metrics);
    executor.round().await;
    group.time.advance(Duration::from_secs(59));
    executor.round().await;
    group.time.advance(Duration::from_secs(1));
    let closed = replica.commit(Command::CloseWindow).await;
    assert_eq!(closed, CommandOutcome::WindowClosed { window_id: 1 });
    let before = replica.checks();
    if let Some(pause_at) = pause_at {
        replica.pause_after_checks(pause_at, Duration::from_hours(11));
    }
    executor.round().await;
    if usage.reports().is_empty() {
        return Ok(());
    }
    Err(replica.checks() - before)
}

/// Guards against windows that are lost when no usage interface is set, and against a log that
/// grows by frequent attempts to close a window once [`MAX_UNREPORTED_WINDOWS`] are kept.
#[tokio::test]
async fn without_a_usage_interface_windows_are_kept_up_to_the_limit() {
    let group = TestGroup::default();
    let replica = group.replica();
    replica.lead(Duration::from_hours(100));
    submit(&replica, document()).await;
    let metrics = ControlMetrics::default();
    let mut executor = UsageExecutor::<_, _, HttpUsage>::new(
        Arc::clone(&replica),
        Arc::clone(&replica.state),
        group.time.clone(),
        None,
        ClusterLabel::new("grove"),
        metrics.clone(),
        UsageSettings::default(),
    );
    let kept = || {
        replica
            .state
            .read(|state| state.unreported_windows().count())
    };
    // A window closes at least every 70 s.
    for _ in 0..MAX_UNREPORTED_WINDOWS * 7 {
        group.time.advance(Duration::from_secs(10));
        executor.round().await;
    }
    assert_eq!(kept(), MAX_UNREPORTED_WINDOWS);
    let entries = group.entries().len();
    // 600 s allow 60 attempts at one in 10 s; one more may follow the last close.
    run_for_seconds(&mut executor, &group.time, 600).await;
    assert!(group.entries().len() <= entries + 61);
    assert_eq!(kept(), MAX_UNREPORTED_WINDOWS);
    assert_eq!(metrics.late_windows(), 0);
}

/// Guards against a late window that is not counted, or counted more than once.
#[tokio::test]
async fn a_late_window_is_counted_once() {
    let group = TestGroup::default();
    let replica = group.leader();
    submit(&replica, document()).await;
    let usage = FakeUsage::default();
    let refuse = AnswerFault::Refuse(StatusCode::SERVICE_UNAVAILABLE);
    usage.faults().push([refuse; 13]);
    let (address, _trigger) = listen(usage.clone()).await;
    let metrics = ControlMetrics::default();
    let mut executor = executor(&replica, &group.time, address, &metrics);
    // Closing the first window is tried every 5 s, so it closes within 66 s.
    run_for_seconds(&mut executor, &group.time, 110).await;
    assert_eq!(metrics.late_windows(), 0);
    run_for_seconds(&mut executor, &group.time, 40).await;
    assert_eq!(metrics.late_windows(), 1);
    run_for_seconds(&mut executor, &group.time, 20).await;
    assert_eq!(metrics.late_windows(), 1);
    let first = usage.reports().remove(0);
    let stored = usage.reports().into_iter().any(|report| report.stored);
    assert!(stored, "the usage interface has not stored the window");
    assert_eq!(first.report_id, "grove/window/1");
}
