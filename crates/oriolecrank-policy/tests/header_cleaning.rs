//! Contract tests of header cleaning.

mod common;

use oriolecrank_policy::header_cleaning::{
    CallerHead, CleanedRequest, HeaderLimits, HeaderPair, HeaderRefusal, check_request,
    clean_answer_fields,
};
use proptest::prelude::*;

const KEY: &str = "ok_8Jd93nFq0ZzLm2Xw-7Vt";

fn pairs<'a>(fields: &'a [(&'a str, &'a str)]) -> Vec<HeaderPair<'a>> {
    let pairs = fields.iter().map(|(name, value)| HeaderPair {
        name,
        value: value.as_bytes(),
    });
    pairs.collect()
}

type Case<'a> = (&'a str, &'a str, Vec<(&'a str, &'a str)>, HeaderRefusal);

fn percent_encoded(text: &str) -> String {
    let encoded = text.bytes().map(|byte| format!("%{byte:02X}"));
    encoded.collect::<Vec<_>>().concat()
}

fn refusal(method: &str, target: &str, fields: &[(&str, &str)]) -> Option<HeaderRefusal> {
    let fields = pairs(fields);
    let head = CallerHead {
        method,
        target,
        fields: &fields,
    };
    check_request(head, &HeaderLimits::default()).err()
}

/// Returns the key, and the target and `name: value` lines that would be forwarded to an upstream.
fn cleaned(target: &str, fields: &[(&str, &str)]) -> (Option<String>, String, Vec<String>) {
    let fields = pairs(fields);
    let head = CallerHead {
        method: "POST",
        target,
        fields: &fields,
    };
    let checked = check_request(head, &HeaderLimits::default()).expect("the head is safe");
    let key = checked.key().map(|key| key.expose_secret().to_owned());
    let request = checked.clean();
    (key, request.target.to_string(), lines(&request))
}

fn lines(request: &CleanedRequest<'_>) -> Vec<String> {
    let fields = request.fields.iter();
    fields
        .map(|field| format!("{}: {}", field.name, String::from_utf8_lossy(&field.value)))
        .collect()
}

/// Guards against forwarding the key from any of the places that may carry it.
#[test]
fn key_is_found_and_removed_in_each_place() {
    let bearer = format!("Bearer {KEY}");
    let lower = format!("bearer   {KEY}");
    let cookie = format!("theme=dark; api_key={KEY}; lang=es");
    let scheme = format!("authorization=Bearer%20{KEY}");
    let quoted = format!("x-api-key=\"{KEY}\"");
    // Name and value of a header field, request target and the expected remaining fields. "QUERY"
    // stands for a target with the key in its query.
    let cases: [(&str, &str, &str, &[&str]); 10] = [
        ("authorization", &bearer, "/v1/x", &[]),
        ("Authorization", &lower, "/v1/x", &[]),
        ("x-api-key", KEY, "/v1/x", &[]),
        ("X-API-Key", &bearer, "/v1/x", &[]),
        ("x_api_key", KEY, "/v1/x", &[]),
        ("api-key", KEY, "/v1/x", &[]),
        ("Cookie", &cookie, "/v1/x", &["Cookie: theme=dark; lang=es"]),
        ("cookie", &quoted, "/v1/x", &[]),
        ("cookie", &scheme, "/v1/x", &[]),
        ("accept", "*/*", "QUERY", &["accept: */*"]),
    ];
    for (name, value, target, expected) in cases {
        let query = format!("/v1/x?a=1&api_key={KEY}&b=2");
        let target = if target == "QUERY" { &query } else { target };
        let (key, target, lines) = cleaned(target, &[(name, value)]);
        assert_eq!(key.as_deref(), Some(KEY), "{name}: {value}");
        assert!(!target.contains(KEY), "{target}");
        assert_eq!(lines, expected, "{name}: {value}");
    }
}

