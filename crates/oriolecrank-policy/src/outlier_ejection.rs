//! Exclusion of upstreams whose answers fail.
//!
//! An upstream is ejected by the outcomes that this entry sees, for a time that doubles with each
//! ejection, and returns with a weight that grows to 1. At most half of a service's upstreams are
//! ejected at once, because more failures than that are not the fault of single upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::UpstreamId;

use crate::recent_count::RecentCount;

/// Rules for ejection.
#[derive(Debug, Clone, PartialEq)]
pub struct EjectionSettings {
    /// Failures in a row that eject.
    pub consecutive_failures: u32,
    /// Share of failures within the window that ejects.
    pub failure_share: f64,
    /// Outcomes within the window that are needed for the share to count.
    pub min_outcomes: u64,
    /// What counts as recent.
    pub window: Duration,
    /// First ejection; doubles with each further one.
    pub first_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Time over which the weight grows back to 1.
    pub recovery_time: Duration,
    /// Weight at the begin of the return.
    pub recovery_weight: f64,
    /// Largest part of the service's upstreams that is ejected at once.
    pub max_part: f64,
}

impl Default for EjectionSettings {
    fn default() -> Self {
        Self {
            consecutive_failures: 5,
            failure_share: 0.5,
            min_outcomes: 10,
            window: Duration::from_secs(10),
            first_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_mins(2),
            recovery_time: Duration::from_secs(10),
            recovery_weight: 0.1,
            max_part: 0.5,
        }
    }
}

/// Outcome of an attempt, as far as it says something about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// The upstream answered, also if the answer is an error of the caller.
    Answered,
    /// The connection failed, the stream was silent or broke, or the upstream reported a failure.
    /// Refusals because of a full queue or a planned change are no failures.
    Failed,
}

/// A change of an upstream's weight for the chooser.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightChange {
    /// Upstream.
    pub upstream: UpstreamId,
    /// New weight, between 0 (ejected) and 1.
    pub weight: f64,
}

#[derive(Debug)]
struct UpstreamHealth {
    outcomes: RecentCount,
    failures: RecentCount,
    consecutive_failures: u32,
    /// Ejections without a full return in between.
    ejections: u32,
    /// End of the current or last ejection.
    ejected_until: Option<TimePoint>,
    /// Weight that was reported last.
    weight: f64,
}

/// Outcomes of one service's upstreams at one entry.
#[derive(Debug)]
pub struct OutlierEjection {
    settings: EjectionSettings,
    upstreams: BTreeMap<UpstreamId, UpstreamHealth>,
}

impl OutlierEjection {
    /// Ejection without upstreams.
    pub fn new(settings: EjectionSettings) -> Self {
        Self {
            settings,
            upstreams: BTreeMap::new(),
        }
    }

    /// Sets the upstreams of the service; those that stay keep their history.
    pub fn set_upstreams<'a>(&mut self, upstreams: impl IntoIterator<Item = &'a UpstreamId>) {
        let mut known = std::mem::take(&mut self.upstreams);
        for upstream in upstreams {
            let health = known.remove(upstream);
            let health = health.unwrap_or_else(|| UpstreamHealth::new(&self.settings));
            self.upstreams.insert(upstream.clone(), health);
        }
    }

    /// Takes an outcome and returns the change of weight that it causes.
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

    /// Changes of weight because time has passed; called each second.
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
        let most = self.upstreams.len() as f64 * self.settings.max_part;
        (ejected + 1) as f64 <= most
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
        outcomes >= settings.min_outcomes && failures >= outcomes as f64 * settings.failure_share
    }

    fn eject(&mut self, settings: &EjectionSettings, now: TimePoint) {
        let doublings = self.ejections.min(16);
        let length = settings.first_ejection * (1 << doublings);
        self.ejected_until = Some(now + length.min(settings.max_ejection));
        self.ejections += 1;
        self.weight = 0.0;
        // The outcomes before the ejection say nothing about the upstream after it.
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
        let part = now.since(until).as_secs_f64() / settings.recovery_time.as_secs_f64();
        (settings.recovery_weight + (1.0 - settings.recovery_weight) * part).min(1.0)
    }
}
