//! Last pings of the entry processes, which subscribe to the configuration.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{DemandEntry, PingRequest};

/// A subscriber counts as live for this long after its last ping. Equal to the default freshness
/// lease, after which an entry process refuses requests that require a key.
const LIVE_WITHIN: Duration = Duration::from_secs(3);

/// A subscriber is removed this long after its last ping.
const REMOVE_AFTER: Duration = Duration::from_mins(1);

/// Shortest time between two searches for subscribers to remove.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);

/// Last ping of a subscriber.
#[derive(Debug, Clone)]
pub struct SubscriberRecord {
    /// Revision of the configuration that the subscriber has in force.
    pub revision: u64,
    /// Demand that the subscriber reported.
    pub demand: Vec<DemandEntry>,
    pinged_at: TimePoint,
}

/// How many live subscribers there are, and which of them do not have a revision in force yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InForceReport {
    /// Lowest revision in force at a live subscriber; `None` if no subscriber is live.
    pub lowest: Option<u64>,
    /// Number of live subscribers.
    pub live: usize,
    /// Names of the live subscribers with an older revision.
    pub lagging: Vec<String>,
}

/// Subscribers by name; only the leader has this table, in memory.
#[derive(Debug, Default)]
pub struct SubscriberTable {
    subscribers: IndexMap<String, SubscriberRecord>,
    pruned_at: TimePoint,
}

impl SubscriberTable {
    /// Records a ping, which replaces the last one of the same subscriber.
    pub fn record(&mut self, ping: &PingRequest, now: TimePoint) {
        let record = SubscriberRecord {
            revision: ping.revision,
            demand: ping.demand.clone(),
            pinged_at: now,
        };
        self.subscribers.insert(ping.subscriber.clone(), record);
        self.prune(now);
    }

    /// Removes subscribers that stopped pinging. Checks every subscriber, so it runs at most once
    /// in each [`PRUNE_INTERVAL`].
    fn prune(&mut self, now: TimePoint) {
        if now < self.pruned_at + PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        self.subscribers
            .retain(|_, record| now.since(record.pinged_at) <= REMOVE_AFTER);
    }

    /// Live subscribers with their names.
    pub fn live(&self, now: TimePoint) -> impl Iterator<Item = (&str, &SubscriberRecord)> {
        let live = move |record: &SubscriberRecord| now.since(record.pinged_at) <= LIVE_WITHIN;
        let subscribers = self
            .subscribers
            .iter()
            .filter(move |(_, record)| live(record));
        subscribers.map(|(name, record)| (name.as_str(), record))
    }

    /// Reports which live subscribers have neither `revision` nor a later one in force.
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
