//! Splits a stream of server-sent events, whose ids are increasing numbers, at event boundaries.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// Longest event, in bytes. A longer one means that the answer is not an event stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event is longer than the limit of 1 MiB.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLong;

/// One or more complete events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// Bytes of the events, including the empty line after the last one.
    pub bytes: Bytes,
    /// Number in the first `id` line of the events; `None` if there is no such line or it is not a
    /// number.
    pub first_number: Option<u64>,
    /// Number in the last `id` line of the events; `None` if there is no such line or it is not a
    /// number.
    pub last_number: Option<u64>,
}

/// Splits a stream of bytes after complete events. Only whole events reach the caller, so that the
/// stream can be resumed on another upstream.
#[derive(Debug, Default)]
pub struct NumberedEventSplitter {
    buffer: BytesMut,
}

impl NumberedEventSplitter {
    /// Adds received bytes and returns all events that are now complete; `None` if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<EventBatch>, EventTooLong> {
        // The end of an event may begin in the bytes before.
        let searched = self.buffer.len().saturating_sub(LONGEST_EVENT_END - 1);
        self.buffer.extend_from_slice(bytes);
        let end = last_event_end(&self.buffer[searched..]).map(|end| searched + end);
        let Some(end) = end else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            return Ok(None);
        };
        let bytes = self.buffer.split_to(end).freeze();
        let mut lines = bytes.split(|byte| *byte == b'\n');
        let first_number = lines.find_map(id_line).and_then(parse_number);
        let mut lines = bytes.rsplit(|byte| *byte == b'\n');
        let last_number = lines.find_map(id_line).and_then(parse_number);
        Ok(Some(EventBatch {
            bytes,
            first_number,
            last_number,
        }))
    }

    /// Whether no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Discards an incomplete event, because the upstream that resumes the stream sends it again.
    pub fn clear(&mut self) {
        self.buffer.clear();
    }
}

/// Length of the longest empty line that ends an event, `\r\n\r\n`, in bytes.
const LONGEST_EVENT_END: usize = 4;

/// Offset after the last empty line, where the last complete event ends.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).rev().find_map(|offset| {
        let rest = &bytes[offset..];
        if rest.starts_with(b"\n\n") {
            return Some(offset + 2);
        }
        rest.starts_with(b"\r\n\r\n").then_some(offset + 4)
    })
}

/// Rest of a line that states the id of an event.
fn id_line(line: &[u8]) -> Option<&[u8]> {
    line.strip_prefix(b"id:")
}

fn parse_number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id.trim_ascii()).ok()?.parse().ok()
}
