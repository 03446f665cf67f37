//! Counts over a sliding window.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

/// Parts of the window; the oldest part leaves as a whole.
const PARTS: u64 = 10;

/// Number of events within the last `window`, with the resolution of a tenth of it.
#[derive(Debug, Clone)]
pub struct RecentCount {
    part_ms: u64,
    counts: [u64; PARTS as usize],
    /// Number of the newest part since the origin of the clock.
    newest: u64,
    /// Sum over `counts`.
    sum: u64,
}

impl RecentCount {
    /// An empty count over `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            part_ms: (window.as_millis() as u64 / PARTS).max(1),
            counts: [0; PARTS as usize],
            newest: 0,
            sum: 0,
        }
    }

    /// Adds events.
    pub fn add(&mut self, count: u64, now: TimePoint) {
        self.advance(now);
        self.counts[(self.newest % PARTS) as usize] += count;
        self.sum += count;
    }

    /// Events within the window.
    pub fn get(&mut self, now: TimePoint) -> u64 {
        self.advance(now);
        self.sum
    }

    fn advance(&mut self, now: TimePoint) {
        let part = now.as_millis() / self.part_ms;
        let passed = part.saturating_sub(self.newest).min(PARTS);
        for step in 0..passed {
            let index = ((part - step) % PARTS) as usize;
            self.sum -= self.counts[index];
            self.counts[index] = 0;
        }
        self.newest = self.newest.max(part);
    }
}
