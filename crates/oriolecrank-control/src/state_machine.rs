//! The state machine that a replica applies committed entries to.

use oriolecrank_consensus::{LogIndex, Term};

/// Deterministic state that is the same on every replica after the same entries.
///
/// A state that others read as well is kept behind a shared handle inside the implementation; the
/// replica calls the methods on its own thread.
pub trait StateMachine: Send + 'static {
    /// Result of one entry, returned to the proposer.
    type Output: Send + 'static;

    /// Applies a committed entry. Indices rise; membership entries and first entries of a term are
    /// left out.
    fn apply(&mut self, index: LogIndex, term: Term, data: &[u8]) -> Self::Output;

    /// Encodes the whole state. The replica's thread waits for it, so it must take far less than the
    /// leader's lease.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by an encoded one.
    fn restore(&mut self, snapshot: &[u8]);
}
