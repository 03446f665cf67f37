//! Runs the attempts of one call until an upstream begins to answer: choice of the upstream,
//! retries and hedges.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::BootClock;
use oriolecrank_policy::TokenCount;
use oriolecrank_policy::hedge::FirstAttempt;
use oriolecrank_policy::upstream_chooser::ChoiceRequest;
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::document::UpstreamId;
use oriolecrank_schema::event::LogEvent;
use tokio::time::sleep;

use crate::attempt_stream::{AttemptError, CallSafety};
use crate::call_plan::CallPlan;
use crate::entry_context::EntryContext;
use crate::entry_metrics::RetryKind;
use crate::retry_gate::is_planned;
use crate::running_attempt::{AttemptParams, DEADLINE_EXCEEDED, RunningAttempt};
use crate::suspect_gate::{
    FINGERPRINT_REFUSED, RerunDecision, SUSPECT_HELD, SuspectPermit, SuspectRerun, UPSTREAM_CRASHED,
};
use crate::upstream_pool::Dispatch;

/// Largest number of attempts of a request, including hedges.
const MAX_ATTEMPTS: u32 = 5;

/// Number of excluded upstreams at which the search for one with retry budget left ends.
const MAX_EXCLUDED_UPSTREAMS: usize = 4;

/// Error code of a call for which no upstream is available.
const NO_UPSTREAM: &str = "no_upstream";

/// Error code of an agent whose engine cannot continue an answer.
const RESUME_UNSUPPORTED: &str = "resume_unsupported";

/// Error codes after which another attempt would fail in the same way.
const FINAL_CODES: [&str; 6] = [
    "deadline_passed",
    DEADLINE_EXCEEDED,
    NO_UPSTREAM,
    RESUME_UNSUPPORTED,
    FINGERPRINT_REFUSED,
    SUSPECT_HELD,
];

/// Runs the attempts of one call.
#[derive(Debug)]
pub struct CallRunner {
    context: Arc<EntryContext>,
    plan: Arc<CallPlan>,
    /// Attempts started so far, including hedges.
    attempts: u32,
    /// Upstreams at which an attempt has failed; others are preferred.
    failed: Vec<UpstreamId>,
    /// Version of the upstream that began the answer of which the caller has a part.
    version: Option<String>,
    /// The next attempt continues that answer.
    continues: bool,
    /// An attempt may have run, so the call as a whole may have run.
    may_have_run: bool,
    /// An attempt was running when its upstream crashed.
    crashed: bool,
    /// Permission under which the current attempt runs if the call is a suspect; `None` otherwise.
    suspect_permit: Option<Box<SuspectPermit>>,
    /// Failure because of which the next attempt is charged to the retry budgets; `None` before the
    /// first attempt and after a refusal because of a planned change.
    budgeted_failure: Option<AttemptError>,
}

impl CallRunner {
    /// Creates a runner for a call of which no attempt has been sent.
    pub fn new(context: Arc<EntryContext>, plan: Arc<CallPlan>) -> Self {
        Self {
            context,
            plan,
            attempts: 0,
            failed: Vec::new(),
            version: None,
            continues: false,
            may_have_run: false,
            crashed: false,
            suspect_permit: None,
            budgeted_failure: None,
        }
    }

    /// The call that is run.
    pub fn plan(&self) -> &CallPlan {
        &self.plan
    }

    /// State shared by all requests.
    pub fn context(&self) -> &Arc<EntryContext> {
        &self.context
    }

    /// Runs attempts until one begins to answer.
    ///
    /// # Errors
    ///
    /// Returns the last failure. Its verdict covers all attempts: if any of them may have run, the
    /// call may have run.
    pub async fn open(&mut self) -> Result<RunningAttempt, AttemptError> {
        self.open_from(0).await
    }

    /// Runs the call again after an answer has failed with `error`. If the caller already has
    /// `delivered` output tokens, the new attempt continues the answer after them.
    ///
    /// # Errors
    ///
    /// Returns the last failure, with the verdict over all attempts, if the call cannot be run
    /// again.
    pub async fn reopen(
        &mut self,
        error: AttemptError,
        delivered: u64,
    ) -> Result<RunningAttempt, AttemptError> {
        let kind = if delivered > 0 {
            RetryKind::Continue
        } else {
            RetryKind::Retry
        };
        self.prepare_retry(error, kind).await?;
        self.open_from(delivered).await
    }

    /// Records that `upstream` has answered completely: adds to the retry budgets and clears a
    /// suspect.
    pub fn record_success(&mut self, upstream: &UpstreamId) {
        let now = BootClock.now();
        self.context
            .retries
            .record_success(&self.plan, upstream, now);
        if let Some(permit) = self.suspect_permit.take() {
            permit.clear();
        }
    }

    async fn open_from(&mut self, resume_tokens: u64) -> Result<RunningAttempt, AttemptError> {
        loop {
            match self.try_once(resume_tokens).await {
                Ok(attempt) => return Ok(attempt),
                Err(error) => {
                    let kind = if resume_tokens > 0 {
                        RetryKind::Continue
                    } else {
                        RetryKind::Retry
                    };
                    self.prepare_retry(error, kind).await?;
                }
            }
        }
    }

