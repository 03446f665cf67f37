//! Grants that an entry may still be using.

use std::collections::VecDeque;

use oriolecrank_schema::TimePoint;

/// Grants of one resource to one entry, until [`Self::expire`] removes them.
///
/// Messages can be lost or late, so it is not known which grant an entry uses; the largest one that
/// may be valid counts.
#[derive(Debug, Clone, Default)]
pub(crate) struct GrantHistory {
    /// Expiry and value, ascending in time and strictly descending in value: a later grant replaces
    /// earlier ones that are not larger.
    grants: VecDeque<(TimePoint, f64)>,
}

impl GrantHistory {
    pub(crate) fn add(&mut self, value: f64, until: TimePoint) {
        while self.grants.back().is_some_and(|(_, other)| *other <= value) {
            self.grants.pop_back();
        }
        self.grants.push_back((until, value));
    }

    /// Removes grants that expired at or before `now` and returns the largest of them, 0 if none.
    pub(crate) fn expire(&mut self, now: TimePoint) -> f64 {
        let mut largest = 0.0;
        while let Some((until, value)) = self.grants.front()
            && *until <= now
        {
            largest = f64::max(largest, *value);
            self.grants.pop_front();
        }
        largest
    }

    /// Largest grant that has not been removed, 0 if none.
    pub(crate) fn largest(&self) -> f64 {
        self.grants.front().map_or(0.0, |(_, value)| *value)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}
