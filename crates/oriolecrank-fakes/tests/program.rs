//! Behaviour of the fakes on which other tests rely.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::process::Command;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use oriolecrank_fakes::{
    CRASH_MARKER, EngineOptions, FakeEngine, FakeLedger, FakeServer, expected_text,
};
use oriolecrank_net::HttpClient;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

async fn post(address: std::net::SocketAddr, path: &str, body: String) -> (StatusCode, String) {
    let request = Request::post(path)
        .header("host", "fake")
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let response = HttpClient::default()
        .send(address, request, ANSWER_TIMEOUT)
        .await
        .unwrap();
    let status = response.status();
    let body = response.collect(64 * 1024, ANSWER_TIMEOUT).await.unwrap();
    (status, String::from_utf8(body.to_vec()).unwrap())
}

/// Guards against tests that pass only because the fake answers every prompt with the same text.
#[tokio::test]
async fn answers_depend_on_the_prompt() {
    let engine = FakeEngine::new(EngineOptions::default());
    let server = FakeServer::start(engine.clone()).await.unwrap();
    let body = r#"{"model":"m","prompt":"one","max_tokens":3}"#;
    let (status, text) = post(server.address(), "/v1/completions", body.to_owned()).await;
    assert_eq!(status, StatusCode::OK);
    assert!(text.contains(&expected_text("one", 3)), "{text}");
    assert_ne!(expected_text("one", 3), expected_text("two", 3));
    assert_eq!((engine.calls(), engine.crashes()), (1, 0));
    assert!(!expected_text(CRASH_MARKER, 3).is_empty());
}

/// Guards against tests of repeated calls that pass only because the ledger drops repeated entries.
#[tokio::test]
async fn the_ledger_keeps_each_entry() {
    let ledger = FakeLedger::default();
    let server = FakeServer::start(ledger.clone()).await.unwrap();
    for _ in 0..2 {
        post(server.address(), "/entries", "same".to_owned()).await;
    }
    assert_eq!(ledger.entries().len(), 2);
}

/// Guards against a program that starts despite invalid arguments.
#[test]
fn wrong_arguments_exit_with_2() {
    for arguments in [
        &[][..],
        &["engine"],
        &["engine", "nowhere"],
        &["kettle", "127.0.0.1:0"],
    ] {
        let output = Command::new(env!("CARGO_BIN_EXE_oriolecrank-fakes"))
            .args(arguments)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
    }
}
