//! Times at which refused callers are asked to come back.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

/// Shortest time after which a caller is asked to come back. An earlier one would find the same
/// queue: entries learn of each other's requests twice a second.
const MIN_RETURN_TIME: Duration = Duration::from_millis(400);

/// Longest time after which a caller is asked to come back. Later ones would come after the loads
/// that this follows from have long changed.
const MAX_RETURN_TIME: Duration = Duration::from_secs(10);

/// Times of return of one entry's refused callers for one service, in the order of their refusals.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReturnSchedule {
    /// Time from which on the next caller may come back.
    next: TimePoint,
}

impl ReturnSchedule {
    /// Time after which a caller with `work` tokens may come back, after those refused before it.
    ///
    /// `backlog_wait` is the time until the engines have read what they were sent, and
    /// `tokens_per_second` the work of returning callers that this entry may send from then on. The
    /// place is kept only if the caller can come back within `time_left`.
    pub fn reserve(
        &mut self,
        work: f64,
        tokens_per_second: f64,
        backlog_wait: Duration,
        time_left: Duration,
        now: TimePoint,
    ) -> Duration {
        let earliest = now + backlog_wait.max(MIN_RETURN_TIME);
        let place = self.next.max(earliest);
        let wait = place.since(now).min(MAX_RETURN_TIME);
        if wait < time_left {
            let seconds = work / tokens_per_second.max(1.0);
            let most = MAX_RETURN_TIME.as_secs_f64();
            self.next = place + Duration::from_secs_f64(seconds.clamp(0.0, most));
        }
        wait
    }
}
