//! Shared secret by which the processes of a cluster authenticate each other.

use std::fmt;
use std::path::{Path, PathBuf};

use http::HeaderValue;
use http::header::AUTHORIZATION;
use snafu::{ResultExt, Snafu, ensure};
use subtle::ConstantTimeEq;

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Bearer token that processes of a cluster send and check. `Debug` does not print it.
#[derive(Clone)]
pub struct ClusterSecret(String);

/// The secret file cannot be read, or the secret is not valid.
#[derive(Debug, Snafu)]
pub enum SecretError {
    /// The file cannot be read.
    #[snafu(display("cannot read the secret file {}: {source}", path.display()))]
    ReadSecret {
        /// Secret file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The secret is too short or contains characters other than visible ASCII, which a header
    /// cannot carry.
    #[snafu(display(
        "the secret must consist of at least {MIN_SECRET_BYTES} visible ASCII characters"
    ))]
    WeakSecret,
}

impl ClusterSecret {
    /// Reads the secret from a file; surrounding white space is ignored.
    pub fn read(path: &Path) -> Result<Self, SecretError> {
        let text = std::fs::read_to_string(path).context(ReadSecretSnafu { path })?;
        Self::new(text.trim())
    }

    /// Creates a secret from `text`, which must consist of at least 16 visible ASCII characters.
    pub fn new(text: &str) -> Result<Self, SecretError> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        ensure!(visible && text.len() >= MIN_SECRET_BYTES, WeakSecretSnafu);
        Ok(Self(text.to_owned()))
    }

    /// Value of the `authorization` header, marked as sensitive.
    pub fn header(&self) -> HeaderValue {
        let mut value = HeaderValue::from_str(&format!("Bearer {}", self.0))
            .expect("the secret has only visible ASCII characters");
        value.set_sensitive(true);
        value
    }

    /// Whether the `authorization` header carries this secret. The comparison takes constant time.
    pub fn admits(&self, headers: &http::HeaderMap) -> bool {
        let Some(value) = headers.get(AUTHORIZATION) else {
            return false;
        };
        let Some(token) = value.as_bytes().strip_prefix(b"Bearer ") else {
            return false;
        };
        token.ct_eq(self.0.as_bytes()).into()
    }
}

impl fmt::Debug for ClusterSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ClusterSecret")
    }
}
