//! `MessagePack` encoding of wire messages.
//!
//! Fields are encoded by name, so that a receiver ignores fields it does not know and processes can
//! be upgraded one at a time.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// The bytes are not a complete message of the expected type.
#[derive(Debug, Snafu)]
#[snafu(display("message cannot be decoded: {source}"))]
pub struct CodecError {
    source: rmp_serde::decode::Error,
}

/// Encodes a message with its field names.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("wire types always encode into memory")
}

/// Decodes a message; unknown fields are ignored.
///
/// # Errors
///
/// Returns [`CodecError`] if the bytes are not a complete message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).context(CodecSnafu)
}
