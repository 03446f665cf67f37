//! Agent-side buffer of the unacknowledged bytes of one answer.
//!
//! The agent keeps the bytes of an answer until the entry acknowledges them, so that the entry can
//! resume on a new connection. The buffer is bounded; the agent stops reading from its upstream
//! while [`AnswerBuffer::free_capacity`] is zero.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::TokenUsage;
use snafu::{Snafu, ensure};

/// Chunks smaller than this are copied instead of sharing memory with the read buffer.
///
/// An event of one token has about 80 bytes and is a slice of the connection's read buffer of 8
/// KiB. Storing the slice would keep the whole read buffer allocated, which the capacity does not
/// count.
const MIN_SHARED_BYTES: usize = 4 * 1_024;

/// Limits of an answer buffer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferSettings {
    /// Largest number of unacknowledged bytes.
    pub capacity_bytes: usize,
    /// Time after the end of the answer within which the entry must acknowledge it; after that the
    /// agent reports the token usage itself.
    pub usage_timeout: Duration,
}

impl Default for BufferSettings {
    fn default() -> Self {
        Self {
            capacity_bytes: 4 * 1024 * 1024,
            usage_timeout: Duration::from_secs(30),
        }
    }
}

/// A read or acknowledgement with an invalid offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BufferFault {
    /// The requested bytes have been acknowledged and freed.
    #[snafu(display("the bytes from {offset} to {start} were acknowledged and freed"))]
    Freed {
        /// Requested offset.
        offset: u64,
        /// First offset that is still buffered.
        start: u64,
    },
    /// The offset is beyond the bytes written so far.
    #[snafu(display("offset {offset} is beyond the {end} bytes of the answer"))]
    BeyondEnd {
        /// Requested or acknowledged offset.
        offset: u64,
        /// Bytes written so far.
        end: u64,
    },
    /// The entry acknowledged the whole answer, but the answer is unfinished or the offset is not
    /// its end.
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
    /// Token usage of the attempt.
    pub usage: TokenUsage,
}

/// Result of reading at an offset.
#[derive(Debug, Clone, PartialEq)]
pub enum BufferRead {
    /// Bytes at the requested offset.
    Bytes(Bytes),
    /// No byte is available at the offset yet; more may follow.
    Pending,
    /// The offset is the end of the finished answer.
    End(AnswerEnd),
}

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
    /// Contiguous, non-empty chunks; the first starts at `start`, the last ends at `end`.
    chunks: VecDeque<BufferedChunk>,
    /// All bytes below this offset are acknowledged; never decreases.
    start: u64,
    /// Bytes written so far; never decreases and is never below `start`.
    end: u64,
    /// End of the answer and the time at which it was finished.
    finish: Option<(AnswerEnd, TimePoint)>,
    /// Whether the entry has the whole answer and has recorded its usage.
    complete: bool,
}

impl AnswerBuffer {
    /// Creates an empty buffer.
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

    /// Number of bytes that [`Self::push`] can store now.
    pub fn free_capacity(&self) -> usize {
        self.settings.capacity_bytes.saturating_sub(self.len())
    }

    /// Number of unacknowledged bytes.
    pub fn len(&self) -> usize {
        usize::try_from(self.end - self.start).expect("the buffer is smaller than memory")
    }

    /// Whether there are no unacknowledged bytes.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Offset below which all bytes are acknowledged.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// Number of bytes written so far.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Moves as many bytes from the front of `bytes` into the buffer as fit and returns their
    /// number.
    ///
    /// The rest stays in `bytes`; push it again after an acknowledgement has freed capacity. Stores
    /// nothing once the answer is finished.
    pub fn push(&mut self, bytes: &mut Bytes) -> usize {
        let stored_len = self.free_capacity().min(bytes.len());
        if stored_len == 0 || self.finish.is_some() {
            return 0;
        }
        let stored_slice = bytes.split_to(stored_len);
        let stored = if stored_len < MIN_SHARED_BYTES {
            Bytes::copy_from_slice(&stored_slice)
        } else {
            stored_slice
        };
        self.chunks.push_back(BufferedChunk {
            offset: self.end,
            bytes: stored,
        });
        self.end += stored_len as u64;
        stored_len
    }

    /// Marks the answer as finished; only the first call has an effect.
    pub fn finish(&mut self, usage: TokenUsage, now: TimePoint) {
        if self.finish.is_some() {
            return;
        }
        let length = self.end;
        self.finish = Some((AnswerEnd { length, usage }, now));
    }

    /// Reads the bytes that follow `offset`, at most to the end of one chunk.
    ///
    /// Each connection keeps its own offset, so that a second one can read while the first hangs.
    pub fn read(&self, offset: u64) -> Result<BufferRead, BufferFault> {
        let (start, end) = (self.start, self.end);
        ensure!(offset >= start, FreedSnafu { offset, start });
        ensure!(offset <= end, BeyondEndSnafu { offset, end });
        if offset == end {
            return Ok(match &self.finish {
                None => BufferRead::Pending,
                Some((end, _)) => BufferRead::End(end.clone()),
            });
        }
        let next_chunk = self.chunks.partition_point(|chunk| chunk.offset <= offset);
        let chunk = &self.chunks[next_chunk - 1];
        let skipped = (offset - chunk.offset) as usize;
        Ok(BufferRead::Bytes(chunk.bytes.slice(skipped..)))
    }

    /// Frees the bytes below `offset` and returns how many were freed.
    ///
    /// `complete` says that the entry has the whole answer and has recorded its usage. An
    /// acknowledgement below an earlier one frees nothing.
    pub fn acknowledge(&mut self, offset: u64, complete: bool) -> Result<usize, BufferFault> {
        let end = self.end;
        ensure!(offset <= end, BeyondEndSnafu { offset, end });
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

    /// Whether [`Self::finish`] was called.
    pub fn is_finished(&self) -> bool {
        self.finish.is_some()
    }

    /// Whether the entry has the whole answer and has recorded its usage, so that the buffer can be
    /// dropped.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Token usage that the agent must report itself, because no entry acknowledged the end of the
    /// answer in time.
    pub fn overdue_usage(&self, now: TimePoint) -> Option<&TokenUsage> {
        let (end, finished_at) = self.finish.as_ref()?;
        let overdue = now.since(*finished_at) >= self.settings.usage_timeout;
        (overdue && !self.complete).then_some(&end.usage)
    }
}
