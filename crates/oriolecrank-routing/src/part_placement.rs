//! Which engine was last given a shared prompt part, over all entries.
//!
//! An entry sees a small part of the requests with one part, so its own requests say little about
//! where the part is kept. Entries tell each other through the leader of the control group.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use serde::{Deserialize, Serialize};

use crate::names::UpstreamName;
use crate::prompt_shape::PartId;

/// Time for which an engine is believed to keep a part that was not used again. Engines drop the parts
/// that were used least recently; at the peaks of the deployments their memory turns over in 4 to 10 s.
const KEPT_FOR: Duration = Duration::from_secs(8);

/// Parts that one engine was given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedParts {
    /// The engine.
    pub upstream: UpstreamName,
    /// The parts.
    pub parts: Vec<PartId>,
}

#[derive(Debug, Clone)]
struct PlacementRecord {
    sequence: u64,
    /// Run of the entry that has placed the part.
    source: u64,
    part: PartId,
    upstream: UpstreamName,
    noted: TimePoint,
}

/// Recent placements in the order in which they became known.
#[derive(Debug, Default)]
pub struct PlacementLog {
    /// Sequences rise; the oldest record is first.
    records: VecDeque<PlacementRecord>,
    newest: u64,
}

impl PlacementLog {
    /// Notes that the entry with run `source` has given a part to an engine.
    pub fn record(&mut self, source: u64, part: PartId, upstream: &UpstreamName, now: TimePoint) {
        self.newest += 1;
        self.records.push_back(PlacementRecord {
            sequence: self.newest,
            source,
            part,
            upstream: upstream.clone(),
            noted: now,
        });
        while let Some(oldest) = self.records.front()
            && now.since(oldest.noted) > KEPT_FOR
        {
            self.records.pop_front();
        }
    }

    /// Sequence of the newest placement; 0 before the first one.
    pub const fn newest_sequence(&self) -> u64 {
        self.newest
    }

    /// Placements after `sequence`, the newest place of each part; without those of the entry with run
    /// `excluded_source`, which knows them.
    pub fn since(&self, sequence: u64, excluded_source: Option<u64>) -> Vec<PlacedParts> {
        let newer = self.records.iter().rev();
        let newer = newer.take_while(|record| record.sequence > sequence);
        let mut places: IndexMap<PartId, &UpstreamName> = IndexMap::new();
        for record in newer.filter(|record| Some(record.source) != excluded_source) {
            places.entry(record.part).or_insert(&record.upstream);
        }
        let mut engines: IndexMap<&UpstreamName, Vec<PartId>> = IndexMap::new();
        for (part, upstream) in places {
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
struct KnownPlace {
    upstream: UpstreamName,
    noted: TimePoint,
}

/// Newest place of each part, at an entry.
#[derive(Debug, Default)]
pub struct PartPlacements {
    places: IndexMap<PartId, KnownPlace>,
}

impl PartPlacements {
    /// Notes that an engine was given a part.
    pub fn record(&mut self, part: PartId, upstream: &UpstreamName, now: TimePoint) {
        let place = KnownPlace {
            upstream: upstream.clone(),
            noted: now,
        };
        self.places.insert(part, place);
    }

    /// Engine that probably keeps a part.
    pub fn find(&self, part: PartId, now: TimePoint) -> Option<&UpstreamName> {
        let place = self.places.get(&part)?;
        (now.since(place.noted) <= KEPT_FOR).then_some(&place.upstream)
    }

    /// Forgets parts that are probably not kept any more.
    pub fn prune(&mut self, now: TimePoint) {
        self.places
            .retain(|_, place| now.since(place.noted) <= KEPT_FOR);
    }
}
