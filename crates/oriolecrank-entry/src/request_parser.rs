//! What an entry needs to know of a caller's request.

use bytes::Bytes;
use serde::Deserialize;

/// Bytes of prompt text that are counted as one token when no tokenizer is at hand.
const BYTES_PER_TOKEN: u64 = 4;

/// Output tokens assumed when the caller states no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 1_024;

/// Fields of an OpenAI-style completion request that routing depends on.
#[derive(Debug, Clone, Deserialize)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: String,
    /// The answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    /// Priority class asked for by the caller.
    #[serde(default)]
    pub priority: Option<String>,
}

impl CompletionRequest {
    /// Reads the fields; the message names what is wrong.
    pub fn parse(body: &Bytes) -> Result<Self, String> {
        serde_json::from_slice(body).map_err(|error| format!("the body is not valid: {error}"))
    }

    /// Largest number of output tokens.
    pub fn max_output_tokens(&self) -> u64 {
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(DEFAULT_OUTPUT_TOKENS)
    }
}

/// Estimated prompt tokens of a body.
pub const fn estimate_tokens(body_bytes: usize) -> u64 {
    (body_bytes as u64).div_ceil(BYTES_PER_TOKEN)
}
