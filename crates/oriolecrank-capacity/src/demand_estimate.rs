//! Estimates the demand from reports that may arrive late, repeatedly or not at all.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::{PriorityClass, ServiceId};

use crate::TokenRate;

/// Number of most recent sequence numbers per reporter that are checked for duplicates.
const SEQUENCE_WINDOW: u64 = 64;

/// Identifier of an entry or agent that reports demand.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReporterId(pub String);

/// Ratio of prompt to output length, which decides the kind of engine that suits a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallShape {
    /// Long prompt and short output; suits prefill engines.
    PromptHeavy,
    /// Any other call; suits decode engines.
    OutputHeavy,
}

/// A call is prompt-heavy if its prompt has at least this many times the tokens of its output. The
/// upstream choice of the policy crate uses the same factor.
const PROMPT_HEAVY_FACTOR: u64 = 4;

impl CallShape {
    /// Returns the shape of a call with the given numbers of prompt and output tokens.
    pub const fn from_tokens(prompt: u64, output: u64) -> Self {
        if prompt >= output.saturating_mul(PROMPT_HEAVY_FACTOR) {
            Self::PromptHeavy
        } else {
            Self::OutputHeavy
        }
    }
}

/// Dimensions by which demand is aggregated.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DemandKey {
    /// Called service.
    pub service: ServiceId,
    /// Priority class of the calls.
    pub class: PriorityClass,
    /// Shape of the calls.
    pub shape: CallShape,
}

/// Prompt and output tokens per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DemandRate {
    /// Prompt tokens to process per second.
    pub prefill: TokenRate,
    /// Output tokens to generate per second.
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

/// Demand by the shape of the calls.
///
/// Decode engines also process the prompts of output-heavy calls, and prefill engines also generate
/// the outputs of prompt-heavy calls, so token sums over both shapes do not show which engines are
/// missing.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ShapedDemand {
    /// Demand of prompt-heavy calls.
    pub prompt_heavy: DemandRate,
    /// Demand of output-heavy calls.
    pub output_heavy: DemandRate,
}

impl std::ops::Add for ShapedDemand {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            prompt_heavy: self.prompt_heavy + other.prompt_heavy,
            output_heavy: self.output_heavy + other.output_heavy,
        }
    }
}

impl std::ops::Mul<f64> for ShapedDemand {
    type Output = Self;

    fn mul(self, factor: f64) -> Self {
        Self {
            prompt_heavy: self.prompt_heavy * factor,
            output_heavy: self.output_heavy * factor,
        }
    }
}

/// Tokens counted by one reporter in one interval.
///
/// The clocks of reporters and leader are not synchronised, so a report carries a sequence number
/// and the length of its interval instead of a timestamp.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandReport {
    /// Sender of the report.
    pub reporter: ReporterId,
    /// Start number of the reporter process; a larger one restarts the sequence numbers.
    pub incarnation: u64,
    /// Number of the interval; increases by one per report.
    pub sequence: u64,
    /// Length of the interval.
    pub interval: Duration,
    /// Key, prompt tokens and output tokens. Keys without an entry had no tokens in the interval.
    pub tokens: Vec<(DemandKey, u64, u64)>,
}

/// How [`DemandEstimator::observe`] handled a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportResult {
    /// The report directly follows the newest one of its reporter, or is its first one.
    Counted,
    /// Reports between the previously newest one and this one are missing; they do not lower the
    /// estimate.
    CountedAfterGap {
        /// Number of missing reports.
        missing: u64,
    },
    /// Newer reports arrived earlier, so this one has a lower weight.
    CountedLate,
    /// The report is a duplicate, older than the duplicate window, from an earlier incarnation, or
    /// has an interval of zero.
    Ignored,
}

/// Whether the estimate is recent and complete enough to act on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Enough reporters reported recently and for long enough.
    Fresh,
    /// Too many reporters are silent or new; planners make no changes.
    Stale,
}

