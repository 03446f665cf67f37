//! Runs one request of a caller on upstreams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;
use oriolecrank_net::{ClientResponse, SendError};
use oriolecrank_policy::outlier_ejection::UpstreamOutcome;
use oriolecrank_routing::{
    CallKind, CallTiming, ChoiceRequest, NoUpstream, OrganisationName, PromptShape, RouteSpec,
    ServiceName, UpstreamName,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::event::LogEvent;
use rand::Rng as _;
use tokio::time::timeout;

use crate::dialect::{
    AnswerHead, AttemptHead, AttemptStage, CallFailure, CallHead, CallerDialect, PromptHandle,
};
use crate::entry_metrics::AttemptOutcome;
use crate::entry_shared::EntryShared;
use crate::kept_prompt::KeptPrompt;
use crate::running_call::{RunningCall, now};

/// Connections that are tried one after the other before a request is refused; an attempt that found
/// no connection has reached no upstream and needs no budget.
const MAX_CONNECT_TRIES: u32 = 3;

/// Shortest and longest time after which a refused caller may return. Spread out, so that callers
/// refused together do not return together; long, because a burst lasts for seconds and callers
/// return only once or twice.
const RETURN_MS: std::ops::Range<u64> = 250..1_000;

/// An attempt at a request that may be repeated is given up for another one after this many times the
/// expected or targeted time, so that a silent upstream does not use up the time of the request.
const PATIENCE_FACTOR: u32 = 3;

/// Ranks by which a request that is late already goes behind those that are not.
const LATE_PRIORITY_OFFSET: u8 = 5;

/// Shortest time that such an attempt gets.
const MIN_PATIENCE: Duration = Duration::from_millis(600);

/// A caller's request that was read and found proper.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) fields: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) head: CallHead,
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) service: ServiceName,
    pub(crate) organisation: Option<OrganisationName>,
    pub(crate) priority: u8,
    /// End of the caller's patience or of the route's timeout, whichever is first.
    pub(crate) deadline: TimePoint,
    /// Time from which on the answer is late.
    pub(crate) target: TimePoint,
}

/// An upstream's answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct StartedAnswer<D> {
    pub(crate) call: RunningCall<D>,
    pub(crate) head: AnswerHead,
    pub(crate) response: ClientResponse,
}

/// How an attempt ended without an answer.
#[derive(Debug)]
enum AttemptEnd {
    /// No connection; nothing reached the upstream.
    NotConnected,
    /// The upstream states that it did not run the request.
    Refused,
    /// The request may have run.
    Lost,
}

impl AttemptEnd {
    /// The end as the metrics show it.
    const fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::NotConnected => AttemptOutcome::NotConnected,
            Self::Refused => AttemptOutcome::Refused,
            Self::Lost => AttemptOutcome::Lost,
        }
    }
}

/// Attempts of one request.
#[derive(Debug)]
pub(crate) struct CallRunner<D: CallerDialect> {
    pub(crate) shared: Arc<EntryShared<D>>,
    pub(crate) request: Arc<CallerRequest>,
    /// Upstreams that the request was sent to.
    tried: Vec<UpstreamName>,
    /// Messages that reached an upstream, except for the first prompt that was read.
    arrivals: u32,
    /// Upstreams that the request was sent to in order to run it.
    runs: u32,
    connect_tries: u32,
    /// A prompt may have been read; a second reading would be an extra message.
    may_have_read: bool,
    /// Prompt that an engine keeps for the next attempt.
    prompt: Option<KeptPrompt<D>>,
    /// An attempt may have run.
    may_have_run: bool,
    /// Rank for the upstream.
    priority: u8,
    /// The next attempt is taken off the budget already.
    prepaid: bool,
}

impl<D: CallerDialect> CallRunner<D> {
    pub(crate) const fn new(shared: Arc<EntryShared<D>>, request: Arc<CallerRequest>) -> Self {
        Self {
            shared,
            request,
            tried: Vec::new(),
            arrivals: 0,
            runs: 0,
            connect_tries: 0,
            may_have_read: false,
            prompt: None,
            may_have_run: false,
            priority: 0,
            prepaid: false,
        }
    }

