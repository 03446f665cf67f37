//! Bounded trail of operator actions.

use std::collections::VecDeque;

use oriolecrank_schema::control::AuditRecord;
use serde::{Deserialize, Serialize};

/// Number of records that are kept; the oldest are dropped first.
pub const MAX_AUDIT_RECORDS: usize = 10_000;

/// Largest number of changed paths in one record; one more entry says how many were omitted.
pub const MAX_AUDIT_CHANGES: usize = 32;

/// Longest action and longest entry of the changes, in bytes; longer texts are cut.
pub const MAX_AUDIT_TEXT_BYTES: usize = 256;

/// The newest audit records in the order of the log.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct AuditTrail {
    records: VecDeque<AuditRecord>,
}

impl AuditTrail {
    pub(crate) fn add(&mut self, mut record: AuditRecord) {
        let count = record.changes.len();
        record.changes.truncate(MAX_AUDIT_CHANGES);
        for change in &mut record.changes {
            cut_text(change);
        }
        if count > MAX_AUDIT_CHANGES {
            let omitted = count - MAX_AUDIT_CHANGES;
            record.changes.push(format!("{omitted} more changes"));
        }
        cut_text(&mut record.action);
        self.records.push_back(record);
        if self.records.len() > MAX_AUDIT_RECORDS {
            self.records.pop_front();
        }
    }

    /// Records from a log index on, in ascending order.
    pub(crate) fn starting_at(&self, first: u64) -> impl Iterator<Item = &AuditRecord> {
        let start = self.records.partition_point(|record| record.index < first);
        self.records.range(start..)
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }
}

/// Cuts a text to [`MAX_AUDIT_TEXT_BYTES`] at a character boundary.
fn cut_text(text: &mut String) {
    let end = text.floor_char_boundary(MAX_AUDIT_TEXT_BYTES);
    text.truncate(end);
}
