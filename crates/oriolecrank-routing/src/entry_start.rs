//! Requests that reach an entry before its first document.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

/// Share of a caller's time limit for which its request may wait for the document. The rest is left
/// for the answer.
const WAIT_SHARE: f64 = 0.5;

/// Time for which a request may wait whose caller states no time limit.
const DEFAULT_WAIT: Duration = Duration::from_millis(500);

/// Start of an entry, at which it has no document yet.
///
/// After a restart of the whole site, a document arrives about a second after the process starts, once
/// the control group has a leader. All callers are waiting then, and come back only once or twice, so
/// that refusals until then would turn most of them away for good.
#[derive(Debug, Clone, Copy)]
pub struct EntryStart {
    /// When the process started.
    pub started_at: TimePoint,
    /// Time from the start in which a document is expected; requests are refused at once after it.
    /// Zero if requests do not wait.
    pub expected_within: Duration,
}

impl EntryStart {
    /// Time for which a request that arrives at `now` may wait for the document.
    pub fn wait(&self, caller_timeout: Option<Duration>, now: TimePoint) -> Duration {
        let start_left = (self.started_at + self.expected_within).since(now);
        let most = caller_timeout.map_or(DEFAULT_WAIT, |limit| limit.mul_f64(WAIT_SHARE));
        start_left.min(most)
    }
}
