//! Counts the demand that an entry reports to control with its pings.

use std::sync::Mutex;

use indexmap::IndexMap;
use oriolecrank_schema::control::{CallShape, DemandEntry};
use oriolecrank_schema::document::ServiceId;

/// A call is prompt-heavy if its prompt has at least this many times the tokens of its output. The
/// upstream chooser and the capacity planner use the same factor.
const PROMPT_HEAVY_FACTOR: u64 = 4;

/// Largest number of demand entries in one ping. An entry takes about 125 bytes, so two pings
/// per second take less than 2.4 KB/s. This leaves room for headers and heartbeats in the budget of
/// 3 KB/s.
pub const MAX_PING_ENTRIES: usize = 8;

/// Largest number of entries that wait for a ping; demand under further keys is not counted. Enough
/// for 340 organisations that call a few services each.
const MAX_PENDING_ENTRIES: usize = 4_096;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DemandKey {
    organisation: String,
    service: ServiceId,
    shape: CallShape,
}

#[derive(Debug, Clone, Copy, Default)]
struct DemandCount {
    requests: u64,
    tokens: u64,
    prompt_tokens: u64,
    refused: u64,
}

/// Shape of a call with the given estimated numbers of prompt and output tokens.
pub const fn call_shape(prompt: u64, output: u64) -> CallShape {
    if prompt >= output.saturating_mul(PROMPT_HEAVY_FACTOR) {
        CallShape::PromptHeavy
    } else {
        CallShape::OutputHeavy
    }
}

/// Demand of one organisation for calls of one shape to one service.
#[derive(Debug, Clone, Copy)]
pub struct DemandSample<'a> {
    /// Name of the organisation; `-` for calls of open routes.
    pub organisation: &'a str,
    /// Called service.
    pub service: &'a ServiceId,
    /// Number of requests, including refused ones.
    pub requests: u64,
    /// Shape of the calls.
    pub shape: CallShape,
    /// Estimated prompt and output tokens.
    pub tokens: u64,
    /// Estimated prompt tokens.
    pub prompt_tokens: u64,
    /// Number of requests that admission control refused.
    pub refused: u64,
}

/// Demand that was counted since it was last reported, by organisation, service and call shape.
#[derive(Debug, Default)]
pub struct DemandMeter {
    /// Lock order: locked alone and never across an await.
    counts: Mutex<IndexMap<DemandKey, DemandCount>>,
}

impl DemandMeter {
    /// Adds demand. Has no effect if the table is full and has no entry for the key.
    pub fn add(&self, sample: DemandSample<'_>) {
        let key = DemandKey {
            organisation: sample.organisation.to_owned(),
            service: sample.service.clone(),
            shape: sample.shape,
        };
        let mut counts = self.counts();
        if counts.len() >= MAX_PENDING_ENTRIES && !counts.contains_key(&key) {
            return;
        }
        let count = counts.entry(key).or_default();
        count.requests += sample.requests;
        count.tokens += sample.tokens;
        count.prompt_tokens += sample.prompt_tokens;
        count.refused += sample.refused;
    }

    /// Removes and returns the entries for the next ping, at most [`MAX_PING_ENTRIES`]: those with
    /// the most tokens. The others wait for a later ping.
    pub fn take(&self) -> Vec<DemandEntry> {
        let mut counts = self.counts();
        if counts.len() > MAX_PING_ENTRIES {
            // Ascending, so that `split_off` below removes the entries with the most tokens.
            counts.sort_by(|_, one, _, other| one.tokens.cmp(&other.tokens));
        }
        let first = counts.len().saturating_sub(MAX_PING_ENTRIES);
        let taken = counts.split_off(first).into_iter();
        taken
            .map(|(key, count)| DemandEntry {
                organisation: key.organisation,
                prompt_tokens: count.prompt_tokens,
                refused: count.refused,
                requests: count.requests,
                service: key.service,
                shape: key.shape,
                tokens: count.tokens,
            })
            .collect()
    }

    /// Adds the entries of a failed ping again, so that a later ping reports them.
    pub fn restore(&self, entries: &[DemandEntry]) {
        for entry in entries {
            self.add(DemandSample {
                organisation: &entry.organisation,
                service: &entry.service,
                requests: entry.requests,
                shape: entry.shape,
                tokens: entry.tokens,
                prompt_tokens: entry.prompt_tokens,
                refused: entry.refused,
            });
        }
    }

    fn counts(&self) -> std::sync::MutexGuard<'_, IndexMap<DemandKey, DemandCount>> {
        self.counts
            .lock()
            .expect("no holder of the demand lock panics")
    }
}
