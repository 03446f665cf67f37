//! Runs calls and sends their answers to the callers.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Response, StatusCode};
use oriolecrank_net::intake::{BodyBuffer, ByteBudget};
use oriolecrank_net::{AnswerBody, BodyAborted, BodySender};
use oriolecrank_policy::answer_assembly::AnswerHead;
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::event::LogEvent;

use crate::attempt_stream::AttemptError;
use crate::call_runner::CallRunner;
use crate::caller_answer::{CallerError, upstream_answer};
use crate::entry_metrics::RequestOutcome;
use crate::event_stream::EventDelivery;
use crate::request_tracker::RequestTracker;
use crate::running_attempt::{BodyPart, RunningAttempt};

/// Bytes of an answer up to which it is collected before anything is sent to the caller. Until then
/// the call can be run again after a failure without the caller noticing.
const MAX_COLLECTED_BYTES: usize = 4 * 1024 * 1024;

/// Chunks of a large answer that wait for its caller. They do not count in the budget.
const LARGE_ANSWER_CHUNKS: usize = 2;

/// A complete answer, held in memory.
#[derive(Debug, Clone, PartialEq)]
pub struct WholeAnswer {
    /// Status and header fields.
    pub head: AnswerHead,
    /// Complete body.
    pub body: Bytes,
}

impl WholeAnswer {
    /// The HTTP response for the caller.
    pub fn response(self) -> Response<AnswerBody> {
        let body = AnswerBody::full(self.body);
        upstream_answer(self.head.status, &self.head.headers, body)
    }
}

/// Result of collecting an answer that is not streamed.
#[derive(Debug)]
pub enum CollectedAnswer {
    /// The answer is complete.
    Whole(WholeAnswer),
    /// The answer is larger than [`MAX_COLLECTED_BYTES`], or the entry has no memory for it. Its rest
    /// has not been read.
    Large {
        /// Beginning of the body.
        received: ReceivedPart,
        /// Attempt from which the rest is read.
        attempt: Box<RunningAttempt>,
    },
}

/// Beginning of an answer.
#[derive(Debug)]
pub struct ReceivedPart {
    /// Bytes that were collected.
    collected: Bytes,
    /// Bytes after them, which were not collected any more.
    last: Bytes,
}

/// Runs a call and sends its answer to the caller.
///
/// # Errors
///
/// Returns the failure if the call failed before anything was sent to the caller. Later failures
/// end the body of the returned response.
pub async fn deliver(
    mut runner: CallRunner,
    mut tracker: RequestTracker,
) -> Result<Response<AnswerBody>, CallerError> {
    match start_answer(&mut runner, &mut tracker).await {
        Ok(StartedAnswer::Events(attempt)) => Ok(stream_events(runner, *attempt, tracker)),
        Ok(StartedAnswer::Collected(CollectedAnswer::Whole(answer))) => {
            tracker.finish(RequestOutcome::Answered);
            Ok(answer.response())
        }
        Ok(StartedAnswer::Collected(CollectedAnswer::Large { received, attempt })) => {
            Ok(stream_rest(runner, received, *attempt, tracker))
        }
        Err(error) => {
            tracker.finish(RequestOutcome::Failed);
            Err(error.into())
        }
    }
}

#[derive(Debug)]
enum StartedAnswer {
    /// A stream of events, of which only the beginning has arrived.
    Events(Box<RunningAttempt>),
    Collected(CollectedAnswer),
}

async fn start_answer(
    runner: &mut CallRunner,
    tracker: &mut RequestTracker,
) -> Result<StartedAnswer, AttemptError> {
    let attempt = runner.open().await?;
    tracker.record_first_byte();
    if runner.plan().template.stream && is_event_stream(attempt.head()) {
        return Ok(StartedAnswer::Events(Box::new(attempt)));
    }
    collect(runner, attempt).await.map(StartedAnswer::Collected)
}

/// Whether an answer has status 200 and is a stream of server-sent events.
pub fn is_event_stream(head: &AnswerHead) -> bool {
    let mut types = head
        .headers
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case(CONTENT_TYPE.as_str()));
    let events = types.any(|field| field.value.starts_with("text/event-stream"));
    head.status == StatusCode::OK.as_u16() && events
}