    async fn try_once(&mut self, resume_tokens: u64) -> Result<RunningAttempt, AttemptError> {
        self.suspect_permit = None;
        self.continues = resume_tokens > 0;
        let dispatch = self.choose_permitted().await?;
        let upstream = dispatch.upstream().clone();
        let hedge_after = (resume_tokens == 0).then(|| self.hedge_after(&dispatch));
        let mut params = self.next_params(dispatch);
        params.resume_tokens = resume_tokens;
        let first = self.start(params);
        let result = match hedge_after.flatten() {
            Some(delay) => self.run_hedged(first, &upstream, delay).await,
            None => first.await,
        };
        match &result {
            Ok(attempt) if !self.continues => {
                let (pool, service) = (&self.context.pool, self.plan.service());
                self.version = pool.version_of(service, attempt.upstream());
            }
            Ok(_) => {}
            Err(_) => self.failed.push(upstream),
        }
        result
    }

    /// Starts an attempt. The future is boxed because it is much larger than the others.
    fn start(
        &self,
        params: AttemptParams,
    ) -> Pin<Box<impl Future<Output = Result<RunningAttempt, AttemptError>> + Send + use<>>> {
        let (context, plan) = (Arc::clone(&self.context), Arc::clone(&self.plan));
        Box::pin(RunningAttempt::start(context, plan, params))
    }

    /// Parameters of the next attempt, which gets the next number.
    fn next_params(&mut self, dispatch: Dispatch) -> AttemptParams {
        self.attempts += 1;
        AttemptParams::from_dispatch(self.attempts, dispatch)
    }

    /// Chooses an upstream and, if the call is a suspect, obtains the permission to run it there.
    async fn choose_permitted(&mut self) -> Result<Dispatch, AttemptError> {
        let context = Arc::clone(&self.context);
        let checked = SuspectRerun::check(&context, &self.plan, self.crashed).await?;
        let Some(mut rerun) = checked else {
            return self.choose_within_budget(&[]);
        };
        loop {
            let dispatch = self.choose_within_budget(rerun.excluded())?;
            if let RerunDecision::Run(permit) = rerun.ask(&context, &self.plan, &dispatch).await? {
                self.suspect_permit = permit;
                return Ok(dispatch);
            }
        }
    }

    /// Chooses an upstream and, for a retry, charges the retry budgets. Upstreams without budget
    /// are skipped.
    fn choose_within_budget(&mut self, excluded: &[UpstreamId]) -> Result<Dispatch, AttemptError> {
        let mut excluded = excluded.to_vec();
        loop {
            let dispatch = self.choose(&excluded)?;
            let Some(error) = &self.budgeted_failure else {
                return Ok(dispatch);
            };
            let upstream = dispatch.upstream();
            let now = BootClock.now();
            if self.context.retries.spend(&self.plan, upstream, now) {
                return Ok(dispatch);
            }
            if excluded.contains(upstream) || excluded.len() >= MAX_EXCLUDED_UPSTREAMS {
                let error = error.clone();
                // Makes `prepare_retry` return the error.
                self.attempts = self.attempts.max(MAX_ATTEMPTS);
                return Err(error);
            }
            excluded.push(upstream.clone());
        }
    }

    fn choose(&mut self, excluded: &[UpstreamId]) -> Result<Dispatch, AttemptError> {
        let mut excluded = excluded.to_vec();
        if self.continues {
            let (pool, service) = (&self.context.pool, self.plan.service());
            excluded.extend(pool.of_other_versions(service, self.version.as_deref()));
        }
        let mut all: Vec<UpstreamId> = self.failed.clone();
        all.extend_from_slice(&excluded);
        if let Some(dispatch) = choose(&self.context, &self.plan, &all) {
            return Ok(dispatch);
        }
        // Without another upstream, those at which the call has failed are tried again.
        self.failed.clear();
        let chosen = choose(&self.context, &self.plan, &excluded);
        chosen.ok_or_else(|| self.no_upstream_error())
    }

    /// Error of a call for which no upstream is available. If all of them ask for a pause, it states
    /// when the first one ends.
    fn no_upstream_error(&self) -> AttemptError {
        let now = BootClock.now();
        let pause = self.context.pool.common_pause(self.plan.service(), now);
        let retry_after = pause.map(|pause| pause.return_time(now));
        match &self.budgeted_failure {
            Some(error) => AttemptError {
                code: NO_UPSTREAM.to_owned(),
                retry_after: retry_after.or(error.retry_after),
                ..error.clone()
            },
            None => {
                let message = "no upstream of the service is available";
                AttemptError {
                    retry_after,
                    ..AttemptError::new(RunVerdict::NotRun, NO_UPSTREAM, message)
                }
            }
        }
    }

