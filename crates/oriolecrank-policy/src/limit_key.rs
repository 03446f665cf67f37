//! Limits of organisations, and the shares of them that entries hold.

use oriolecrank_schema::control;
use oriolecrank_schema::document::{LimitConfig, OrganisationId, ServiceId};
use snafu::{Snafu, ensure};

use crate::{BlockCount, TokenCount};

/// Divisor that gives the reserve of a limit: a quarter is never handed out as shares but divided
/// evenly among the entries, so that an entry without a connection to the control leader can still
/// admit requests.
pub const RESERVE_DIVISOR: u64 = 4;

/// Organisation, and optionally service, that a limit applies to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LimitKey {
    /// Organisation whose requests are limited.
    pub organisation: OrganisationId,
    /// Limited service; `None` for all services together.
    pub service: Option<ServiceId>,
}

/// Number of entries among which a reserve is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryCount(u32);

impl EntryCount {
    /// Creates a count; zero becomes one.
    pub fn new(count: u32) -> Self {
        Self(count.max(1))
    }

    /// The count in a message, where zero means that the last count still applies.
    pub fn from_message(count: u32) -> Option<Self> {
        (count > 0).then_some(Self(count))
    }

    /// The count as a number, at least one.
    pub const fn get(self) -> u32 {
        self.0
    }
}

/// Limit of an organisation, summed over all entries; `None` means unlimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OrganisationLimit {
    /// Requests per second.
    pub requests_per_s: Option<u64>,
    /// Prompt plus output tokens per second.
    pub tokens_per_s: Option<u64>,
    /// Requests running at the same time.
    pub concurrent: Option<u64>,
}

impl From<&LimitConfig> for OrganisationLimit {
    fn from(config: &LimitConfig) -> Self {
        Self {
            requests_per_s: config.requests_per_s,
            tokens_per_s: config.tokens_per_s,
            concurrent: config.concurrent,
        }
    }
}

impl LimitKey {
    /// Key of a limit that is configured for `organisation`.
    pub fn from_config(organisation: &OrganisationId, config: &LimitConfig) -> Self {
        Self {
            organisation: organisation.clone(),
            service: config.service.clone(),
        }
    }
}

impl OrganisationLimit {
    /// A share that is unlimited in each dimension without a limit, and zero in the others.
    pub fn unlimited_dimensions(&self) -> LimitShare {
        let rate = |limit: Option<u64>| limit.map_or(f64::INFINITY, |_| 0.0);
        LimitShare {
            requests_per_s: rate(self.requests_per_s),
            tokens_per_s: rate(self.tokens_per_s),
            concurrent: self.concurrent.map_or(u64::MAX, |_| 0),
        }
    }

    /// The part of the reserve that each of `entries` entries may use.
    pub fn reserve_share(&self, entries: EntryCount) -> LimitShare {
        let divisor = RESERVE_DIVISOR * u64::from(entries.get());
        let rate =
            |limit: Option<u64>| limit.map_or(f64::INFINITY, |limit| limit as f64 / divisor as f64);
        LimitShare {
            requests_per_s: rate(self.requests_per_s),
            tokens_per_s: rate(self.tokens_per_s),
            // Rounded down, as concurrent requests are whole; the shares get what is left over.
            concurrent: self.concurrent.map_or(u64::MAX, |limit| limit / divisor),
        }
    }
}

/// Part of a limit that one entry may use; infinity and `u64::MAX` mean unlimited.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LimitShare {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Tokens per second.
    pub tokens_per_s: f64,
    /// Requests running at the same time.
    pub concurrent: u64,
}

impl LimitShare {
    /// Sum of both shares.
    #[must_use]
    pub fn combined_with(self, other: Self) -> Self {
        Self {
            requests_per_s: self.requests_per_s + other.requests_per_s,
            tokens_per_s: self.tokens_per_s + other.tokens_per_s,
            concurrent: self.concurrent.saturating_add(other.concurrent),
        }
    }

    /// The wire form of the share of limit `key`, where infinity means unlimited.
    pub fn to_message(self, key: &LimitKey) -> control::LimitShare {
        let concurrent = match self.concurrent {
            u64::MAX => f64::INFINITY,
            concurrent => concurrent as f64,
        };
        control::LimitShare {
            organisation: key.organisation.clone(),
            service: key.service.clone(),
            requests_per_s: self.requests_per_s,
            tokens_per_s: self.tokens_per_s,
            concurrent,
        }
    }
}

/// A received share has a value that is negative or not a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("limit shares must not be negative or NaN, but one of the received values is"))]
pub struct InvalidShare;

impl TryFrom<&control::LimitShare> for LimitShare {
    type Error = InvalidShare;

    fn try_from(message: &control::LimitShare) -> Result<Self, Self::Error> {
        let values = [
            message.requests_per_s,
            message.tokens_per_s,
            message.concurrent,
        ];
        ensure!(values.iter().all(|value| *value >= 0.0), InvalidShareSnafu);
        Ok(Self {
            requests_per_s: message.requests_per_s,
            tokens_per_s: message.tokens_per_s,
            // The conversion saturates, so infinity becomes the unlimited `u64::MAX`.
            concurrent: message.concurrent as u64,
        })
    }
}

impl From<&control::LimitShare> for LimitKey {
    fn from(message: &control::LimitShare) -> Self {
        Self {
            organisation: message.organisation.clone(),
            service: message.service.clone(),
        }
    }
}

/// Tokens that a request may use, or has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RequestSize {
    /// Prompt tokens.
    pub prompt: TokenCount,
    /// Output tokens: the largest allowed number, or the number used.
    pub output: TokenCount,
}

impl RequestSize {
    /// Blocks of engine memory that all tokens together occupy.
    pub fn blocks(self) -> BlockCount {
        (self.prompt + self.output).blocks()
    }
}
