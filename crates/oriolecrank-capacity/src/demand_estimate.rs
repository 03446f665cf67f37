//! Estimate of the demand from reports that arrive late and with gaps.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::{PriorityClass, ServiceId};

use crate::TokenRate;

/// Sequence numbers remembered per reporter to detect duplicates.
const SEQUENCE_WINDOW: u64 = 64;

/// Name of an entry or agent that reports demand.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReporterId(pub String);

/// What demand is counted by.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DemandKey {
    /// Called service.
    pub service: ServiceId,
    /// Priority class of the calls.
    pub class: PriorityClass,
}

/// Prompt and output tokens per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DemandRate {
    /// Prompt tokens that have to be processed.
    pub prefill: TokenRate,
    /// Output tokens that have to be generated.
    pub decode: TokenRate,
}

impl std::ops::Add for DemandRate {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            prefill: self.prefill + other.prefill,
            decode: self.decode + other.decode,
        }
    }
}

impl std::ops::Mul<f64> for DemandRate {
    type Output = Self;

    fn mul(self, factor: f64) -> Self {
        Self {
            prefill: self.prefill * factor,
            decode: self.decode * factor,
        }
    }
}

/// Tokens that one reporter counted in one interval.
///
/// Reporters and the leader have different clocks, so a report carries a sequence number and the
/// length of its interval instead of a time.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandReport {
    /// Who counted.
    pub reporter: ReporterId,
    /// Start number of the reporter; a larger one restarts the sequence.
    pub incarnation: u64,
    /// Number of the interval, counted up by one.
    pub sequence: u64,
    /// Length of the interval.
    pub interval: Duration,
    /// Prompt and output tokens of the interval, by service and class.
    pub tokens: Vec<(DemandKey, u64, u64)>,
}

/// What became of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportResult {
    /// The report is the newest of its reporter.
    Counted,
    /// The report is newer than the last by more than one; the missing intervals keep the old rate.
    CountedAfterGap {
        /// Number of missing reports.
        missing: u64,
    },
    /// The report was overtaken by newer ones and counts less.
    CountedLate,
    /// The report was seen before, is older than the duplicate window or has no length.
    Ignored,
}

/// Whether the estimate may be acted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Most reporters reported recently.
    Fresh,
    /// Too many reporters are silent or new; plans are frozen.
    Stale,
}

/// Settings of [`DemandEstimator`].
#[derive(Debug, Clone, PartialEq)]
pub struct DemandSettings {
    /// Time constant of the short scale, on which roles are decided.
    pub short: Duration,
    /// Time constant of the long scale, on which starts and stops are decided.
    pub long: Duration,
    /// A reporter without a report for this long counts as silent. It exceeds the report lag of 5 s
    /// plus several lost reports.
    pub silent_after: Duration,
    /// A reporter without a report for this long has left, and its demand is dropped.
    pub forget_after: Duration,
    /// Smallest share of reporters that have to be heard for a fresh estimate.
    pub fresh_share: f64,
    /// Time that the reports of a reporter have to cover before the estimate counts as fresh. The
    /// first seconds of Poisson calls are off by half of their mean.
    pub warm_up: Duration,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self {
            short: Duration::from_secs(20),
            long: Duration::from_mins(5),
            silent_after: Duration::from_secs(15),
            forget_after: Duration::from_mins(1),
            fresh_share: 0.5,
            warm_up: Duration::from_secs(40),
        }
    }
}

/// Demand of one key on both time scales.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DemandSummary {
    /// Rate over the short time scale.
    pub short: DemandRate,
    /// Rate over the long time scale.
    pub long: DemandRate,
}

impl DemandSummary {
    /// Rate expected after `ahead`, by the linear trend between the two time scales.
    ///
    /// An exponential average of a linear ramp lags by its time constant, so the slope is the
    /// difference of the averages over the difference of the time constants.
    pub fn forecast(&self, ahead: Duration, settings: &DemandSettings) -> DemandRate {
        let span = settings.long.saturating_sub(settings.short).as_secs_f64();
        if span <= 0.0 {
            return self.short;
        }
        let reach = (ahead + settings.short).as_secs_f64();
        let line = |short: TokenRate, long: TokenRate| {
            let slope = (short.as_f64() - long.as_f64()) / span;
            TokenRate::per_second(slope.mul_add(reach, short.as_f64()))
        };
        DemandRate {
            prefill: line(self.short.prefill, self.long.prefill),
            decode: line(self.short.decode, self.long.decode),
        }
    }
}

#[derive(Debug, Clone)]
struct ReporterState {
    incarnation: u64,
    newest: u64,
    /// Bit `i` is set if the report `newest - i` was counted.
    seen: u64,
    heard: TimePoint,
    /// Time that the counted reports cover.
    covered: Duration,
    keys: IndexMap<DemandKey, DemandSummary>,
}

/// Demand by service and class, from all reporters.
#[derive(Debug, Clone, Default)]
pub struct DemandEstimator {
    settings: DemandSettings,
    reporters: IndexMap<ReporterId, ReporterState>,
}

impl DemandEstimator {
    /// An estimator without reports.
    pub fn new(settings: DemandSettings) -> Self {
        Self {
            settings,
            reporters: IndexMap::new(),
        }
    }

