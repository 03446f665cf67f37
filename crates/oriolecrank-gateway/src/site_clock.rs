//! Estimate of Unix time that is not affected by steps of the system clock.
//!
//! Usage windows are intervals of Unix time. The system clock of a machine may jump by seconds and
//! back again, so each process reads it once at its start and then follows the boot-time clock. A
//! process that starts while its system clock is wrong is corrected by the median over several
//! processes.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;

/// Offset of Unix time from the boot-time clock, in milliseconds.
type UnixOffset = i64;

/// Estimate of Unix time at one process.
#[derive(Debug)]
pub(crate) struct SiteClock {
    own_offset: UnixOffset,
    /// Offsets computed from the times that other processes have sent, by address. No other lock is
    /// held while this one is; never held across an await.
    peer_offsets: Mutex<IndexMap<SocketAddr, UnixOffset>>,
}

/// Largest number of other processes whose offset is stored; beyond it, the one first recorded is
/// dropped.
const MAX_PEERS: usize = 16;

impl SiteClock {
    /// Reads the system clock; `now` is the present time of the boot-time clock.
    pub(crate) fn start(now: TimePoint) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_ms = since_epoch.map_or(0, |elapsed| (elapsed.as_millis() as u64).cast_signed());
        Self {
            own_offset: unix_ms - now.as_millis().cast_signed(),
            peer_offsets: Mutex::default(),
        }
    }

    /// Records the Unix time that another process has sent just now.
    pub(crate) fn record_peer_time(&self, peer: SocketAddr, unix_ms: u64, now: TimePoint) {
        let mut peer_offsets = self
            .peer_offsets
            .lock()
            .expect("no holder of the clock lock panics");
        peer_offsets.insert(peer, unix_ms.cast_signed() - now.as_millis().cast_signed());
        if peer_offsets.len() > MAX_PEERS {
            peer_offsets.shift_remove_index(0);
        }
    }

    /// Unix time by the clock of this process alone, in milliseconds.
    pub(crate) const fn local_unix_ms(&self, now: TimePoint) -> u64 {
        unix_ms(self.own_offset, now)
    }

    /// Unix time by the median of all known processes, as a point in time of the replicated state.
    pub(crate) fn unix_time(&self, now: TimePoint) -> TimePoint {
        TimePoint::from_millis(self.unix_ms(now))
    }

    /// Unix time by the median of all known processes, in milliseconds.
    pub(crate) fn unix_ms(&self, now: TimePoint) -> u64 {
        let peer_offsets = self
            .peer_offsets
            .lock()
            .expect("no holder of the clock lock panics");
        let mut offsets: Vec<UnixOffset> = peer_offsets.values().copied().collect();
        offsets.push(self.own_offset);
        offsets.sort_unstable();
        unix_ms(offsets[offsets.len() / 2], now)
    }
}

const fn unix_ms(offset: UnixOffset, now: TimePoint) -> u64 {
    let time = now.as_millis().cast_signed() + offset;
    if time < 0 { 0 } else { time.cast_unsigned() }
}
