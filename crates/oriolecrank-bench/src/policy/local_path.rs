//! Request path with admission, class order, fair queueing, prefix affinity and suspects.

use std::collections::HashMap;

use oriolecrank_schema::control::UpstreamRole;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::engine_model::MEMORY_BLOCKS;
use super::request_path::{Attempt, EngineInfo, LoadReport, RequestPath};
use super::traffic::{Call, CallKind};

/// Tokens in a block of engine memory.
const BLOCK_TOKENS: u64 = 1_000;

/// Time to the first token that an answer is worth, in microseconds.
const FIRST_TOKEN_US: u64 = 1_100_000;

/// Prompt tokens that an engine of a role processes in a second.
fn prefill_rate(role: UpstreamRole) -> f64 {
    match role {
        UpstreamRole::Prefill => 8_500.0,
        UpstreamRole::Mixed => 4_800.0,
        UpstreamRole::Decode => 1_550.0,
        UpstreamRole::Plain => 1e9,
    }
}

/// Sequences that an engine of a role runs without missing the bound between tokens.
fn slots(role: UpstreamRole) -> f64 {
    match role {
        UpstreamRole::Prefill => 8.0,
        UpstreamRole::Mixed => 20.0,
        UpstreamRole::Decode => 48.0,
        UpstreamRole::Plain => 16.0,
    }
}

#[derive(Debug, Default)]
struct AgentQueue {
    waiting: Vec<Attempt>,
    running: Vec<(u32, u64)>,
    served: HashMap<u16, f64>,
    floor: f64,
}

/// What one entry believes of an engine.
#[derive(Debug, Clone, Default)]
struct EngineBelief {
    /// Calls running and waiting by the last report.
    reported: f64,
    taken_us: u64,
    /// Own dispatches: time and expected seconds of prefill.
    dispatched: Vec<(u64, f64)>,
    /// Documents that were sent there.
    prefixes: HashMap<u32, u64>,
}

/// The request path of all policies but the static one.
#[derive(Debug)]
pub struct LocalPath {
    queues: Vec<AgentQueue>,
    entries: Vec<Vec<EngineBelief>>,
    crashes: HashMap<u32, u32>,
    random: ChaCha8Rng,
}

impl LocalPath {
    /// A path with one entry per region.
    pub fn new(regions: usize, seed: u64) -> Self {
        Self {
            queues: Vec::new(),
            entries: vec![Vec::new(); regions],
            crashes: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

fn blocks(call: &Call) -> u64 {
    u64::from(call.prompt + call.output).div_ceil(BLOCK_TOKENS)
}

/// Latest time at which the first token is still on time.
fn first_token_bound(call: &Call) -> u64 {
    let bound = call.arrival_us + FIRST_TOKEN_US;
    call.deadline_us
        .map_or(bound, |deadline| bound.min(deadline))
}

impl RequestPath for LocalPath {
    const RETRIES: bool = true;

    fn add_engine(&mut self, _info: EngineInfo) {
        self.queues.push(AgentQueue::default());
        for entry in &mut self.entries {
            entry.push(EngineBelief::default());
        }
    }

    fn observe(&mut self, report: &LoadReport, _now_us: u64) {
        for entry in &mut self.entries {
            let belief = &mut entry[report.engine];
            if report.taken_us < belief.taken_us {
                continue;
            }
            belief.taken_us = report.taken_us;
            belief.reported = f64::from(report.load.running + report.load.queued);
            belief.dispatched.retain(|(at, _)| *at > report.taken_us);
        }
    }

    fn admit(&mut self, attempt: &Attempt, _now_us: u64) -> bool {
        self.crashes
            .get(&attempt.id)
            .is_none_or(|crashes| *crashes < 2)
    }

    fn choose(&mut self, attempt: &Attempt, engines: &[EngineInfo], now_us: u64) -> Option<usize> {
        let call = &attempt.call;
        let beliefs = &mut self.entries[usize::from(call.region)];
        let mut best: Option<(f64, usize)> = None;
        for (index, info) in engines.iter().enumerate() {
            if !info.ready || info.pool != call.pool {
                continue;
            }
            let belief = &beliefs[index];
            let age = now_us.saturating_sub(belief.taken_us) as f64 / 1e6;
            let own = belief.dispatched.len() as f64;
            let load = (belief.reported * (-age / 4.0).exp() + own) / slots(info.role);
            let known = belief.prefixes.contains_key(&call.prefix);
            let cached = if known { call.prefix_tokens } else { 0 };
            let prefill = f64::from(call.prompt - cached.min(call.prompt.saturating_sub(1)))
                / prefill_rate(info.role);
            let queueing = match info.role {
                UpstreamRole::Prefill => 1.6,
                UpstreamRole::Mixed => 1.2,
                UpstreamRole::Decode | UpstreamRole::Plain => 0.6,
            };
            // A chat on a prefill engine holds one of few sequences for seconds.
            let holds = match (call.kind, info.role) {
                (CallKind::Chat, UpstreamRole::Prefill) => 2.0,
                (CallKind::Chat, UpstreamRole::Mixed) => 0.2,
                _ => 0.0,
            };
            let far = if info.region == call.region {
                0.0
            } else {
                0.04
            };
            let jitter = self.random.random::<f64>() * 0.01;
            let score = load * queueing + prefill + holds + far + jitter;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, index));
            }
        }
        let (score, chosen) = best?;
        if score > 6.0 {
            return None;
        }
        let belief = &mut beliefs[chosen];
        belief.dispatched.push((now_us, score));
        if call.prefix_tokens > 0 {
            belief.prefixes.insert(call.prefix, now_us);
            if belief.prefixes.len() > 24 {
                let oldest = belief
                    .prefixes
                    .iter()
                    .min_by_key(|(prefix, at)| (**at, **prefix));
                let oldest = oldest.map(|(prefix, _)| *prefix);
                oldest.map(|prefix| belief.prefixes.remove(&prefix));
            }
        }
        Some(chosen)
    }

