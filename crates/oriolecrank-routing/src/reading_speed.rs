//! How fast the engines of a service read prompts, as one entry observes it.
//!
//! Engines of different deployments differ by more than an order of magnitude, so that a fixed start
//! value is wrong for most of them. All engines of a service and role therefore share one estimate,
//! which a few answers correct, and each engine has a factor relative to it, which follows slowly
//! because single answers also include waits that this entry does not know of.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

use crate::upstream_directory::EngineRole;

/// Time of reading at the assumed speed that counts as observed at the start, in milliseconds. Two or
/// three observed prompts outweigh it, whether engines are slow or fast.
const ASSUMED_READING_MS: f64 = 20.0;

/// Share of the earlier observations that is kept with each new one. Their weight halves within about
/// 14 prompts.
const KEPT_SHARE: f64 = 0.95;

/// Speed of an engine that also writes answers relative to one that only reads, which is assumed until
/// both have been observed. Such an engine reads between the decoding steps of its streams.
const ASSUMED_MIXED_SHARE: f64 = 0.5;

/// Lower limit of an estimate, in tokens per millisecond.
const MIN_TOKENS_PER_MS: f64 = 1.0;

/// Weight of a new observation in the factor of one engine.
const FACTOR_WEIGHT: f64 = 0.1;

/// Limits of one observation relative to the speed of the service. A single answer that was delayed
/// for another reason then changes the factor of its engine by a tenth at most.
const OBSERVED_FACTORS: (f64, f64) = (0.1, 10.0);

/// Reading that was observed at the engines of one role; the speed is the ratio of the two sums.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct ObservedReading {
    tokens: f64,
    time_ms: f64,
}

impl ObservedReading {
    fn record(&mut self, tokens: f64, time_ms: f64) {
        self.tokens = self.tokens * KEPT_SHARE + tokens;
        self.time_ms = self.time_ms * KEPT_SHARE + time_ms;
    }

    /// Speed if `assumed` counts like a short observation, in tokens per millisecond.
    fn speed(&self, assumed: f64) -> f64 {
        let tokens = self.tokens + assumed * ASSUMED_READING_MS;
        (tokens / (self.time_ms + ASSUMED_READING_MS)).max(MIN_TOKENS_PER_MS)
    }
}

/// Reading speeds of a service's engines by role.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceReading {
    /// Speed of an engine that only reads, assumed without observations, in tokens per millisecond.
    assumed: f64,
    reading: ObservedReading,
    mixed: ObservedReading,
}

impl ServiceReading {
    /// Without observations; `assumed` is in tokens per millisecond.
    pub fn new(assumed: f64) -> Self {
        Self {
            assumed,
            reading: ObservedReading::default(),
            mixed: ObservedReading::default(),
        }
    }

    /// Records that an engine with this role has read `tokens` in `time_ms`.
    pub fn record(&mut self, role: Option<EngineRole>, tokens: f64, time_ms: f64) {
        match role {
            Some(EngineRole::Prefill) => self.reading.record(tokens, time_ms),
            Some(EngineRole::Decode) | None => self.mixed.record(tokens, time_ms),
        }
    }

    /// Mean speed of the engines with this role, in tokens per millisecond. Without observations of
    /// one role, it follows from those of the other.
    pub fn speed(&self, role: Option<EngineRole>) -> f64 {
        match role {
            Some(EngineRole::Prefill) if self.reading == ObservedReading::default() => {
                self.mixed.speed(self.assumed * ASSUMED_MIXED_SHARE) / ASSUMED_MIXED_SHARE
            }
            Some(EngineRole::Prefill) => self.reading.speed(self.assumed),
            Some(EngineRole::Decode) | None => {
                let assumed = self.reading.speed(self.assumed) * ASSUMED_MIXED_SHARE;
                self.mixed.speed(assumed)
            }
        }
    }
}

/// Speed of one engine relative to the others of its service and role.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineFactor {
    factor: f64,
    observed_at: TimePoint,
}

impl EngineFactor {
    /// The factor of an engine that has not been observed.
    pub const fn new(now: TimePoint) -> Self {
        Self {
            factor: 1.0,
            observed_at: now,
        }
    }

    /// Records an observed speed, relative to that of the service.
    pub fn record(&mut self, relative_speed: f64, now: TimePoint) {
        let (low, high) = OBSERVED_FACTORS;
        let observed = relative_speed.clamp(low, high);
        self.factor += (observed - self.factor) * FACTOR_WEIGHT;
        self.observed_at = now;
    }

    /// The factor at `now`. A factor below 1 keeps requests away, and with them the answers that would
    /// correct it; without answers it counts for `lifetime` only.
    pub fn at(&self, now: TimePoint, lifetime: Duration) -> f64 {
        if now.since(self.observed_at) > lifetime {
            self.factor.max(1.0)
        } else {
            self.factor
        }
    }
}
