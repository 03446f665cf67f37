//! Entries that follow the configuration.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{DemandEntry, PingRequest};

/// A subscriber that has not pinged for this long no longer serves keyed work: it is the freshness
/// lease of entries.
const LIVE_WITHIN: Duration = Duration::from_secs(3);

/// A subscriber is forgotten after this time.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Time between two searches for subscribers to forget.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);

/// What is known of a subscriber.
#[derive(Debug, Clone)]
pub struct SubscriberRecord {
    /// Revision that it has in force.
    pub revision: u64,
    /// Newest demand that it reported.
    pub demand: Vec<DemandEntry>,
    pinged_at: TimePoint,
}

/// How far a revision is in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InForceReport {
    /// Lowest revision in force at a live subscriber.
    pub lowest: Option<u64>,
    /// Number of live subscribers.
    pub live: usize,
    /// Live subscribers with an older revision.
    pub lagging: Vec<String>,
}

/// Subscribers by name; kept by the leader in memory.
#[derive(Debug, Default)]
pub struct SubscriberTable {
    subscribers: IndexMap<String, SubscriberRecord>,
    pruned_at: TimePoint,
}

impl SubscriberTable {
    /// Takes a ping.
    pub fn record(&mut self, ping: &PingRequest, now: TimePoint) {
        let record = SubscriberRecord {
            revision: ping.revision,
            demand: ping.demand.clone(),
            pinged_at: now,
        };
        self.subscribers.insert(ping.subscriber.clone(), record);
        self.prune(now);
    }

    /// Forgets old subscribers, at most once each [`PRUNE_INTERVAL`], because it looks at all.
    fn prune(&mut self, now: TimePoint) {
        if now < self.pruned_at + PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        self.subscribers
            .retain(|_, record| now.since(record.pinged_at) <= FORGET_AFTER);
    }

    /// Subscribers that still serve keyed work.
    pub fn live(&self, now: TimePoint) -> impl Iterator<Item = (&str, &SubscriberRecord)> {
        let live = move |record: &SubscriberRecord| now.since(record.pinged_at) <= LIVE_WITHIN;
        let subscribers = self
            .subscribers
            .iter()
            .filter(move |(_, record)| live(record));
        subscribers.map(|(name, record)| (name.as_str(), record))
    }

    /// How far `revision` is in force.
    pub fn in_force(&self, revision: u64, now: TimePoint) -> InForceReport {
        let mut report = InForceReport::default();
        for (name, record) in self.live(now) {
            report.live += 1;
            report.lowest = Some(
                report
                    .lowest
                    .map_or(record.revision, |low| low.min(record.revision)),
            );
            if record.revision < revision {
                report.lagging.push(name.to_owned());
            }
        }
        report
    }
}
