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
/// window, an entry that joins before the others know of it, and entries that restart.
const USED_GRANT_SHARE: f64 = 0.6;

/// Share of its part of the fixed number that an entry uses in its first window. Its predecessor may
/// have used [`USED_GRANT_SHARE`] of that part in the same window.
const STARTING_GRANT_SHARE: f64 = 1.0 - USED_GRANT_SHARE;

/// Extra attempts of one entry to one service.
#[derive(Debug)]
pub struct SharedRetryBudget {
    requests: RecentCount,
    retries: RecentCount,
    /// When the entry started, which knows nothing of what its predecessor has used.
    started_at: TimePoint,
}

impl SharedRetryBudget {
    /// Creates a budget of an entry that has started at `started_at`, in which nothing is counted yet.
    pub fn new(grant: &RetryGrant, started_at: TimePoint) -> Self {
        Self {
            requests: RecentCount::new(grant.window),
            retries: RecentCount::new(grant.window),
            started_at,
        }
    }

    /// Counts a request on a route to the service.
    pub fn count_request(&mut self, now: TimePoint) {
        self.requests.add(1, now);
    }

    /// Uses one extra attempt if the grant allows it, and returns whether it did; `entries` is the
    /// number of entries that share the fixed part.
    pub fn spend(&mut self, grant: &RetryGrant, entries: u32, now: TimePoint) -> bool {
        let proportional = self.requests.get(now) as f64 * grant.share * USED_GRANT_SHARE;
        let is_starting = now.since(self.started_at) < grant.window;
        let fixed_share = if is_starting {
            STARTING_GRANT_SHARE
        } else {
            USED_GRANT_SHARE
        };
        let fixed = grant.fixed / f64::from(entries.max(1)) * fixed_share;
        let allowed = proportional + fixed;
        if (self.retries.get(now) + 1) as f64 > allowed {
            return false;
        }
        self.retries.add(1, now);
        true
    }
}
