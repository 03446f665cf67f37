//! Bounded trail of operator actions.

use std::collections::VecDeque;

use oriolecrank_schema::control::AuditRecord;
use serde::{Deserialize, Serialize};

/// Maximum number of stored records; the oldest are dropped first.
pub const MAX_AUDIT_RECORDS: usize = 10_000;

/// Maximum number of changes in one record; an additional entry says how many were omitted.
pub const MAX_AUDIT_CHANGES: usize = 32;

/// Maximum length of the action and of each change, in bytes; longer texts are truncated.
pub const MAX_AUDIT_TEXT_BYTES: usize = 256;

/// The newest audit records in log order.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct AuditTrail {
    records: VecDeque<AuditRecord>,
}

impl AuditTrail {
    /// Adds a record, truncated to the limits.
    pub(crate) fn add(&mut self, mut record: AuditRecord) {
        let count = record.changes.len();
        record.changes.truncate(MAX_AUDIT_CHANGES);
        for change in &mut record.changes {
            truncate_text(change);
        }
        if count > MAX_AUDIT_CHANGES {
            let omitted = count - MAX_AUDIT_CHANGES;
            record.changes.push(format!("{omitted} more changes"));
        }
        truncate_text(&mut record.action);
        self.records.push_back(record);
        if self.records.len() > MAX_AUDIT_RECORDS {
            self.records.pop_front();
        }
    }

    /// Records with a log index of `first_index` or above, in ascending order.
    pub(crate) fn starting_at(&self, first_index: u64) -> impl Iterator<Item = &AuditRecord> {
        let start = self
            .records
            .partition_point(|record| record.index < first_index);
        self.records.range(start..)
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }
}

/// Truncates a text to [`MAX_AUDIT_TEXT_BYTES`] at a character boundary.
fn truncate_text(text: &mut String) {
    let end = text.floor_char_boundary(MAX_AUDIT_TEXT_BYTES);
    text.truncate(end);
}
