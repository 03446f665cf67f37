//! Relays an upstream's answer to the caller, either buffered or as a stream of events.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Response};
use http_body_util::BodyExt as _;
use oriolecrank_net::{AnswerBody, BodyAborted, BodySender};
use oriolecrank_policy::outlier_ejection::UpstreamOutcome;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::event::LogEvent;
use tokio::time::timeout;

use crate::call_runner::{CallRunner, StartedAnswer, idle_limit};
use crate::dialect::{CallFailure, CallerDialect};
use crate::entry_metrics::StreamOutcome;
use crate::event_stream::NumberedEventSplitter;
use crate::plain_body::{PlainBodyError, read_plain_body};
use crate::running_attempt::{RunningAttempt, current_time};

impl<D: CallerDialect> CallRunner<D> {
    /// Runs a request whose answer is buffered and sent to the caller once it is complete, so that
    /// an interrupted answer can still be retried.
    pub(crate) async fn run_plain(mut self) -> Result<Response<AnswerBody>, CallFailure> {
        loop {
            let StartedAnswer {
                mut attempt,
                head,
                mut response,
            } = self.start(None).await?;
            let time_left = self.request.deadline.since(current_time());
            let status = response.status();
            let fields = self.shared.dialect.answer_fields(response.headers());
            let explicit_end = has_explicit_end(response.headers());
            let limit = idle_limit(&head);
            let budget = &self.shared.client_budget;
            match read_plain_body(&mut response, budget, time_left).await {
                Ok(body) => {
                    response.recycle_with_idle_limit(limit);
                    attempt.expect_nothing();
                    let now = current_time();
                    // A failing server may answer before it begins to run the request.
                    if explicit_end && !status.is_server_error() {
                        self.record_complete_answer();
                    }
                    attempt.record_completion(now);
                    attempt.record_outcome(UpstreamOutcome::Answered, now);
                    let mut answer = Response::new(AnswerBody::full(body));
                    *answer.status_mut() = status;
                    *answer.headers_mut() = fields;
                    return Ok(answer);
                }
                Err(error) => {
                    tracing::info!(
                        event = LogEvent::AttemptFailed.number(),
                        request = self.request.head.request_id,
                        fingerprint = %self.request.fingerprint,
                        upstream = %attempt.chosen.announcement.name,
                        %error,
                        "an answer was interrupted; the request may be retried"
                    );
                    if !matches!(error, PlainBodyError::Late) {
                        attempt.expect_nothing();
                    }
                    if matches!(error, PlainBodyError::Interrupted { .. }) {
                        self.record_broken_attempt(&attempt);
                    }
                    attempt.record_outcome(UpstreamOutcome::Failed, current_time());
                }
            }
            drop(attempt);
            if !self.record_lost_answer() {
                return Err(self.call_failure());
            }
        }
    }

    /// Runs a request whose answer is streamed to the caller as it arrives.
    pub(crate) async fn run_stream(mut self) -> Result<Response<AnswerBody>, CallFailure> {
        let resume_after = self.request.head.resume_after;
        let started = self.start(resume_after).await?;
        if resume_after.is_some() {
            tracing::info!(
                event = LogEvent::StreamResumed.number(),
                request = self.request.head.request_id,
                begun_as = self.request.head.begun_as,
                after = resume_after,
                upstream = %started.attempt.chosen.announcement.name,
                version = ?started.attempt.chosen.announcement.version,
                "a caller resumes a stream"
            );
        }
        if !started.response.status().is_success() {
            return self.relay_error_answer(started).await;
        }
        let (sender, body) = AnswerBody::stream();
        let mut answer = Response::new(body);
        *answer.status_mut() = started.response.status();
        let fields = self
            .shared
            .dialect
            .answer_fields(started.response.headers());
        let content_type = fields.get(CONTENT_TYPE).cloned();
        *answer.headers_mut() = fields;
        let relay = StreamRelay {
            runner: self,
            sender,
            splitter: NumberedEventSplitter::default(),
            last_number: resume_after,
            any_event_sent: false,
            content_type,
        };
        tokio::spawn(relay.run(started));
        Ok(answer)
    }

