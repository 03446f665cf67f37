//! Usage records and windows.

use oriolecrank_schema::control::{Command, CommandOutcome, Query, QueryResult, UsageWindow};
use oriolecrank_state::cluster::{
    MAX_REPORTED_WINDOWS, MAX_UNREPORTED_WINDOWS, MAX_USAGE_BATCH, USAGE_ID_LIFETIME_MS,
};

use crate::cluster_fixture::{TestCluster, refused, report_usage, usage_record};

/// Length of a usage window in the document of the fixtures.
const WINDOW_MS: u64 = 60_000;

fn query_windows(cluster: &TestCluster, unreported: bool) -> Vec<UsageWindow> {
    let query = Query::Windows {
        unreported,
        after_window_id: 0,
        limit: u32::MAX,
    };
    match cluster.state.query(&query) {
        QueryResult::Windows { windows, .. } => windows,
        other => panic!("expected QueryResult::Windows, found {other:?}"),
    }
}

/// Output tokens of a window, in lines that are not late and in late lines.
fn output_tokens(window: &UsageWindow) -> (u64, u64) {
    let sum = |late: bool| {
        let lines = window.lines.iter().filter(|line| line.late == late);
        lines.map(|line| line.output_tokens).sum()
    };
    (sum(false), sum(true))
}

const fn window_closed(window_id: u64) -> CommandOutcome {
    CommandOutcome::WindowClosed { window_id }
}

/// Guards against attempts that are billed twice or not at all.
#[test]
fn each_attempt_counts_once() {
    let (accepted, unchanged) = (CommandOutcome::Accepted, CommandOutcome::Unchanged);
    let mut cluster = TestCluster::ready();
    cluster.check_steps(
        "usage",
        vec![
            (
                report_usage(vec![usage_record("r-1", 1, 5, 0)]),
                accepted.clone(),
            ),
            // A batch that is resent after a lost answer.
            (
                report_usage(vec![usage_record("r-1", 1, 5, 0)]),
                unchanged.clone(),
            ),
            // The agent reports other token counts for the same attempt; the first record counts.
            (
                report_usage(vec![usage_record("r-1", 1, 900, 0)]),
                unchanged.clone(),
            ),
            (
                report_usage(vec![usage_record("r-1", 2, 7, 0)]),
                accepted.clone(),
            ),
            // A batch with counted and new records, one of them twice.
            (
                report_usage(vec![
                    usage_record("r-1", 2, 7, 0),
                    usage_record("r-2", 1, 11, 0),
                    usage_record("r-2", 1, 11, 0),
                ]),
                accepted,
            ),
            (report_usage(Vec::new()), unchanged),
        ],
    );
    assert_eq!(
        cluster.send_after(WINDOW_MS, Command::CloseWindow),
        window_closed(1)
    );
    let window = &query_windows(&cluster, true)[0];
    assert_eq!(output_tokens(window), (23, 0));
    assert_eq!(window.lines[0].attempts, 3);
    assert_eq!(window.lines[0].prompt_tokens, 230);
}

/// Guards against an attempt that is counted again within 15 min, and against ids that are never
/// removed.
#[test]
fn ids_are_stored_for_fifteen_minutes() {
    let mut cluster = TestCluster::ready();
    cluster.send(report_usage(vec![usage_record("r-1", 1, 5, 0)]));
    let repeated = report_usage(vec![usage_record("r-1", 1, 5, USAGE_ID_LIFETIME_MS - 1)]);
    let outcome = cluster.send_after(USAGE_ID_LIFETIME_MS - 1, repeated);
    assert_eq!(outcome, CommandOutcome::Unchanged);
    // The id has been removed, but the repetition is too old to be counted.
    let repeated = report_usage(vec![usage_record("r-1", 1, 5, USAGE_ID_LIFETIME_MS)]);
    assert_eq!(cluster.send_after(1, repeated), CommandOutcome::Unchanged);
    let summary = cluster.state.summary();
    assert_eq!((summary.usage_ids, summary.stale_usage_records), (0, 1));
}

