//! Reads bodies under a budget of bytes and of time.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt as _;
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};
use tokio::time::{Instant, timeout_at};

use crate::intake::body_memory::BodyMemory;
use crate::intake::byte_budget::{ByteBudget, ByteLease, NoRoom};

/// Slowest reading of a body that is waited for.
#[derive(Debug, Clone, Copy)]
pub struct BodyPace {
    /// Time without a byte after which the body is given up.
    pub stall_limit: Duration,
    /// Time that a body has besides that for its bytes.
    pub grace: Duration,
    /// Least bytes per second after the grace.
    pub bytes_per_second: u32,
}

impl Default for BodyPace {
    fn default() -> Self {
        Self {
            // Twice the longest loss of packets that connections survive on slow links.
            stall_limit: Duration::from_secs(5),
            grace: Duration::from_secs(10),
            // A link of 10 Mbit/s that 75 clients share.
            bytes_per_second: 16 * 1024,
        }
    }
}

impl BodyPace {
    /// Time by which a body that began at `started_at`, and of which `received` bytes have arrived by
    /// `now`, must go on.
    fn next_deadline(&self, started_at: Instant, received: usize, now: Instant) -> Instant {
        let transfer = Duration::from_secs_f64(received as f64 / f64::from(self.bytes_per_second));
        (now + self.stall_limit).min(started_at + self.grace + transfer)
    }
}

/// Limits for one body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Largest body, in bytes.
    pub bytes: usize,
    /// Slowest reading.
    pub pace: BodyPace,
    /// Time for the whole body; `None` if only the pace limits it.
    pub time_limit: Option<Duration>,
}

impl BodyLimits {
    /// Limits for a body of at most `bytes` bytes at the default pace.
    pub fn of_bytes(bytes: usize) -> Self {
        Self {
            bytes,
            pace: BodyPace::default(),
            time_limit: None,
        }
    }
}

/// Why a body was not read to its end. The connection cannot be used for another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body exceeds its limit, or the whole budget.
    #[snafu(display("the body is larger than allowed"))]
    TooLarge,
    /// The budget has no room for the body now.
    #[snafu(display("{source}"))]
    Full {
        /// Cause.
        source: NoRoom,
    },
    /// The body arrived too slowly.
    #[snafu(display("the body did not arrive in time"))]
    TooSlow,
    /// The connection broke, or the body is malformed.
    #[snafu(display("the body ended early or is malformed"))]
    Incomplete,
}

/// Reads a body. An announced length is checked before a byte is read. The budget counts the body
/// until the last clone of the returned bytes is dropped.
pub async fn read_body_within<B>(
    mut body: B,
    limits: BodyLimits,
    budget: &ByteBudget,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let hint = body.size_hint();
    let mut buffer = BodyBuffer::new(limits.bytes, budget);
    ensure!(hint.lower() <= buffer.largest as u64, TooLargeSnafu);
    if let Some(announced) = hint.exact() {
        buffer.largest = announced as usize;
        buffer.reserve(announced as usize)?;
    }
    let started_at = Instant::now();
    let last_deadline = limits.time_limit.map(|limit| started_at + limit);
    let mut now = started_at;
    loop {
        let received = buffer.memory.as_slice().len();
        let deadline = limits.pace.next_deadline(started_at, received, now);
        let deadline = last_deadline.map_or(deadline, |last| last.min(deadline));
        // Checked for bytes that are ready as well, so that a steady trickle ends too.
        ensure!(now < deadline, TooSlowSnafu);
        let frame = timeout_at(deadline, body.frame()).await;
        let Some(frame) = frame.ok().context(TooSlowSnafu)? else {
            return Ok(buffer.into_bytes());
        };
        let frame = frame.ok().context(IncompleteSnafu)?;
        if let Ok(data) = frame.into_data() {
            buffer.append(&data)?;
        }
        if body.is_end_stream() {
            return Ok(buffer.into_bytes());
        }
        now = Instant::now();
    }
}

/// Limits for the rest of a body that is read and discarded.
#[derive(Debug, Clone, Copy)]
pub struct DiscardLimits {
    /// Largest number of bytes.
    pub bytes: usize,
    /// Longest time.
    pub time: Duration,
}

impl Default for DiscardLimits {
    fn default() -> Self {
        Self {
            bytes: 32 * 1024 * 1024,
            time: Duration::from_secs(10),
        }
    }
}

/// Reads the rest of a refused body and keeps nothing of it, so that the client can read the refusal:
/// closing a connection with unread bytes resets it.
pub async fn discard_body<B>(mut body: B, limits: DiscardLimits)
where
    B: Body<Data = Bytes> + Unpin,
{
    let deadline = Instant::now() + limits.time;
    let mut discarded = 0;
    while discarded <= limits.bytes
        && let Ok(Some(Ok(frame))) = timeout_at(deadline, body.frame()).await
    {
        discarded += frame.data_ref().map_or(0, Bytes::len);
    }
}

/// A body that is being read. Frames are copied, because each keeps the whole read buffer of the
/// connection in memory, however few bytes it has.
#[derive(Debug)]
pub struct BodyBuffer {
    memory: BodyMemory,
    /// Largest body, in bytes.
    largest: usize,
    /// Bytes for which the budget has room; at least those of `memory`.
    reserved: usize,
    /// Counts the memory of the reserved bytes.
    lease: ByteLease,
}

impl BodyBuffer {
    /// Creates a buffer for a body of at most `limit` bytes, and of at most what the budget has room
    /// for while it is empty.
    pub fn new(limit: usize, budget: &ByteBudget) -> Self {
        Self {
            memory: BodyMemory::new(),
            largest: limit.min(budget.largest_item()),
            reserved: 0,
            lease: budget.lease(),
        }
    }

    /// Appends a copy of a frame. Fails if the body is too large or the budget has no room.
    pub fn append(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let size = self.memory.as_slice().len() + data.len();
        ensure!(size <= self.largest, TooLargeSnafu);
        if size > self.reserved {
            self.reserve(size)?;
        }
        self.memory.append(data);
        Ok(())
    }

    /// Makes room for `size` bytes in all.
    fn reserve(&mut self, size: usize) -> Result<(), BodyError> {
        let charge = BodyMemory::charge(size, self.largest);
        self.lease.resize(charge).context(FullSnafu)?;
        let reserved = self.memory.reserve(size, self.largest);
        reserved.map_err(|_| BodyError::Full { source: NoRoom })?;
        self.reserved = charge;
        Ok(())
    }

    /// Body that was read. The budget counts it until its last clone is dropped.
    pub fn into_bytes(self) -> Bytes {
        if self.memory.as_slice().is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(HeldBody {
            memory: self.memory,
            _lease: self.lease,
        })
    }
}

/// A complete body with its share of the budget.
struct HeldBody {
    memory: BodyMemory,
    _lease: ByteLease,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        self.memory.as_slice()
    }
}
