//! Throughput of each upstream, measured from its load reports.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::UpstreamRole;
use oriolecrank_schema::data_path::UpstreamLoad;
use oriolecrank_schema::document::UpstreamId;

use crate::{DemandRate, ShapedDemand, TokenRate};

/// Prefill and decode throughput that an upstream sustains at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RoleThroughput {
    /// Prompt tokens processed per second.
    pub prefill: TokenRate,
    /// Output tokens generated per second.
    pub decode: TokenRate,
}

impl RoleThroughput {
    /// Returns both rates multiplied by `speed`.
    #[must_use]
    pub fn scaled(self, speed: f64) -> Self {
        Self {
            prefill: self.prefill * speed,
            decode: self.decode * speed,
        }
    }
}

/// Number of engines of each role, in units of engines with the nominal speed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineCounts {
    /// Prefill engines.
    pub prefill: f64,
    /// Decode engines.
    pub decode: f64,
    /// Mixed engines.
    pub mixed: f64,
}

impl std::ops::Sub for EngineCounts {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            prefill: self.prefill - other.prefill,
            decode: self.decode - other.decode,
            mixed: self.mixed - other.mixed,
        }
    }
}

impl EngineCounts {
    /// Adds an engine with the given speed relative to nominal; plain upstreams are not counted.
    pub fn add(&mut self, role: UpstreamRole, speed: f64) {
        match role {
            UpstreamRole::Prefill => self.prefill += speed,
            UpstreamRole::Decode => self.decode += speed,
            UpstreamRole::Mixed => self.mixed += speed,
            UpstreamRole::Plain => {}
        }
    }
}

/// Settings of [`CapabilityEstimator`].
#[derive(Debug, Clone, PartialEq)]
pub struct CapabilitySettings {
    /// Nominal throughput of a prefill upstream, to be multiplied by its measured speed.
    pub prefill: RoleThroughput,
    /// Nominal throughput of a decode upstream, to be multiplied by its measured speed.
    pub decode: RoleThroughput,
    /// Nominal throughput of a mixed upstream, to be multiplied by its measured speed.
    pub mixed: RoleThroughput,
    /// Time constant of the exponential average over the measured speeds.
    pub time_constant: Duration,
    /// Lowest and highest accepted speed relative to nominal, as a guard against outliers.
    pub speed_bounds: (f64, f64),
    /// Shortest interval between two reports that is measured; shorter ones are too noisy.
    pub min_interval: Duration,
}

impl Default for CapabilitySettings {
    fn default() -> Self {
        let throughput = |prefill, decode| RoleThroughput {
            prefill: TokenRate::per_second(prefill),
            decode: TokenRate::per_second(decode),
        };
        Self {
            prefill: throughput(9_000.0, 140.0),
            decode: throughput(1_500.0, 1_100.0),
            mixed: throughput(4_600.0, 480.0),
            time_constant: Duration::from_mins(1),
            speed_bounds: (0.25, 4.0),
            min_interval: Duration::from_millis(500),
        }
    }
}

impl CapabilitySettings {
    /// Returns the nominal throughput in a role; zero for plain upstreams, which process no tokens.
    pub fn nominal(&self, role: UpstreamRole) -> RoleThroughput {
        match role {
            UpstreamRole::Prefill => self.prefill,
            UpstreamRole::Decode => self.decode,
            UpstreamRole::Mixed => self.mixed,
            UpstreamRole::Plain => RoleThroughput::default(),
        }
    }
}

#[derive(Debug, Clone)]
struct MeasuredUpstream {
    last_load: UpstreamLoad,
    last_report_at: TimePoint,
    role: UpstreamRole,
    /// Relative to the nominal throughput.
    speed: f64,
}

/// Estimates the throughput of each upstream from its load reports.
///
/// The ratio of prefill to decode throughput in a role is fixed by the settings. The speed of each
/// upstream relative to the settings is lowered only by measurements taken while requests are
/// queued, because an upstream without a queue may be slow for lack of work. It is raised by any
/// faster measurement.
#[derive(Debug, Clone, Default)]
pub struct CapabilityEstimator {
    settings: CapabilitySettings,
    upstreams: IndexMap<UpstreamId, MeasuredUpstream>,
}

impl CapabilityEstimator {
    /// Creates an estimator without measurements.
    pub fn new(settings: CapabilitySettings) -> Self {
        Self {
            settings,
            upstreams: IndexMap::new(),
        }
    }