    fn offer(&mut self, engine: usize, attempt: &Attempt, _now_us: u64) -> bool {
        let queue = &mut self.queues[engine];
        if queue.waiting.len() >= 256 {
            return false;
        }
        queue.waiting.push(*attempt);
        true
    }

    fn start_next(&mut self, engine: usize, now_us: u64) -> Option<Attempt> {
        let queue = &mut self.queues[engine];
        // An attempt that has sent tokens is past its first-token bound and is never dropped.
        queue
            .waiting
            .retain(|attempt| attempt.sent > 0 || now_us <= first_token_bound(&attempt.call));
        let used: u64 = queue.running.iter().map(|(_, blocks)| blocks).sum();
        let served = |organisation: u16| queue.served.get(&organisation).copied().unwrap_or(0.0);
        let floor = queue.floor;
        let position = (0..queue.waiting.len()).min_by(|one, other| {
            let one = &queue.waiting[*one];
            let other = &queue.waiting[*other];
            let virtual_time = |attempt: &Attempt| served(attempt.call.organisation).max(floor);
            one.class()
                .cmp(&other.class())
                .then(virtual_time(one).total_cmp(&virtual_time(other)))
                .then(one.call.arrival_us.cmp(&other.call.arrival_us))
        })?;
        let blocks = blocks(&queue.waiting[position].call);
        if used + blocks > MEMORY_BLOCKS {
            return None;
        }
        let attempt = queue.waiting.remove(position);
        let time = served(attempt.call.organisation).max(floor);
        queue.floor = time;
        let tokens = f64::from(attempt.call.prompt + attempt.call.output);
        queue
            .served
            .insert(attempt.call.organisation, time + tokens);
        queue.running.push((attempt.id, blocks));
        Some(attempt)
    }

    fn finish(&mut self, engine: usize, id: u32, _served: u32, _now_us: u64) {
        self.queues[engine]
            .running
            .retain(|(other, _)| *other != id);
    }

    fn waiting(&self, engine: usize) -> usize {
        self.queues[engine].waiting.len()
    }

    fn withdraw(&mut self, engine: usize, crashed: bool) -> Vec<Attempt> {
        let queue = &mut self.queues[engine];
        if crashed {
            queue.running.clear();
            for entry in &mut self.entries {
                entry[engine] = EngineBelief::default();
            }
        }
        queue.waiting.drain(..).collect()
    }

    fn record_crash(&mut self, running: &[Attempt], _now_us: u64) {
        for attempt in running {
            *self.crashes.entry(attempt.id).or_default() += 1;
        }
    }

    fn ended(&mut self, attempt: &Attempt, _good: bool, _now_us: u64) {
        self.crashes.remove(&attempt.id).unwrap_or(0);
    }
}
