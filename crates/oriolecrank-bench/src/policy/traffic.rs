//! Calls of a scenario, drawn from a seed.

use rand::Rng;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::scenario::{Scenario, Variant};

/// Factor on the rate of the largest organisation during a flood.
const FLOOD_FACTOR: f64 = 5.0;

/// Longest allowed time from the arrival of an urgent call to its complete answer, in microseconds.
const URGENT_DEADLINE_US: u64 = 2_000_000;

/// Time between the first sends of two crashing requests, in seconds.
const CRASHING_REQUEST_INTERVAL_S: f64 = 300.0;

/// Number of documents of the largest organisation. Other organisations have fewer in proportion to
/// their weights, but at least two.
const MAX_DOCUMENTS: f64 = 8.0;

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Long prompt that begins with a document, with a short answer.
    Read,
    /// Short prompt with a long answer.
    Chat,
    /// Call with a deadline and an answer of a few tokens.
    Urgent,
    /// Call of the plain service, without a prompt.
    Plain,
}

/// A call as the caller sends it.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// Time of arrival, in microseconds.
    pub arrival_us: u64,
    /// Index of the organisation.
    pub organisation: u16,
    /// Index of the region that the caller is in.
    pub region: u8,
    /// Index of the engine pool; equal to the number of pools if the plain service is called.
    pub pool: u8,
    /// Determines the size of prompt and answer.
    pub kind: CallKind,
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// Identifies the document or shared prompt that the prompt begins with; calls with the same
    /// value share cached tokens.
    pub prefix: u32,
    /// Length of that beginning in tokens; 0 if nothing is shared.
    pub prefix_tokens: u32,
    /// Time by which the answer must be complete, in microseconds; only urgent calls have one.
    pub deadline_us: Option<u64>,
    /// Whether the call crashes each engine that runs it.
    pub crashes: bool,
    /// Whether the call exceeds the usual load because of a flood; it is not counted as offered.
    pub excess: bool,
}

/// Start and end of the flood or of the loss of a failure domain, in seconds: the middle third of
/// the replay.
pub fn disturbance_period(scenario: &Scenario) -> (f64, f64) {
    let third = scenario.length_s as f64 / 3.0;
    (third, 2.0 * third)
}

/// All calls of a replay in the order of their arrival.
pub fn calls(scenario: &Scenario, variant: Variant, seed: u64) -> Vec<Call> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (variant as u64) << 32);
    let mut calls = Vec::new();
    for pool in 0..scenario.pools.len() {
        for kind in [CallKind::Read, CallKind::Chat, CallKind::Urgent] {
            let rate = |second: f64| {
                let rates = scenario.rates(pool, variant, second);
                match kind {
                    CallKind::Read => rates.reads,
                    CallKind::Chat => rates.chats,
                    CallKind::Urgent => rates.urgent,
                    CallKind::Plain => 0.0,
                }
            };
            add_arrivals(scenario, variant, pool, kind, rate, &mut calls, &mut rng);
        }
    }
    let plain = scenario.pools.len();
    let rate = |_| scenario.plain_rate;
    add_arrivals(
        scenario,
        variant,
        plain,
        CallKind::Plain,
        rate,
        &mut calls,
        &mut rng,
    );
    if variant == Variant::CrashingRequest {
        mark_crashing(&mut calls);
    }
    calls.sort_by_key(|call| call.arrival_us);
    calls
}

