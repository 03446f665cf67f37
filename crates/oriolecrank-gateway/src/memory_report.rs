//! Logs what a process holds when it changes much.

use std::fmt::{self, Display};
use std::time::Duration;

use oriolecrank_net::intake::{HolderUse, MemoryHolders};
use oriolecrank_schema::event::LogEvent;
use tokio::time::interval;

/// Interval between two looks. Peaks in between are kept.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Levels into which the memory is divided; a line is logged when the level changes.
const LEVELS: usize = 8;

/// Holders with their bytes and peaks, as one field of a log line.
struct HolderList<'a>(&'a [HolderUse]);

impl Display for HolderList<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let held = self.0.iter().filter(|held| held.peak > 0);
        for (number, held) in held.enumerate() {
            let separator = if number == 0 { "" } else { ", " };
            write!(formatter, "{separator}{}", held.holder)?;
            if let Some(member) = &held.member {
                write!(formatter, " to {member}")?;
            }
            write!(formatter, " {} (peak {})", held.used, held.peak)?;
        }
        Ok(())
    }
}

/// Logs the bytes of all holders whenever their sum has reached another eighth of the memory, until it
/// is aborted.
pub(crate) async fn report_memory(holders: MemoryHolders) {
    let mut ticks = interval(REPORT_INTERVAL);
    let mut logged_level = 0;
    loop {
        ticks.tick().await;
        let (used, peak) = (holders.whole().used(), holders.whole().take_peak());
        let capacity = holders.whole().capacity();
        let level = peak / (capacity / LEVELS).max(1);
        let held = holders.take_uses();
        if level != logged_level {
            logged_level = level;
            tracing::info!(
                event = LogEvent::MemoryHeld.number(),
                used,
                peak,
                capacity,
                holders = %HolderList(&held),
                "the memory that this process holds has changed much"
            );
        }
    }
}
