//! What an entry needs to know of a completion request.

use serde::Deserialize;
use serde_json::value::RawValue;

/// Bytes of prompt text that are counted as one token when no tokenizer is at hand.
const BYTES_PER_TOKEN: u64 = 4;

/// Output tokens assumed when the caller states no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 1_024;

/// Fields of an OpenAI-style completion request that routing depends on.
#[derive(Debug, Clone, Deserialize)]
pub struct CompletionRequest<'a> {
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
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

impl<'a> CompletionRequest<'a> {
    /// Reads the fields; the message names what is wrong and quotes nothing of the body.
    pub fn parse(body: &'a [u8]) -> Result<Self, String> {
        serde_json::from_slice(body).map_err(|error| {
            let (line, column) = (error.line(), error.column());
            format!("the body is not a completion request: see line {line}, column {column}")
        })
    }

    /// Largest number of output tokens.
    pub fn max_output_tokens(&self) -> u64 {
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(DEFAULT_OUTPUT_TOKENS)
    }

    /// Prompt as JSON text. Other fields are left out, so that requests with equal prompts share
    /// cached prefixes.
    pub fn prompt_text(&self) -> &'a [u8] {
        let prompt = self.messages.or(self.prompt);
        prompt.map_or(&[], |prompt| prompt.get().as_bytes())
    }
}

/// Estimated prompt tokens of a body.
pub const fn estimate_tokens(body_bytes: usize) -> u64 {
    (body_bytes as u64).div_ceil(BYTES_PER_TOKEN)
}