/// Adds calls of one kind with Poisson arrivals at a varying rate.
fn add_arrivals(
    scenario: &Scenario,
    variant: Variant,
    pool: usize,
    kind: CallKind,
    rate: impl Fn(f64) -> f64,
    calls: &mut Vec<Call>,
    rng: &mut ChaCha8Rng,
) {
    let (flood_from, flood_until) = disturbance_period(scenario);
    // The largest organisation calls the first model and the plain service.
    let largest_calls_pool = pool == 0 || pool == scenario.pools.len();
    let share = if largest_calls_pool {
        share_in_pool(scenario, pool)
    } else {
        0.0
    };
    let excess_ratio = share * (FLOOD_FACTOR - 1.0);
    let mut second = 0.0;
    loop {
        let floods = variant == Variant::Flood && second >= flood_from && second < flood_until;
        let base = rate(second);
        let total = if floods {
            base * (1.0 + excess_ratio)
        } else {
            base
        };
        if total <= 0.0 {
            return;
        }
        let wait = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / total;
        // The rate varies, so it is read again after at most one second.
        if wait > 1.0 {
            second += 1.0;
        } else {
            second += wait;
        }
        if second >= scenario.length_s as f64 {
            return;
        }
        if wait > 1.0 {
            continue;
        }
        let is_excess = floods && rng.random_bool(excess_ratio / (1.0 + excess_ratio));
        let organisation = if is_excess {
            0
        } else {
            draw_organisation(scenario, pool, rng)
        };
        let mut call = draw_call(scenario, pool, kind, organisation, second, rng);
        call.excess = is_excess;
        calls.push(call);
    }
}

/// Share of the largest organisation in the calls of `pool`, which must be one that it calls.
fn share_in_pool(scenario: &Scenario, pool: usize) -> f64 {
    let pools = scenario.pools.len();
    let weights = scenario.organisations.iter().enumerate();
    let members = weights.filter(|(index, _)| pool == pools || index % pools == pool);
    scenario.organisations[0] / members.map(|(_, weight)| weight).sum::<f64>()
}

/// Draws an organisation by weight. Each organisation calls one of the models; all call the plain
/// service.
fn draw_organisation(scenario: &Scenario, pool: usize, rng: &mut ChaCha8Rng) -> usize {
    let weights = &scenario.organisations;
    let pools = scenario.pools.len();
    let calls = |index: &usize| pool == pools || index % pools == pool;
    let members = (0..weights.len()).filter(calls);
    let sum: f64 = members.clone().map(|index| weights[index]).sum();
    let mut left = rng.random::<f64>() * sum;
    let mut last = 0;
    for index in members {
        last = index;
        left -= weights[index];
        if left < 0.0 {
            break;
        }
    }
    last
}

fn draw_call(
    scenario: &Scenario,
    pool: usize,
    kind: CallKind,
    organisation: usize,
    second: f64,
    rng: &mut ChaCha8Rng,
) -> Call {
    let arrival_us = (second * 1e6) as u64;
    let share = scenario.organisations[organisation] / scenario.organisations[0];
    let documents = (MAX_DOCUMENTS * share).ceil().max(2.0) as u32;
    let document = rng.random_range(0..documents);
    let (prompt, prefix_tokens, output) = match kind {
        CallKind::Read => {
            let prefix = 3_000 + document % 4 * 1_000;
            (
                prefix + rng.random_range(1_500..4_000),
                prefix,
                rng.random_range(30..70),
            )
        }
        CallKind::Chat => (rng.random_range(300..700), 0, rng.random_range(150..350)),
        CallKind::Urgent => (1_000 + rng.random_range(200..800), 1_000, 4),
        CallKind::Plain => (0, 0, 1),
    };
    // The urgent calls of an organisation begin with the same prompt, its reads with one of its
    // documents.
    let document = if kind == CallKind::Read {
        document + 1
    } else {
        0
    };
    Call {
        arrival_us,
        organisation: organisation as u16,
        region: rng.random_range(0..scenario.regions) as u8,
        pool: pool as u8,
        kind,
        prompt,
        output,
        prefix: ((pool * scenario.organisations.len() + organisation) as u32) << 8 | document,
        prefix_tokens,
        deadline_us: (kind == CallKind::Urgent).then_some(arrival_us + URGENT_DEADLINE_US),
        crashes: false,
        excess: false,
    }
}

/// Makes the first read after each interval crash its engine. The calls are still grouped by pool,
/// so only reads of the first pool are marked.
fn mark_crashing(calls: &mut [Call]) {
    let mut due_us = CRASHING_REQUEST_INTERVAL_S * 1e6;
    for call in calls {
        if call.kind == CallKind::Read && call.arrival_us as f64 >= due_us {
            call.crashes = true;
            due_us += CRASHING_REQUEST_INTERVAL_S * 1e6;
        }
    }
}
