//! Runs non-idempotent calls with an idempotency key at most once.
//!
//! The control group commits a claim before the call is sent to an agent. The claim names the only
//! agent incarnation that may run the call, and that agent runs it once, however often it is sent.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Response, StatusCode};
use oriolecrank_net::{AnswerBody, BootClock};
use oriolecrank_policy::answer_assembly::AnswerHead;
use oriolecrank_schema::control::{Command, CommandOutcome, StoredAnswer};
use oriolecrank_schema::data_path::{ClaimTicket, RunVerdict};
use oriolecrank_schema::document::UpstreamId;
use oriolecrank_schema::event::LogEvent;
use oriolecrank_schema::failure_code::CLAIM_REFUSED;
use rand::Rng as _;
use tokio::time::sleep;

use crate::answer_delivery::{CollectedAnswer, WholeAnswer, collect, stream_rest};
use crate::attempt_stream::AttemptError;
use crate::call_plan::CallPlan;
use crate::call_runner::{CallRunner, choose};
use crate::caller_answer::{CallerError, whole_seconds};
use crate::entry_context::EntryContext;
use crate::entry_metrics::RequestOutcome;
use crate::request_tracker::RequestTracker;
use crate::running_attempt::{AttemptParams, RunningAttempt};
use crate::suspect_gate::check_fingerprint;
use crate::upstream_pool::Dispatch;

/// Time limit for committing a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Range of the random delay before a claim is opened again, in milliseconds.
const ROUND_DELAY_MS: std::ops::Range<u64> = 20..100;

/// Largest number of rounds of one request. Each round sends one `OpenClaim` command.
const MAX_ROUNDS: u32 = 8;

/// Result of one round: opening the claim and, if it allows a run, sending the call.
#[derive(Debug)]
enum ClaimRound {
    /// The agent has started to answer.
    Begun(Box<RunningAttempt>),
    /// An earlier request with the same key has run; its answer was stored with the claim.
    Stored(WholeAnswer),
    /// Another round may succeed; the error is returned if there is none.
    Retry(CallerError),
}

/// Runs one non-idempotent call under its claim.
#[derive(Debug)]
pub struct ClaimRunner {
    context: Arc<EntryContext>,
    plan: Arc<CallPlan>,
    /// Digest of the idempotency key.
    idempotency_digest: String,
    /// Upstreams that refused the claim or for which it was not committed; avoided while there are
    /// others.
    excluded: Vec<UpstreamId>,
    attempts: u32,
    /// The agent that holds the claim may have received the call, from this or another entry.
    may_have_run: bool,
}

impl ClaimRunner {
    /// Creates a runner for a call whose claim is not open yet.
    pub fn new(
        context: Arc<EntryContext>,
        plan: Arc<CallPlan>,
        idempotency_digest: String,
    ) -> Self {
        Self {
            context,
            plan,
            idempotency_digest,
            excluded: Vec::new(),
            attempts: 0,
            may_have_run: false,
        }
    }

    /// Runs the call and sends its answer to the caller.
    pub async fn deliver(
        mut self,
        mut tracker: RequestTracker,
    ) -> Result<Response<AnswerBody>, CallerError> {
        let result = self.run(&mut tracker).await;
        let collected = match result {
            Ok(collected) => collected,
            Err(error) => {
                tracker.finish(RequestOutcome::Failed);
                return Err(error);
            }
        };
        match collected {
            CollectedAnswer::Whole(answer) => {
                tracker.finish(RequestOutcome::Answered);
                Ok(answer.response())
            }
            CollectedAnswer::Large { received, attempt } => {
                let runner = CallRunner::new(self.context, self.plan);
                Ok(stream_rest(runner, received, *attempt, tracker))
            }
        }
    }

