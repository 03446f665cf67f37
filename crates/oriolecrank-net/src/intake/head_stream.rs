//! Counts the bytes of heads that have not ended.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::intake::byte_budget::{ByteBudget, ByteLease};

/// Whether a connection is waiting for the end of a head.
#[derive(Debug, Clone)]
pub(crate) struct HeadFlag(Arc<AtomicBool>);

impl HeadFlag {
    pub(crate) fn set(&self, in_head: bool) {
        self.0.store(in_head, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection whose unfinished heads count in a budget. Reading fails when the budget has no room.
#[derive(Debug)]
pub(crate) struct HeadStream {
    stream: TcpStream,
    in_head: HeadFlag,
    /// Bytes of the head that have arrived.
    head_bytes: usize,
    lease: ByteLease,
}

impl HeadStream {
    pub(crate) fn new(stream: TcpStream, budget: &ByteBudget) -> (Self, HeadFlag) {
        let in_head = HeadFlag(Arc::new(AtomicBool::new(true)));
        let stream = Self {
            stream,
            in_head: in_head.clone(),
            head_bytes: 0,
            lease: budget.lease(),
        };
        (stream, in_head)
    }

    /// Counts bytes that have arrived.
    fn count(&mut self, received: usize) -> io::Result<()> {
        self.head_bytes += received;
        self.lease
            .resize(self.head_bytes)
            .map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))
    }
}

impl AsyncRead for HeadStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.in_head.get() {
            self.head_bytes = 0;
            self.count(0)?;
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.count(buffer.filled().len() - before))
    }
}

impl AsyncWrite for HeadStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