    /// Settings in force.
    pub const fn settings(&self) -> &DemandSettings {
        &self.settings
    }

    /// Counts a report that arrived at `now`.
    pub fn observe(&mut self, report: &DemandReport, now: TimePoint) -> ReportResult {
        if report.interval.is_zero() {
            return ReportResult::Ignored;
        }
        let state = self.reporters.get_mut(&report.reporter);
        let known = state.filter(|state| state.incarnation >= report.incarnation);
        let Some(state) = known else {
            let mut state = ReporterState {
                incarnation: report.incarnation,
                newest: report.sequence,
                seen: 1,
                heard: now,
                covered: report.interval,
                keys: IndexMap::new(),
            };
            state.blend(report, 1.0, 1.0);
            self.reporters.insert(report.reporter.clone(), state);
            return ReportResult::Counted;
        };
        if state.incarnation > report.incarnation {
            return ReportResult::Ignored;
        }
        let Some((result, late_by)) = state.accept(report.sequence) else {
            return ReportResult::Ignored;
        };
        if result != ReportResult::CountedLate {
            state.heard = now;
        }
        state.covered += report.interval;
        let interval = report.interval.as_secs_f64();
        // Until a scale is covered, its average is the plain mean of the reports.
        let mean = interval / state.covered.as_secs_f64();
        let weight = |scale: Duration| {
            let scale = scale.as_secs_f64();
            let newest = (1.0 - (-interval / scale).exp()).max(mean);
            newest * (-interval * late_by as f64 / scale).exp()
        };
        state.blend(
            report,
            weight(self.settings.short),
            weight(self.settings.long),
        );
        result
    }

    /// Drops reporters that have left; to be called before each decision.
    pub fn expire(&mut self, now: TimePoint) {
        let bound = self.settings.forget_after;
        self.reporters
            .retain(|_, state| now.since(state.heard) <= bound);
    }

    /// Whether enough reporters were heard recently and for long enough; an estimate without
    /// reporters is stale.
    pub fn freshness(&self, now: TimePoint) -> Freshness {
        let heard = self
            .reporters
            .values()
            .filter(|state| now.since(state.heard) <= self.settings.silent_after)
            .filter(|state| state.covered >= self.settings.warm_up)
            .count();
        let needed = self.settings.fresh_share * self.reporters.len() as f64;
        if heard == 0 || (heard as f64) < needed {
            Freshness::Stale
        } else {
            Freshness::Fresh
        }
    }

    /// Demand of one service and class; zero if nobody reported any.
    pub fn summary(&self, key: &DemandKey) -> DemandSummary {
        self.reporters
            .values()
            .filter_map(|state| state.keys.get(key))
            .fold(DemandSummary::default(), |sum, one| DemandSummary {
                short: sum.short + one.short,
                long: sum.long + one.long,
            })
    }

    /// Demand of one service over all classes.
    pub fn service_summary(&self, service: &ServiceId) -> DemandSummary {
        let classes = [
            PriorityClass::Urgent,
            PriorityClass::Standard,
            PriorityClass::Bulk,
        ];
        classes
            .into_iter()
            .map(|class| {
                self.summary(&DemandKey {
                    service: service.clone(),
                    class,
                })
            })
            .fold(DemandSummary::default(), |sum, one| DemandSummary {
                short: sum.short + one.short,
                long: sum.long + one.long,
            })
    }
}

impl ReporterState {
    /// Marks a sequence number as seen. Returns by how many intervals the report is late, or `None`
    /// if it is a duplicate or too old.
    fn accept(&mut self, sequence: u64) -> Option<(ReportResult, u64)> {
        if sequence > self.newest {
            let step = sequence - self.newest;
            self.seen = if step >= SEQUENCE_WINDOW {
                1
            } else {
                (self.seen << step) | 1
            };
            self.newest = sequence;
            let result = match step - 1 {
                0 => ReportResult::Counted,
                missing => ReportResult::CountedAfterGap { missing },
            };
            return Some((result, 0));
        }
        let late_by = self.newest - sequence;
        if late_by >= SEQUENCE_WINDOW || self.seen & (1 << late_by) != 0 {
            return None;
        }
        self.seen |= 1 << late_by;
        Some((ReportResult::CountedLate, late_by))
    }

    fn blend(&mut self, report: &DemandReport, short: f64, long: f64) {
        for (key, ..) in &report.tokens {
            self.keys.entry(key.clone()).or_default();
        }
        let interval = report.interval.as_secs_f64();
        for (key, summary) in &mut self.keys {
            let (prefill, decode) = report
                .tokens
                .iter()
                .filter(|(reported, ..)| reported == key)
                .fold((0, 0), |sum, (_, prefill, decode)| {
                    (sum.0 + prefill, sum.1 + decode)
                });
            let rate = DemandRate {
                prefill: TokenRate::per_second(prefill as f64 / interval),
                decode: TokenRate::per_second(decode as f64 / interval),
            };
            summary.short = summary.short * (1.0 - short) + rate * short;
            summary.long = summary.long * (1.0 - long) + rate * long;
        }
    }
}
