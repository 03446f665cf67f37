//! Errors and exit codes.

use std::path::PathBuf;

use oriolecrank_net::{ControlError, SecretError};
use oriolecrank_schema::control::FieldError;
use oriolecrank_state::document::ParseError;
use snafu::Snafu;

/// Exit code of the process; the codes are listed in the help text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// The command succeeded.
    Success = 0,
    /// The control group refused the command; nothing changed.
    Refused = 1,
    /// The arguments or a file cannot be used; nothing was sent.
    Usage = 2,
    /// The document has errors; nothing changed.
    Invalid = 3,
    /// The base revision or the membership version is not the current one, or the request id was
    /// used for another request; nothing changed.
    Conflict = 4,
    /// No control instance answered; nothing changed.
    Unavailable = 5,
    /// The answer was lost and the command may have taken effect. The message says how to find out,
    /// or how to repeat the command safely.
    OutcomeUnknown = 6,
    /// The document is committed, but within the time limit it was not in force everywhere, or its
    /// progress could not be read.
    NotInForce = 7,
}

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// The arguments cannot be parsed, do not fit the command, or lack a value that it needs.
    #[snafu(display("{message}; see oriolecrank-ctl --help"))]
    Usage {
        /// What is wrong.
        message: String,
    },
    /// A document file or log file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadFile {
        /// File that cannot be read.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The secret file cannot be used.
    #[snafu(transparent)]
    Secret {
        /// Cause.
        source: SecretError,
    },
    /// The format of a document file is unknown, or the file cannot be parsed.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// Document file.
        path: PathBuf,
        /// Cause.
        source: ParseError,
    },
    /// The document can be parsed, but is not valid.
    #[snafu(display("{}", invalid_document_text(errors)))]
    Invalid {
        /// All errors of the document.
        errors: Vec<FieldError>,
    },
    /// The base revision is not the revision in force, for example because another document was
    /// committed in the meantime.
    #[snafu(display(
        "the document is based on revision {base}, but revision {current} is in force; check that \
         revision with oriolecrank-ctl show before running the command again"
    ))]
    Conflict {
        /// Revision that the document is based on.
        base: u64,
        /// Revision in force.
        current: u64,
    },
    /// The membership of the control group was changed by another request.
    #[snafu(display(
        "the control group has changed: the command is based on membership version {base}, but the \
         current version is {current}; see oriolecrank-ctl members and run the command again"
    ))]
    MembersConflict {
        /// Membership version that the command is based on.
        base: u64,
        /// Current membership version.
        current: u64,
    },
    /// The request id was used for a request with other contents.
    #[snafu(display(
        "request id {request_id} was already used for another request; nothing was changed"
    ))]
    RequestIdReused {
        /// Request id of the command.
        request_id: String,
    },
    /// The control group refused the command, or this tool did after it had read the current state.
    #[snafu(display("{reason}"))]
    Refused {
        /// Why the command was refused.
        reason: String,
    },
    /// Within the time limit no control instance answered, or none could reach a leader. The
    /// command did not take effect.
    #[snafu(display(
        "no control instance could carry out the request within the time limit; nothing was changed"
    ))]
    Unavailable,
    /// No answer arrived, but the command may have taken effect.
    #[snafu(display("the answer was lost and the command may have taken effect; {advice}"))]
    OutcomeUnknown {
        /// How to find out what happened, or how to repeat the command safely.
        advice: String,
    },
    /// Some subscribers do not have the revision in force at the end of the wait.
    #[snafu(display(
        "revision {revision} is committed, but {lagging} of {subscribers} subscribers do not have \
         it in force yet: {}",
        names.join(", ")
    ))]
    NotInForce {
        /// Committed revision.
        revision: u64,
        /// Number of lagging subscribers.
        lagging: usize,
        /// Number of live subscribers.
        subscribers: u64,
        /// Names of lagging subscribers; only the first ones if there are many.
        names: Vec<String>,
    },
    /// The revision is committed, but its progress cannot be read.
    #[snafu(display(
        "revision {revision} is committed, but its progress could not be read; it may not be in \
         force everywhere yet"
    ))]
    ProgressUnknown {
        /// Committed revision.
        revision: u64,
        /// Error of the query for the progress.
        source: Box<CtlError>,
    },
    /// The answer is not one of those that the command or query can have.
    #[snafu(display("the answer of the control instance does not match the request"))]
    UnexpectedAnswer,
    /// A control instance rejected the HTTP request with a 4xx status, for example because of a
    /// wrong secret.
    #[snafu(display("{source}"))]
    RequestRejected {
        /// Cause.
        source: ControlError,
    },
    /// The operating system provides no random numbers.
    #[snafu(display("the operating system provides no random numbers: {source}"))]
    NoRandomness {
        /// Cause.
        source: rand::rand_core::OsError,
    },
}

impl CtlError {
    /// Exit code for this error.
    pub fn code(&self) -> ExitCode {
        match self {
            Self::Usage { .. } | Self::ReadFile { .. } | Self::Secret { .. } => ExitCode::Usage,
            Self::Parse { .. } | Self::Invalid { .. } => ExitCode::Invalid,
            Self::Conflict { .. } | Self::MembersConflict { .. } | Self::RequestIdReused { .. } => {
                ExitCode::Conflict
            }
            Self::Unavailable => ExitCode::Unavailable,
            Self::OutcomeUnknown { .. } => ExitCode::OutcomeUnknown,
            Self::NotInForce { .. } | Self::ProgressUnknown { .. } => ExitCode::NotInForce,
            Self::Refused { .. }
            | Self::UnexpectedAnswer
            | Self::RequestRejected { .. }
            | Self::NoRandomness { .. } => ExitCode::Refused,
        }
    }

    /// Errors of the document; empty for any other failure.
    pub fn field_errors(&self) -> &[FieldError] {
        match self {
            Self::Invalid { errors } => errors,
            _ => &[],
        }
    }
}

impl From<lexopt::Error> for CtlError {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage {
            message: error.to_string(),
        }
    }
}

fn invalid_document_text(errors: &[FieldError]) -> String {
    let line = |error: &FieldError| {
        let path = if error.path.is_empty() {
            "document"
        } else {
            &error.path
        };
        format!("\n  {path}: {}", error.reason)
    };
    let lines: String = errors.iter().map(line).collect();
    format!("the document has {} errors:{lines}", errors.len())
}
