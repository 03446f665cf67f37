//! Distinguishes callers that retry after a refusal from new ones.
//!
//! Callers state how long they will wait. A retrying caller states the time that it has left, so a
//! short timeout shows how long ago its first attempt was.

use std::time::Duration;

use oriolecrank_policy::recent_maximum::RecentMaximum;
use oriolecrank_schema::TimePoint;

/// Shortest timeout of a first attempt, relative to the longest timeout on the route: first
/// attempts state 0.85 to 1.0 of the longest, evenly distributed.
const MIN_FIRST_ATTEMPT_SHARE: f64 = 0.85;

/// Time over which the longest timeout is observed. It counts for the next such time as well, and
/// no longer: a single caller with a very long timeout would make all others look like retrying ones.
const OBSERVATION_TIME: Duration = Duration::from_secs(30);

/// Timeouts that the callers of one route state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerTimeoutRange {
    longest: RecentMaximum<Duration>,
}

impl CallerTimeoutRange {
    /// Creates a range from the timeout of the first caller.
    pub fn new(caller_timeout: Duration, now: TimePoint) -> Self {
        let mut longest = RecentMaximum::new(OBSERVATION_TIME, now);
        longest.record(caller_timeout, now);
        Self { longest }
    }

    /// Estimated time since the first attempt of a caller that now states `caller_timeout`; zero if
    /// this may be its first attempt. The timeout of its first attempt is unknown, so the mean of
    /// the possible ones is assumed.
    pub fn time_since_first_attempt(
        &mut self,
        caller_timeout: Duration,
        now: TimePoint,
    ) -> Duration {
        self.longest.record(caller_timeout, now);
        let longest = self.longest.get(now);
        if caller_timeout >= longest.mul_f64(MIN_FIRST_ATTEMPT_SHARE) {
            return Duration::ZERO;
        }
        let first_timeout = longest.mul_f64(f64::midpoint(1.0, MIN_FIRST_ATTEMPT_SHARE));
        first_timeout.saturating_sub(caller_timeout)
    }
}
