//! Entry-side validation and reassembly of the answer stream of one attempt.
//!
//! The entry forwards only bytes that belong to its request and attempt and that continue exactly
//! where the previous bytes ended. Anything else is an [`AssemblyFault`]. If the fault
//! [may be resumed](AssemblyFault::may_resume), the entry continues the answer on a new connection;
//! otherwise the attempt has failed with [`AnswerAssembly::verdict`].

use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::{HeaderField, RunEvent, RunFrame, RunVerdict, TokenUsage};
use snafu::{Snafu, ensure};

/// Limits on an answer stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AssemblySettings {
    /// A connection without a frame for this long is dropped. Agents send a heartbeat every 250 ms.
    pub silence_timeout: Duration,
    /// Consecutive resumptions without a new byte or heartbeat after which the attempt is
    /// abandoned.
    pub max_resumes_without_progress: u32,
}

impl Default for AssemblySettings {
    fn default() -> Self {
        Self {
            silence_timeout: Duration::from_secs(1),
            max_resumes_without_progress: 3,
        }
    }
}

/// A violation of the answer protocol, or a lost connection.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum AssemblyFault {
    /// The frame belongs to another request or attempt.
    #[snafu(display("received a frame of another request or attempt"))]
    WrongRequest,
    /// Bytes of the body are missing.
    #[snafu(display("answer bytes {expected} to {received} are missing"))]
    Gap {
        /// Offset of the first missing byte.
        expected: u64,
        /// Offset at which the received chunk starts, or the length that the end marker states.
        received: u64,
    },
    /// The end marker states fewer bytes than were received.
    #[snafu(display("the end marker states {stated} bytes, but {received} were received"))]
    TooLong {
        /// Length of the body according to the end marker, in bytes.
        stated: u64,
        /// Bytes of the body received so far.
        received: u64,
    },
    /// Status or header fields, which are repeated after a resumption, differ from the first ones.
    #[snafu(display("status or header fields of the answer differ from those received first"))]
    HeadChanged,
    /// The protocol does not allow the frame in the current state.
    #[snafu(display("received a frame that the protocol does not allow at this point"))]
    OutOfOrder,
    /// No frame arrived within [`AssemblySettings::silence_timeout`].
    #[snafu(display("received no frame within the silence time-out"))]
    Silent,
    /// The connection failed or was closed before the end marker.
    #[snafu(display("the connection ended before the end of the answer"))]
    Disconnected,
}

impl AssemblyFault {
    /// Whether the attempt can be continued on a new connection.
    pub fn may_resume(&self) -> bool {
        match self {
            Self::WrongRequest | Self::Gap { .. } | Self::Silent | Self::Disconnected => true,
            Self::TooLong { .. } | Self::HeadChanged | Self::OutOfOrder => false,
        }
    }
}

/// A failure of the attempt that the agent reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Whether the attempt may have run.
    pub verdict: RunVerdict,
    /// Stable error code for the caller.
    pub code: String,
    /// One sentence for the caller.
    pub message: String,
    /// Suggested delay before a retry; `None` if the agent suggests none.
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

