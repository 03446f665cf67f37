//! Clock that counts from the boot of the machine.

use oriolecrank_schema::TimePoint;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock (`CLOCK_BOOTTIME`). It keeps running while the process is paused or the machine
/// is suspended, so that leases expire during a pause.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// Time since boot, in whole milliseconds.
    pub fn now(self) -> TimePoint {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        TimePoint::from_millis(seconds * 1_000 + nanos / 1_000_000)
    }
}
