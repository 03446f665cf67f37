//! Time that plain requests take at the upstreams of a service.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

use crate::direct_chooser::ESTIMATE_LIFETIME;

/// Weight of a new observation in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.02;

/// Mean service time of the plain requests of a service.
///
/// A mean above the timeout of a route keeps requests away, and with them the answers that would
/// correct it. Without answers it therefore counts for [`ESTIMATE_LIFETIME`] only.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceTime {
    mean_ms: f64,
    /// Mean assumed without answers, in milliseconds.
    initial_ms: f64,
    /// Time of the last answer.
    observed_at: TimePoint,
}

impl ServiceTime {
    pub(crate) fn new(initial: Duration) -> Self {
        let initial_ms = initial.as_secs_f64() * 1_000.0;
        Self {
            mean_ms: initial_ms,
            initial_ms,
            observed_at: TimePoint::default(),
        }
    }

    pub(crate) fn record(&mut self, time: Duration, now: TimePoint) {
        let time_ms = time.as_secs_f64() * 1_000.0;
        let mean_ms = self.mean_ms(now);
        self.mean_ms = mean_ms + (time_ms - mean_ms) * SERVICE_TIME_WEIGHT;
        self.observed_at = now;
    }

    pub(crate) fn mean_ms(&self, now: TimePoint) -> f64 {
        if now.since(self.observed_at) > ESTIMATE_LIFETIME {
            self.mean_ms.min(self.initial_ms)
        } else {
            self.mean_ms
        }
    }
}
