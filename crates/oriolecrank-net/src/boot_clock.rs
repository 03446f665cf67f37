//! The boot-time clock.

use oriolecrank_schema::TimePoint;
use rustix::time::{ClockId, clock_gettime};

/// Clock that also counts while the process is paused or the machine is suspended, so that leases
/// end during a pause.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// Present time.
    pub fn now(self) -> TimePoint {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        TimePoint::from_millis(seconds * 1_000 + nanos / 1_000_000)
    }
}
