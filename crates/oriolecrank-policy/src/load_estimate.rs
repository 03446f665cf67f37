//! Estimated load of one upstream, from lagging reports and the entry's own dispatches.

use std::collections::VecDeque;
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::UpstreamLoad;

use crate::BlockCount;
use crate::counts::TOKENS_PER_BLOCK;

/// How reports are weighted.
#[derive(Debug, Clone, PartialEq)]
pub struct EstimateSettings {
    /// Age at which a report counts half; the other half is the mean of all upstreams. An old
    /// report that kept its weight would draw all entries to the upstream that was idle then.
    pub half_life: Duration,
    /// A report that was measured longer ago than this may still contain requests that have ended
    /// since; ended requests are remembered for as long.
    pub longest_lag: Duration,
}

impl Default for EstimateSettings {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(4),
            longest_lag: Duration::from_secs(10),
        }
    }
}

/// Load that an agent reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Blocks running and waiting.
    pub blocks: f64,
    /// When the agent measured, by the clock of the entry: time of arrival minus the usual lag.
    pub measured_at: TimePoint,
}

impl LoadReport {
    /// The report in a message that was measured at `measured_at`.
    pub fn from_message(load: &UpstreamLoad, measured_at: TimePoint) -> Self {
        let running = f64::from(load.running);
        // Each running call takes a block at least, also on a plain service, which has no tokens.
        let in_flight = (load.tokens_in_flight as f64 / TOKENS_PER_BLOCK as f64).max(running);
        let each = in_flight / running.max(1.0);
        Self {
            blocks: in_flight + f64::from(load.queued) * each.max(1.0),
            measured_at,
        }
    }
}

/// A request that this entry has sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OwnDispatch {
    sent_at: TimePoint,
    blocks: BlockCount,
}

/// A request of this entry that has ended.
#[derive(Debug, Clone, Copy)]
struct OwnFinish {
    sent_at: TimePoint,
    finished_at: TimePoint,
    blocks: BlockCount,
}

/// Load of one upstream.
#[derive(Debug, Clone, Default)]
pub struct LoadEstimate {
    report: Option<LoadReport>,
    /// Running dispatches that the report does not contain, oldest first.
    unreported: VecDeque<OwnDispatch>,
    /// Sum over `unreported`.
    unreported_blocks: u64,
    /// Ended dispatches that a report may contain as running, in the order in which they ended.
    ended: VecDeque<OwnFinish>,
    /// Sum over those of `ended` that the present report contains.
    ended_blocks: u64,
}

impl LoadEstimate {
    /// Takes a report; one that is older than the last has no effect.
    pub fn record_load(&mut self, report: LoadReport) {
        let known = self.report.map(|known| known.measured_at);
        if known.is_some_and(|known| report.measured_at <= known) {
            return;
        }
        let measured_at = report.measured_at;
        self.report = Some(report);
        while let Some(dispatch) = self.unreported.front()
            && dispatch.sent_at < measured_at
        {
            self.unreported_blocks -= dispatch.blocks.get();
            self.unreported.pop_front();
        }
        while let Some(ended) = self.ended.front()
            && ended.finished_at < measured_at
        {
            self.ended.pop_front();
        }
        let contained = self
            .ended
            .iter()
            .filter(|ended| ended.sent_at < measured_at);
        self.ended_blocks = contained.map(|ended| ended.blocks.get()).sum();
    }

    /// Counts a request that is sent now.
    pub fn dispatch(&mut self, blocks: BlockCount, now: TimePoint) {
        self.unreported_blocks += blocks.get();
        self.unreported.push_back(OwnDispatch {
            sent_at: now,
            blocks,
        });
    }

    /// Uncounts a request that was sent at `sent_at` and has ended.
    pub fn finish(
        &mut self,
        blocks: BlockCount,
        sent_at: TimePoint,
        settings: &EstimateSettings,
        now: TimePoint,
    ) {
        let dispatch = OwnDispatch { sent_at, blocks };
        let from = self
            .unreported
            .partition_point(|other| other.sent_at < sent_at);
        let mut later = self.unreported.range(from..);
        if let Some(offset) = later.position(|other| *other == dispatch) {
            self.unreported.remove(from + offset);
            self.unreported_blocks -= blocks.get();
        } else {
            self.ended_blocks += blocks.get();
        }
        // A report that arrives later may have been measured while the request was running.
        self.ended.push_back(OwnFinish {
            sent_at,
            finished_at: now,
            blocks,
        });
        self.forget_ended(settings, now);
    }

    fn forget_ended(&mut self, settings: &EstimateSettings, now: TimePoint) {
        let measured_at = self.measured_at();
        while let Some(ended) = self.ended.front()
            && now.since(ended.finished_at) > settings.longest_lag
        {
            if measured_at.is_some_and(|measured_at| ended.sent_at < measured_at) {
                let blocks = ended.blocks.get();
                self.ended_blocks = self.ended_blocks.saturating_sub(blocks);
            }
            self.ended.pop_front();
        }
    }

    /// Blocks per block of capacity in the last report.
    pub fn reported_utilisation(&self, capacity: BlockCount) -> Option<f64> {
        let report = self.report?;
        Some(report.blocks / capacity.get().max(1) as f64)
    }

    /// Estimated blocks running and waiting, where `mean` is the mean utilisation of all upstreams.
    pub fn blocks(
        &self,
        capacity: BlockCount,
        mean: f64,
        settings: &EstimateSettings,
        now: TimePoint,
    ) -> f64 {
        let unreported = self.unreported_blocks as f64;
        let usual = mean * capacity.get() as f64;
        let Some(report) = self.report else {
            return usual + unreported;
        };
        let age = now.since(report.measured_at).as_secs_f64();
        let weight = (-age / settings.half_life.as_secs_f64()).exp2();
        let still_running = (report.blocks - self.ended_blocks as f64).max(0.0);
        weight * still_running + (1.0 - weight) * usual + unreported
    }

    /// Time of the last report's measurement.
    pub fn measured_at(&self) -> Option<TimePoint> {
        self.report.map(|report| report.measured_at)
    }
}
