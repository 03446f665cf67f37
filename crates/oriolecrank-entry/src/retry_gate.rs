//! Retry budgets, shared by all requests.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use oriolecrank_policy::retry_budget::{
    FailedAttempt, FailureCause, RetryBudget, RetryDecision, RetrySettings,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::{OrganisationId, UpstreamId};

use crate::attempt_stream::{AttemptError, CallSafety};
use crate::call_plan::CallPlan;

/// Codes with which an agent refuses work because of a planned change.
const PLANNED_CODES: [&str; 4] = [
    "upstream_leaving",
    "upstream_changing",
    "agent_restarted",
    "agent_superseded",
];

/// Whether an attempt ended because of a planned change.
pub fn is_planned(error: &AttemptError) -> bool {
    PLANNED_CODES.contains(&&*error.code)
}

/// Retry budgets of this entry.
#[derive(Debug)]
pub struct RetryGate {
    /// Lock order: locked alone and never across an await.
    budget: Mutex<RetryBudget>,
}

impl RetryGate {
    /// Budgets without history.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            budget: Mutex::new(RetryBudget::new(settings)),
        }
    }

    /// Counts an answer.
    pub fn succeed(&self, plan: &CallPlan, upstream: &UpstreamId, now: TimePoint) {
        self.budget()
            .record_success(&organisation(plan), upstream, now);
    }

    /// Delay before the next attempt; `None` if there must be none.
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
            // The suggestion concerns one upstream, and the next attempt prefers another.
            retry_after: None,
            deadline: plan.deadline,
        };
        match self.budget().decide(&failed, now, &mut rand::rng()) {
            RetryDecision::Retry { after } => Some(after),
            RetryDecision::GiveUp(_) => None,
        }
    }

    /// Charges a retry or hedge at an upstream; false if a budget is used up.
    pub fn spend(&self, plan: &CallPlan, upstream: &UpstreamId, now: TimePoint) -> bool {
        self.budget().spend(&organisation(plan), upstream, now)
    }

    /// Forgets organisations and upstreams without recent events.
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
