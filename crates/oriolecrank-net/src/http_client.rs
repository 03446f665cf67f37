//! HTTP/1.1 client with pooled connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use oriolecrank_schema::data_path::RunVerdict;
use snafu::{ResultExt, Snafu};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::socket_options::set_options;

/// Times and sizes of an [`HttpClient`].
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// A connection that was idle for longer is closed. Something between the two ends may have
    /// lost track of it, and a request on it would then hang.
    pub idle_limit: Duration,
    /// Idle connections kept for each address. A new connection costs about as much as a whole call,
    /// and bursts use more connections at once than the mean.
    pub idle_per_address: usize,
    /// A connection whose peer has acknowledged nothing for this long is closed; `None` leaves the
    /// limit of the system, which is minutes.
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

/// A request that got no answer.
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
    /// Opening the connection or the HTTP handshake took too long or failed.
    #[snafu(display("cannot open a connection to {address} in time"))]
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
    /// No answer head arrived in time.
    #[snafu(display("no answer from {address} within {} ms", bound.as_millis()))]
    AnswerTimeout {
        /// Target address.
        address: SocketAddr,
        /// Longest wait.
        bound: Duration,
    },
    /// The answer body is larger than allowed or broke off.
    #[snafu(display("the answer of {address} is too large or incomplete"))]
    BadBody {
        /// Target address.
        address: SocketAddr,
    },
}

impl SendError {
    /// Whether the request may have reached the other process.
    pub const fn verdict(&self) -> RunVerdict {
        match self {
            Self::Connect { .. } | Self::ConnectTimeout { .. } | Self::Unsent { .. } => {
                RunVerdict::NotRun
            }
            Self::Broken { .. } | Self::AnswerTimeout { .. } | Self::BadBody { .. } => {
                RunVerdict::MayHaveRun
            }
        }
    }
}

type Connection = SendRequest<Full<Bytes>>;

/// A connection that waits for its next request.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    /// Not to be used from this time on.
    until: Instant,
}

/// Idle connections by address.
///
/// Lock order: the pool is locked alone and never across an await.
type ConnectionPool = Mutex<IndexMap<SocketAddr, Vec<IdleConnection>>>;

/// HTTP client; clones share one pool.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    settings: ClientSettings,
    pool: Arc<ConnectionPool>,
}

impl HttpClient {
    /// A client with the given settings.
    pub fn new(settings: ClientSettings) -> Self {
        Self {
            settings,
            pool: Arc::default(),
        }
    }

    /// Sends a request and waits at most `bound` for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] whose verdict says whether the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        bound: Duration,
    ) -> Result<ClientResponse, SendError> {
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        let Ok(answer) = timeout(bound, connection.try_send_request(request)).await else {
            return AnswerTimeoutSnafu { address, bound }.fail();
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
        Ok(ClientResponse {
            address,
            response,
            connection,
            client: self.clone(),
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut pool = self.pool.lock().expect("no holder of the pool lock panics");
        let idle = pool.get_mut(&address)?;
        let now = Instant::now();
        while let Some(candidate) = idle.pop() {
            if now < candidate.until && candidate.connection.is_ready() {
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
            // A connection without these options still works; silence bounds of the callers remain.
            let _ = set_options(&stream);
            if let Some(limit) = self.settings.tcp_user_timeout {
                let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(limit));
            }
            let opened = handshake(TokioIo::new(stream)).await;
            opened.map_err(|_| ConnectTimeoutSnafu { address }.build())
        };
        let Ok(opened) = timeout(self.settings.connect_timeout, open).await else {
            return ConnectTimeoutSnafu { address }.fail();
        };
        let (connection, driver) = opened?;
        tokio::spawn(driver);
        Ok(connection)
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection, limit: Duration) {
        let mut pool = self.pool.lock().expect("no holder of the pool lock panics");
        let idle = pool.entry(address).or_default();
        if idle.len() < self.settings.idle_per_address {
            idle.push(IdleConnection {
                connection,
                until: Instant::now() + limit,
            });
        }
    }
}

/// Answer of another process. Dropping it before the end of the body closes the connection.
#[derive(Debug)]
pub struct ClientResponse {
    address: SocketAddr,
    response: http::Response<Incoming>,
    connection: Connection,
    client: HttpClient,
}

impl ClientResponse {
    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Header fields of the answer.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Body of the answer.
    pub fn body_mut(&mut self) -> &mut Incoming {
        self.response.body_mut()
    }

    /// Reads the whole body, at most `limit` bytes within `bound`, and returns the connection to the
    /// pool.
    pub async fn collect(self, limit: usize, bound: Duration) -> Result<Bytes, SendError> {
        let idle_limit = self.client.settings.idle_limit;
        self.collect_with_idle_limit(limit, bound, idle_limit).await
    }

    /// Like [`collect`](Self::collect); the connection is kept idle for at most `idle_limit`.
    pub async fn collect_with_idle_limit(
        mut self,
        limit: usize,
        bound: Duration,
        idle_limit: Duration,
    ) -> Result<Bytes, SendError> {
        let address = self.address;
        let body = Limited::new(self.response.body_mut(), limit);
        let Ok(collected) = timeout(bound, body.collect()).await else {
            return AnswerTimeoutSnafu { address, bound }.fail();
        };
        let Ok(collected) = collected else {
            return BadBodySnafu { address }.fail();
        };
        let bytes = collected.to_bytes();
        self.recycle_with_idle_limit(idle_limit);
        Ok(bytes)
    }

    /// Returns the connection to the pool. Call only after the whole body was read.
    pub fn recycle(self) {
        let limit = self.client.settings.idle_limit;
        self.recycle_with_idle_limit(limit);
    }

    /// Returns the connection to the pool for at most `limit`, for a server that states how long it
    /// keeps an idle connection. Call only after the whole body was read.
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
                client.put_idle(address, connection, limit);
            }
        });
    }
}
