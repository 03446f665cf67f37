//! Connections between processes: run verdicts of failed requests, detection of idle streams,
//! authentication and shutdown.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use oriolecrank_net::frame::{DataFrame, decode_frame, encode_frame};
use oriolecrank_net::shutdown::shutdown_channel;
use oriolecrank_net::{
    AnswerBody, BodyAborted, ClientSettings, ClusterSecret, FrameError, FrameReader, HttpClient,
    HttpHandler, SendError, serve, text_answer,
};
use oriolecrank_schema::control::SubscriptionFrame;
use oriolecrank_schema::data_path::RunVerdict;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Time limit of waits for an event; reached only when a test fails.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of requests that are expected to time out.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// A server whose behaviour depends on the path.
#[derive(Debug, Default)]
struct TestServer {
    calls: AtomicU32,
    /// Completes one request to `/wait`.
    release: Notify,
}

impl HttpHandler for TestServer {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        match request.uri().path() {
            "/wait" => {
                self.release.notified().await;
                text_answer(StatusCode::OK, "done".to_owned())
            }
            "/silent" => {
                let (sender, body) = AnswerBody::stream();
                tokio::spawn(async move { sender.closed().await });
                Response::new(body)
            }
            "/aborted" => {
                let (sender, body) = AnswerBody::stream();
                let frame = encode_frame(&SubscriptionFrame::Heartbeat, b"payload");
                sender.send(Ok(frame.slice(..5))).await.unwrap();
                sender.send(Err(BodyAborted)).await.unwrap();
                Response::new(body)
            }
            _ => text_answer(StatusCode::OK, "hello".to_owned()),
        }
    }
}

async fn start() -> (
    Arc<TestServer>,
    SocketAddr,
    oriolecrank_net::shutdown::ShutdownTrigger,
    tokio::task::JoinHandle<()>,
) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Arc::new(TestServer::default());
    let (trigger, signal) = shutdown_channel();
    let task = tokio::spawn(serve(listener, Arc::clone(&server), signal));
    (server, address, trigger, task)
}

fn get(path: &str) -> Request<Full<Bytes>> {
    Request::get(path)
        .header("host", "test")
        .body(Full::default())
        .unwrap()
}

/// Guards against a false `NotRun` verdict, which only a request that was never sent may have.
#[tokio::test]
async fn send_errors_tell_whether_the_request_may_have_run() {
    let client = HttpClient::default();
    let closed_listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let closed_address = closed_listener.local_addr().unwrap();
    drop(closed_listener);
    let error = client
        .send(closed_address, get("/"), EVENT_TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(error.verdict(), RunVerdict::NotRun, "{error}");

    let (server, address, _trigger, _task) = start().await;
    let error = client
        .send(address, get("/wait"), SHORT_TIMEOUT)
        .await
        .unwrap_err();
    assert!(matches!(error, SendError::AnswerTimeout { .. }), "{error}");
    assert_eq!(error.verdict(), RunVerdict::MayHaveRun);
    assert_eq!(server.calls.load(Ordering::SeqCst), 1);

    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 16];
        // Reads part of the request and closes the connection without an answer.
        let _ = stream.read(&mut buffer).await;
        stream.shutdown().await.unwrap();
    });
    let error = client
        .send(address, get("/"), EVENT_TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(error.verdict(), RunVerdict::MayHaveRun, "{error}");
}

/// Guards against an entry that waits forever for data on a stalled connection.
#[tokio::test]
async fn a_silent_stream_is_detected() {
    let (_server, address, _trigger, _task) = start().await;
    let response = HttpClient::default()
        .send(address, get("/silent"), EVENT_TIMEOUT)
        .await
        .unwrap();
    let mut reader = FrameReader::new(response);
    let error = reader
        .next::<SubscriptionFrame>(SHORT_TIMEOUT)
        .await
        .unwrap_err();
    assert!(matches!(error, FrameError::Silent { .. }), "{error}");
}

/// Guards against a truncated stream that looks complete, and against the loss of bytes sent just
/// before the abort, such as an error event.
#[tokio::test]
async fn an_aborted_body_is_an_error_after_its_last_bytes() {
    let (_server, address, _trigger, _task) = start().await;
    let mut response = HttpClient::default()
        .send(address, get("/aborted"), EVENT_TIMEOUT)
        .await
        .unwrap();
    let first = response.body_mut().frame().await.unwrap().unwrap();
    assert_eq!(first.into_data().unwrap().len(), 5);
    let error = FrameReader::new(response)
        .next::<SubscriptionFrame>(EVENT_TIMEOUT)
        .await
        .unwrap_err();
    assert!(matches!(error, FrameError::Broken { .. }), "{error}");
}

