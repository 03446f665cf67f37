//! Retry budget that all entries share without coordination.
//!
//! An extra attempt is any attempt of a request beyond its first. For each window, a service grants
//! all entries together a share of its requests plus a fixed number of extra attempts. An entry
//! knows its own requests and roughly how many entries there are, so it uses the share of its own
//! requests and an equal part of the fixed number. The sum over all entries then stays within the
//! grant without a message on the request path.

use std::time::Duration;

use oriolecrank_policy::recent_count::RecentCount;
use oriolecrank_schema::TimePoint;

/// Extra attempts that a service grants to all entries together.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryGrant {
    /// Extra attempts per request.
    pub share: f64,
    /// Extra attempts per window in addition to the share.
    pub fixed: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Share of the grant that is used. The rest covers requests that move between entries within a
/// window, and an entry that joins before the others know of it.
const USED_GRANT_SHARE: f64 = 0.6;

/// Extra attempts of one entry to one service.
#[derive(Debug)]
pub struct SharedRetryBudget {
    requests: RecentCount,
    retries: RecentCount,
}

impl SharedRetryBudget {
    /// Creates a budget in which nothing is counted yet.
    pub fn new(grant: &RetryGrant) -> Self {
        Self {
            requests: RecentCount::new(grant.window),
            retries: RecentCount::new(grant.window),
        }
    }

    /// Counts a request on a route to the service.
    pub fn count_request(&mut self, now: TimePoint) {
        self.requests.add(1, now);
    }

    /// Uses one extra attempt if the grant allows it, and returns whether it did; `entries` is the
    /// number of entries that share the fixed part.
    pub fn spend(&mut self, grant: &RetryGrant, entries: u32, now: TimePoint) -> bool {
        let proportional = self.requests.get(now) as f64 * grant.share;
        let fixed = grant.fixed / f64::from(entries.max(1));
        let allowed = (proportional + fixed) * USED_GRANT_SHARE;
        if (self.retries.get(now) + 1) as f64 > allowed {
            return false;
        }
        self.retries.add(1, now);
        true
    }
}