/// Collects an answer; if the attempt fails meanwhile, runs the call again.
pub async fn collect(
    runner: &mut CallRunner,
    mut attempt: RunningAttempt,
) -> Result<CollectedAnswer, AttemptError> {
    let budget = runner.context().answer_budget.clone();
    loop {
        let error = match collect_attempt(attempt, &budget).await {
            Ok(collected) => {
                if let CollectedAnswer::Whole(_) = &collected.answer {
                    runner.record_success(&collected.upstream);
                }
                return Ok(collected.answer);
            }
            Err(error) => error,
        };
        attempt = runner.reopen(error, 0).await?;
    }
}

#[derive(Debug)]
struct CollectedAttempt {
    answer: CollectedAnswer,
    upstream: oriolecrank_schema::document::UpstreamId,
}

/// Collects an answer. The budget counts it until it has been sent, so that callers that do not read
/// their answers do not use up the memory.
async fn collect_attempt(
    mut attempt: RunningAttempt,
    budget: &ByteBudget,
) -> Result<CollectedAttempt, AttemptError> {
    let upstream = attempt.upstream().clone();
    let mut body = BodyBuffer::new(MAX_COLLECTED_BYTES, budget);
    loop {
        let bytes = match attempt.next().await? {
            BodyPart::Bytes(bytes) => bytes,
            BodyPart::End => {
                let answer = WholeAnswer {
                    head: attempt.head().clone(),
                    body: body.into_bytes(),
                };
                let answer = CollectedAnswer::Whole(answer);
                return Ok(CollectedAttempt { answer, upstream });
            }
        };
        if body.append(&bytes).is_err() {
            let received = ReceivedPart {
                collected: body.into_bytes(),
                last: bytes,
            };
            let answer = CollectedAnswer::Large {
                received,
                attempt: Box::new(attempt),
            };
            return Ok(CollectedAttempt { answer, upstream });
        }
    }
}

fn stream_events(
    runner: CallRunner,
    attempt: RunningAttempt,
    tracker: RequestTracker,
) -> Response<AnswerBody> {
    let head = attempt.head().clone();
    let (sender, body) = AnswerBody::stream();
    let delivery = EventDelivery::new(runner, sender, tracker);
    tokio::spawn(delivery.run(attempt));
    upstream_answer(head.status, &head.headers, body)
}

/// Streams an answer that is too large to be collected. If the attempt fails, the connection to the
/// caller is aborted, so that the caller can tell that the answer is incomplete.
pub fn stream_rest(
    runner: CallRunner,
    received: ReceivedPart,
    attempt: RunningAttempt,
    tracker: RequestTracker,
) -> Response<AnswerBody> {
    let head = attempt.head().clone();
    let (sender, body) = AnswerBody::stream_of(LARGE_ANSWER_CHUNKS);
    tokio::spawn(forward_rest(runner, received, attempt, tracker, sender));
    upstream_answer(head.status, &head.headers, body)
}

async fn forward_rest(
    mut runner: CallRunner,
    received: ReceivedPart,
    mut attempt: RunningAttempt,
    mut tracker: RequestTracker,
    sender: BodySender,
) {
    let ReceivedPart { collected, last } = received;
    if !collected.is_empty() && sender.send(Ok(collected)).await.is_err() {
        return;
    }
    let mut next = last;
    loop {
        if sender.send(Ok(next)).await.is_err() {
            return;
        }
        let part = tokio::select! {
            part = attempt.next() => part,
            () = sender.closed() => return,
        };
        match part {
            Ok(BodyPart::Bytes(bytes)) => next = bytes,
            Ok(BodyPart::End) => {
                runner.record_success(attempt.upstream());
                // Dropping the attempt counts its tokens, which must precede the end of the
                // tracker's admission permit.
                drop(attempt);
                tracker.finish(RequestOutcome::Answered);
                return;
            }
            Err(error) => {
                tracker.finish(RequestOutcome::Failed);
                log_aborted_answer(runner.plan().request_id(), &error);
                // An error means that the caller has disconnected.
                let _ = sender.send(Err(BodyAborted)).await;
                return;
            }
        }
    }
}

/// Logs an answer that failed after its beginning had been sent to the caller.
pub fn log_aborted_answer(request_id: &str, error: &AttemptError) {
    let event = LogEvent::AnswerBroken.number();
    let (code, verdict) = (error.code.as_str(), error.verdict.to_string());
    tracing::warn!(
        event,
        request_id,
        code,
        verdict,
        "answer failed after its beginning was sent; aborting the connection to the caller"
    );
}

/// The error for an answer that ended or cannot continue although parts of it are missing.
pub fn incomplete_answer(message: &str) -> AttemptError {
    AttemptError::new(RunVerdict::MayHaveRun, "answer_incomplete", message)
}
