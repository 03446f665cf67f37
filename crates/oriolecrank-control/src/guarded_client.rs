//! HTTP requests that are written only while the sender has the leader's authority.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use oriolecrank_schema::data_path::RunVerdict;
use snafu::{OptionExt as _, Snafu};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::action_authority::WritePermit;

/// Maximum size of an answer's body, in bytes; a larger answer counts as lost.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Error of a request without a complete answer.
#[derive(Debug, Snafu)]
pub enum GuardedError {
    /// The authority ended before anything was sent.
    #[snafu(display("request not sent: this instance no longer has the leader's authority"))]
    NoAuthority,
    /// Nothing was sent for another reason, such as a failed connect.
    #[snafu(display("nothing was sent to {address}: {reason}"))]
    Unsent {
        /// Target address.
        address: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// The request was sent at least in part, and no complete answer arrived.
    #[snafu(display(
        "no complete answer from {address}, the request may have taken effect: {reason}"
    ))]
    AnswerLost {
        /// Target address.
        address: SocketAddr,
        /// Cause.
        reason: String,
    },
}

/// An error that says whether the request may have taken effect.
pub trait VerdictError: std::error::Error + Send + Sync + 'static {
    /// Whether the request may have taken effect.
    fn verdict(&self) -> RunVerdict;
}

impl VerdictError for GuardedError {
    fn verdict(&self) -> RunVerdict {
        match self {
            Self::NoAuthority | Self::Unsent { .. } => RunVerdict::NotRun,
            Self::AnswerLost { .. } => RunVerdict::MayHaveRun,
        }
    }
}

/// A complete answer, whatever its status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuardedAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
}

/// Sends one request over a new connection and closes the connection.
///
/// The permit is checked immediately before each write to the socket, and so also after a slow
/// connect or a pause of the process. Connections are not pooled, so that none outlives the
/// authority under which it was opened. `time_limit` covers everything from the connect to the
/// complete answer.
pub async fn send_guarded<P: WritePermit>(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    permit: &P,
    time_limit: Duration,
) -> Result<GuardedAnswer, GuardedError> {
    permit.remaining().context(NoAuthoritySnafu)?;
    let written = Arc::new(AtomicBool::new(false));
    let exchange = exchange(address, request, permit.clone(), Arc::clone(&written));
    let reason = match timeout(time_limit, exchange).await {
        Ok(Ok(answer)) => return Ok(answer),
        Ok(Err(reason)) => reason,
        Err(_) => format!("time limit of {} ms reached", time_limit.as_millis()),
    };
    if written.load(Ordering::Acquire) {
        return AnswerLostSnafu { address, reason }.fail();
    }
    permit.remaining().context(NoAuthoritySnafu)?;
    UnsentSnafu { address, reason }.fail()
}

async fn exchange<P: WritePermit>(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    permit: P,
    written: Arc<AtomicBool>,
) -> Result<GuardedAnswer, String> {
    let stream = TcpStream::connect(address).await.map_err(error_text)?;
    // Without this option requests are only slower, so a failure is ignored.
    let _ = stream.set_nodelay(true);
    let stream = GuardedStream {
        stream,
        permit,
        written,
    };
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.map_err(error_text)?;
    let answer = async move {
        let response = sender.send_request(request).await.map_err(error_text)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(error_text)?.to_bytes();
        Ok(GuardedAnswer { status, body })
    };
    tokio::pin!(answer, connection);
    // The connection is polled here and not in a separate task, so that nothing is written after
    // the caller drops this future.
    tokio::select! {
        biased;
        result = answer.as_mut() => result,
        _ = connection => answer.await,
    }
}

fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// A connection that refuses to write without a valid permit.
#[derive(Debug)]
struct GuardedStream<P> {
    stream: TcpStream,
    permit: P,
    /// Set as soon as any byte has been written.
    written: Arc<AtomicBool>,
}

impl<P: Unpin> AsyncRead for GuardedStream<P> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<P: WritePermit> AsyncWrite for GuardedStream<P> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.permit.remaining().is_none() {
            let reason = "write refused: this instance no longer has the leader's authority";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::PermissionDenied, reason)));
        }
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        if matches!(result, Poll::Ready(Ok(count)) if count > 0) {
            self.written.store(true, Ordering::Release);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
