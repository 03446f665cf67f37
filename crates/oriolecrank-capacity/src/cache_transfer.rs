//! Decides whether cached prefixes are transferred or recomputed.

use std::collections::VecDeque;
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, OrderAction};
use oriolecrank_schema::document::UpstreamId;

use crate::{TokenRate, UpstreamView};

/// Tokens per cache block.
const BLOCK_TOKENS: u64 = 1_000;

/// Settings of [`TransferPlanner`].
#[derive(Debug, Clone, PartialEq)]
pub struct TransferSettings {
    /// Bytes per cache block of 1,000 tokens.
    pub block_bytes: u64,
    /// Largest number of bytes transferred between regions per hour; this traffic is billed by
    /// volume.
    pub cross_region_bytes_per_hour: u64,
    /// Bytes transferred between regions that cost as much as one second of an engine.
    pub cross_region_bytes_per_engine_second: u64,
    /// Prefixes used less often than this are not transferred before a drain or a role change.
    pub min_uses_per_minute: f64,
}

impl Default for TransferSettings {
    fn default() -> Self {
        Self {
            block_bytes: 128 * 1024 * 1024,
            cross_region_bytes_per_hour: 64 * 1024 * 1024 * 1024,
            cross_region_bytes_per_engine_second: 1024 * 1024 * 1024,
            min_uses_per_minute: 1.0,
        }
    }
}

/// Network link between two upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TransferLink {
    /// Throughput in bytes per second; zero or less if the link is unusable.
    pub bytes_per_second: f64,
    /// Time until the first byte.
    pub latency: Duration,
    /// Whether the link crosses regions.
    pub crosses_regions: bool,
}

/// Whether a prefix is transferred or recomputed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferDecision {
    /// Transferring it is cheaper.
    Transfer {
        /// Bytes that count against the hourly limit between regions; zero within a region.
        cross_region_bytes: u64,
    },
    /// Recomputing it is cheaper, no transfer is possible, or the hourly limit between regions
    /// would be exceeded.
    Recompute,
}

/// A cached prefix and how often it is used. Prefixes used less often than
/// [`TransferSettings::min_uses_per_minute`] are not exported.
#[derive(Debug, Clone, PartialEq)]
pub struct HotPrefix {
    /// Length in cache blocks.
    pub blocks: u64,
    /// Uses per minute.
    pub uses_per_minute: f64,
}

/// Decides on transfers and enforces the hourly limit of the volume between regions.
#[derive(Debug, Clone, Default)]
pub struct TransferPlanner {
    settings: TransferSettings,
    /// Time and bytes of each transfer between regions in the last hour, oldest first.
    cross_region_transfers: VecDeque<(TimePoint, u64)>,
}

impl TransferPlanner {
    /// Creates a planner without earlier transfers.
    pub const fn new(settings: TransferSettings) -> Self {
        Self {
            settings,
            cross_region_transfers: VecDeque::new(),
        }
    }

    /// Compares the costs of transferring a prefix and of recomputing it at the rate `prefill`,
    /// both in engine-seconds. Does not count the transfer against the hourly limit.
    pub fn decide(
        &mut self,
        blocks: u64,
        link: &TransferLink,
        prefill: TokenRate,
        now: TimePoint,
    ) -> TransferDecision {
        if blocks == 0 || link.bytes_per_second <= 0.0 {
            return TransferDecision::Recompute;
        }
        let bytes = blocks.saturating_mul(self.settings.block_bytes);
        let cross_region_bytes = if link.crosses_regions { bytes } else { 0 };
        if self
            .cross_region_volume(now)
            .saturating_add(cross_region_bytes)
            > self.settings.cross_region_bytes_per_hour
        {
            return TransferDecision::Recompute;
        }
        let billing_seconds = cross_region_bytes as f64
            / self.settings.cross_region_bytes_per_engine_second.max(1) as f64;
        let transfer_seconds =
            link.latency.as_secs_f64() + bytes as f64 / link.bytes_per_second + billing_seconds;
        let recompute_seconds = (blocks * BLOCK_TOKENS) as f64 / prefill.as_f64();
        if transfer_seconds < recompute_seconds {
            TransferDecision::Transfer { cross_region_bytes }
        } else {
            TransferDecision::Recompute
        }
    }

    /// Returns the bytes transferred between regions in the last hour.
    pub fn cross_region_volume(&mut self, now: TimePoint) -> u64 {
        const HOUR: Duration = Duration::from_hours(1);
        while self
            .cross_region_transfers
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= HOUR)
        {
            self.cross_region_transfers.pop_front();
        }
        self.cross_region_transfers
            .iter()
            .map(|(_, bytes)| bytes)
            .sum()
    }

    /// Returns the order to export the hot prefixes of `source` before it drains or changes its
    /// role, and counts its bytes against the hourly limit.
    ///
    /// The target is the ready upstream of the same service and role with the best link: links
    /// within the region come first, then faster ones. The exported blocks fill at most half of its
    /// memory. Returns `None` without a target or if [`Self::decide`] prefers recomputing.
    pub fn plan_export_before_drain<'a>(
        &mut self,
        source: &UpstreamView,
        prefixes: &[HotPrefix],
        candidates: impl IntoIterator<Item = (&'a UpstreamView, TransferLink)>,
        prefill: TokenRate,
        now: TimePoint,
    ) -> Option<Command> {
        let min_uses = self.settings.min_uses_per_minute;
        let hot = prefixes
            .iter()
            .filter(|prefix| prefix.uses_per_minute >= min_uses);
        let blocks: u64 = hot.map(|prefix| prefix.blocks).sum();
        let (target, link) = candidates
            .into_iter()
            .filter(|(view, _)| view.is_ready() && view.upstream != source.upstream)
            .filter(|(view, _)| view.service == source.service && view.role == source.role)
            .min_by(|(_, one), (_, other)| {
                one.crosses_regions
                    .cmp(&other.crosses_regions)
                    .then(other.bytes_per_second.total_cmp(&one.bytes_per_second))
            })?;
        let blocks = blocks.min(target.capacity_blocks / 2);
        match self.decide(blocks, &link, prefill, now) {
            TransferDecision::Recompute => None,
            TransferDecision::Transfer { cross_region_bytes } => {
                self.cross_region_transfers
                    .push_back((now, cross_region_bytes));
                Some(export_order(source, &target.upstream, blocks))
            }
        }
    }
}

fn export_order(source: &UpstreamView, target: &UpstreamId, blocks: u64) -> Command {
    Command::PlaceOrder {
        upstream: source.upstream.clone(),
        action: OrderAction::ExportCache {
            target: target.clone(),
            blocks,
        },
        reason: "the cache is moved before the upstream stops serving it".to_owned(),
    }
}
