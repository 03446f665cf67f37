//! Estimate of the prompt parts that an engine caches.

use indexmap::IndexMap;

use crate::prompt_shape::{PartId, PromptShape};

/// Prompt parts sent to one engine, least recently used first.
///
/// Based on the requests of this entry only; the engine may have evicted a part for the requests of
/// other entries.
#[derive(Debug, Default)]
pub struct PartCache {
    /// Length of each part, in tokens.
    parts: IndexMap<PartId, u64>,
    /// Sum of the lengths.
    tokens: u64,
}

impl PartCache {
    /// Tokens of the longest prompt prefix whose parts are all cached.
    pub fn cached_tokens(&self, prompt: &PromptShape) -> u64 {
        let parts = prompt.parts.iter();
        let known = parts.take_while(|part| self.parts.contains_key(&part.id));
        known.map(|part| part.tokens).sum()
    }

    /// Records that a prompt was sent. Beyond `capacity` tokens, the least recently used parts are
    /// evicted.
    pub fn record(&mut self, prompt: &PromptShape, capacity: u64) {
        for part in &prompt.parts {
            if let Some(tokens) = self.parts.shift_remove(&part.id) {
                self.tokens -= tokens;
            }
            self.parts.insert(part.id, part.tokens);
            self.tokens += part.tokens;
        }
        while self.tokens > capacity {
            let Some((_, tokens)) = self.parts.shift_remove_index(0) else {
                break;
            };
            self.tokens -= tokens;
        }
    }
}
