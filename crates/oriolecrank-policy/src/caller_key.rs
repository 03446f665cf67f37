//! The caller's key: extraction from a request, and detection of keys in other values.

use std::borrow::Cow;
use std::fmt;

use snafu::{OptionExt, ensure};

use crate::header_cleaning::{
    BadKeySnafu, CallerHead, ConflictingKeysSnafu, HeaderRefusal, canonical_name, query_of,
};
use crate::percent_encoding::{fully_percent_decoded, percent_decoded};

/// Minimum length of a part of a value that is looked up as a possible key. A 256-bit key has at
/// least 39 characters in any printable encoding.
const MIN_KEY_BYTES: usize = 32;

/// [Canonical](canonical_name) names of cookies and query parameters that may carry the key.
const KEY_PARAMETERS: [&str; 3] = ["api-key", "authorization", "x-api-key"];

/// Key of the organisation, as the caller sent it. `Debug` output hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey<'a>(Cow<'a, str>);

impl CallerKey<'_> {
    /// The key in plain text; must not be logged or forwarded.
    pub fn expose_secret(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for CallerKey<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CallerKey(..)")
    }
}

/// Finds the key in the header fields, cookies and query parameters that may carry it.
///
/// Returns `None` if no place carries a key; fails if a key is malformed or two places carry
/// different keys.
pub(crate) fn find_key<'a>(head: &CallerHead<'a>) -> Result<Option<CallerKey<'a>>, HeaderRefusal> {
    let mut found = None;
    for field in head.fields {
        match &*canonical_name(field.name) {
            "authorization" => {
                if let Some(token) = bearer_token(field.value) {
                    record_key(&mut found, Cow::Borrowed(token))?;
                }
            }
            "x-api-key" | "api-key" => record_key(&mut found, Cow::Borrowed(field.value))?,
            "cookie" => {
                for (name, value) in cookies(field.value) {
                    if is_key_parameter(name) {
                        record_key(&mut found, percent_decoded(unquoted(value)))?;
                    }
                }
            }
            _ => {}
        }
    }
    for parameter in query_of(head.target).unwrap_or_default().split('&') {
        let (name, value) = split_parameter(parameter.as_bytes());
        if is_key_parameter(&percent_decoded(name)) {
            record_key(&mut found, percent_decoded(value))?;
        }
    }
    Ok(found)
}

/// Stores the key from `value` in `found`, without a leading `Bearer`.
///
/// An empty value counts as no key. Fails if `found` already holds another key.
fn record_key<'a>(
    found: &mut Option<CallerKey<'a>>,
    value: Cow<'a, [u8]>,
) -> Result<(), HeaderRefusal> {
    let value = match value {
        Cow::Borrowed(bytes) => Cow::Borrowed(without_scheme(bytes)),
        Cow::Owned(bytes) => Cow::Owned(without_scheme(&bytes).to_vec()),
    };
    if value.is_empty() {
        return Ok(());
    }
    // Some parsers split values at commas or semicolons and would find another key than this one.
    let allowed = |byte: &u8| byte.is_ascii_graphic() && !matches!(*byte, b',' | b';');
    ensure!(value.iter().all(allowed), BadKeySnafu);
    let text = match value {
        Cow::Borrowed(bytes) => std::str::from_utf8(bytes).ok().map(Cow::Borrowed),
        Cow::Owned(bytes) => String::from_utf8(bytes).ok().map(Cow::Owned),
    };
    let key = CallerKey(text.context(BadKeySnafu)?);
    ensure!(
        found.as_ref().is_none_or(|other| *other == key),
        ConflictingKeysSnafu
    );
    *found = Some(key);
    Ok(())
}

fn without_scheme(value: &[u8]) -> &[u8] {
    bearer_token(value).unwrap_or(value).trim_ascii()
}