/// Settings of [`DemandEstimator`].
#[derive(Debug, Clone, PartialEq)]
pub struct DemandSettings {
    /// Time constant of the short-term average, which role changes are based on.
    pub short_time_constant: Duration,
    /// Time constant of the long-term average, which with the short-term one decides on starts and
    /// stops.
    pub long_time_constant: Duration,
    /// A reporter without a report for this long counts as silent. The value allows for the report
    /// lag of 5 s plus several lost reports.
    pub silent_after: Duration,
    /// A reporter without a report for this long is removed together with its demand.
    pub forget_after: Duration,
    /// Smallest fraction of the reporters that must be neither silent nor in their warm-up for a
    /// fresh estimate.
    pub fresh_share: f64,
    /// Time that the reports of a reporter must cover before it counts towards a fresh estimate.
    /// With Poisson arrivals, an average over a few seconds is off by half of the mean.
    pub warm_up: Duration,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self {
            short_time_constant: Duration::from_secs(20),
            long_time_constant: Duration::from_mins(5),
            silent_after: Duration::from_secs(15),
            forget_after: Duration::from_mins(1),
            fresh_share: 0.5,
            warm_up: Duration::from_secs(40),
        }
    }
}

/// Demand averaged on both time scales.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DemandSummary {
    /// Short-term average.
    pub short: ShapedDemand,
    /// Long-term average.
    pub long: ShapedDemand,
}

impl std::ops::Add for DemandSummary {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            short: self.short + other.short,
            long: self.long + other.long,
        }
    }
}

/// Average demand of one key on both time scales.
#[derive(Debug, Clone, Copy, Default)]
struct KeyAverages {
    short: DemandRate,
    long: DemandRate,
}

impl DemandSummary {
    /// Extrapolates the linear trend between the two averages to the time `ahead` from now. Rates
    /// that would be negative are zero.
    ///
    /// An exponential average of a linear ramp lags by its time constant, so the slope is the
    /// difference of the averages over the difference of the time constants.
    pub fn forecast(&self, ahead: Duration, settings: &DemandSettings) -> ShapedDemand {
        let span = settings
            .long_time_constant
            .saturating_sub(settings.short_time_constant)
            .as_secs_f64();
        if span <= 0.0 {
            return self.short;
        }
        let extrapolated_seconds = (ahead + settings.short_time_constant).as_secs_f64();
        let extrapolate = |short: TokenRate, long: TokenRate| {
            let slope = (short.as_f64() - long.as_f64()) / span;
            TokenRate::per_second(slope.mul_add(extrapolated_seconds, short.as_f64()))
        };
        let extrapolate_both = |short: DemandRate, long: DemandRate| DemandRate {
            prefill: extrapolate(short.prefill, long.prefill),
            decode: extrapolate(short.decode, long.decode),
        };
        ShapedDemand {
            prompt_heavy: extrapolate_both(self.short.prompt_heavy, self.long.prompt_heavy),
            output_heavy: extrapolate_both(self.short.output_heavy, self.long.output_heavy),
        }
    }
}

#[derive(Debug, Clone)]
struct ReporterState {
    incarnation: u64,
    newest_sequence: u64,
    /// Bit `i` is set if the report with sequence number `newest_sequence - i` was counted.
    received_mask: u64,
    /// Arrival of the last report that was not late.
    last_report_at: TimePoint,
    /// Sum of the intervals of all counted reports.
    covered_time: Duration,
    keys: IndexMap<DemandKey, KeyAverages>,
}

/// Averages the reported demand by service, class and shape over all reporters.
#[derive(Debug, Clone, Default)]
pub struct DemandEstimator {
    settings: DemandSettings,
    reporters: IndexMap<ReporterId, ReporterState>,
}

