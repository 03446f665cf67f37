//! Cluster state of a control instance, changed by the replicated log and read by requests.

use std::sync::{Mutex, MutexGuard};

use oriolecrank_net::AnswerBody;
use oriolecrank_schema::control::{CommandOutcome, LoggedCommand};
use oriolecrank_schema::event::LogEvent;
use oriolecrank_state::cluster::SnapshotError;
use oriolecrank_state::{ClusterState, LogIndex};

use crate::subscription_hub::SubscriptionHub;

/// Cluster state and the subscribers to its changes.
#[derive(Debug, Default)]
pub struct SharedState {
    /// Stays locked while the hub publishes a change or opens a subscription, so that all
    /// subscribers receive the changes in log order and without gaps. Lock order: before the
    /// channel of the hub, and never across an await.
    state: Mutex<ClusterState>,
    hub: SubscriptionHub,
}

impl SharedState {
    /// Applies a committed entry and sends the changes to the subscribers.
    pub fn apply(&self, index: LogIndex, entry: LoggedCommand) -> CommandOutcome {
        let mut state = self.lock();
        let before = state.applied_index();
        let outcome = state.apply(index, entry);
        if let Some(changes) = state.changes_since(before) {
            for frame in changes.flat_map(oriolecrank_state::StateChange::frames) {
                self.hub.publish(&frame);
            }
        }
        if let CommandOutcome::DocumentAccepted { revision } = &outcome {
            tracing::info!(
                event = LogEvent::DocumentAccepted.number(),
                revision,
                "accepted"
            );
        }
        outcome
    }

    /// Replaces the state by a snapshot, which is also sent to the subscribers.
    pub fn restore(&self, snapshot: &[u8]) -> Result<(), SnapshotError> {
        let restored = ClusterState::decode_snapshot(snapshot)?;
        let mut state = self.lock();
        *state = restored;
        self.hub.publish(&state.snapshot_frame());
        Ok(())
    }

    /// Encoded snapshot of the state.
    pub fn snapshot(&self) -> Vec<u8> {
        self.lock().encode_snapshot()
    }

    /// Calls `read` with the state, which is locked meanwhile.
    pub fn read<R>(&self, read: impl FnOnce(&ClusterState) -> R) -> R {
        read(&self.lock())
    }

    /// Opens a subscription; its stream starts with a snapshot of the current state.
    pub fn subscribe(&self) -> AnswerBody {
        let state = self.lock();
        self.hub.open(&state.snapshot_frame())
    }

    fn lock(&self) -> MutexGuard<'_, ClusterState> {
        self.state
            .lock()
            .expect("no holder of the state lock panics")
    }
}
