//! Counts of tokens and of memory blocks, and the identity of an attempt.

use std::iter::Sum;
use std::ops::Add;

use oriolecrank_schema::data_path::{AckRequest, CancelRequest, ResumeRequest, RunRequest};
use oriolecrank_schema::document::RequestId;

/// Tokens in a block of engine memory.
pub const TOKENS_PER_BLOCK: u64 = 1_000;

/// A number of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TokenCount(u64);

/// A number of blocks of engine memory, or of concurrent calls of a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct BlockCount(u64);

impl TokenCount {
    /// `tokens` tokens.
    pub const fn new(tokens: u64) -> Self {
        Self(tokens)
    }

    /// The number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Blocks that hold the tokens, at least one.
    pub const fn blocks(self) -> BlockCount {
        let blocks = self.0.div_ceil(TOKENS_PER_BLOCK);
        BlockCount(if blocks == 0 { 1 } else { blocks })
    }
}

impl BlockCount {
    /// `blocks` blocks.
    pub const fn new(blocks: u64) -> Self {
        Self(blocks)
    }

    /// The number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Difference, zero if `other` is larger.
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
    /// Request.
    pub request_id: RequestId,
    /// Attempt number, from 1.
    pub attempt: u32,
}

/// Declares the conversion from messages that name an attempt.
macro_rules! attempt_of {
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

attempt_of!(RunRequest, ResumeRequest, AckRequest, CancelRequest);
