//! Checks of callers' requests: header fields, keys, routes, sizes and framing.

use http::Method;
use oriolecrank_fakes::{AgentStep, FakeAgent, whole_answer};
use oriolecrank_schema::data_path::RunRequest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::harness::{
    CallerRequest, EntrySetup, GROVE_KEY, PRESS_KEY, TEST_TIMEOUT, TestEntry, answering, booking,
    completion, completion_of,
};

const JSON: &str = "application/json";

fn get(target: &str) -> CallerRequest {
    CallerRequest::new(Method::GET, target)
}

/// An entry with one upstream of `desk` and one of `assistant`, and the agent that both share.
async fn start() -> (TestEntry, FakeAgent) {
    let agent = answering(JSON, "{}");
    let entry = TestEntry::start(EntrySetup {
        agents: vec![(agent.clone(), "desk"), (agent.clone(), "assistant")],
        ..EntrySetup::default()
    })
    .await;
    (entry, agent)
}

/// Target and header fields that an agent received.
fn text_of(request: &RunRequest) -> String {
    let fields = request.headers.iter();
    let fields = fields.map(|field| format!("{}: {}\n", field.name, field.value));
    request.target.clone() + "\n" + &fields.collect::<String>()
}

/// Guards against a key that reaches an upstream, wherever in the request the caller has put it.
#[tokio::test]
async fn no_upstream_sees_the_key() {
    let (entry, agent) = start().await;
    let status = "/services/desk/status?room=7";
    let keyed = format!("{status}&api_key={GROVE_KEY}");
    let bearer = format!("Bearer {GROVE_KEY}");
    let cookie = format!("theme=dark; api-key={GROVE_KEY}; lang=en");
    let referer = format!("https://desk.example/?token={GROVE_KEY}");
    let cases: Vec<(&str, CallerRequest)> = vec![
        ("authorization", get(status).key(GROVE_KEY)),
        ("x-api-key", get(status).header("x-api-key", GROVE_KEY)),
        ("api-key", get(status).header("api-key", GROVE_KEY)),
        ("query", get(&keyed)),
        ("cookie", get(status).header("cookie", &cookie)),
        (
            "two places",
            get(&keyed).key(GROVE_KEY).header("x-api-key", GROVE_KEY),
        ),
        (
            "proxy-authorization",
            get(status)
                .key(GROVE_KEY)
                .header("proxy-authorization", &bearer),
        ),
        (
            "a header field of the caller's choice",
            get(status).key(GROVE_KEY).header("x-trace", &bearer),
        ),
        (
            "referer",
            get(status).key(GROVE_KEY).header("referer", &referer),
        ),
        (
            "key of another organisation",
            get(status).key(GROVE_KEY).header("x-trace", PRESS_KEY),
        ),
    ];
    for (name, request) in cases {
        let before = agent.log().runs.len();
        let reply = entry.send(request).await;
        assert_eq!(reply.status, 200, "{name}: {}", reply.body);
        let (request, _) = &agent.log().runs[before];
        assert_eq!(request.organisation, "grove", "{name}");
        for key in [GROVE_KEY, PRESS_KEY] {
            assert!(!text_of(request).contains(key), "{name}");
        }
        assert!(request.target.contains("room=7"), "{name}");
    }
}

/// Guards against internal header fields of this system that a caller sets, and against hop-by-hop
/// fields, that reach an upstream.
#[tokio::test]
async fn internal_and_hop_by_hop_headers_are_dropped() {
    let (entry, agent) = start().await;
    let request = get("/services/desk/status")
        .key(GROVE_KEY)
        .header("x-oriolecrank-protocol", "9.9")
        .header("x-oriolecrank-organisation", "press")
        .header("connection", "x-private")
        .header("x-private", "1")
        .header("te", "trailers")
        .header("x-kept", "yes");
    let reply = entry.send(request).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    let text = text_of(&agent.log().runs[0].0);
    for dropped in ["x-oriolecrank", "x-private", "connection", "te:", "host"] {
        assert!(!text.contains(dropped), "{dropped} in {text}");
    }
    assert!(text.contains("x-kept: yes"));
}

