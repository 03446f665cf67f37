//! Times between the events of streams, by engine and over all engines of a service.
//!
//! Engines of one service differ in speed, and an engine may be several times slower than usual for
//! less than a second. A stream that decodes for seconds meets such a time on almost every engine, so
//! that its longest pause depends on the mean pace of its engine and on how far pauses exceed it.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

/// Events whose pauses are recorded together. At the pace of the deployments they take several hundred
/// milliseconds, the length of a time in which an engine is slow.
const SAMPLE_EVENTS: u32 = 8;

/// Share of the earlier pauses that is kept with each new one. Their weight halves within 23 events.
const KEPT_EVENT_SHARE: f64 = 0.97;

/// Time after which an engine without new pauses counts like the mean of its service.
const PACE_LIFETIME: Duration = Duration::from_secs(5);

/// Time after which an engine without new pauses is tried again, even if the mean of its service is
/// worse than the engines that are observed.
const RETRIAL_TIME: Duration = Duration::from_secs(30);

/// Share of the earlier samples that is kept in the spread with each new one.
const KEPT_SAMPLE_SHARE: f64 = 0.99;

/// Width of a class of the spread, as a multiple of the mean pause.
const CLASS_WIDTH: f64 = 0.125;

/// Number of classes of the spread. Pauses of more than six times the mean are in the last one.
const CLASS_COUNT: usize = 48;

/// Samples after which the spread counts as observed.
const MIN_SAMPLES: f64 = 20.0;

/// Pauses between consecutive events of one stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PauseSample {
    /// Number of pauses.
    pub events: u32,
    /// Sum of the pauses, in milliseconds.
    pub total_ms: f64,
    /// Longest of the pauses, in milliseconds.
    pub longest_ms: f64,
}

/// Collects the pauses of one stream into samples.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PauseCollector {
    /// Time of the last event; `None` before the first one and after a delay by the caller.
    last_event: Option<TimePoint>,
    sample: PauseSample,
}

const EMPTY_SAMPLE: PauseSample = PauseSample {
    events: 0,
    total_ms: 0.0,
    longest_ms: 0.0,
};

impl Default for PauseCollector {
    fn default() -> Self {
        Self::new()
    }
}

impl PauseCollector {
    /// Without events.
    pub const fn new() -> Self {
        Self {
            last_event: None,
            sample: EMPTY_SAMPLE,
        }
    }

    /// Records `events` that have arrived together; returns the pause before them, unless they are the
    /// first ones.
    pub fn record(&mut self, events: u32, now: TimePoint) -> Option<Duration> {
        let pause = self
            .last_event
            .replace(now)
            .map(|last_event| now.since(last_event));
        if let Some(pause) = pause {
            let pause_ms = pause.as_secs_f64() * 1_000.0;
            self.sample.events += events.max(1);
            self.sample.total_ms += pause_ms;
            self.sample.longest_ms = self.sample.longest_ms.max(pause_ms);
        }
        pause
    }

    /// Leaves out the pause before the next event, as after a caller that reads slowly.
    pub const fn skip_pause(&mut self) {
        self.last_event = None;
    }

    /// The collected pauses, if they make a whole sample.
    pub fn take_full(&mut self) -> Option<PauseSample> {
        (self.sample.events >= SAMPLE_EVENTS)
            .then(|| std::mem::replace(&mut self.sample, EMPTY_SAMPLE))
    }

    /// The pauses collected at the end of the stream.
    pub fn take_rest(&mut self) -> Option<PauseSample> {
        let rest = std::mem::replace(&mut self.sample, EMPTY_SAMPLE);
        (rest.events > 0).then_some(rest)
    }
}

/// Mean time between the events of the streams of one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EventPace {
    /// Weighted number of pauses.
    events: f64,
    /// Weighted sum of the pauses, in milliseconds.
    time_ms: f64,
    observed_at: TimePoint,
}

impl EventPace {
    /// Records pauses of one of the engine's streams.
    pub fn record(&mut self, sample: PauseSample, now: TimePoint) {
        let kept = KEPT_EVENT_SHARE.powi(sample.events.cast_signed());
        self.events = self.events * kept + f64::from(sample.events);
        self.time_ms = self.time_ms * kept + sample.total_ms;
        self.observed_at = now;
    }

    /// Mean pause, in milliseconds; `None` if none was observed lately.
    pub fn mean_ms(&self, now: TimePoint) -> Option<f64> {
        let is_recent = now.since(self.observed_at) <= PACE_LIFETIME;
        (is_recent && self.events > 0.0).then(|| self.time_ms / self.events)
    }

    /// Whether pauses were observed, but so long ago that the engine is to be tried again.
    fn is_outdated(&self, now: TimePoint) -> bool {
        self.events > 0.0 && now.since(self.observed_at) > RETRIAL_TIME
    }
}

/// Pauses of the streams of all engines of a service: their mean, and how far the longest pause of a
/// sample exceeds the mean of its engine.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePauses {
    pace: EventPace,
    /// Weighted number of samples by the ratio of their longest pause to the mean.
    classes: [f64; CLASS_COUNT],
    /// Sum of `classes`.
    samples: f64,
}

impl Default for ServicePauses {
    fn default() -> Self {
        Self {
            pace: EventPace::default(),
            classes: [0.0; CLASS_COUNT],
            samples: 0.0,
        }
    }
}

impl ServicePauses {
    /// Records a sample of an engine and its mean pause before; `None` if that is not known. Short
    /// samples are left out of the spread, as their longest pause tells less.
    pub fn record(&mut self, sample: PauseSample, mean_ms: Option<f64>, now: TimePoint) {
        self.pace.record(sample, now);
        let mean_ms = mean_ms.filter(|mean_ms| *mean_ms > 0.0);
        let Some(mean_ms) = mean_ms.filter(|_| sample.events >= SAMPLE_EVENTS) else {
            return;
        };
        let class = class_of(sample.longest_ms / mean_ms);
        for weight in &mut self.classes {
            *weight *= KEPT_SAMPLE_SHARE;
        }
        self.classes[class] += 1.0;
        self.samples = self.samples * KEPT_SAMPLE_SHARE + 1.0;
    }

    /// Mean pause at an engine, in milliseconds. An engine that was not observed lately counts like the
    /// mean of all. `None` if none was observed, or if the engine is to be tried again.
    pub fn mean_ms(&self, engine: &EventPace, now: TimePoint) -> Option<f64> {
        let mean_ms = engine.mean_ms(now).or_else(|| self.pace.mean_ms(now));
        mean_ms.filter(|_| !engine.is_outdated(now))
    }

    /// Share of the samples with a pause above `ratio` times the mean; `None` if too few were observed.
    pub fn share_above(&self, ratio: f64) -> Option<f64> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let above: f64 = self.classes[class_of(ratio)..].iter().sum();
        Some((above / self.samples).min(1.0))
    }

    /// Share of the streams with `events` events that pause for more than `ratio` times the mean.
    pub fn streams_above(&self, ratio: f64, events: u64) -> Option<f64> {
        let samples = events as f64 / f64::from(SAMPLE_EVENTS);
        let share = self.share_above(ratio)?;
        Some(1.0 - (1.0 - share).powf(samples))
    }
}

fn class_of(ratio: f64) -> usize {
    ((ratio / CLASS_WIDTH) as usize).min(CLASS_COUNT - 1)
}
