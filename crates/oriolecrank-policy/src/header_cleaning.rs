//! Validation and sanitising of a caller's request head.
//!
//! [`check_request`] refuses heads that two HTTP parsers may interpret differently, enforces size
//! limits and extracts the caller's API key, here called the key. [`CheckedRequest::clean`] then
//! returns the target and fields that may be forwarded to an upstream, without the key, hop-by-hop
//! fields and internal headers.

use std::borrow::Cow;

use http::header::HeaderName;
use snafu::{OptionExt, Snafu, ensure};

pub use crate::caller_key::CallerKey;
use crate::caller_key::{KeyFilter, find_key, is_key_parameter, split_parameter};
use crate::percent_encoding::percent_decoded;

/// Name prefix of the internal headers, which callers and upstreams must not set.
const INTERNAL_PREFIX: &str = "x-oriolecrank-";

/// Fields that apply to a single connection (RFC 9110, section 7.6.1), and `expect`, which the
/// entry answers itself.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "expect",
    "http2-settings",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Fields that the agent sets itself when it sends the request to the upstream.
const SET_BY_AGENT: [&str; 2] = ["content-length", "host"];

/// Fields that may carry credentials; dropped regardless of their values.
const CREDENTIAL_FIELDS: [&str; 8] = [
    "api-key",
    "authorization",
    "proxy-authorization",
    "x-api-key",
    "x-auth-token",
    "x-forwarded-authorization",
    "x-original-authorization",
    "x-proxy-authorization",
];

/// Fields that `Connection` must not list, because dropping them as hop-by-hop would change the
/// framing or the route.
const NOT_ALLOWED_IN_CONNECTION: [&str; 3] = ["content-length", "host", "transfer-encoding"];

/// Size limits of a request head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderLimits {
    /// Maximum length of the target, in bytes.
    pub target_bytes: usize,
    /// Maximum number of fields.
    pub fields: usize,
    /// Maximum length of the name plus the value of one field, in bytes.
    pub field_bytes: usize,
    /// Maximum length of all names and values together, in bytes.
    pub total_bytes: usize,
}

impl Default for HeaderLimits {
    fn default() -> Self {
        Self {
            target_bytes: 8 * 1024,
            fields: 100,
            field_bytes: 16 * 1024,
            total_bytes: 32 * 1024,
        }
    }
}

/// Reason for refusing a request head. The request has not run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HeaderRefusal {
    /// The method is malformed, or is `TRACE` or `CONNECT`.
    #[snafu(display("the method is malformed or not allowed"))]
    BadMethod,
    /// The target is not a path with an optional query, or its path is ambiguous: it has dot
    /// segments, backslashes or control characters, or is percent-encoded twice.
    #[snafu(display("the target must be an unambiguous path with an optional query"))]
    BadTarget,
    /// The target exceeds [`HeaderLimits::target_bytes`].
    #[snafu(display("the target is too long"))]
    TargetTooLong,
    /// The fields exceed one of the [`HeaderLimits`].
    #[snafu(display("there are too many header fields, or they are too long"))]
    FieldsTooLarge,
    /// A field name is not a token in the sense of RFC 9110.
    #[snafu(display("a header field name is malformed"))]
    BadName,
    /// A field value contains control characters other than tabs.
    #[snafu(display("the value of the header field {name} contains control characters"))]
    BadValue {
        /// Name of the field.
        name: String,
    },
    /// The fields that define the length of the body are malformed, misspelled or repeated.
    #[snafu(display("Content-Length or Transfer-Encoding is malformed, misspelled or repeated"))]
    AmbiguousLength,
    /// There is more than one `Host` field.
    #[snafu(display("there is more than one Host field"))]
    RepeatedHost,
    /// `Connection` lists a field that defines the framing or the route of the request.
    #[snafu(display("the Connection field lists Content-Length, Host or Transfer-Encoding"))]
    BadConnection,
    /// A key contains a comma, a semicolon, or anything but visible ASCII characters.
    #[snafu(display("the API key contains characters that are not allowed"))]
    BadKey,
    /// The request carries different keys in different places.
    #[snafu(display("the request carries different API keys in different places"))]
    ConflictingKeys,
    /// The path contains a key. Unlike a query parameter, it cannot be removed.
    #[snafu(display("the path contains an API key"))]
    KeyInPath,
}

