//! Checks of one answer stream on the entry's side.
//!
//! The entry passes only those bytes on that belong to its request and attempt and continue where
//! the previous ones ended. Everything else is a fault: after some faults the entry resumes on a new
//! connection, after the others the attempt has failed with [`AnswerAssembly::verdict`].

use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::{HeaderField, RunEvent, RunFrame, RunVerdict, TokenUsage};
use snafu::{Snafu, ensure};

/// Bounds on an answer stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AssemblySettings {
    /// A stream without a frame for this long is dropped. Agents send a heartbeat each 250 ms.
    pub silence_timeout: Duration,
    /// Resumptions in a row that bring neither a new byte nor a heartbeat before the attempt is
    /// given up.
    pub fruitless_resumes: u32,
}

impl Default for AssemblySettings {
    fn default() -> Self {
        Self {
            silence_timeout: Duration::from_secs(1),
            fruitless_resumes: 3,
        }
    }
}

/// A frame that does not belong to the answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum AssemblyFault {
    /// The frame belongs to another request or attempt.
    #[snafu(display("a frame of another request or attempt arrived"))]
    WrongRequest,
    /// Bytes are missing.
    #[snafu(display("bytes {expected} to {received} are missing"))]
    Gap {
        /// First missing offset.
        expected: u64,
        /// Offset that arrived instead.
        received: u64,
    },
    /// The end marker states fewer bytes than have arrived.
    #[snafu(display("the end marker states {stated} bytes, but {received} arrived"))]
    TooLong {
        /// Length in the end marker.
        stated: u64,
        /// Bytes that arrived.
        received: u64,
    },
    /// Status and header fields differ from those that arrived before.
    #[snafu(display("status or header fields changed"))]
    HeadChanged,
    /// A frame arrived in an order that the protocol does not have.
    #[snafu(display("a frame arrived out of order"))]
    OutOfOrder,
    /// Nothing arrived within the silence bound.
    #[snafu(display("nothing arrived within the silence bound"))]
    Silent,
    /// The connection broke or ended before the end marker.
    #[snafu(display("the connection ended before the end of the answer"))]
    Disconnected,
}

impl AssemblyFault {
    /// Whether the rest of the answer may arrive correctly on a new connection.
    pub fn may_resume(&self) -> bool {
        match self {
            Self::WrongRequest | Self::Gap { .. } | Self::Silent | Self::Disconnected => true,
            Self::TooLong { .. } | Self::HeadChanged | Self::OutOfOrder => false,
        }
    }
}

/// A failure that the agent reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Whether the attempt may have run.
    pub verdict: RunVerdict,
    /// Stable error code.
    pub code: String,
    /// One sentence for the caller.
    pub message: String,
    /// Suggested delay before a retry.
    pub retry_after: Option<Duration>,
    /// Output tokens delivered before the failure.
    pub output_tokens: u64,
}

/// Status and header fields of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<HeaderField>,
}

/// What a frame adds to the answer.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerStep<'a> {
    /// Nothing new.
    Nothing,
    /// The agent has taken the request.
    Accepted,
    /// Status and header fields arrived.
    Head(&'a AnswerHead),
    /// The next bytes of the body.
    Bytes(&'a [u8]),
    /// The answer is complete.
    Complete(TokenUsage),
    /// The attempt has failed.
    Failed(AttemptFailure),
}

/// Where a new connection continues the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResumePoint {
    /// Attempt to continue.
    pub attempt: u32,
    /// First byte that has not arrived.
    pub offset: u64,
}

/// Progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AssemblyPhase {
    /// No byte of the request has been handed to a connection.
    Unsent,
    /// The agent may have the request.
    Sent,
    /// The agent has taken the request.
    Accepted,
    /// The end marker has arrived and is correct.
    Complete,
    /// The agent reported a failure with this verdict.
    Failed(RunVerdict),
}

