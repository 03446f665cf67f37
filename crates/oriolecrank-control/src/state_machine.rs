//! Interface of the state machine to which a replica applies committed entries.

use oriolecrank_consensus::{LogIndex, Term};

/// Deterministic state machine: after the same entries its state is the same on every replica.
///
/// The replica calls the methods on its own thread. An implementation whose state is also read by
/// other threads keeps it behind a shared handle.
pub trait StateMachine: Send + 'static {
    /// Result of applying one entry, returned to the proposer.
    type Output: Send + 'static;

    /// Applies a committed entry. Indices increase from call to call but have gaps, because
    /// membership entries and the empty first entry of each term are not passed on.
    fn apply(&mut self, index: LogIndex, term: Term, data: &[u8]) -> Self::Output;

    /// Encodes the whole state. This blocks the replica's thread, so it must take far less time
    /// than the leader's lease lasts.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by one that [`snapshot`](Self::snapshot) encoded, possibly on another
    /// replica.
    fn restore(&mut self, snapshot: &[u8]);
}
