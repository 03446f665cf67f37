//! Requests to the agent that are rejected before they are processed.

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{Request, StatusCode};
use http_body_util::Full;
use oriolecrank_fakes::FakeEngine;

use crate::support::{SECRET, TEST_TIMEOUT, TestAgent};

/// Guards against requests that are processed although the cluster secret is missing or wrong, the
/// protocol version is incompatible or the message is malformed.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_rejected_without_effect() {
    let engine = FakeEngine::default();
    let agent = TestAgent::start(engine.clone()).await;
    let secret = format!("Bearer {SECRET}");
    let cases = [
        ("no secret", "", "1.0", "/v1/run", StatusCode::UNAUTHORIZED),
        (
            "wrong secret",
            "Bearer wrong",
            "1.0",
            "/v1/run",
            StatusCode::UNAUTHORIZED,
        ),
        (
            "newer major version",
            &secret,
            "2.0",
            "/v1/run",
            StatusCode::UPGRADE_REQUIRED,
        ),
        (
            "malformed version",
            &secret,
            "x",
            "/v1/run",
            StatusCode::UPGRADE_REQUIRED,
        ),
        (
            "malformed body",
            &secret,
            "1.0",
            "/v1/run",
            StatusCode::BAD_REQUEST,
        ),
        (
            "malformed order",
            &secret,
            "1.0",
            "/v1/order",
            StatusCode::BAD_REQUEST,
        ),
        (
            "unknown path",
            &secret,
            "1.0",
            "/v1/other",
            StatusCode::NOT_FOUND,
        ),
    ];
    for (name, authorization, version, path, expected) in cases {
        let request = Request::post(path)
            .header("host", "agent")
            .header(AUTHORIZATION, authorization)
            .header("x-oriolecrank-protocol", version)
            .body(Full::new(Bytes::from_static(b"\x00\x00")))
            .unwrap();
        let response = agent
            .client
            .send(agent.address, request, TEST_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(response.status(), expected, "{name}");
        let body = response.collect(1024, TEST_TIMEOUT).await.unwrap();
        assert!(
            expected != StatusCode::UNAUTHORIZED || body.is_empty(),
            "{name}"
        );
    }
    assert_eq!(engine.calls(), 0);
}
