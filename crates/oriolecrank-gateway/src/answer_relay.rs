//! Passes an upstream's answer to the caller.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt as _;
use oriolecrank_net::{AnswerBody, BodyAborted, BodySender};
use oriolecrank_policy::outlier_ejection::UpstreamOutcome;
use oriolecrank_schema::event::LogEvent;
use tokio::time::timeout;

use crate::call_runner::{CallRunner, StartedAnswer, idle_limit};
use crate::dialect::{CallFailure, CallerDialect};
use crate::entry_metrics::StreamOutcome;
use crate::event_stream::NumberedEventSplitter;
use crate::running_call::now;

/// Largest plain answer, in bytes, which is held until it is complete.
const MAX_PLAIN_BYTES: usize = 16 * 1024 * 1024;

impl<D: CallerDialect> CallRunner<D> {
    /// Runs a request whose answer is passed on only when it is complete.
    pub(crate) async fn run_plain(mut self) -> Result<Response<AnswerBody>, CallFailure> {
        loop {
            let StartedAnswer {
                mut call,
                head,
                response,
            } = self.start(None).await?;
            let time_left = self.request.deadline.since(now());
            let status = response.status();
            let fields = self.shared.dialect.answer_fields(response.headers());
            let limit = idle_limit(&head);
            match response
                .collect_with_idle_limit(MAX_PLAIN_BYTES, time_left, limit)
                .await
            {
                Ok(body) => {
                    let present = now();
                    call.answered(present);
                    call.record(UpstreamOutcome::Answered, present);
                    let mut answer = Response::new(AnswerBody::full(body));
                    *answer.status_mut() = status;
                    *answer.headers_mut() = fields;
                    return Ok(answer);
                }
                Err(error) => {
                    tracing::info!(
                        event = LogEvent::AttemptFailed.number(),
                        request = self.request.head.request_id,
                        upstream = %call.chosen.announcement.name,
                        %error,
                        "an answer broke off"
                    );
                    call.record(UpstreamOutcome::Failed, now());
                }
            }
            drop(call);
            if !self.lost_answer() {
                return Err(self.failure());
            }
        }
    }

    /// Runs a request whose answer is passed on as it arrives.
    pub(crate) async fn run_stream(mut self) -> Result<Response<AnswerBody>, CallFailure> {
        let resume_after = self.request.head.resume_after;
        let started = self.start(resume_after).await?;
        if !started.response.status().is_success() {
            return self.pass_failure(started).await;
        }
        let (sender, body) = AnswerBody::stream();
        let mut answer = Response::new(body);
        *answer.status_mut() = started.response.status();
        let fields = self
            .shared
            .dialect
            .answer_fields(started.response.headers());
        *answer.headers_mut() = fields;
        let relay = StreamRelay {
            runner: self,
            sender,
            events: NumberedEventSplitter::default(),
            last_number: resume_after,
            passed: false,
        };
        tokio::spawn(relay.run(started));
        Ok(answer)
    }

    /// Passes on a failure that the upstream itself has answered.
    async fn pass_failure(
        mut self,
        started: StartedAnswer<D>,
    ) -> Result<Response<AnswerBody>, CallFailure> {
        let StartedAnswer {
            mut call,
            head,
            response,
        } = started;
        call.begin(now());
        let time_left = self.request.deadline.since(now());
        let status = response.status();
        let fields = self.shared.dialect.answer_fields(response.headers());
        let limit = idle_limit(&head);
        let body = response
            .collect_with_idle_limit(MAX_PLAIN_BYTES, time_left, limit)
            .await;
        let Ok(body) = body else {
            self.lost_answer();
            return Err(self.failure());
        };
        let mut answer = Response::new(AnswerBody::full(body));
        *answer.status_mut() = status;
        *answer.headers_mut() = fields;
        Ok(answer)
    }
}

/// How the relay of one attempt ended.
#[derive(Debug)]
enum RelayEnd {
    /// The answer is complete.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// The time of the request is over.
    TimedOut,
    /// The upstream broke off; the text says how.
    Broken(String),
}

/// A stream on its way to the caller.
#[derive(Debug)]
struct StreamRelay<D: CallerDialect> {
    runner: CallRunner<D>,
    sender: BodySender,
    /// Bytes of an event that is not complete.
    events: NumberedEventSplitter,
    /// Number of the last event that the caller has.
    last_number: Option<u64>,
    /// The caller has at least one event of this answer.
    passed: bool,
}

