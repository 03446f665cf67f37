//! Rates of requests and the limits that upstreams state.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Requests per second, with a resolution of a thousandth.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash, Serialize, Deserialize)]
pub struct RequestRate {
    /// Thousandths of a request per second.
    milli: u64,
}

impl RequestRate {
    /// `None` if the number is negative, infinite or not a number. Numbers beyond the range are
    /// taken as the largest one.
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then(|| Self {
            milli: (per_second * 1_000.0).round() as u64,
        })
    }

    /// Rate of `count` requests in a window.
    pub(crate) fn from_count(count: u64, window: Duration) -> Self {
        Self {
            milli: count * 1_000_000 / (window.as_millis() as u64).max(1),
        }
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.milli as f64 / 1_000.0
    }

    /// Sum of two rates.
    #[must_use]
    pub(crate) const fn saturating_add(self, other: Self) -> Self {
        Self {
            milli: self.milli.saturating_add(other.milli),
        }
    }
}

/// As in `12.7/s`, for log lines.
impl fmt::Debug for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.per_second())
    }
}

/// What an answer says about the limit of the upstream that sent it. The limit holds for all entries
/// together until an answer states another one or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitStatement {
    /// Nothing, because another upstream sent the answer or the limit cannot be decoded.
    Unknown,
    /// The upstream takes as many requests as it can.
    Unlimited,
    /// The upstream takes no more than this.
    Limited(RequestRate),
}
