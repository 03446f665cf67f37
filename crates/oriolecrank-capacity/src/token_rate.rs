//! Token throughput.

use std::iter::Sum;
use std::ops::{Add, Mul, Sub};

/// Tokens per second; always finite and never negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default)]
pub struct TokenRate(f64);

impl TokenRate {
    /// Zero tokens per second.
    pub const ZERO: Self = Self(0.0);

    /// Creates a rate of `tokens` per second; negative and non-finite values become zero.
    pub fn per_second(tokens: f64) -> Self {
        if tokens.is_finite() {
            Self(tokens.max(0.0))
        } else {
            Self::ZERO
        }
    }

    /// Returns the number of tokens per second.
    pub const fn as_f64(self) -> f64 {
        self.0
    }

    /// Returns this rate divided by `other`: zero if this rate is zero, infinite if only `other` is
    /// zero.
    pub fn ratio_to(self, other: Self) -> f64 {
        if self.0 <= 0.0 {
            return 0.0;
        }
        self.0 / other.0
    }
}

impl Add for TokenRate {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl Sub for TokenRate {
    type Output = Self;

    /// Saturates at zero if `other` is larger.
    fn sub(self, other: Self) -> Self {
        Self((self.0 - other.0).max(0.0))
    }
}

impl Mul<f64> for TokenRate {
    type Output = Self;

    fn mul(self, factor: f64) -> Self {
        Self::per_second(self.0 * factor)
    }
}

impl Sum for TokenRate {
    fn sum<I: Iterator<Item = Self>>(rates: I) -> Self {
        rates.fold(Self::ZERO, Add::add)
    }
}