impl HeaderRefusal {
    /// HTTP status of the answer to the caller.
    pub fn status(&self) -> http::StatusCode {
        match self {
            Self::TargetTooLong => http::StatusCode::URI_TOO_LONG,
            Self::FieldsTooLarge => http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BadMethod => http::StatusCode::METHOD_NOT_ALLOWED,
            _ => http::StatusCode::BAD_REQUEST,
        }
    }

    /// Stable error code for the caller.
    pub fn code(&self) -> &'static str {
        match self {
            Self::BadMethod => "method_not_allowed",
            Self::BadTarget => "bad_target",
            Self::TargetTooLong => "target_too_long",
            Self::FieldsTooLarge => "headers_too_large",
            Self::BadName | Self::BadValue { .. } => "bad_header",
            Self::AmbiguousLength => "ambiguous_length",
            Self::RepeatedHost => "repeated_host",
            Self::BadConnection => "bad_connection_header",
            Self::BadKey => "bad_key",
            Self::ConflictingKeys => "conflicting_keys",
            Self::KeyInPath => "key_in_path",
        }
    }
}

/// One header field as received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderPair<'a> {
    /// Name as spelled by the sender; not converted to lower case.
    pub name: &'a str,
    /// Value; not necessarily text.
    pub value: &'a [u8],
}

/// Head of a caller's request.
#[derive(Debug, Clone, Copy)]
pub struct CallerHead<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query, still percent-encoded.
    pub target: &'a str,
    /// Header fields in the order in which they arrived.
    pub fields: &'a [HeaderPair<'a>],
}

/// A request head that passed all checks.
#[derive(Debug, Clone)]
pub struct CheckedRequest<'a> {
    head: CallerHead<'a>,
    key: Option<CallerKey<'a>>,
    route_path: String,
}

/// A header field that may be forwarded to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CleanedField<'a> {
    /// Name as spelled by the caller; not converted to lower case.
    pub name: &'a str,
    /// Value; owned if cookies were removed from it.
    pub value: Cow<'a, [u8]>,
}

/// The part of a request head that may be forwarded to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CleanedRequest<'a> {
    /// Path and query without key parameters.
    pub target: Cow<'a, str>,
    /// Header fields in the order in which they arrived.
    pub fields: Vec<CleanedField<'a>>,
}

/// Validates a request head and extracts its key.
pub fn check_request<'a>(
    head: CallerHead<'a>,
    limits: &HeaderLimits,
) -> Result<CheckedRequest<'a>, HeaderRefusal> {
    check_method(head.method)?;
    check_sizes(&head, limits)?;
    for field in head.fields {
        check_field(field)?;
    }
    check_framing(head.fields)?;
    let route_path = check_target(head.target)?;
    let key = find_key(&head)?;
    let filter = KeyFilter::new(key.as_ref(), |_: &str| false);
    ensure!(
        !filter.contains_key(path_of(head.target).as_bytes()),
        KeyInPathSnafu
    );
    Ok(CheckedRequest {
        head,
        key,
        route_path,
    })
}

impl<'a> CheckedRequest<'a> {
    /// The caller's key; `None` if the request carries none.
    pub fn key(&self) -> Option<&CallerKey<'a>> {
        self.key.as_ref()
    }

    /// Percent-decoded path without empty segments, for route matching.
    ///
    /// Routes are matched against this form, so that an equivalent spelling of a path (`/%64rain`,
    /// `//drain`) cannot match a more permissive route.
    pub fn route_path(&self) -> &str {
        &self.route_path
    }

    /// First value of the field `name`; `None` if there is none or it is not UTF-8.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        let fields = self.head.fields.iter();
        let mut matching = fields.filter(|field| field.name.eq_ignore_ascii_case(name));
        matching
            .next()
            .and_then(|field| std::str::from_utf8(field.value).ok())
    }

    /// Returns the target and fields that may be forwarded, without the caller's key.
    pub fn clean(&self) -> CleanedRequest<'a> {
        self.clean_with(&KeyFilter::new(self.key(), |_: &str| false))
    }

    /// Like [`Self::clean`], but also removes all other valid keys, such as keys of other
    /// organisations and keys in places where the caller's key is not looked for.
    ///
    /// `is_key` returns whether a text is a valid key; it is called for the parts of values that
    /// are long enough to be one. Fails if the path contains a key.
    pub fn clean_all_keys<F: Fn(&str) -> bool>(
        &self,
        is_key: F,
    ) -> Result<CleanedRequest<'a>, HeaderRefusal> {
        let filter = KeyFilter::new(self.key(), is_key);
        let path = path_of(self.head.target);
        let mut segments = path.split('/');
        let has_key = segments.any(|segment| filter.contains_key(segment.as_bytes()));
        ensure!(!has_key, KeyInPathSnafu);
        Ok(self.clean_with(&filter))
    }

    fn clean_with<F: Fn(&str) -> bool>(&self, filter: &KeyFilter<'_, F>) -> CleanedRequest<'a> {
        let connection_listed = fields_listed_in_connection(self.head.fields);
        let fields = self.head.fields.iter();
        CleanedRequest {
            target: clean_target(self.head.target, filter),
            fields: fields
                .filter_map(|field| clean_field(field, &connection_listed, filter))
                .collect(),
        }
    }
}

