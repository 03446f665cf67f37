//! Sends a streamed completion to its caller; if an attempt fails, another upstream continues it.

use bytes::Bytes;
use oriolecrank_net::{BodyAborted, BodySender};

use crate::answer_delivery::{incomplete_answer, is_event_stream, log_aborted_answer};
use crate::attempt_stream::AttemptError;
use crate::call_runner::CallRunner;
use crate::caller_answer::CallerError;
use crate::entry_metrics::RequestOutcome;
use crate::event_splitter::{EventKind, EventSplitter, ServerEvent};
use crate::request_tracker::RequestTracker;
use crate::running_attempt::{BodyPart, RunningAttempt};

/// Why a delivery ended before the end marker was sent to the caller.
#[derive(Debug)]
enum DeliveryError {
    /// The caller has disconnected.
    CallerDisconnected,
    /// The answer failed and cannot be continued.
    Failed(AttemptError),
}

impl From<AttemptError> for DeliveryError {
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
    /// Buffers an event that is not complete yet.
    splitter: EventSplitter,
    /// Output tokens sent to the caller, over all attempts.
    delivered: u64,
    /// Whether at least one event was sent to the caller.
    event_sent: bool,
}

impl EventDelivery {
    /// Creates a delivery that has sent nothing yet.
    pub fn new(runner: CallRunner, sender: BodySender, tracker: RequestTracker) -> Self {
        Self {
            runner,
            sender,
            tracker,
            splitter: EventSplitter::default(),
            delivered: 0,
            event_sent: false,
        }
    }

    /// Sends the answer to the caller, beginning with that of `attempt`, until it ends or fails.
    pub async fn run(mut self, attempt: RunningAttempt) {
        match self.forward(attempt).await {
            Ok(()) => self.tracker.finish(RequestOutcome::Answered),
            Err(DeliveryError::CallerDisconnected) => {}
            Err(DeliveryError::Failed(error)) => {
                self.tracker.finish(RequestOutcome::Failed);
                self.abort_with_error(error).await;
            }
        }
    }

    async fn forward(&mut self, mut attempt: RunningAttempt) -> Result<(), DeliveryError> {
        loop {
            let error = match self.forward_attempt(&mut attempt).await {
                Ok(()) => {
                    self.runner.record_success(attempt.upstream());
                    return Ok(());
                }
                Err(DeliveryError::Failed(error)) => error,
                Err(disconnected) => return Err(disconnected),
            };
            // Dropping the attempt records its usage, which must precede the next attempt.
            drop(attempt);
            self.splitter.clear();
            attempt = tokio::select! {
                attempt = self.runner.reopen(error, self.delivered) => attempt?,
                () = self.sender.closed() => return Err(DeliveryError::CallerDisconnected),
            };
            if !is_event_stream(attempt.head()) {
                let message = "the answer could not be continued: \
                    the next upstream did not send an event stream";
                return Err(incomplete_answer(message).into());
            }
        }
    }

    async fn forward_attempt(&mut self, attempt: &mut RunningAttempt) -> Result<(), DeliveryError> {
        // The end marker is sent only after the end of the attempt has been checked, because a
        // caller that receives it takes the answer for complete.
        let mut end_marker = None;
        loop {
            let part = tokio::select! {
                part = attempt.next() => part?,
                () = self.sender.closed() => return Err(DeliveryError::CallerDisconnected),
            };
            let BodyPart::Bytes(bytes) = part else {
                break;
            };
            let pushed = self.splitter.push(&bytes);
            pushed.map_err(|_| {
                incomplete_answer("an event of the answer is longer than the limit of 1 MiB")
            })?;
            while let Some(event) = self.splitter.next_event() {
                if event.kind == EventKind::Done {
                    end_marker = Some(event.bytes);
                } else {
                    self.forward_event(attempt, event).await?;
                }
            }
        }
        match end_marker {
            Some(marker) if self.splitter.is_empty() => self.send(marker).await,
            _ => Err(incomplete_answer(
                "the event stream ended within an event or without the end marker [DONE]",
            )
            .into()),
        }
    }

    async fn forward_event(
        &mut self,
        attempt: &mut RunningAttempt,
        event: ServerEvent,
    ) -> Result<(), DeliveryError> {
        let is_token = event.kind == EventKind::Token;
        // An upstream that continues the answer repeats the event that opens the message, which the
        // caller already has.
        if self.event_sent && !is_token && opens_message(&event.bytes) {
            return Ok(());
        }
        self.send(event.bytes).await?;
        self.event_sent = true;
        if is_token {
            self.delivered += 1;
            attempt.count_delivered(1);
        }
        Ok(())
    }

    /// Sends bytes to the caller. Waits while the caller reads slowly, so that the upstream is read
    /// no faster.
    async fn send(&self, bytes: Bytes) -> Result<(), DeliveryError> {
        let sent = self.sender.send(Ok(bytes)).await;
        sent.map_err(|_| DeliveryError::CallerDisconnected)
    }

    /// Sends an error event and aborts the connection, so that the caller cannot take the answer
    /// for complete.
    async fn abort_with_error(&self, error: AttemptError) {
        let request_id = self.runner.plan().request_id();
        log_aborted_answer(request_id, &error);
        let metrics = &self.runner.context().metrics;
        metrics.count_refusal(&error.code);
        let event = CallerError::from(error).event(request_id);
        // Errors mean that the caller has disconnected.
        let _ = self.sender.send(Ok(event.into())).await;
        let _ = self.sender.send(Err(BodyAborted)).await;
    }
}

/// Whether an event opens a message: it states the role of its author.
fn opens_message(event: &[u8]) -> bool {
    let role = b"\"role\"";
    event.windows(role.len()).any(|window| window == role)
}
