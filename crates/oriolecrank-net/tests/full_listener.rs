//! Guards against clients that shut out others by filling a listener, and against a full listener that
//! breaks off requests which already run.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::intake::{BodyAwaited, BodyLimits, ByteBudget, read_body_within};
use oriolecrank_net::shutdown::{ShutdownTrigger, shutdown_channel};
use oriolecrank_net::{AnswerBody, HttpHandler, ServerSettings, serve_with, text_answer};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::time::timeout;

/// Time limit of waits for an event; reached only when a test fails.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

const UNFINISHED_BODY: &[u8] =
    b"POST /body HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\nhalf";

/// Reads bodies, and answers a request for `/wait` when it is released.
struct SlowServer {
    /// A permit for each request that has begun, and another one once the body of a request for
    /// `/wait` has been read.
    begun: Semaphore,
    release: Notify,
}

impl SlowServer {
    async fn await_permit(&self) {
        let permit = timeout(EVENT_TIMEOUT, self.begun.acquire()).await;
        permit.expect("the request begins").unwrap().forget();
    }
}

impl HttpHandler for SlowServer {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let (parts, body) = request.into_parts();
        let awaited = BodyAwaited::new(&parts.extensions);
        self.begun.add_permits(1);
        let budget = ByteBudget::new(1 << 20);
        let read = read_body_within(body, BodyLimits::of_bytes(1 << 20), &budget).await;
        drop(awaited);
        if parts.uri.path() == "/wait" {
            self.begun.add_permits(1);
            self.release.notified().await;
        }
        let status = read.map_or(StatusCode::BAD_REQUEST, |_| StatusCode::OK);
        text_answer(status, "done".to_owned())
    }
}

/// Starts a server that admits two connections.
async fn start() -> (SocketAddr, Arc<SlowServer>, ShutdownTrigger) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Arc::new(SlowServer {
        begun: Semaphore::new(0),
        release: Notify::new(),
    });
    let settings = ServerSettings {
        max_connections: 2,
        ..ServerSettings::default()
    };
    let (trigger, signal) = shutdown_channel();
    tokio::spawn(serve_with(settings, listener, Arc::clone(&server), signal));
    (address, server, trigger)
}

/// Opens a connection, sends bytes and waits until the request has begun.
async fn begin(address: SocketAddr, server: &SlowServer, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    server.await_permit().await;
    stream
}

/// Beginning of the answer; empty if the connection is closed without one.
async fn first_line(stream: &mut TcpStream) -> String {
    let mut bytes = [0; 15];
    let read = timeout(EVENT_TIMEOUT, stream.read(&mut bytes)).await;
    let length = read.expect("the connection answers or closes").unwrap_or(0);
    String::from_utf8_lossy(&bytes[..length]).into_owned()
}

/// Guards against a default that closes connections of a control instance's subscribers, of which there
/// are 2,010 at the size that the system is designed for.
#[test]
fn a_default_listener_admits_all_subscribers() {
    assert!(ServerSettings::default().max_connections >= 2_600);
}

/// Guards against crowds of unfinished bodies that shut out ordinary clients.
#[tokio::test]
async fn an_unfinished_body_makes_room_for_another_client() {
    let (address, server, _trigger) = start().await;
    let mut oldest = begin(address, &server, UNFINISHED_BODY).await;
    let _other = begin(address, &server, UNFINISHED_BODY).await;
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let mut ordinary = begin(address, &server, request).await;
    assert_eq!(first_line(&mut ordinary).await, "HTTP/1.1 200 OK");
    assert_eq!(first_line(&mut oldest).await, "", "it has made room");
}

/// Guards against a full listener that breaks off a request which runs, or an idle connection that its
/// client was promised.
#[tokio::test]
async fn requests_that_run_are_not_broken_off() {
    let (address, server, _trigger) = start().await;
    let request = b"POST /wait HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";
    let mut running = begin(address, &server, request).await;
    server.await_permit().await;
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let mut idle = begin(address, &server, request).await;
    assert_eq!(first_line(&mut idle).await, "HTTP/1.1 200 OK");
    let mut refused = TcpStream::connect(address).await.unwrap();
    assert_eq!(first_line(&mut refused).await, "");
    server.release.notify_one();
    assert_eq!(first_line(&mut running).await, "HTTP/1.1 200 OK");
}

/// Guards against heads of many requests on one connection that count as one large head.
#[tokio::test]
async fn many_small_heads_on_one_connection_use_no_budget() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Arc::new(SlowServer {
        begun: Semaphore::new(0),
        release: Notify::new(),
    });
    let budget = ByteBudget::new(1 << 20);
    let settings = ServerSettings {
        budget: budget.clone(),
        ..ServerSettings::default()
    };
    let (_trigger, signal) = shutdown_channel();
    tokio::spawn(serve_with(settings, listener, server, signal));
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "y".repeat(300)
    );
    let mut answer = [0; 4_096];
    for _ in 0..200 {
        stream.write_all(request.as_bytes()).await.unwrap();
        let read = timeout(EVENT_TIMEOUT, stream.read(&mut answer)).await;
        assert!(read.unwrap().unwrap() > 0, "the connection stays open");
    }
    assert_eq!(budget.used(), 0);
}
