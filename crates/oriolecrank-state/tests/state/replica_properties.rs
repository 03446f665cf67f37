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

/// What a subscriber builds from the frames it received.
#[derive(Debug, PartialEq)]
struct SubscriberView {
    revision: u64,
    document: ConfigDocument,
    upstreams: BTreeMap<UpstreamId, UpstreamRecord>,
    suspects: Vec<SuspectRecord>,
}

impl SubscriberView {
    fn of(frame: SubscriptionFrame) -> Self {
        let SubscriptionFrame::Snapshot {
            document,
            revision,
            suspects,
            upstreams,
        } = frame
        else {
            panic!("the first frame is a snapshot");
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

    fn receive(&mut self, frame: SubscriptionFrame) {
        match frame {
            SubscriptionFrame::Document {
                base_revision,
                delta,
                revision,
            } => {
                assert_eq!(base_revision, self.revision, "revisions follow each other");
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

    /// Guards against replicas that differ, because of an iteration order or of something a
    /// snapshot omits.
    #[test]
    fn snapshot_in_the_middle_changes_no_outcome(
        sequence in any_sequence(any_command(), 120),
        cuts in proptest::collection::btree_set(0..120_usize, 0..4),
    ) {
        let mut steady = TestCluster::ready();
        let mut restored = TestCluster::ready();
        for (position, timed) in sequence.into_iter().enumerate() {
            if cuts.contains(&position) {
                restored.restore();
            }
            let expected = steady.send_after(timed.after_ms, timed.command.clone());
            let outcome = restored.send_after(timed.after_ms, timed.command);
            prop_assert_eq!(outcome, expected);
        }
        prop_assert_eq!(restored.state.encode_snapshot(), steady.state.encode_snapshot());
    }

    /// Guards against subscribers whose tables differ from the committed state, wherever they
    /// joined.
    #[test]
    fn feed_leads_to_the_committed_state(
        sequence in any_sequence(any_command(), 120),
        joined_at in 0..120_usize,
    ) {
        let mut cluster = TestCluster::ready();
        let mut view = SubscriberView::of(cluster.state.snapshot_frame());
        let mut seen = cluster.state.applied_index();
        for (position, timed) in sequence.into_iter().enumerate() {
            cluster.send_after(timed.after_ms, timed.command);
            if position == joined_at {
                view = SubscriberView::of(cluster.state.snapshot_frame());
                seen = cluster.state.applied_index();
            }
        }
        let changes = cluster.state.changes_since(seen).expect("the feed reaches back");
        for frame in changes.flat_map(oriolecrank_state::StateChange::frames) {
            view.receive(frame);
        }
        prop_assert_eq!(view, SubscriberView::of(cluster.state.snapshot_frame()));
    }

    /// Guards against times that fall after a change of leader and bring expired claims, ids or
    /// suspects back.
    #[test]
    fn log_time_never_falls(sequence in any_sequence(any_command(), 60), back in 1..100_000_u64) {
        let mut cluster = TestCluster::ready();
        for timed in sequence {
            cluster.send_after(timed.after_ms, timed.command);
        }
        let before = cluster.state.log_time();
        cluster.time_ms -= back;
        cluster.send(crate::cluster_fixture::remove(&[]));
        prop_assert_eq!(cluster.state.log_time(), before);
    }

    /// Guards against two orders with one number, and two orders in flight for one upstream.
    #[test]
    fn order_numbers_are_unique(sequence in any_sequence(any_command(), 150)) {
        use oriolecrank_schema::control::{Command, CommandOutcome};
        let mut cluster = TestCluster::ready();
        let mut numbers = Vec::new();
        for timed in sequence {
            // The answer to an operator's resend repeats a number by design.
            let is_resend = matches!(timed.command, Command::PlaceOperatorOrder { .. });
            let outcome = cluster.send_after(timed.after_ms, timed.command);
            if let CommandOutcome::OrderPlaced { order } = outcome && !is_resend {
                numbers.push((order.fence.term, order.fence.sequence));
            }
            let in_flight: Vec<_> = cluster.state.orders_in_flight().collect();
            let mut upstreams: Vec<_> = in_flight.iter().map(|order| &order.upstream).collect();
            upstreams.dedup();
            prop_assert_eq!(upstreams.len(), in_flight.len());
        }
        prop_assert!(numbers.is_sorted_by(|one, other| one < other));
    }
}

/// Guards against a state that depends on anything but the log entries.
#[test]
fn equal_entries_give_equal_bytes() {
    let mut runner = proptest::test_runner::TestRunner::new(fixed_seed(1, 5));
    let tree = any_sequence(any_command(), 400)
        .new_tree(&mut runner)
        .expect("a sequence");
    let sequence = tree.current();
    let run = || {
        let mut cluster = TestCluster::ready();
        for timed in sequence.clone() {
            cluster.send_after(timed.after_ms, timed.command);
        }
        assert_eq!(
            cluster.state.applied_index(),
            LogIndex(sequence.len() as u64 + 3)
        );
        cluster.state.encode_snapshot()
    };
    assert_eq!(run(), run());
}
