//! What one control instance has told an entry, and what it knows of the entry.

use crate::usage_window::{WindowCounts, unacknowledged_counts};

/// Position of an entry in its exchange with one control instance.
#[derive(Debug, Clone, Default)]
pub struct SyncCursor {
    control_run: u64,
    directory_revision: u64,
    /// Counts of usage windows that the control instance has.
    acknowledged: Vec<WindowCounts>,
}

impl SyncCursor {
    /// Run of the control instance to which the position belongs; 0 before the first answer.
    pub const fn control_run(&self) -> u64 {
        self.control_run
    }

    /// Revision of the directory that the entry has.
    pub const fn directory_revision(&self) -> u64 {
        self.directory_revision
    }

    /// Counts that the control instance does not have.
    pub fn unacknowledged(&self, present: &[WindowCounts]) -> Vec<WindowCounts> {
        unacknowledged_counts(present, &self.acknowledged)
    }

    /// Takes the answer to a message that left the control instance with the counts `present`.
    pub fn advance(
        &mut self,
        control_run: u64,
        directory_revision: u64,
        present: Vec<WindowCounts>,
    ) {
        // A control instance that has restarted has seen only this message.
        let known_run = control_run == self.control_run;
        self.acknowledged = if known_run { present } else { Vec::new() };
        self.control_run = control_run;
        self.directory_revision = directory_revision;
    }
}
