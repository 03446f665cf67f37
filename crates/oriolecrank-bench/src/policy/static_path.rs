//! Request path of the static policy: round robin among the engines, first in, first out at each.

use std::collections::{HashMap, VecDeque};

use oriolecrank_schema::control::UpstreamRole;

use super::engine_model::MEMORY_BLOCKS;
use super::request_path::{Attempt, EngineInfo, LoadReport, OfferResult, RequestPath};
use super::traffic::CallKind;

/// Tokens in a block of engine memory.
const BLOCK_TOKENS: u64 = 1_000;

/// Queue of one engine, without a limit of length.
#[derive(Debug, Default)]
struct FifoQueue {
    waiting: VecDeque<Attempt>,
    /// Attempt and its memory in blocks.
    running: Vec<(u32, u64)>,
}

/// Admits all calls, prefers engines with the matching role and retries nothing.
#[derive(Debug, Default)]
pub struct StaticPath {
    queues: Vec<FifoQueue>,
    /// Engine after the last chosen one, by pool and wanted role.
    next: HashMap<(u8, UpstreamRole), usize>,
}

impl RequestPath for StaticPath {
    const RETRIES: bool = false;

    fn add_engine(&mut self, _info: EngineInfo) {
        self.queues.push(FifoQueue::default());
    }

    fn update_engine(&mut self, _engine: usize, _info: EngineInfo) {}

    fn observe(&mut self, _report: &LoadReport, _now_us: u64) {}

    fn admit(&mut self, _attempt: &Attempt, _now_us: u64) -> bool {
        true
    }

    fn choose(&mut self, attempt: &Attempt, engines: &[EngineInfo], _now_us: u64) -> Option<usize> {
        let wanted = match attempt.call.kind {
            CallKind::Read | CallKind::Urgent => UpstreamRole::Prefill,
            CallKind::Chat => UpstreamRole::Decode,
            CallKind::Plain => UpstreamRole::Plain,
        };
        let usable = |info: &EngineInfo| info.ready && info.pool == attempt.call.pool;
        let next = self.next.entry((attempt.call.pool, wanted)).or_default();
        let start = *next;
        let at_offset = |offset: usize| (start + offset) % engines.len();
        let matching = (0..engines.len())
            .map(at_offset)
            .find(|index| usable(&engines[*index]) && engines[*index].role == wanted);
        let any = || {
            (0..engines.len())
                .map(at_offset)
                .find(|index| usable(&engines[*index]))
        };
        let chosen = matching.or_else(any)?;
        *next = chosen + 1;
        Some(chosen)
    }

    fn offer(&mut self, engine: usize, attempt: &Attempt, _now_us: u64) -> OfferResult {
        self.queues[engine].waiting.push_back(*attempt);
        OfferResult::Queued { displaced: None }
    }

    fn take_expired(&mut self, _engine: usize, _now_us: u64) -> Vec<Attempt> {
        Vec::new()
    }

    fn start_next(&mut self, engine: usize, _now_us: u64) -> Option<Attempt> {
        let queue = &mut self.queues[engine];
        let used: u64 = queue.running.iter().map(|(_, blocks)| blocks).sum();
        let call = &queue.waiting.front()?.call;
        let blocks = u64::from(call.prompt + call.output).div_ceil(BLOCK_TOKENS);
        if used + blocks > MEMORY_BLOCKS {
            return None;
        }
        let attempt = queue.waiting.pop_front()?;
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

    fn withdraw(&mut self, engine: usize, clear_running: bool) -> Vec<Attempt> {
        let queue = &mut self.queues[engine];
        if clear_running {
            queue.running.clear();
        }
        queue.waiting.drain(..).collect()
    }

    fn record_crash(&mut self, _running: &[Attempt], _now_us: u64) {}

    fn record_call_end(&mut self, _attempt: &Attempt, _good: bool, _now_us: u64) {}
}
