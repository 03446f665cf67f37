//! Admission of requests at this entry: limits of organisations, load of the entry, deadlines.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::StatusCode;
use oriolecrank_net::BootClock;
use oriolecrank_policy::TokenCount;
use oriolecrank_policy::admission::{
    self, AdmissionRefusal, AdmissionRequest, AdmissionSettings, AdmittedRequest,
};
use oriolecrank_policy::limit_key::{
    EntryCount, LimitKey, LimitShare, OrganisationLimit, RequestSize,
};
use oriolecrank_policy::rate_limiter::{LimitDemand, LimiterSettings, RateLimiter};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::PingAnswer;
use oriolecrank_schema::failure_code::UPSTREAM_PAUSED;
use oriolecrank_state::CheckedDocument;

use crate::call_plan::CallPlan;
use crate::call_runner::choice_request;
use crate::caller_answer::{CallerError, whole_seconds};
use crate::demand_meter::{DemandSample, call_shape};
use crate::entry_context::EntryContext;

/// Admission policy of this entry, shared by all requests.
#[derive(Debug)]
pub struct AdmissionControl {
    /// Lock order: locked alone and never across an await.
    policy: Mutex<admission::AdmissionControl>,
}

impl AdmissionControl {
    /// Creates an admission control without limits; [`Self::set_document`] sets them.
    pub fn new(settings: AdmissionSettings, limits: LimiterSettings) -> Self {
        let policy = admission::AdmissionControl::new(settings, RateLimiter::new(limits));
        Self {
            policy: Mutex::new(policy),
        }
    }

    /// Replaces all limits by those of a document.
    pub fn set_document(&self, document: &CheckedDocument) {
        let organisations = document.as_document().organisations.iter();
        let limits = organisations.flat_map(|organisation| {
            let name = &organisation.name;
            let limits = organisation.limits.iter();
            limits.map(|limit| {
                let key = LimitKey::from_config(name, limit);
                (key, OrganisationLimit::from(limit))
            })
        });
        self.policy().limiter().set_limits(limits);
    }

    /// Replaces this entry's shares of the limits by those in the answer to a ping.
    ///
    /// Their lifetime counts from `sent_at`, when the ping was sent, so that a delayed answer
    /// cannot keep a share valid for longer than the control leader accounts for.
    pub fn set_shares(&self, answer: &PingAnswer, sent_at: TimePoint, now: TimePoint) {
        let shares = answer.shares.iter().filter_map(|message| {
            let share = LimitShare::try_from(message).ok()?;
            Some((LimitKey::from(message), share))
        });
        let entries = (answer.entries > 0).then(|| EntryCount::new(answer.entries));
        let lifetime = Duration::from_millis(answer.shares_lifetime_ms);
        self.policy()
            .limiter()
            .apply_shares(shares, entries, lifetime, sent_at, now);
    }

    /// Returns and resets the demand that the limiter has counted. The limiter then gives unused
    /// shares back.
    pub fn take_demand(&self) -> Vec<LimitDemand> {
        self.policy().limiter().take_demand(BootClock.now())
    }

    /// Admits or refuses a call, and counts its demand either way. A refused call has not run.
    pub fn admit(
        self: &Arc<Self>,
        context: &EntryContext,
        plan: &CallPlan,
    ) -> Result<AdmissionPermit, CallerError> {
        let now = BootClock.now();
        if let Some(pause) = context.pool.common_pause(plan.service(), now) {
            count_demand(context, plan, true);
            return Err(paused_error(pause.return_time(now)));
        }
        let choice = choice_request(plan, &[]);
        let expected = context.pool.expected_time(plan.service(), &choice, now);
        let request = AdmissionRequest {
            organisation: plan.organisation.as_ref(),
            service: plan.service(),
            class: plan.template.class.into(),
            size: plan.size(),
            deadline: plan.deadline,
            expected_delay: expected.map(|expected| expected.until_start),
            expected_service: expected
                .map(|expected| expected.service)
                .unwrap_or_default(),
        };
        let admitted = self.policy().admit(&request, now);
        count_demand(context, plan, admitted.is_err());
        match admitted {
            Ok(admitted) => Ok(AdmissionPermit {
                admission: Arc::clone(self),
                admitted: Some(admitted),
                served: Arc::clone(&plan.served),
            }),
            Err(refusal) => Err(caller_error(refusal)),
        }
    }

    fn policy(&self) -> MutexGuard<'_, admission::AdmissionControl> {
        self.policy
            .lock()
            .expect("no holder of the admission lock panics")
    }
}

/// Adds a call to the demand that the next ping reports.
fn count_demand(context: &EntryContext, plan: &CallPlan, refused: bool) {
    let (prompt, output) = (plan.size().prompt.get(), plan.size().output.get());
    context.demand.add(DemandSample {
        organisation: &plan.template.organisation,
        service: plan.service(),
        requests: 1,
        shape: call_shape(prompt, output),
        tokens: prompt + output,
        prompt_tokens: prompt,
        refused: u64::from(refused),
    });
}

fn caller_error(refusal: AdmissionRefusal) -> CallerError {
    let error = CallerError::not_run(refusal.status(), refusal.code(), refusal.to_string());
    match refusal.retry_after() {
        Some(delay) => error.with_retry_after(whole_seconds(delay)),
        None => error,
    }
}

/// Refusal of a call because all upstreams of its service ask for a pause.
fn paused_error(wait: Duration) -> CallerError {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let message = "all upstreams of the service ask for a pause; retry later";
    CallerError::not_run(status, UPSTREAM_PAUSED, message).with_retry_after(whole_seconds(wait))
}

/// Tokens that all attempts of a call have used; they correct the charge to the limits.
#[derive(Debug, Default)]
pub struct ServedTokens {
    /// `None` until an attempt that may have run is counted. Lock order: locked alone and never
    /// across an await.
    total: Mutex<Option<RequestSize>>,
}

impl ServedTokens {
    /// Adds the tokens of an attempt that may have run.
    pub fn add(&self, prompt: u64, output: u64) {
        let mut total = self.lock();
        let before = total.unwrap_or_default();
        *total = Some(RequestSize {
            prompt: before.prompt + TokenCount::new(prompt),
            output: before.output + TokenCount::new(output),
        });
    }

    fn lock(&self) -> MutexGuard<'_, Option<RequestSize>> {
        self.total
            .lock()
            .expect("no holder of the token lock panics")
    }
}

/// Concurrency and tokens that are reserved for an admitted request. Dropping the permit, when the
/// answer has ended or the caller has disconnected, releases them and charges the tokens actually
/// used.
#[derive(Debug)]
pub struct AdmissionPermit {
    admission: Arc<AdmissionControl>,
    /// `Some` until it is dropped.
    admitted: Option<AdmittedRequest>,
    served: Arc<ServedTokens>,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let served = *self.served.lock();
        if let Some(admitted) = self.admitted.take() {
            let now = BootClock.now();
            self.admission.policy().finish(admitted, served, now);
        }
    }
}
