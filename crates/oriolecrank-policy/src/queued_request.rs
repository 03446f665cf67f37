//! Inputs and results of the agent's request queue.

use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::UpstreamLoad;
use oriolecrank_schema::data_path::{RunRequest, RunVerdict};
use oriolecrank_schema::document::OrganisationId;
use snafu::Snafu;

use crate::{AttemptId, BlockCount, TokenCount, WorkClass};

/// The properties of a request that the queue depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identity of the attempt, unique in the queue.
    pub id: AttemptId,
    /// Organisation that the request is charged to, or the name reserved for open routes.
    pub organisation: OrganisationId,
    /// Priority class.
    pub class: WorkClass,
    /// Time at which the answer must be complete.
    pub deadline: TimePoint,
    /// Prompt tokens plus the largest number of output tokens; zero for a plain service.
    pub tokens: TokenCount,
}

impl QueuedRequest {
    /// Creates the request from a message that arrived at `now`.
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

/// Why a request was not queued. The refused message itself has not run the request.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum QueueRefusal {
    /// The upstream is being removed or changes its role.
    #[snafu(display(
        "the upstream accepts no new requests: it is being removed or changes its role"
    ))]
    Draining,
    /// The queue is full and the request may not displace another.
    #[snafu(display("the request queue of the upstream is full"))]
    Full {
        /// Suggested delay before a retry.
        retry_after: Duration,
    },
    /// The request needs more memory than the upstream has for requests of its lane.
    #[snafu(display(
        "the request needs {} blocks of engine memory, but at most {} are allowed",
        blocks.get(),
        limit.get()
    ))]
    TooLarge {
        /// Blocks needed.
        blocks: BlockCount,
        /// Largest number of blocks that a request of its lane may need.
        limit: BlockCount,
    },
    /// The deadline passed before the request was queued.
    #[snafu(display("the deadline passed before the request was queued"))]
    Expired,
    /// The attempt is already waiting or running.
    #[snafu(display("the attempt is already waiting or running"))]
    Duplicate,
}

impl QueueRefusal {
    /// Whether the attempt may have run.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            // The earlier message for the same attempt may be running.
            Self::Duplicate => RunVerdict::MayHaveRun,
            _ => RunVerdict::NotRun,
        }
    }

    /// Stable error code for callers.
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

/// Result of an offer whose request was queued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OfferedRequest {
    /// Request that was removed from the full queue. It has not run; its caller must be informed.
    pub displaced: Option<QueuedRequest>,
}

/// A request that may now be sent to the upstream; its memory is reserved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedRequest {
    /// Request to send.
    pub request: QueuedRequest,
    /// Time from the offer to the start.
    pub waited: Duration,
}

/// Result of a cancellation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CancelledRequest {
    /// The request was waiting and is removed. It has not run.
    Waiting(QueuedRequest),
    /// The request is running; its memory stays reserved until
    /// [`RequestQueue::finish`](crate::request_queue::RequestQueue::finish).
    Running,
    /// The attempt is neither waiting nor running.
    Unknown,
}

/// Number and size of the waiting and running requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QueueLoad {
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of running requests.
    pub running: usize,
    /// Prompt tokens plus largest numbers of output tokens of the running requests.
    pub tokens_in_flight: TokenCount,
    /// Blocks of engine memory reserved for the running requests.
    pub blocks_in_flight: BlockCount,
}

impl QueueLoad {
    /// The wire form. `prefill` and `decode` are the prompt and output tokens that the agent has
    /// counted since its start.
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
