//! What the engines of a service have been sent, against what they can read.

use std::time::Duration;

/// Sum over the engines of a service that are ready and healthy, with the load of all entries.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineBacklog {
    /// Tokens that were sent to engines and are not read yet.
    pub pending_tokens: f64,
    /// Those of `pending_tokens` that this entry has sent.
    pub own_tokens: f64,
    /// Tokens that all engines read in a millisecond.
    pub tokens_per_ms: f64,
    /// Requests that run or wait at the engines.
    pub running: u64,
    /// Requests that the engines can run at once.
    pub slots: u64,
}

/// Share of the slots that must be taken before shares bind. With fewer, the engines work through a
/// short peak, and nobody else has to wait for a slot.
const MIN_TAKEN_SLOTS: f64 = 0.5;

/// Time in which a backlog above its limit is to be worked off, in milliseconds. Shorter times refuse
/// requests that could still be answered late.
const DRAIN_TIME_MS: f64 = 4_000.0;

/// Smallest share of the capacity that is given out while a backlog is worked off.
const MIN_DRAIN_SHARE: f64 = 0.75;

impl EngineBacklog {
    /// Mean time until the engines have read what they were sent, in milliseconds.
    pub fn wait_ms(&self) -> f64 {
        if self.tokens_per_ms > 0.0 {
            self.pending_tokens / self.tokens_per_ms
        } else {
            0.0
        }
    }

    /// Time until the engines have read what they were sent.
    pub fn wait(&self) -> Duration {
        Duration::from_secs_f64(self.wait_ms().min(MAX_WAIT_MS) / 1_000.0)
    }

    /// Whether a new request would wait longer than `limit_ms`.
    pub fn exceeds(&self, limit_ms: f64) -> bool {
        let taken = self.running as f64 >= self.slots as f64 * MIN_TAKEN_SLOTS;
        self.slots > 0 && taken && self.wait_ms() > limit_ms
    }

    /// Tokens per second that can be admitted so that the wait falls to `limit_ms`.
    pub fn capacity(&self, limit_ms: f64) -> f64 {
        let excess = (self.wait_ms() - limit_ms).max(0.0) / DRAIN_TIME_MS;
        self.tokens_per_ms * 1_000.0 * (1.0 - excess).max(MIN_DRAIN_SHARE)
    }
}

/// Upper bound of an estimated wait, in milliseconds.
const MAX_WAIT_MS: f64 = 60_000.0;
