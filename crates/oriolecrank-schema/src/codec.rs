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

/// Like [`encode`], into a buffer with room for `size` bytes from the start. For messages whose size
/// is known to be large: a growing buffer takes up to three times the message while it is copied.
pub fn encode_sized<T: Serialize>(message: &T, size: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(size);
    encode_into(message, &mut bytes);
    bytes
}

/// Appends an encoded message to a buffer.
pub fn encode_into<T: Serialize>(message: &T, bytes: &mut Vec<u8>) {
    rmp_serde::encode::write_named(bytes, message).expect("wire types always encode into memory");
}

/// Decodes a message; unknown fields are ignored.
///
/// # Errors
///
/// Returns [`CodecError`] if the bytes are not a complete message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).context(CodecSnafu)
}
