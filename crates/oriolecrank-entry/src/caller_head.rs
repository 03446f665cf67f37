//! Check and cleaning of a caller's request head.

use http::StatusCode;
use http::request::Parts;
use oriolecrank_policy::header_cleaning::{
    CallerHead, HeaderLimits, HeaderPair, HeaderRefusal, check_request, clean_answer_fields,
};
use oriolecrank_schema::data_path::HeaderField;
use oriolecrank_schema::digest;
use oriolecrank_schema::document::KeyDigest;

use crate::caller_answer::CallerError;

/// Header with which a caller makes a non-idempotent call safe to repeat.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Longest accepted idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// A request head without anything an upstream must not see.
#[derive(Debug, Clone, PartialEq)]
pub struct CleanHead {
    /// HTTP method.
    pub method: String,
    /// Decoded path, by which routes are matched.
    pub route_path: String,
    /// Path and query without key parameters.
    pub target: String,
    /// Header fields for the upstream.
    pub fields: Vec<HeaderField>,
    /// Digest of the caller's key; the key itself is not kept.
    pub key: Option<KeyDigest>,
    /// Digest of the idempotency key.
    pub idempotency_key: Option<String>,
}

impl CleanHead {
    /// Checks and cleans the head of a request.
    ///
    /// `is_key` says whether a text is a valid key. Such a text is removed wherever it stands, also
    /// when it is the key of another organisation or the route is open.
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
        let idempotency_key = idempotency_digest(parts)?;
        let fields = cleaned.fields.iter().filter_map(|field| {
            // Values that are not text cannot be sent to the agent; no upstream depends on them.
            let value = std::str::from_utf8(&field.value).ok()?.to_owned();
            let name = field.name.to_owned();
            Some(HeaderField { name, value })
        });
        Ok(Self {
            method: parts.method.to_string(),
            route_path: checked.route_path().to_owned(),
            fields: fields.collect(),
            key: checked
                .key()
                .map(|key| digest::key_digest(key.expose_secret())),
            idempotency_key,
            target: cleaned.target.into_owned(),
        })
    }
}

fn idempotency_digest(parts: &Parts) -> Result<Option<String>, CallerError> {
    let mut values = parts.headers.get_all(IDEMPOTENCY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let length = value.as_bytes().len();
    if values.next().is_some() || length == 0 || length > MAX_IDEMPOTENCY_KEY_BYTES {
        let message =
            format!("send one idempotency key of at most {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
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
