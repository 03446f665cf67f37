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
    let mut buffer = frame_start(header, payload.len(), payload.len());
    buffer.put_slice(payload);
    buffer.freeze()
}

/// Encodes a frame without its payload of `payload_len` bytes, which has to follow.
pub fn encode_frame_start<T: Serialize>(header: &T, payload_len: usize) -> Bytes {
    frame_start(header, payload_len, 0).freeze()
}

/// Start of a frame, in a buffer with room for `spare` more bytes.
fn frame_start<T: Serialize>(header: &T, payload_len: usize, spare: usize) -> BytesMut {
    let header = codec::encode(header);
    let mut buffer = BytesMut::with_capacity(PREFIX_BYTES + header.len() + spare);
    buffer.put_u32(header.len() as u32);
    buffer.put_u32(payload_len as u32);
    buffer.put_slice(&header);
    buffer
}

/// Removes one frame from the front of `buffer`. Returns `None` and leaves the buffer unchanged if
/// the frame is incomplete. The payload is copied, because a slice would keep the whole buffer in
/// memory for as long as a slow caller does not read it.
pub fn decode_frame<T: DeserializeOwned>(
    buffer: &mut BytesMut,
) -> Result<Option<DataFrame<T>>, FrameError> {
    let Some(FrameSizes { header, payload }) = FrameSizes::read(buffer)? else {
        return Ok(None);
    };
    buffer.advance(PREFIX_BYTES);
    let header = codec::decode(&buffer.split_to(header)).context(BadHeaderSnafu)?;
    let payload = Bytes::copy_from_slice(&buffer.split_to(payload));
    Ok(Some(DataFrame { header, payload }))
}

/// Decodes a frame that fills `bytes`, without a copy of its payload. Returns `None` if the frame is
/// incomplete; ignores what follows it.
pub fn decode_whole_frame<T: DeserializeOwned>(
    bytes: &Bytes,
) -> Result<Option<DataFrame<T>>, FrameError> {
    let Some(FrameSizes { header, payload }) = FrameSizes::read(bytes)? else {
        return Ok(None);
    };
    let start = PREFIX_BYTES + header;
    let header = codec::decode(&bytes[PREFIX_BYTES..start]).context(BadHeaderSnafu)?;
    let payload = bytes.slice(start..start + payload);
    Ok(Some(DataFrame { header, payload }))
}

/// Sizes of the parts of a frame, in bytes.
#[derive(Debug, Clone, Copy)]
struct FrameSizes {
    header: usize,
    payload: usize,
}

impl FrameSizes {
    /// Reads the sizes at the front of `bytes`; `None` if the frame is incomplete.
    fn read(bytes: &[u8]) -> Result<Option<Self>, FrameError> {
        let Some(mut prefix) = bytes.get(..PREFIX_BYTES) else {
            return Ok(None);
        };
        let header = prefix.get_u32() as usize;
        let payload = prefix.get_u32() as usize;
        let largest = header.max(payload);
        ensure!(largest <= MAX_FRAME_PART, TooLargeSnafu { size: largest });
        let is_complete = bytes.len() >= PREFIX_BYTES + header + payload;
        Ok(is_complete.then_some(Self { header, payload }))
    }
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
