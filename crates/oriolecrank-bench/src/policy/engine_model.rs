//! Arithmetic model of an engine with continuous batching.
//!
//! An engine works in iterations. Each iteration generates one token for every running sequence
//! whose prompt is processed, and processes a chunk of the other prompts. Its length is a base time,
//! plus a time per generated token, plus a time per prompt token, which is longer while tokens are
//! generated (interference). The role sets the size of the chunk and the number of sequences.

use indexmap::IndexMap;
use oriolecrank_schema::control::UpstreamRole;

/// Base time of an iteration, in microseconds.
const ITERATION_BASE_US: f64 = 12_000.0;

/// Time per generated token, in microseconds.
const OUTPUT_TOKEN_US: f64 = 500.0;

/// Time per prompt token, in microseconds.
const PROMPT_TOKEN_US: f64 = 75.0;

/// Factor on the time per prompt token while tokens are generated.
const INTERFERENCE_FACTOR: f64 = 1.25;

/// Memory of an engine, in blocks of 1,000 tokens.
pub const MEMORY_BLOCKS: u64 = 96;

/// Tokens in a block.
const BLOCK_TOKENS: u32 = 1_000;

/// Time for which a plain service works on one call, in microseconds.
const PLAIN_CALL_US: f64 = 40_000.0;

/// Calls that a plain service works on at a time.
pub const PLAIN_SLOTS: usize = 16;

/// A call on an engine.
#[derive(Debug, Clone, Copy)]
pub struct Sequence {
    /// Index of the call.
    pub call: u32,
    /// Class of the call; a smaller one is served first.
    pub class: u8,
    /// Cached prefix that the prompt begins with.
    pub prefix: u32,
    /// Tokens of the prefix.
    pub prefix_tokens: u32,
    /// Prompt tokens that are not processed.
    pub prompt_left: u32,
    /// Tokens that are not generated.
    pub output_left: u32,
    /// Whether the engine has begun to work on it.
    pub begun: bool,
}

/// What an iteration did.
#[derive(Debug, Default)]
pub struct IterationResult {
    /// Calls that got a token.
    pub tokens: Vec<u32>,
    /// Calls that are complete.
    pub finished: Vec<u32>,
}

/// Counters of an engine since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct EngineCounters {
    /// Prompt tokens that were computed.
    pub prefill: u64,
    /// Prompt tokens that were found in the cache.
    pub cached: u64,
    /// Generated tokens.
    pub decode: u64,
}

/// State of one engine.
#[derive(Debug)]
pub struct EngineModel {
    role: UpstreamRole,
    sequences: Vec<Sequence>,
    /// Cached blocks by prefix, least recently used first.
    cache: IndexMap<u32, u32>,
    cached_blocks: u64,
    /// Prompt tokens per sequence in the iteration that runs.
    chunks: Vec<u32>,
    counters: EngineCounters,
}

impl EngineModel {
    /// An empty engine.
    pub fn new(role: UpstreamRole) -> Self {
        Self {
            role,
            sequences: Vec::new(),
            cache: IndexMap::new(),
            cached_blocks: 0,
            chunks: Vec::new(),
            counters: EngineCounters::default(),
        }
    }

    /// Role that the engine has.
    pub const fn role(&self) -> UpstreamRole {
        self.role
    }

    /// Takes another role; running sequences continue.
    pub const fn set_role(&mut self, role: UpstreamRole) {
        self.role = role;
    }

    /// Counters since the start.
    pub const fn counters(&self) -> EngineCounters {
        self.counters
    }

    /// Number of sequences.
    pub const fn running(&self) -> usize {
        self.sequences.len()
    }

    /// Sequences that run or wait in the engine.
    pub fn sequences(&self) -> &[Sequence] {
        &self.sequences
    }

    /// Adds a sequence; the engine orders them by class.
    pub fn add(&mut self, sequence: Sequence) {
        let position = self
            .sequences
            .partition_point(|other| other.begun || other.class <= sequence.class);
        // Sequences of the iteration that runs are begun, so their positions stay.
        self.sequences.insert(position, sequence);
    }

    /// Removes all sequences and forgets the cache, as a crash does.
    pub fn clear(&mut self) -> Vec<Sequence> {
        self.cache.clear();
        self.cached_blocks = 0;
        self.chunks.clear();
        std::mem::take(&mut self.sequences)
    }

