//! Frames that end a failed attempt.

use oriolecrank_schema::data_path::{RunEvent, RunVerdict};

/// The attempt has not run.
pub fn not_run(code: &str, message: &str) -> RunEvent {
    failed(RunVerdict::NotRun, code, message, 0)
}

/// The attempt may have run.
pub fn may_have_run(code: &str, message: &str) -> RunEvent {
    failed(RunVerdict::MayHaveRun, code, message, 0)
}

/// A failure after `output_tokens` tokens.
pub fn failed(verdict: RunVerdict, code: &str, message: &str, output_tokens: u64) -> RunEvent {
    RunEvent::Failed {
        code: code.to_owned(),
        message: message.to_owned(),
        output_tokens,
        retry_after_ms: None,
        verdict,
    }
}