    /// Sends the request until an upstream answers; `resume_after` is the number of the last event
    /// that the caller has.
    pub(crate) async fn start(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<StartedAnswer<D>, CallFailure> {
        loop {
            let (reader, call) = self.choose(resume_after)?;
            let metrics = self.shared.metrics.clone();
            let end = match self.attempt(reader, call, resume_after).await {
                Ok(answer) => {
                    metrics.count_attempt(AttemptOutcome::Answered);
                    return Ok(answer);
                }
                Err(end) => end,
            };
            metrics.count_attempt(end.outcome());
            match end {
                AttemptEnd::NotConnected => self.connect_tries += 1,
                AttemptEnd::Refused => {}
                AttemptEnd::Lost => self.may_have_run = true,
            }
            if !self.may_try_again() {
                return Err(self.failure());
            }
        }
    }

    /// An answer has failed after its head; whether another attempt is allowed.
    pub(crate) fn lost_answer(&mut self) -> bool {
        self.may_have_run = true;
        self.may_try_again()
    }

    /// Failure for the caller, by what is known of the attempts.
    pub(crate) fn failure(&self) -> CallFailure {
        if !self.may_have_run {
            return refusal(Duration::ZERO);
        }
        if now() >= self.request.deadline {
            CallFailure::TimedOut
        } else {
            CallFailure::MayHaveRun
        }
    }

    /// Takes an extra attempt before the present one is given up; false if there is none.
    pub(crate) fn prepay(&mut self) -> bool {
        let route = &self.request.route;
        if !route.may_repeat() || self.runs + 1 >= route.max_attempts {
            return false;
        }
        self.prepaid = self.has_alternative() && self.take_extra();
        self.prepaid
    }

    /// Whether another upstream would take the request.
    fn has_alternative(&self) -> bool {
        let present = now();
        let demand = self.demand(None, present);
        self.shared.with_lane(&self.request.service, |lane| {
            lane.chooser.can_choose(&demand, present, &mut rand::rng())
        })
    }

    fn demand(&self, resume_after: Option<u64>, present: TimePoint) -> ChoiceRequest<'_> {
        let request = &self.request;
        ChoiceRequest {
            prompt: request.head.prompt.as_ref(),
            tried: &self.tried,
            time_left: request.deadline.since(present),
            time_to_target: request.target.since(present),
            entries: self.shared.entries(),
            allow_remote_prefill: !self.may_have_read && resume_after.is_none(),
        }
    }

    fn take_extra(&self) -> bool {
        let (grant, entries) = (&self.shared.options.retry_grant, self.shared.entries());
        let granted = self.shared.with_lane(&self.request.service, |lane| {
            lane.budget.spend(grant, entries, now())
        });
        self.shared.metrics.count_extra_attempt(granted);
        granted
    }

    fn may_try_again(&mut self) -> bool {
        let route = &self.request.route;
        let present = now();
        if present >= self.request.deadline || (self.may_have_run && !route.may_repeat()) {
            return false;
        }
        if self.arrivals == 0 {
            return self.connect_tries < MAX_CONNECT_TRIES;
        }
        if self.runs >= route.max_attempts || self.connect_tries >= MAX_CONNECT_TRIES {
            return false;
        }
        std::mem::take(&mut self.prepaid) || self.take_extra()
    }

