//! Times and sizes of the consensus core.

use std::time::Duration;

/// Times and sizes of a [`RaftNode`](crate::RaftNode).
///
/// The lease must be shorter than the minimum election timeout by more than the allowed difference
/// of clock rates (10%), because followers withhold their votes for the minimum election timeout.
#[derive(Debug, Clone)]
pub struct RaftSettings {
    /// Interval of heartbeats.
    pub heartbeat: Duration,
    /// Shortest election timeout; votes are withheld for this long after contact with a leader.
    pub election_min: Duration,
    /// Longest election timeout; a leader without contact to a quorum for this long resigns.
    pub election_max: Duration,
    /// Length of the leader's lease.
    pub lease: Duration,
    /// Largest size of the entries in one append, in bytes.
    pub append_bytes: usize,
    /// Most bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Most entries sent to one member and not yet acknowledged.
    pub window_entries: u64,
    /// Most entries that are proposed and not yet committed.
    pub uncommitted_entries: u64,
    /// A member has caught up if it lacks at most this many entries.
    pub caught_up_entries: u64,
}

impl Default for RaftSettings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(500),
            election_max: Duration::from_secs(1),
            lease: Duration::from_millis(400),
            append_bytes: 1024 * 1024,
            chunk_bytes: 256 * 1024,
            window_entries: 4_096,
            uncommitted_entries: 16_384,
            caught_up_entries: 64,
        }
    }
}
