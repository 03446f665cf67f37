//! Limits retries and hedges with budgets that all requests of the entry share.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use oriolecrank_policy::retry_budget::{
    FailedAttempt, FailureCause, RetryBudget, RetryDecision, RetrySettings,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::{OrganisationId, UpstreamId};
use oriolecrank_schema::failure_code::UPSTREAM_PAUSED;

use crate::attempt_stream::{AttemptError, CallSafety};
use crate::call_plan::CallPlan;

/// Codes with which an agent refuses a request because of a planned change, such as the removal
/// of its upstream, or because the upstream asks for a pause. Such a request has not reached the
/// upstream, so its retry does not depend on the budget.
const PLANNED_CODES: [&str; 5] = [
    "upstream_leaving",
    "upstream_changing",
    "agent_restarted",
    "agent_superseded",
    UPSTREAM_PAUSED,
];

/// Whether an attempt failed because of a planned change or a pause.
pub fn is_planned(error: &AttemptError) -> bool {
    PLANNED_CODES.contains(&&*error.code)
}

/// Retry budgets of this entry, per organisation and per upstream.
#[derive(Debug)]
pub struct RetryGate {
    /// Lock order: locked alone and never across an await.
    budget: Mutex<RetryBudget>,
}

impl RetryGate {
    /// Creates budgets without recorded successes and retries.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            budget: Mutex::new(RetryBudget::new(settings)),
        }
    }

    /// Records a successful answer, which allows further retries.
    pub fn record_success(&self, plan: &CallPlan, upstream: &UpstreamId, now: TimePoint) {
        self.budget()
            .record_success(&organisation(plan), upstream, now);
    }

    /// Delay before the next attempt; `None` if the call must not be retried. `attempts` is the
    /// number of attempts so far.
    pub fn delay(
        &self,
        plan: &CallPlan,
        attempts: u32,
        error: &AttemptError,
        now: TimePoint,
    ) -> Option<Duration> {
        let failed = FailedAttempt {
            organisation: &organisation(plan),
            attempt: attempts,
            verdict: error.verdict,
            idempotent: plan.safety == CallSafety::Repeatable,
            cause: if is_planned(error) {
                FailureCause::PlannedChange
            } else {
                FailureCause::Other
            },
            // The delay that the agent suggested applies to its upstream; the next attempt prefers
            // another one.
            retry_after: None,
            deadline: plan.deadline,
        };
        match self.budget().decide(&failed, now, &mut rand::rng()) {
            RetryDecision::Retry { after } => Some(after),
            RetryDecision::GiveUp(_) => None,
        }
    }

    /// Charges a retry or hedge to the budgets of the organisation and of the upstream. Returns
    /// false if one of them is used up.
    pub fn spend(&self, plan: &CallPlan, upstream: &UpstreamId, now: TimePoint) -> bool {
        self.budget().spend(&organisation(plan), upstream, now)
    }

    /// Removes the budgets of organisations and upstreams without recent successes and retries.
    pub fn forget_idle(&self, now: TimePoint) {
        self.budget().forget_idle(now);
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget
            .lock()
            .expect("no holder of the budget lock panics")
    }
}

fn organisation(plan: &CallPlan) -> OrganisationId {
    OrganisationId(plan.template.organisation.clone())
}
