//! Server-sent events with rising numbers.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// Longest event, in bytes; a longer one means that the stream is not what it claims to be.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event is longer than any real one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLong;

/// Complete events at the begin of what has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// Bytes of the events.
    pub bytes: Bytes,
    /// Number of the last event, if it has one.
    pub last_number: Option<u64>,
}

/// Cuts a stream of bytes behind complete events, so that it can continue on another upstream.
#[derive(Debug, Default)]
pub struct NumberedEventSplitter {
    buffer: BytesMut,
}

impl NumberedEventSplitter {
    /// Adds bytes and takes all events that are complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<EventBatch>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buffer) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            return Ok(None);
        };
        let bytes = self.buffer.split_to(end).freeze();
        let last_number = last_number(&bytes);
        Ok(Some(EventBatch { bytes, last_number }))
    }

    /// Whether no part of an event is left.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Forgets an incomplete event, because another upstream sends it again.
    pub fn clear(&mut self) {
        self.buffer.clear();
    }
}

/// Offset behind the last empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).rev().find_map(|at| {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            return Some(at + 2);
        }
        rest.starts_with(b"\r\n\r\n").then_some(at + 4)
    })
}

fn last_number(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut numbers = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let number = std::str::from_utf8(numbers.next()?.trim_ascii()).ok()?;
    number.parse().ok()
}
