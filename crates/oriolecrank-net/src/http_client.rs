//! HTTP/1.1 client with pooled connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use oriolecrank_schema::data_path::RunVerdict;
use snafu::{ResultExt, Snafu};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::intake::BoundedStream;
use crate::request_body::RequestBody;
use crate::socket_options::set_tcp_options;

/// Time and pool limits of an [`HttpClient`].
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// Maximum time to open a connection, including the HTTP handshake.
    pub connect_timeout: Duration,
    /// Maximum idle time after which a pooled connection is not reused. A NAT or firewall on the
    /// path may have dropped its state for the connection, and a request on it would then hang.
    pub idle_limit: Duration,
    /// Maximum number of idle connections for each address. Opening a connection costs about as
    /// much as a whole call, and a burst uses more connections at a time than the average load.
    pub idle_per_address: usize,
    /// `TCP_USER_TIMEOUT`: the kernel closes a connection when sent data stays unacknowledged for
    /// this long. `None` leaves the system default of several minutes.
    pub tcp_user_timeout: Option<Duration>,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_limit: Duration::from_secs(5),
            idle_per_address: 128,
            tcp_user_timeout: None,
        }
    }
}

/// A request that failed without a complete response.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No connection could be opened.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Target address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The connection was not opened within the connect time-out, or the HTTP handshake failed.
    #[snafu(display(
        "cannot connect to {address}: the time limit passed or the HTTP handshake failed"
    ))]
    ConnectTimeout {
        /// Target address.
        address: SocketAddr,
    },
    /// The connection closed before the request was written to it.
    #[snafu(display("the connection to {address} closed before the request was sent"))]
    Unsent {
        /// Target address.
        address: SocketAddr,
    },
    /// The connection broke after the request may have been written.
    #[snafu(display("the connection to {address} broke: {source}"))]
    Broken {
        /// Target address.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// The status is none that HTTP has, or announces another protocol; nothing else in the response
    /// can be trusted.
    #[snafu(display("the answer of {address} has the invalid status {status}"))]
    InvalidStatus {
        /// Target address.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// The response headers, or the rest of the body, did not arrive within the time limit.
    #[snafu(display("the answer of {address} did not arrive within {} ms", time_limit.as_millis()))]
    AnswerTimeout {
        /// Target address.
        address: SocketAddr,
        /// The time limit that was exceeded.
        time_limit: Duration,
    },
    /// The response body exceeds the size limit, or the connection broke before its end.
    #[snafu(display("the answer of {address} is too large or incomplete"))]
    BadBody {
        /// Target address.
        address: SocketAddr,
    },
}

/// Statuses of final answers. The HTTP library also accepts 101, which no request asks for, and 600
/// to 999.
const VALID_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

impl SendError {
    /// Whether the other machine refused the connection, because no process listens there.
    pub fn is_refused_connection(&self) -> bool {
        let refused = std::io::ErrorKind::ConnectionRefused;
        matches!(self, Self::Connect { source, .. } if source.kind() == refused)
    }

    /// Whether the server may have run the request: `NotRun` only if it was certainly never sent.
    pub const fn verdict(&self) -> RunVerdict {
        match self {
            Self::Connect { .. } | Self::ConnectTimeout { .. } | Self::Unsent { .. } => {
                RunVerdict::NotRun
            }
            Self::Broken { .. }
            | Self::InvalidStatus { .. }
            | Self::AnswerTimeout { .. }
            | Self::BadBody { .. } => RunVerdict::MayHaveRun,
        }
    }
}

type Connection = SendRequest<RequestBody>;

/// A pooled connection.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    /// Time from which the connection must not be reused.
    expires_at: Instant,
}

/// Idle connections by address.
///
/// Locking: no other lock is taken while the pool is locked, and the lock is never held across an
/// await.
type ConnectionPool = Mutex<IndexMap<SocketAddr, Vec<IdleConnection>>>;

/// HTTP client. Clones share one connection pool.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    settings: ClientSettings,
    pool: Arc<ConnectionPool>,
}

impl HttpClient {
    /// Creates a client with an empty connection pool.
    pub fn new(settings: ClientSettings) -> Self {
        Self {
            settings,
            pool: Arc::default(),
        }
    }

