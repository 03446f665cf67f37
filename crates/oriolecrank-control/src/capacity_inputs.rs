//! Demand and load that entries and agents report to the leader.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_capacity::{
    CallShape, CapabilityEstimator, CapabilitySettings, DemandEstimator, DemandKey, DemandReport,
    DemandSettings, DemandSummary, Freshness, ReporterId,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{self as wire, PingRequest, UpstreamRecord};
use oriolecrank_schema::data_path::UpstreamLoad;
use oriolecrank_schema::document::{PriorityClass, ServiceId, UpstreamId};
use oriolecrank_state::CheckedDocument;

use crate::ping_sequence::PingSequence;

/// Time that the first ping of a reporter is assumed to cover; the actual time is unknown.
const FIRST_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time that a ping is assumed to cover, because delayed pings may arrive at almost the
/// same time.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time that a ping is assumed to cover, because a ping after a long gap does not represent
/// the whole gap.
const LONGEST_INTERVAL: Duration = Duration::from_secs(10);

/// A load report older than this is stale. The time is shorter than that after which a silent
/// member is removed (10 s).
const LOAD_LIFETIME: Duration = Duration::from_secs(5);

/// Smallest fraction of a service's upstreams whose loads must be recent for a decision.
const MIN_FRESH_LOAD_FRACTION: f64 = 0.5;

/// Newest reported load of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// Incarnation of the agent that reported it.
    pub incarnation: u64,
    /// Number of the announcement that contained it, within the incarnation.
    pub number: u64,
    /// Load at the time of the announcement.
    pub load: UpstreamLoad,
    /// Time of arrival at the leader, by the leader's clock.
    pub at: TimePoint,
}

/// Reported demand and load, and the throughput measured from them, on which capacity decisions are
/// based. Kept in the leader's memory only; empty at the start of a term.
#[derive(Debug, Default)]
pub struct InputTables {
    sequence: PingSequence,
    /// Time of the last ping of each reporter.
    last_pings: IndexMap<ReporterId, TimePoint>,
    demand: DemandEstimator,
    capability: CapabilityEstimator,
    loads: IndexMap<UpstreamId, LoadReport>,
}

impl InputTables {
    /// Settings of the demand estimate.
    pub const fn demand_settings(&self) -> &DemandSettings {
        self.demand.settings()
    }

    /// Estimated demand of a service, summed over all priority classes.
    pub fn demand(&self, service: &ServiceId) -> DemandSummary {
        self.demand.service_summary(service)
    }

    /// Estimated demand of a service in one priority class.
    pub fn class_demand(&self, service: &ServiceId, class: PriorityClass) -> DemandSummary {
        self.demand.summary(service, class)
    }

    /// Measured throughput of the upstreams.
    pub const fn capability(&self) -> &CapabilityEstimator {
        &self.capability
    }

    /// Newest load of an upstream; `None` if it has reported none in this term.
    pub fn load(&self, upstream: &UpstreamId) -> Option<&LoadReport> {
        self.loads.get(upstream)
    }

