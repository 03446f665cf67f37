//! A log entry that arrives in chunks.

use crate::numbers::{LogIndex, Term};

/// An entry of which only the first bytes have been received.
///
/// Index and term identify an entry, so a transfer goes on where it was when another leader sends the
/// rest of the same entry.
#[derive(Debug, Clone)]
pub(crate) struct PartialEntry {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    /// Size of the data of the entry, in bytes.
    pub(crate) total: u64,
    /// Data received so far; less than `total` bytes.
    pub(crate) data: Vec<u8>,
}

impl PartialEntry {
    pub(crate) const fn key(&self) -> (LogIndex, Term, u64) {
        (self.index, self.term, self.total)
    }
}
