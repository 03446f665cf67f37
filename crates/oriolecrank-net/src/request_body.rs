//! Bodies of HTTP requests.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

/// Body of an HTTP request.
#[derive(Debug)]
pub enum RequestBody {
    /// Body in one piece.
    Whole(Full<Bytes>),
    /// Pieces that are sent one after the other, so that a large payload is not copied to put a
    /// prefix before it.
    Pieces {
        /// First piece; `None` once it is sent, or if it is empty.
        prefix: Option<Bytes>,
        /// Second piece; `None` once it is sent, or if it is empty.
        payload: Option<Bytes>,
    },
}

impl RequestBody {
    /// Creates a body of two pieces.
    pub fn pieces(prefix: Bytes, payload: Bytes) -> Self {
        let piece = |bytes: Bytes| (!bytes.is_empty()).then_some(bytes);
        Self::Pieces {
            prefix: piece(prefix),
            payload: piece(payload),
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match &mut *self {
            Self::Whole(body) => Pin::new(body).poll_frame(context),
            Self::Pieces { prefix, payload } => {
                let piece = prefix.take().or_else(|| payload.take());
                Poll::Ready(piece.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Pieces { prefix, payload } => prefix.is_none() && payload.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Pieces { prefix, payload } => {
                let sizes = [prefix, payload].map(|piece| piece.as_ref().map_or(0, Bytes::len));
                SizeHint::with_exact(sizes.iter().sum::<usize>() as u64)
            }
        }
    }
}