    async fn run(&mut self, tracker: &mut RequestTracker) -> Result<CollectedAnswer, CallerError> {
        check_fingerprint(&self.context, &self.plan)?;
        let mut round = 1;
        loop {
            let error = match self.run_round().await? {
                ClaimRound::Stored(answer) => {
                    tracker.record_first_byte();
                    return Ok(CollectedAnswer::Whole(answer));
                }
                ClaimRound::Begun(attempt) => {
                    tracker.record_first_byte();
                    match self.collect(*attempt).await {
                        Ok(collected) => return Ok(collected),
                        // The next round learns from the claim whether the answer was stored.
                        Err(error) => self.record_failure(error),
                    }
                }
                ClaimRound::Retry(error) => error,
            };
            let now = BootClock.now();
            if round >= MAX_ROUNDS || self.plan.time_left(now).is_zero() {
                return Err(error);
            }
            round += 1;
            let delay = rand::rng().random_range(ROUND_DELAY_MS);
            sleep(Duration::from_millis(delay)).await;
        }
    }

    async fn collect(&self, attempt: RunningAttempt) -> Result<CollectedAnswer, AttemptError> {
        let context = Arc::clone(&self.context);
        let mut runner = CallRunner::new(context, Arc::clone(&self.plan));
        collect(&mut runner, attempt).await
    }

    /// Error of a call for which no upstream is available; states when the first one ends its pause,
    /// if all of them ask for one.
    fn no_upstream(&self) -> CallerError {
        let now = BootClock.now();
        let pause = self.context.pool.common_pause(self.plan.service(), now);
        let wait = pause.map(|pause| pause.return_time(now));
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let message = "no upstream of the service is available; retry later";
        CallerError::not_run(status, "no_upstream", message)
            .with_retry_after(whole_seconds(wait.unwrap_or_default()))
    }

    /// Opens the claim and acts on its outcome.
    async fn run_round(&mut self) -> Result<ClaimRound, CallerError> {
        let dispatch = choose(&self.context, &self.plan, &self.excluded);
        let dispatch = match dispatch {
            Some(dispatch) => dispatch,
            None => {
                self.excluded.clear();
                choose(&self.context, &self.plan, &[]).ok_or_else(|| self.no_upstream())?
            }
        };
        match self.open(&dispatch).await? {
            CommandOutcome::ClaimGranted { ticket } => Ok(self.send(ticket, Some(dispatch)).await),
            CommandOutcome::ClaimRunning { ticket } => {
                self.may_have_run = true;
                drop(dispatch);
                Ok(self.send(ticket, None).await)
            }
            CommandOutcome::ClaimCompleted { answer } => {
                stored_answer(answer).map(ClaimRound::Stored)
            }
            CommandOutcome::ClaimMayHaveRun => {
                let message = "the upstream that held the call is gone; \
                               check whether the call ran before sending it again";
                Err(CallerError::may_have_run("claim_may_have_run", message))
            }
            CommandOutcome::ClaimMismatch => {
                let status = StatusCode::UNPROCESSABLE_ENTITY;
                let message = "the idempotency key was used with another request; use a new key";
                Err(CallerError::not_run(status, "claim_mismatch", message))
            }
            CommandOutcome::ClaimLimit => {
                let status = StatusCode::TOO_MANY_REQUESTS;
                let message = "the organisation has too many open claims; retry later";
                let error = CallerError::not_run(status, "claim_limit", message);
                Err(error.with_retry_after(60))
            }
            outcome => {
                let event = LogEvent::ClaimFailed.number();
                let request_id = self.plan.request_id();
                tracing::warn!(
                    event,
                    request_id,
                    ?outcome,
                    "claim not opened; its upstream is excluded from the next rounds"
                );
                self.excluded.push(dispatch.upstream().clone());
                Ok(ClaimRound::Retry(claim_unavailable()))
            }
        }
    }

