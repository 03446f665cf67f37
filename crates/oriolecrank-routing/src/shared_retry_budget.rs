//! Attempts beyond the first of each request, over all entries.
//!
//! A service grants all entries together a share of its requests and a fixed number besides, in each
//! window. An entry knows its own requests and about how many entries there are, so it takes the
//! share of its own requests and its part of the fixed number. The sum over all entries then stays
//! within the grant without a message on the request path.

use std::time::Duration;

use oriolecrank_policy::recent_count::RecentCount;
use oriolecrank_schema::TimePoint;

/// What a service grants to all entries together.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryGrant {
    /// Extra attempts for each request.
    pub share: f64,
    /// Extra attempts in each window besides.
    pub fixed: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Part of the grant that is used. The rest covers requests that move between entries within a
/// window, and an entry that joins before the others know of it.
const USED_PART: f64 = 0.6;

/// Extra attempts of one entry to one service.
#[derive(Debug)]
pub struct SharedRetryBudget {
    requests: RecentCount,
    extra: RecentCount,
}

impl SharedRetryBudget {
    /// A budget without history.
    pub fn new(grant: &RetryGrant) -> Self {
        Self {
            requests: RecentCount::new(grant.window),
            extra: RecentCount::new(grant.window),
        }
    }

    /// Counts a request on a route to the service.
    pub fn count_request(&mut self, now: TimePoint) {
        self.requests.add(1, now);
    }

    /// Takes one extra attempt if the grant has room; `entries` is the number of entries that share
    /// the fixed part.
    pub fn spend(&mut self, grant: &RetryGrant, entries: u32, now: TimePoint) -> bool {
        let own = self.requests.get(now) as f64 * grant.share;
        let fixed = grant.fixed / f64::from(entries.max(1));
        let allowed = (own + fixed) * USED_PART;
        if (self.extra.get(now) + 1) as f64 > allowed {
            return false;
        }
        self.extra.add(1, now);
        true
    }
}
