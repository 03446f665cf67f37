//! Decides whether cached prefixes are moved or recomputed.

use std::collections::VecDeque;
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, OrderAction};
use oriolecrank_schema::document::UpstreamId;

use crate::{TokenRate, UpstreamView};

/// Tokens of one block of cache.
const BLOCK_TOKENS: u64 = 1_000;

/// Settings of [`TransferPlanner`].
#[derive(Debug, Clone, PartialEq)]
pub struct TransferSettings {
    /// Cache bytes of one block of 1,000 tokens.
    pub block_bytes: u64,
    /// Largest volume between regions in one hour, in bytes; it is paid by volume.
    pub cross_region_bytes_per_hour: u64,
    /// Bytes between regions that are worth one second of an engine.
    pub cross_region_bytes_per_engine_second: u64,
    /// A prefix that is used less often is not moved ahead of a drain or a role change.
    pub fewest_uses_per_minute: f64,
}

impl Default for TransferSettings {
    fn default() -> Self {
        Self {
            block_bytes: 128 * 1024 * 1024,
            cross_region_bytes_per_hour: 64 * 1024 * 1024 * 1024,
            cross_region_bytes_per_engine_second: 1024 * 1024 * 1024,
            fewest_uses_per_minute: 1.0,
        }
    }
}

/// Link between two upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TransferLink {
    /// Bytes per second.
    pub bytes_per_second: f64,
    /// Time until the first byte.
    pub latency: Duration,
    /// Whether the link crosses regions.
    pub crosses_regions: bool,
}

/// Whether a prefix is moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferDecision {
    /// Moving it is cheaper.
    Transfer {
        /// Volume that counts against the bound between regions.
        cross_region_bytes: u64,
    },
    /// Computing it again is cheaper, or the volume between regions is used up.
    Recompute,
}

/// A prefix in the cache of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct HotPrefix {
    /// Length in blocks.
    pub blocks: u64,
    /// Uses per minute.
    pub uses_per_minute: f64,
}

/// Decides about transfers and counts the volume between regions.
#[derive(Debug, Clone, Default)]
pub struct TransferPlanner {
    settings: TransferSettings,
    /// Volume between regions in the last hour, oldest first.
    volume: VecDeque<(TimePoint, u64)>,
}

impl TransferPlanner {
    /// A planner without counted volume.
    pub const fn new(settings: TransferSettings) -> Self {
        Self {
            settings,
            volume: VecDeque::new(),
        }
    }

    /// Compares moving a prefix with computing it again at `prefill` tokens per second.
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
        if self.counted(now).saturating_add(cross_region_bytes)
            > self.settings.cross_region_bytes_per_hour
        {
            return TransferDecision::Recompute;
        }
        let price = cross_region_bytes as f64
            / self.settings.cross_region_bytes_per_engine_second.max(1) as f64;
        let moving = link.latency.as_secs_f64() + bytes as f64 / link.bytes_per_second + price;
        let computing = (blocks * BLOCK_TOKENS) as f64 / prefill.as_f64();
        if moving < computing {
            TransferDecision::Transfer { cross_region_bytes }
        } else {
            TransferDecision::Recompute
        }
    }

    /// Volume between regions in the last hour.
    pub fn counted(&mut self, now: TimePoint) -> u64 {
        const HOUR: Duration = Duration::from_hours(1);
        while self
            .volume
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= HOUR)
        {
            self.volume.pop_front();
        }
        self.volume.iter().map(|(_, bytes)| bytes).sum()
    }

    /// Orders the export of the hot prefixes of `source` before it drains or changes its role.
    ///
    /// The target is the ready upstream of the same service and role with the cheapest link; without
    /// one that is worth it, nothing is moved.
    pub fn before_drain<'a>(
        &mut self,
        source: &UpstreamView,
        prefixes: &[HotPrefix],
        candidates: impl IntoIterator<Item = (&'a UpstreamView, TransferLink)>,
        prefill: TokenRate,
        now: TimePoint,
    ) -> Option<Command> {
        let fewest = self.settings.fewest_uses_per_minute;
        let hot = prefixes
            .iter()
            .filter(|prefix| prefix.uses_per_minute >= fewest);
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
                self.volume.push_back((now, cross_region_bytes));
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
