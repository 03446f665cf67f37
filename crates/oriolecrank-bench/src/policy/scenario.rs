//! Scenarios and their variants.

use oriolecrank_schema::control::UpstreamRole;

/// Period of the swing between mostly reads and mostly chats, in seconds.
const SWING_PERIOD_S: f64 = 1_800.0;

/// Time in which the shares change from one extreme to the other, in seconds; shorter than a cold
/// start.
const SWING_RAMP_S: f64 = 120.0;

/// What happens in a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Constant rates of reads and chats.
    Steady,
    /// The load alternates between mostly reads and mostly chats.
    Swing,
    /// The largest organisation sends a multiple of its usual calls for a third of the time.
    Flood,
    /// A failure domain is lost for a third of the time.
    DomainLost,
    /// Some requests crash each engine that runs them, and their callers send them repeatedly.
    CrashingRequest,
    /// Swings, with reports 5 s late and 20% of them lost.
    LateReports,
}

impl Variant {
    /// All variants, in the order of the output.
    pub const ALL: [Self; 6] = [
        Self::Steady,
        Self::Swing,
        Self::Flood,
        Self::DomainLost,
        Self::CrashingRequest,
        Self::LateReports,
    ];

    /// Name in arguments and output.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Swing => "swing",
            Self::Flood => "flood",
            Self::DomainLost => "domain_lost",
            Self::CrashingRequest => "crashing_request",
            Self::LateReports => "late_reports",
        }
    }

    /// Whether the load alternates between mostly reads and mostly chats.
    pub const fn swings(self) -> bool {
        matches!(self, Self::Swing | Self::LateReports)
    }
}

/// Calls per second, by kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallRates {
    /// Long prompts with short answers, such as questions about a document.
    pub reads: f64,
    /// Short prompts with long answers.
    pub chats: f64,
    /// Calls with a deadline and a very short answer.
    pub urgent: f64,
}

/// Engines that serve one model.
#[derive(Debug, Clone)]
pub struct EnginePool {
    /// Initial role of each engine, suitable for [`Variant::Steady`].
    pub roles: Vec<UpstreamRole>,
    /// Factor on the rates for one engine: the number of engines.
    pub scale: f64,
}

/// Engines, organisations and load of a replay.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name in arguments and output.
    pub name: &'static str,
    /// Engine pools, one per model.
    pub pools: Vec<EnginePool>,
    /// Number of plain upstreams.
    pub plain: usize,
    /// Calls per second of the plain service, which all organisations call.
    pub plain_rate: f64,
    /// Weight of each organisation in the draw of a call's sender, largest first; the sum is 1.
    pub organisations: Vec<f64>,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of regions; failure domain `i` is in region `i % regions`.
    pub regions: usize,
    /// Replayed time in seconds.
    pub length_s: u64,
    /// Rates per unit of [`EnginePool::scale`] at the read-heavy end, in the middle and at the
    /// chat-heavy end of a swing.
    rates: [CallRates; 3],
}