impl DemandEstimator {
    /// Creates an estimator without reports.
    pub fn new(settings: DemandSettings) -> Self {
        Self {
            settings,
            reporters: IndexMap::new(),
        }
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &DemandSettings {
        &self.settings
    }

    /// Updates the averages with a report that arrived at `now`.
    pub fn observe(&mut self, report: &DemandReport, now: TimePoint) -> ReportResult {
        if report.interval.is_zero() {
            return ReportResult::Ignored;
        }
        let state = self.reporters.get_mut(&report.reporter);
        let known = state.filter(|state| state.incarnation >= report.incarnation);
        let Some(state) = known else {
            let mut state = ReporterState {
                incarnation: report.incarnation,
                newest_sequence: report.sequence,
                received_mask: 1,
                last_report_at: now,
                covered_time: report.interval,
                keys: IndexMap::new(),
            };
            state.update_averages(report, 1.0, 1.0);
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
            state.last_report_at = now;
        }
        state.covered_time += report.interval;
        let interval = report.interval.as_secs_f64();
        // Until the reports cover a time constant, the average is their plain mean.
        let mean_weight = interval / state.covered_time.as_secs_f64();
        let weight = |time_constant: Duration| {
            let time_constant = time_constant.as_secs_f64();
            let on_time_weight = (1.0 - (-interval / time_constant).exp()).max(mean_weight);
            on_time_weight * (-interval * late_by as f64 / time_constant).exp()
        };
        state.update_averages(
            report,
            weight(self.settings.short_time_constant),
            weight(self.settings.long_time_constant),
        );
        result
    }

    /// Removes reporters without a report for [`DemandSettings::forget_after`]. Must be called
    /// before each decision, so that reporters that left do not count as silent.
    pub fn expire(&mut self, now: TimePoint) {
        let limit = self.settings.forget_after;
        self.reporters
            .retain(|_, state| now.since(state.last_report_at) <= limit);
    }

    /// Whether enough reporters reported recently and have completed their warm-up. An estimate
    /// without reporters is stale.
    pub fn freshness(&self, now: TimePoint) -> Freshness {
        let recent = self
            .reporters
            .values()
            .filter(|state| now.since(state.last_report_at) <= self.settings.silent_after)
            .filter(|state| state.covered_time >= self.settings.warm_up)
            .count();
        let required = self.settings.fresh_share * self.reporters.len() as f64;
        if recent == 0 || (recent as f64) < required {
            Freshness::Stale
        } else {
            Freshness::Fresh
        }
    }

    /// Returns the demand of one service and class; zero if none was reported.
    pub fn summary(&self, service: &ServiceId, class: PriorityClass) -> DemandSummary {
        let averages = |shape| {
            let key = DemandKey {
                service: service.clone(),
                class,
                shape,
            };
            self.reporters
                .values()
                .filter_map(|state| state.keys.get(&key))
                .fold(KeyAverages::default(), |sum, averages| KeyAverages {
                    short: sum.short + averages.short,
                    long: sum.long + averages.long,
                })
        };
        let prompt_heavy = averages(CallShape::PromptHeavy);
        let output_heavy = averages(CallShape::OutputHeavy);
        DemandSummary {
            short: ShapedDemand {
                prompt_heavy: prompt_heavy.short,
                output_heavy: output_heavy.short,
            },
            long: ShapedDemand {
                prompt_heavy: prompt_heavy.long,
                output_heavy: output_heavy.long,
            },
        }
    }

    /// Returns the demand of one service over all classes.
    pub fn service_summary(&self, service: &ServiceId) -> DemandSummary {
        let classes = [
            PriorityClass::Urgent,
            PriorityClass::Standard,
            PriorityClass::Bulk,
        ];
        classes
            .into_iter()
            .map(|class| self.summary(service, class))
            .fold(DemandSummary::default(), std::ops::Add::add)
    }
}

impl ReporterState {
    /// Records a sequence number as received. Returns the result and by how many intervals the
    /// report is late, or `None` if it is a duplicate or too old.
    fn accept(&mut self, sequence: u64) -> Option<(ReportResult, u64)> {
        if sequence > self.newest_sequence {
            let step = sequence - self.newest_sequence;
            self.received_mask = if step >= SEQUENCE_WINDOW {
                1
            } else {
                (self.received_mask << step) | 1
            };
            self.newest_sequence = sequence;
            let result = match step - 1 {
                0 => ReportResult::Counted,
                missing => ReportResult::CountedAfterGap { missing },
            };
            return Some((result, 0));
        }
        let late_by = self.newest_sequence - sequence;
        if late_by >= SEQUENCE_WINDOW || self.received_mask & (1 << late_by) != 0 {
            return None;
        }
        self.received_mask |= 1 << late_by;
        Some((ReportResult::CountedLate, late_by))
    }

    /// Moves the averages of all known keys towards the rates of the report by the given weights.
    /// The rate of a key that the report does not list is zero.
    fn update_averages(&mut self, report: &DemandReport, short_weight: f64, long_weight: f64) {
        for (key, ..) in &report.tokens {
            self.keys.entry(key.clone()).or_default();
        }
        let interval = report.interval.as_secs_f64();
        for (key, averages) in &mut self.keys {
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
            averages.short = averages.short * (1.0 - short_weight) + rate * short_weight;
            averages.long = averages.long * (1.0 - long_weight) + rate * long_weight;
        }
    }
}
