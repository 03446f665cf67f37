//! State of a control instance, shared between the log and the requests.

use std::sync::{Mutex, MutexGuard};

use oriolecrank_net::AnswerBody;
use oriolecrank_schema::control::{CommandOutcome, LoggedCommand};
use oriolecrank_schema::event::LogEvent;
use oriolecrank_state::cluster::SnapshotError;
use oriolecrank_state::{ClusterState, LogIndex};

use crate::subscription_hub::SubscriptionHub;

/// State machine and its subscribers.
#[derive(Debug, Default)]
pub struct SharedState {
    /// Lock order: the state is locked before the hub publishes, so that all subscribers see the
    /// changes in the order of the log. Never held across an await.
    state: Mutex<ClusterState>,
    hub: SubscriptionHub,
}

impl SharedState {
    /// Applies a committed entry and tells the subscribers.
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

    /// Replaces the state by a snapshot; subscribers get it as well.
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

    /// Reads the state.
    pub fn read<R>(&self, read: impl FnOnce(&ClusterState) -> R) -> R {
        read(&self.lock())
    }

    /// Opens a subscription that begins with the present state.
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
