//! Engine to which each shared prompt part was last sent, over all entries.
//!
//! One entry sees only a small share of the requests with a given part, so its own requests say
//! little about where the part is cached. Entries exchange placements through the leader of the
//! control group.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use serde::{Deserialize, Serialize};

use crate::names::UpstreamName;
use crate::prompt_shape::PartId;

/// Time for which an engine is expected to cache a part that is not used again. Engines evict the
/// least recently used parts; at peak load of the deployments their cache turns over in 4 to 10 s.
const CACHE_RETENTION: Duration = Duration::from_secs(8);

/// Time for which an entry remembers where a part was. An engine with much memory and little traffic
/// still caches the part then; in any case the part exists somewhere.
const PLACEMENT_MEMORY: Duration = Duration::from_mins(1);

/// Prompt parts that were sent to one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedParts {
    /// Engine that received the parts.
    pub upstream: UpstreamName,
    /// Shared prompt parts that it probably caches.
    pub parts: Vec<PartId>,
}

#[derive(Debug, Clone)]
struct PlacementRecord {
    sequence: u64,
    /// Run number of the entry that has sent the part.
    entry_run: u64,
    part: PartId,
    upstream: UpstreamName,
    recorded_at: TimePoint,
}

/// Recent placements in the order in which they were recorded.
#[derive(Debug, Default)]
pub struct PlacementLog {
    /// Oldest first, which is the order of the sequence numbers.
    records: VecDeque<PlacementRecord>,
    newest_sequence: u64,
}

impl PlacementLog {
    /// Records that the entry with run number `entry_run` has sent a part to an engine. Expired
    /// records are dropped.
    pub fn record(
        &mut self,
        entry_run: u64,
        part: PartId,
        upstream: &UpstreamName,
        now: TimePoint,
    ) {
        self.newest_sequence += 1;
        self.records.push_back(PlacementRecord {
            sequence: self.newest_sequence,
            entry_run,
            part,
            upstream: upstream.clone(),
            recorded_at: now,
        });
        while let Some(oldest) = self.records.front()
            && now.since(oldest.recorded_at) > CACHE_RETENTION
        {
            self.records.pop_front();
        }
    }

    /// Sequence number of the newest placement; 0 before the first one.
    pub const fn newest_sequence(&self) -> u64 {
        self.newest_sequence
    }

    /// Placements after `sequence`, only the newest of each part. Those of the entry with run
    /// number `excluded_run`, to which the result is sent, are left out: it knows them already.
    pub fn since(&self, sequence: u64, excluded_run: Option<u64>) -> Vec<PlacedParts> {
        let newer = self.records.iter().rev();
        let newer = newer.take_while(|record| record.sequence > sequence);
        let mut placements: IndexMap<PartId, &UpstreamName> = IndexMap::new();
        for record in newer.filter(|record| Some(record.entry_run) != excluded_run) {
            placements.entry(record.part).or_insert(&record.upstream);
        }
        let mut engines: IndexMap<&UpstreamName, Vec<PartId>> = IndexMap::new();
        for (part, upstream) in placements {
            engines.entry(upstream).or_default().push(part);
        }
        let engines = engines.into_iter().map(|(upstream, parts)| PlacedParts {
            upstream: upstream.clone(),
            parts,
        });
        engines.collect()
    }
}

#[derive(Debug)]
struct PartPlacement {
    upstream: UpstreamName,
    recorded_at: TimePoint,
}

/// Newest placement of each part, at an entry.
#[derive(Debug, Default)]
pub struct PartPlacements {
    placements: IndexMap<PartId, PartPlacement>,
}

impl PartPlacements {
    /// Records that a part was sent to an engine.
    pub fn record(&mut self, part: PartId, upstream: &UpstreamName, now: TimePoint) {
        let placement = PartPlacement {
            upstream: upstream.clone(),
            recorded_at: now,
        };
        self.placements.insert(part, placement);
    }

    /// Engine that caches a part; `None` if no placement is known or it is too old to rely on.
    pub fn find(&self, part: PartId, now: TimePoint) -> Option<&UpstreamName> {
        let placement = self.placements.get(&part)?;
        (now.since(placement.recorded_at) <= CACHE_RETENTION).then_some(&placement.upstream)
    }

    /// Engine that has cached a part within the last minute and may still do so; `None` if the part is
    /// new to this entry.
    pub fn find_earlier(&self, part: PartId) -> Option<&UpstreamName> {
        let placement = self.placements.get(&part)?;
        Some(&placement.upstream)
    }

    /// Removes parts that have not been used for a minute.
    pub fn prune(&mut self, now: TimePoint) {
        self.placements
            .retain(|_, placement| now.since(placement.recorded_at) <= PLACEMENT_MEMORY);
    }
}
