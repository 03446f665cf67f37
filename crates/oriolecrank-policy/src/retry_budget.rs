//! Decides whether and when a failed attempt is retried.
//!
//! Retries are limited to a fraction of recent successes, for each organisation and for each
//! upstream, so that they cannot amplify an overload.

use std::collections::HashMap;
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::document::{OrganisationId, UpstreamId};
use rand::Rng;

use crate::recent_count::RecentCount;

/// Settings of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Retries that each recent success allows.
    pub retries_per_success: f64,
    /// Retries in each window that need no successes, so that organisations with little traffic and
    /// new upstreams can retry at all.
    pub free_retries: u64,
    /// How long successes and retries count as recent.
    pub window: Duration,
    /// Largest number of attempts of a request, including the first.
    pub max_attempts: u32,
    /// Upper bound of the delay before the first retry; doubles with each attempt.
    pub first_delay: Duration,
    /// Largest upper bound of a delay.
    pub max_delay: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            retries_per_success: 0.1,
            free_retries: 3,
            window: Duration::from_secs(10),
            max_attempts: 4,
            first_delay: Duration::from_millis(20),
            max_delay: Duration::from_secs(1),
        }
    }
}

/// Why an attempt has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCause {
    /// The agent refused the attempt because the upstream is being removed or changes its role.
    /// Such refusals are not caused by overload, and a planned change must not fail requests, so
    /// the decision to retry does not depend on the budget.
    PlannedChange,
    /// Any other failure.
    Other,
}

/// A failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt<'a> {
    /// Organisation whose budget the retry counts against.
    pub organisation: &'a OrganisationId,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Whether the attempt may have run.
    pub verdict: RunVerdict,
    /// Whether the call may run twice without a second effect.
    pub idempotent: bool,
    /// Why the attempt failed.
    pub cause: FailureCause,
    /// Shortest delay, as suggested by the agent; `None` if it suggested none.
    pub retry_after: Option<Duration>,
    /// Time at which the answer must be complete.
    pub deadline: TimePoint,
}

/// Why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The attempt may have run, and the call is not idempotent.
    NotIdempotent,
    /// [`RetrySettings::max_attempts`] were made.
    Attempts,
    /// The retry could not start before the deadline.
    Deadline,
    /// The budget of the organisation is used up.
    Budget,
}

/// How to continue after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Start another attempt.
    Retry {
        /// Delay before the attempt, with jitter.
        after: Duration,
    },
    /// Return the failure to the caller.
    GiveUp(GiveUpReason),
}

/// Recent successes and retries of one organisation or upstream.
#[derive(Debug, Clone)]
struct RecentOutcomes {
    successes: RecentCount,
    retries: RecentCount,
}

impl RecentOutcomes {
    fn new(settings: &RetrySettings) -> Self {
        Self {
            successes: RecentCount::new(settings.window),
            retries: RecentCount::new(settings.window),
        }
    }

    fn allows_retry(&mut self, settings: &RetrySettings, now: TimePoint) -> bool {
        let earned_retries = (self.successes.get(now) as f64 * settings.retries_per_success) as u64;
        self.retries.get(now) < earned_retries + settings.free_retries
    }

    fn is_idle(&mut self, now: TimePoint) -> bool {
        self.successes.get(now) == 0 && self.retries.get(now) == 0
    }
}

/// Retry budgets of all organisations and upstreams at one entry.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    organisations: HashMap<OrganisationId, RecentOutcomes>,
    upstreams: HashMap<UpstreamId, RecentOutcomes>,
}

impl RetryBudget {
    /// Budgets without any recorded successes or retries.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            organisations: HashMap::new(),
            upstreams: HashMap::new(),
        }
    }

    /// Counts a successful answer in the budgets of the organisation and the upstream.
    pub fn record_success(
        &mut self,
        organisation: &OrganisationId,
        upstream: &UpstreamId,
        now: TimePoint,
    ) {
        outcomes_for(&mut self.organisations, organisation, &self.settings)
            .successes
            .add(1, now);
        outcomes_for(&mut self.upstreams, upstream, &self.settings)
            .successes
            .add(1, now);
    }

    /// Decides whether a failed attempt is retried. Charges nothing; that is done by
    /// [`Self::spend`].
    pub fn decide<R: Rng>(
        &mut self,
        failed: &FailedAttempt<'_>,
        now: TimePoint,
        rng: &mut R,
    ) -> RetryDecision {
        if failed.verdict == RunVerdict::MayHaveRun && !failed.idempotent {
            return RetryDecision::GiveUp(GiveUpReason::NotIdempotent);
        }
        if failed.attempt >= self.settings.max_attempts {
            return RetryDecision::GiveUp(GiveUpReason::Attempts);
        }
        let after = match failed.cause {
            FailureCause::PlannedChange => Duration::ZERO,
            FailureCause::Other => self.delay(failed, rng),
        };
        if now + after >= failed.deadline {
            return RetryDecision::GiveUp(GiveUpReason::Deadline);
        }
        let outcomes = outcomes_for(&mut self.organisations, failed.organisation, &self.settings);
        if failed.cause == FailureCause::Other && !outcomes.allows_retry(&self.settings, now) {
            return RetryDecision::GiveUp(GiveUpReason::Budget);
        }
        RetryDecision::Retry { after }
    }

    /// Charges both budgets for a retry or a hedge that is about to be sent to `upstream`.
    ///
    /// Returns false and charges nothing if either budget is used up. The caller then excludes the
    /// upstream and chooses again, or gives up.
    pub fn spend(
        &mut self,
        organisation: &OrganisationId,
        upstream: &UpstreamId,
        now: TimePoint,
    ) -> bool {
        let settings = &self.settings;
        let organisation_outcomes = outcomes_for(&mut self.organisations, organisation, settings);
        let upstream_outcomes = outcomes_for(&mut self.upstreams, upstream, settings);
        if !organisation_outcomes.allows_retry(settings, now)
            || !upstream_outcomes.allows_retry(settings, now)
        {
            return false;
        }
        organisation_outcomes.retries.add(1, now);
        upstream_outcomes.retries.add(1, now);
        true
    }

    /// Removes organisations and upstreams without recent successes or retries. Called every
    /// 500 ms.
    pub fn forget_idle(&mut self, now: TimePoint) {
        self.organisations
            .retain(|_, outcomes| !outcomes.is_idle(now));
        self.upstreams.retain(|_, outcomes| !outcomes.is_idle(now));
    }

    /// Random delay between half of the bound and the bound, which grows exponentially with the
    /// attempts. At least the delay that the agent suggested.
    fn delay<R: Rng>(&self, failed: &FailedAttempt<'_>, rng: &mut R) -> Duration {
        let doublings = failed.attempt.saturating_sub(1).min(16);
        let bound = self.settings.first_delay * (1 << doublings);
        let bound = bound.min(self.settings.max_delay);
        let delay = bound.mul_f64(rng.random_range(0.5..=1.0));
        delay.max(failed.retry_after.unwrap_or_default())
    }
}

/// The outcomes of `key`, inserted if missing.
fn outcomes_for<'a, K: Clone + Eq + std::hash::Hash>(
    outcomes: &'a mut HashMap<K, RecentOutcomes>,
    key: &K,
    settings: &RetrySettings,
) -> &'a mut RecentOutcomes {
    if !outcomes.contains_key(key) {
        outcomes.insert(key.clone(), RecentOutcomes::new(settings));
    }
    outcomes.get_mut(key).expect("the outcomes were inserted")
}
