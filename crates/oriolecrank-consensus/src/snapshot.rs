//! Snapshots of the state machine.

use std::sync::Arc;

use crate::membership::Membership;
use crate::numbers::{LogIndex, Term};

/// State of the state machine after an entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that is contained.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership in effect at that entry.
    pub membership: Membership,
    /// Encoded state. Shared, because a transfer may still send an older snapshot.
    pub data: Arc<[u8]>,
}

/// A snapshot that arrives in parts.
#[derive(Debug, Clone)]
pub(crate) struct PartialSnapshot {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    pub(crate) data: Vec<u8>,
}
