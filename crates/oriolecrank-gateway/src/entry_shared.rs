//! What the parts of an entry share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, RwLock};
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_net::{ClusterSecret, HttpClient};
use oriolecrank_routing::{
    CallerTimeoutRange, ChooserSettings, DirectChooser, EntryRun, OrganisationName, PartId,
    PlacedParts, PlacementLog, RetryGrant, RouteTable, ServiceName, SharedRetryBudget,
    UpstreamAnnouncement, UpstreamDirectory, UpstreamName, UsageCounter, WindowNumber,
};
use oriolecrank_schema::TimePoint;

use crate::entry_metrics::EntryMetrics;
use crate::site_clock::SiteClock;
use crate::site_messages::{AgedAnnouncement, NamedLoad};

/// Time after the signal to stop in which requests are still taken. Callers are sent elsewhere within
/// about two seconds; a stream that begins later may not end before the process is killed, and the
/// callers' rules excuse that only within three seconds, of which the way to the entry takes a part.
const TAKE_AFTER_STOP: Duration = Duration::from_millis(2_900);

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySiteOptions {
    /// Run of the entry.
    pub run: EntryRun,
    /// Address for callers.
    pub caller_listen: SocketAddr,
    /// Address of the readiness question.
    pub ready_listen: SocketAddr,
    /// Address of the metrics; `None` if they are not served.
    pub metrics_listen: Option<SocketAddr>,
    /// Secret between the processes.
    pub secret: ClusterSecret,
    /// Rules of the choice of upstreams.
    pub chooser: ChooserSettings,
    /// Extra attempts that each service grants to all entries.
    pub retry_grant: RetryGrant,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time between the signal to stop and the moment at which the process is killed.
    pub shutdown_limit: Duration,
}

/// Upstreams and budget of one service.
#[derive(Debug)]
pub(crate) struct ServiceLane {
    pub(crate) chooser: DirectChooser,
    pub(crate) budget: SharedRetryBudget,
}

/// Tables of the request path.
#[derive(Debug, Default)]
pub(crate) struct LaneTables {
    /// All upstreams, to order statements that arrive over several control instances.
    directory: UpstreamDirectory,
    lanes: IndexMap<ServiceName, ServiceLane>,
}

/// State of an entry.
///
/// Lock order: each lock is taken alone and never held across an await.
#[derive(Debug)]
pub(crate) struct EntryShared<D> {
    pub(crate) options: EntrySiteOptions,
    pub(crate) dialect: Arc<D>,
    pub(crate) client: HttpClient,
    pub(crate) clock: SiteClock,
    pub(crate) metrics: EntryMetrics,
    /// Document in force; its version never falls.
    table: RwLock<Option<Arc<RouteTable>>>,
    tables: Mutex<LaneTables>,
    usage: Mutex<UsageCounter>,
    /// Own placements of shared prompt parts, for the control instances.
    placements: Mutex<PlacementLog>,
    /// Patience of callers, by the name of the route.
    caller_timeout: Mutex<IndexMap<String, CallerTimeoutRange>>,
    /// Entries that share the fixed part of the grant.
    entries: AtomicU32,
    /// When the entry was asked to stop.
    stopped: OnceLock<TimePoint>,
}

impl<D> EntryShared<D> {
    pub(crate) fn new(
        options: EntrySiteOptions,
        dialect: Arc<D>,
        client: HttpClient,
        now: TimePoint,
    ) -> Self {
        Self {
            options,
            dialect,
            client,
            clock: SiteClock::start(now),
            metrics: EntryMetrics::default(),
            table: RwLock::default(),
            tables: Mutex::default(),
            usage: Mutex::default(),
            placements: Mutex::default(),
            caller_timeout: Mutex::default(),
            entries: AtomicU32::new(0),
            stopped: OnceLock::new(),
        }
    }

