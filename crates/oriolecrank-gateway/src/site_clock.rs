//! True time in spite of steps of the time of day.
//!
//! Usage windows are windows of true time. The time of day of a machine may jump by seconds and back
//! again, so each process reads it once at its start and then follows the boot-time clock. A process
//! that starts during a jump is corrected by the median over several processes.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;

/// Offset of Unix time from the boot-time clock, in milliseconds.
type UnixOffset = i64;

/// Estimate of true time at one process.
#[derive(Debug)]
pub(crate) struct SiteClock {
    own: UnixOffset,
    /// Offsets that other processes have stated, by address. Locked alone and never across an await.
    others: Mutex<IndexMap<SocketAddr, UnixOffset>>,
}

/// Other processes that are remembered.
const MAX_OTHERS: usize = 16;

impl SiteClock {
    /// Reads the time of day.
    pub(crate) fn start(now: TimePoint) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_ms = since.map_or(0, |elapsed| (elapsed.as_millis() as u64).cast_signed());
        Self {
            own: unix_ms - now.as_millis().cast_signed(),
            others: Mutex::default(),
        }
    }

    /// Takes the Unix time that another process has stated just now.
    pub(crate) fn note(&self, process: SocketAddr, unix_ms: u64, now: TimePoint) {
        let mut others = self
            .others
            .lock()
            .expect("no holder of the clock lock panics");
        others.insert(
            process,
            unix_ms.cast_signed() - now.as_millis().cast_signed(),
        );
        if others.len() > MAX_OTHERS {
            others.shift_remove_index(0);
        }
    }

    /// Unix time as this process alone believes, in milliseconds.
    pub(crate) const fn own_unix_ms(&self, now: TimePoint) -> u64 {
        unix_ms(self.own, now)
    }

    /// Unix time by the median of all known processes, in milliseconds.
    pub(crate) fn unix_ms(&self, now: TimePoint) -> u64 {
        let others = self
            .others
            .lock()
            .expect("no holder of the clock lock panics");
        let mut offsets: Vec<UnixOffset> = others.values().copied().collect();
        offsets.push(self.own);
        offsets.sort_unstable();
        unix_ms(offsets[offsets.len() / 2], now)
    }
}

const fn unix_ms(offset: UnixOffset, now: TimePoint) -> u64 {
    let time = now.as_millis().cast_signed() + offset;
    if time < 0 { 0 } else { time.cast_unsigned() }
}