    /// Buffers an error answer of the upstream and sends it to the caller.
    async fn relay_error_answer(
        mut self,
        started: StartedAnswer<D>,
    ) -> Result<Response<AnswerBody>, CallFailure> {
        let StartedAnswer {
            mut attempt,
            head,
            mut response,
        } = started;
        attempt.record_start(current_time());
        let time_left = self.request.deadline.since(current_time());
        let status = response.status();
        let fields = self.shared.dialect.answer_fields(response.headers());
        let limit = idle_limit(&head);
        let budget = &self.shared.client_budget;
        let body = match read_plain_body(&mut response, budget, time_left).await {
            Ok(body) => body,
            Err(error) => {
                tracing::info!(
                    event = LogEvent::AttemptFailed.number(),
                    request = self.request.head.request_id,
                    fingerprint = %self.request.fingerprint,
                    upstream = %attempt.chosen.announcement.name,
                    %error,
                    "an error answer of an upstream was interrupted"
                );
                if !matches!(error, PlainBodyError::Late) {
                    attempt.expect_nothing();
                }
                if matches!(error, PlainBodyError::Interrupted { .. }) {
                    self.record_broken_attempt(&attempt);
                }
                self.record_lost_answer();
                return Err(self.call_failure());
            }
        };
        response.recycle_with_idle_limit(limit);
        attempt.expect_nothing();
        let mut answer = Response::new(AnswerBody::full(body));
        *answer.status_mut() = status;
        *answer.headers_mut() = fields;
        Ok(answer)
    }
}

/// How the relay of one attempt ended.
#[derive(Debug)]
enum RelayEnd {
    /// The whole answer was sent to the caller.
    Complete,
    /// The caller closed its connection.
    CallerLeft,
    /// The deadline of the request has passed.
    TimedOut,
    /// The upstream failed before the end of the answer; holds the reason for the log.
    Broken(String),
}

/// Relays one stream to the caller and resumes it on another upstream after a failure.
#[derive(Debug)]
struct StreamRelay<D: CallerDialect> {
    runner: CallRunner<D>,
    sender: BodySender,
    /// Buffers the bytes of an incomplete event.
    splitter: NumberedEventSplitter,
    /// Number of the last numbered event that the caller has received. Until this stream has sent
    /// one, it is the number after which the caller asked to resume, if any.
    last_number: Option<u64>,
    /// At least one event of this answer was sent to the caller.
    any_event_sent: bool,
    /// Type of the content that the caller was told. An answer of another type does not go on with the
    /// stream, even if it is a success.
    content_type: Option<HeaderValue>,
}

impl<D: CallerDialect> StreamRelay<D> {
    async fn run(mut self, mut started: StartedAnswer<D>) {
        let metrics = self.runner.shared.metrics.clone();
        loop {
            let upstream = started.attempt.chosen.announcement.name.clone();
            let reason = match self.relay(started).await {
                RelayEnd::Complete => return metrics.count_stream(StreamOutcome::Complete),
                RelayEnd::CallerLeft => return metrics.count_stream(StreamOutcome::CallerLeft),
                RelayEnd::TimedOut => "the deadline has passed".to_owned(),
                RelayEnd::Broken(reason) => {
                    if let Some(next) = self.resume().await {
                        metrics.count_stream(StreamOutcome::Resumed);
                        tracing::info!(
                            event = LogEvent::StreamResumed.number(),
                            request = self.runner.request.head.request_id,
                            %upstream,
                            next = %next.attempt.chosen.announcement.name,
                            version = ?next.attempt.chosen.announcement.version,
                            reason,
                            after = self.last_number,
                            "a stream is resumed on another upstream"
                        );
                        started = next;
                        continue;
                    }
                    reason
                }
            };
            metrics.count_stream(StreamOutcome::Broken);
            tracing::warn!(
                event = LogEvent::AnswerBroken.number(),
                request = self.runner.request.head.request_id,
                %upstream,
                reason,
                after = self.last_number,
                "a stream was broken off"
            );
            // An error only means that the caller has disconnected as well.
            let _ = self.sender.send(Err(BodyAborted)).await;
            return;
        }
    }

    /// Starts another attempt that continues after the last event sent to the caller; `None` if the
    /// stream cannot be resumed.
    async fn resume(&mut self) -> Option<StartedAnswer<D>> {
        self.splitter.clear();
        let continues = self.any_event_sent && self.runner.has_known_version();
        let resumable = !self.any_event_sent || (continues && self.last_number.is_some());
        if !resumable || !self.runner.record_lost_answer() {
            return None;
        }
        let started = tokio::select! {
            started = self.runner.start(self.last_number) => started.ok()?,
            () = self.sender.closed() => return None,
        };
        let response = &started.response;
        let goes_on = response.status().is_success()
            && response.headers().get(CONTENT_TYPE) == self.content_type.as_ref();
        if !goes_on {
            tracing::info!(
                event = LogEvent::AttemptFailed.number(),
                request = self.runner.request.head.request_id,
                upstream = %started.attempt.chosen.announcement.name,
                status = %response.status(),
                content_type = ?response.headers().get(CONTENT_TYPE),
                "an upstream does not go on with a stream"
            );
        }
        goes_on.then_some(started)
    }

