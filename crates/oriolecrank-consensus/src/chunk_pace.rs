//! Size and repetition of the chunks that are sent to one member.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

/// Size of the first chunk, in bytes.
const FIRST_CHUNK_BYTES: usize = 64 * 1024;

/// Smallest size to which chunks shrink, in bytes.
const MIN_CHUNK_BYTES: usize = 16 * 1024;

/// A chunk whose reply takes at most this long may be followed by a larger one: a round trip between
/// regions, and as much again for the transfer.
const FAST_REPLY: Duration = Duration::from_millis(100);

/// A chunk whose reply takes longer is followed by a smaller one. Heartbeats that share the link wait
/// about as long, and must arrive well within the shortest election timeout.
const SLOW_REPLY: Duration = Duration::from_millis(200);

/// Shortest time without a reply after which a chunk is sent again.
const MIN_RESEND_DELAY: Duration = Duration::from_millis(400);

/// Longest time without a reply after which a chunk is sent again.
const MAX_RESEND_DELAY: Duration = Duration::from_millis(3_200);

/// Pace of the chunks to one member. At most one chunk is under way, and its size follows the time
/// that replies take, so that chunks to all members together do not fill a slow link.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChunkPace {
    /// Size of the next chunk, in bytes.
    chunk_bytes: usize,
    resend_delay: Duration,
    /// Send time of the chunk whose reply is awaited.
    awaited_since: Option<TimePoint>,
}

impl Default for ChunkPace {
    fn default() -> Self {
        Self {
            chunk_bytes: FIRST_CHUNK_BYTES,
            resend_delay: MIN_RESEND_DELAY,
            awaited_since: None,
        }
    }
}

impl ChunkPace {
    /// Starts a chunk if none is under way and returns its largest size, in bytes. A chunk without a
    /// reply counts as lost after a while.
    pub(crate) fn start_chunk(&mut self, max_bytes: usize, now: TimePoint) -> Option<usize> {
        if let Some(sent) = self.awaited_since {
            if now < sent + self.resend_delay {
                return None;
            }
            self.chunk_bytes = (self.chunk_bytes / 2).max(MIN_CHUNK_BYTES);
            self.resend_delay = (self.resend_delay * 2).min(MAX_RESEND_DELAY);
        }
        self.awaited_since = Some(now);
        Some(self.chunk_bytes.min(max_bytes))
    }

    /// Whether the chunk that was sent at `sent` is the newest one, and no reply to it has arrived.
    pub(crate) fn awaits(&self, sent: TimePoint) -> bool {
        self.awaited_since == Some(sent)
    }

    /// Records a reply, to the chunk that was sent at `sent`, after which the next chunk may be sent.
    pub(crate) fn record_reply(&mut self, sent: TimePoint, max_bytes: usize, now: TimePoint) {
        self.awaited_since = None;
        let elapsed = now.since(sent);
        if elapsed <= FAST_REPLY {
            self.chunk_bytes = (self.chunk_bytes * 2).min(max_bytes.max(MIN_CHUNK_BYTES));
            self.resend_delay = MIN_RESEND_DELAY;
        } else if elapsed > SLOW_REPLY {
            self.chunk_bytes = (self.chunk_bytes / 2).max(MIN_CHUNK_BYTES);
            self.resend_delay = (elapsed * 2).clamp(MIN_RESEND_DELAY, MAX_RESEND_DELAY);
        }
    }

    /// Forgets the chunk under way, because its transfer has ended.
    pub(crate) const fn end_transfer(&mut self) {
        self.awaited_since = None;
    }
}
