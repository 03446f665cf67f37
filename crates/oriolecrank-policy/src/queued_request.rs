//! Requests as the agent's queue takes, refuses and starts them.

use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::UpstreamLoad;
use oriolecrank_schema::data_path::{RunRequest, RunVerdict};
use oriolecrank_schema::document::OrganisationId;
use snafu::Snafu;

use crate::{AttemptId, BlockCount, TokenCount, WorkClass};

/// A request as the queue sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Attempt.
    pub id: AttemptId,
    /// Organisation, or the name reserved for open routes.
    pub organisation: OrganisationId,
    /// Priority class.
    pub class: WorkClass,
    /// Time at which the answer must be complete.
    pub deadline: TimePoint,
    /// Prompt tokens plus the largest number of output tokens; zero for a plain service.
    pub tokens: TokenCount,
}

impl QueuedRequest {
    /// The request in a message that arrived at `now`.
    pub fn from_message(message: &RunRequest, now: TimePoint) -> Self {
        let prompt = TokenCount::new(message.prompt_tokens);
        Self {
            id: message.into(),
            organisation: message.organisation.clone().into(),
            class: message.class.into(),
            deadline: now + Duration::from_millis(message.deadline_ms),
            tokens: prompt + TokenCount::new(message.max_output_tokens),
        }
    }
}

/// A request that was not queued. It has not run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum QueueRefusal {
    /// The upstream leaves or changes.
    #[snafu(display("the upstream takes no new work"))]
    Draining,
    /// Too many requests wait.
    #[snafu(display("too many requests wait"))]
    Full {
        /// Suggested delay before a retry.
        retry_after: Duration,
    },
    /// The request needs more memory than the upstream gives to one request.
    #[snafu(display("the request needs {} blocks of at most {}", blocks.get(), limit.get()))]
    TooLarge {
        /// Blocks needed.
        blocks: BlockCount,
        /// Largest number of blocks for such a request.
        limit: BlockCount,
    },
    /// The deadline has passed.
    #[snafu(display("the deadline has passed"))]
    Expired,
    /// The attempt is already waiting or running.
    #[snafu(display("the attempt is already known"))]
    Duplicate,
}

impl QueueRefusal {
    /// Whether the refused offer may have run.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            // The earlier message with the same identity may run.
            Self::Duplicate => RunVerdict::MayHaveRun,
            _ => RunVerdict::NotRun,
        }
    }

    /// Stable error code.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Full { .. } => "queue_full",
            Self::TooLarge { .. } => "too_large",
            Self::Expired => "deadline_passed",
            Self::Duplicate => "duplicate_attempt",
        }
    }
}

/// A request that was queued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OfferedRequest {
    /// A less urgent request that lost its place. It has not run and must be told so.
    pub displaced: Option<QueuedRequest>,
}

/// A request that may now be sent to the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedRequest {
    /// The request.
    pub request: QueuedRequest,
    /// How long it waited.
    pub waited: Duration,
}

/// What a cancellation found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CancelledRequest {
    /// The request was waiting and is removed. It has not run.
    Waiting(QueuedRequest),
    /// The request runs; its memory stays reserved until [`RequestQueue::finish`].
    Running,
    /// The queue does not know the attempt.
    Unknown,
}

/// Load of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QueueLoad {
    /// Requests waiting.
    pub waiting: usize,
    /// Requests running.
    pub running: usize,
    /// Tokens of the running requests.
    pub tokens_in_flight: TokenCount,
    /// Blocks of the running requests.
    pub blocks_in_flight: BlockCount,
}

impl QueueLoad {
    /// The wire form, with the token counters that the agent keeps.
    pub fn to_message(self, prefill: TokenCount, decode: TokenCount) -> UpstreamLoad {
        UpstreamLoad {
            queued: u32::try_from(self.waiting).unwrap_or(u32::MAX),
            running: u32::try_from(self.running).unwrap_or(u32::MAX),
            tokens_in_flight: self.tokens_in_flight.get(),
            prefill_tokens: prefill.get(),
            decode_tokens: decode.get(),
        }
    }
}
