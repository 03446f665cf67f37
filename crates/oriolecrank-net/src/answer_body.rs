//! Bodies of HTTP responses.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc;

/// Number of chunks that a streamed body buffers before the sender waits.
const STREAM_BUFFER_CHUNKS: usize = 16;

/// The producer of a streamed body aborted it before its end.
///
/// The connection is closed without the final chunk, so that the client detects that the response
/// is truncated.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("the answer was aborted before its end"))]
pub struct BodyAborted;

/// Sending half of a streamed body.
pub type BodySender = mpsc::Sender<Result<Bytes, BodyAborted>>;

/// Body of an HTTP response.
#[derive(Debug)]
pub enum AnswerBody {
    /// Complete body. `None` if it is empty or was already handed to the connection.
    Full(Option<Bytes>),
    /// Body that is produced while it is sent. It ends when all senders are dropped.
    Stream(BodyReceiver),
}

/// Receiving half of a streamed body.
#[derive(Debug)]
pub struct BodyReceiver {
    receiver: mpsc::Receiver<Result<Bytes, BodyAborted>>,
    /// Whether the sender has aborted the body; the next poll reports it.
    aborted: bool,
}

impl BodyReceiver {
    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        if self.aborted {
            return Poll::Ready(Some(Err(BodyAborted)));
        }
        let received = self.receiver.poll_recv(context);
        if matches!(received, Poll::Ready(Some(Err(_)))) {
            // When a body fails, hyper discards the bytes that it has not yet written. Yielding
            // once lets it write the bytes sent before the abort, such as an error event for the
            // caller.
            self.aborted = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        received
    }
}

impl AnswerBody {
    /// Creates a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }

    /// Creates a streamed body and its sender.
    pub fn stream() -> (BodySender, Self) {
        Self::stream_of(STREAM_BUFFER_CHUNKS)
    }

    /// Creates a streamed body that buffers at most `chunks` chunks, and its sender. For chunks that
    /// are large.
    pub fn stream_of(chunks: usize) -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(chunks);
        (
            sender,
            Self::Stream(BodyReceiver {
                receiver,
                aborted: false,
            }),
        )
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(receiver) => receiver
                .poll_next(context)
                .map(|item| item.map(|result| result.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
