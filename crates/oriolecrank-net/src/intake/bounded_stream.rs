//! Bounds the memory of a connection besides that of bodies.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;

use crate::intake::byte_budget::{ByteBudget, ByteLease};

/// Whether a connection is waiting for the end of a head.
#[derive(Debug, Clone)]
pub(crate) struct HeadFlag(Arc<HeadPhase>);

#[derive(Debug)]
struct HeadPhase {
    in_head: AtomicBool,
    /// Whether a head has ended since the last read.
    has_ended: AtomicBool,
}

impl HeadFlag {
    fn new() -> Self {
        Self(Arc::new(HeadPhase {
            in_head: AtomicBool::new(true),
            has_ended: AtomicBool::new(false),
        }))
    }

    pub(crate) fn set(&self, in_head: bool) {
        if !in_head {
            self.0.has_ended.store(true, Ordering::Relaxed);
        }
        self.0.in_head.store(in_head, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.in_head.load(Ordering::Relaxed)
    }

    /// Whether a head has ended since the last call.
    fn take_ended(&self) -> bool {
        self.0.has_ended.swap(false, Ordering::Relaxed)
    }
}

/// Largest read from a connection, in bytes. The read buffer of the HTTP library begins with 8 KiB and
/// doubles, up to the largest head, when a read fills it.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Memory that a connection needs after a head of `bytes` bytes has arrived, besides its first buffers.
///
/// The read buffer has doubled until the head fitted, and keeps its size until the connection closes.
/// The fields of a request keep the buffer of its head, so that its body needs a second one.
const fn head_charge(bytes: usize) -> usize {
    if bytes <= MAX_READ_BYTES {
        0
    } else {
        2 * bytes.next_power_of_two()
    }
}

/// Counts the buffers of the heads of one connection in a budget.
#[derive(Debug)]
struct HeadMeter {
    in_head: HeadFlag,
    /// Bytes of the head that have arrived.
    head_bytes: usize,
    /// Charge for the largest head so far.
    charge: usize,
    lease: ByteLease,
}

impl HeadMeter {
    /// Counts bytes that have arrived. Fails if the budget has no room.
    fn count(&mut self, received: usize) -> io::Result<()> {
        if self.in_head.take_ended() {
            self.head_bytes = 0;
        }
        if !self.in_head.get() {
            return Ok(());
        }
        self.head_bytes += received;
        let charge = head_charge(self.head_bytes);
        if charge > self.charge {
            let resized = self.lease.resize(charge);
            resized.map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))?;
            self.charge = charge;
        }
        Ok(())
    }
}

/// A connection that is read in short pieces, so that its buffers stay small.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: Take<TcpStream>,
    /// Counts the heads of requests; `None` for a connection to a server, whose heads only the HTTP
    /// library limits.
    heads: Option<HeadMeter>,
}

impl BoundedStream {
    /// Wraps a connection of a client. Large heads count in the budget; reading fails when it has no
    /// room.
    pub(crate) fn of_client(stream: TcpStream, budget: &ByteBudget) -> (Self, HeadFlag) {
        let in_head = HeadFlag::new();
        let heads = HeadMeter {
            in_head: in_head.clone(),
            head_bytes: 0,
            charge: 0,
            lease: budget.lease(),
        };
        let stream = Self {
            heads: Some(heads),
            ..Self::to_server(stream)
        };
        (stream, in_head)
    }

    /// Wraps a connection to a server.
    pub(crate) fn to_server(stream: TcpStream) -> Self {
        Self {
            stream: stream.take(MAX_READ_BYTES as u64),
            heads: None,
        }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        self.stream.set_limit(MAX_READ_BYTES as u64);
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled().len() - before;
        let counted = self.heads.as_mut().map(|heads| heads.count(received));
        Poll::Ready(counted.unwrap_or(Ok(())))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(context)
    }
}
