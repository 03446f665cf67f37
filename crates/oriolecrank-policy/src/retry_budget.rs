//! Whether and when a failed attempt is retried.
//!
//! Retries are a bounded share of recent successes, for each organisation and for each upstream, so
//! that they cannot multiply the load of a system that fails because of its load.

use std::collections::HashMap;
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::document::{OrganisationId, UpstreamId};
use rand::Rng;

use crate::recent_count::RecentCount;

/// Rules for retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Retries per recent success.
    pub share: f64,
    /// Retries in each window that need no successes, so that quiet organisations and new upstreams
    /// can retry at all.
    pub free_retries: u64,
    /// What counts as recent.
    pub window: Duration,
    /// Largest number of attempts of a request.
    pub max_attempts: u32,
    /// Upper bound of the first delay; doubles with each attempt.
    pub first_delay: Duration,
    /// Largest delay.
    pub max_delay: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            share: 0.1,
            free_retries: 3,
            window: Duration::from_secs(10),
            max_attempts: 4,
            first_delay: Duration::from_millis(20),
            max_delay: Duration::from_secs(1),
        }
    }
}

/// Why an attempt has ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCause {
    /// The agent refused it because the upstream leaves or changes. Such refusals do not come from
    /// load, and a planned change must not cut off requests, so they need no budget.
    PlannedChange,
    /// Anything else.
    Other,
}

/// A failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt<'a> {
    /// Organisation of the request.
    pub organisation: &'a OrganisationId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Whether the attempt may have run.
    pub verdict: RunVerdict,
    /// Whether the call may be repeated without a second effect.
    pub idempotent: bool,
    /// Why it ended.
    pub cause: FailureCause,
    /// Delay that the agent suggested.
    pub retry_after: Option<Duration>,
    /// Time at which the answer must be complete.
    pub deadline: TimePoint,
}

/// Why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The attempt may have run, and a second run could have a second effect.
    NotIdempotent,
    /// Too many attempts were made.
    Attempts,
    /// The retry could not start before the deadline.
    Deadline,
    /// The budget is used up.
    Budget,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after a delay.
    Retry {
        /// Delay, with jitter.
        after: Duration,
    },
    /// Answer with the failure.
    GiveUp(GiveUpReason),
}

/// Recent successes and retries.
#[derive(Debug, Clone)]
struct SuccessShare {
    successes: RecentCount,
    retries: RecentCount,
}

impl SuccessShare {
    fn new(settings: &RetrySettings) -> Self {
        Self {
            successes: RecentCount::new(settings.window),
            retries: RecentCount::new(settings.window),
        }
    }

    fn allows(&mut self, settings: &RetrySettings, now: TimePoint) -> bool {
        let earned = (self.successes.get(now) as f64 * settings.share) as u64;
        self.retries.get(now) < earned + settings.free_retries
    }

    fn is_idle(&mut self, now: TimePoint) -> bool {
        self.successes.get(now) == 0 && self.retries.get(now) == 0
    }
}

/// Retry budgets of an entry.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    organisations: HashMap<OrganisationId, SuccessShare>,
    upstreams: HashMap<UpstreamId, SuccessShare>,
}

impl RetryBudget {
    /// Budgets without history.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            organisations: HashMap::new(),
            upstreams: HashMap::new(),
        }
    }

    /// Counts an answer.
    pub fn record_success(
        &mut self,
        organisation: &OrganisationId,
        upstream: &UpstreamId,
        now: TimePoint,
    ) {
        share_of(&mut self.organisations, organisation, &self.settings)
            .successes
            .add(1, now);
        share_of(&mut self.upstreams, upstream, &self.settings)
            .successes
            .add(1, now);
    }

    /// Decides about a failed attempt. The budget is charged only by [`Self::spend`].
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
        let share = share_of(&mut self.organisations, failed.organisation, &self.settings);
        if failed.cause == FailureCause::Other && !share.allows(&self.settings, now) {
            return RetryDecision::GiveUp(GiveUpReason::Budget);
        }
        RetryDecision::Retry { after }
    }

    /// Charges a retry or a hedge that is about to be sent to `upstream`.
    ///
    /// Returns false, and charges nothing, if a budget is used up: the caller excludes the upstream
    /// and chooses again, or gives up.
    pub fn spend(
        &mut self,
        organisation: &OrganisationId,
        upstream: &UpstreamId,
        now: TimePoint,
    ) -> bool {
        let settings = &self.settings;
        let organisation = share_of(&mut self.organisations, organisation, settings);
        let upstream = share_of(&mut self.upstreams, upstream, settings);
        if !organisation.allows(settings, now) || !upstream.allows(settings, now) {
            return false;
        }
        organisation.retries.add(1, now);
        upstream.retries.add(1, now);
        true
    }

    /// Forgets organisations and upstreams without recent events; called every few seconds.
    pub fn forget_idle(&mut self, now: TimePoint) {
        self.organisations.retain(|_, share| !share.is_idle(now));
        self.upstreams.retain(|_, share| !share.is_idle(now));
    }

    /// Exponential delay between half of its bound and the bound, at least what the agent suggested.
    fn delay<R: Rng>(&self, failed: &FailedAttempt<'_>, rng: &mut R) -> Duration {
        let doublings = failed.attempt.saturating_sub(1).min(16);
        let bound = self.settings.first_delay * (1 << doublings);
        let bound = bound.min(self.settings.max_delay);
        let delay = bound.mul_f64(rng.random_range(0.5..=1.0));
        delay.max(failed.retry_after.unwrap_or_default())
    }
}

fn share_of<'a, K: Clone + Eq + std::hash::Hash>(
    shares: &'a mut HashMap<K, SuccessShare>,
    key: &K,
    settings: &RetrySettings,
) -> &'a mut SuccessShare {
    if !shares.contains_key(key) {
        shares.insert(key.clone(), SuccessShare::new(settings));
    }
    shares.get_mut(key).expect("the share was inserted")
}
