//! Estimated load of one upstream.
//!
//! Combines the agent's load reports, which arrive late, with the requests that this entry has sent
//! or seen end since the last report was measured.

use std::collections::VecDeque;
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::UpstreamLoad;

use crate::BlockCount;
use crate::counts::TOKENS_PER_BLOCK;

/// Settings for weighting load reports.
#[derive(Debug, Clone, PartialEq)]
pub struct EstimateSettings {
    /// Age at which a report has half its initial weight; the mean load of all upstreams has the
    /// other half. With a constant weight, an old report would attract the requests of all entries
    /// to an upstream that was idle when it was measured.
    pub half_life: Duration,
    /// Maximum expected delay between the measurement of a report and its arrival. Finished
    /// requests are remembered for this long, because a report that arrives later may still include
    /// them.
    pub max_report_lag: Duration,
}

impl Default for EstimateSettings {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(4),
            max_report_lag: Duration::from_secs(10),
        }
    }
}

/// Load of an upstream, as reported by its agent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Blocks of all running and queued requests, from all entries.
    pub blocks: f64,
    /// Time of the measurement by the entry's clock; not later than the arrival of the report.
    pub measured_at: TimePoint,
}

impl LoadReport {
    /// Converts the load in an agent's message that was measured at `measured_at`.
    pub fn from_message(load: &UpstreamLoad, measured_at: TimePoint) -> Self {
        let running = f64::from(load.running);
        // Each running call counts as at least one block, because plain services have no tokens.
        let in_flight = (load.tokens_in_flight as f64 / TOKENS_PER_BLOCK as f64).max(running);
        let blocks_per_call = in_flight / running.max(1.0);
        Self {
            blocks: in_flight + f64::from(load.queued) * blocks_per_call.max(1.0),
            measured_at,
        }
    }
}

/// A running request that this entry has sent to the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RunningDispatch {
    sent_at: TimePoint,
    blocks: BlockCount,
}

/// A request that this entry has sent to the upstream and that has ended.
#[derive(Debug, Clone, Copy)]
struct FinishedDispatch {
    sent_at: TimePoint,
    finished_at: TimePoint,
    blocks: BlockCount,
}

/// Load estimate of one upstream.
#[derive(Debug, Clone, Default)]
pub struct LoadEstimate {
    report: Option<LoadReport>,
    /// Running requests of this entry that were sent after the report was measured, oldest first.
    unreported: VecDeque<RunningDispatch>,
    /// Sum of the blocks of `unreported`.
    unreported_blocks: u64,
    /// Finished requests of this entry that a report may still include, in the order in which they
    /// ended.
    finished: VecDeque<FinishedDispatch>,
    /// Sum of the blocks of those `finished` requests that the current report includes.
    finished_blocks: u64,
}

impl LoadEstimate {
    /// Replaces the report; one that was not measured after the current one has no effect.
    pub fn record_load(&mut self, report: LoadReport) {
        let last = self.report.map(|last| last.measured_at);
        if last.is_some_and(|last| report.measured_at <= last) {
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
        while let Some(finished) = self.finished.front()
            && finished.finished_at < measured_at
        {
            self.finished.pop_front();
        }
        let included = self
            .finished
            .iter()
            .filter(|finished| finished.sent_at < measured_at);
        self.finished_blocks = included.map(|finished| finished.blocks.get()).sum();
    }

    /// Adds a request of `blocks` that is sent now.
    pub fn dispatch(&mut self, blocks: BlockCount, now: TimePoint) {
        self.unreported_blocks += blocks.get();
        self.unreported.push_back(RunningDispatch {
            sent_at: now,
            blocks,
        });
    }

    /// Removes a request that was sent at `sent_at` and has ended.
    ///
    /// `blocks` and `sent_at` must be those of its [dispatch](Self::dispatch).
    pub fn finish(
        &mut self,
        blocks: BlockCount,
        sent_at: TimePoint,
        settings: &EstimateSettings,
        now: TimePoint,
    ) {
        let dispatch = RunningDispatch { sent_at, blocks };
        let first = self
            .unreported
            .partition_point(|other| other.sent_at < sent_at);
        let mut later = self.unreported.range(first..);
        if let Some(offset) = later.position(|other| *other == dispatch) {
            self.unreported.remove(first + offset);
            self.unreported_blocks -= blocks.get();
        } else {
            self.finished_blocks += blocks.get();
        }
        // A later report may have been measured while the request was still running.
        self.finished.push_back(FinishedDispatch {
            sent_at,
            finished_at: now,
            blocks,
        });
        self.prune_finished(settings, now);
    }

    fn prune_finished(&mut self, settings: &EstimateSettings, now: TimePoint) {
        let measured_at = self.measured_at();
        while let Some(finished) = self.finished.front()
            && now.since(finished.finished_at) > settings.max_report_lag
        {
            if measured_at.is_some_and(|measured_at| finished.sent_at < measured_at) {
                let blocks = finished.blocks.get();
                self.finished_blocks = self.finished_blocks.saturating_sub(blocks);
            }
            self.finished.pop_front();
        }
    }

    /// Utilisation according to the last report: reported blocks divided by `capacity`.
    pub fn reported_utilisation(&self, capacity: BlockCount) -> Option<f64> {
        let report = self.report?;
        Some(report.blocks / capacity.get().max(1) as f64)
    }

    /// Estimated number of blocks of running and queued requests.
    ///
    /// `mean_utilisation` is the mean utilisation of all upstreams. It replaces a missing report
    /// and makes up for the reduced weight of an old one.
    pub fn blocks(
        &self,
        capacity: BlockCount,
        mean_utilisation: f64,
        settings: &EstimateSettings,
        now: TimePoint,
    ) -> f64 {
        let unreported = self.unreported_blocks as f64;
        let mean_blocks = mean_utilisation * capacity.get() as f64;
        let Some(report) = self.report else {
            return mean_blocks + unreported;
        };
        let age = now.since(report.measured_at).as_secs_f64();
        let weight = (-age / settings.half_life.as_secs_f64()).exp2();
        let still_running = (report.blocks - self.finished_blocks as f64).max(0.0);
        weight * still_running + (1.0 - weight) * mean_blocks + unreported
    }

    /// Time at which the last report was measured; `None` without a report.
    pub fn measured_at(&self) -> Option<TimePoint> {
        self.report.map(|report| report.measured_at)
    }
}
