//! Prompt of a request to a model engine, as far as it decides where the request goes.

use serde::{Deserialize, Serialize};

/// Identity of a prompt part; equal parts have equal identities.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartId(pub u64);

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity.
    pub id: PartId,
    /// Length, in tokens.
    pub tokens: u64,
}

/// Prompt of a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PromptShape {
    /// Length of the prompt, in tokens.
    pub input_tokens: u64,
    /// Most tokens of output.
    pub output_tokens: u64,
    /// Parts in order; the last one belongs to this request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// The last part that other requests share, if any.
    pub fn shared_part(&self) -> Option<PartId> {
        let before_last = self.parts.len().checked_sub(2)?;
        self.parts.get(before_last).map(|part| part.id)
    }
}
