//! Properties of the state machine under random command sequences.

use std::collections::BTreeMap;

use oriolecrank_schema::control::{SubscriptionFrame, SuspectRecord, UpstreamRecord};
use oriolecrank_schema::document::{ConfigDocument, UpstreamId};
use oriolecrank_state::LogIndex;
use oriolecrank_state::document::apply_delta;
use proptest::prelude::*;
use proptest::strategy::ValueTree as _;

use crate::cluster_fixture::TestCluster;
use crate::random_command::{any_command, any_sequence, fixed_seed};

/// State that a subscriber builds from the frames that it receives.
#[derive(Debug, PartialEq)]
struct SubscriberView {
    revision: u64,
    document: ConfigDocument,
    upstreams: BTreeMap<UpstreamId, UpstreamRecord>,
    suspects: Vec<SuspectRecord>,
}

impl SubscriberView {
    fn from_snapshot(frame: SubscriptionFrame) -> Self {
        let SubscriptionFrame::Snapshot {
            document,
            revision,
            suspects,
            upstreams,
        } = frame
        else {
            panic!("expected a snapshot as the first frame");
        };
        let upstreams = upstreams.into_iter();
        Self {
            revision,
            document,
            upstreams: upstreams
                .map(|record| (record.upstream.clone(), record))
                .collect(),
            suspects,
        }
    }

    fn apply_frame(&mut self, frame: SubscriptionFrame) {
        match frame {
            SubscriptionFrame::Document {
                base_revision,
                delta,
                revision,
            } => {
                assert_eq!(
                    base_revision, self.revision,
                    "the delta applies to the current revision"
                );
                self.document = apply_delta(&self.document, &delta);
                self.revision = revision;
            }
            SubscriptionFrame::Upstreams { removed, updated } => {
                for name in removed {
                    self.upstreams.remove(&name);
                }
                for record in updated {
                    self.upstreams.insert(record.upstream.clone(), record);
                }
            }
            SubscriptionFrame::Suspects { records } => self.suspects = records,
            other => panic!("unexpected frame {other:?}"),
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed(200, 21))]

    /// Guards against replicas that diverge because of an iteration order or because a snapshot
    /// omits part of the state.
    #[test]
    fn restoring_a_snapshot_changes_no_outcome(
        sequence in any_sequence(any_command(), 120),
        restore_positions in proptest::collection::btree_set(0..120_usize, 0..4),
    ) {
        let mut uninterrupted = TestCluster::ready();
        let mut restored = TestCluster::ready();
        for (position, timed) in sequence.into_iter().enumerate() {
            if restore_positions.contains(&position) {
                restored.restore();
            }
            let expected = uninterrupted.send_after(timed.after_ms, timed.command.clone());
            let outcome = restored.send_after(timed.after_ms, timed.command);
            prop_assert_eq!(outcome, expected);
        }
        prop_assert_eq!(restored.state.encode_snapshot(), uninterrupted.state.encode_snapshot());
    }

    /// Guards against subscribers whose state differs from the committed one, whatever the index at
    /// which they joined.
    #[test]
    fn feed_reproduces_the_committed_state(
        sequence in any_sequence(any_command(), 120),
        joined_at in 0..120_usize,
    ) {
        let mut cluster = TestCluster::ready();
        let mut view = SubscriberView::from_snapshot(cluster.state.snapshot_frame());
        let mut seen_index = cluster.state.applied_index();
        for (position, timed) in sequence.into_iter().enumerate() {
            cluster.send_after(timed.after_ms, timed.command);
            if position == joined_at {
                view = SubscriberView::from_snapshot(cluster.state.snapshot_frame());
                seen_index = cluster.state.applied_index();
            }
        }
        let changes = cluster
            .state
            .changes_since(seen_index)
            .expect("the feed contains the changes");
        for frame in changes.flat_map(oriolecrank_state::StateChange::frames) {
            view.apply_frame(frame);
        }
        prop_assert_eq!(view, SubscriberView::from_snapshot(cluster.state.snapshot_frame()));
    }

    /// Guards against a log time that decreases after a change of leader and restores expired
    /// claims, ids or suspects.
    #[test]
    fn log_time_never_decreases(
        sequence in any_sequence(any_command(), 60),
        step_back_ms in 1..100_000_u64,
    ) {
        let mut cluster = TestCluster::ready();
        for timed in sequence {
            cluster.send_after(timed.after_ms, timed.command);
        }
        let before = cluster.state.log_time();
        cluster.time_ms -= step_back_ms;
        cluster.send(crate::cluster_fixture::remove_upstreams(&[]));
        prop_assert_eq!(cluster.state.log_time(), before);
    }

    /// Guards against two orders with the same fencing number, and two orders in flight for one
    /// upstream.
    #[test]
    fn fencing_numbers_are_unique(sequence in any_sequence(any_command(), 150)) {
        use oriolecrank_schema::control::{Command, CommandOutcome};
        let mut cluster = TestCluster::ready();
        let mut fencing_numbers = Vec::new();
        for timed in sequence {
            // A resend of an operator's order gets the placed order again, with the same number.
            let is_resend = matches!(timed.command, Command::PlaceOperatorOrder { .. });
            let outcome = cluster.send_after(timed.after_ms, timed.command);
            if let CommandOutcome::OrderPlaced { order } = outcome && !is_resend {
                fencing_numbers.push((order.fence.term, order.fence.sequence));
            }
            let in_flight: Vec<_> = cluster.state.orders_in_flight().collect();
            let mut upstreams: Vec<_> = in_flight.iter().map(|order| &order.upstream).collect();
            upstreams.dedup();
            prop_assert_eq!(upstreams.len(), in_flight.len());
        }
        prop_assert!(fencing_numbers.is_sorted_by(|one, other| one < other));
    }
}

/// Guards against a state that depends on anything but the log entries.
#[test]
fn equal_entries_give_equal_bytes() {
    let mut runner = proptest::test_runner::TestRunner::new(fixed_seed(1, 5));
    let tree = any_sequence(any_command(), 400)
        .new_tree(&mut runner)
        .expect("the strategy generates a sequence");
    let sequence = tree.current();
    let run = || {
        let mut cluster = TestCluster::ready();
        for timed in sequence.clone() {
            cluster.send_after(timed.after_ms, timed.command);
        }
        // `TestCluster::ready` applies three entries before the sequence.
        assert_eq!(
            cluster.state.applied_index(),
            LogIndex(sequence.len() as u64 + 3)
        );
        cluster.state.encode_snapshot()
    };
    assert_eq!(run(), run());
}