    /// Chooses upstreams; the first one, if any, only reads the prompt.
    fn choose(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<(Option<RunningCall<D>>, RunningCall<D>), CallFailure> {
        let request = &self.request;
        let present = now();
        let demand = self.demand(resume_after, present);
        let chosen = self.shared.with_lane(&request.service, |lane| {
            lane.chooser.choose(&demand, present, &mut rand::rng())
        });
        let plan = match chosen {
            Ok(plan) => plan,
            Err(reason) => {
                self.shared.metrics.count_refusal(reason);
                tracing::info!(
                    event = LogEvent::RequestRefused.number(),
                    request = request.head.request_id,
                    service = %request.service,
                    ?reason,
                    tried = self.tried.len(),
                    time_left_ms = demand.time_left.as_millis() as u64,
                    target_left_ms = demand.time_to_target.as_millis() as u64,
                    "no upstream takes a request"
                );
                return Err(self.no_upstream(reason));
            }
        };
        let call = |chosen, organisation| {
            let shared = Arc::clone(&self.shared);
            RunningCall::new(
                shared,
                request.service.clone(),
                request.route.kind,
                chosen,
                organisation,
                present,
            )
        };
        if let Some(part) = demand.prompt.and_then(PromptShape::shared_part) {
            let runner = &plan.serving_upstream.announcement.name;
            self.shared.note_placement(part, runner, present);
        }
        let late = plan.timing == CallTiming::Late;
        self.priority = request.priority + if late { LATE_PRIORITY_OFFSET } else { 0 };
        // Usage counts runs, and reading a prompt is none.
        let reader = plan.prefill_upstream.map(|reader| call(reader, None));
        Ok((
            reader,
            call(plan.serving_upstream, request.organisation.clone()),
        ))
    }

    fn no_upstream(&self, reason: NoUpstream) -> CallFailure {
        match reason {
            _ if self.may_have_run => self.failure(),
            NoUpstream::Full(wait) => refusal(wait),
            NoUpstream::None => refusal(Duration::ZERO),
        }
    }

    async fn attempt(
        &mut self,
        reader: Option<RunningCall<D>>,
        mut call: RunningCall<D>,
        resume_after: Option<u64>,
    ) -> Result<StartedAnswer<D>, AttemptEnd> {
        if let Some(reader) = reader {
            self.read_prompt(reader).await?;
        }
        let prompt = self.prompt.take();
        let stage = match &prompt {
            Some(kept) => AttemptStage::Decode(&kept.handle),
            None => AttemptStage::Whole,
        };
        call.restart(now());
        let sent = self.send(&call, stage, resume_after).await;
        if matches!(sent, Err(AttemptEnd::Lost)) {
            call.lost();
        }
        if matches!(sent, Err(AttemptEnd::NotConnected)) {
            self.prompt = prompt;
        } else {
            self.runs += 1;
            self.arrivals += 1;
            if let Some(kept) = prompt.filter(|_| sent.is_ok()) {
                kept.taken();
            }
        }
        let (head, response) = sent?;
        if self.request.route.kind != CallKind::Stream {
            call.begin(now());
        }
        Ok(StartedAnswer {
            call,
            head,
            response,
        })
    }

    /// Lets an engine read the prompt for the one that runs the request.
    async fn read_prompt(&mut self, mut reader: RunningCall<D>) -> Result<(), AttemptEnd> {
        let sent = self.send(&reader, AttemptStage::Prefill, None).await;
        if !matches!(sent, Err(AttemptEnd::NotConnected)) {
            self.may_have_read = true;
        }
        let (head, response) = match sent {
            Ok(answer) => answer,
            // Reading a prompt is no run.
            Err(AttemptEnd::Lost | AttemptEnd::Refused) => return Err(self.unread()),
            Err(end) => return Err(end),
        };
        let engine = reader.chosen.announcement.address;
        let time_left = self.request.deadline.since(now());
        let success = response.status().is_success();
        let body =
            response.collect_with_idle_limit(MAX_REFUSAL_BYTES, time_left, idle_limit(&head));
        let body = body.await.ok().filter(|_| success);
        let handle = body.and_then(|body| self.shared.dialect.decode_prompt_handle(&body));
        let Some(handle) = handle else {
            reader.record(UpstreamOutcome::Failed, now());
            return Err(self.unread());
        };
        reader.begin(now());
        reader.record(UpstreamOutcome::Answered, now());
        self.prompt = Some(KeptPrompt {
            shared: Arc::clone(&self.shared),
            handle: PromptHandle { engine, handle },
            taken: false,
        });
        Ok(())
    }

    /// A message to an engine has arrived, but the prompt was not read.
    const fn unread(&mut self) -> AttemptEnd {
        self.arrivals += 1;
        AttemptEnd::Refused
    }

    /// Sends the request to one upstream and waits for the head of the answer.
    async fn send(
        &mut self,
        call: &RunningCall<D>,
        stage: AttemptStage<'_>,
        resume_after: Option<u64>,
    ) -> Result<(AnswerHead, ClientResponse), AttemptEnd> {
        let request = &self.request;
        let upstream = &call.chosen.announcement;
        let time_left = request.deadline.since(now());
        let attempt = AttemptHead {
            upstream: &upstream.name,
            organisation: request.organisation.as_ref(),
            time_left,
            priority: self.priority,
            resume_after,
            stage,
            fetch_from: call.chosen.fetch_from,
        };
        let fields = self
            .shared
            .dialect
            .attempt_fields(&request.fields, &attempt);
        let mut message = Request::new(Full::new(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = request.uri.clone();
        *message.headers_mut() = fields;
        self.tried.push(upstream.name.clone());
        let patience = self.patience(call.chosen.expected_first_answer);
        let client = self.shared.client.clone();
        let sending = client.send(upstream.address, message, time_left);
        tokio::pin!(sending);
        let sent = match timeout(patience, &mut sending).await {
            Ok(sent) => sent,
            // An upstream that answers others will come to this request too.
            Err(_) if call.upstream_answers() || !self.prepay() => sending.await,
            Err(_) => {
                tracing::info!(
                    event = LogEvent::AttemptFailed.number(),
                    request = self.request.head.request_id,
                    upstream = %upstream.name,
                    patience_ms = patience.as_millis() as u64,
                    "an attempt is given up for another one"
                );
                call.record(UpstreamOutcome::Failed, now());
                return Err(AttemptEnd::Lost);
            }
        };
        let response = match sent {
            Ok(response) => response,
            Err(error) => return Err(self.failed(call, &error)),
        };
        let head = self
            .shared
            .dialect
            .decode_answer(response.status(), response.headers());
        if head.not_run {
            let status = response.status();
            tracing::debug!(upstream = %upstream.name, %status, "refused by the upstream");
            call.refused(now());
            recycle(response, &head).await;
            return Err(AttemptEnd::Refused);
        }
        if head.request_id != self.request.head.request_id {
            // A late answer to another request; dropping it closes the connection.
            tracing::warn!(
                event = LogEvent::AttemptFailed.number(),
                upstream = %upstream.name,
                request = self.request.head.request_id,
                answered = head.request_id,
                "an answer belongs to another request"
            );
            return Err(AttemptEnd::Lost);
        }
        Ok((head, response))
    }

    /// Takes the failure of an attempt.
    fn failed(&self, call: &RunningCall<D>, error: &SendError) -> AttemptEnd {
        tracing::info!(
                    event = LogEvent::AttemptFailed.number(),
                    request = self.request.head.request_id,
            upstream = %call.chosen.announcement.name,
            %error,
            "an attempt got no answer"
        );
        let timed_out = matches!(error, SendError::AnswerTimeout { .. });
        if !(timed_out && call.upstream_answers()) {
            call.record(UpstreamOutcome::Failed, now());
        }
        if error.verdict() == RunVerdict::NotRun {
            return AttemptEnd::NotConnected;
        }
        AttemptEnd::Lost
    }

    /// Wait for the head of an answer after which another attempt may be better.
    fn patience(&self, expected: Duration) -> Duration {
        let route = &self.request.route;
        let usual = expected.max(route.answer_target) * PATIENCE_FACTOR;
        usual.max(MIN_PATIENCE)
    }
}

/// A true refusal; the caller may return once there is room.
pub(crate) fn refusal(wait: Duration) -> CallFailure {
    let spread = Duration::from_millis(rand::rng().random_range(RETURN_MS));
    CallFailure::NotRun {
        retry_after: wait + spread,
    }
}

/// Bodies of refusals are short; a longer one is not worth its connection.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// Longest wait for the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Reads the body of a refusal, so that the connection can be used again.
async fn recycle(response: ClientResponse, head: &AnswerHead) {
    let limit = idle_limit(head);
    let body = response.collect_with_idle_limit(MAX_REFUSAL_BYTES, REFUSAL_TIMEOUT, limit);
    if let Err(error) = body.await {
        tracing::debug!(%error, "the body of a refusal broke off");
    }
}

/// Margin before the end of a server's idle timeout: a request must not cross the server's close.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);

/// Longest idle time of a connection whose server states no timeout. Servers of unknown timeouts
/// close after a few seconds; some drop idle connections without notice, and an old connection is
/// the more likely to be one.
const UNKNOWN_IDLE: Duration = Duration::from_secs(2);

/// Time for which the connection of an answer may be kept idle.
pub(crate) fn idle_limit(head: &AnswerHead) -> Duration {
    head.keep_alive
        .map_or(UNKNOWN_IDLE, |limit| limit.saturating_sub(CLOSE_MARGIN))
}
