//! State of an entry that its request path, its sync tasks and its listeners share.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, RwLock};
use std::time::Duration;

use http::StatusCode;
use indexmap::IndexMap;
use oriolecrank_net::intake::{ByteBudget, IntakeSettings};
use oriolecrank_net::{ClusterSecret, HttpClient};
use oriolecrank_policy::fair_share::FairShareSettings;
use oriolecrank_policy::quota::QuotaBounds;
use oriolecrank_routing::{
    AdmittedOrigins, CallerTimeoutRange, ChooserSettings, DirectChooser, EntryCounter, EntryRun,
    KnownGroup, LeavingUpstream, LimitReport, OrganisationName, PartId, PlacedParts, PlacementLog,
    RetryGrant, RouteTable, ServiceName, SharedRetryBudget, StoredDocument, StreamKey, StreamLog,
    StreamOrigin, SuspectVerdicts, SuspectWatch, UpstreamAnnouncement, UpstreamDirectory,
    UpstreamName, UsageCounter, WindowNumber,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::event::LogEvent;
use tokio::sync::Notify;

use crate::crash::{CrashProbe, SilenceProbe};
use crate::dialect::{AnswerHead, CallerDialect};
use crate::entry_metrics::EntryMetrics;
use crate::fair_share::{ServiceDemand, ServiceGate, ServiceShares};
use crate::quota::QuotaGate;
use crate::site_clock::SiteClock;
use crate::site_messages::{AgedAnnouncement, NamedLoad};

/// Time after the signal to stop in which new requests are still accepted. Callers are moved to
/// other entries within about two seconds. A stream that starts late may be cut off when the
/// process is killed; callers tolerate that only if they sent the request within three seconds of
/// the signal. The limit is a little shorter, because of the network delay to the entry.
const ACCEPT_REQUESTS_AFTER_STOP: Duration = Duration::from_millis(2_900);

/// Fraction of the shutdown limit that is used, so that the process exits before it is killed.
const SHUTDOWN_LIMIT_FRACTION: f64 = 0.94;

/// Time from the signal to stop to the end of the entry, in which running requests may finish.
pub(crate) fn running_time(shutdown_limit: Duration) -> Duration {
    shutdown_limit.mul_f64(SHUTDOWN_LIMIT_FRACTION)
}

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySiteOptions {
    /// Name of the entry and random number of this run of its process.
    pub run: EntryRun,
    /// Listen address for callers.
    pub caller_listen: SocketAddr,
    /// Listen address of the readiness probe.
    pub ready_listen: SocketAddr,
    /// Listen address for metrics; `None` if they are not served.
    pub metrics_listen: Option<SocketAddr>,
    /// Shared secret that authenticates the processes of the cluster to each other.
    pub secret: ClusterSecret,
    /// Settings of the choice of upstreams.
    pub chooser: ChooserSettings,
    /// Extra attempts that each service allows to all entries together.
    pub retry_grant: RetryGrant,
    /// Fair shares of overloaded engines; `None` if requests are not divided by organisation.
    pub fair_share: Option<FairShareSettings>,
    /// Time from the start in which requests wait for the first document; zero if they do not.
    pub start_wait: Duration,
    /// What the deployment allows beyond the quotas of organisations.
    pub quota: QuotaBounds,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time between the signal to stop and the moment at which the process is killed.
    pub shutdown_limit: Duration,
    /// Resources of the process, which bound what its clients can make it hold.
    pub intake: IntakeSettings,
}

/// Upstreams and retry budget of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) chooser: DirectChooser,
    pub(crate) budget: SharedRetryBudget,
    /// Fair shares; `None` if the settings ask for none.
    pub(crate) gate: Option<ServiceGate>,
}

/// Upstreams of all services.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTables {
    /// Newest announcement of each upstream. The same announcement may arrive from several control
    /// instances and out of order; the directory drops outdated ones.
    directory: UpstreamDirectory,
    services: IndexMap<ServiceName, ServiceState>,
    /// Origins at which streams may begin; `None` before a control instance has told them.
    admitted: Option<AdmittedOrigins>,
}

