//! Grants that may still be in use.

use std::collections::VecDeque;

use oriolecrank_schema::TimePoint;

/// Grants of one amount to one entry, each valid until some time.
///
/// It is not known which of its grants an entry has received, so the largest one that may be valid
/// counts.
#[derive(Debug, Clone, Default)]
pub(crate) struct GrantHistory {
    /// Ascending in time and strictly descending in value: a later and larger grant covers earlier
    /// ones.
    grants: VecDeque<(TimePoint, f64)>,
}

impl GrantHistory {
    pub(crate) fn add(&mut self, value: f64, until: TimePoint) {
        while self.grants.back().is_some_and(|(_, other)| *other <= value) {
            self.grants.pop_back();
        }
        self.grants.push_back((until, value));
    }

    /// Forgets grants that ended at or before `now` and returns the largest of them.
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

    /// Largest grant that was not forgotten.
    pub(crate) fn largest(&self) -> f64 {
        self.grants.front().map_or(0.0, |(_, value)| *value)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}