/// Effect of a received frame on the answer.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerStep<'a> {
    /// No new information, for example a heartbeat or bytes repeated after a resumption.
    Nothing,
    /// The agent has accepted the request.
    Accepted,
    /// Status and header fields arrived.
    Head(&'a AnswerHead),
    /// The next bytes of the body.
    Bytes(&'a [u8]),
    /// The answer is complete; carries the token usage of the attempt.
    Complete(TokenUsage),
    /// The attempt has failed.
    Failed(AttemptFailure),
}

/// Position from which a new connection continues the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResumePoint {
    /// Attempt to continue.
    pub attempt: u32,
    /// Offset of the first byte of the body that has not been received.
    pub offset: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AssemblyPhase {
    /// No byte of the request has been written to a connection.
    Unsent,
    /// The agent may have received the request.
    Sent,
    /// The agent has accepted the request.
    Accepted,
    /// The end marker has been received and matches the received bytes.
    Complete,
    /// The agent reported a failure with this verdict.
    Failed(RunVerdict),
}

/// State of the answer of one attempt.
#[derive(Debug, Clone)]
pub struct AnswerAssembly {
    settings: AssemblySettings,
    request_id: String,
    attempt: u32,
    phase: AssemblyPhase,
    head: Option<AnswerHead>,
    /// Bytes of the body passed on so far; also the offset of the next expected byte.
    offset: u64,
    /// Time of the last valid frame, or of the start of the current connection if that is later.
    last_activity: TimePoint,
    /// Resumptions since the last new byte or heartbeat.
    resumes_without_progress: u32,
}

impl AnswerAssembly {
    /// Creates the state of an attempt whose request has not been sent yet.
    pub fn new(settings: AssemblySettings, request_id: &str, attempt: u32, now: TimePoint) -> Self {
        Self {
            settings,
            request_id: request_id.to_owned(),
            attempt,
            phase: AssemblyPhase::Unsent,
            head: None,
            offset: 0,
            last_activity: now,
            resumes_without_progress: 0,
        }
    }

    /// Records that the request is about to be written to a connection.
    ///
    /// Must be called before the first byte is written: from then on the attempt may have run.
    pub fn mark_sent(&mut self, now: TimePoint) {
        if self.phase == AssemblyPhase::Unsent {
            self.phase = AssemblyPhase::Sent;
        }
        self.last_activity = now;
    }

    /// Validates one frame with its payload and returns its effect.
    ///
    /// Bytes received before are dropped; a chunk that overlaps them yields only its new bytes.
    pub fn receive<'a>(
        &'a mut self,
        frame: &RunFrame,
        payload: &'a [u8],
        now: TimePoint,
    ) -> Result<AnswerStep<'a>, AssemblyFault> {
        let matches_attempt = *frame.request_id == self.request_id && frame.attempt == self.attempt;
        ensure!(matches_attempt, WrongRequestSnafu);
        ensure!(!self.is_finished(), OutOfOrderSnafu);
        ensure!(self.phase != AssemblyPhase::Unsent, OutOfOrderSnafu);
        let is_chunk = matches!(frame.event, RunEvent::Chunk { .. });
        ensure!(is_chunk || payload.is_empty(), OutOfOrderSnafu);
        let step = match &frame.event {
            RunEvent::Heartbeat => {
                // The agent paces its heartbeats, so resetting the count here cannot cause a tight
                // loop of resumptions.
                self.resumes_without_progress = 0;
                AnswerStep::Nothing
            }
            RunEvent::Accepted { .. } => self.accept(),
            RunEvent::Head { status, headers } => {
                let (status, headers) = (*status, headers.clone());
                // Returns here because the result borrows the stored head, which would forbid the
                // assignment after the match.
                self.last_activity = now;
                return self.receive_head(AnswerHead { status, headers });
            }
            RunEvent::Chunk { offset } => self.receive_chunk(*offset, payload)?,
            RunEvent::End { length, usage, .. } => self.receive_end(*length, usage)?,
            RunEvent::Failed { .. } => self.receive_failure(&frame.event),
        };
        self.last_activity = now;
        Ok(step)
    }

    /// Returns [`AssemblyFault::Silent`] if an unfinished stream has passed its silence time-out.
    pub fn check_silence(&self, now: TimePoint) -> Result<(), AssemblyFault> {
        ensure!(
            self.is_finished() || now < self.silence_deadline(),
            SilentSnafu
        );
        Ok(())
    }

    /// Time at which [`Self::check_silence`] starts to fail unless a frame arrives before.
    pub fn silence_deadline(&self) -> TimePoint {
        self.last_activity + self.settings.silence_timeout
    }

    /// Starts a resumption and returns the point from which a new connection continues the answer.
    ///
    /// Returns `None` if the attempt cannot be resumed: it has not been sent, it has ended, or
    /// [`AssemblySettings::max_resumes_without_progress`] is reached.
    pub fn resume(&mut self, now: TimePoint) -> Option<ResumePoint> {
        let running = matches!(self.phase, AssemblyPhase::Sent | AssemblyPhase::Accepted);
        if !running || self.resumes_without_progress >= self.settings.max_resumes_without_progress {
            return None;
        }
        self.resumes_without_progress += 1;
        self.last_activity = now;
        Some(ResumePoint {
            attempt: self.attempt,
            offset: self.offset,
        })
    }

    /// Whether the attempt may have run, if it is abandoned now.
    ///
    /// [`RunVerdict::NotRun`] is returned only before the first byte of the request is sent, or
    /// when the agent reported it and no part of an answer has been received.
    pub fn verdict(&self) -> RunVerdict {
        match self.phase {
            AssemblyPhase::Unsent => RunVerdict::NotRun,
            AssemblyPhase::Failed(verdict) => verdict,
            AssemblyPhase::Sent | AssemblyPhase::Accepted | AssemblyPhase::Complete => {
                RunVerdict::MayHaveRun
            }
        }
    }

    /// Number of bytes of the body passed on so far.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Status and header fields; `None` until they have been received.
    pub fn head(&self) -> Option<&AnswerHead> {
        self.head.as_ref()
    }

    /// Whether the whole answer has been received.
    pub fn is_complete(&self) -> bool {
        self.phase == AssemblyPhase::Complete
    }

    /// Whether the answer is complete or the attempt has failed; no further frame is valid then.
    pub fn is_finished(&self) -> bool {
        matches!(
            self.phase,
            AssemblyPhase::Complete | AssemblyPhase::Failed(_)
        )
    }

    fn accept(&mut self) -> AnswerStep<'static> {
        // The agent repeats this frame after a resumption.
        if self.phase == AssemblyPhase::Accepted {
            return AnswerStep::Nothing;
        }
        self.phase = AssemblyPhase::Accepted;
        AnswerStep::Accepted
    }

    fn receive_head(&mut self, head: AnswerHead) -> Result<AnswerStep<'_>, AssemblyFault> {
        self.phase = AssemblyPhase::Accepted;
        if let Some(first_head) = &self.head {
            ensure!(*first_head == head, HeadChangedSnafu);
            return Ok(AnswerStep::Nothing);
        }
        Ok(AnswerStep::Head(self.head.insert(head)))
    }

    fn receive_chunk<'a>(
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
        let already_received = usize::try_from(expected - offset).unwrap_or(usize::MAX);
        let new = payload.get(already_received..).unwrap_or_default();
        if new.is_empty() {
            return Ok(AnswerStep::Nothing);
        }
        self.offset += new.len() as u64;
        self.resumes_without_progress = 0;
        Ok(AnswerStep::Bytes(new))
    }

    fn receive_end(
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

    fn receive_failure(&mut self, event: &RunEvent) -> AnswerStep<'static> {
        let mut failure = AttemptFailure::from_event(event).expect("the event is a failure");
        if self.head.is_some() {
            // An upstream that has started to answer has run the request, even if the agent reports
            // otherwise.
            failure.verdict = RunVerdict::MayHaveRun;
        }
        self.phase = AssemblyPhase::Failed(failure.verdict);
        AnswerStep::Failed(failure)
    }
}

impl AttemptFailure {
    /// Returns the failure that `event` reports; `None` for any other event.
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