    /// Largest number of prompt tokens in an iteration, and of sequences.
    const fn limits(&self) -> (u32, usize) {
        match self.role {
            UpstreamRole::Prefill => (448, 8),
            UpstreamRole::Decode => (64, 48),
            UpstreamRole::Mixed => (192, 20),
            UpstreamRole::Plain => (0, PLAIN_SLOTS),
        }
    }

    /// Begins an iteration and returns its length in microseconds; `None` if there is nothing to do.
    pub fn begin_iteration(&mut self) -> Option<u64> {
        if self.sequences.is_empty() {
            return None;
        }
        let (chunk, slots) = self.limits();
        if self.role == UpstreamRole::Plain {
            self.chunks = vec![0; self.sequences.len().min(slots)];
            return Some(PLAIN_CALL_US as u64);
        }
        // Sequences continue after a role change without a drain, which only the bound makes.
        let begun = self.sequences.partition_point(|sequence| sequence.begun);
        let slots = slots.max(begun);
        self.look_up_prefixes(slots);
        let mut left = chunk;
        let mut generated = 0;
        self.chunks.clear();
        for sequence in self.sequences.iter_mut().take(slots) {
            sequence.begun = true;
            let part = sequence.prompt_left.min(left);
            left -= part;
            generated += u32::from(sequence.prompt_left == 0);
            self.chunks.push(part);
        }
        let prompt = f64::from(chunk - left) * PROMPT_TOKEN_US;
        let factor = if generated > 0 {
            INTERFERENCE_FACTOR
        } else {
            1.0
        };
        let length = prompt.mul_add(
            factor,
            OUTPUT_TOKEN_US.mul_add(f64::from(generated), ITERATION_BASE_US),
        );
        Some(length as u64)
    }

    /// Ends the iteration that was begun.
    pub fn end_iteration(&mut self) -> IterationResult {
        let chunks = std::mem::take(&mut self.chunks);
        let mut result = IterationResult::default();
        let mut computed_prefixes = Vec::new();
        for (sequence, chunk) in self.sequences.iter_mut().zip(&chunks) {
            self.counters.prefill += u64::from(*chunk);
            sequence.prompt_left -= chunk;
            if sequence.prompt_left > 0 {
                continue;
            }
            if *chunk > 0 && sequence.prefix_tokens >= BLOCK_TOKENS {
                computed_prefixes.push((sequence.prefix, sequence.prefix_tokens / BLOCK_TOKENS));
            }
            self.counters.decode += 1;
            sequence.output_left = sequence.output_left.saturating_sub(1);
            result.tokens.push(sequence.call);
            if sequence.output_left == 0 {
                result.finished.push(sequence.call);
            }
        }
        if !result.finished.is_empty() {
            self.sequences
                .retain(|sequence| sequence.prompt_left > 0 || sequence.output_left > 0);
        }
        for (prefix, blocks) in computed_prefixes {
            self.store_prefix(prefix, blocks);
        }
        result
    }

    fn look_up_prefixes(&mut self, slots: usize) {
        for position in 0..self.sequences.len().min(slots) {
            let sequence = self.sequences[position];
            if sequence.begun || sequence.prefix_tokens < BLOCK_TOKENS {
                continue;
            }
            let Some(blocks) = self.cache.shift_remove(&sequence.prefix) else {
                continue;
            };
            self.cache.insert(sequence.prefix, blocks);
            // The last prompt token is always computed, because it yields the first output token.
            let found = (blocks * BLOCK_TOKENS)
                .min(sequence.prefix_tokens / BLOCK_TOKENS * BLOCK_TOKENS)
                .min(sequence.prompt_left - 1);
            self.sequences[position].prompt_left -= found;
            self.counters.cached += u64::from(found);
        }
    }

    fn store_prefix(&mut self, prefix: u32, blocks: u32) {
        if let Some(old) = self.cache.shift_remove(&prefix) {
            self.cached_blocks -= u64::from(old);
        }
        self.cache.insert(prefix, blocks);
        self.cached_blocks += u64::from(blocks);
        // Half of the memory is kept for running sequences.
        while self.cached_blocks > MEMORY_BLOCKS / 2 {
            let Some((_, blocks)) = self.cache.shift_remove_index(0) else {
                break;
            };
            self.cached_blocks -= u64::from(blocks);
        }
    }
}
