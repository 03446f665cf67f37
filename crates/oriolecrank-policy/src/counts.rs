//! Types for counts of tokens and memory blocks, and the identity of an attempt.

use std::iter::Sum;
use std::ops::Add;

use oriolecrank_schema::data_path::{AckRequest, CancelRequest, ResumeRequest, RunRequest};
use oriolecrank_schema::document::RequestId;

/// Number of tokens that a block of engine memory holds.
pub const TOKENS_PER_BLOCK: u64 = 1_000;

/// A number of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TokenCount(u64);

/// A number of blocks of engine memory; for a service without tokens, of concurrent calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct BlockCount(u64);

impl TokenCount {
    /// A count of `tokens`.
    pub const fn new(tokens: u64) -> Self {
        Self(tokens)
    }

    /// The count as a plain number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Number of blocks that hold the tokens, rounded up and at least one.
    pub const fn blocks(self) -> BlockCount {
        let blocks = self.0.div_ceil(TOKENS_PER_BLOCK);
        BlockCount(if blocks == 0 { 1 } else { blocks })
    }
}

impl BlockCount {
    /// A count of `blocks`.
    pub const fn new(blocks: u64) -> Self {
        Self(blocks)
    }

    /// The count as a plain number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The difference, zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for TokenCount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Add for BlockCount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sum for TokenCount {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(Self::default(), Add::add)
    }
}

/// Identity of one attempt of one request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Request that the attempt belongs to.
    pub request_id: RequestId,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
}

/// Implements the conversion from messages with a request id and an attempt number.
macro_rules! impl_attempt_id_from {
    ($($message:ty),*) => {
        $(impl From<&$message> for AttemptId {
            fn from(message: &$message) -> Self {
                Self {
                    request_id: message.request_id.clone(),
                    attempt: message.attempt,
                }
            }
        })*
    };
}

impl_attempt_id_from!(RunRequest, ResumeRequest, AckRequest, CancelRequest);
