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
    hex(&framed_hash(&[organisation, method, target], body))
}

/// First 64 bits of the digest of a call, for tables that hold many of them.
///
/// It covers `fields`, each with its length, and the body.
pub fn short_call_digest(fields: &[&str], body: &[u8]) -> u64 {
    let hash = framed_hash(fields, body);
    let first = hash.first_chunk().expect("a hash has 32 bytes");
    u64::from_be_bytes(*first)
}

/// SHA-256 hash of fields, each preceded by its length, and of a body.
fn framed_hash(fields: &[&str], body: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for field in fields {
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field.as_bytes());
    }
    hasher.update(body);
    hasher.finalize().into()
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