/// Guards against calls without a key to routes that are not open, against open routes that need a
/// key, and against calls to services that are not listed for the organisation.
#[tokio::test]
async fn only_open_routes_run_without_a_key_and_only_listed_services_with_one() {
    let (entry, agent) = start().await;
    let cases: Vec<(&str, CallerRequest, u16, &str)> = vec![
        ("open route", get("/services/desk/public"), 200, ""),
        (
            "below an open route",
            get("/services/desk/public/a"),
            200,
            "",
        ),
        (
            "other method of an open route",
            CallerRequest::new(Method::POST, "/services/desk/public"),
            401,
            "key_invalid",
        ),
        (
            "a path that only begins like an open route",
            get("/services/desk/publicity"),
            401,
            "key_invalid",
        ),
        (
            "a path that leaves an open route",
            get("/services/desk/public/../status"),
            400,
            "bad_target",
        ),
        (
            "a path that leaves an open route, percent-encoded",
            get("/services/desk/public/%2e%2e/status"),
            400,
            "bad_target",
        ),
        ("no key", get("/services/desk/status"), 401, "key_invalid"),
        (
            "unknown key",
            get("/services/desk/status").key("nobody"),
            401,
            "key_invalid",
        ),
        (
            "a service that is not listed for the organisation",
            get("/services/desk/status").key(PRESS_KEY),
            404,
            "not_found",
        ),
        (
            "a model that is not listed for the organisation",
            completion_of("draft-1", PRESS_KEY, false),
            404,
            "not_found",
        ),
        (
            "no such route",
            get("/services/desk/rooms").key(GROVE_KEY),
            404,
            "not_found",
        ),
        (
            "no such service",
            get("/services/shop/status").key(GROVE_KEY),
            404,
            "not_found",
        ),
        (
            "two different keys",
            get("/services/desk/status")
                .key(GROVE_KEY)
                .header("x-api-key", PRESS_KEY),
            400,
            "conflicting_keys",
        ),
    ];
    let mut expected_runs = 0;
    for (name, request, status, code) in cases {
        let reply = entry.send(request).await;
        assert_eq!(reply.status.as_u16(), status, "{name}: {}", reply.body);
        if status == 200 {
            expected_runs += 1;
        } else {
            assert_eq!(reply.error("code"), code, "{name}");
            assert_eq!(reply.error("verdict"), "not_run", "{name}");
        }
        assert_eq!(agent.log().runs.len(), expected_runs, "{name}");
    }
    assert_eq!(agent.log().runs[0].0.organisation, "-");
}

/// Guards against a list of models that the organisation of the key may not call.
#[tokio::test]
async fn models_are_those_of_the_listed_services() {
    let (entry, _) = start().await;
    let grove = entry.send(get("/v1/models").key(GROVE_KEY)).await.body;
    assert!(grove.contains("olive-7b") && grove.contains("draft-1"));
    let press = entry.send(get("/v1/models").key(PRESS_KEY)).await.body;
    assert!(press.contains("olive-7b") && !press.contains("draft-1"));
    assert_eq!(entry.send(get("/v1/models")).await.status, 401);
}

/// Guards against requests that are too large or malformed and still reach an upstream.
#[tokio::test]
async fn oversized_and_malformed_requests_are_refused() {
    let (entry, agent) = start().await;
    let cases: Vec<(&str, CallerRequest, u16)> = vec![
        (
            "body above the limit",
            completion(GROVE_KEY, false).body(vec![b'x'; 64 * 1024 + 1]),
            413,
        ),
        (
            "one field too long",
            get("/v1/models")
                .key(GROVE_KEY)
                .header("x-long", &"x".repeat(17 * 1024)),
            431,
        ),
        (
            "fields too long in total",
            (0..3).fold(get("/v1/models").key(GROVE_KEY), |request, number| {
                request.header(&format!("x-long-{number}"), &"x".repeat(12 * 1024))
            }),
            431,
        ),
        (
            "body that is no completion",
            completion(GROVE_KEY, false).body("{\"model\":7}"),
            400,
        ),
        (
            "unknown priority",
            completion(GROVE_KEY, false).body("{\"model\":\"olive-7b\",\"priority\":\"now\"}"),
            400,
        ),
        (
            "idempotency key too long",
            booking(Some(&"k".repeat(300))),
            400,
        ),
        (
            "TRACE method, which would echo the request",
            CallerRequest::new(Method::TRACE, "/v1/models"),
            405,
        ),
        (
            "wrong method for completions",
            get("/v1/chat/completions").key(GROVE_KEY),
            405,
        ),
    ];
    for (name, request, status) in cases {
        let reply = entry.send(request).await;
        assert_eq!(reply.status.as_u16(), status, "{name}: {}", reply.body);
    }
    assert!(agent.log().runs.is_empty());
}

/// Sends raw bytes and returns what the first read yields or, if `to_end`, everything up to the end
/// of the connection.
async fn send_raw(entry: &TestEntry, request: &str, to_end: bool) -> String {
    let mut stream = TcpStream::connect(entry.address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4_096];
    let mut length = 0;
    loop {
        let read = timeout(TEST_TIMEOUT, stream.read(&mut answer[length..])).await;
        let read = read.expect("the connection answers").unwrap_or(0);
        length += read;
        if read == 0 || !to_end {
            return String::from_utf8_lossy(&answer[..length]).into_owned();
        }
    }
}

