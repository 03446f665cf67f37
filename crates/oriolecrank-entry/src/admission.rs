//! Limits, shares and deadlines at this entry.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

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
use oriolecrank_state::CheckedDocument;

use crate::call_plan::CallPlan;
use crate::call_runner::choice_request;
use crate::caller_answer::CallerError;
use crate::demand_meter::{DemandSample, call_shape};
use crate::entry_context::EntryContext;

/// Admission, shared by all requests.
#[derive(Debug)]
pub struct AdmissionControl {
    /// Lock order: locked alone and never across an await.
    control: Mutex<admission::AdmissionControl>,
}

impl AdmissionControl {
    /// Admission without limits; they come with the document.
    pub fn new(settings: AdmissionSettings, limits: LimiterSettings) -> Self {
        let control = admission::AdmissionControl::new(settings, RateLimiter::new(limits));
        Self {
            control: Mutex::new(control),
        }
    }

    /// Takes the limits of a document.
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
        self.control().limiter().set_limits(limits);
    }

    /// Takes the shares in the answer to a ping that was sent at `sent_at`.
    ///
    /// Their lifetime counts from the send time, because control computed them after it.
    pub fn set_shares(&self, answer: &PingAnswer, sent_at: TimePoint, now: TimePoint) {
        let shares = answer.shares.iter().filter_map(|message| {
            let share = LimitShare::try_from(message).ok()?;
            Some((LimitKey::from(message), share))
        });
        let entries = (answer.entries > 0).then(|| EntryCount::new(answer.entries));
        let lifetime = Duration::from_millis(answer.shares_lifetime_ms);
        self.control()
            .limiter()
            .apply_shares(shares, entries, lifetime, sent_at, now);
    }

    /// Ends the period of the limiter's own demand counts, after which it gives unused shares back.
    pub fn take_demand(&self) -> Vec<LimitDemand> {
        self.control().limiter().take_demand(BootClock.now())
    }

    /// Admits or refuses a call.
    pub fn admit(
        self: &Arc<Self>,
        context: &EntryContext,
        plan: &CallPlan,
    ) -> Result<AdmissionPermit, CallerError> {
        let now = BootClock.now();
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
        let admitted = self.control().admit(&request, now);
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

    fn control(&self) -> MutexGuard<'_, admission::AdmissionControl> {
        self.control
            .lock()
            .expect("no holder of the admission lock panics")
    }
}

/// Counts the demand of a call for the next ping.
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
        // The header has whole seconds.
        Some(delay) => error.with_retry_after(delay.as_millis().div_ceil(1_000).max(1) as u64),
        None => error,
    }
}

/// Tokens that the attempts of a call have used.
#[derive(Debug, Default)]
pub struct ServedTokens {
    /// `None` if no attempt may have run. Lock order: locked alone and never across an await.
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

/// Room that a request takes until its answer has ended or its caller has left.
#[derive(Debug)]
pub struct AdmissionPermit {
    admission: Arc<AdmissionControl>,
    /// `Some` until it is returned.
    admitted: Option<AdmittedRequest>,
    served: Arc<ServedTokens>,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let served = *self.served.lock();
        if let Some(admitted) = self.admitted.take() {
            let now = BootClock.now();
            self.admission.control().finish(admitted, served, now);
        }
    }
}