impl UpstreamTables {
    /// Sets the origins at which streams may begin, also for services that appear later. Older ones
    /// than those known have no effect.
    fn set_admitted(&mut self, admitted: AdmittedOrigins) {
        let known = self.admitted.as_ref().map(|known| known.revision);
        if known >= Some(admitted.revision) {
            return;
        }
        for (service, state) in &mut self.services {
            state.chooser.set_admitted(admitted.versions_of(service));
        }
        self.admitted = Some(admitted);
    }
}

/// Shared state of an entry.
///
/// Each lock is taken alone and never held across an await, so there is no lock order.
#[derive(Debug)]
pub(crate) struct EntryShared<D> {
    pub(crate) options: EntrySiteOptions,
    pub(crate) dialect: Arc<D>,
    pub(crate) client: HttpClient,
    pub(crate) clock: SiteClock,
    pub(crate) metrics: EntryMetrics,
    /// Memory for the bodies of requests, and for answers that are held until they are complete.
    pub(crate) client_budget: ByteBudget,
    /// Tokens of organisations' quotas.
    pub(crate) quota: Arc<QuotaGate>,
    /// Route table of the document in force; its version never decreases.
    route_table: RwLock<Option<Arc<RouteTable>>>,
    tables: Mutex<UpstreamTables>,
    usage: Mutex<UsageCounter>,
    /// Placements of shared prompt parts by this entry, to be sent to the control instances.
    placements: Mutex<PlacementLog>,
    /// Suspects that crash upstreams.
    suspect_watch: Mutex<SuspectWatch>,
    /// Streams that have begun here.
    streams: Mutex<StreamLog>,
    /// Notified when a stream has begun that the control group has to know.
    pub(crate) stream_begun: Notify,
    /// Control group that the entry follows.
    control_group: RwLock<KnownGroup>,
    /// Broken attempts at upstreams that may have crashed.
    pub(crate) crash_probe: CrashProbe,
    /// Attempts at upstreams that fell silent.
    pub(crate) silence_probe: SilenceProbe,
    /// Range of the timeouts that callers state, by name of the route.
    caller_timeouts: Mutex<IndexMap<String, CallerTimeoutRange>>,
    /// Number of entries of the site.
    entry_counter: Mutex<EntryCounter>,
    pub(crate) started_at: TimePoint,
    /// Notified when a document is in force.
    pub(crate) document_arrived: Notify,
    /// Notified when this entry has seen a crash.
    pub(crate) crash_reported: Notify,
    /// When the process received the signal to stop; unset before.
    stop_requested_at: OnceLock<TimePoint>,
}

impl<D> EntryShared<D> {
    pub(crate) fn new(
        options: EntrySiteOptions,
        dialect: Arc<D>,
        client: HttpClient,
        now: TimePoint,
    ) -> Self {
        Self {
            client_budget: options.intake.client_budget(),
            quota: Arc::new(QuotaGate::new(options.quota)),
            options,
            dialect,
            client,
            clock: SiteClock::start(now),
            metrics: EntryMetrics::default(),
            route_table: RwLock::default(),
            tables: Mutex::default(),
            usage: Mutex::default(),
            placements: Mutex::default(),
            suspect_watch: Mutex::default(),
            streams: Mutex::default(),
            stream_begun: Notify::new(),
            control_group: RwLock::default(),
            crash_probe: CrashProbe::default(),
            silence_probe: SilenceProbe::default(),
            caller_timeouts: Mutex::default(),
            entry_counter: Mutex::new(EntryCounter::new(now)),
            started_at: now,
            document_arrived: Notify::new(),
            crash_reported: Notify::new(),
            stop_requested_at: OnceLock::new(),
        }
    }

    /// Route table of the document in force; `None` before the first one.
    pub(crate) fn route_table(&self) -> Option<Arc<RouteTable>> {
        let table = self
            .route_table
            .read()
            .expect("no holder of the route table lock panics");
        table.clone()
    }

    /// Version of the document in force; 0 before the first one.
    pub(crate) fn document_version(&self) -> u64 {
        self.route_table().map_or(0, |table| table.version())
    }

