//! When the leader closes usage windows and reports them to the usage interface of the platform.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

use crate::acting_term::ActingTerm;
use crate::usage_window::WindowNumber;

/// A window is closed once this share of the time until its report is due has passed. Entries send
/// their counts about twice a second; the rest of the time is for entries that are cut off for a
/// while, and for the report itself.
const CLOSE_DELAY_SHARE: f64 = 0.35;

/// Timing of the usage reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduleSettings {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub due_after: Duration,
    /// Time for which a new leader waits before it acts, so that its predecessor has stopped.
    pub lease: Duration,
}

/// Decides when this instance closes and reports usage windows.
#[derive(Debug)]
pub struct UsageSchedule {
    settings: ScheduleSettings,
    acting_term: ActingTerm,
}

impl UsageSchedule {
    /// Creates the schedule of an instance that does not lead.
    pub const fn new(settings: ScheduleSettings) -> Self {
        Self {
            acting_term: ActingTerm::new(settings.lease),
            settings,
        }
    }

    /// Updates the schedule with the term that this instance leads at present, `None` if it does
    /// not lead. Returns the term once the instance has led it for the lease and was not fenced.
    pub fn acting_term(&mut self, led_term: Option<u64>, now: TimePoint) -> Option<u64> {
        self.acting_term.update(led_term, now)
    }

    /// Records that a later leader has reported; this instance does nothing more in its term.
    pub const fn mark_fenced(&mut self) {
        self.acting_term.mark_fenced();
    }

    /// Windows to close at `unix_ms`, oldest first; those up to `closed_until` are closed already.
    /// Windows before the last one whose report is already due are skipped.
    pub fn windows_to_close(
        &self,
        unix_ms: u64,
        closed_until: WindowNumber,
    ) -> impl Iterator<Item = WindowNumber> + use<> {
        let close_after = self.settings.due_after.mul_f64(CLOSE_DELAY_SHARE);
        let newest = self.last_ended(unix_ms, close_after);
        let first = self.last_due(unix_ms).max(closed_until.0 + 1);
        (first..=newest).map(WindowNumber)
    }

    /// Oldest window whose counts are kept: the one before the oldest that may still be closed.
    pub fn oldest_needed(&self, unix_ms: u64) -> WindowNumber {
        WindowNumber(self.last_due(unix_ms).saturating_sub(1))
    }

    /// Last window whose report is due, that is, which ended at least `due_after` ago.
    fn last_due(&self, unix_ms: u64) -> u64 {
        self.last_ended(unix_ms, self.settings.due_after)
    }

    /// Last window that had ended `ago` before `unix_ms`. The window that contains a point in time
    /// has not ended; the one before it has.
    fn last_ended(&self, unix_ms: u64, ago: Duration) -> u64 {
        let time_ms = unix_ms.saturating_sub(ago.as_millis() as u64);
        let window = WindowNumber::at(time_ms, self.settings.window);
        window.0.saturating_sub(1)
    }
}
