//! When the leader closes usage windows and reports them.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

use crate::usage_window::WindowNumber;

/// Part of the time until a report is due after which a window is closed. Entries send their counts
/// about twice a second; the rest is for entries that are cut off for a while, and for the report.
const CLOSE_PART: f64 = 0.35;

/// Times of usage reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduleSettings {
    /// Length of a window.
    pub window: Duration,
    /// Time after its end at which a report is due.
    pub due_after: Duration,
    /// Time for which a leader waits before it acts, so that its predecessor has stopped.
    pub lease: Duration,
}

/// A term that this instance leads.
#[derive(Debug, Clone, Copy)]
struct LedTerm {
    term: u64,
    since: TimePoint,
    /// The usage interface has seen a higher fencing number; nothing more is sent in this term.
    fenced: bool,
}

/// Decides when this instance acts on usage windows.
#[derive(Debug)]
pub struct UsageSchedule {
    settings: ScheduleSettings,
    led: Option<LedTerm>,
}

impl UsageSchedule {
    /// A schedule of an instance that does not lead.
    pub const fn new(settings: ScheduleSettings) -> Self {
        Self {
            settings,
            led: None,
        }
    }

    /// Takes the term that this instance leads at present; returns it once the instance may act.
    pub fn acting_term(&mut self, led: Option<u64>, now: TimePoint) -> Option<u64> {
        let Some(term) = led else {
            self.led = None;
            return None;
        };
        let known = self.led.filter(|led| led.term == term);
        let led = known.unwrap_or(LedTerm {
            term,
            since: now,
            fenced: false,
        });
        self.led = Some(led);
        let acts = !led.fenced && now.since(led.since) >= self.settings.lease;
        acts.then_some(term)
    }

    /// A later leader has acted; this instance does nothing more in its term.
    pub const fn mark_fenced(&mut self) {
        if let Some(led) = &mut self.led {
            led.fenced = true;
        }
    }

    /// Windows to close, oldest first. Windows whose report would be late are skipped.
    pub fn windows_to_close(
        &self,
        unix_ms: u64,
        closed_until: WindowNumber,
    ) -> impl Iterator<Item = WindowNumber> + use<> {
        let close_after = self.settings.due_after.mul_f64(CLOSE_PART);
        let newest = self.last_ended(unix_ms, close_after);
        let first = self.oldest_open(unix_ms).max(closed_until.0 + 1);
        (first..=newest).map(WindowNumber)
    }

    /// Oldest window whose counts are still needed.
    pub fn oldest_needed(&self, unix_ms: u64) -> WindowNumber {
        WindowNumber(self.oldest_open(unix_ms).saturating_sub(1))
    }

    fn oldest_open(&self, unix_ms: u64) -> u64 {
        self.last_ended(unix_ms, self.settings.due_after)
    }

    /// Last window that had ended `before` ago. The window that contains a point of time is not over;
    /// the one before it is.
    fn last_ended(&self, unix_ms: u64, before: Duration) -> u64 {
        let point = unix_ms.saturating_sub(before.as_millis() as u64);
        let present = WindowNumber::at(point, self.settings.window);
        present.0.saturating_sub(1)
    }
}
