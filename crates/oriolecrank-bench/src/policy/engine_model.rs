//! Timing model of an engine with continuous batching.
//!
//! An engine works in iterations. Each iteration generates one token for every running sequence
//! whose prompt is processed, and processes a chunk of the other prompts. Its duration is a base
//! time, plus a time per generated token, plus a time per prompt token, which is longer if the
//! iteration also generates tokens (interference). The role determines the size of the chunk and
//! the number of sequences.

use indexmap::IndexMap;
use oriolecrank_schema::control::UpstreamRole;

/// Base time of an iteration, in microseconds.
const ITERATION_BASE_US: f64 = 12_000.0;

/// Time per generated token, in microseconds.
const OUTPUT_TOKEN_US: f64 = 500.0;

/// Time per prompt token, in microseconds.
const PROMPT_TOKEN_US: f64 = 75.0;

/// Factor on the time per prompt token in iterations that also generate tokens.
const INTERFERENCE_FACTOR: f64 = 1.25;

/// Memory of an engine, in blocks of 1,000 tokens.
pub const MEMORY_BLOCKS: u64 = 96;

/// Number of tokens in a block of memory.
const BLOCK_TOKENS: u32 = 1_000;

/// Time in which a plain service completes its running calls, in microseconds.
const PLAIN_CALL_US: f64 = 40_000.0;

/// Largest number of calls that a plain service runs at a time.
pub const PLAIN_SLOTS: usize = 16;

/// A call that runs or waits in an engine.
#[derive(Debug, Clone, Copy)]
pub struct Sequence {
    /// Index of the call.
    pub call: u32,
    /// Priority of the call; the smaller one is served first.
    pub class: u8,
    /// Identifies the prefix of the prompt in the cache.
    pub prefix: u32,
    /// Length of the prefix in tokens; prefixes shorter than a block are not cached.
    pub prefix_tokens: u32,
    /// Prompt tokens that are still to be processed.
    pub prompt_left: u32,
    /// Tokens that are still to be generated.
    pub output_left: u32,
    /// Whether the sequence has taken part in an iteration.
    pub begun: bool,
}

/// Effect of an iteration on the calls.
#[derive(Debug, Default)]
pub struct IterationResult {
    /// Calls for which a token was generated.
    pub tokens: Vec<u32>,
    /// Calls whose last token was generated.
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

/// An engine or plain service in virtual time; the caller of its functions keeps the clock.
#[derive(Debug)]
pub struct EngineModel {
    role: UpstreamRole,
    sequences: Vec<Sequence>,
    /// Cached blocks by prefix, least recently used first.
    cache: IndexMap<u32, u32>,
    cached_blocks: u64,
    /// Prompt tokens that the running iteration processes, by position in `sequences`.
    chunks: Vec<u32>,
    counters: EngineCounters,
}

impl EngineModel {
    /// An engine without sequences and with an empty cache.
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

    /// Current role, which determines the limits of an iteration.
    pub const fn role(&self) -> UpstreamRole {
        self.role
    }

    /// Changes the role; running sequences continue.
    pub const fn set_role(&mut self, role: UpstreamRole) {
        self.role = role;
    }

    /// Counters since the start; a crash does not reset them.
    pub const fn counters(&self) -> EngineCounters {
        self.counters
    }

    /// Number of sequences that run or wait in the engine.
    pub const fn running(&self) -> usize {
        self.sequences.len()
    }

    /// Sequences that run or wait in the engine.
    pub fn sequences(&self) -> &[Sequence] {
        &self.sequences
    }

    /// Adds a sequence behind those that have begun and those of the same or a smaller class.
    pub fn add(&mut self, sequence: Sequence) {
        let position = self
            .sequences
            .partition_point(|other| other.begun || other.class <= sequence.class);
        // Sequences of the running iteration have begun, so their positions still match `chunks`.
        self.sequences.insert(position, sequence);
    }

    /// Removes and returns all sequences and empties the cache, as a crash does.
    pub fn clear(&mut self) -> Vec<Sequence> {
        self.cache.clear();
        self.cached_blocks = 0;
        self.chunks.clear();
        std::mem::take(&mut self.sequences)
    }

    /// Largest number of prompt tokens and of sequences in an iteration.
    const fn limits(&self) -> (u32, usize) {
        match self.role {
            UpstreamRole::Prefill => (448, 8),
            UpstreamRole::Decode => (64, 48),
            UpstreamRole::Mixed => (192, 20),
            UpstreamRole::Plain => (0, PLAIN_SLOTS),
        }
    }

    /// Begins an iteration and returns its duration in microseconds; `None` without sequences.
    pub fn begin_iteration(&mut self) -> Option<u64> {
        if self.sequences.is_empty() {
            return None;
        }
        let (chunk, slots) = self.limits();
        if self.role == UpstreamRole::Plain {
            self.chunks = vec![0; self.sequences.len().min(slots)];
            return Some(PLAIN_CALL_US as u64);
        }
        // After a role change without a drain, which only the policy `bound` makes, all sequences
        // that have begun continue even if they exceed the limit of the new role.
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

    /// Ends the iteration that [`Self::begin_iteration`] began.
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
