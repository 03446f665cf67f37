//! Splits a streamed completion into server-sent events.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Longest event, in bytes. A longer one means that the answer is not an event stream.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Kind of an event of a completion stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// Carries output, counted as one token.
    Token,
    /// Carries no output, for example the role at the start or the usage at the end.
    Other,
    /// The end marker `[DONE]`.
    Done,
}

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEvent {
    /// Bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
    /// What the event contains.
    pub kind: EventKind,
}

/// An event is longer than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Splits a stream of bytes into complete events.
///
/// Only complete events are sent to the caller, so that another upstream can continue an answer
/// that failed within an event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` in which no event ends.
    searched: usize,
}

impl EventSplitter {
    /// Adds received bytes. Fails if more than [`MAX_EVENT_BYTES`] are buffered without a complete
    /// event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES && self.find_end().is_none() {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Removes and returns the next complete event; `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<ServerEvent> {
        let Some(end) = self.find_end() else {
            // The end of an event has up to four bytes, of which up to three may have arrived.
            self.searched = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let kind = event_kind(&bytes);
        Some(ServerEvent { bytes, kind })
    }

    /// Whether no bytes of an incomplete event are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Discards an incomplete event, because the upstream that continues the answer sends it again.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Offset after the first empty line, where the first event ends.
    fn find_end(&self) -> Option<usize> {
        let bytes = &self.buffer[..];
        (self.searched..bytes.len()).find_map(|at| {
            let rest = &bytes[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            rest.starts_with(b"\r\n\r\n").then_some(at + 4)
        })
    }
}

/// Fields of a completion event that show whether it carries output.
#[derive(Debug, Deserialize)]
struct CompletionEvent<'a> {
    #[serde(borrow, default)]
    choices: Vec<EventChoice<'a>>,
}

#[derive(Debug, Deserialize)]
struct EventChoice<'a> {
    #[serde(borrow, default)]
    delta: Option<EventDelta<'a>>,
    #[serde(borrow, default)]
    text: Option<std::borrow::Cow<'a, str>>,
}

#[derive(Debug, Deserialize)]
struct EventDelta<'a> {
    #[serde(borrow, default)]
    content: Option<std::borrow::Cow<'a, str>>,
    #[serde(borrow, default)]
    tool_calls: Option<&'a serde_json::value::RawValue>,
}

fn event_kind(event: &[u8]) -> EventKind {
    let mut kind = EventKind::Other;
    for line in event.split(|byte| *byte == b'\n') {
        let Some(data) = line.strip_prefix(b"data:") else {
            continue;
        };
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            return EventKind::Done;
        }
        if let Ok(event) = serde_json::from_slice::<CompletionEvent<'_>>(data)
            && event.choices.iter().any(EventChoice::has_output)
        {
            kind = EventKind::Token;
        }
    }
    kind
}

impl EventChoice<'_> {
    fn has_output(&self) -> bool {
        let text = self.text.as_ref().is_some_and(|text| !text.is_empty());
        let delta = self.delta.as_ref();
        let content = delta.and_then(|delta| delta.content.as_ref());
        let tool_calls = delta.is_some_and(|delta| delta.tool_calls.is_some());
        text || tool_calls || content.is_some_and(|content| !content.is_empty())
    }
}
