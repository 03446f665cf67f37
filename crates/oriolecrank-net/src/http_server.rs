//! HTTP/1.1 server.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use oriolecrank_schema::codec;
use oriolecrank_schema::event::LogEvent;
use oriolecrank_schema::protocol::{PROTOCOL_HEADER, ProtocolVersion};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::answer_body::AnswerBody;
use crate::cluster_secret::ClusterSecret;
use crate::intake::{
    BodyLimits, BoundedStream, ByteBudget, ConnectionState, ConnectionTable, IntakeSettings,
    RequestConnection, read_body_within,
};
use crate::shutdown::ShutdownSignal;
use crate::socket_options::set_tcp_options;

/// Limits of a listener.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Maximum time to receive the headers of a request. Also limits how long a connection may be
    /// idle between two requests.
    pub head_timeout: Duration,
    /// Size limit of the connection's read buffer, in bytes. Limits the size of request headers.
    pub head_bytes: usize,
    /// Maximum number of open connections. A further one takes the place of one whose request is
    /// incomplete, or is closed.
    pub max_connections: usize,
    /// Counts the buffers of large heads.
    pub budget: ByteBudget,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(10),
            head_bytes: 64 * 1024,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            budget: IntakeSettings::default().client_budget(),
        }
    }
}

/// Connections of a listener without settings of its own: two thirds of 3,900 descriptors for sockets.
/// A control instance has about 2,010 subscribers at the size that the system is designed for.
const DEFAULT_MAX_CONNECTIONS: usize = 2_600;

/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handler for the requests of a listener.
pub trait HttpHandler: Send + Sync + 'static {
    /// Handles one request from the client address `peer`.
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// Accepts connections until shutdown, then waits, without a time limit, until all requests in
/// progress are finished.
pub async fn serve<H: HttpHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    shutdown: ShutdownSignal,
) {
    serve_with(ServerSettings::default(), listener, handler, shutdown).await;
}

/// Like [`serve`], with the given limits instead of the defaults.
pub async fn serve_with<H: HttpHandler>(
    settings: ServerSettings,
    listener: TcpListener,
    handler: Arc<H>,
    mut shutdown: ShutdownSignal,
) {
    let mut connections = JoinSet::new();
    let mut table = ConnectionTable::new(settings.max_connections);
    loop {
        tokio::select! {
            () = shutdown.triggered() => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    let Some((number, state)) = table.admit() else {
                        let event = LogEvent::ConnectionRefused.number();
                        tracing::warn!(event, %peer, "closed a connection: too many are open");
                        continue;
                    };
                    let handler = Arc::clone(&handler);
                    let settings = settings.clone();
                    let serving =
                        serve_connection(settings, stream, peer, handler, state, shutdown.clone());
                    connections.spawn(async move {
                        serving.await;
                        number
                    });
                }
                Err(error) => {
                    let event = LogEvent::ConnectionFailed.number();
                    tracing::warn!(event, %error, "cannot accept a connection; retrying");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(closed) = connections.join_next() => {
                if let Ok(number) = closed {
                    table.remove(number);
                }
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<H: HttpHandler>(
    settings: ServerSettings,
    stream: TcpStream,
    peer: SocketAddr,
    handler: Arc<H>,
    state: Arc<ConnectionState>,
    mut shutdown: ShutdownSignal,
) {
    // The connection works without these options; the time-outs of the peers still apply.
    let _ = set_tcp_options(&stream);
    let (stream, in_head) = BoundedStream::of_client(stream, &settings.budget);
    let served = Arc::clone(&state);
    let service = service_fn(move |mut request: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        let in_head = in_head.clone();
        in_head.set(false);
        served.mark_served();
        let connection = RequestConnection(Arc::clone(&served));
        request.extensions_mut().insert(connection);
        // Allocated for each request, because the connection keeps room for the whole future while it
        // is idle.
        Box::pin(async move {
            let answer = handler.handle(request, peer).await;
            in_head.set(true);
            Ok::<_, Infallible>(answer)
        })
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.head_timeout)
        .max_buf_size(settings.head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut stopping = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    let event = LogEvent::ConnectionFailed.number();
                    tracing::debug!(event, %peer, %error, "connection ended with an error");
                }
                return;
            }
            () = state.closing.notified() => {
                let event = LogEvent::ConnectionRefused.number();
                tracing::warn!(event, %peer, "closed a connection without a complete request: too many are open");
                return;
            }
            () = shutdown.triggered(), if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Checks that requests come from a process of this cluster with a compatible protocol version.
#[derive(Debug, Clone)]
pub struct PeerGuard {
    secret: ClusterSecret,
}

impl PeerGuard {
    /// Creates a guard that admits requests with `secret`.
    pub const fn new(secret: ClusterSecret) -> Self {
        Self { secret }
    }

    /// Checks the headers of a request and returns the response that refuses it, or `None` if it is
    /// admitted. A request without the secret gets 401. One with a malformed protocol version, or a
    /// newer major version than that of this build, gets 426; one without a version is admitted.
    pub fn refusal(&self, headers: &HeaderMap) -> Option<Response<AnswerBody>> {
        if !self.secret.admits(headers) {
            let event = LogEvent::PeerUnauthorised.number();
            tracing::warn!(event, "refused a message without the cluster secret");
            return Some(empty_answer(StatusCode::UNAUTHORIZED));
        }
        let version = headers.get(PROTOCOL_HEADER)?.to_str().unwrap_or_default();
        let error = version.parse().and_then(ProtocolVersion::check).err()?;
        let event = LogEvent::PeerVersionRefused.number();
        tracing::warn!(event, %error, "refused a message with an unsupported protocol version");
        Some(text_answer(StatusCode::UPGRADE_REQUIRED, error.to_string()))
    }
}

/// Reads a request body of at most `limit` bytes; `None` if it is larger or arrives too slowly, or if
/// the connection breaks before its end. Nothing bounds the sum of several bodies, so this is only for
/// stand-ins and tests; otherwise, use [`read_body_within`](crate::intake::read_body_within).
pub async fn read_body(body: Incoming, limit: usize) -> Option<Bytes> {
    // The largest item of a budget leaves a quarter of it.
    let budget = ByteBudget::new(limit.saturating_mul(2));
    read_body_within(body, BodyLimits::of_bytes(limit), &budget)
        .await
        .ok()
}

/// Asks the client to close the connection. For responses that are sent before the whole request was
/// read.
pub fn with_close(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Creates a response without a body.
pub fn empty_answer(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Full(None));
    *response.status_mut() = status;
    response
}

/// Creates a response with a plain-text body.
pub fn text_answer(status: StatusCode, text: String) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    response
}

/// Creates a response with status 200 and a `MessagePack` body.
pub fn message_answer<T: Serialize>(message: &T) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(codec::encode(message)));
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/msgpack"),
    );
    response
}