    /// Puts a document in force. Returns false, and changes nothing, if it is not newer than the
    /// present one.
    pub(crate) fn put_in_force(&self, table: RouteTable) -> bool {
        let table = Arc::new(table);
        {
            let mut current = self
                .route_table
                .write()
                .expect("no holder of the route table lock panics");
            if current
                .as_ref()
                .is_some_and(|current| current.version() >= table.version())
            {
                return false;
            }
            *current = Some(Arc::clone(&table));
        }
        self.clear_caller_timeouts();
        self.metrics.set_document(table.version());
        let mut tables = self.lock_tables();
        for service in table.services() {
            let state = self.service_state(&mut tables, &service.name);
            state.chooser.set_engine(service.engine);
            state.chooser.set_max_connections(service.max_connections);
        }
        drop(tables);
        self.document_arrived.notify_waiters();
        true
    }

    /// Decodes a document that a control instance has sent and puts it in force, unless it is not
    /// newer than the present one. `transfer_bytes` is its size on the network and `elapsed` the
    /// time since the entry asked for it.
    pub(crate) fn apply_document(
        &self,
        document: &StoredDocument,
        source: SocketAddr,
        transfer_bytes: usize,
        elapsed: Duration,
    ) where
        D: CallerDialect,
    {
        self.metrics.count_document_bytes(transfer_bytes);
        match self.dialect.decode_document(&document.source) {
            Ok(decoded) => {
                if self.put_in_force(RouteTable::new(decoded)) {
                    tracing::info!(
                        event = LogEvent::DocumentInForce.number(),
                        version = document.version,
                        %source,
                        bytes = document.source.len(),
                        transfer_bytes,
                        elapsed_ms = elapsed.as_millis() as u64,
                        "a document is in force"
                    );
                }
            }
            // Not expected: the control instance that accepted the document has decoded it.
            Err(reason) => {
                tracing::error!(
                    event = LogEvent::DocumentNotCommitted.number(),
                    reason,
                    "a committed document cannot be decoded; the previous one stays in force"
                );
            }
        }
    }

    /// Clears the ranges of caller timeouts, because a new document may have changed the routes.
    fn clear_caller_timeouts(&self) {
        self.caller_timeouts
            .lock()
            .expect("no holder of the caller timeout lock panics")
            .clear();
    }

    /// Applies announcements that a control instance has forwarded.
    pub(crate) fn apply_announcements(&self, announcements: Vec<AgedAnnouncement>, now: TimePoint) {
        let mut tables = self.lock_tables();
        for AgedAnnouncement { announcement, age } in announcements {
            let age_ms = age.as_millis() as u64;
            let received_at = TimePoint::from_millis(now.as_millis().saturating_sub(age_ms));
            self.apply_announcement(&mut tables, announcement, received_at);
        }
        tables.directory.prune(now);
    }

    fn apply_announcement(
        &self,
        tables: &mut UpstreamTables,
        announcement: UpstreamAnnouncement,
        received_at: TimePoint,
    ) {
        let revision_before = tables.directory.revision();
        tables.directory.merge(announcement, received_at);
        let changed: Vec<_> = tables.directory.since(revision_before).cloned().collect();
        for record in changed {
            let announcement = &record.announcement;
            // An upstream may be restarted under its old name for another service.
            for state in tables.services.values_mut() {
                state.chooser.remove_reassigned(announcement);
            }
            let state = self.service_state(tables, &announcement.service);
            state
                .chooser
                .apply_announcement(announcement, record.received_at);
        }
    }

    /// Whether a later incarnation of the upstream is known at its address.
    pub(crate) fn has_successor(&self, upstream: &UpstreamAnnouncement) -> bool {
        let tables = self.lock_tables();
        tables.directory.has_successor(upstream)
    }