/// Guards against forwarding copies of the key in fields that do not usually carry one.
#[test]
fn copies_of_the_key_are_removed() {
    let encoded = percent_encoded(KEY);
    let twice = encoded.replace('%', "%25");
    let bearer = format!("Bearer {KEY}");
    let url = format!("https://host/path?token={KEY}");
    let in_cookie = format!("session={KEY}; a=b");
    let in_name = format!("{KEY}-copy");
    let fields = [
        ("authorization", &*bearer),
        ("x-forwarded-authorization", "Basic b3RoZXI="),
        ("proxy-authorization", &bearer),
        ("x-proxy-token", &bearer),
        ("referer", &url),
        ("x-original-url", &encoded),
        ("x-rewrite-url", &twice),
        ("idempotency-key", KEY),
        ("cookie", &in_cookie),
        (&in_name, "1"),
        ("content-type", "application/json"),
    ];
    let target = format!("/v1/x?q={KEY}&{KEY}&r={encoded}&s={twice}&keep=1&{KEY}=2");
    let (_, target, lines) = cleaned(&target, &fields);
    assert_eq!(target, "/v1/x?keep=1");
    assert_eq!(lines, ["cookie: a=b", "content-type: application/json"]);
}

/// Guards against forged internal headers and against forwarding hop-by-hop fields.
#[test]
fn internal_and_hop_by_hop_fields_are_removed() {
    let fields = [
        ("Connection", "close, X-Trace-Hop"),
        ("x-trace-hop", "1"),
        ("X_Trace_Hop", "2"),
        ("keep-alive", "timeout=5"),
        ("TE", "trailers"),
        ("trailer", "x"),
        ("upgrade", "websocket"),
        ("proxy-connection", "keep-alive"),
        ("expect", "100-continue"),
        ("X-Oriolecrank-Organisation", "other"),
        ("x_oriolecrank_protocol", "1.0"),
        ("content-length", "2"),
        ("host", "a"),
        ("accept", "*/*"),
    ];
    let (key, _, lines) = cleaned("/v1/x", &fields);
    assert_eq!(key, None);
    assert_eq!(lines, ["accept: */*"]);
}

/// Guards against forwarding credentials on an open route, where no key is required.
#[test]
fn credential_fields_are_removed_without_a_key() {
    let fields = [("authorization", "Basic dXNlcjpwYXNz"), ("x-api-key", "")];
    let (key, _, lines) = cleaned("/v1/x", &fields);
    assert_eq!((key, lines), (None, Vec::new()));
}

/// Guards against forwarding another organisation's key, or a key on an open route in a place where
/// the caller's key is not looked for.
#[test]
fn any_known_key_is_removed() {
    let other = "ok_b7Qe1vYtR4uN9pLs0aWc6xKd2mZf5hGj";
    let bearer = format!("Token {other}");
    let pair = format!("user:{other}");
    let cookie = format!("a=b; session={other}");
    let encoded = percent_encoded(other);
    let fields = [
        ("x-token", other),
        ("x-upstream-authorization", &bearer),
        ("x-pair", &pair),
        ("x-encoded", &encoded),
        ("cookie", &cookie),
        (
            "x-trace",
            "a-harmless-value-that-is-as-long-as-a-key-would-be",
        ),
    ];
    let fields = pairs(&fields);
    let clean = |target: &str| {
        let head = CallerHead {
            method: "GET",
            target,
            fields: &fields,
        };
        let checked = check_request(head, &HeaderLimits::default()).unwrap();
        let cleaned = checked.clean_all_keys(|text| text == other);
        cleaned.map(|request| (request.target.to_string(), lines(&request)))
    };
    let (target, kept) = clean(&format!("/a?t={other}&u=1;v={other}&w=2")).unwrap();
    assert_eq!(target, "/a?w=2");
    let harmless = "x-trace: a-harmless-value-that-is-as-long-as-a-key-would-be";
    assert_eq!(kept, ["cookie: a=b", harmless]);
    let in_path = clean(&format!("/a/{other}/b"));
    assert_eq!(in_path, Err(HeaderRefusal::KeyInPath));
}

