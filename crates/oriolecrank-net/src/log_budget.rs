//! Rate limit on log lines.
//!
//! Lines about single requests are sampled by request id, so that normally all lines of a request
//! are written or dropped together. Lines about the process itself have a separate budget, which
//! lines about requests cannot use up.

use std::hash::{Hash as _, Hasher as _};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Filter};

use crate::boot_clock::BootClock;

/// Length of the fixed window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Fraction of the request budget that sampling aims to fill. The rest is headroom, so that
/// variation in the sample seldom exhausts the budget and cuts off the last lines of a request.
const SAMPLING_TARGET: f64 = 0.75;

/// Lines dropped by this process since the last report, because they exceeded the budget, were too
/// long, or standard output was not ready.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Records that one line was dropped.
pub(crate) fn count_dropped_line() {
    DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
}

/// Returns the number of lines dropped since the last call and resets it.
pub(crate) fn take_dropped_lines() -> u64 {
    DROPPED_LINES.swap(0, Ordering::Relaxed)
}

/// Maximum numbers of log lines per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Lines about single requests. The default is about half of the 403 lines per second that a
    /// process writes at a peak without a limit.
    pub request_lines: u32,
    /// Lines about the process itself. They are normally few; the limit contains a faulty loop that
    /// logs without end.
    pub process_lines: u32,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            request_lines: 200,
            process_lines: 200,
        }
    }
}

/// Decides which log lines are written.
#[derive(Debug)]
pub struct LogBudget {
    settings: BudgetSettings,
    /// Index of the current window, counted from the origin of the clock.
    window: u64,
    /// Lines about requests submitted in the current window, written or not.
    submitted_request_lines: u32,
    /// Lines about requests written in the current window.
    written_request_lines: u32,
    /// Lines about the process written in the current window.
    written_process_lines: u32,
    /// Fraction of requests whose lines are written, 0 to 1, computed from the lines submitted in
    /// the previous window.
    sampling_rate: f64,
}

impl LogBudget {
    /// Creates a budget that samples all requests until a window exceeds the limit.
    pub const fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            window: 0,
            submitted_request_lines: 0,
            written_request_lines: 0,
            written_process_lines: 0,
            sampling_rate: 1.0,
        }
    }

    /// Counts a line about the request with id `request` and returns whether to write it.
    pub fn admits_request(&mut self, request: &str, now: TimePoint) -> bool {
        self.advance(now);
        self.submitted_request_lines = self.submitted_request_lines.saturating_add(1);
        let sampled = sample_point(request) < self.sampling_rate;
        let admitted = sampled && self.written_request_lines < self.settings.request_lines;
        self.written_request_lines += u32::from(admitted);
        admitted
    }

    /// Counts a line about the process and returns whether to write it.
    pub fn admits_process(&mut self, now: TimePoint) -> bool {
        self.advance(now);
        let admitted = self.written_process_lines < self.settings.process_lines;
        self.written_process_lines += u32::from(admitted);
        admitted
    }

    /// Starts a new window if `now` lies outside the current one. After a window in which nothing
    /// was submitted, all requests are sampled again.
    fn advance(&mut self, now: TimePoint) {
        let window = now.as_millis() / WINDOW.as_millis() as u64;
        if window == self.window {
            return;
        }
        let is_next_window = window == self.window + 1;
        let previously_submitted = if is_next_window {
            self.submitted_request_lines
        } else {
            0
        };
        let budget = self.settings.request_lines;
        self.sampling_rate = if previously_submitted > budget {
            f64::from(budget) * SAMPLING_TARGET / f64::from(previously_submitted)
        } else {
            1.0
        };
        self.window = window;
        self.submitted_request_lines = 0;
        self.written_request_lines = 0;
        self.written_process_lines = 0;
    }
}

/// Maps a request id to a number from 0 to 1. Every process computes the same number, so that all
/// of them log the same requests at equal sampling rates.
fn sample_point(request: &str) -> f64 {
    let mut hasher = std::hash::DefaultHasher::new();
    request.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

/// Filters log events of this process by a [`LogBudget`]. Events at level `INFO` or more verbose
/// that have a `request` field count as lines about requests, all others as lines about the
/// process.
#[derive(Debug)]
pub(crate) struct BudgetFilter(Mutex<LogBudget>);

impl BudgetFilter {
    pub(crate) const fn new(settings: BudgetSettings) -> Self {
        Self(Mutex::new(LogBudget::new(settings)))
    }
}

impl<S: Subscriber> Filter<S> for BudgetFilter {
    fn enabled(&self, _metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _context: &Context<'_, S>) -> bool {
        let mut request = RequestIdVisitor(None);
        if *event.metadata().level() >= Level::INFO {
            event.record(&mut request);
        }
        let now = BootClock.now();
        let mut budget = self
            .0
            .lock()
            .expect("no code panics while it holds the budget lock");
        let admitted = match &request.0 {
            Some(request) => budget.admits_request(request, now),
            None => budget.admits_process(now),
        };
        drop(budget);
        if !admitted {
            count_dropped_line();
        }
        admitted
    }
}

/// Extracts the `request` field of an event: the request id.
struct RequestIdVisitor(Option<String>);

impl Visit for RequestIdVisitor {
    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() == "request" {
            self.0 = Some(value.to_owned());
        }
    }

    fn record_debug(&mut self, _field: &Field, _value: &dyn std::fmt::Debug) {}
}
