//! Outlier ejection: temporary exclusion of upstreams whose attempts fail.
//!
//! Each entry ejects upstreams by the outcomes of its own attempts. The ejection time doubles with
//! each repeated ejection; afterwards the weight of the upstream grows gradually to 1. At most half
//! of a service's upstreams are ejected at once, because if more of them fail, the cause is not a
//! fault of individual upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::UpstreamId;

use crate::recent_count::RecentCount;

/// Settings of outlier ejection.
#[derive(Debug, Clone, PartialEq)]
pub struct EjectionSettings {
    /// Number of consecutive failures that cause an ejection.
    pub consecutive_failures: u32,
    /// Fraction of failed outcomes within the window that causes an ejection, between 0 and 1.
    pub failure_fraction: f64,
    /// Number of outcomes within the window below which `failure_fraction` is not applied.
    pub min_outcomes: u64,
    /// Time window of the outcomes that `failure_fraction` is computed from.
    pub window: Duration,
    /// Duration of the first ejection; doubles with each further one.
    pub first_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Time after an ejection over which the weight grows from `recovery_weight` to 1.
    pub recovery_time: Duration,
    /// Weight right after an ejection.
    pub recovery_weight: f64,
    /// Maximum fraction of the service's upstreams that are ejected at once, between 0 and 1.
    pub max_ejected_fraction: f64,
}

impl Default for EjectionSettings {
    fn default() -> Self {
        Self {
            consecutive_failures: 5,
            failure_fraction: 0.5,
            min_outcomes: 10,
            window: Duration::from_secs(10),
            first_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_mins(2),
            recovery_time: Duration::from_secs(10),
            recovery_weight: 0.1,
            max_ejected_fraction: 0.5,
        }
    }
}

/// Outcome of an attempt with respect to the health of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// The upstream answered, possibly with an error that the caller caused.
    Answered,
    /// The connection failed, the stream broke or timed out, or the upstream reported a failure.
    /// Refusals because of a full queue or a planned change do not count as failures.
    Failed,
}

/// A new weight of an upstream, to be set in the chooser.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightChange {
    /// Upstream whose weight changes.
    pub upstream: UpstreamId,
    /// New weight, between 0 (ejected) and 1.
    pub weight: f64,
}

#[derive(Debug)]
struct UpstreamHealth {
    outcomes: RecentCount,
    failures: RecentCount,
    consecutive_failures: u32,
    /// Ejections since the weight was last 1; determines the duration of the next one.
    ejections: u32,
    /// End of the current or last ejection.
    ejected_until: Option<TimePoint>,
    /// Weight in the last [`WeightChange`]; initially 1.
    weight: f64,
}

/// Health of the upstreams of one service, as seen by one entry.
#[derive(Debug)]
pub struct OutlierEjection {
    settings: EjectionSettings,
    upstreams: BTreeMap<UpstreamId, UpstreamHealth>,
}

impl OutlierEjection {
    /// Creates the state without upstreams.
    pub fn new(settings: EjectionSettings) -> Self {
        Self {
            settings,
            upstreams: BTreeMap::new(),
        }
    }

    /// Replaces the set of upstreams; those already known keep their history.
    pub fn set_upstreams<'a>(&mut self, upstreams: impl IntoIterator<Item = &'a UpstreamId>) {
        let mut known = std::mem::take(&mut self.upstreams);
        for upstream in upstreams {
            let health = known.remove(upstream);
            let health = health.unwrap_or_else(|| UpstreamHealth::new(&self.settings));
            self.upstreams.insert(upstream.clone(), health);
        }
    }

    /// Records an outcome and returns the weight change if it causes an ejection.
    ///
    /// Outcomes of unknown upstreams have no effect.
    pub fn record(
        &mut self,
        upstream: &UpstreamId,
        outcome: UpstreamOutcome,
        now: TimePoint,
    ) -> Option<WeightChange> {
        let may_eject = self.may_eject(now);
        let settings = &self.settings;
        let health = self.upstreams.get_mut(upstream)?;
        health.outcomes.add(1, now);
        if outcome == UpstreamOutcome::Answered {
            health.consecutive_failures = 0;
            return None;
        }
        health.failures.add(1, now);
        health.consecutive_failures += 1;
        if !may_eject || health.is_ejected(now) || !health.is_outlier(settings, now) {
            return None;
        }
        health.eject(settings, now);
        Some(WeightChange {
            upstream: upstream.clone(),
            weight: 0.0,
        })
    }

    /// Returns the weights that have changed with time since the last call. The caller calls this
    /// every 500 ms, or before each choice of an upstream.
    pub fn weight_changes(&mut self, now: TimePoint) -> Vec<WeightChange> {
        let settings = &self.settings;
        let mut changes = Vec::new();
        for (upstream, health) in &mut self.upstreams {
            let weight = health.weight_at(settings, now);
            if weight >= 1.0 && health.weight < 1.0 {
                health.ejections = 0;
            }
            if (weight - health.weight).abs() > f64::EPSILON {
                health.weight = weight;
                changes.push(WeightChange {
                    upstream: upstream.clone(),
                    weight,
                });
            }
        }
        changes
    }

    fn may_eject(&self, now: TimePoint) -> bool {
        let ejected = self.upstreams.values();
        let ejected = ejected.filter(|health| health.is_ejected(now)).count();
        let max_ejected = self.upstreams.len() as f64 * self.settings.max_ejected_fraction;
        (ejected + 1) as f64 <= max_ejected
    }
}

impl UpstreamHealth {
    fn new(settings: &EjectionSettings) -> Self {
        Self {
            outcomes: RecentCount::new(settings.window),
            failures: RecentCount::new(settings.window),
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
            weight: 1.0,
        }
    }

    fn is_ejected(&self, now: TimePoint) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn is_outlier(&mut self, settings: &EjectionSettings, now: TimePoint) -> bool {
        if self.consecutive_failures >= settings.consecutive_failures {
            return true;
        }
        let outcomes = self.outcomes.get(now);
        let failures = self.failures.get(now) as f64;
        outcomes >= settings.min_outcomes && failures >= outcomes as f64 * settings.failure_fraction
    }

    fn eject(&mut self, settings: &EjectionSettings, now: TimePoint) {
        let doublings = self.ejections.min(16);
        let duration = settings.first_ejection * (1 << doublings);
        self.ejected_until = Some(now + duration.min(settings.max_ejection));
        self.ejections += 1;
        self.weight = 0.0;
        // Outcomes before the ejection do not reflect the health of the upstream after it.
        self.outcomes = RecentCount::new(settings.window);
        self.failures = RecentCount::new(settings.window);
        self.consecutive_failures = 0;
    }

    fn weight_at(&self, settings: &EjectionSettings, now: TimePoint) -> f64 {
        let Some(until) = self.ejected_until else {
            return 1.0;
        };
        if now < until {
            return 0.0;
        }
        let recovered_fraction =
            now.since(until).as_secs_f64() / settings.recovery_time.as_secs_f64();
        (settings.recovery_weight + (1.0 - settings.recovery_weight) * recovered_fraction).min(1.0)
    }
}