    /// Whether the demand estimate and the loads of a service are recent enough to act on.
    /// `members` are the members of this service; too few recent loads among them make the result
    /// stale.
    pub fn freshness<'a>(
        &self,
        members: impl Iterator<Item = &'a UpstreamRecord>,
        now: TimePoint,
    ) -> Freshness {
        let (mut total, mut fresh) = (0_u32, 0_u32);
        for record in members {
            total += 1;
            let load = self.loads.get(&record.upstream);
            let is_fresh = load.is_some_and(|load| {
                load.incarnation == record.incarnation && now.since(load.at) <= LOAD_LIFETIME
            });
            fresh += u32::from(is_fresh);
        }
        if f64::from(fresh) < MIN_FRESH_LOAD_FRACTION * f64::from(total) {
            return Freshness::Stale;
        }
        self.demand.freshness(now)
    }

    /// Removes reporters that have been silent for too long, and upstreams that are no longer
    /// members. Must be called before each decision.
    pub fn expire(&mut self, is_member: impl Fn(&UpstreamId) -> bool, now: TimePoint) {
        self.demand.expire(now);
        let departed: Vec<UpstreamId> = self
            .loads
            .keys()
            .filter(|upstream| !is_member(upstream))
            .cloned()
            .collect();
        for upstream in departed {
            self.loads.shift_remove(&upstream);
            self.capability.remove(&upstream);
        }
        let retention = self.demand.settings().forget_after;
        self.last_pings.retain(|_, at| now.since(*at) <= retention);
    }

    fn record_ping(&mut self, ping: &PingRequest, document: &CheckedDocument, now: TimePoint) {
        let incarnation = self.sequence.record(ping);
        let reporter = ReporterId(ping.subscriber.clone());
        let last = self.last_pings.insert(reporter.clone(), now);
        let interval = last.map_or(FIRST_INTERVAL, |last| now.since(last));
        let tokens = ping.demand.iter().filter_map(|entry| {
            let class = document.service(&entry.service)?.class;
            let key = DemandKey {
                service: entry.service.clone(),
                class,
                shape: match entry.shape {
                    wire::CallShape::PromptHeavy => CallShape::PromptHeavy,
                    wire::CallShape::OutputHeavy => CallShape::OutputHeavy,
                },
            };
            let output = entry.tokens.saturating_sub(entry.prompt_tokens);
            Some((key, entry.prompt_tokens, output))
        });
        let report = DemandReport {
            reporter,
            incarnation: incarnation.0,
            sequence: ping.ping,
            interval: interval.clamp(SHORTEST_INTERVAL, LONGEST_INTERVAL),
            tokens: tokens.collect(),
        };
        self.demand.observe(&report, now);
    }

    fn record_load(
        &mut self,
        record: &UpstreamRecord,
        number: u64,
        load: &UpstreamLoad,
        now: TimePoint,
    ) {
        let known = self.loads.get(&record.upstream);
        let newest = known.map(|known| (known.incarnation, known.number));
        if newest.is_some_and(|newest| newest >= (record.incarnation, number)) {
            return;
        }
        self.capability
            .observe(&record.upstream, record.role, load, now);
        let report = LoadReport {
            incarnation: record.incarnation,
            number,
            load: load.clone(),
            at: now,
        };
        self.loads.insert(record.upstream.clone(), report);
    }
}

/// Shared [`InputTables`]; all clones refer to the same tables.
///
/// Lock order: locked after the leader's tables and the replicated state; never held across an
/// await.
#[derive(Debug, Clone, Default)]
pub struct CapacityInputs(Arc<Mutex<InputTables>>);

impl CapacityInputs {
    /// Creates empty tables with the given settings.
    pub fn new(demand: DemandSettings, capability: CapabilitySettings) -> Self {
        let tables = InputTables {
            demand: DemandEstimator::new(demand),
            capability: CapabilityEstimator::new(capability),
            ..InputTables::default()
        };
        Self(Arc::new(Mutex::new(tables)))
    }

    /// Replaces the tables by empty ones with default settings, for a new term.
    pub fn reset(&self) {
        *self.lock() = InputTables::default();
    }

    /// Records the demand in a ping that arrived at `now`. Services that the document does not have
    /// are ignored.
    pub fn record_ping(&self, ping: &PingRequest, document: &CheckedDocument, now: TimePoint) {
        self.lock().record_ping(ping, document, now);
    }

    /// Records the load in an announcement. A repeated or older announcement has no effect.
    pub fn record_load(
        &self,
        record: &UpstreamRecord,
        number: u64,
        load: &UpstreamLoad,
        now: TimePoint,
    ) {
        self.lock().record_load(record, number, load, now);
    }

    /// Calls `read` with the tables locked, to read or to expire them.
    pub fn with<R>(&self, read: impl FnOnce(&mut InputTables) -> R) -> R {
        read(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, InputTables> {
        self.0.lock().expect("no holder of the input lock panics")
    }
}
