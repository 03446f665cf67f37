//! State of the exchange between an entry and one control instance.

use crate::usage_window::{WindowCounts, unacknowledged_counts};

/// What a sync message and those before it bring a control instance up to. Whatever an entry sends
/// only once to an instance belongs here, so that it is sent again after the instance has restarted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SentState {
    /// Usage counts.
    pub counts: Vec<WindowCounts>,
    /// Sequence of the newest placement of a shared prompt part.
    pub placement_sequence: u64,
    /// Sequence of the newest report about crashes.
    pub report_sequence: u64,
}

/// What an entry has received from one control instance, and what that instance has received.
#[derive(Debug, Clone, Default)]
pub struct SyncCursor {
    control_run: u64,
    directory_revision: u64,
    /// Belongs to the run `control_run` of the control instance; empty for any other run.
    acknowledged: SentState,
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
        unacknowledged_counts(present, &self.acknowledged.counts)
    }

    /// Sequence of the newest placement that the control instance has acknowledged.
    pub const fn placement_sequence(&self) -> u64 {
        self.acknowledged.placement_sequence
    }

    /// Sequence of the newest report about crashes that the control instance has acknowledged.
    pub const fn report_sequence(&self) -> u64 {
        self.acknowledged.report_sequence
    }

    /// Records the answer to a sync message that brought the control instance up to `sent`.
    pub fn advance(&mut self, control_run: u64, directory_revision: u64, sent: SentState) {
        // A control instance that has restarted has only what this message held, which was sent as
        // a difference; everything is sent again.
        let same_run = control_run == self.control_run;
        self.acknowledged = if same_run { sent } else { SentState::default() };
        self.control_run = control_run;
        self.directory_revision = directory_revision;
    }
}
