//! Demand and load as the leader hears of them.

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

/// Interval of the first ping of a reporter, whose true interval is not known.
const FIRST_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds of the interval between two pings. Pings that were held up arrive together, and one that
/// follows a long gap does not stand for the whole gap.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(100);
const LONGEST_INTERVAL: Duration = Duration::from_secs(10);

/// A load report older than this is stale. It is below the removal time of silent members (10 s).
const LOAD_LIFETIME: Duration = Duration::from_secs(5);

/// Smallest share of a service's upstreams whose loads have to be known for a decision.
const FRESH_LOAD_SHARE: f64 = 0.5;

/// Newest load of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// Incarnation of the agent that sent it.
    pub incarnation: u64,
    /// Number of the announcement that carried it.
    pub number: u64,
    /// Load.
    pub load: UpstreamLoad,
    /// Arrival.
    pub at: TimePoint,
}

/// What decisions are based on; in leader memory and empty at the start of a term.
#[derive(Debug, Default)]
pub struct InputTables {
    sequence: PingSequence,
    heard: IndexMap<ReporterId, TimePoint>,
    demand: DemandEstimator,
    capability: CapabilityEstimator,
    loads: IndexMap<UpstreamId, LoadReport>,
}

impl InputTables {
    /// Settings that the demand is estimated with.
    pub const fn demand_settings(&self) -> &DemandSettings {
        self.demand.settings()
    }

    /// Demand of a service over all classes.
    pub fn demand(&self, service: &ServiceId) -> DemandSummary {
        self.demand.service_summary(service)
    }

    /// Demand of a service for one class.
    pub fn class_demand(&self, service: &ServiceId, class: PriorityClass) -> DemandSummary {
        self.demand.summary(service, class)
    }

    /// Measured abilities.
    pub const fn capability(&self) -> &CapabilityEstimator {
        &self.capability
    }

    /// Newest load of an upstream.
    pub fn load(&self, upstream: &UpstreamId) -> Option<&LoadReport> {
        self.loads.get(upstream)
    }

    /// Whether demand and loads of a service may be acted on.
    pub fn freshness<'a>(
        &self,
        members: impl Iterator<Item = &'a UpstreamRecord>,
        now: TimePoint,
    ) -> Freshness {
        let (mut known, mut fresh) = (0_u32, 0_u32);
        for record in members {
            known += 1;
            let load = self.loads.get(&record.upstream);
            let is_fresh = load.is_some_and(|load| {
                load.incarnation == record.incarnation && now.since(load.at) <= LOAD_LIFETIME
            });
            fresh += u32::from(is_fresh);
        }
        if f64::from(fresh) < FRESH_LOAD_SHARE * f64::from(known) {
            return Freshness::Stale;
        }
        self.demand.freshness(now)
    }

    /// Forgets reporters and upstreams that have left; to be called before each decision.
    pub fn expire(&mut self, is_member: impl Fn(&UpstreamId) -> bool, now: TimePoint) {
        self.demand.expire(now);
        let gone: Vec<UpstreamId> = self
            .loads
            .keys()
            .filter(|upstream| !is_member(upstream))
            .cloned()
            .collect();
        for upstream in gone {
            self.loads.shift_remove(&upstream);
            self.capability.remove(&upstream);
        }
        let bound = self.demand.settings().forget_after;
        self.heard.retain(|_, at| now.since(*at) <= bound);
    }

    fn record_ping(&mut self, ping: &PingRequest, document: &CheckedDocument, now: TimePoint) {
        let start = self.sequence.note(ping);
        let reporter = ReporterId(ping.subscriber.clone());
        let last = self.heard.insert(reporter.clone(), now);
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
            incarnation: start.0,
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

/// Shared [`InputTables`]; clones share them.
///
/// Lock order: locked after the tables of the leader and the state, and never across an await.
#[derive(Debug, Clone, Default)]
pub struct CapacityInputs(Arc<Mutex<InputTables>>);

impl CapacityInputs {
    /// Tables with the given settings.
    pub fn new(demand: DemandSettings, capability: CapabilitySettings) -> Self {
        let tables = InputTables {
            demand: DemandEstimator::new(demand),
            capability: CapabilityEstimator::new(capability),
            ..InputTables::default()
        };
        Self(Arc::new(Mutex::new(tables)))
    }

    /// Begins a new term with empty tables.
    pub fn reset(&self) {
        *self.lock() = InputTables::default();
    }

    /// Takes the demand of a ping.
    pub fn record_ping(&self, ping: &PingRequest, document: &CheckedDocument, now: TimePoint) {
        self.lock().record_ping(ping, document, now);
    }

    /// Takes the load of an announcement; a repeated or older one has no effect.
    pub fn record_load(
        &self,
        record: &UpstreamRecord,
        number: u64,
        load: &UpstreamLoad,
        now: TimePoint,
    ) {
        self.lock().record_load(record, number, load, now);
    }

    /// Reads or expires the tables.
    pub fn with<R>(&self, read: impl FnOnce(&mut InputTables) -> R) -> R {
        read(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, InputTables> {
        self.0.lock().expect("no holder of the input lock panics")
    }
}