    /// Asks control to commit the claim and returns its answer. If the outcome is unknown, the call
    /// fails without being sent to an agent.
    async fn open(&self, dispatch: &Dispatch) -> Result<CommandOutcome, CallerError> {
        let organisation = self.plan.organisation.clone();
        let command = Command::OpenClaim {
            body_digest: self.plan.template.fingerprint.clone(),
            incarnation: dispatch.incarnation(),
            key_digest: self.idempotency_digest.clone(),
            organisation: organisation.expect("claims belong to an organisation"),
            request_id: self.plan.template.request_id.clone(),
            service: self.plan.service().clone(),
            upstream: dispatch.upstream().clone(),
        };
        let left = self.plan.time_left(BootClock.now());
        let time_limit = CLAIM_TIMEOUT.min(left);
        let outcome = self.context.control.command(&command, time_limit).await;
        outcome.map_err(|error| {
            let event = LogEvent::ClaimFailed.number();
            let request_id = self.plan.request_id();
            tracing::warn!(
                event,
                request_id,
                %error,
                "outcome of the claim unknown; the call is not sent"
            );
            let mut refusal = claim_unavailable();
            if self.may_have_run {
                refusal.verdict = RunVerdict::MayHaveRun;
            }
            refusal
        })
    }

    /// Sends the call to the agent that the claim names. `dispatch` is `None` if the call already
    /// runs there.
    async fn send(&mut self, ticket: ClaimTicket, dispatch: Option<Dispatch>) -> ClaimRound {
        let view = self.context.state.view();
        let holder = view.upstream(&ticket.upstream, ticket.incarnation);
        let address = holder.and_then(|record| record.address.parse().ok());
        let Some(address) = address else {
            // The subscription may not have delivered the upstream yet, or has removed it; the next
            // round asks control again.
            let message = "the upstream that holds the call is unknown to this entry; \
                           retry with the same idempotency key";
            return ClaimRound::Retry(CallerError {
                verdict: self.verdict(),
                ..CallerError::may_have_run("claim_upstream_unknown", message)
            });
        };
        let joins_running_call = dispatch.is_none();
        self.attempts += 1;
        let params = AttemptParams {
            attempt: self.attempts,
            address,
            incarnation: ticket.incarnation,
            upstream: ticket.upstream.clone(),
            dispatch,
            resume_tokens: 0,
            claim: Some(ticket.clone()),
        };
        let (context, plan) = (Arc::clone(&self.context), Arc::clone(&self.plan));
        match Box::pin(RunningAttempt::start(context, plan, params)).await {
            Ok(mut attempt) => {
                self.may_have_run = true;
                if joins_running_call {
                    attempt.discard_usage();
                }
                ClaimRound::Begun(Box::new(attempt))
            }
            Err(error) if error.code == CLAIM_REFUSED => {
                // The agent has never run the claim and never will.
                self.may_have_run = false;
                self.excluded.push(ticket.upstream);
                ClaimRound::Retry(error.into())
            }
            Err(error) => ClaimRound::Retry(self.record_failure(error)),
        }
    }

    /// Logs a failed attempt. Returns the error for the caller, with the verdict over all attempts.
    fn record_failure(&mut self, mut error: AttemptError) -> CallerError {
        let event = LogEvent::RequestFailed.number();
        let (request_id, attempt) = (self.plan.request_id(), self.attempts);
        let (code, verdict) = (error.code.as_str(), error.verdict.to_string());
        tracing::warn!(event, request_id, attempt, code, verdict, "attempt failed");
        self.may_have_run |= error.verdict == RunVerdict::MayHaveRun;
        error.verdict = self.verdict();
        error.into()
    }

    fn verdict(&self) -> RunVerdict {
        if self.may_have_run {
            RunVerdict::MayHaveRun
        } else {
            RunVerdict::NotRun
        }
    }
}

/// Decodes the answer that was stored with the claim.
fn stored_answer(answer: Option<StoredAnswer>) -> Result<WholeAnswer, CallerError> {
    let Some(answer) = answer else {
        let message = "the call has run, but its answer was too large to store";
        return Err(CallerError::may_have_run("answer_not_kept", message));
    };
    let Ok(body) = STANDARD.decode(&answer.body) else {
        let message = "the call has run, but its stored answer is not valid base64";
        return Err(CallerError::may_have_run("answer_not_kept", message));
    };
    let head = AnswerHead {
        status: answer.status,
        headers: answer.headers,
    };
    let body = Bytes::from(body);
    Ok(WholeAnswer { head, body })
}

fn claim_unavailable() -> CallerError {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let message =
        "the claim of the call could not be committed; retry with the same idempotency key";
    CallerError::not_run(status, "claim_unavailable", message).with_retry_after(1)
}
