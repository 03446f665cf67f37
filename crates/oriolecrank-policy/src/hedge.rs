//! Hedged requests: a second attempt that starts while a slow first one is still running.
//!
//! Only urgent idempotent calls are hedged: the second attempt uses upstream capacity, and a call
//! with side effects must not run twice. The hedge starts when the first attempt has returned no
//! byte within the time in which most of the recent answers began; the attempt that answers later
//! is cancelled.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

use crate::WorkClass;

/// Settings of the hedging policy.
#[derive(Debug, Clone, PartialEq)]
pub struct HedgeSettings {
    /// Quantile of the recent first-byte times that is used as the hedge delay, between 0 and 1.
    pub quantile: f64,
    /// Number of recent first-byte times that are stored.
    pub max_samples: usize,
    /// Number of samples needed before calls are hedged.
    pub min_samples: usize,
    /// Lower limit of the hedge delay.
    pub min_delay: Duration,
    /// A hedge is not started if less time than this remains until the deadline.
    pub min_time_to_deadline: Duration,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            max_samples: 200,
            min_samples: 20,
            min_delay: Duration::from_millis(20),
            min_time_to_deadline: Duration::from_millis(100),
        }
    }
}

/// A running attempt that may be hedged.
#[derive(Debug, Clone, Copy)]
pub struct FirstAttempt {
    /// Priority class of the call.
    pub class: WorkClass,
    /// Whether running the call twice has the same effect as running it once.
    pub idempotent: bool,
    /// Time at which the attempt was sent.
    pub sent_at: TimePoint,
    /// Time at which the answer must be complete.
    pub deadline: TimePoint,
}

/// Hedging policy of one service at one entry, based on the recent first-byte times.
#[derive(Debug)]
pub struct HedgePolicy {
    settings: HedgeSettings,
    /// Ring buffer of first-byte times.
    times: Vec<Duration>,
    /// Index of the oldest sample, which is overwritten next, once the ring buffer is full.
    next_index: usize,
    /// Hedge delay, recalculated after each sample; `None` until there are `min_samples`.
    delay: Option<Duration>,
}

impl HedgePolicy {
    /// Creates a policy without samples.
    pub fn new(settings: HedgeSettings) -> Self {
        Self {
            settings,
            times: Vec::new(),
            next_index: 0,
            delay: None,
        }
    }

    /// Records the time from sending an urgent call to the first byte of its answer.
    pub fn record(&mut self, first_byte: Duration) {
        if self.times.len() < self.settings.max_samples {
            self.times.push(first_byte);
        } else if let Some(oldest) = self.times.get_mut(self.next_index) {
            *oldest = first_byte;
            self.next_index = (self.next_index + 1) % self.settings.max_samples;
        }
        if self.times.len() < self.settings.min_samples {
            return;
        }
        let mut sorted = self.times.clone();
        let last = sorted.len() - 1;
        let index = ((sorted.len() as f64 * self.settings.quantile) as usize).min(last);
        let (_, quantile, _) = sorted.select_nth_unstable(index);
        self.delay = Some((*quantile).max(self.settings.min_delay));
    }

    /// Returns when a hedge may start if no byte has arrived by then.
    ///
    /// `None` if the call must not be hedged, there are too few samples, or the deadline is too
    /// near. The caller must also spend from the retry budget and exclude the first attempt's
    /// upstream.
    pub fn hedge_at(&self, first: &FirstAttempt) -> Option<TimePoint> {
        if first.class != WorkClass::Urgent || !first.idempotent {
            return None;
        }
        let at = first.sent_at + self.delay?;
        (at + self.settings.min_time_to_deadline <= first.deadline).then_some(at)
    }
}
