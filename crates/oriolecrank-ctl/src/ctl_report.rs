//! What a command prints.

use serde_json::{Value, json};

use crate::ctl_error::{CtlError, ExitCode};

/// Result of a command, as text and as JSON.
#[derive(Debug, Clone, PartialEq)]
pub struct CtlReport {
    /// Text for people, without a trailing line break.
    pub text: String,
    /// JSON object for programs.
    pub json: Value,
    /// Exit code; not zero if only a part of the command succeeded, for example if a key was issued
    /// but the wait for it failed.
    pub code: ExitCode,
}

impl CtlReport {
    /// Creates a report with exit code 0.
    pub fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
            code: ExitCode::Success,
        }
    }

    /// Creates a report whose JSON object holds just the text.
    pub fn text_only(text: &str) -> Self {
        Self::new(text, json!({ "text": text }))
    }
}

/// What the process prints and how it exits.
#[derive(Debug, Clone, PartialEq)]
pub struct CtlOutput {
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
    /// Exit code.
    pub code: ExitCode,
}

impl CtlOutput {
    /// Output for a report: its text or, with `json`, its object, on standard output.
    pub fn from_report(report: CtlReport, json: bool) -> Self {
        let text = if json {
            report.json.to_string()
        } else {
            report.text
        };
        Self {
            stdout: format!("{text}\n"),
            stderr: String::new(),
            code: report.code,
        }
    }

    /// Output for an error: text on standard error or, with `json`, an object on standard output.
    pub fn from_error(error: &CtlError, json: bool) -> Self {
        let code = error.code();
        if json {
            let object = json!({
                "error": error.to_string(),
                "exit_code": code as u8,
                "fields": error.field_errors(),
            });
            return Self {
                stdout: format!("{object}\n"),
                stderr: String::new(),
                code,
            };
        }
        Self {
            stdout: String::new(),
            stderr: format!("oriolecrank-ctl: {error}\n"),
            code,
        }
    }
}
