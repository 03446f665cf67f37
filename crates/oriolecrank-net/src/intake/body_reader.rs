//! Reads bodies under a budget of bytes and of time.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt as _;
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};
use tokio::time::{Instant, timeout_at};

use crate::intake::byte_budget::{ByteBudget, ByteLease, NoRoom};

/// First allocation for a body without an announced length, in bytes.
const FIRST_ALLOCATION_BYTES: usize = 4 * 1024;

/// Bytes that the connection may hold beside the body while it is read: the default size limit of
/// its read buffer.
const READ_BUFFER_BYTES: usize = 64 * 1024;

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
        buffer.reserve(announced as usize)?;
    }
    let started_at = Instant::now();
    let last_deadline = limits.time_limit.map(|limit| started_at + limit);
    let mut now = started_at;
    loop {
        let received = buffer.bytes.len();
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

/// A body that is being read. Frames are copied, because each keeps the whole read buffer of the
/// connection in memory, however few bytes it has.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    /// Largest body, in bytes.
    largest: usize,
    /// Counts the allocation, and the read buffer of the connection while the body is read.
    lease: ByteLease,
}

impl BodyBuffer {
    /// Creates a buffer for a body of at most `limit` bytes, and of at most what the budget has room
    /// for while it is empty.
    pub fn new(limit: usize, budget: &ByteBudget) -> Self {
        let largest_held = budget.largest_item().saturating_sub(READ_BUFFER_BYTES);
        Self {
            bytes: Vec::new(),
            largest: limit.min(largest_held),
            lease: budget.lease(),
        }
    }

    /// Appends a copy of a frame. Fails if the body is too large or the budget has no room.
    pub fn append(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let size = self.bytes.len() + data.len();
        ensure!(size <= self.largest, TooLargeSnafu);
        if size > self.bytes.capacity() {
            let grown = (2 * self.bytes.capacity()).max(FIRST_ALLOCATION_BYTES);
            self.reserve(grown.max(size).min(self.largest))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Makes room for a body of `size` bytes.
    fn reserve(&mut self, size: usize) -> Result<(), BodyError> {
        // The buffer of a connection grows with what arrives at once.
        let read_buffer = if size > FIRST_ALLOCATION_BYTES {
            size.min(READ_BUFFER_BYTES)
        } else {
            0
        };
        self.lease.resize(size + read_buffer).context(FullSnafu)?;
        self.bytes.reserve_exact(size - self.bytes.len());
        Ok(())
    }

    /// Body that was read. The budget counts it until its last clone is dropped.
    pub fn into_bytes(mut self) -> Bytes {
        let size = self.bytes.capacity();
        if size == 0 {
            return Bytes::new();
        }
        let shrunk = self.lease.resize(size);
        debug_assert!(shrunk.is_ok(), "the lease counts at least the allocation");
        Bytes::from_owner(HeldBody {
            bytes: self.bytes,
            _lease: self.lease,
        })
    }
}

/// A complete body with its share of the budget.
struct HeldBody {
    bytes: Vec<u8>,
    _lease: ByteLease,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
