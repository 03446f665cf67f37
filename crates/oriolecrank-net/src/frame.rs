//! Framing of streamed responses. A frame is a `u32` header length, a `u32` payload length (both
//! big-endian), a `MessagePack` header and a raw payload.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body_util::BodyExt;
use oriolecrank_schema::codec::{self, CodecError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};
use tokio::time::timeout;

use crate::http_client::ClientResponse;

/// Maximum size of the header or the payload of a frame, in bytes each.
pub const MAX_FRAME_PART: usize = 64 * 1024 * 1024;

/// Size of the two length fields before the header.
const PREFIX_BYTES: usize = 8;

/// An error after which no further frames can be read from the stream.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// No data arrived within the time limit, not even a heartbeat.
    #[snafu(display("nothing arrived for {} ms", time_limit.as_millis()))]
    Silent {
        /// Maximum time without data.
        time_limit: Duration,
    },
    /// The connection broke.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// Cause.
        source: hyper::Error,
    },
    /// The stream ended inside a frame.
    #[snafu(display("the stream ended inside a frame"))]
    Truncated,
    /// The header or payload of a frame exceeds [`MAX_FRAME_PART`].
    #[snafu(display("a frame part of {size} bytes exceeds the limit of {MAX_FRAME_PART} bytes"))]
    TooLarge {
        /// Size of the larger part according to its length field, in bytes.
        size: usize,
    },
    /// The header of a frame cannot be decoded.
    #[snafu(display("invalid frame header: {source}"))]
    BadHeader {
        /// Cause.
        source: CodecError,
    },
}

/// One decoded frame.
#[derive(Debug, Clone, PartialEq)]
pub struct DataFrame<T> {
    /// Decoded header.
    pub header: T,
    /// Raw payload.
    pub payload: Bytes,
}

/// Encodes one frame. The receiver rejects it if the header or the payload exceeds
/// [`MAX_FRAME_PART`].
pub fn encode_frame<T: Serialize>(header: &T, payload: &[u8]) -> Bytes {
    let header = codec::encode(header);
    let mut buffer = BytesMut::with_capacity(PREFIX_BYTES + header.len() + payload.len());
    buffer.put_u32(header.len() as u32);
    buffer.put_u32(payload.len() as u32);
    buffer.put_slice(&header);
    buffer.put_slice(payload);
    buffer.freeze()
}

/// Removes one frame from the front of `buffer`. Returns `None` and leaves the buffer unchanged if
/// the frame is incomplete.
pub fn decode_frame<T: DeserializeOwned>(
    buffer: &mut BytesMut,
) -> Result<Option<DataFrame<T>>, FrameError> {
    if buffer.len() < PREFIX_BYTES {
        return Ok(None);
    }
    let mut prefix = &buffer[..PREFIX_BYTES];
    let header_len = prefix.get_u32() as usize;
    let payload_len = prefix.get_u32() as usize;
    let largest = header_len.max(payload_len);
    ensure!(largest <= MAX_FRAME_PART, TooLargeSnafu { size: largest });
    if buffer.len() < PREFIX_BYTES + header_len + payload_len {
        return Ok(None);
    }
    buffer.advance(PREFIX_BYTES);
    let header = codec::decode(&buffer.split_to(header_len)).context(BadHeaderSnafu)?;
    let payload = buffer.split_to(payload_len).freeze();
    Ok(Some(DataFrame { header, payload }))
}

/// Reads frames from the body of a response.
#[derive(Debug)]
pub struct FrameReader {
    response: ClientResponse,
    buffer: BytesMut,
}

impl FrameReader {
    /// Creates a reader at the start of the body of `response`.
    pub fn new(response: ClientResponse) -> Self {
        Self {
            response,
            buffer: BytesMut::new(),
        }
    }

    /// Reads the next frame. Returns `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Silent`] if no byte arrives within `time_limit`, and other variants if
    /// the connection breaks or a frame is malformed.
    pub async fn next<T: DeserializeOwned>(
        &mut self,
        time_limit: Duration,
    ) -> Result<Option<DataFrame<T>>, FrameError> {
        loop {
            if let Some(frame) = decode_frame(&mut self.buffer)? {
                return Ok(Some(frame));
            }
            let Ok(received) = timeout(time_limit, self.response.body_mut().frame()).await else {
                return SilentSnafu { time_limit }.fail();
            };
            let Some(received) = received else {
                ensure!(self.buffer.is_empty(), TruncatedSnafu);
                return Ok(None);
            };
            if let Ok(data) = received.context(BrokenSnafu)?.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    /// Returns the connection to the pool. Must be called only after [`next`](Self::next) returned
    /// `None`.
    pub fn recycle(self) {
        self.response.recycle();
    }
}