    /// Sends a request and waits at most `time_limit` for the response headers. The time to open a
    /// connection is limited separately by [`ClientSettings::connect_timeout`].
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] whose verdict says whether the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<ClientResponse, SendError> {
        let request = request.map(RequestBody::Whole);
        self.send_body(address, request, time_limit).await
    }

    /// Like [`send`](Self::send), with a body that may have several pieces.
    pub async fn send_body(
        &self,
        address: SocketAddr,
        request: Request<RequestBody>,
        time_limit: Duration,
    ) -> Result<ClientResponse, SendError> {
        let mut connection = match self.take_idle_connection(address) {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        let Ok(answer) = timeout(time_limit, connection.try_send_request(request)).await else {
            return AnswerTimeoutSnafu {
                address,
                time_limit,
            }
            .fail();
        };
        let response = match answer {
            Ok(response) => response,
            Err(mut error) => {
                if error.take_message().is_some() {
                    return UnsentSnafu { address }.fail();
                }
                return Err(error.into_error()).context(BrokenSnafu { address });
            }
        };
        let status = response.status();
        if !VALID_STATUSES.contains(&status.as_u16()) {
            return InvalidStatusSnafu { address, status }.fail();
        }
        Ok(ClientResponse {
            address,
            response,
            connection,
            client: self.clone(),
        })
    }

    fn take_idle_connection(&self, address: SocketAddr) -> Option<Connection> {
        let mut pool = self
            .pool
            .lock()
            .expect("no code panics while it holds the pool lock");
        let idle = pool.get_mut(&address)?;
        let now = Instant::now();
        while let Some(candidate) = idle.pop() {
            if now < candidate.expires_at && candidate.connection.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, SendError> {
        let open = async {
            let stream = TcpStream::connect(address)
                .await
                .context(ConnectSnafu { address })?;
            // The connection works without these options; the time limit of each request still
            // applies.
            let _ = set_tcp_options(&stream);
            if let Some(limit) = self.settings.tcp_user_timeout {
                let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(limit));
            }
            let opened = handshake(TokioIo::new(BoundedStream::to_server(stream))).await;
            opened.map_err(|_| ConnectTimeoutSnafu { address }.build())
        };
        let Ok(opened) = timeout(self.settings.connect_timeout, open).await else {
            return ConnectTimeoutSnafu { address }.fail();
        };
        let (connection, driver) = opened?;
        tokio::spawn(driver);
        Ok(connection)
    }

    fn return_to_pool(&self, address: SocketAddr, connection: Connection, limit: Duration) {
        let mut pool = self
            .pool
            .lock()
            .expect("no code panics while it holds the pool lock");
        let idle = pool.entry(address).or_default();
        if idle.len() < self.settings.idle_per_address {
            idle.push(IdleConnection {
                connection,
                expires_at: Instant::now() + limit,
            });
        }
    }
}

/// Response of a server. Dropping it closes the connection; [`recycle`](Self::recycle) and
/// [`collect`](Self::collect) return the connection to the pool.
#[derive(Debug)]
pub struct ClientResponse {
    address: SocketAddr,
    response: http::Response<Incoming>,
    connection: Connection,
    client: HttpClient,
}

impl ClientResponse {
    /// Status code.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Header fields.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Body, for reading it piece by piece.
    pub fn body_mut(&mut self) -> &mut Incoming {
        self.response.body_mut()
    }

    /// Reads the whole body, at most `limit` bytes within `time_limit`, and returns the connection
    /// to the pool.
    pub async fn collect(self, limit: usize, time_limit: Duration) -> Result<Bytes, SendError> {
        let idle_limit = self.client.settings.idle_limit;
        self.collect_with_idle_limit(limit, time_limit, idle_limit)
            .await
    }

    /// Like [`collect`](Self::collect), but the pool reuses the connection only for `idle_limit`,
    /// if that is shorter than [`ClientSettings::idle_limit`].
    pub async fn collect_with_idle_limit(
        mut self,
        limit: usize,
        time_limit: Duration,
        idle_limit: Duration,
    ) -> Result<Bytes, SendError> {
        let address = self.address;
        let body = self.response.body_mut();
        let reading = async {
            let mut bytes = BytesMut::new();
            while let Some(frame) = body.frame().await {
                append_frame(&mut bytes, frame, limit, address)?;
            }
            Ok(bytes.freeze())
        };
        let Ok(read) = timeout(time_limit, reading).await else {
            return AnswerTimeoutSnafu {
                address,
                time_limit,
            }
            .fail();
        };
        let bytes = read?;
        self.recycle_with_idle_limit(idle_limit);
        Ok(bytes)
    }

    /// Like [`collect`](Self::collect), but also fails if no byte of the body arrives for
    /// `stall_limit`. For large bodies, whose total time depends on the link.
    pub async fn collect_while_progressing(
        mut self,
        limit: usize,
        stall_limit: Duration,
        time_limit: Duration,
    ) -> Result<Bytes, SendError> {
        let address = self.address;
        let time_out = |time_limit| AnswerTimeoutSnafu {
            address,
            time_limit,
        };
        let body = self.response.body_mut();
        let reading = async {
            let mut bytes = BytesMut::new();
            loop {
                let Ok(frame) = timeout(stall_limit, body.frame()).await else {
                    return time_out(stall_limit).fail();
                };
                let Some(frame) = frame else {
                    return Ok(bytes.freeze());
                };
                append_frame(&mut bytes, frame, limit, address)?;
            }
        };
        let Ok(read) = timeout(time_limit, reading).await else {
            return time_out(time_limit).fail();
        };
        let bytes = read?;
        self.recycle();
        Ok(bytes)
    }

    /// Returns the connection to the pool. Must be called only after the whole body was read.
    pub fn recycle(self) {
        let limit = self.client.settings.idle_limit;
        self.recycle_with_idle_limit(limit);
    }

    /// Like [`recycle`](Self::recycle), but the pool reuses the connection only for `limit`, if
    /// that is shorter than [`ClientSettings::idle_limit`]. For a server that announces how long it
    /// keeps idle connections open.
    pub fn recycle_with_idle_limit(self, limit: Duration) {
        let Self {
            address,
            mut connection,
            client,
            ..
        } = self;
        let limit = limit.min(client.settings.idle_limit);
        // The connection becomes ready a moment after the last byte of the body was read.
        tokio::spawn(async move {
            if connection.ready().await.is_ok() {
                client.return_to_pool(address, connection, limit);
            }
        });
    }
}

/// Appends a frame to a body of at most `limit` bytes. The frame is copied, because it keeps the
/// whole read buffer of the connection in memory.
fn append_frame(
    bytes: &mut BytesMut,
    frame: hyper::Result<Frame<Bytes>>,
    limit: usize,
    address: SocketAddr,
) -> Result<(), SendError> {
    let Ok(frame) = frame else {
        return BadBodySnafu { address }.fail();
    };
    let data = frame.into_data().unwrap_or_default();
    if bytes.len() + data.len() > limit {
        return BadBodySnafu { address }.fail();
    }
    bytes.extend_from_slice(&data);
    Ok(())
}
