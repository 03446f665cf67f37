//! The properties of a prompt that routing depends on.

use serde::{Deserialize, Serialize};

/// Identity of a prompt part; equal content has equal ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartId(pub u64);

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the content.
    pub id: PartId,
    /// Length, in tokens.
    pub tokens: u64,
}

/// Length of a prompt and its parts.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PromptShape {
    /// Length of the prompt, in tokens.
    pub input_tokens: u64,
    /// Largest number of output tokens.
    pub output_tokens: u64,
    /// Parts in order; the last one is specific to this request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> Vec<PartId> {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id).collect()
    }

    /// The last part that other requests may share, which is the one before the last; `None` if the
    /// prompt has fewer than two parts.
    pub fn shared_part(&self) -> Option<PartId> {
        let before_last = self.parts.len().checked_sub(2)?;
        self.parts.get(before_last).map(|part| part.id)
    }
}