    /// Delay after which a hedge is started if the attempt has not begun to answer; `None` if the
    /// attempt is not hedged.
    fn hedge_after(&self, dispatch: &Dispatch) -> Option<Duration> {
        if self.suspect_permit.is_some() {
            return None;
        }
        let now = BootClock.now();
        let first = FirstAttempt {
            class: self.plan.template.class.into(),
            idempotent: self.plan.safety == CallSafety::Repeatable,
            sent_at: now,
            deadline: self.plan.deadline,
        };
        dispatch.hedge_at(&first).map(|at| at.since(now))
    }

    /// Waits for `first` and, if it has not begun to answer after `delay`, sends the call to a
    /// second upstream as well. Returns the attempt that begins to answer first; the other one is
    /// cancelled.
    async fn run_hedged(
        &mut self,
        first: impl Future<Output = Result<RunningAttempt, AttemptError>>,
        upstream: &UpstreamId,
        delay: Duration,
    ) -> Result<RunningAttempt, AttemptError> {
        tokio::pin!(first);
        tokio::select! {
            result = &mut first => return result,
            () = sleep(delay) => {}
        }
        let Some(params) = self.hedge_params(upstream) else {
            return first.await;
        };
        let second = self.start(params);
        tokio::pin!(second);
        let (result, pending) = tokio::select! {
            result = &mut first => (result, PendingAttempt::Second),
            result = &mut second => (result, PendingAttempt::First),
        };
        match (result, pending) {
            (Ok(attempt), _) => Ok(attempt),
            (Err(error), pending) => {
                self.record_failure(&error);
                match pending {
                    PendingAttempt::First => first.await,
                    PendingAttempt::Second => second.await,
                }
            }
        }
    }

    /// Parameters of a hedge on another upstream than `first`; `None` if there is none, or no
    /// attempt or retry budget is left.
    fn hedge_params(&mut self, first: &UpstreamId) -> Option<AttemptParams> {
        if self.attempts >= MAX_ATTEMPTS {
            return None;
        }
        let dispatch = choose(&self.context, &self.plan, std::slice::from_ref(first))?;
        let upstream = dispatch.upstream();
        let now = BootClock.now();
        if !self.context.retries.spend(&self.plan, upstream, now) {
            return None;
        }
        let service = self.plan.service();
        self.context.metrics.count_retry(service, RetryKind::Hedge);
        Some(self.next_params(dispatch))
    }

    fn record_failure(&mut self, error: &AttemptError) {
        let event = LogEvent::RequestFailed.number();
        let (request_id, attempt) = (self.plan.request_id(), self.attempts);
        let (code, verdict) = (error.code.as_str(), error.verdict.to_string());
        tracing::warn!(event, request_id, attempt, code, verdict, "attempt failed");
        self.may_have_run |= error.verdict == RunVerdict::MayHaveRun;
        self.crashed |= error.code == UPSTREAM_CRASHED;
    }

    /// Waits before the next attempt, or returns the error if the call is not run again.
    async fn prepare_retry(
        &mut self,
        error: AttemptError,
        kind: RetryKind,
    ) -> Result<(), AttemptError> {
        self.record_failure(&error);
        if error.verdict == RunVerdict::NotRun
            && let Some(permit) = self.suspect_permit.take()
        {
            permit.release().await;
        }
        // Only `ClaimRunner` runs a claimed call again.
        let claimed = self.plan.safety == CallSafety::Claimed;
        let is_final = FINAL_CODES.contains(&&*error.code);
        if claimed || is_final || self.attempts >= MAX_ATTEMPTS {
            return Err(self.final_error(error));
        }
        let now = BootClock.now();
        let retries = &self.context.retries;
        let Some(delay) = retries.delay(&self.plan, self.attempts, &error, now) else {
            return Err(self.final_error(error));
        };
        let planned = is_planned(&error);
        self.budgeted_failure = (!planned).then_some(error);
        self.context.metrics.count_retry(self.plan.service(), kind);
        sleep(delay).await;
        Ok(())
    }

    fn final_error(&self, mut error: AttemptError) -> AttemptError {
        if self.may_have_run {
            error.verdict = RunVerdict::MayHaveRun;
        }
        error
    }
}

/// Which of two concurrent attempts has not ended yet.
#[derive(Debug, Clone, Copy)]
enum PendingAttempt {
    First,
    Second,
}

/// Chooses an upstream for a call and counts the call as sent to it; `None` if no upstream is
/// available.
pub fn choose(
    context: &EntryContext,
    plan: &CallPlan,
    excluded: &[UpstreamId],
) -> Option<Dispatch> {
    let request = choice_request(plan, excluded);
    let chosen = context
        .pool
        .choose(plan.service(), &request, BootClock.now());
    chosen.ok()
}

/// Properties of a call by which an upstream is chosen. `excluded` upstreams are not chosen.
pub fn choice_request<'a>(plan: &'a CallPlan, excluded: &'a [UpstreamId]) -> ChoiceRequest<'a> {
    ChoiceRequest {
        class: plan.template.class.into(),
        model: plan.model.as_deref(),
        prompt: TokenCount::new(plan.template.prompt_tokens),
        output: TokenCount::new(plan.template.max_output_tokens),
        prefixes: &plan.prefixes,
        deadline: plan.deadline,
        excluded,
    }
}
