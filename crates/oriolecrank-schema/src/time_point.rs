//! Points in time.

use std::ops::Add;
use std::time::Duration;

/// A point in time, in milliseconds since the origin of its clock.
///
/// Processes use the boot-time clock, which also counts while the machine is suspended. The
/// replicated state machine uses log time, in milliseconds since the epoch. Points of different
/// clocks must not be compared.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct TimePoint(u64);

impl TimePoint {
    /// Creates a point `millis` milliseconds after the clock's origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the clock's origin.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Time since `earlier`, zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for TimePoint {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_millis() as u64))
    }
}