/// Guards against heads that an upstream may interpret differently, and against oversized heads.
#[test]
fn unsafe_heads_are_refused() {
    use HeaderRefusal as R;
    let long = "a".repeat(17 * 1024);
    let medium = "a".repeat(15 * 1024);
    let in_path = format!("/v1/{KEY}/x");
    let bearer = format!("Bearer {KEY}");
    let bad_value = |name: &str| R::BadValue {
        name: name.to_owned(),
    };
    let cases: Vec<Case<'_>> = vec![
        ("TRACE", "/", vec![], R::BadMethod),
        ("CONNECT", "/", vec![], R::BadMethod),
        ("GET /", "/", vec![], R::BadMethod),
        ("GET", "http://a/", vec![], R::BadTarget),
        ("GET", "/a b", vec![], R::BadTarget),
        ("GET", "/a#b", vec![], R::BadTarget),
        ("GET", "/a/../b", vec![], R::BadTarget),
        ("GET", "/a/%2e%2E/b", vec![], R::BadTarget),
        ("GET", "/a%2f..%2fb", vec![], R::BadTarget),
        ("GET", "/a%252f..", vec![], R::BadTarget),
        ("GET", "/a%00", vec![], R::BadTarget),
        ("GET", "/a%5cb", vec![], R::BadTarget),
        ("GET", "/a\\b", vec![], R::BadTarget),
        ("GET", &long, vec![], R::TargetTooLong),
        ("GET", "/", vec![("a", &long)], R::FieldsTooLarge),
        ("GET", "/", vec![("a", &medium); 3], R::FieldsTooLarge),
        ("GET", "/", vec![("a", "b"); 101], R::FieldsTooLarge),
        ("GET", "/", vec![("a b", "c")], R::BadName),
        ("GET", "/", vec![("content-length ", "1")], R::BadName),
        ("GET", "/", vec![("", "c")], R::BadName),
        ("GET", "/", vec![("a", "b\r\nc: d")], bad_value("a")),
        ("GET", "/", vec![("a", "b\0")], bad_value("a")),
        (
            "GET",
            "/",
            vec![("host", "a"), ("Host", "a")],
            R::RepeatedHost,
        ),
        (
            "GET",
            "/",
            vec![("connection", "Content-Length")],
            R::BadConnection,
        ),
        (
            "GET",
            "/",
            vec![("connection", "close, host")],
            R::BadConnection,
        ),
        (
            "GET",
            "/",
            vec![("authorization", "Bearer a, Bearer b")],
            R::BadKey,
        ),
        ("GET", "/", vec![("x-api-key", "a;b")], R::BadKey),
        ("GET", "/?api_key=a%0ab", vec![], R::BadKey),
        (
            "GET",
            "/",
            vec![("x-api-key", "a"), ("api-key", "b")],
            R::ConflictingKeys,
        ),
        (
            "GET",
            "/",
            vec![("x-api-key", "a"), ("x-api-key", "b")],
            R::ConflictingKeys,
        ),
        (
            "GET",
            "/?api_key=b",
            vec![("x-api-key", "a")],
            R::ConflictingKeys,
        ),
        (
            "GET",
            "/",
            vec![("authorization", &bearer), ("cookie", "api_key=b")],
            R::ConflictingKeys,
        ),
        (
            "GET",
            &in_path,
            vec![("authorization", &bearer)],
            R::KeyInPath,
        ),
    ];
    for (method, target, fields, expected) in cases {
        let found = refusal(method, target, &fields);
        assert_eq!(found, Some(expected), "{method} {target:.60} {fields:.40?}");
    }
}

/// Guards against request smuggling by a body length that two parsers interpret differently.
#[test]
fn ambiguous_body_lengths_are_refused() {
    let lengths: [Vec<(&str, &str)>; 12] = [
        vec![("content-length", "1"), ("transfer-encoding", "chunked")],
        vec![("content-length", "1"), ("Content-Length", "2")],
        vec![("content-length", "1"), ("content-length", "1")],
        vec![("content-length", "1, 1")],
        vec![("content-length", "+1")],
        vec![("content-length", "-1")],
        vec![("content-length", " 1")],
        vec![("content-length", "")],
        vec![("content_length", "1")],
        vec![("transfer-encoding", "gzip, chunked")],
        vec![
            ("transfer-encoding", "chunked"),
            ("transfer-encoding", "chunked"),
        ],
        vec![("transfer_encoding", "chunked")],
    ];
    for fields in lengths {
        let found = refusal("POST", "/", &fields);
        assert_eq!(found, Some(HeaderRefusal::AmbiguousLength), "{fields:?}");
    }
}

/// Guards against an equivalent spelling of a path that matches a more permissive route.
#[test]
fn routes_are_matched_on_the_decoded_path() {
    let cases = [
        ("/%64rain", "/drain"),
        ("//drain", "/drain"),
        ("/drain/?a=/status", "/drain"),
        ("/", "/"),
        ("/a%20b", "/a b"),
    ];
    for (target, expected) in cases {
        let head = CallerHead {
            method: "GET",
            target,
            fields: &[],
        };
        let checked = check_request(head, &HeaderLimits::default()).unwrap();
        assert_eq!(checked.route_path(), expected);
    }
}

