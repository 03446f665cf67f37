//! Snapshots of the state machine.

use std::sync::Arc;

use crate::membership::Membership;
use crate::numbers::{LogIndex, Term};

/// State of the state machine after the log entry at `index` was applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Last log index contained.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership in effect at that entry.
    pub membership: Membership,
    /// Encoded state. Shared, because a running transfer keeps its snapshot when a newer one is
    /// taken.
    pub data: Arc<[u8]>,
}

/// A snapshot of which only the first bytes have been received.
#[derive(Debug, Clone)]
pub(crate) struct PartialSnapshot {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    pub(crate) data: Vec<u8>,
}
