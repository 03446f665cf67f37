//! Quota of an organisation, and the token bucket that keeps it.

use std::time::Duration;

/// Fraction of what the bounds allow beyond the quota that is granted. The rest covers requests that
/// arrive at a second upstream after a failed attempt.
const USED_OVERRUN: f64 = 0.8;

/// Time of the rate that the bucket holds at least. Without a burst, the entries could otherwise not
/// hold the tokens of the next requests.
const MIN_CAPACITY_TIME: Duration = Duration::from_secs(1);

/// Upper bound of rates and bursts; sums of all of them stay exact in a floating-point number.
const MAX_TOKENS: f64 = 1e12;

/// Fraction of the rate that entries may have as rates of their own.
const RATE_FRACTION: f64 = 0.65;

/// Fraction of the capacity that all entries together may hold.
const HELD_FRACTION: f64 = 0.75;

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QuotaUnit {
    /// Each request counts as one token.
    #[default]
    Requests,
    /// A request counts its prompt and output tokens.
    Tokens {
        /// Tokens of a request that states none.
        plain: u64,
    },
}

impl QuotaUnit {
    /// Tokens that a request counts; `stated` are the prompt and output tokens that it states.
    pub const fn cost(self, stated: Option<(u64, u64)>) -> u64 {
        match (self, stated) {
            (Self::Requests, _) => 1,
            (Self::Tokens { .. }, Some((input, output))) => input.saturating_add(output),
            (Self::Tokens { plain }, None) => plain,
        }
    }
}

/// Tokens per second, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct TokenRate(u64);

impl TokenRate {
    /// Creates a rate; values that are not positive become 0 and those out of range are clamped.
    pub fn from_per_second(value: f64) -> Self {
        let value = if value.is_finite() { value } else { 0.0 };
        Self((value.clamp(0.0, MAX_TOKENS) * 1_000.0) as u64)
    }

    /// Tokens per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

/// Quota of an organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaSpec {
    /// Tokens per second; above 0.
    pub rate: TokenRate,
    /// Tokens beyond the rate that may be used at once.
    pub burst: u64,
    /// What the tokens count.
    pub unit: QuotaUnit,
}

impl QuotaSpec {
    /// Quota with the rate and burst of a document; `None` without a rate, which means no limit.
    pub fn limited(rate_per_s: f64, burst: f64, unit: QuotaUnit) -> Option<Self> {
        let rate = TokenRate::from_per_second(rate_per_s);
        (rate > TokenRate::default()).then(|| Self {
            rate,
            burst: burst.clamp(0.0, MAX_TOKENS) as u64,
            unit,
        })
    }

    /// Whether tokens that were granted under `self` may be used under `newer`.
    pub fn covers(&self, newer: &Self) -> bool {
        let kept = self.rate <= newer.rate && self.burst <= newer.burst;
        kept && self.unit == newer.unit
    }
}

/// What a deployment allows beyond the quotas, over any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window.
    pub window: Duration,
    /// Fraction of the quota of a window that may be used beyond it.
    pub overrun: f64,
    /// Tokens that may be used beyond that in a window.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            overrun: 0.0,
            slack: 0.0,
        }
    }
}

/// Token bucket of an organisation: `rate` x window + `most` stays within the bounds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaCapacity {
    /// Tokens per second.
    pub rate: f64,
    /// Most tokens that can be used at once: those of the leader and of all entries.
    pub most: f64,
}

impl QuotaCapacity {
    /// Bucket for a quota.
    pub fn new(spec: &QuotaSpec, bounds: &QuotaBounds) -> Self {
        let window = bounds.window.as_secs_f64().max(1.0);
        let rate = spec.rate.per_second();
        let burst = spec.burst as f64;
        let quota = rate * window + burst;
        let total =
            quota + USED_OVERRUN * (quota * bounds.overrun.max(0.0) + bounds.slack.max(0.0));
        let most = (total - rate * window).max(rate * MIN_CAPACITY_TIME.as_secs_f64());
        // At least one request of a quota that counts few fits.
        let most = most.max(1.0).min(total);
        Self {
            rate: ((total - most) / window).min(rate),
            most,
        }
    }

    /// Most that the rates of all entries add up to.
    pub fn most_rate(&self) -> f64 {
        self.rate * RATE_FRACTION
    }

    /// Most tokens that all entries together hold.
    pub fn most_held(&self) -> f64 {
        self.most * HELD_FRACTION
    }
}
