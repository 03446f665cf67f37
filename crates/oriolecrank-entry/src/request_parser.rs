//! Parses the fields of a completion request that the entry needs.

use serde::Deserialize;
use serde_json::value::RawValue;

/// Bytes of a request body that are counted as one prompt token; the entry has no tokenizer.
const BYTES_PER_TOKEN: u64 = 4;

/// Largest number of output tokens assumed for a request that states none.
const DEFAULT_OUTPUT_TOKENS: u64 = 1_024;

/// Fields of an OpenAI-style completion request that the entry uses; others are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct CompletionRequest<'a> {
    /// Name of the requested model.
    pub model: String,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    /// Priority class; `None` for that of the service.
    #[serde(default)]
    pub priority: Option<String>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

impl<'a> CompletionRequest<'a> {
    /// Parses a request body. The error message gives the position of the error and quotes nothing
    /// of the body, so that no prompt reaches a log.
    pub fn parse(body: &'a [u8]) -> Result<Self, String> {
        serde_json::from_slice(body).map_err(|error| {
            let (line, column) = (error.line(), error.column());
            format!(
                "the request body is not a valid completion request: \
                error at line {line}, column {column}"
            )
        })
    }

    /// Largest number of output tokens; a default if the request states none.
    pub fn max_output_tokens(&self) -> u64 {
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(DEFAULT_OUTPUT_TOKENS)
    }

    /// Prompt as JSON text, empty if there is none. Contains no other fields, so that requests with
    /// equal prompts share cached prefixes.
    pub fn prompt_text(&self) -> &'a [u8] {
        let prompt = self.messages.or(self.prompt);
        prompt.map_or(&[], |prompt| prompt.get().as_bytes())
    }
}

/// Estimates the prompt tokens of a request from the size of its body.
pub const fn estimate_tokens(body_bytes: usize) -> u64 {
    (body_bytes as u64).div_ceil(BYTES_PER_TOKEN)
}