/// State of one attempt's answer.
#[derive(Debug, Clone)]
pub struct AnswerAssembly {
    settings: AssemblySettings,
    request_id: String,
    attempt: u32,
    phase: AssemblyPhase,
    head: Option<AnswerHead>,
    /// Bytes passed on; grows only by contiguous bytes.
    offset: u64,
    /// Time of the last correct frame, or of the start of the current connection.
    last_heard: TimePoint,
    /// Resumptions since the last new byte or heartbeat.
    fruitless_resumes: u32,
}

impl AnswerAssembly {
    /// State before the request is sent.
    pub fn new(settings: AssemblySettings, request_id: &str, attempt: u32, now: TimePoint) -> Self {
        Self {
            settings,
            request_id: request_id.to_owned(),
            attempt,
            phase: AssemblyPhase::Unsent,
            head: None,
            offset: 0,
            last_heard: now,
            fruitless_resumes: 0,
        }
    }

    /// Notes that the first byte of the request is about to be handed to a connection.
    pub fn mark_sent(&mut self, now: TimePoint) {
        if self.phase == AssemblyPhase::Unsent {
            self.phase = AssemblyPhase::Sent;
        }
        self.last_heard = now;
    }

    /// Takes one frame and its payload.
    pub fn receive<'a>(
        &'a mut self,
        frame: &RunFrame,
        payload: &'a [u8],
        now: TimePoint,
    ) -> Result<AnswerStep<'a>, AssemblyFault> {
        let own = *frame.request_id == self.request_id && frame.attempt == self.attempt;
        ensure!(own, WrongRequestSnafu);
        ensure!(!self.is_finished(), OutOfOrderSnafu);
        ensure!(self.phase != AssemblyPhase::Unsent, OutOfOrderSnafu);
        let is_chunk = matches!(frame.event, RunEvent::Chunk { .. });
        ensure!(is_chunk || payload.is_empty(), OutOfOrderSnafu);
        let step = match &frame.event {
            RunEvent::Heartbeat => {
                // Heartbeats are paced by the agent, so they cannot make resumptions loop quickly.
                self.fruitless_resumes = 0;
                AnswerStep::Nothing
            }
            RunEvent::Accepted { .. } => self.accept(),
            RunEvent::Head { status, headers } => {
                let (status, headers) = (*status, headers.clone());
                // The borrow of the stored head would otherwise last over the statements below.
                self.last_heard = now;
                return self.take_head(AnswerHead { status, headers });
            }
            RunEvent::Chunk { offset } => self.take_chunk(*offset, payload)?,
            RunEvent::End { length, usage, .. } => self.take_end(*length, usage)?,
            RunEvent::Failed { .. } => self.take_failure(&frame.event),
        };
        self.last_heard = now;
        Ok(step)
    }

    /// Returns [`AssemblyFault::Silent`] once the silence bound has passed.
    pub fn check_silence(&self, now: TimePoint) -> Result<(), AssemblyFault> {
        ensure!(self.is_finished() || now < self.silent_at(), SilentSnafu);
        Ok(())
    }

    /// Time at which the stream counts as silent unless a frame arrives.
    pub fn silent_at(&self) -> TimePoint {
        self.last_heard + self.settings.silence_timeout
    }

    /// Begins to continue the answer on a new connection.
    ///
    /// Returns `None` if the attempt must be given up: it has ended, or several connections in a row
    /// brought nothing new.
    pub fn resume(&mut self, now: TimePoint) -> Option<ResumePoint> {
        let running = matches!(self.phase, AssemblyPhase::Sent | AssemblyPhase::Accepted);
        if !running || self.fruitless_resumes >= self.settings.fruitless_resumes {
            return None;
        }
        self.fruitless_resumes += 1;
        self.last_heard = now;
        Some(ResumePoint {
            attempt: self.attempt,
            offset: self.offset,
        })
    }

    /// Whether the attempt may have run, if it is given up now.
    ///
    /// "Not run" is said only before the first byte is sent, or when the agent said so and no byte
    /// of an answer contradicts it.
    pub fn verdict(&self) -> RunVerdict {
        match self.phase {
            AssemblyPhase::Unsent => RunVerdict::NotRun,
            AssemblyPhase::Failed(verdict) => verdict,
            AssemblyPhase::Sent | AssemblyPhase::Accepted | AssemblyPhase::Complete => {
                RunVerdict::MayHaveRun
            }
        }
    }

    /// Bytes of the body that have been passed on.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Status and header fields, once they have arrived.
    pub fn head(&self) -> Option<&AnswerHead> {
        self.head.as_ref()
    }

    /// Whether the whole answer has arrived.
    pub fn is_complete(&self) -> bool {
        self.phase == AssemblyPhase::Complete
    }

    /// Whether no further frame may arrive.
    pub fn is_finished(&self) -> bool {
        matches!(
            self.phase,
            AssemblyPhase::Complete | AssemblyPhase::Failed(_)
        )
    }

    fn accept(&mut self) -> AnswerStep<'static> {
        // The agent repeats the frame after a resume.
        if self.phase == AssemblyPhase::Accepted {
            return AnswerStep::Nothing;
        }
        self.phase = AssemblyPhase::Accepted;
        AnswerStep::Accepted
    }

    fn take_head(&mut self, head: AnswerHead) -> Result<AnswerStep<'_>, AssemblyFault> {
        self.phase = AssemblyPhase::Accepted;
        if let Some(known) = &self.head {
            ensure!(*known == head, HeadChangedSnafu);
            return Ok(AnswerStep::Nothing);
        }
        Ok(AnswerStep::Head(self.head.insert(head)))
    }

    fn take_chunk<'a>(
        &mut self,
        offset: u64,
        payload: &'a [u8],
    ) -> Result<AnswerStep<'a>, AssemblyFault> {
        ensure!(self.head.is_some(), OutOfOrderSnafu);
        let expected = self.offset;
        ensure!(
            offset <= expected,
            GapSnafu {
                expected,
                received: offset
            }
        );
        let known = usize::try_from(expected - offset).unwrap_or(usize::MAX);
        let new = payload.get(known..).unwrap_or_default();
        if new.is_empty() {
            return Ok(AnswerStep::Nothing);
        }
        self.offset += new.len() as u64;
        self.fruitless_resumes = 0;
        Ok(AnswerStep::Bytes(new))
    }

    fn take_end(
        &mut self,
        length: u64,
        usage: &TokenUsage,
    ) -> Result<AnswerStep<'static>, AssemblyFault> {
        ensure!(self.head.is_some(), OutOfOrderSnafu);
        let received = self.offset;
        ensure!(
            length <= received,
            GapSnafu {
                expected: received,
                received: length
            }
        );
        ensure!(
            length == received,
            TooLongSnafu {
                stated: length,
                received
            }
        );
        self.phase = AssemblyPhase::Complete;
        Ok(AnswerStep::Complete(usage.clone()))
    }

    fn take_failure(&mut self, event: &RunEvent) -> AnswerStep<'static> {
        let mut failure = AttemptFailure::from_event(event).expect("the event is a failure");
        if self.head.is_some() {
            // An upstream that has begun to answer has run the request, whatever the agent says.
            failure.verdict = RunVerdict::MayHaveRun;
        }
        self.phase = AssemblyPhase::Failed(failure.verdict);
        AnswerStep::Failed(failure)
    }
}

impl AttemptFailure {
    /// The failure that `event` reports; `None` for other events.
    pub fn from_event(event: &RunEvent) -> Option<Self> {
        let RunEvent::Failed {
            verdict,
            code,
            message,
            retry_after_ms,
            output_tokens,
        } = event
        else {
            return None;
        };
        Some(Self {
            verdict: *verdict,
            code: code.clone(),
            message: message.clone(),
            retry_after: retry_after_ms.map(Duration::from_millis),
            output_tokens: *output_tokens,
        })
    }
}