impl Scenario {
    /// Names of all scenarios, in the order of the output.
    pub const NAMES: [&'static str; 3] = ["brine", "refugio", "large"];

    /// The scenario with a name, `None` if there is none. `quick` shortens it to 600 s.
    pub fn named(name: &str, quick: bool) -> Option<Self> {
        let scenario = match name {
            "brine" => Self::brine(),
            "refugio" => Self::refugio(),
            "large" => Self::large(),
            _ => return None,
        };
        let length_s = if quick { 600 } else { scenario.length_s };
        Some(Self {
            length_s,
            ..scenario
        })
    }

    /// One pool of 8 engines at peak load, and 3 plain upstreams.
    fn brine() -> Self {
        Self {
            name: "brine",
            pools: vec![EnginePool::sized(8)],
            plain: 3,
            plain_rate: 6.0,
            organisations: zipf_weights(8, 1.1),
            domains: 3,
            regions: 3,
            length_s: 3_600,
            rates: SWING_RATES,
        }
    }

    /// One pool of 6 engines and 3 plain upstreams, with organisations of more even size.
    fn refugio() -> Self {
        Self {
            name: "refugio",
            pools: vec![EnginePool::sized(6)],
            plain: 3,
            plain_rate: 4.0,
            organisations: zipf_weights(8, 0.9),
            domains: 3,
            regions: 3,
            length_s: 3_600,
            rates: SWING_RATES,
        }
    }

    /// A tenth of the 1,600 engines that the system is designed for, with all of its models and
    /// organisations: 160 engines, 11 models, 340 organisations.
    fn large() -> Self {
        let sizes = [40, 28, 20, 16, 13, 11, 9, 7, 6, 5, 5];
        Self {
            name: "large",
            pools: sizes.into_iter().map(EnginePool::sized).collect(),
            plain: 0,
            plain_rate: 0.0,
            organisations: zipf_weights(340, 1.0),
            domains: 10,
            regions: 4,
            length_s: 1_800,
            rates: SWING_RATES,
        }
    }

    /// Rates of a pool at a time, in seconds since the start.
    pub fn rates(&self, pool: usize, variant: Variant, second: f64) -> CallRates {
        let scale = self.pools[pool].scale;
        let [reading, middle, chatting] = self.rates;
        let position = if variant.swings() {
            swing_position(second)
        } else {
            0.0
        };
        let (end, share) = if position < 0.0 {
            (reading, -position)
        } else {
            (chatting, position)
        };
        let between = |from: f64, to: f64| scale * (to - from).mul_add(share, from);
        CallRates {
            reads: between(middle.reads, end.reads),
            chats: between(middle.chats, end.chats),
            urgent: between(middle.urgent, end.urgent),
        }
    }
}

/// Rates for one engine of a pool. A read computes about 5,000 prompt tokens, without the cached
/// ones, and generates 50 tokens; a chat computes 500 and generates 250. With suitable roles, the
/// rates keep about six of eight engines busy.
const SWING_RATES: [CallRates; 3] = [
    CallRates {
        reads: 0.7,
        chats: 0.3,
        urgent: 0.4,
    },
    CallRates {
        reads: 0.4,
        chats: 1.0,
        urgent: 0.4,
    },
    CallRates {
        reads: 0.08,
        chats: 2.0,
        urgent: 0.4,
    },
];

impl EnginePool {
    /// A pool of `engines` with five prefill for every three decode engines.
    fn sized(engines: usize) -> Self {
        let prefill = (engines * 5 + 4) / 8;
        let prefill = prefill.clamp(1, engines - 1);
        // The roles are interleaved, so that each failure domain has both.
        let roles = (0..engines)
            .map(|index| {
                let before = index * prefill / engines;
                let after = (index + 1) * prefill / engines;
                if after > before {
                    UpstreamRole::Prefill
                } else {
                    UpstreamRole::Decode
                }
            })
            .collect();
        Self {
            roles,
            scale: engines as f64,
        }
    }
}

/// Weights by Zipf's law: proportional to `1 / rank^exponent`, with sum 1.
fn zipf_weights(count: usize, exponent: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=count)
        .map(|rank| (rank as f64).powf(-exponent))
        .collect();
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / sum).collect()
}

/// Position in the swing: -1 at the read-heavy end, 1 at the chat-heavy end. It is 0 at the start.
fn swing_position(second: f64) -> f64 {
    let half = SWING_PERIOD_S / 2.0;
    let phase = second.rem_euclid(SWING_PERIOD_S);
    let (start, from, to) = if second < half {
        (0.0, 0.0, -1.0)
    } else if phase < half {
        (0.0, 1.0, -1.0)
    } else {
        (half, -1.0, 1.0)
    };
    let progress = ((phase - start) / SWING_RAMP_S).min(1.0);
    from + (to - from) * progress
}
