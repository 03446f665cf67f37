//! When a second attempt is started beside a slow first one.
//!
//! Only urgent idempotent calls are hedged: the second attempt costs an upstream's work, and a call
//! with effects must not run twice. The hedge starts when the first attempt has been silent for
//! longer than most recent answers took; the loser is cancelled.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

use crate::WorkClass;

/// Rules for hedges.
#[derive(Debug, Clone, PartialEq)]
pub struct HedgeSettings {
    /// Share of recent first-byte times that must be shorter than the delay.
    pub quantile: f64,
    /// First-byte times that are remembered.
    pub samples: usize,
    /// Samples that are needed before hedging starts.
    pub min_samples: usize,
    /// Shortest delay.
    pub min_delay: Duration,
    /// A hedge is not started when less than this is left until the deadline.
    pub min_left: Duration,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            samples: 200,
            min_samples: 20,
            min_delay: Duration::from_millis(20),
            min_left: Duration::from_millis(100),
        }
    }
}

/// A running first attempt.
#[derive(Debug, Clone, Copy)]
pub struct FirstAttempt {
    /// Priority class.
    pub class: WorkClass,
    /// Whether the call may be repeated without a second effect.
    pub idempotent: bool,
    /// When it was sent.
    pub sent_at: TimePoint,
    /// Time at which the answer must be complete.
    pub deadline: TimePoint,
}

/// First-byte times of one service at one entry.
#[derive(Debug)]
pub struct HedgePolicy {
    settings: HedgeSettings,
    /// Ring of first-byte times.
    times: Vec<Duration>,
    next: usize,
    /// Quantile of `times`; recalculated after each sample.
    delay: Option<Duration>,
}

impl HedgePolicy {
    /// A policy without samples.
    pub fn new(settings: HedgeSettings) -> Self {
        Self {
            settings,
            times: Vec::new(),
            next: 0,
            delay: None,
        }
    }

    /// Takes the time from sending to the first byte of an urgent answer.
    pub fn record(&mut self, first_byte: Duration) {
        if self.times.len() < self.settings.samples {
            self.times.push(first_byte);
        } else if let Some(oldest) = self.times.get_mut(self.next) {
            *oldest = first_byte;
            self.next = (self.next + 1) % self.settings.samples;
        }
        if self.times.len() < self.settings.min_samples {
            return;
        }
        let mut sorted = self.times.clone();
        let last = sorted.len() - 1;
        let rank = ((sorted.len() as f64 * self.settings.quantile) as usize).min(last);
        let (_, quantile, _) = sorted.select_nth_unstable(rank);
        self.delay = Some((*quantile).max(self.settings.min_delay));
    }

    /// When a hedge may start if no byte has arrived by then; `None` for calls that are not hedged.
    ///
    /// The caller also draws from the retry budget and excludes the first attempt's upstream.
    pub fn hedge_at(&self, first: &FirstAttempt) -> Option<TimePoint> {
        if first.class != WorkClass::Urgent || !first.idempotent {
            return None;
        }
        let at = first.sent_at + self.delay?;
        (at + self.settings.min_left <= first.deadline).then_some(at)
    }
}
