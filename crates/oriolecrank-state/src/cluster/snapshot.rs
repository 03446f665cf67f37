//! Encoding of the state as a snapshot.
//!
//! A snapshot begins with the four bytes `OCST` and the version as a 32-bit big-endian integer; a
//! `MessagePack` map of the tables follows. Fields are encoded by name, so that a field may be
//! added with a default; any other change of a table needs a new version.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use oriolecrank_schema::document::ConfigDocument;

use super::cluster_state::{ClusterState, StateTables};
use crate::document::CheckedDocument;

/// Version of the snapshot format.
pub const SNAPSHOT_VERSION: u32 = 1;

const SNAPSHOT_MAGIC: [u8; 4] = *b"OCST";

/// Length of the magic bytes and the version.
const HEADER_BYTES: usize = 8;

/// Reason why a snapshot cannot be restored.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The bytes do not begin with the snapshot header.
    #[snafu(display("the bytes are not a snapshot of the cluster state"))]
    MissingHeader,
    /// The snapshot has a format version other than [`SNAPSHOT_VERSION`].
    #[snafu(display("snapshot version {version} is not supported; expected {SNAPSHOT_VERSION}"))]
    UnsupportedVersion {
        /// Format version of the snapshot.
        version: u32,
    },
    /// The tables cannot be decoded.
    #[snafu(display("the snapshot cannot be decoded: {source}"))]
    Malformed {
        /// Decoding error.
        source: rmp_serde::decode::Error,
    },
}

pub(crate) fn encode(tables: &StateTables) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES);
    bytes.extend(SNAPSHOT_MAGIC);
    bytes.extend(SNAPSHOT_VERSION.to_be_bytes());
    rmp_serde::encode::write_named(&mut bytes, tables).expect("serialising to memory cannot fail");
    bytes
}

pub(crate) fn decode(bytes: &[u8]) -> Result<StateTables, SnapshotError> {
    let (header, body) = bytes
        .split_at_checked(HEADER_BYTES)
        .context(MissingHeaderSnafu)?;
    let (magic, version) = header.split_at(SNAPSHOT_MAGIC.len());
    ensure!(magic == SNAPSHOT_MAGIC, MissingHeaderSnafu);
    let version = u32::from_be_bytes(version.try_into().expect("the header has eight bytes"));
    ensure!(
        version == SNAPSHOT_VERSION,
        UnsupportedVersionSnafu { version }
    );
    rmp_serde::from_slice(body).context(MalformedSnafu)
}

impl ClusterState {
    /// Encodes the state; equal states encode to equal bytes.
    pub fn encode_snapshot(&self) -> Vec<u8> {
        encode(self.tables())
    }

    /// Restores a state from a snapshot. Its change feed begins at the log index of the snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError`] if the bytes are not a snapshot of this format version.
    pub fn decode_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        decode(bytes).map(Self::from_tables)
    }
}

/// Encodes a document without its lookup tables.
pub(crate) fn serialize_document<S: Serializer>(
    document: &CheckedDocument,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    document.as_document().serialize(serializer)
}

/// Decodes a committed document without validating it again.
pub(crate) fn deserialize_document<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<CheckedDocument, D::Error> {
    ConfigDocument::deserialize(deserializer).map(CheckedDocument::from_committed)
}
