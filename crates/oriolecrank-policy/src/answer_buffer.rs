//! Buffer of one answer on the agent's side.
//!
//! The agent keeps the bytes of an answer until the entry acknowledges them, so that the entry can
//! resume on a new connection. The buffer is bounded; the agent stops reading from its upstream
//! while [`AnswerBuffer::room`] is zero.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::TokenUsage;
use snafu::{Snafu, ensure};

/// Smaller chunks are copied. A token's event of 80 bytes is a slice of the connection's read buffer
/// of 8 KiB and would keep all of it, beyond the capacity that is counted in bytes of the answer.
const MAX_COPIED_BYTES: usize = 4 * 1_024;

/// Bounds of an answer buffer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferSettings {
    /// Largest number of unacknowledged bytes.
    pub capacity_bytes: usize,
    /// Time that the entry has to acknowledge the end before the agent reports the usage itself.
    pub usage_wait: Duration,
}

impl Default for BufferSettings {
    fn default() -> Self {
        Self {
            capacity_bytes: 4 * 1024 * 1024,
            usage_wait: Duration::from_secs(30),
        }
    }
}

/// A request of the entry that the buffer cannot serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BufferFault {
    /// The bytes at this offset were acknowledged and freed.
    #[snafu(display("the bytes from {offset} to {start} were acknowledged and freed"))]
    Freed {
        /// Requested offset.
        offset: u64,
        /// First offset that is kept.
        start: u64,
    },
    /// The offset is beyond the bytes that were produced.
    #[snafu(display("offset {offset} is beyond the {end} bytes of the answer"))]
    Beyond {
        /// Requested offset.
        offset: u64,
        /// Bytes produced.
        end: u64,
    },
    /// The whole answer is acknowledged before its end is known or reached.
    #[snafu(display("the answer is not complete at offset {offset}"))]
    NotComplete {
        /// Acknowledged offset.
        offset: u64,
    },
}

/// Length and usage of a finished answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerEnd {
    /// Length of the body in bytes.
    pub length: u64,
    /// Tokens of the attempt.
    pub usage: TokenUsage,
}

/// What a reader at some offset gets next.
#[derive(Debug, Clone, PartialEq)]
pub enum BufferRead {
    /// Bytes at the requested offset.
    Bytes(Bytes),
    /// All bytes so far were read; more may come.
    Pending,
    /// All bytes were read, and the answer is complete.
    End(AnswerEnd),
}

/// A run of bytes.
#[derive(Debug, Clone)]
struct BufferedChunk {
    /// Offset of the first byte in the body.
    offset: u64,
    bytes: Bytes,
}

/// Unacknowledged bytes of one answer.
#[derive(Debug, Clone)]
pub struct AnswerBuffer {
    settings: BufferSettings,
    /// Contiguous and not empty; the first begins at `start`, the last ends at `end`.
    chunks: VecDeque<BufferedChunk>,
    /// Everything below is acknowledged; never falls.
    start: u64,
    /// Bytes produced so far; never falls and is never below `start`.
    end: u64,
    finish: Option<(AnswerEnd, TimePoint)>,
    /// The entry has the whole answer and has recorded its usage.
    complete: bool,
}

impl AnswerBuffer {
    /// An empty buffer.
    pub fn new(settings: BufferSettings) -> Self {
        Self {
            settings,
            chunks: VecDeque::new(),
            start: 0,
            end: 0,
            finish: None,
            complete: false,
        }
    }

    /// Bytes that can be taken now.
    pub fn room(&self) -> usize {
        self.settings.capacity_bytes.saturating_sub(self.len())
    }

    /// Unacknowledged bytes.
    pub fn len(&self) -> usize {
        usize::try_from(self.end - self.start).expect("the buffer is smaller than memory")
    }

    /// Whether there are no unacknowledged bytes.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Offset below which everything is acknowledged.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// Bytes produced so far.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Takes as many bytes off the front of `bytes` as there is room for and returns their number.
    ///
    /// The rest stays in `bytes` for the next call, after an acknowledgement has made room. Nothing
    /// is taken once the answer is finished.
    pub fn push(&mut self, bytes: &mut Bytes) -> usize {
        let taken = self.room().min(bytes.len());
        if taken == 0 || self.finish.is_some() {
            return 0;
        }
        let taken_bytes = bytes.split_to(taken);
        let stored = if taken < MAX_COPIED_BYTES {
            Bytes::copy_from_slice(&taken_bytes)
        } else {
            taken_bytes
        };
        self.chunks.push_back(BufferedChunk {
            offset: self.end,
            bytes: stored,
        });
        self.end += taken as u64;
        taken
    }

    /// Marks the answer as finished; only the first call has an effect.
    pub fn finish(&mut self, usage: TokenUsage, now: TimePoint) {
        if self.finish.is_some() {
            return;
        }
        let length = self.end;
        self.finish = Some((AnswerEnd { length, usage }, now));
    }

    /// What follows at `offset`. Readers keep their own offset, so that a second connection can read
    /// while the first one hangs.
    pub fn read(&self, offset: u64) -> Result<BufferRead, BufferFault> {
        let (start, end) = (self.start, self.end);
        ensure!(offset >= start, FreedSnafu { offset, start });
        ensure!(offset <= end, BeyondSnafu { offset, end });
        if offset == end {
            return Ok(match &self.finish {
                None => BufferRead::Pending,
                Some((end, _)) => BufferRead::End(end.clone()),
            });
        }
        let after = self.chunks.partition_point(|chunk| chunk.offset <= offset);
        let chunk = &self.chunks[after - 1];
        let skipped = (offset - chunk.offset) as usize;
        Ok(BufferRead::Bytes(chunk.bytes.slice(skipped..)))
    }

    /// Frees the bytes below `offset` and returns how many were freed. A late acknowledgement frees
    /// nothing.
    pub fn acknowledge(&mut self, offset: u64, complete: bool) -> Result<usize, BufferFault> {
        let end = self.end;
        ensure!(offset <= end, BeyondSnafu { offset, end });
        let finished = self.finish.is_some() && offset == end;
        ensure!(finished || !complete, NotCompleteSnafu { offset });
        self.complete |= complete;
        let freed = offset.saturating_sub(self.start);
        while let Some(chunk) = self.chunks.front_mut() {
            let chunk_end = chunk.offset + chunk.bytes.len() as u64;
            if chunk_end <= offset {
                self.chunks.pop_front();
                continue;
            }
            if chunk.offset < offset {
                let skipped = (offset - chunk.offset) as usize;
                chunk.bytes = chunk.bytes.slice(skipped..);
                chunk.offset = offset;
            }
            break;
        }
        self.start = self.start.max(offset);
        Ok(freed as usize)
    }

    /// Whether the answer is finished.
    pub fn is_finished(&self) -> bool {
        self.finish.is_some()
    }

    /// Whether the entry has the whole answer and has recorded its usage; the buffer can be dropped.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Usage that the agent must report, because no entry acknowledged the end in time.
    pub fn overdue_usage(&self, now: TimePoint) -> Option<&TokenUsage> {
        let (end, finished_at) = self.finish.as_ref()?;
        let overdue = now.since(*finished_at) >= self.settings.usage_wait;
        (overdue && !self.complete).then_some(&end.usage)
    }
}
