//! Attempts of one call until an answer has begun.

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
use crate::running_attempt::{AttemptOrder, DEADLINE_EXCEEDED, RunningAttempt};
use crate::suspect_gate::{
    FINGERPRINT_REFUSED, RerunAnswer, SUSPECT_HELD, SuspectPermit, SuspectRerun, UPSTREAM_CRASHED,
};
use crate::upstream_pool::Dispatch;

/// Attempts of one request at most, hedges included.
const MAX_ATTEMPTS: u32 = 5;

/// Upstreams that are looked at for one whose retry budget is left.
const MAX_BUDGET_CHOICES: usize = 4;

/// Code of a call that no upstream can take.
const NO_UPSTREAM: &str = "no_upstream";

/// Code with which an agent says that its engine cannot continue an answer.
const RESUME_UNSUPPORTED: &str = "resume_unsupported";

/// Failures after which another attempt would fail in the same way.
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
    /// Attempts so far.
    attempts: u32,
    /// Upstreams that have failed the call.
    failed: Vec<UpstreamId>,
    /// An attempt may have run, so that the call as a whole may have.
    may_have_run: bool,
    /// An attempt was running when its upstream crashed.
    crashed: bool,
    /// Held while a suspect runs.
    suspect: Option<Box<SuspectPermit>>,
    /// Failure after which the next attempt needs a retry budget; `None` before the first attempt
    /// and after refusals that a planned change causes.
    charged: Option<AttemptError>,
}

impl CallRunner {
    /// A runner for a call that has not been sent.
    pub fn new(context: Arc<EntryContext>, plan: Arc<CallPlan>) -> Self {
        Self {
            context,
            plan,
            attempts: 0,
            failed: Vec::new(),
            may_have_run: false,
            crashed: false,
            suspect: None,
            charged: None,
        }
    }

    /// The call.
    pub fn plan(&self) -> &CallPlan {
        &self.plan
    }

    /// What all requests share.
    pub fn context(&self) -> &Arc<EntryContext> {
        &self.context
    }

    /// Runs attempts until an answer begins.
    ///
    /// # Errors
    ///
    /// Returns the last failure, with the verdict over all attempts.
    pub async fn open(&mut self) -> Result<RunningAttempt, AttemptError> {
        self.open_from(0).await
    }

    /// Runs the call again after an answer broke, or continues it behind `delivered` tokens.
    ///
    /// # Errors
    ///
    /// Returns the failure if the call cannot be run again.
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

