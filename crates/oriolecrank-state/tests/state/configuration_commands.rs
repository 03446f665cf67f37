//! Document submissions, audited operator actions and the request history.

use oriolecrank_schema::control::{Command, CommandOutcome, Query, QueryResult};
use oriolecrank_schema::document::{ConfigDocument, UpstreamId};
use oriolecrank_state::cluster::{
    MAX_AUDIT_CHANGES, MAX_AUDIT_RECORDS, MAX_AUDIT_TEXT_BYTES, MAX_HISTORY_IDS,
};

use crate::cluster_fixture::{TestCluster, announce, submit};
use crate::fixtures::{document, organisation};

fn document_with_window(usage_window_s: u64) -> ConfigDocument {
    ConfigDocument {
        usage_window_s,
        ..document()
    }
}

const fn document_accepted(revision: u64) -> CommandOutcome {
    CommandOutcome::DocumentAccepted { revision }
}

const fn document_conflict(current_revision: u64) -> CommandOutcome {
    CommandOutcome::DocumentConflict { current_revision }
}

/// Guards against two concurrent submissions that are both accepted, a resend that changes the
/// document again or gets a different outcome, and a request id that is reused for another
/// document.
#[test]
fn submissions_are_decided_once() {
    let reused = CommandOutcome::RequestIdReused;
    TestCluster::empty().check_steps(
        "submissions",
        vec![
            (submit("a", 0, document()), document_accepted(1)),
            // Two operators with the same base revision.
            (
                submit("b", 0, document_with_window(30)),
                document_conflict(1),
            ),
            // Resends after a lost answer, including after a later revision.
            (submit("a", 0, document()), document_accepted(1)),
            (
                submit("c", 1, document_with_window(30)),
                document_accepted(2),
            ),
            (submit("a", 0, document()), document_accepted(1)),
            (
                submit("b", 0, document_with_window(30)),
                document_conflict(1),
            ),
            // The id of an earlier request with another document or base revision.
            (submit("a", 0, document_with_window(30)), reused.clone()),
            (submit("a", 2, document()), reused.clone()),
            (submit("b", 2, document_with_window(30)), reused),
            // Restoring an earlier document creates a new revision.
            (submit("d", 2, document()), document_accepted(3)),
            // A revision that was never committed.
            (submit("e", 9, document()), document_conflict(3)),
        ],
    );
}

/// Guards against an invalid document that takes effect, and against a resend of it that gets a
/// different outcome.
#[test]
fn invalid_document_changes_nothing() {
    let mut cluster = TestCluster::empty();
    let first = cluster.send(submit("a", 0, document_with_window(0)));
    let CommandOutcome::DocumentInvalid { errors } = &first else {
        panic!("expected DocumentInvalid, found {first:?}");
    };
    assert_eq!(errors[0].path, "usage_window_s");
    assert_eq!(
        cluster.send(submit("b", 0, document())),
        document_accepted(1)
    );
    assert_eq!(cluster.send(submit("a", 0, document_with_window(0))), first);
    assert_eq!(cluster.state.revision().0, 1);
}

/// Guards against changes without an operator, and against long ids that fill the history.
#[test]
fn empty_or_long_identity_is_refused() {
    let mut cluster = TestCluster::empty();
    for request_id in [String::new(), "x".repeat(129)] {
        let outcome = cluster.send(submit(&request_id, 0, document()));
        assert!(matches!(outcome, CommandOutcome::Refused { .. }));
    }
    let anonymous = Command::RecordAudit {
        action: "force".to_owned(),
        changes: Vec::new(),
        operator: String::new(),
        origin: String::new(),
        request_id: "a".to_owned(),
    };
    let outcome = cluster.send(anonymous);
    assert!(matches!(outcome, CommandOutcome::Refused { .. }));
    assert_eq!(cluster.state.revision().0, 0);
}

/// Guards against a history that grows without bound, or that drops recent ids.
#[test]
fn history_keeps_the_newest_ids() {
    let mut cluster = TestCluster::empty();
    cluster.send(submit("first", 0, document()));
    cluster.send(submit("second", 1, document()));
    for number in 0..MAX_HISTORY_IDS - 1 {
        cluster.send(submit(&format!("conflict-{number}"), 0, document()));
    }
    // "first" has been removed, so it is decided again; "second" is still stored.
    assert_eq!(
        cluster.send(submit("second", 1, document())),
        document_accepted(2)
    );
    assert_eq!(
        cluster.send(submit("first", 0, document())),
        document_conflict(2)
    );
}

fn query_audit(cluster: &TestCluster, first_index: u64, limit: u32) -> QueryResult {
    cluster.state.query(&Query::Audit { first_index, limit })
}

