//! Passes whole answers to callers.

use bytes::{Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{Response, StatusCode};
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

/// Bytes of an answer that are collected before the first one is sent. Up to here an answer that
/// breaks can be repeated without the caller noticing.
const MAX_COLLECTED_BYTES: usize = 4 * 1024 * 1024;

/// A complete answer.
#[derive(Debug, Clone, PartialEq)]
pub struct WholeAnswer {
    /// Status and header fields.
    pub head: AnswerHead,
    /// Body.
    pub body: Bytes,
}

impl WholeAnswer {
    /// The answer as it goes to the caller.
    pub fn response(self) -> Response<AnswerBody> {
        let body = AnswerBody::full(self.body);
        upstream_answer(self.head.status, &self.head.headers, body)
    }
}

/// What was collected of an answer that is not streamed.
#[derive(Debug)]
pub enum CollectedAnswer {
    /// All of it.
    Whole(WholeAnswer),
    /// More than is kept in memory; the rest is still to be read.
    Large {
        /// Bytes so far.
        begun: Bytes,
        /// Attempt that sends the rest.
        attempt: Box<RunningAttempt>,
    },
}

/// Runs a call and passes its answer on.
///
/// # Errors
///
/// Returns the failure if nothing has been sent to the caller.
pub async fn deliver(
    mut runner: CallRunner,
    mut tracker: RequestTracker,
) -> Result<Response<AnswerBody>, CallerError> {
    match begin(&mut runner, &mut tracker).await {
        Ok(BegunAnswer::Events(attempt)) => Ok(stream_events(runner, *attempt, tracker)),
        Ok(BegunAnswer::Collected(CollectedAnswer::Whole(answer))) => {
            tracker.finish(RequestOutcome::Answered);
            Ok(answer.response())
        }
        Ok(BegunAnswer::Collected(CollectedAnswer::Large { begun, attempt })) => {
            Ok(stream_rest(runner, begun, *attempt, tracker))
        }
        Err(error) => {
            tracker.finish(RequestOutcome::Failed);
            Err(error.into())
        }
    }
}

#[derive(Debug)]
enum BegunAnswer {
    Events(Box<RunningAttempt>),
    Collected(CollectedAnswer),
}

async fn begin(
    runner: &mut CallRunner,
    tracker: &mut RequestTracker,
) -> Result<BegunAnswer, AttemptError> {
    let attempt = runner.open().await?;
    tracker.note_first_byte();
    if runner.plan().template.stream && is_event_stream(attempt.head()) {
        return Ok(BegunAnswer::Events(Box::new(attempt)));
    }
    collect(runner, attempt).await.map(BegunAnswer::Collected)
}

/// Whether an answer is a successful stream of events.
pub fn is_event_stream(head: &AnswerHead) -> bool {
    let mut types = head
        .headers
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case(CONTENT_TYPE.as_str()));
    let events = types.any(|field| field.value.starts_with("text/event-stream"));
    head.status == StatusCode::OK.as_u16() && events
}

/// Collects an answer, running the call again if the answer breaks.
pub async fn collect(
    runner: &mut CallRunner,
    mut attempt: RunningAttempt,
) -> Result<CollectedAnswer, AttemptError> {
    loop {
        let error = match collect_attempt(attempt).await {
            Ok(collected) => {
                if let CollectedAnswer::Whole(_) = &collected.answer {
                    runner.succeed(&collected.upstream);
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

async fn collect_attempt(mut attempt: RunningAttempt) -> Result<CollectedAttempt, AttemptError> {
    let upstream = attempt.upstream().clone();
    let mut body = BytesMut::new();
    loop {
        match attempt.next().await? {
            BodyPart::Bytes(bytes) => body.extend_from_slice(&bytes),
            BodyPart::End => {
                let answer = WholeAnswer {
                    head: attempt.head().clone(),
                    body: body.freeze(),
                };
                let answer = CollectedAnswer::Whole(answer);
                return Ok(CollectedAttempt { answer, upstream });
            }
        }
        if body.len() > MAX_COLLECTED_BYTES {
            let answer = CollectedAnswer::Large {
                begun: body.freeze(),
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

/// Passes on an answer that is too large to be collected. If it breaks, the connection breaks too,
/// so that the caller never takes a part for the whole.
pub fn stream_rest(
    runner: CallRunner,
    begun: Bytes,
    attempt: RunningAttempt,
    tracker: RequestTracker,
) -> Response<AnswerBody> {
    let head = attempt.head().clone();
    let (sender, body) = AnswerBody::stream();
    tokio::spawn(forward_rest(runner, begun, attempt, tracker, sender));
    upstream_answer(head.status, &head.headers, body)
}

async fn forward_rest(
    mut runner: CallRunner,
    begun: Bytes,
    mut attempt: RunningAttempt,
    mut tracker: RequestTracker,
    sender: BodySender,
) {
    let mut next = begun;
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
                runner.succeed(attempt.upstream());
                // The tokens of the attempt count before the room is returned.
                drop(attempt);
                tracker.finish(RequestOutcome::Answered);
                return;
            }
            Err(error) => {
                tracker.finish(RequestOutcome::Failed);
                log_broken(runner.plan().request_id(), &error);
                // An error means that the caller has gone away.
                let _ = sender.send(Err(BodyAborted)).await;
                return;
            }
        }
    }
}

/// Logs an answer that broke after its beginning was sent.
pub fn log_broken(request_id: &str, error: &AttemptError) {
    let event = LogEvent::AnswerBroken.number();
    let (code, verdict) = (error.code.as_str(), error.verdict.to_string());
    tracing::warn!(event, request_id, code, verdict, "answer broken");
}

/// An answer that ended although parts are missing.
pub fn incomplete(message: &str) -> AttemptError {
    AttemptError::new(RunVerdict::MayHaveRun, "answer_incomplete", message)
}