/// Guards against a key in log output.
#[test]
fn debug_output_hides_the_key() {
    let fields = pairs(&[("x-api-key", KEY)]);
    let head = CallerHead {
        method: "GET",
        target: "/",
        fields: &fields,
    };
    let checked = check_request(head, &HeaderLimits::default()).unwrap();
    assert_eq!(format!("{:?}", checked.key()), "Some(CallerKey(..))");
}

/// Guards against an upstream that forges internal headers or the framing of the caller's answer.
#[test]
fn answer_fields_are_cleaned() {
    let fields = pairs(&[
        ("content-type", "text/plain"),
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("transfer-encoding", "chunked"),
        ("content-length", "5"),
        ("x-oriolecrank-verdict", "not_run"),
    ]);
    let kept = clean_answer_fields(&fields);
    let names: Vec<&str> = kept.iter().map(|field| field.name).collect();
    assert_eq!(names, ["content-type"]);
}

/// A header field with a copy of the key in its value.
fn field_with_key() -> impl Strategy<Value = (String, String)> {
    let name = "[a-zA-Z][a-zA-Z0-9_-]{0,12}";
    let affixes = ("[ -~]{0,6}", "[ -~]{0,6}");
    let encoded = percent_encoded(KEY);
    let key_text = prop_oneof![Just(KEY.to_owned()), Just(encoded)];
    (name, affixes, key_text).prop_map(|(name, (before, after), key_text)| {
        // The `h-` prefix avoids names of key fields, whose values would be refused as conflicting.
        (format!("h-{name}"), format!("{before}{key_text}{after}"))
    })
}

proptest! {
    #![proptest_config(common::fixed_seed(256))]

    /// Guards against forwarding the key or an internal field in any spelling or place, and against
    /// the loss of harmless fields.
    #[test]
    fn no_key_passes_and_harmless_fields_stay(
        key_fields in prop::collection::vec(field_with_key(), 0..6),
        parameters in prop::collection::vec("[a-z]{1,4}=[a-z0-9]{0,4}", 0..5),
        cookies in prop::collection::vec("[a-z]{1,4}=[a-z0-9]{0,4}", 0..4),
        at in 0usize..5,
        internal in "[a-z-]{0,8}",
        harmless in "[a-z0-9 ]{0,20}",
    ) {
        let mut query = parameters.clone();
        query.insert(at.min(query.len()), format!("q={KEY}"));
        let target = format!("/services/ledger?{}", query.join("&"));
        let mut cookie_header = cookies.clone();
        cookie_header.insert(at.min(cookie_header.len()), format!("session={KEY}"));
        let cookie_header = cookie_header.join("; ");
        let bearer = format!("Bearer {KEY}");
        let internal = format!("X-Oriolecrank-{internal}");
        let mut fields = vec![
            ("authorization", &*bearer),
            ("cookie", &cookie_header),
            (&internal, "1"),
            ("x-harmless", &harmless),
        ];
        fields.extend(key_fields.iter().map(|(name, value)| (&**name, &**value)));
        let fields = pairs(&fields);
        let head = CallerHead { method: "GET", target: &target, fields: &fields };
        let checked = check_request(head, &HeaderLimits::default()).unwrap();
        let request = checked.clean();
        let names: Vec<&str> = request.fields.iter().map(|field| field.name).collect();
        let expected: &[&str] = if cookies.is_empty() {
            &["x-harmless"]
        } else {
            &["cookie", "x-harmless"]
        };
        prop_assert_eq!(names, expected);
        let kept_cookies = cookies.join("; ");
        if !cookies.is_empty() {
            prop_assert_eq!(&*request.fields[0].value, kept_cookies.as_bytes());
        }
        let kept = parameters.join("&");
        let separator = if kept.is_empty() { "" } else { "?" };
        prop_assert_eq!(request.target, format!("/services/ledger{separator}{kept}"));
    }

    /// Guards against panics on bytes that no well-behaved caller sends.
    #[test]
    fn arbitrary_heads_do_not_panic(
        target in "\\PC{0,40}",
        fields in prop::collection::vec(("\\PC{0,12}", prop::collection::vec(any::<u8>(), 0..30)), 0..6),
    ) {
        let fields: Vec<HeaderPair<'_>> =
            fields.iter().map(|(name, value)| HeaderPair { name, value }).collect();
        let head = CallerHead { method: "GET", target: &target, fields: &fields };
        if let Ok(checked) = check_request(head, &HeaderLimits::default()) {
            checked.clean();
        }
    }
}