/// Guards against changes that cannot be attributed to an operator afterwards.
#[test]
fn audit_record_names_operator_time_origin_and_changes() {
    let mut cluster = TestCluster::empty();
    cluster.send(submit("a", 0, document()));
    cluster.send(submit("a", 0, document()));
    cluster.send(submit("lost", 0, document()));
    let mut changed = document();
    changed.organisations.push(organisation("mill", 3));
    cluster.send_after(5, submit("b", 1, changed));
    let QueryResult::Audit { records, more } = query_audit(&cluster, 2, 10) else {
        panic!("expected QueryResult::Audit");
    };
    assert!(!more);
    assert_eq!(records.len(), 1, "resends and conflicts are not recorded");
    let record = &records[0];
    assert_eq!(record.index, 4);
    assert_eq!(record.time_ms, cluster.time_ms);
    assert_eq!((record.before_revision, record.after_revision), (1, 2));
    assert_eq!(record.operator, "alma");
    assert_eq!(record.origin, "10.0.0.9");
    assert_eq!(record.request_id, "b");
    assert_eq!(record.changes, ["organisations.mill"]);
}

/// Guards against an operator's order that is placed twice after a lost answer, or that is missing
/// from the audit trail.
#[test]
fn operator_order_is_placed_once_and_audited() {
    let mut cluster = TestCluster::ready();
    let drain = |request_id: &str, upstream: &str| Command::PlaceOperatorOrder {
        action: oriolecrank_schema::control::OrderAction::Drain,
        operator: "alma".to_owned(),
        origin: "10.0.0.9".to_owned(),
        reason: "new pump".to_owned(),
        request_id: request_id.to_owned(),
        upstream: UpstreamId(upstream.to_owned()),
    };
    let first = cluster.send(drain("d", "desk-1"));
    let CommandOutcome::OrderPlaced { order } = &first else {
        panic!("expected OrderPlaced, found {first:?}");
    };
    assert_eq!(cluster.send(drain("d", "desk-1")), first);
    assert_eq!(
        cluster.send(drain("d", "engine-1")),
        CommandOutcome::RequestIdReused
    );
    let pending = CommandOutcome::OrderPending {
        fence: order.fence.clone(),
    };
    assert_eq!(cluster.send(drain("e", "desk-1")), pending);
    let QueryResult::Audit { records, .. } = query_audit(&cluster, 2, 10) else {
        panic!("expected QueryResult::Audit");
    };
    let actions: Vec<&str> = records
        .iter()
        .map(|record| record.action.as_str())
        .collect();
    assert_eq!(actions, ["order drain desk-1"]);
}

/// Guards against forced changes that are missing from the audit trail, and against a trail that
/// grows without bound.
#[test]
fn audit_trail_is_bounded_and_paged() {
    let mut cluster = TestCluster::empty();
    let force = |number: usize, count: usize| Command::RecordAudit {
        action: "ü".repeat(MAX_AUDIT_TEXT_BYTES),
        changes: (0..count)
            .map(|change| format!("change {change}"))
            .collect(),
        operator: "alma".to_owned(),
        origin: String::new(),
        request_id: format!("r-{number}"),
    };
    for number in 0..MAX_AUDIT_RECORDS + 5 {
        assert_eq!(cluster.send(force(number, 1)), CommandOutcome::Accepted);
    }
    cluster.send(force(MAX_AUDIT_RECORDS + 5, MAX_AUDIT_CHANGES + 7));
    let summary = cluster.state.summary();
    assert_eq!(summary.audit_records, MAX_AUDIT_RECORDS as u64);
    let QueryResult::Audit { records, more } = query_audit(&cluster, 0, 10) else {
        panic!("expected QueryResult::Audit");
    };
    assert!(more);
    assert_eq!(records[0].index, 7, "the oldest records are dropped");
    assert_eq!(records[0].action.len(), MAX_AUDIT_TEXT_BYTES);
    let QueryResult::Audit { records, more } = query_audit(&cluster, cluster.index, 10) else {
        panic!("expected QueryResult::Audit");
    };
    assert!(!more);
    assert_eq!(records[0].changes.len(), MAX_AUDIT_CHANGES + 1);
    assert_eq!(records[0].changes[MAX_AUDIT_CHANGES], "7 more changes");
}

/// Guards against a log entry that takes effect twice after a restart.
#[test]
fn applied_index_is_not_applied_again() {
    let mut cluster = TestCluster::empty();
    cluster.send(submit("a", 0, document()));
    cluster.index -= 1;
    assert_eq!(
        cluster.send(submit("b", 1, document())),
        CommandOutcome::Unchanged
    );
    assert_eq!(cluster.state.revision().0, 1);
    // The entry with the next index is applied.
    assert!(matches!(
        cluster.send(announce("desk-1", 1, 1)),
        CommandOutcome::Announced { .. }
    ));
}