/// Guards against bodies that are accepted although all bodies together leave no room for them, and
/// against refusals that promise less than the others.
#[tokio::test]
async fn a_body_without_room_is_refused_before_it_is_read() {
    let agent = answering(JSON, "{}");
    let entry = TestEntry::start(EntrySetup {
        agents: vec![(agent.clone(), "desk")],
        max_body_bytes: 64 * 1024 * 1024,
        ..EntrySetup::default()
    })
    .await;
    let head = format!(
        "PUT /services/desk/notes HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {GROVE_KEY}\r\n"
    );
    // The announced length is reserved, although nothing of the body is sent.
    let mut holder = TcpStream::connect(entry.address).await.unwrap();
    let announced = format!("{head}content-length: 31457280\r\n\r\n");
    holder.write_all(announced.as_bytes()).await.unwrap();
    let reserved = "oriolecrank_entry_client_bytes 31457280";
    while !entry
        .get_from_operator("/metrics")
        .await
        .body
        .contains(reserved)
    {
        tokio::task::yield_now().await;
    }
    let answer = send_raw(
        &entry,
        &format!("{head}content-length: 20971520\r\n\r\n"),
        true,
    )
    .await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    for part in ["retry-after: 1", "connection: close", "no_room", "not_run"] {
        assert!(answer.contains(part), "{part}: {answer}");
    }
    let reply = entry.send(get("/services/desk/public")).await;
    assert_eq!(reply.status, 200, "small requests need no room");
    drop(holder);
}

/// Guards against request smuggling by heads that two parsers may interpret differently.
#[tokio::test]
async fn ambiguous_framing_is_refused() {
    let (entry, agent) = start().await;
    let line = "PUT /services/desk/notes HTTP/1.1\r\nhost: a\r\n";
    let key = format!("authorization: Bearer {GROVE_KEY}\r\n");
    let cases = [
        "content-length: 5\r\ncontent-length: 6\r\n\r\nhello!",
        "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "content_length: 5\r\n\r\n",
    ];
    for case in cases {
        let answer = send_raw(&entry, &format!("{line}{key}{case}"), false).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{case:?}: {answer}");
    }
    assert!(agent.log().runs.is_empty());
}

/// Guards against request smuggling by a content-length in addition to chunked framing. The HTTP
/// library removes the length and closes the connection after the answer, so that the following
/// bytes are never read as a request.
#[tokio::test]
async fn a_request_with_two_framings_is_the_last_on_its_connection() {
    let (entry, agent) = start().await;
    let smuggled = "GET /services/desk/public HTTP/1.1\r\nhost: a\r\n\r\n";
    let head = "PUT /services/desk/notes HTTP/1.1\r\nhost: a\r\n";
    let framing = "content-length: 4\r\ntransfer-encoding: chunked\r\n";
    let request = format!(
        "{head}authorization: Bearer {GROVE_KEY}\r\n{framing}\r\n2\r\nok\r\n0\r\n\r\n{smuggled}"
    );
    let answer = send_raw(&entry, &request, true).await;
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    let runs = agent.log().runs;
    assert!(runs.len() <= 1);
    for (request, body) in runs {
        assert_eq!((&*request.target, &body[..]), ("/notes", &b"ok"[..]));
    }
}

/// Guards against callers that cannot find their requests in the logs by the id they sent, and
/// against two requests that run under one id because their callers sent the same.
#[tokio::test]
async fn request_ids_are_echoed_and_unique() {
    let (entry, agent) = start().await;
    for _ in 0..2 {
        let request = get("/services/desk/public").header("x-request-id", "tour-17");
        let reply = entry.send(request).await;
        assert_eq!(reply.headers["x-request-id"], "tour-17");
    }
    let runs = agent.log().runs;
    let (one, two) = (&runs[0].0.request_id, &runs[1].0.request_id);
    assert!(one.starts_with("tour-17.") && one != two);
    let reply = entry.send(get("/services/desk/public")).await;
    assert_eq!(reply.headers["x-request-id"].len(), 32);
    let unusable = get("/services/desk/public").header("x-request-id", "a\"b");
    assert_eq!(entry.send(unusable).await.headers["x-request-id"].len(), 32);
}

/// Guards against hop-by-hop and internal header fields of an upstream that reach the caller.
#[tokio::test]
async fn internal_and_hop_by_hop_headers_of_answers_are_dropped() {
    let agent = FakeAgent::new(|_| {
        let mut steps = whole_answer(201, JSON, "{}");
        let AgentStep::Frame(event, payload) = &mut steps[1] else {
            panic!("the second step is the head");
        };
        let oriolecrank_schema::data_path::RunEvent::Head { headers, .. } = event else {
            panic!("the second step is the head");
        };
        assert!(payload.is_empty());
        for name in [
            "connection",
            "content-length",
            "x-oriolecrank-secret",
            "x-kept",
        ] {
            headers.push(oriolecrank_schema::data_path::HeaderField {
                name: name.to_owned(),
                value: "9".to_owned(),
            });
        }
        steps
    });
    let entry = TestEntry::start(EntrySetup {
        agents: vec![(agent, "desk")],
        ..EntrySetup::default()
    })
    .await;
    let reply = entry.send(get("/services/desk/public")).await;
    assert_eq!((reply.status.as_u16(), &*reply.body), (201, "{}"));
    assert_eq!(reply.headers["x-kept"], "9");
    assert_eq!(reply.headers["content-length"], "2");
    assert!(!reply.headers.contains_key("x-oriolecrank-secret"));
}
