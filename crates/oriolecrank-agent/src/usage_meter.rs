//! Counts the prompt and output tokens of an answer.

use oriolecrank_schema::data_path::TokenUsage;
use serde::Deserialize;

/// Largest part of an answer that is inspected, in bytes: a line of a server-sent event stream, or
/// a body that is not streamed.
const MAX_INSPECTED_BYTES: usize = 1024 * 1024;

/// The `usage` object of an OpenAI-style answer.
#[derive(Debug, Deserialize)]
struct ReportedUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// The part of an OpenAI-style answer or event that may contain the usage.
#[derive(Debug, Deserialize)]
struct UsageEnvelope {
    usage: Option<ReportedUsage>,
}

/// Counts the tokens of an answer while it passes through the agent.
///
/// A streamed answer counts one output token for each event until the engine reports exact usage.
/// An answer that is not streamed is parsed at its end.
#[derive(Debug)]
pub struct UsageMeter {
    streamed: bool,
    /// Current line of a streamed answer; otherwise the body so far.
    buffer: Vec<u8>,
    usage: TokenUsage,
    /// Whether `usage` was reported by the engine rather than estimated.
    has_reported_usage: bool,
    /// Whether the end marker of a streamed answer was received.
    end_marker_received: bool,
}

impl UsageMeter {
    /// Creates a meter; `prompt_tokens` is the estimate used until the engine reports exact usage.
    pub const fn new(streamed: bool, prompt_tokens: u64) -> Self {
        let usage = TokenUsage {
            output_tokens: 0,
            prompt_tokens,
        };
        Self {
            streamed,
            buffer: Vec::new(),
            usage,
            has_reported_usage: false,
            end_marker_received: false,
        }
    }

    /// Processes the next bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        for segment in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.buffer.len() + segment.len() <= MAX_INSPECTED_BYTES {
                self.buffer.extend_from_slice(segment);
            }
            if self.streamed && segment.ends_with(b"\n") {
                self.process_line();
                self.buffer.clear();
            }
        }
    }

    /// Usage so far. At the end of an answer, call [`UsageMeter::finish`] first.
    pub fn usage(&self) -> TokenUsage {
        self.usage.clone()
    }

    /// Parses the usage of an answer that is not streamed; has no effect on a streamed one.
    pub fn finish(&mut self) {
        if !self.streamed {
            let body = std::mem::take(&mut self.buffer);
            self.apply_reported_usage(&body);
        }
    }

    /// Whether the answer is complete at this point: a streamed answer requires its end marker.
    pub const fn is_complete(&self) -> bool {
        !self.streamed || self.end_marker_received
    }

    fn process_line(&mut self) {
        let line = std::mem::take(&mut self.buffer);
        let Some(data) = line.strip_prefix(b"data:") else {
            return;
        };
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            self.end_marker_received = true;
            return;
        }
        if !self.has_reported_usage {
            self.usage.output_tokens += 1;
        }
        if data.windows(7).any(|window| window == b"\"usage\"") {
            self.apply_reported_usage(data);
        }
    }

    fn apply_reported_usage(&mut self, json: &[u8]) {
        let Ok(UsageEnvelope {
            usage: Some(reported),
        }) = serde_json::from_slice(json)
        else {
            return;
        };
        self.usage.prompt_tokens = reported.prompt_tokens;
        self.usage.output_tokens = reported.completion_tokens;
        self.has_reported_usage = true;
    }
}