/// Guards against records that change a closed window or are lost because it is closed.
#[test]
fn late_records_become_late_lines_of_the_next_window() {
    let mut cluster = TestCluster::ready();
    cluster.send(report_usage(vec![usage_record("r-1", 1, 5, 0)]));
    cluster.send_after(WINDOW_MS, Command::CloseWindow);
    let first = query_windows(&cluster, true);
    cluster.send_after(
        1_000,
        report_usage(vec![
            usage_record("r-2", 1, 7, 1_001),
            usage_record("r-3", 1, 11, 1_000),
        ]),
    );
    cluster.send_after(WINDOW_MS, Command::CloseWindow);
    let both = query_windows(&cluster, true);
    assert_eq!(both[0], first[0], "a closed window does not change");
    assert_eq!(output_tokens(&both[1]), (11, 7));
    assert_eq!(
        both[1].opened_ms, both[0].closed_ms,
        "there is no gap between windows"
    );
}

/// Guards against two windows for one period when leaders change, and windows reported twice.
#[test]
fn window_closes_once_per_period() {
    let (accepted, unchanged) = (CommandOutcome::Accepted, CommandOutcome::Unchanged);
    let unknown = refused("no closed window has this number");
    let reported = |window_id| Command::WindowReported { window_id };
    let mut cluster = TestCluster::ready();
    assert_eq!(
        cluster.send_after(WINDOW_MS - 1, Command::CloseWindow),
        unchanged
    );
    cluster.time_ms += 1;
    cluster.check_steps(
        "windows",
        vec![
            (Command::CloseWindow, window_closed(1)),
            (Command::CloseWindow, unchanged.clone()),
            (reported(0), unknown.clone()),
            (reported(2), unknown),
            (reported(1), accepted),
            (reported(1), unchanged),
        ],
    );
    assert!(query_windows(&cluster, true).is_empty());
    assert_eq!(query_windows(&cluster, false).len(), 1);
}

/// Guards against memory that grows while the usage interface is unavailable, and against usage
/// that is lost meanwhile.
#[test]
fn unreported_windows_are_bounded_without_loss() {
    let mut cluster = TestCluster::ready();
    for window_id in 1..=MAX_UNREPORTED_WINDOWS as u64 {
        assert_eq!(
            cluster.send_after(WINDOW_MS, Command::CloseWindow),
            window_closed(window_id)
        );
    }
    cluster.send(report_usage(vec![usage_record("r-1", 1, 5, 0)]));
    let full = refused("too many windows are not reported");
    assert_eq!(cluster.send_after(WINDOW_MS, Command::CloseWindow), full);
    for window_id in 1..=100 {
        cluster.send(Command::WindowReported { window_id });
    }
    let next = MAX_UNREPORTED_WINDOWS as u64 + 1;
    assert_eq!(cluster.send(Command::CloseWindow), window_closed(next));
    let last = cluster
        .state
        .unreported_windows()
        .last()
        .expect("the newest window is not reported");
    assert_eq!(output_tokens(last), (5, 0));
    let dropped = 100 - MAX_REPORTED_WINDOWS as u64;
    assert_eq!(query_windows(&cluster, false)[0].window_id, dropped + 1);
}

/// Guards against a batch whose log entry takes too long to apply.
#[test]
fn large_batch_is_refused_as_a_whole() {
    let mut cluster = TestCluster::ready();
    let records: Vec<_> = (0..=MAX_USAGE_BATCH)
        .map(|number| usage_record(&format!("r-{number}"), 1, 1, 0))
        .collect();
    let outcome = cluster.send(report_usage(records.clone()));
    assert_eq!(outcome, refused("the batch has too many records"));
    assert_eq!(cluster.state.summary().usage_ids, 0);
    let outcome = cluster.send(report_usage(records[1..].to_vec()));
    assert_eq!(outcome, CommandOutcome::Accepted);
    let mut long_name_record = usage_record("r", 1, 1, 0);
    long_name_record.service = "s".repeat(65).into();
    let outcome = cluster.send(report_usage(vec![
        usage_record("r", 2, 1, 0),
        long_name_record,
    ]));
    assert_eq!(outcome, refused("a name of a record is too long"));
    assert_eq!(cluster.state.summary().usage_ids, MAX_USAGE_BATCH as u64);
}
