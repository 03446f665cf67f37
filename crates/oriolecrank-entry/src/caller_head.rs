//! Checks the head of a caller's request and removes from it what an upstream must not see.

use http::StatusCode;
use http::request::Parts;
use oriolecrank_policy::header_cleaning::{
    CallerHead, HeaderLimits, HeaderPair, HeaderRefusal, check_request, clean_answer_fields,
};
use oriolecrank_schema::data_path::HeaderField;
use oriolecrank_schema::digest;
use oriolecrank_schema::document::KeyDigest;

use crate::caller_answer::CallerError;

/// Header whose value identifies a non-idempotent call, so that the caller can repeat it safely.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Longest accepted idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Request head without API keys and header fields that an upstream must not see.
#[derive(Debug, Clone, PartialEq)]
pub struct CleanHead {
    /// HTTP method, as received.
    pub method: String,
    /// Decoded path without the query; routes are matched by it.
    pub route_path: String,
    /// Path and query as received, without parameters that hold a key.
    pub target: String,
    /// Header fields for the upstream.
    pub fields: Vec<HeaderField>,
    /// Digest of the caller's API key, `None` without one; the key itself is not stored.
    pub key_digest: Option<KeyDigest>,
    /// Digest of the idempotency key; `None` without one.
    pub idempotency_digest: Option<String>,
}

impl CleanHead {
    /// Checks and cleans the head of a request.
    ///
    /// `is_key` tells whether a text is the API key of any organisation. All such texts are
    /// removed, including keys of other organisations and keys in requests to open routes.
    pub fn read(
        parts: &Parts,
        limits: &HeaderLimits,
        is_key: impl Fn(&str) -> bool,
    ) -> Result<Self, CallerError> {
        let target = parts.uri.to_string();
        let fields = parts.headers.iter();
        let fields: Vec<_> = fields
            .map(|(name, value)| HeaderPair {
                name: name.as_str(),
                value: value.as_bytes(),
            })
            .collect();
        let head = CallerHead {
            method: parts.method.as_str(),
            target: &target,
            fields: &fields,
        };
        let refused = |refusal: HeaderRefusal| {
            CallerError::not_run(refusal.status(), refusal.code(), refusal.to_string())
        };
        let checked = check_request(head, limits).map_err(refused)?;
        let cleaned = checked.clean_all_keys(is_key).map_err(refused)?;
        let idempotency_digest = read_idempotency_digest(parts)?;
        let fields = cleaned.fields.iter().filter_map(|field| {
            // Values that are not UTF-8 are dropped, because the message to the agent holds only
            // text.
            let value = std::str::from_utf8(&field.value).ok()?.to_owned();
            let name = field.name.to_owned();
            Some(HeaderField { name, value })
        });
        Ok(Self {
            method: parts.method.to_string(),
            route_path: checked.route_path().to_owned(),
            fields: fields.collect(),
            key_digest: checked
                .key()
                .map(|key| digest::key_digest(key.expose_secret())),
            idempotency_digest,
            target: cleaned.target.into_owned(),
        })
    }
}

fn read_idempotency_digest(parts: &Parts) -> Result<Option<String>, CallerError> {
    let mut values = parts.headers.get_all(IDEMPOTENCY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let length = value.as_bytes().len();
    if values.next().is_some() || length == 0 || length > MAX_IDEMPOTENCY_KEY_BYTES {
        let message = format!(
            "expected one idempotency-key header of 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes, \
                but the first one received has {length} bytes"
        );
        let status = StatusCode::BAD_REQUEST;
        return Err(CallerError::not_run(status, "bad_idempotency_key", message));
    }
    Ok(Some(digest::text_digest(value.as_bytes())))
}

/// Header fields of an upstream's answer that the caller may see.
pub fn clean_answer(fields: &[HeaderField]) -> Vec<HeaderField> {
    let pairs: Vec<_> = fields
        .iter()
        .map(|field| HeaderPair {
            name: &field.name,
            value: field.value.as_bytes(),
        })
        .collect();
    let kept = clean_answer_fields(&pairs).into_iter();
    kept.filter_map(|pair| {
        let value = std::str::from_utf8(pair.value).ok()?.to_owned();
        let name = pair.name.to_owned();
        Some(HeaderField { name, value })
    })
    .collect()
}
