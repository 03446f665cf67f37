//! SHA-256 digests of keys, request bodies, calls and other texts of callers.

use std::fmt::Write as _;

use sha2::{Digest as _, Sha256};

use crate::document::KeyDigest;

/// Digest of an organisation's key, as stored in the document instead of the key.
pub fn key_digest(key: &str) -> KeyDigest {
    KeyDigest(hex(&Sha256::digest(key.as_bytes())))
}

/// Hexadecimal digest of a body, bound to the organisation that sent it.
///
/// Equal bodies of two organisations have different digests, so that they never share a
/// fingerprint, a claim or a cached prefix.
pub fn body_digest(organisation: &str, body: &[u8]) -> String {
    let mut hasher = Sha256::new();
    hasher.update((organisation.len() as u64).to_be_bytes());
    hasher.update(organisation.as_bytes());
    hasher.update(body);
    hex(&hasher.finalize())
}

/// Hexadecimal digest of a whole call, bound to the organisation that sent it.
///
/// It covers organisation, method, target and body. The body alone does not identify a call,
/// because most reads have the same empty body.
pub fn call_digest(organisation: &str, method: &str, target: &str, body: &[u8]) -> String {
    let mut hasher = Sha256::new();
    for part in [organisation, method, target] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(body);
    hex(&hasher.finalize())
}

/// Hexadecimal digest of a caller's text that must not be stored itself, such as an idempotency
/// key.
pub fn text_digest(text: &[u8]) -> String {
    hex(&Sha256::digest(text))
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
    }
    text
}
