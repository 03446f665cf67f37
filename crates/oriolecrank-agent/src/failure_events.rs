//! Events that end an attempt with a failure.

use std::time::Duration;

use oriolecrank_schema::data_path::{RunEvent, RunVerdict};

/// Failure of an attempt that has not run and may be retried elsewhere.
pub fn not_run(code: &str, message: &str) -> RunEvent {
    failed(RunVerdict::NotRun, code, message, 0)
}

/// Failure of an attempt that has not run, because the upstream asks for a pause that ends after
/// `time_left`.
pub fn paused(code: &str, time_left: Duration) -> RunEvent {
    RunEvent::Failed {
        code: code.to_owned(),
        message: "the upstream asks for a pause".to_owned(),
        output_tokens: 0,
        retry_after_ms: Some(time_left.as_millis() as u64),
        verdict: RunVerdict::NotRun,
    }
}

/// Failure of an attempt that may have run.
pub fn may_have_run(code: &str, message: &str) -> RunEvent {
    failed(RunVerdict::MayHaveRun, code, message, 0)
}

/// Failure of an attempt after `output_tokens` generated tokens.
pub fn failed(verdict: RunVerdict, code: &str, message: &str, output_tokens: u64) -> RunEvent {
    RunEvent::Failed {
        code: code.to_owned(),
        message: message.to_owned(),
        output_tokens,
        retry_after_ms: None,
        verdict,
    }
}
