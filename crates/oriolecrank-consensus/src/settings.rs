//! Timeouts and limits of the consensus core.

use std::time::Duration;

/// Timeouts and limits of a [`RaftNode`](crate::RaftNode).
///
/// Followers withhold their votes for `min_election_timeout` after a message from the leader. The
/// lease must be shorter than that by more than the allowed difference of clock rates (10%), so
/// that it ends before another leader can be elected.
#[derive(Debug, Clone)]
pub struct RaftSettings {
    /// Interval between heartbeats of the leader, and between founding probes.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout; votes are withheld for this long after contact with a leader.
    pub min_election_timeout: Duration,
    /// Longest election timeout; a leader without replies from a quorum for this long steps down.
    pub max_election_timeout: Duration,
    /// Length of the leader lease, counted from the send time of the messages that a quorum has
    /// acknowledged.
    pub lease_duration: Duration,
    /// Largest total size of the entries in one append request, in bytes. A larger entry is sent in
    /// chunks, and as a whole only to members of older versions.
    pub max_append_bytes: usize,
    /// Largest size of a chunk of a snapshot or of an entry, in bytes.
    pub max_chunk_bytes: usize,
    /// A member gets no further entries while at least this many of those sent to it are
    /// unacknowledged. The last request before that may exceed the number.
    pub max_inflight_entries: u64,
    /// The same limit in bytes.
    pub max_inflight_bytes: usize,
    /// Largest number of uncommitted entries; further proposals are rejected.
    pub max_uncommitted_entries: u64,
    /// Largest total size of the uncommitted entries, in bytes. A single larger one is accepted.
    pub max_uncommitted_bytes: usize,
    /// A member counts as caught up if it lacks at most this many entries.
    pub max_caught_up_lag: u64,
}

impl Default for RaftSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            min_election_timeout: Duration::from_millis(500),
            max_election_timeout: Duration::from_secs(1),
            lease_duration: Duration::from_millis(400),
            max_append_bytes: 256 * 1024,
            max_chunk_bytes: 256 * 1024,
            max_inflight_entries: 4_096,
            max_inflight_bytes: 1024 * 1024,
            max_uncommitted_entries: 16_384,
            max_uncommitted_bytes: 16 * 1024 * 1024,
            max_caught_up_lag: 64,
        }
    }
}