/// Guards against a request on a pooled connection whose state a NAT or firewall has dropped: after
/// the idle limit a new connection is opened.
#[tokio::test]
async fn idle_connections_are_not_reused_after_the_limit() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&accepted);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            counter.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                let mut buffer = [0; 1024];
                while stream
                    .read(&mut buffer)
                    .await
                    .is_ok_and(|length| length > 0)
                {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    stream.write_all(answer).await.unwrap();
                }
            });
        }
    });
    for (idle_limit, expected) in [(EVENT_TIMEOUT, 1), (Duration::ZERO, 2)] {
        accepted.store(0, Ordering::SeqCst);
        let client = HttpClient::new(ClientSettings {
            idle_limit,
            ..ClientSettings::default()
        });
        for _ in 0..2 {
            let response = client.send(address, get("/"), EVENT_TIMEOUT).await.unwrap();
            response.collect(16, EVENT_TIMEOUT).await.unwrap();
            // Lets the task that returns the connection to the pool run.
            for _ in 0..10 {
                tokio::task::yield_now().await;
            }
        }
        assert_eq!(accepted.load(Ordering::SeqCst), expected, "{idle_limit:?}");
    }
}

/// Guards against a graceful shutdown that interrupts a request in progress.
#[tokio::test]
async fn shutdown_answers_running_requests() {
    let (server, address, trigger, task) = start().await;
    let client = HttpClient::default();
    let running =
        tokio::spawn(async move { client.send(address, get("/wait"), EVENT_TIMEOUT).await });
    while server.calls.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    trigger.trigger();
    server.release.notify_one();
    let response = running.await.unwrap().unwrap();
    assert_eq!(response.collect(16, EVENT_TIMEOUT).await.unwrap(), "done");
    tokio::time::timeout(EVENT_TIMEOUT, task)
        .await
        .unwrap()
        .unwrap();
}

/// Guards against accepting requests that do not come from a process of the cluster.
#[test]
fn only_the_exact_secret_is_admitted() {
    let secret = ClusterSecret::new("0123456789abcdef").unwrap();
    let cases = [
        (Some("Bearer 0123456789abcdef"), true),
        (Some("Bearer 0123456789abcdeg"), false),
        (Some("Bearer 0123456789abcde"), false),
        (Some("Bearer 0123456789abcdef0"), false),
        (Some("bearer 0123456789abcdef"), false),
        (Some("0123456789abcdef"), false),
        (Some(""), false),
        (None, false),
    ];
    for (value, admitted) in cases {
        let mut headers = HeaderMap::new();
        if let Some(value) = value {
            headers.insert("authorization", HeaderValue::from_static(value));
        }
        assert_eq!(secret.admits(&headers), admitted, "{value:?}");
    }
    assert!(ClusterSecret::new("short").is_err());
    assert!(ClusterSecret::new("0123456789abcdef with space").is_err());
    assert_eq!(format!("{secret:?}"), "ClusterSecret");
}

proptest! {
    /// Guards against frames that are lost or corrupted when they arrive in arbitrary pieces.
    #[test]
    fn frames_survive_any_split(
        payloads in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..50), 1..8),
        piece in 1_usize..40,
    ) {
        let mut bytes = Vec::new();
        for payload in &payloads {
            bytes.extend_from_slice(&encode_frame(&SubscriptionFrame::Heartbeat, payload));
        }
        let mut buffer = BytesMut::new();
        let mut received = Vec::new();
        for part in bytes.chunks(piece) {
            buffer.extend_from_slice(part);
            while let Some(frame) = decode_frame::<SubscriptionFrame>(&mut buffer).unwrap() {
                let DataFrame { header, payload } = frame;
                prop_assert_eq!(header, SubscriptionFrame::Heartbeat);
                received.push(payload.to_vec());
            }
        }
        prop_assert_eq!(received, payloads);
    }

    /// Guards against a panic or a huge allocation on bytes that are not a frame.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_frame::<SubscriptionFrame>(&mut BytesMut::from(&bytes[..]));
    }
}

/// Guards against connections that hang forever because TCP keepalive is off.
#[tokio::test]
async fn connections_use_keepalive() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    oriolecrank_net::set_tcp_options(&stream).unwrap();
    assert!(socket2::SockRef::from(&stream).keepalive().unwrap());
}
