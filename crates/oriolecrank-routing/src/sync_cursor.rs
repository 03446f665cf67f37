//! State of the exchange between an entry and one control instance.

use crate::usage_window::{WindowCounts, unacknowledged_counts};

/// What an entry has received from one control instance, and which of its counts were acknowledged.
#[derive(Debug, Clone, Default)]
pub struct SyncCursor {
    control_run: u64,
    directory_revision: u64,
    /// Usage counts that the control instance has received.
    acknowledged: Vec<WindowCounts>,
}

impl SyncCursor {
    /// Run number of the control instance that this cursor belongs to; 0 before the first answer.
    pub const fn control_run(&self) -> u64 {
        self.control_run
    }

    /// Revision of the directory up to which the entry has received changes.
    pub const fn directory_revision(&self) -> u64 {
        self.directory_revision
    }

    /// Those of the counts `present` that the control instance has not acknowledged.
    pub fn unacknowledged(&self, present: &[WindowCounts]) -> Vec<WindowCounts> {
        unacknowledged_counts(present, &self.acknowledged)
    }

    /// Records the answer to a sync message that brought the control instance up to the counts
    /// `present`.
    pub fn advance(
        &mut self,
        control_run: u64,
        directory_revision: u64,
        present: Vec<WindowCounts>,
    ) {
        // A control instance that has restarted has only the counts of this message, which were
        // sent as a difference; everything is sent again.
        let same_run = control_run == self.control_run;
        self.acknowledged = if same_run { present } else { Vec::new() };
        self.control_run = control_run;
        self.directory_revision = directory_revision;
    }
}
