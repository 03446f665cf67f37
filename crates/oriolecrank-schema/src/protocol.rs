//! Version of the protocols between processes.

use std::fmt;
use std::str::FromStr;

use snafu::{OptionExt, Snafu, ensure};

/// Header that carries the [`ProtocolVersion`] of a message.
pub const PROTOCOL_HEADER: &str = "x-oriolecrank-protocol";

/// Version of the message formats, written as `major.minor`.
///
/// A higher minor version only adds fields, which older receivers ignore. A receiver accepts every
/// minor version and every major version up to its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProtocolVersion {
    /// Raised by incompatible changes.
    pub major: u16,
    /// Raised by added fields.
    pub minor: u16,
}

/// Version of the message formats of this build.
pub const PROTOCOL_VERSION: ProtocolVersion = ProtocolVersion { major: 1, minor: 0 };

/// Why the protocol version of a message is refused.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum ProtocolError {
    /// The header is not of the form `major.minor`.
    #[snafu(display(
        "protocol version {text:?} is not of the form major.minor with numbers up to 65535"
    ))]
    MalformedVersion {
        /// Received text.
        text: String,
    },
    /// The message has a newer major version than this build.
    #[snafu(display(
        "protocol version {version} is newer than {PROTOCOL_VERSION}; upgrade this instance"
    ))]
    NewerMajor {
        /// Version of the message.
        version: ProtocolVersion,
    },
}

impl ProtocolVersion {
    /// Returns an error if the major version is newer than that of this build.
    pub fn check(self) -> Result<(), ProtocolError> {
        ensure!(
            self.major <= PROTOCOL_VERSION.major,
            NewerMajorSnafu { version: self }
        );
        Ok(())
    }
}

impl fmt::Display for ProtocolVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.major, self.minor)
    }
}

impl FromStr for ProtocolVersion {
    type Err = ProtocolError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (major, minor) = text
            .split_once('.')
            .context(MalformedVersionSnafu { text })?;
        let major = major.parse().ok().context(MalformedVersionSnafu { text })?;
        let minor = minor.parse().ok().context(MalformedVersionSnafu { text })?;
        Ok(Self { major, minor })
    }
}
