//! Measured ability of each upstream.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::UpstreamRole;
use oriolecrank_schema::data_path::UpstreamLoad;
use oriolecrank_schema::document::UpstreamId;

use crate::{DemandRate, ShapedDemand, TokenRate};

/// Tokens per second that an upstream is able to process and to generate at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RoleAbility {
    /// Prompt tokens.
    pub prefill: TokenRate,
    /// Output tokens.
    pub decode: TokenRate,
}

impl RoleAbility {
    /// The same mix of abilities, faster by `speed`.
    #[must_use]
    pub fn scaled(self, speed: f64) -> Self {
        Self {
            prefill: self.prefill * speed,
            decode: self.decode * speed,
        }
    }
}

/// Number of engines of each role, in engines of stated speed.
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
    /// Adds an engine.
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
    /// Ability of a prefill upstream before anything was measured.
    pub prefill: RoleAbility,
    /// Ability of a decode upstream before anything was measured.
    pub decode: RoleAbility,
    /// Ability of a mixed upstream before anything was measured.
    pub mixed: RoleAbility,
    /// Time constant with which measurements replace the stated abilities.
    pub time_constant: Duration,
    /// Bounds of the measured speed relative to the stated abilities, against outliers.
    pub speed_bounds: (f64, f64),
    /// Shorter intervals between reports are too noisy to count.
    pub shortest_interval: Duration,
}

impl Default for CapabilitySettings {
    fn default() -> Self {
        let ability = |prefill, decode| RoleAbility {
            prefill: TokenRate::per_second(prefill),
            decode: TokenRate::per_second(decode),
        };
        Self {
            prefill: ability(9_000.0, 140.0),
            decode: ability(1_500.0, 1_100.0),
            mixed: ability(4_600.0, 480.0),
            time_constant: Duration::from_mins(1),
            speed_bounds: (0.25, 4.0),
            shortest_interval: Duration::from_millis(500),
        }
    }
}

impl CapabilitySettings {
    /// Stated ability in a role; plain services process no tokens.
    pub fn stated(&self, role: UpstreamRole) -> RoleAbility {
        match role {
            UpstreamRole::Prefill => self.prefill,
            UpstreamRole::Decode => self.decode,
            UpstreamRole::Mixed => self.mixed,
            UpstreamRole::Plain => RoleAbility::default(),
        }
    }
}

#[derive(Debug, Clone)]
struct MeasuredUpstream {
    last: UpstreamLoad,
    last_at: TimePoint,
    role: UpstreamRole,
    speed: f64,
}

/// What each upstream is able to do, learned from its load reports.
///
/// The mix of abilities in a role is stated; the speed of each upstream relative to it is measured
/// while requests wait, because only then the upstream works as fast as it can.
#[derive(Debug, Clone, Default)]
pub struct CapabilityEstimator {
    settings: CapabilitySettings,
    upstreams: IndexMap<UpstreamId, MeasuredUpstream>,
}

impl CapabilityEstimator {
    /// An estimator without measurements.
    pub fn new(settings: CapabilitySettings) -> Self {
        Self {
            settings,
            upstreams: IndexMap::new(),
        }
    }

    /// Counts a load report that arrived at `now`.
    pub fn observe(
        &mut self,
        upstream: &UpstreamId,
        role: UpstreamRole,
        load: &UpstreamLoad,
        now: TimePoint,
    ) {
        let Some(known) = self.upstreams.get_mut(upstream) else {
            let measured = MeasuredUpstream {
                last: load.clone(),
                last_at: now,
                role,
                speed: 1.0,
            };
            self.upstreams.insert(upstream.clone(), measured);
            return;
        };
        let interval = now.since(known.last_at);
        if interval < self.settings.shortest_interval {
            return;
        }
        let restarted = load.prefill_tokens < known.last.prefill_tokens
            || load.decode_tokens < known.last.decode_tokens;
        if !restarted && known.role == role {
            let speed = relative_speed(&self.settings, role, &known.last, load, interval);
            let saturated = known.last.queued > 0 && load.queued > 0;
            if let Some(speed) = speed.filter(|speed| saturated || *speed > known.speed) {
                let share = interval.as_secs_f64() / self.settings.time_constant.as_secs_f64();
                let weight = 1.0 - (-share).exp();
                let (low, high) = self.settings.speed_bounds;
                known.speed = (known.speed + (speed - known.speed) * weight).clamp(low, high);
            }
        }
        known.last = load.clone();
        known.last_at = now;
        known.role = role;
    }

    /// Forgets an upstream that has left.
    pub fn remove(&mut self, upstream: &UpstreamId) {
        self.upstreams.shift_remove(upstream);
    }

    /// Ability of an upstream in a role, whether or not it has that role now.
    pub fn ability(&self, upstream: &UpstreamId, role: UpstreamRole) -> RoleAbility {
        self.settings.stated(role).scaled(self.speed(upstream))
    }

    /// Speed of an upstream relative to the stated ability.
    pub fn speed(&self, upstream: &UpstreamId) -> f64 {
        self.upstreams.get(upstream).map_or(1.0, |one| one.speed)
    }

    /// Engines that a demand keeps fully busy: prefill engines for prompt-heavy calls and decode
    /// engines for output-heavy calls.
    pub fn engines_for(&self, demand: ShapedDemand) -> EngineCounts {
        EngineCounts {
            prefill: busy_engines(demand.prompt_heavy, self.settings.prefill),
            decode: busy_engines(demand.output_heavy, self.settings.decode),
            mixed: 0.0,
        }
    }

    /// Part of a prefill and of a decode engine that a mixed engine replaces.
    pub fn mixed_parts(&self) -> (f64, f64) {
        let CapabilitySettings {
            prefill,
            decode,
            mixed,
            ..
        } = &self.settings;
        (
            mixed.prefill.share_of(prefill.prefill),
            mixed.decode.share_of(decode.decode),
        )
    }

    /// Ability of an upstream of average speed in a role, for starts.
    pub fn typical(&self, role: UpstreamRole) -> RoleAbility {
        self.settings.stated(role)
    }
}

/// Engines that a rate keeps busy by prompts or by outputs, whichever is more.
fn busy_engines(rate: DemandRate, ability: RoleAbility) -> f64 {
    let prefill = rate.prefill.share_of(ability.prefill);
    prefill.max(rate.decode.share_of(ability.decode))
}

/// Speed relative to the stated ability; `None` if the role processes no tokens.
fn relative_speed(
    settings: &CapabilitySettings,
    role: UpstreamRole,
    before: &UpstreamLoad,
    after: &UpstreamLoad,
    interval: Duration,
) -> Option<f64> {
    let stated = settings.stated(role);
    let seconds = interval.as_secs_f64();
    let rate = |before: u64, after: u64| TokenRate::per_second((after - before) as f64 / seconds);
    let prefill = rate(before.prefill_tokens, after.prefill_tokens).share_of(stated.prefill);
    let decode = rate(before.decode_tokens, after.decode_tokens).share_of(stated.decode);
    // An engine that lacks work of one kind is faster at the other than its stated ability, so only
    // the kind that the role is set up for shows the speed. A mixed engine is judged between the
    // busier kind, which is too high without the other, and the mean, which is too low.
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