/// Returns the fields of an upstream's answer that may be forwarded to the caller.
pub fn clean_answer_fields<'a>(fields: &'a [HeaderPair<'a>]) -> Vec<HeaderPair<'a>> {
    let connection_listed = fields_listed_in_connection(fields);
    let kept = fields.iter().filter(|field| {
        let name = canonical_name(field.name);
        let hop_by_hop = HOP_BY_HOP.contains(&&*name) || connection_listed.contains(&name);
        !hop_by_hop && name != "content-length" && !name.starts_with(INTERNAL_PREFIX)
    });
    kept.copied().collect()
}

fn check_method(method: &str) -> Result<(), HeaderRefusal> {
    let method = http::Method::from_bytes(method.as_bytes()).ok();
    let method = method.context(BadMethodSnafu)?;
    // TRACE returns the header fields to the caller; CONNECT turns the connection into a tunnel.
    let refused = [http::Method::TRACE, http::Method::CONNECT].contains(&method);
    ensure!(!refused, BadMethodSnafu);
    Ok(())
}

fn check_sizes(head: &CallerHead<'_>, limits: &HeaderLimits) -> Result<(), HeaderRefusal> {
    ensure!(head.target.len() <= limits.target_bytes, TargetTooLongSnafu);
    ensure!(head.fields.len() <= limits.fields, FieldsTooLargeSnafu);
    let mut total = 0;
    for field in head.fields {
        let bytes = field.name.len() + field.value.len();
        ensure!(bytes <= limits.field_bytes, FieldsTooLargeSnafu);
        total += bytes;
    }
    ensure!(total <= limits.total_bytes, FieldsTooLargeSnafu);
    Ok(())
}

fn check_field(field: &HeaderPair<'_>) -> Result<(), HeaderRefusal> {
    let name = HeaderName::from_bytes(field.name.as_bytes());
    ensure!(name.is_ok(), BadNameSnafu);
    let control = |byte: &u8| (*byte < b' ' && *byte != b'\t') || *byte == 0x7f;
    ensure!(
        !field.value.iter().any(control),
        BadValueSnafu { name: field.name }
    );
    Ok(())
}

/// Refuses heads for which two parsers may determine different body lengths or hosts.
fn check_framing(fields: &[HeaderPair<'_>]) -> Result<(), HeaderRefusal> {
    let (mut lengths, mut encodings, mut hosts) = (0, 0, 0);
    for field in fields {
        let name = canonical_name(field.name);
        // Servers that treat `_` as `-` would interpret the field as a framing field.
        let misspelled = !field.name.eq_ignore_ascii_case(&name);
        match &*name {
            "content-length" => {
                let digits = !field.value.is_empty() && field.value.iter().all(u8::is_ascii_digit);
                ensure!(digits && !misspelled, AmbiguousLengthSnafu);
                lengths += 1;
            }
            "transfer-encoding" => {
                let chunked = field.value.eq_ignore_ascii_case(b"chunked");
                ensure!(chunked && !misspelled, AmbiguousLengthSnafu);
                encodings += 1;
            }
            "host" => hosts += 1,
            _ => {}
        }
    }
    ensure!(lengths + encodings <= 1, AmbiguousLengthSnafu);
    ensure!(hosts <= 1, RepeatedHostSnafu);
    let connection_listed = fields_listed_in_connection(fields);
    let lists_forbidden_field = connection_listed
        .iter()
        .any(|name| NOT_ALLOWED_IN_CONNECTION.contains(&&**name));
    ensure!(!lists_forbidden_field, BadConnectionSnafu);
    Ok(())
}

/// Validates the target and returns its path for [route matching](CheckedRequest::route_path).
fn check_target(target: &str) -> Result<String, HeaderRefusal> {
    let allowed = target
        .bytes()
        .all(|byte| byte.is_ascii_graphic() && byte != b'#' && byte != b'\\');
    ensure!(target.starts_with('/') && allowed, BadTargetSnafu);
    let path = percent_decoded(path_of(target).as_bytes());
    // Servers that decode once and servers that decode twice would see different paths.
    ensure!(percent_decoded(&path) == path, BadTargetSnafu);
    let decoded = std::str::from_utf8(&path).ok().context(BadTargetSnafu)?;
    let bad_character = |character: char| character.is_control() || character == '\\';
    ensure!(!decoded.contains(bad_character), BadTargetSnafu);
    let mut route_path = String::with_capacity(decoded.len());
    for segment in decoded.split('/').filter(|segment| !segment.is_empty()) {
        // An upstream that resolves dot segments would serve another path than the one checked
        // here.
        ensure!(segment != "." && segment != "..", BadTargetSnafu);
        route_path.push('/');
        route_path.push_str(segment);
    }
    if route_path.is_empty() {
        route_path.push('/');
    }
    Ok(route_path)
}

fn clean_field<'a, F: Fn(&str) -> bool>(
    field: &HeaderPair<'a>,
    connection_listed: &[String],
    filter: &KeyFilter<'_, F>,
) -> Option<CleanedField<'a>> {
    let name = canonical_name(field.name);
    let dropped = HOP_BY_HOP.contains(&&*name)
        || SET_BY_AGENT.contains(&&*name)
        || CREDENTIAL_FIELDS.contains(&&*name)
        || name.starts_with(INTERNAL_PREFIX)
        || connection_listed.contains(&name);
    if dropped {
        return None;
    }
    if name == "cookie" {
        let value = clean_cookies(field.value, filter)?;
        return Some(CleanedField {
            name: field.name,
            value,
        });
    }
    let contains_key = filter.contains_key(field.value) || filter.name_contains_key(field.name);
    (!contains_key).then_some(CleanedField {
        name: field.name,
        value: Cow::Borrowed(field.value),
    })
}

