//! Prompt parts that an engine is believed to keep.

use indexmap::IndexMap;

use crate::prompt_shape::{PartId, PromptShape};

/// Prompt parts sent to one engine, the least recently used ones first.
///
/// An estimate from this entry's own requests; the engine may have dropped a part for the requests
/// of other entries.
#[derive(Debug, Default)]
pub struct PartCache {
    parts: IndexMap<PartId, u64>,
    tokens: u64,
}

impl PartCache {
    /// Tokens at the begin of the prompt that need not be read again.
    pub fn cached_tokens(&self, prompt: &PromptShape) -> u64 {
        let parts = prompt.parts.iter();
        let known = parts.take_while(|part| self.parts.contains_key(&part.id));
        known.map(|part| part.tokens).sum()
    }

    /// Notes that a prompt was sent. Parts beyond `capacity` tokens are forgotten, the least recently
    /// used ones first.
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
