//! Largest value of a recent time.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

/// Largest recorded value of an observation time and of the one before, so that a value counts for
/// one to two observation times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecentMaximum<T> {
    observation_time: Duration,
    /// Largest value since `observed_since`.
    current: T,
    /// Largest value of the observation time before.
    earlier: T,
    observed_since: TimePoint,
}

impl<T: Copy + Default + Ord> RecentMaximum<T> {
    /// A maximum without values, which is the default value of the type.
    pub fn new(observation_time: Duration, now: TimePoint) -> Self {
        Self {
            observation_time,
            current: T::default(),
            earlier: T::default(),
            observed_since: now,
        }
    }

    /// Records a value.
    pub fn record(&mut self, value: T, now: TimePoint) {
        self.forget_earlier(now);
        self.current = self.current.max(value);
    }

    /// Largest recent value.
    pub fn get(&mut self, now: TimePoint) -> T {
        self.forget_earlier(now);
        self.current.max(self.earlier)
    }

    fn forget_earlier(&mut self, now: TimePoint) {
        let observed = now.since(self.observed_since);
        if observed < self.observation_time {
            return;
        }
        let is_recent = observed < self.observation_time * 2;
        self.earlier = if is_recent {
            self.current
        } else {
            T::default()
        };
        self.current = T::default();
        self.observed_since = now;
    }
}
