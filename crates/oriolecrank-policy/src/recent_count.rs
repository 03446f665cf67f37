//! Counts over a sliding window.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

/// Number of buckets that the window is divided into. Events expire one bucket at a time.
const BUCKET_COUNT: u64 = 10;

/// Number of events within a sliding window, with a resolution of a tenth of the window.
#[derive(Debug, Clone)]
pub struct RecentCount {
    bucket_ms: u64,
    /// Ring buffer; bucket number `n` is at index `n % BUCKET_COUNT`.
    counts: [u64; BUCKET_COUNT as usize],
    /// Number of the newest bucket, counted from the origin of the clock.
    newest_bucket: u64,
    /// Sum over `counts`.
    sum: u64,
}

impl RecentCount {
    /// An empty count over `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            bucket_ms: (window.as_millis() as u64 / BUCKET_COUNT).max(1),
            counts: [0; BUCKET_COUNT as usize],
            newest_bucket: 0,
            sum: 0,
        }
    }

    /// Counts `count` events at `now`.
    pub fn add(&mut self, count: u64, now: TimePoint) {
        self.advance(now);
        self.counts[(self.newest_bucket % BUCKET_COUNT) as usize] += count;
        self.sum += count;
    }

    /// Number of events within the window that ends at `now`.
    pub fn get(&mut self, now: TimePoint) -> u64 {
        self.advance(now);
        self.sum
    }

    /// Clears the buckets that have left the window.
    fn advance(&mut self, now: TimePoint) {
        let bucket = now.as_millis() / self.bucket_ms;
        let elapsed_buckets = bucket.saturating_sub(self.newest_bucket).min(BUCKET_COUNT);
        for age in 0..elapsed_buckets {
            let index = ((bucket - age) % BUCKET_COUNT) as usize;
            self.sum -= self.counts[index];
            self.counts[index] = 0;
        }
        self.newest_bucket = self.newest_bucket.max(bucket);
    }
}