/// Returns the token after `Bearer`, which may be empty; `None` for another scheme.
fn bearer_token(value: &[u8]) -> Option<&[u8]> {
    let value = value.trim_ascii();
    let (scheme, token) = value.split_at_checked("bearer".len())?;
    let separated = token.first().is_none_or(u8::is_ascii_whitespace);
    (scheme.eq_ignore_ascii_case(b"bearer") && separated).then(|| token.trim_ascii())
}

fn cookies(value: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    value
        .split(|byte| *byte == b';')
        .map(|cookie| split_parameter(cookie.trim_ascii()))
}

pub(crate) fn split_parameter(parameter: &[u8]) -> (&[u8], &[u8]) {
    match parameter.iter().position(|byte| *byte == b'=') {
        None => (parameter, &[]),
        Some(at) => (&parameter[..at], &parameter[at + 1..]),
    }
}

fn unquoted(value: &[u8]) -> &[u8] {
    let inner = value.strip_prefix(b"\"");
    inner
        .and_then(|inner| inner.strip_suffix(b"\""))
        .unwrap_or(value)
}

pub(crate) fn is_key_parameter(name: &[u8]) -> bool {
    let name = std::str::from_utf8(name).unwrap_or_default();
    KEY_PARAMETERS.contains(&&*canonical_name(name.trim()))
}

/// Detects keys in names and values that must not contain any.
pub(crate) struct KeyFilter<'a, F> {
    /// The key of this request.
    key: Option<&'a CallerKey<'a>>,
    /// Returns whether a text is the key of any organisation.
    is_key: F,
}

impl<'a, F: Fn(&str) -> bool> KeyFilter<'a, F> {
    pub(crate) fn new(key: Option<&'a CallerKey<'a>>, is_key: F) -> Self {
        Self { key, is_key }
    }

    /// Whether `value` contains a key, also in percent-encoded form.
    ///
    /// Searches the whole value, because the key may follow a scheme (`Bearer`) or be part of a URL
    /// (`Referer`, `X-Original-URL`).
    pub(crate) fn contains_key(&self, value: &[u8]) -> bool {
        self.contains_plain_key(value)
            || (value.contains(&b'%') && self.contains_plain_key(&fully_percent_decoded(value)))
    }

    /// Whether a field name contains the caller's key. Ignores case, because field names are
    /// case-insensitive.
    pub(crate) fn name_contains_key(&self, name: &str) -> bool {
        self.key.is_some_and(|key| {
            let key = key.0.to_ascii_lowercase();
            contains(name.to_ascii_lowercase().as_bytes(), key.as_bytes())
        })
    }

    fn contains_plain_key(&self, value: &[u8]) -> bool {
        let contains_own_key = self
            .key
            .is_some_and(|key| contains(value, key.0.as_bytes()));
        contains_own_key || possible_keys(value).any(|text| (self.is_key)(text))
    }
}

/// Returns the parts of a value that are long enough to be keys.
///
/// The value is split at separators. Each part is returned whole, from its first `=`, from its
/// first `:`, and from its last `/`, because each of these may precede a key.
fn possible_keys(value: &[u8]) -> impl Iterator<Item = &str> {
    let parts = value.split(|byte| !byte.is_ascii_graphic() || b",;\"'&?()<>{}".contains(byte));
    let parts = parts.filter(|part| part.len() >= MIN_KEY_BYTES);
    let candidates = parts.flat_map(|part| {
        let after = |separator: u8| {
            let at = part.iter().position(|byte| *byte == separator)?;
            Some(&part[at + 1..])
        };
        let last_segment = part.rsplit(|byte| *byte == b'/').next();
        [Some(part), after(b'='), after(b':'), last_segment]
    });
    candidates
        .flatten()
        .filter(|candidate| candidate.len() >= MIN_KEY_BYTES)
        .filter_map(|candidate| std::str::from_utf8(candidate).ok())
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.len() >= part.len() && text.windows(part.len()).any(|window| window == part)
}
