//! Shared secret between the processes of one cluster.

use std::fmt;
use std::path::{Path, PathBuf};

use http::HeaderValue;
use http::header::AUTHORIZATION;
use snafu::{ResultExt, Snafu, ensure};
use subtle::ConstantTimeEq;

/// Shortest accepted secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Secret that every process sends and checks; `Debug` prints nothing of it.
#[derive(Clone)]
pub struct ClusterSecret(String);

/// A secret file that cannot be used.
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
    /// The secret is too short or holds characters that a header cannot carry.
    #[snafu(display("the secret must have at least {MIN_SECRET_BYTES} visible ASCII characters"))]
    WeakSecret,
}

impl ClusterSecret {
    /// Reads the secret from a file; surrounding white space is ignored.
    pub fn read(path: &Path) -> Result<Self, SecretError> {
        let text = std::fs::read_to_string(path).context(ReadSecretSnafu { path })?;
        Self::new(text.trim())
    }

    /// Takes a secret from text.
    pub fn new(text: &str) -> Result<Self, SecretError> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        ensure!(visible && text.len() >= MIN_SECRET_BYTES, WeakSecretSnafu);
        Ok(Self(text.to_owned()))
    }

    /// Value of the `authorization` header.
    pub fn header(&self) -> HeaderValue {
        let mut value = HeaderValue::from_str(&format!("Bearer {}", self.0))
            .expect("the secret has only visible ASCII characters");
        value.set_sensitive(true);
        value
    }

    /// Compares the `authorization` header of a request in constant time.
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