    /// The whole answer was passed on: counts the success and clears a suspect.
    pub fn succeed(&mut self, upstream: &UpstreamId) {
        let now = BootClock.now();
        self.context.retries.succeed(&self.plan, upstream, now);
        if let Some(permit) = self.suspect.take() {
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
        self.suspect = None;
        let dispatch = self.choose_allowed().await?;
        let upstream = dispatch.upstream().clone();
        let hedge_after = (resume_tokens == 0).then(|| self.hedge_after(&dispatch));
        let mut order = self.order(dispatch);
        order.resume_tokens = resume_tokens;
        let first = self.start(order);
        let result = match hedge_after.flatten() {
            Some(delay) => self.run_hedged(first, &upstream, delay).await,
            None => first.await,
        };
        if result.is_err() {
            self.failed.push(upstream);
        }
        result
    }

    /// Boxed, because the future of an attempt is much larger than the others.
    fn start(
        &self,
        order: AttemptOrder,
    ) -> Pin<Box<impl Future<Output = Result<RunningAttempt, AttemptError>> + Send + use<>>> {
        let (context, plan) = (Arc::clone(&self.context), Arc::clone(&self.plan));
        Box::pin(RunningAttempt::start(context, plan, order))
    }

    fn order(&mut self, dispatch: Dispatch) -> AttemptOrder {
        self.attempts += 1;
        AttemptOrder::from_dispatch(self.attempts, dispatch)
    }

    /// Chooses an upstream and, for a suspect, obtains the permission to run it there.
    async fn choose_allowed(&mut self) -> Result<Dispatch, AttemptError> {
        let context = Arc::clone(&self.context);
        let asked = SuspectRerun::check(&context, &self.plan, self.crashed).await?;
        let Some(mut rerun) = asked else {
            return self.choose_paid(&[]);
        };
        loop {
            let dispatch = self.choose_paid(rerun.excluded())?;
            if let RerunAnswer::Run(permit) = rerun.ask(&context, &self.plan, &dispatch).await? {
                self.suspect = permit;
                return Ok(dispatch);
            }
        }
    }

    /// Chooses an upstream and, for a retry, charges the budgets.
    fn choose_paid(&mut self, excluded: &[UpstreamId]) -> Result<Dispatch, AttemptError> {
        let mut excluded = excluded.to_vec();
        loop {
            let dispatch = self.choose(&excluded)?;
            let Some(error) = &self.charged else {
                return Ok(dispatch);
            };
            let upstream = dispatch.upstream();
            let now = BootClock.now();
            if self.context.retries.spend(&self.plan, upstream, now) {
                return Ok(dispatch);
            }
            if excluded.contains(upstream) || excluded.len() >= MAX_BUDGET_CHOICES {
                let error = error.clone();
                self.attempts = self.attempts.max(MAX_ATTEMPTS);
                return Err(error);
            }
            excluded.push(upstream.clone());
        }
    }

    fn choose(&mut self, excluded: &[UpstreamId]) -> Result<Dispatch, AttemptError> {
        let mut all: Vec<UpstreamId> = self.failed.clone();
        all.extend_from_slice(excluded);
        if let Some(dispatch) = choose(&self.context, &self.plan, &all) {
            return Ok(dispatch);
        }
        // Upstreams that have failed the call are better than none.
        self.failed.clear();
        let chosen = choose(&self.context, &self.plan, excluded);
        chosen.ok_or_else(|| match &self.charged {
            Some(error) => AttemptError {
                code: NO_UPSTREAM.to_owned(),
                ..error.clone()
            },
            None => {
                let message = "no upstream of the service is available";
                AttemptError::new(RunVerdict::NotRun, NO_UPSTREAM, message)
            }
        })
    }

    /// Time after which a slow attempt gets a second one beside it; `None` if it gets none.
    fn hedge_after(&self, dispatch: &Dispatch) -> Option<Duration> {
        if self.suspect.is_some() {
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

    /// Sends the call to a second upstream if the first one is slow; the answer that begins first
    /// wins and the other attempt is cancelled.
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
        let Some(order) = self.hedge_order(upstream) else {
            return first.await;
        };
        let second = self.start(order);
        tokio::pin!(second);
        let (result, other) = tokio::select! {
            result = &mut first => (result, OtherAttempt::Second),
            result = &mut second => (result, OtherAttempt::First),
        };
        match (result, other) {
            (Ok(attempt), _) => Ok(attempt),
            (Err(error), other) => {
                self.note_verdict(&error);
                match other {
                    OtherAttempt::First => first.await,
                    OtherAttempt::Second => second.await,
                }
            }
        }
    }

    fn hedge_order(&mut self, first: &UpstreamId) -> Option<AttemptOrder> {
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
        Some(self.order(dispatch))
    }

    fn note_verdict(&mut self, error: &AttemptError) {
        let event = LogEvent::RequestFailed.number();
        let (request_id, attempt) = (self.plan.request_id(), self.attempts);
        let (code, verdict) = (error.code.as_str(), error.verdict.to_string());
        tracing::warn!(event, request_id, attempt, code, verdict, "attempt failed");
        self.may_have_run |= error.verdict == RunVerdict::MayHaveRun;
        self.crashed |= error.code == UPSTREAM_CRASHED;
    }

    /// Waits before the next attempt, or returns the error if there is none.
    async fn prepare_retry(
        &mut self,
        error: AttemptError,
        kind: RetryKind,
    ) -> Result<(), AttemptError> {
        self.note_verdict(&error);
        if error.verdict == RunVerdict::NotRun
            && let Some(permit) = self.suspect.take()
        {
            permit.release().await;
        }
        // A claimed call is run again only through its claim.
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
        self.charged = (!planned).then_some(error);
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

/// The attempt that has not ended.
#[derive(Debug, Clone, Copy)]
enum OtherAttempt {
    First,
    Second,
}

/// Chooses an upstream for a call and counts the call as sent to it.
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

/// What the chooser has to know about a call.
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
