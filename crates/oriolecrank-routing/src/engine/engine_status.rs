//! What an entry knows of an engine, for log lines.

use oriolecrank_schema::TimePoint;

use crate::direct_upstream::DirectUpstream;
use crate::reading_speed::ServiceReading;

/// Load and speed of an engine, as an entry knows them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineStatus {
    /// Requests that run or wait there.
    pub running: u32,
    /// Time to read the prompts that wait there, in milliseconds.
    pub queued_ms: f64,
    /// Speed at which it reads prompts, in tokens per millisecond.
    pub tokens_per_ms: f64,
    /// Mean pause between the events of its streams, in milliseconds; `None` if it was not observed.
    pub pause_ms: Option<f64>,
}

impl DirectUpstream {
    /// What is known of the engine.
    pub(crate) fn engine_status(&self, reading: &ServiceReading, now: TimePoint) -> EngineStatus {
        EngineStatus {
            running: self.running(),
            queued_ms: self.queued_reading_ms(reading, now),
            tokens_per_ms: self.reading_speed(reading, now),
            pause_ms: self.pace.mean_ms(now),
        }
    }
}
