//! Bounded number of log lines.
//!
//! Lines about single requests are sampled by request, so that all lines of one request are kept or
//! dropped together. Lines about the process itself have a budget of their own and are never dropped
//! in favour of those about requests.

use std::hash::{Hash as _, Hasher as _};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Filter};

use crate::boot_clock::BootClock;

/// Length of the periods in which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Part of the budget that sampling aims at, so that chance seldom cuts off the last lines of a request.
const SAMPLED_PART: f64 = 0.75;

/// Lines that were dropped by this process, by the budget or by a full pipe.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Counts a line that was not written.
pub(crate) fn count_dropped_line() {
    DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
}

/// Lines that were not written since the last call.
pub(crate) fn take_dropped_lines() -> u64 {
    DROPPED_LINES.swap(0, Ordering::Relaxed)
}

/// Lines that are written in a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Lines about single requests. A process wrote up to 403 in a second at a peak without a bound; half
    /// of that is an estimate, its cost was not measured apart.
    pub request_lines: u32,
    /// Lines about the process. They are few; the bound holds off a loop that goes wrong.
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

/// Decides which lines are written.
#[derive(Debug)]
pub struct LogBudget {
    settings: BudgetSettings,
    /// Number of the present period.
    period: u64,
    /// Lines about requests that were to be written in this period.
    wanted: u32,
    /// Lines about requests that were written in it.
    kept: u32,
    /// Lines about the process that were written in it.
    process_kept: u32,
    /// Part of the requests whose lines are written, from what the period before wanted; 0 to 1.
    share: f64,
}

impl LogBudget {
    /// A budget without history.
    pub const fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            period: 0,
            wanted: 0,
            kept: 0,
            process_kept: 0,
            share: 1.0,
        }
    }

    /// Whether a line about a request is written.
    pub fn admits_request(&mut self, request: &str, now: TimePoint) -> bool {
        self.advance(now);
        self.wanted = self.wanted.saturating_add(1);
        let sampled = sample_point(request) < self.share;
        let admitted = sampled && self.kept < self.settings.request_lines;
        self.kept += u32::from(admitted);
        admitted
    }

    /// Whether a line about the process is written.
    pub fn admits_process(&mut self, now: TimePoint) -> bool {
        self.advance(now);
        let admitted = self.process_kept < self.settings.process_lines;
        self.process_kept += u32::from(admitted);
        admitted
    }

    fn advance(&mut self, now: TimePoint) {
        let period = now.as_millis() / PERIOD.as_millis() as u64;
        if period == self.period {
            return;
        }
        let follows = period == self.period + 1;
        let wanted = if follows { self.wanted } else { 0 };
        let budget = self.settings.request_lines;
        self.share = if wanted > budget {
            f64::from(budget) * SAMPLED_PART / f64::from(wanted)
        } else {
            1.0
        };
        self.period = period;
        self.wanted = 0;
        self.kept = 0;
        self.process_kept = 0;
    }
}

/// Place of a request between 0 and 1; the same in every process.
fn sample_point(request: &str) -> f64 {
    let mut hasher = std::hash::DefaultHasher::new();
    request.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

/// Applies a [`LogBudget`] to the lines of this process.
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
        let mut request = RequestField(None);
        if *event.metadata().level() >= Level::INFO {
            event.record(&mut request);
        }
        let now = BootClock.now();
        let mut budget = self.0.lock().expect("no holder of the budget lock panics");
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

/// Finds the field that names the request.
struct RequestField(Option<String>);

impl Visit for RequestField {
    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() == "request" {
            self.0 = Some(value.to_owned());
        }
    }

    fn record_debug(&mut self, _field: &Field, _value: &dyn std::fmt::Debug) {}
}