    /// Forwards the answer of one attempt until it is complete or fails, or the caller disconnects.
    async fn relay(&mut self, started: StartedAnswer<D>) -> RelayEnd {
        let StartedAnswer {
            mut attempt,
            head,
            mut response,
        } = started;
        let mut last_data_at = current_time();
        loop {
            let time_left = self.runner.request.deadline.since(current_time());
            let wait = self.silence_timeout().min(time_left);
            let frame = tokio::select! {
                frame = timeout(wait, response.body_mut().frame()) => frame,
                () = self.sender.closed() => return RelayEnd::CallerLeft,
            };
            let now = current_time();
            let data = match frame {
                Err(_) if now >= self.runner.request.deadline => return RelayEnd::TimedOut,
                // An engine may preempt a request in favour of more urgent ones. A silent stream is
                // abandoned only if the engine answers no other request either and another upstream
                // can resume it.
                Err(_)
                    if attempt.has_upstream_answered_since(last_data_at)
                        || !self.runner.reserve_extra_attempt() =>
                {
                    continue;
                }
                Err(_) => {
                    attempt.record_outcome(UpstreamOutcome::Failed, now);
                    return RelayEnd::Broken(
                        "the upstream sent nothing within the silence timeout".to_owned(),
                    );
                }
                Ok(None) if self.splitter.is_empty() => {
                    // An answer that ends with its connection may have been cut off.
                    if has_explicit_end(response.headers()) && self.any_event_sent {
                        self.runner.record_complete_answer();
                    }
                    attempt.record_start(now);
                    attempt.expect_nothing();
                    attempt.record_outcome(UpstreamOutcome::Answered, now);
                    response.recycle_with_idle_limit(idle_limit(&head));
                    return RelayEnd::Complete;
                }
                Ok(None) => {
                    attempt.expect_nothing();
                    self.runner.record_broken_attempt(&attempt);
                    attempt.record_outcome(UpstreamOutcome::Failed, now);
                    return RelayEnd::Broken("the stream ended within an event".to_owned());
                }
                Ok(Some(Err(error))) => {
                    attempt.expect_nothing();
                    self.runner.record_broken_attempt(&attempt);
                    attempt.record_outcome(UpstreamOutcome::Failed, now);
                    return RelayEnd::Broken(error.to_string());
                }
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_else(|_| Bytes::new()),
            };
            if data.is_empty() {
                continue;
            }
            last_data_at = now;
            attempt.expect_data(now);
            attempt.record_start(now);
            if let Some(end) = self.forward_events(&data, &mut attempt, now).await {
                return end;
            }
        }
    }

    /// Sends the complete events to the caller and holds back the rest; returns the end of the
    /// relay if there is one.
    async fn forward_events(
        &mut self,
        data: &[u8],
        attempt: &mut RunningAttempt<D>,
        now: TimePoint,
    ) -> Option<RelayEnd> {
        let batch = match self.splitter.push(data) {
            Ok(batch) => batch?,
            Err(error) => return Some(RelayEnd::Broken(error.to_string())),
        };
        // The ids of a stream rise; an upstream that ignores where to go on sends events again.
        if let Some((last, first)) = self.last_number.zip(batch.first_number)
            && first <= last
        {
            let reason = format!("event {first} came after event {last}");
            return Some(RelayEnd::Broken(reason));
        }
        if batch.last_number.is_some() {
            self.last_number = batch.last_number;
        }
        if !std::mem::replace(&mut self.any_event_sent, true) {
            self.runner.record_stream_begin(&attempt.chosen);
        }
        let numbers = batch.first_number.zip(batch.last_number);
        let events = numbers.map_or(1, |(first, last)| last.saturating_sub(first) + 1);
        let pause_target = self.runner.request.route.pause_target;
        attempt.record_events(u32::try_from(events).unwrap_or(1), pause_target, now);
        let sent = self.sender.send(Ok(batch.bytes)).await;
        if current_time().since(now) >= CALLER_DELAY {
            attempt.skip_pause();
        }
        sent.is_err().then_some(RelayEnd::CallerLeft)
    }

    /// Time without data after which a resumable stream is moved to another upstream. It is shorter
    /// than the time after which callers disconnect, which is two seconds or four times the answer
    /// target, whichever is longer.
    fn silence_timeout(&self) -> Duration {
        let route = &self.runner.request.route;
        if !route.resumable {
            return Duration::MAX;
        }
        (route.answer_target * 3).max(MIN_SILENCE_TIMEOUT)
    }
}

/// Time for which a caller that reads slowly delays an event, from which on the next pause is not
/// counted as one of the upstream.
const CALLER_DELAY: Duration = Duration::from_millis(5);

/// Whether the end of an answer's body shows in the body, and not only by the end of its connection.
fn has_explicit_end(fields: &HeaderMap) -> bool {
    fields.contains_key(CONTENT_LENGTH) || fields.contains_key(TRANSFER_ENCODING)
}

/// Lower limit of the silence timeout.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