    /// Updates the speed of an upstream from a load report that arrived at `now`.
    pub fn observe(
        &mut self,
        upstream: &UpstreamId,
        role: UpstreamRole,
        load: &UpstreamLoad,
        now: TimePoint,
    ) {
        let Some(measured) = self.upstreams.get_mut(upstream) else {
            let measured = MeasuredUpstream {
                last_load: load.clone(),
                last_report_at: now,
                role,
                speed: 1.0,
            };
            self.upstreams.insert(upstream.clone(), measured);
            return;
        };
        let interval = now.since(measured.last_report_at);
        if interval < self.settings.min_interval {
            return;
        }
        let counters_restarted = load.prefill_tokens < measured.last_load.prefill_tokens
            || load.decode_tokens < measured.last_load.decode_tokens;
        if !counters_restarted && measured.role == role {
            let speed = relative_speed(&self.settings, role, &measured.last_load, load, interval);
            let saturated = measured.last_load.queued > 0 && load.queued > 0;
            if let Some(speed) = speed.filter(|speed| saturated || *speed > measured.speed) {
                let exponent = interval.as_secs_f64() / self.settings.time_constant.as_secs_f64();
                let weight = 1.0 - (-exponent).exp();
                let (low, high) = self.settings.speed_bounds;
                measured.speed =
                    (measured.speed + (speed - measured.speed) * weight).clamp(low, high);
            }
        }
        measured.last_load = load.clone();
        measured.last_report_at = now;
        measured.role = role;
    }

    /// Drops the measurements of an upstream that has left.
    pub fn remove(&mut self, upstream: &UpstreamId) {
        self.upstreams.shift_remove(upstream);
    }

    /// Returns the estimated throughput of an upstream in a role, whether or not it has that role
    /// now.
    pub fn throughput(&self, upstream: &UpstreamId, role: UpstreamRole) -> RoleThroughput {
        self.settings.nominal(role).scaled(self.speed(upstream))
    }

    /// Returns the speed of an upstream relative to the nominal throughput; 1 if nothing was
    /// measured.
    pub fn speed(&self, upstream: &UpstreamId) -> f64 {
        self.upstreams
            .get(upstream)
            .map_or(1.0, |measured| measured.speed)
    }

    /// Returns the number of engines that a demand keeps fully busy if prefill engines serve all
    /// prompt-heavy calls and decode engines all output-heavy calls.
    pub fn engines_for(&self, demand: ShapedDemand) -> EngineCounts {
        EngineCounts {
            prefill: busy_engines(demand.prompt_heavy, self.settings.prefill),
            decode: busy_engines(demand.output_heavy, self.settings.decode),
            mixed: 0.0,
        }
    }

    /// Returns the fraction of a prefill engine and of a decode engine that one mixed engine
    /// replaces.
    pub fn mixed_engine_shares(&self) -> (f64, f64) {
        let CapabilitySettings {
            prefill,
            decode,
            mixed,
            ..
        } = &self.settings;
        (
            mixed.prefill.ratio_to(prefill.prefill),
            mixed.decode.ratio_to(decode.decode),
        )
    }

    /// Returns the nominal throughput in a role, for upstreams that were not measured.
    pub fn nominal_throughput(&self, role: UpstreamRole) -> RoleThroughput {
        self.settings.nominal(role)
    }
}

/// Number of engines that a rate keeps busy by prompts or by outputs, whichever is larger.
fn busy_engines(rate: DemandRate, throughput: RoleThroughput) -> f64 {
    let prefill = rate.prefill.ratio_to(throughput.prefill);
    prefill.max(rate.decode.ratio_to(throughput.decode))
}

/// Speed between two reports relative to the nominal throughput; `None` if the role processes no
/// tokens. The token counters of `after` must not be below those of `before`.
fn relative_speed(
    settings: &CapabilitySettings,
    role: UpstreamRole,
    before: &UpstreamLoad,
    after: &UpstreamLoad,
    interval: Duration,
) -> Option<f64> {
    let nominal = settings.nominal(role);
    let seconds = interval.as_secs_f64();
    let rate = |before: u64, after: u64| TokenRate::per_second((after - before) as f64 / seconds);
    let prefill = rate(before.prefill_tokens, after.prefill_tokens).ratio_to(nominal.prefill);
    let decode = rate(before.decode_tokens, after.decode_tokens).ratio_to(nominal.decode);
    // An engine that lacks work of one kind exceeds its nominal throughput in the other kind, so
    // only the kind of work that matches the role is measured. The speed of a mixed engine is taken
    // halfway between the busier kind, which overestimates it if the other kind is missing, and the
    // mean of both kinds, which underestimates it.
    match role {
        UpstreamRole::Prefill => Some(prefill),
        UpstreamRole::Decode => Some(decode),
        UpstreamRole::Mixed => Some(f64::midpoint(
            prefill.max(decode),
            f64::midpoint(prefill, decode),
        )),
        UpstreamRole::Plain => None,
    }
}