    /// Streams that have begun at this entry.
    pub(crate) fn lock_streams(&self) -> MutexGuard<'_, StreamLog> {
        self.streams
            .lock()
            .expect("no holder of the stream lock panics")
    }

    /// Records where a stream has begun, before its first event is sent to the caller.
    pub(crate) fn record_stream(&self, key: StreamKey, origin: StreamOrigin, now: TimePoint) {
        let mut streams = self.lock_streams();
        streams.record(key, origin, now);
        if streams.has_unsent() {
            self.stream_begun.notify_one();
        }
    }

    /// Applies newer admitted origins of streams.
    pub(crate) fn apply_origins(&self, admitted: &AdmittedOrigins) {
        {
            let mut streams = self.lock_streams();
            if !streams.set_admitted(admitted.clone()) {
                return;
            }
            if streams.has_unsent() {
                self.stream_begun.notify_one();
            }
        }
        self.lock_tables().set_admitted(admitted.clone());
    }

    /// Control group that the entry follows.
    pub(crate) fn control_group(&self) -> KnownGroup {
        self.control_group
            .read()
            .expect("no holder of the control group lock panics")
            .clone()
    }

    /// Sets the control group that the entry follows.
    pub(crate) fn set_control_group(&self, group: &KnownGroup) {
        let mut known = self
            .control_group
            .write()
            .expect("no holder of the control group lock panics");
        known.clone_from(group);
    }

    /// Number of known upstreams.
    pub(crate) fn upstream_count(&self) -> usize {
        let tables = self.lock_tables();
        tables
            .services
            .values()
            .map(|state| state.chooser.len())
            .sum()
    }

    /// Runs `job` on the upstreams and the retry budget of a service, with the lock held.
    pub(crate) fn with_service<T>(
        &self,
        service: &ServiceName,
        job: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut tables = self.lock_tables();
        job(self.service_state(&mut tables, service))
    }

    /// Load that this entry puts on each upstream.
    pub(crate) fn local_loads(&self, now: TimePoint) -> Vec<NamedLoad> {
        let tables = self.lock_tables();
        let services = tables.services.values();
        let loads = services.flat_map(|state| state.chooser.local_loads(now));
        loads
            .map(|(upstream, load)| NamedLoad {
                upstream: upstream.clone(),
                load,
            })
            .collect()
    }

    /// Replaces the loads that the other entries put on upstreams; an upstream that `loads` does
    /// not name has none.
    pub(crate) fn set_remote_loads(&self, loads: &[NamedLoad], now: TimePoint) {
        let mut tables = self.lock_tables();
        for state in tables.services.values_mut() {
            state.chooser.clear_remote_loads(now);
            for named in loads {
                state
                    .chooser
                    .set_remote_load(named.upstream.as_str(), named.load);
            }
        }
    }

    /// Demand of this entry for the engines of services that are overloaded.
    pub(crate) fn work_demand(&self, now: TimePoint) -> Vec<ServiceDemand> {
        let mut tables = self.lock_tables();
        let states = tables.services.values_mut();
        let demands = states.filter_map(|state| {
            let gate = state.gate.as_mut()?;
            gate.demand(&state.chooser, now)
        });
        demands.collect()
    }

    /// Applies the leader's shares of overloaded services.
    pub(crate) fn set_work_shares(&self, shares: Vec<ServiceShares>, now: TimePoint) {
        let mut tables = self.lock_tables();
        for shares in shares {
            let state = tables.services.get_mut(&shares.service);
            if let Some(gate) = state.and_then(|state| state.gate.as_mut()) {
                gate.set_shares(shares, now);
            }
        }
    }

    /// Upstreams that have stated to this entry that they leave, and that are announced as ready.
    pub(crate) fn leaving_upstreams(&self) -> Vec<LeavingUpstream> {
        let tables = self.lock_tables();
        let services = tables.services.values();
        services
            .flat_map(|state| state.chooser.leaving_upstreams())
            .collect()
    }

    /// Limits that upstreams state, and the requests that this entry wants to send to them.
    pub(crate) fn limit_reports(&self, now: TimePoint) -> Vec<LimitReport> {
        let mut tables = self.lock_tables();
        let services = tables.services.values_mut();
        services
            .flat_map(|state| state.chooser.limit_reports(now))
            .collect()
    }

    /// Applies what the leader tells about limits, and logs those that have changed.
    pub(crate) fn apply_limit_reports(&self, reports: &[LimitReport], now: TimePoint) {
        let mut tables = self.lock_tables();
        for report in reports {
            let mut services = tables.services.values_mut();
            if services.any(|state| {
                state
                    .chooser
                    .apply_limit_report(report, now, &mut rand::rng())
            }) {
                tracing::info!(
                    event = LogEvent::LimitChanged.number(),
                    upstream = %report.upstream,
                    statement = ?report.statement,
                    age_ms = report.age.as_millis() as u64,
                    "an upstream has stated another limit to another entry"
                );
            }
        }
    }

    /// Records what the head of an answer says about the requests that its upstream wants.
    pub(crate) fn record_statements(
        &self,
        upstream: &UpstreamAnnouncement,
        head: &AnswerHead,
        status: StatusCode,
        now: TimePoint,
    ) {
        if let Some(pause) = head.pause {
            self.record_pause(upstream, pause, status, now);
        }
        if head.leaving {
            self.record_leaving(upstream);
        }
    }

    /// Records that an upstream states that it leaves, and logs the first time.
    fn record_leaving(&self, upstream: &UpstreamAnnouncement) {
        let is_new = self.with_service(&upstream.service, |state| {
            state.chooser.record_leaving(upstream)
        });
        if is_new {
            tracing::info!(
                event = LogEvent::LeavingStated.number(),
                upstream = %upstream.name,
                started_ms = upstream.started_ms,
                service = %upstream.service,
                "an upstream states that it leaves; it gets no new requests"
            );
        }
    }

    /// Records that an upstream asks for a pause in an answer with this status, and logs the begin of
    /// a pause.
    fn record_pause(
        &self,
        upstream: &UpstreamAnnouncement,
        pause: Duration,
        status: StatusCode,
        now: TimePoint,
    ) {
        let begins = self.with_service(&upstream.service, |state| {
            state.chooser.record_pause(upstream, pause, now)
        });
        if !begins {
            return;
        }
        self.metrics.count_pause();
        tracing::info!(
            event = LogEvent::PauseStated.number(),
            upstream = %upstream.name,
            started_ms = upstream.started_ms,
            service = %upstream.service,
            %status,
            pause_ms = pause.as_millis() as u64,
            "an upstream asks for a pause; it gets no requests until then"
        );
    }

    /// Records that the machine of an upstream refuses connections, as after a crash.
    pub(crate) fn record_refused_connection(
        &self,
        upstream: &UpstreamAnnouncement,
        now: TimePoint,
    ) {
        let name = upstream.name.as_str();
        self.with_service(&upstream.service, |state| {
            state.chooser.record_refused_connection(name, now);
        });
    }

    /// Records that a request with a shared prompt part is sent to an upstream.
    pub(crate) fn record_placement(&self, part: PartId, upstream: &UpstreamName, now: TimePoint) {
        let source = self.options.run.run;
        self.lock_placements().record(source, part, upstream, now);
    }

    /// Placements by this entry.
    pub(crate) fn lock_placements(&self) -> MutexGuard<'_, PlacementLog> {
        self.placements
            .lock()
            .expect("no holder of the placement lock panics")
    }

    /// Applies placements by the other entries.
    pub(crate) fn apply_placements(&self, placed: &[PlacedParts], now: TimePoint) {
        let mut tables = self.lock_tables();
        for state in tables.services.values_mut() {
            state.chooser.prune_placements(now);
            for placed in placed {
                state.chooser.apply_placements(placed, now);
            }
        }
    }

    /// What this entry knows of suspects that crash upstreams.
    pub(crate) fn lock_suspect_watch(&self) -> MutexGuard<'_, SuspectWatch> {
        self.suspect_watch
            .lock()
            .expect("no holder of the part watch lock panics")
    }

    /// Applies the leader's verdicts about suspects.
    pub(crate) fn set_suspect_verdicts(
        &self,
        verdicts: SuspectVerdicts,
        control_run: u64,
        now: TimePoint,
    ) {
        let mut suspect_watch = self.lock_suspect_watch();
        let refused = verdicts.refused_suspects();
        if suspect_watch.refused() != refused {
            tracing::warn!(
                event = LogEvent::RefusalsChanged.number(),
                ?refused,
                suspected = verdicts.suspected.len(),
                "the prompt parts and requests that are refused because they crash upstreams have changed"
            );
        }
        if !verdicts.trials.is_empty() {
            tracing::info!(
                event = LogEvent::SuspectTried.number(),
                trials = ?verdicts.trials,
                "one request that was refused because it crashes upstreams is sent, to find out whether it is sound"
            );
        }
        suspect_watch.set_verdicts(verdicts, control_run, now);
    }

    /// Estimated time that the caller has already spent on earlier attempts at this request, judged
    /// by how far its timeout is below the usual one of the route; zero for a first attempt.
    pub(crate) fn time_since_first_attempt(
        &self,
        route: &str,
        caller_timeout: Duration,
        now: TimePoint,
    ) -> Duration {
        let mut ranges = self
            .caller_timeouts
            .lock()
            .expect("no holder of the caller timeout lock panics");
        match ranges.get_mut(route) {
            Some(range) => range.time_since_first_attempt(caller_timeout, now),
            None => {
                ranges.insert(
                    route.to_owned(),
                    CallerTimeoutRange::new(caller_timeout, now),
                );
                Duration::ZERO
            }
        }
    }

    /// Counts a request in the usage window in which its run started.
    pub(crate) fn count_usage(&self, organisation: &OrganisationName, started_at: TimePoint) {
        let unix_ms = self.clock.unix_ms(started_at);
        let window = WindowNumber::at(unix_ms, self.options.usage_window);
        self.lock_usage().count(organisation, window);
    }

    /// Requests counted by organisation and usage window.
    pub(crate) fn lock_usage(&self) -> MutexGuard<'_, UsageCounter> {
        self.usage
            .lock()
            .expect("no holder of the usage lock panics")
    }

    /// Number of entries, as a control instance last reported; 0 before the first sync.
    pub(crate) fn entry_count(&self) -> u32 {
        self.lock_entry_counter().latest()
    }

    /// Largest number of entries that control instances have reported lately.
    pub(crate) fn largest_entry_count(&self, now: TimePoint) -> u32 {
        self.lock_entry_counter().largest(now)
    }

    /// Records the number of entries that a control instance has reported.
    pub(crate) fn record_entry_count(&self, entry_count: u32, now: TimePoint) {
        self.lock_entry_counter().record(entry_count, now);
    }

    fn lock_entry_counter(&self) -> MutexGuard<'_, EntryCounter> {
        self.entry_counter
            .lock()
            .expect("no holder of the entry counter lock panics")
    }

    /// Whether the process has received the signal to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_requested_at.get().is_some()
    }

    /// Whether a request that arrives now is accepted.
    pub(crate) fn accepts_requests(&self, now: TimePoint) -> bool {
        let stop_requested_at = self.stop_requested_at.get();
        stop_requested_at
            .is_none_or(|requested_at| now.since(*requested_at) < ACCEPT_REQUESTS_AFTER_STOP)
    }

    /// Whether a request with this deadline can end before the entry does. Without a signal to stop, all
    /// can.
    pub(crate) fn can_finish_by(&self, deadline: TimePoint) -> bool {
        let stop_requested_at = self.stop_requested_at.get();
        stop_requested_at.is_none_or(|requested_at| {
            deadline <= *requested_at + running_time(self.options.shutdown_limit)
        })
    }

    /// Records the signal to stop; only the first call has an effect.
    pub(crate) fn mark_stopping(&self, now: TimePoint) {
        self.stop_requested_at.get_or_init(|| now);
    }

    fn lock_tables(&self) -> MutexGuard<'_, UpstreamTables> {
        self.tables
            .lock()
            .expect("no holder of the upstream lock panics")
    }

    fn service_state<'a>(
        &self,
        tables: &'a mut UpstreamTables,
        service: &ServiceName,
    ) -> &'a mut ServiceState {
        let options = &self.options;
        let admitted = tables.admitted.as_ref();
        tables.services.entry(service.clone()).or_insert_with(|| {
            let mut chooser = DirectChooser::new(options.chooser.clone());
            if let Some(admitted) = admitted {
                chooser.set_admitted(admitted.versions_of(service));
            }
            ServiceState {
                chooser,
                budget: SharedRetryBudget::new(&options.retry_grant, self.started_at),
                gate: options
                    .fair_share
                    .map(|settings| ServiceGate::new(service, settings)),
            }
        })
    }
}