impl<D: CallerDialect> StreamRelay<D> {
    async fn run(mut self, mut started: StartedAnswer<D>) {
        let metrics = self.runner.shared.metrics.clone();
        loop {
            let upstream = started.call.chosen.announcement.name.clone();
            let reason = match self.relay(started).await {
                RelayEnd::Complete => return metrics.count_stream(StreamOutcome::Complete),
                RelayEnd::CallerLeft => return metrics.count_stream(StreamOutcome::CallerLeft),
                RelayEnd::TimedOut => "the time is over".to_owned(),
                RelayEnd::Broken(reason) => {
                    if let Some(next) = self.resume().await {
                        metrics.count_stream(StreamOutcome::Resumed);
                        tracing::info!(
                            event = LogEvent::StreamResumed.number(),
                            request = self.runner.request.head.request_id,
                            %upstream,
                            reason,
                            after = self.last_number,
                            "a stream goes on at another upstream"
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
            // The caller may be gone as well.
            let _ = self.sender.send(Err(BodyAborted)).await;
            return;
        }
    }

    /// Another attempt behind the last event that the caller has.
    async fn resume(&mut self) -> Option<StartedAnswer<D>> {
        self.events.clear();
        let numbered = !self.passed || self.last_number.is_some();
        if !numbered || !self.runner.lost_answer() {
            return None;
        }
        let started = tokio::select! {
            started = self.runner.start(self.last_number) => started.ok()?,
            () = self.sender.closed() => return None,
        };
        started.response.status().is_success().then_some(started)
    }

    async fn relay(&mut self, started: StartedAnswer<D>) -> RelayEnd {
        let StartedAnswer {
            mut call,
            head,
            mut response,
        } = started;
        let mut heard = now();
        loop {
            let time_left = self.runner.request.deadline.since(now());
            let wait = self.silence_limit().min(time_left);
            let frame = tokio::select! {
                frame = timeout(wait, response.body_mut().frame()) => frame,
                () = self.sender.closed() => return RelayEnd::CallerLeft,
            };
            let present = now();
            let data = match frame {
                Err(_) if present >= self.runner.request.deadline => return RelayEnd::TimedOut,
                // An engine may pause a run for more urgent ones. Silence ends a stream only if the
                // engine answers nobody and another one can go on.
                Err(_) if call.upstream_answers_since(heard) || !self.runner.prepay() => continue,
                Err(_) => {
                    call.record(UpstreamOutcome::Failed, present);
                    return RelayEnd::Broken("the upstream is silent".to_owned());
                }
                Ok(None) if self.events.is_empty() => {
                    call.begin(present);
                    call.record(UpstreamOutcome::Answered, present);
                    response.recycle_with_idle_limit(idle_limit(&head));
                    return RelayEnd::Complete;
                }
                Ok(None) => {
                    call.record(UpstreamOutcome::Failed, present);
                    return RelayEnd::Broken("the stream ended within an event".to_owned());
                }
                Ok(Some(Err(error))) => {
                    call.record(UpstreamOutcome::Failed, present);
                    return RelayEnd::Broken(error.to_string());
                }
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_else(|_| Bytes::new()),
            };
            if data.is_empty() {
                continue;
            }
            heard = present;
            call.begin(present);
            if let Some(end) = self.pass(&data).await {
                return end;
            }
        }
    }

    /// Passes complete events on.
    async fn pass(&mut self, data: &[u8]) -> Option<RelayEnd> {
        let run = match self.events.push(data) {
            Ok(run) => run?,
            Err(error) => return Some(RelayEnd::Broken(error.to_string())),
        };
        if run.last_number.is_some() {
            self.last_number = run.last_number;
        }
        self.passed = true;
        let sent = self.sender.send(Ok(run.bytes)).await;
        sent.is_err().then_some(RelayEnd::CallerLeft)
    }

    /// Silence after which a stream that may be resumed is continued elsewhere. Callers give up
    /// after two seconds or four times the target, whichever is longer.
    fn silence_limit(&self) -> Duration {
        let route = &self.runner.request.route;
        if !route.resumable {
            return Duration::MAX;
        }
        (route.answer_target * 3).max(MIN_SILENCE)
    }
}

/// Shortest silence that breaks a stream.
const MIN_SILENCE: Duration = Duration::from_millis(900);
