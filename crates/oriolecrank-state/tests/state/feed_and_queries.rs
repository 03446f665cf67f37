//! The change feed for subscribers, queries and snapshots.

use oriolecrank_schema::codec;
use oriolecrank_schema::control::{Query, QueryResult, SubscriptionFrame};
use oriolecrank_state::cluster::{MAX_FEED_CHANGES, SnapshotError};
use oriolecrank_state::{ClusterState, LogIndex};

use crate::cluster_fixture::{
    TestCluster, announce, open_claim, place_order, remove_upstreams, report_crash, submit,
};
use crate::fixtures::document;

fn frames_since(cluster: &TestCluster, index: u64) -> Option<Vec<SubscriptionFrame>> {
    let changes = cluster.state.changes_since(LogIndex(index))?;
    Some(
        changes
            .flat_map(oriolecrank_state::StateChange::frames)
            .collect(),
    )
}

/// Guards against subscribers that miss a change or receive changes that do not concern them.
#[test]
fn feed_has_one_frame_for_each_kind_of_change() {
    let mut cluster = TestCluster::ready();
    let before = cluster.index;
    cluster.send(open_claim("k", "b", "r"));
    cluster.send(announce("desk-1", 1, 2));
    cluster.send(place_order("desk-1"));
    assert_eq!(frames_since(&cluster, before), Some(Vec::new()));
    let mut changed = document();
    changed.usage_window_s = 30;
    cluster.send(submit("b", 1, changed));
    cluster.send(announce("desk-2", 1, 1));
    cluster.send(report_crash("desk-2", 1, &[("grove", "f")]));
    cluster.send(remove_upstreams(&[("desk-2", 1)]));
    let frames = frames_since(&cluster, before).expect("the feed contains the changes");
    assert!(
        matches!(&frames[0], SubscriptionFrame::Document { base_revision: 1, revision: 2, delta }
        if delta.usage_window_s == Some(30) && delta.organisations.is_empty())
    );
    assert!(
        matches!(&frames[1], SubscriptionFrame::Upstreams { updated, .. } if updated.len() == 1)
    );
    assert!(matches!(&frames[2], SubscriptionFrame::Suspects { records } if records.len() == 1));
    assert!(
        matches!(&frames[3], SubscriptionFrame::Upstreams { removed, .. } if removed.len() == 1)
    );
    assert_eq!(frames.len(), 4);
}

/// Guards against a subscriber that misses changes because they have been evicted from the feed.
#[test]
fn feed_reports_evicted_changes() {
    let mut cluster = TestCluster::empty();
    for number in 0..=MAX_FEED_CHANGES as u64 {
        cluster.send(announce("desk-1", number, 1));
    }
    assert!(frames_since(&cluster, 0).is_none());
    let frames = frames_since(&cluster, 1).expect("the feed contains the newest changes");
    assert_eq!(frames.len(), MAX_FEED_CHANGES);
    cluster.restore();
    assert!(frames_since(&cluster, cluster.index - 1).is_none());
    assert_eq!(frames_since(&cluster, cluster.index), Some(Vec::new()));
}

/// Guards against query results that the control client refuses because they are too large.
#[test]
fn query_results_fit_into_a_message() {
    let mut cluster = TestCluster::ready();
    for number in 0..2_000 {
        cluster.send(announce(&format!("desk-{number}"), 2, 1));
        cluster.send(open_claim(&format!("k-{number}"), "b", "r"));
    }
    let queries = [
        Query::Upstreams,
        Query::Claims {
            organisation: None,
            after_claim_id: 0,
            limit: u32::MAX,
        },
        Query::Audit {
            first_index: 0,
            limit: u32::MAX,
        },
        Query::Summary,
        Query::Document,
        Query::Intents,
        Query::Plan,
    ];
    for query in queries {
        let result = cluster.state.query(&query);
        assert!(!matches!(result, QueryResult::Refused { .. }), "{query:?}");
        assert!(codec::encode(&result).len() < 4 * 1024 * 1024, "{query:?}");
    }
}

/// Guards against an answer about the control group, which the state machine knows nothing about.
#[test]
fn queries_about_the_control_group_are_refused() {
    let cluster = TestCluster::ready();
    for query in [Query::Members, Query::InForce { revision: 1 }] {
        let result = cluster.state.query(&query);
        assert!(matches!(result, QueryResult::Refused { .. }));
    }
}

/// Guards against damaged or unrelated data that is restored as an empty state.
#[test]
fn damaged_snapshots_are_refused() {
    let bytes = TestCluster::ready().state.encode_snapshot();
    let mut newer = bytes.clone();
    newer[7] += 1;
    let mut unrelated = bytes.clone();
    unrelated[0] = b'X';
    let decode = |bytes: &[u8]| ClusterState::decode_snapshot(bytes).map(|_| ());
    assert!(matches!(decode(&[]), Err(SnapshotError::MissingHeader)));
    assert!(matches!(
        decode(&unrelated),
        Err(SnapshotError::MissingHeader)
    ));
    assert!(matches!(
        decode(&newer),
        Err(SnapshotError::UnsupportedVersion { version: 2 })
    ));
    let truncated = &bytes[..bytes.len() - 1];
    assert!(matches!(
        decode(truncated),
        Err(SnapshotError::Malformed { .. })
    ));
}
