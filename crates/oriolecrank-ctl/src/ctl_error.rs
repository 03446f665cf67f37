//! Failures and exit codes.

use std::path::PathBuf;

use oriolecrank_net::{ControlError, SecretError};
use oriolecrank_schema::control::FieldError;
use oriolecrank_state::document::ParseError;
use snafu::Snafu;

/// Exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// The command took effect, or its answer is printed.
    Success = 0,
    /// The control group refused the command; nothing changed.
    Refused = 1,
    /// The arguments or a file cannot be used; nothing was sent.
    Usage = 2,
    /// The document has errors; nothing changed.
    Invalid = 3,
    /// The stated base revision or membership version is not the current one, or the request id was
    /// used for something else; nothing changed.
    Conflict = 4,
    /// No control instance answered; nothing changed.
    Unavailable = 5,
    /// The answer was lost and the command may have taken effect. The message says how to send it
    /// again safely.
    OutcomeUnknown = 6,
    /// The document is committed, but was not in force everywhere within the time limit.
    NotInForce = 7,
}

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// The arguments are not understood.
    #[snafu(display("{message}; see oriolecrank-ctl --help"))]
    Usage {
        /// What is wrong.
        message: String,
    },
    /// A file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    ReadFile {
        /// File.
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
    /// A file is not a document.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// File.
        path: PathBuf,
        /// Cause.
        source: ParseError,
    },
    /// The document has errors.
    #[snafu(display("{}", invalid_text(errors)))]
    Invalid {
        /// All errors.
        errors: Vec<FieldError>,
    },
    /// Another document was committed since the base revision.
    #[snafu(display(
        "the document is based on revision {base}, but revision {current} is in force"
    ))]
    Conflict {
        /// Stated base.
        base: u64,
        /// Current revision.
        current: u64,
    },
    /// The control group was changed by another request.
    #[snafu(display(
        "the control group was changed meanwhile: the command is based on version {base} of the \
         membership, but the version is {current}"
    ))]
    MembersConflict {
        /// Version that the command was based on.
        base: u64,
        /// Current version.
        current: u64,
    },
    /// The request id belongs to another request.
    #[snafu(display("request id {request_id} was used for another request"))]
    RequestIdReused {
        /// The id.
        request_id: String,
    },
    /// The control group refused the command.
    #[snafu(display("{reason}"))]
    Refused {
        /// Reason.
        reason: String,
    },
    /// No control instance answered.
    #[snafu(display("no control instance answered in time; nothing was changed"))]
    Unavailable,
    /// The command may have taken effect.
    #[snafu(display("the answer was lost and the command may have taken effect; {advice}"))]
    OutcomeUnknown {
        /// How to find out or to send it again.
        advice: String,
    },
    /// Some subscribers lag behind.
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
        /// Live subscribers.
        subscribers: u64,
        /// The first lagging subscribers.
        names: Vec<String>,
    },
    /// The revision is committed, but its progress cannot be read.
    #[snafu(display("revision {revision} is committed, but whether it is in force is not known"))]
    ProgressUnknown {
        /// Committed revision.
        revision: u64,
        /// Why it is not known.
        source: Box<CtlError>,
    },
    /// An answer of another kind than expected.
    #[snafu(display("the control instance sent an unexpected answer"))]
    UnexpectedAnswer,
    /// The message was not accepted.
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
    /// Exit code that belongs to the failure.
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

    /// Errors of the document, if that is the failure.
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

fn invalid_text(errors: &[FieldError]) -> String {
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
