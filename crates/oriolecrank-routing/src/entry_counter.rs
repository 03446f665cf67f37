//! Number of entries of a site, as control instances tell it.

use std::time::Duration;

use oriolecrank_policy::recent_maximum::RecentMaximum;
use oriolecrank_schema::TimePoint;

/// Shortest time for which the largest number counts. It exceeds the time for which entries are cut
/// off from each other in the deployments, during which each side still has all of its retries.
const LARGEST_COUNT_LIFETIME: Duration = Duration::from_mins(1);

/// Number of entries that share what a service grants to all of them.
///
/// A control instance counts the entries that sync with it. One that has just started, or is cut off
/// from some of them, tells too small a number.
#[derive(Debug, Clone, Copy)]
pub struct EntryCounter {
    /// Number that was told last; 0 before the first one.
    latest: u32,
    largest: RecentMaximum<u32>,
}

impl EntryCounter {
    /// A counter that was told nothing.
    pub fn new(now: TimePoint) -> Self {
        Self {
            latest: 0,
            largest: RecentMaximum::new(LARGEST_COUNT_LIFETIME, now),
        }
    }

    /// Records the number that a control instance tells.
    pub fn record(&mut self, count: u32, now: TimePoint) {
        self.latest = count;
        self.largest.record(count, now);
    }

    /// Number that was told last; 0 before the first one.
    pub const fn latest(&self) -> u32 {
        self.latest
    }

    /// Largest number that was told within a minute or more; at least 1.
    pub fn largest(&mut self, now: TimePoint) -> u32 {
        self.largest.get(now).max(1)
    }
}
