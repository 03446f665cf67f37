//! Answers that a client must not take for complete or valid: cut off by a reset while the request
//! is still being written, or with a status that HTTP does not have.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use oriolecrank_net::HttpClient;
use oriolecrank_schema::data_path::RunVerdict;
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Far more than the socket buffers hold, so that the upload is never finished.
const UPLOAD_BYTES: usize = 32 * 1024 * 1024;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Times between the steps of a server that resets its connection, in milliseconds. The order in
/// which the client sees the reset, by reading or by writing, depends on them.
const STEP_TIMES_MS: [u64; 4] = [0, 1, 5, 30];

/// Sends an early answer without a length, then a part of its body, and resets the connection.
async fn reset_early(mut connection: TcpStream, step: Duration, drained: usize) {
    let mut upload = vec![0; drained];
    connection.read_exact(&mut upload).await.unwrap();
    let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
    connection.write_all(head.as_bytes()).await.unwrap();
    sleep(step).await;
    let _ = connection.write_all(b"the first part").await;
    sleep(step).await;
    SockRef::from(&connection)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn upload(bytes: usize) -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from(vec![b'u'; bytes]));
    Request::post("/").header("host", "h").body(body).unwrap()
}

/// Guards against the part of an answer that is taken for the whole because the client learns of the
/// reset while it writes the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_early_answer_that_is_reset_during_the_upload_is_not_complete() {
    let mut heads = 0;
    for step_ms in STEP_TIMES_MS {
        for drained in [1, 4_096, 1_000_000] {
            for _ in 0..10 {
                let (listener, address) = listen().await;
                let server = tokio::spawn(async move {
                    let (connection, _) = listener.accept().await.unwrap();
                    reset_early(connection, Duration::from_millis(step_ms), drained).await;
                });
                let client = HttpClient::default();
                let sent = client.send(address, upload(UPLOAD_BYTES), TIMEOUT).await;
                if let Ok(mut answer) = sent {
                    heads += 1;
                    // Lets the reset arrive before the body is read.
                    sleep(Duration::from_millis(step_ms)).await;
                    let body = answer.body_mut().collect().await;
                    assert!(
                        body.is_err(),
                        "step {step_ms} ms, {drained} bytes read: {} bytes taken for the whole",
                        body.unwrap().to_bytes().len()
                    );
                }
                server.await.unwrap();
            }
        }
    }
    assert!(heads > 0, "no head arrived before its reset");
}

/// A server that answers one request with a status line.
fn answer_once(listener: TcpListener, status: &'static str) -> JoinHandle<()> {
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        let mut head = vec![0; 4_096];
        let _ = connection.read(&mut head).await.unwrap();
        let answer = format!("HTTP/1.1 {status} S\r\ncontent-length: 2\r\n\r\nno");
        connection.write_all(answer.as_bytes()).await.unwrap();
        let _ = connection.read(&mut head).await;
    })
}

/// Guards against an answer of a server in trouble whose status no caller understands.
#[tokio::test]
async fn an_answer_with_an_invalid_status_is_an_error() {
    let invalid = [
        "000", "001", "099", "101", "600", "700", "999", "1000", "20", "abc", "2x0", "-20",
    ];
    for status in invalid {
        let (listener, address) = listen().await;
        let server = answer_once(listener, status);
        let sent = HttpClient::default()
            .send(address, upload(3), TIMEOUT)
            .await;
        let error = sent.map(|answer| answer.status()).unwrap_err();
        assert_eq!(error.verdict(), RunVerdict::MayHaveRun, "{status}: {error}");
        server.abort();
    }
    for status in ["200", "299", "404", "500", "599"] {
        let (listener, address) = listen().await;
        let server = answer_once(listener, status);
        let answer = HttpClient::default()
            .send(address, upload(3), TIMEOUT)
            .await;
        assert_eq!(answer.unwrap().status().as_str(), status);
        server.abort();
    }
}
