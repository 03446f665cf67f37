//! Passes a streamed completion to its caller and continues it on another upstream if need be.

use bytes::Bytes;
use oriolecrank_net::{BodyAborted, BodySender};

use crate::answer_delivery::{incomplete, is_event_stream, log_broken};
use crate::attempt_stream::AttemptError;
use crate::call_runner::CallRunner;
use crate::caller_answer::CallerError;
use crate::entry_metrics::RequestOutcome;
use crate::event_splitter::{EventKind, EventSplitter, ServerEvent};
use crate::request_tracker::RequestTracker;
use crate::running_attempt::{BodyPart, RunningAttempt};

/// Why an answer ended before its end marker was passed on.
#[derive(Debug)]
enum BrokenDelivery {
    /// The caller went away.
    CallerLeft,
    /// The attempt failed.
    Failed(AttemptError),
}

impl From<AttemptError> for BrokenDelivery {
    fn from(error: AttemptError) -> Self {
        Self::Failed(error)
    }
}

/// Delivery of one streamed answer.
#[derive(Debug)]
pub struct EventDelivery {
    runner: CallRunner,
    sender: BodySender,
    tracker: RequestTracker,
    /// Bytes of an event that is not complete yet.
    splitter: EventSplitter,
    /// Output tokens that the caller has, over all attempts.
    delivered: u64,
    /// At least one event was passed on.
    begun: bool,
}

impl EventDelivery {
    /// A delivery that has sent nothing.
    pub fn new(runner: CallRunner, sender: BodySender, tracker: RequestTracker) -> Self {
        Self {
            runner,
            sender,
            tracker,
            splitter: EventSplitter::default(),
            delivered: 0,
            begun: false,
        }
    }

    /// Passes the answer on to its end.
    pub async fn run(mut self, attempt: RunningAttempt) {
        match self.forward(attempt).await {
            Ok(()) => self.tracker.finish(RequestOutcome::Answered),
            Err(BrokenDelivery::CallerLeft) => {}
            Err(BrokenDelivery::Failed(error)) => {
                self.tracker.finish(RequestOutcome::Failed);
                self.break_off(error).await;
            }
        }
    }

    async fn forward(&mut self, mut attempt: RunningAttempt) -> Result<(), BrokenDelivery> {
        loop {
            let error = match self.forward_attempt(&mut attempt).await {
                Ok(()) => {
                    self.runner.succeed(attempt.upstream());
                    return Ok(());
                }
                Err(BrokenDelivery::Failed(error)) => error,
                Err(left) => return Err(left),
            };
            // The end of an attempt counts before the next one begins.
            drop(attempt);
            self.splitter.clear();
            attempt = tokio::select! {
                attempt = self.runner.reopen(error, self.delivered) => attempt?,
                () = self.sender.closed() => return Err(BrokenDelivery::CallerLeft),
            };
            if !is_event_stream(attempt.head()) {
                let message = "the answer could not be continued on another upstream";
                return Err(incomplete(message).into());
            }
        }
    }

    async fn forward_attempt(
        &mut self,
        attempt: &mut RunningAttempt,
    ) -> Result<(), BrokenDelivery> {
        // The end marker is passed on only after the end of the attempt was checked.
        let mut end_marker = None;
        loop {
            let part = tokio::select! {
                part = attempt.next() => part?,
                () = self.sender.closed() => return Err(BrokenDelivery::CallerLeft),
            };
            let BodyPart::Bytes(bytes) = part else {
                break;
            };
            let pushed = self.splitter.push(&bytes);
            pushed.map_err(|_| incomplete("an event of the answer is too long"))?;
            while let Some(event) = self.splitter.next_event() {
                if event.kind == EventKind::Done {
                    end_marker = Some(event.bytes);
                } else {
                    self.pass_on(attempt, event).await?;
                }
            }
        }
        match end_marker {
            Some(marker) if self.splitter.is_empty() => self.send(marker).await,
            _ => Err(incomplete("the answer ended without its end marker").into()),
        }
    }

    async fn pass_on(
        &mut self,
        attempt: &mut RunningAttempt,
        event: ServerEvent,
    ) -> Result<(), BrokenDelivery> {
        let is_token = event.kind == EventKind::Token;
        // Another upstream begins with the event that opens the message, which the caller has.
        if self.begun && !is_token && opens_message(&event.bytes) {
            return Ok(());
        }
        self.send(event.bytes).await?;
        self.begun = true;
        if is_token {
            self.delivered += 1;
            attempt.deliver(1);
        }
        Ok(())
    }

    /// Waits while the caller reads slowly, so that the upstream is read slowly too.
    async fn send(&self, bytes: Bytes) -> Result<(), BrokenDelivery> {
        let sent = self.sender.send(Ok(bytes)).await;
        sent.map_err(|_| BrokenDelivery::CallerLeft)
    }

    /// Sends an error event and breaks the connection, so that the caller cannot take the answer for
    /// a whole one.
    async fn break_off(&self, error: AttemptError) {
        let request_id = self.runner.plan().request_id();
        log_broken(request_id, &error);
        let metrics = &self.runner.context().metrics;
        metrics.count_refusal(&error.code);
        let event = CallerError::from(error).event(request_id);
        // Errors mean that the caller has gone away.
        let _ = self.sender.send(Ok(event.into())).await;
        let _ = self.sender.send(Err(BodyAborted)).await;
    }
}

fn opens_message(event: &[u8]) -> bool {
    let role = b"\"role\"";
    event.windows(role.len()).any(|window| window == role)
}
