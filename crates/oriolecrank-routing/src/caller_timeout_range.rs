//! Tells callers that come back after a refusal from those that come for the first time.
//!
//! Callers state how long they will wait. Those that come back state what is left, so a short
//! patience shows how long ago they came first.

use std::time::Duration;

/// Shortest patience of a first attempt as a part of the longest one on the route. Measured: first
/// attempts state 0.85 to 1.0 of the longest, evenly spread.
const FIRST_PART: f64 = 0.85;

/// Patience of the callers on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerTimeoutRange {
    longest: Duration,
}

impl CallerTimeoutRange {
    /// A range that has seen one caller.
    pub const fn new(caller_timeout: Duration) -> Self {
        Self {
            longest: caller_timeout,
        }
    }

    /// Time since the first attempt of a caller that states `caller_timeout` now; nothing if it may be a
    /// first attempt. It is the mean over what such a caller may have stated first.
    pub fn time_since_first_attempt(&mut self, caller_timeout: Duration) -> Duration {
        self.longest = self.longest.max(caller_timeout);
        if caller_timeout >= self.longest.mul_f64(FIRST_PART) {
            return Duration::ZERO;
        }
        let first = self.longest.mul_f64(f64::midpoint(1.0, FIRST_PART));
        first.saturating_sub(caller_timeout)
    }
}
