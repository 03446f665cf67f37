//! Counts the tokens of an answer.

use oriolecrank_schema::data_path::TokenUsage;
use serde::Deserialize;

/// Longest line of a server-sent event stream that is inspected, in bytes.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// Usage object of an OpenAI-style answer.
#[derive(Debug, Deserialize)]
struct ReportedUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// Part of an OpenAI-style answer that holds the usage.
#[derive(Debug, Deserialize)]
struct UsageEnvelope {
    usage: Option<ReportedUsage>,
}

/// Follows an answer and counts its tokens.
///
/// A streamed answer counts one output token for each event, until the engine reports exact
/// figures. An answer that is not streamed is parsed at its end.
#[derive(Debug)]
pub struct UsageMeter {
    streamed: bool,
    line: Vec<u8>,
    usage: TokenUsage,
    exact: bool,
    /// The end marker of a streamed answer was seen.
    done: bool,
}

impl UsageMeter {
    /// A meter for an answer; `prompt_tokens` is the estimate used until the engine reports.
    pub const fn new(streamed: bool, prompt_tokens: u64) -> Self {
        let usage = TokenUsage {
            output_tokens: 0,
            prompt_tokens,
        };
        Self {
            streamed,
            line: Vec::new(),
            usage,
            exact: false,
            done: false,
        }
    }

    /// Counts the next bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.line.len() + part.len() <= MAX_LINE_BYTES {
                self.line.extend_from_slice(part);
            }
            if self.streamed && part.ends_with(b"\n") {
                self.count_line();
                self.line.clear();
            }
        }
    }

    /// Figures so far. Call [`UsageMeter::finish`] first at the end of an answer.
    pub fn usage(&self) -> TokenUsage {
        self.usage.clone()
    }

    /// Reads the figures of an answer that is not streamed.
    pub fn finish(&mut self) {
        if !self.streamed {
            let line = std::mem::take(&mut self.line);
            self.read_reported(&line);
        }
    }

    /// Whether the answer may end here: a streamed answer needs its end marker.
    pub const fn may_end(&self) -> bool {
        !self.streamed || self.done
    }

    fn count_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let Some(data) = line.strip_prefix(b"data:") else {
            return;
        };
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        if !self.exact {
            self.usage.output_tokens += 1;
        }
        if data.windows(7).any(|window| window == b"\"usage\"") {
            self.read_reported(data);
        }
    }

    fn read_reported(&mut self, json: &[u8]) {
        let Ok(UsageEnvelope {
            usage: Some(reported),
        }) = serde_json::from_slice(json)
        else {
            return;
        };
        self.usage.prompt_tokens = reported.prompt_tokens;
        self.usage.output_tokens = reported.completion_tokens;
        self.exact = true;
    }
}
