//! Settings files in TOML.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// An invalid settings file. The message names the file (except for `BadValue`, which does not know
/// it), the key and the reason.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", path.display()))]
    ReadFile {
        /// Settings file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field is unknown, missing or of the wrong type.
    #[snafu(display("{}: {source}", path.display()))]
    ParseFile {
        /// Settings file.
        path: PathBuf,
        /// Cause, with line and key if known.
        source: Box<toml::de::Error>,
    },
    /// A value is malformed, out of range or in conflict with another one.
    #[snafu(display("{key}: {reason}"))]
    BadValue {
        /// Key of the value.
        key: &'static str,
        /// What is wrong.
        reason: String,
    },
}

/// Reads and parses a settings file.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    toml::from_str(&text)
        .map_err(Box::new)
        .context(ParseFileSnafu { path })
}

/// Parses an address of the form `IP:port`; host names are rejected. `key` is named in the error.
pub fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse().map_err(|_| {
        invalid_value(
            key,
            format!("{text:?} is not an address of the form IP:port"),
        )
    })
}

/// Creates a [`SettingsError::BadValue`] for `key`.
pub fn invalid_value(key: &'static str, reason: impl Into<String>) -> SettingsError {
    BadValueSnafu {
        key,
        reason: reason.into(),
    }
    .build()
}

/// Parses a non-empty list of addresses of the form `IP:port`.
pub fn parse_addresses(
    key: &'static str,
    texts: &[String],
) -> Result<Vec<SocketAddr>, SettingsError> {
    if texts.is_empty() {
        return Err(invalid_value(key, "needs at least one address"));
    }
    texts.iter().map(|text| parse_address(key, text)).collect()
}