    /// The document in force.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        let table = self
            .table
            .read()
            .expect("no holder of the table lock panics");
        table.clone()
    }

    /// Version of the document in force; 0 before the first one.
    pub(crate) fn version(&self) -> u64 {
        self.table().map_or(0, |table| table.version())
    }

    /// Puts a document in force; false if it is not newer.
    pub(crate) fn put_in_force(&self, table: RouteTable) -> bool {
        let table = Arc::new(table);
        {
            let mut known = self
                .table
                .write()
                .expect("no holder of the table lock panics");
            if known
                .as_ref()
                .is_some_and(|known| known.version() >= table.version())
            {
                return false;
            }
            *known = Some(Arc::clone(&table));
        }
        self.clear_caller_timeouts();
        self.metrics.set_document(table.version());
        let mut tables = self.lock_tables();
        for service in table.services() {
            let lane = self.lane(&mut tables, &service.name);
            lane.chooser.set_engine(service.engine);
            lane.chooser.set_max_connections(service.max_connections);
        }
        true
    }

    /// A new document may have changed the routes.
    fn clear_caller_timeouts(&self) {
        self.caller_timeout
            .lock()
            .expect("no holder of the patience lock panics")
            .clear();
    }

    /// Takes announcements that a control instance has passed on.
    pub(crate) fn announce(&self, announcements: Vec<AgedAnnouncement>, now: TimePoint) {
        let mut tables = self.lock_tables();
        for AgedAnnouncement { announcement, age } in announcements {
            let age_ms = age.as_millis() as u64;
            let heard = TimePoint::from_millis(now.as_millis().saturating_sub(age_ms));
            self.announce_one(&mut tables, announcement, heard);
        }
        tables.directory.prune(now);
    }

    fn announce_one(
        &self,
        tables: &mut LaneTables,
        announcement: UpstreamAnnouncement,
        heard: TimePoint,
    ) {
        let before = tables.directory.revision();
        tables.directory.merge(announcement, heard);
        let changed: Vec<_> = tables.directory.since(before).cloned().collect();
        for record in changed {
            let statement = &record.announcement;
            // An identity may return as part of another service.
            for lane in tables.lanes.values_mut() {
                lane.chooser.remove_reassigned(statement);
            }
            let lane = self.lane(tables, &statement.service);
            lane.chooser
                .apply_announcement(statement, record.received_at);
        }
    }

    /// Number of upstreams that are known.
    pub(crate) fn upstream_count(&self) -> usize {
        let tables = self.lock_tables();
        tables.lanes.values().map(|lane| lane.chooser.len()).sum()
    }

    /// Runs `job` on the upstreams of a service.
    pub(crate) fn with_lane<T>(
        &self,
        service: &ServiceName,
        job: impl FnOnce(&mut ServiceLane) -> T,
    ) -> T {
        let mut tables = self.lock_tables();
        job(self.lane(&mut tables, service))
    }

    /// Own loads of all upstreams.
    pub(crate) fn local_loads(&self, now: TimePoint) -> Vec<NamedLoad> {
        let tables = self.lock_tables();
        let lanes = tables.lanes.values();
        let loads = lanes.flat_map(|lane| lane.chooser.local_loads(now));
        loads
            .map(|(upstream, load)| NamedLoad {
                upstream: upstream.clone(),
                load,
            })
            .collect()
    }

    /// Takes the loads of the other entries; upstreams that are not named have none.
    pub(crate) fn set_other_loads(&self, loads: &[NamedLoad]) {
        let mut tables = self.lock_tables();
        for lane in tables.lanes.values_mut() {
            lane.chooser.clear_remote_loads();
            for named in loads {
                lane.chooser
                    .set_remote_load(named.upstream.as_str(), named.load);
            }
        }
    }

    /// Notes that a request with a shared prompt part is sent to an upstream.
    pub(crate) fn note_placement(&self, part: PartId, upstream: &UpstreamName, now: TimePoint) {
        let source = self.options.run.run;
        self.lock_placements().record(source, part, upstream, now);
    }

    /// Own placements.
    pub(crate) fn lock_placements(&self) -> MutexGuard<'_, PlacementLog> {
        self.placements
            .lock()
            .expect("no holder of the placement lock panics")
    }

    /// Takes placements of the other entries.
    pub(crate) fn apply_placements(&self, placed: &[PlacedParts], now: TimePoint) {
        let mut tables = self.lock_tables();
        for lane in tables.lanes.values_mut() {
            lane.chooser.prune_placements(now);
            for placed in placed {
                lane.chooser.apply_placements(placed, now);
            }
        }
    }

    /// Time that a caller has spent before this request, as far as its patience shows.
    pub(crate) fn time_since_first_attempt(
        &self,
        route: &str,
        caller_timeout: Duration,
    ) -> Duration {
        let mut ranges = self
            .caller_timeout
            .lock()
            .expect("no holder of the patience lock panics");
        match ranges.get_mut(route) {
            Some(range) => range.time_since_first_attempt(caller_timeout),
            None => {
                ranges.insert(route.to_owned(), CallerTimeoutRange::new(caller_timeout));
                Duration::ZERO
            }
        }
    }

    /// Counts a request that has begun to run.
    pub(crate) fn count_usage(&self, organisation: &OrganisationName, now: TimePoint) {
        let unix_ms = self.clock.unix_ms(now);
        let window = WindowNumber::at(unix_ms, self.options.usage_window);
        self.lock_usage().count(organisation, window);
    }

    /// Counts of usage windows.
    pub(crate) fn lock_usage(&self) -> MutexGuard<'_, UsageCounter> {
        self.usage
            .lock()
            .expect("no holder of the usage lock panics")
    }

    /// Entries that share the grant, at least this one.
    pub(crate) fn entries(&self) -> u32 {
        self.entries.load(Ordering::Relaxed)
    }

    /// Takes the number of entries that a control instance knows.
    pub(crate) fn set_entries(&self, entries: u32) {
        self.entries.store(entries, Ordering::Relaxed);
    }

    /// Whether the process stops.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopped.get().is_some()
    }

    /// Whether a request that arrives now is taken.
    pub(crate) fn takes_requests(&self, now: TimePoint) -> bool {
        let stopped = self.stopped.get();
        stopped.is_none_or(|stopped| now.since(*stopped) < TAKE_AFTER_STOP)
    }

    /// Notes that the process stops.
    pub(crate) fn stop(&self, now: TimePoint) {
        self.stopped.get_or_init(|| now);
    }

    fn lock_tables(&self) -> MutexGuard<'_, LaneTables> {
        self.tables
            .lock()
            .expect("no holder of the lane lock panics")
    }

    fn lane<'a>(&self, tables: &'a mut LaneTables, service: &ServiceName) -> &'a mut ServiceLane {
        let options = &self.options;
        tables
            .lanes
            .entry(service.clone())
            .or_insert_with(|| ServiceLane {
                chooser: DirectChooser::new(options.chooser.clone()),
                budget: SharedRetryBudget::new(&options.retry_grant),
            })
    }
}
