//! Entries of the replicated log.

use std::sync::Arc;

use crate::membership::Membership;
use crate::numbers::{LogIndex, Term};

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Kind and payload.
    pub body: EntryBody,
}

/// Kind and payload of a log entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryBody {
    /// First entry of each leader's term, without effect on the state machine. A leader may count
    /// replicas only for entries of its own term; committing this entry also commits all earlier
    /// ones.
    Noop,
    /// Command for the state machine. Shared, because the same entry is held by the log, sent to
    /// several members and applied.
    Data(Arc<[u8]>),
    /// A new membership; in effect as soon as it is in the log, before it is committed.
    Membership(Membership),
}

/// Position of a proposed entry in the log.
///
/// The proposal is committed once an entry with this index *and* this term is committed. If an
/// entry of another term is committed at the index, the proposal is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EntryPosition {
    /// Index of the entry.
    pub index: LogIndex,
    /// Term of the entry.
    pub term: Term,
}

impl LogEntry {
    /// Size of the command, in bytes; 0 for an entry without one.
    pub fn data_bytes(&self) -> usize {
        match &self.body {
            EntryBody::Data(data) => data.len(),
            EntryBody::Noop | EntryBody::Membership(_) => 0,
        }
    }

    /// Approximate size in memory and on the wire, in bytes.
    pub fn size(&self) -> usize {
        /// Encoded size of index, term and field tags, in bytes.
        const FIXED_BYTES: usize = 32;
        /// Typical size of one encoded member, in bytes.
        const MEMBER_BYTES: usize = 64;
        match &self.body {
            EntryBody::Noop => FIXED_BYTES,
            EntryBody::Data(data) => FIXED_BYTES + data.len(),
            EntryBody::Membership(membership) => {
                FIXED_BYTES + (membership.members.len() + membership.retired.len()) * MEMBER_BYTES
            }
        }
    }
}