/// Removes the cookies that carry a key; returns `None` if none remains.
fn clean_cookies<'a, F: Fn(&str) -> bool>(
    value: &'a [u8],
    filter: &KeyFilter<'_, F>,
) -> Option<Cow<'a, [u8]>> {
    let keep = |cookie: &[u8]| {
        let (name, _) = split_parameter(cookie);
        !is_key_parameter(name) && !filter.contains_key(cookie)
    };
    let parts = || value.split(|byte| *byte == b';').map(<[u8]>::trim_ascii);
    if parts().all(keep) {
        return Some(Cow::Borrowed(value));
    }
    let kept: Vec<&[u8]> = parts()
        .filter(|part| !part.is_empty() && keep(part))
        .collect();
    (!kept.is_empty()).then(|| Cow::Owned(kept.join(&b"; "[..])))
}

fn clean_target<'a, F: Fn(&str) -> bool>(
    target: &'a str,
    filter: &KeyFilter<'_, F>,
) -> Cow<'a, str> {
    let Some(query) = query_of(target) else {
        return Cow::Borrowed(target);
    };
    let keep = |parameter: &str| {
        let (name, _) = split_parameter(parameter.as_bytes());
        let carries_key = is_key_parameter(&percent_decoded(name));
        !carries_key && !filter.contains_key(parameter.as_bytes())
    };
    if query.split('&').all(keep) {
        return Cow::Borrowed(target);
    }
    let kept: Vec<&str> = query
        .split('&')
        .filter(|parameter| keep(parameter))
        .collect();
    let path = path_of(target);
    if kept.is_empty() {
        return Cow::Borrowed(path);
    }
    Cow::Owned(format!("{path}?{}", kept.join("&")))
}

/// Returns the name in lower case with `_` replaced by `-`, as some servers interpret it.
pub(crate) fn canonical_name(name: &str) -> String {
    name.to_ascii_lowercase().replace('_', "-")
}

/// Canonical names of the fields that `Connection` declares as hop-by-hop.
fn fields_listed_in_connection(fields: &[HeaderPair<'_>]) -> Vec<String> {
    let connections = fields
        .iter()
        .filter(|field| canonical_name(field.name) == "connection");
    connections
        .flat_map(|field| field.value.split(|byte| *byte == b','))
        .filter_map(|name| std::str::from_utf8(name.trim_ascii()).ok())
        .filter(|name| !name.is_empty())
        .map(canonical_name)
        .collect()
}

fn path_of(target: &str) -> &str {
    target.split_once('?').map_or(target, |(path, _)| path)
}

pub(crate) fn query_of(target: &str) -> Option<&str> {
    target.split_once('?').map(|(_, query)| query)
}
