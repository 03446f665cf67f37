//! One session of a control instance: from the start of its replica to its end.
//!
//! Everything that a session starts ends with it, so that the next one begins like a new process.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use oriolecrank_consensus::{
    DiskFiles, InstanceId, LogStorage, Member, MemberRole, RaftSettings, StorageError,
};
use oriolecrank_control::{
    ControlMemory, PeerDirectory, PeerIngress, PeerTransport, ReplicaError, ReplicaHandle,
    ReplicaPhase, ReplicaSettings, start_replica,
};
use oriolecrank_net::shutdown::ShutdownSignal;
use oriolecrank_net::{
    BootClock, ClientSettings, HttpClient, PeerGuard, ServerSettings, serve_with,
};
use oriolecrank_routing::SiteOutcome;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::event::LogEvent;
use rand::Rng as _;
use snafu::IntoError as _;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use crate::control_link::ControlLink;
use crate::control_metrics::{ControlMetrics, SiteGaugeValues};
use crate::control_site::{ControlSiteError, ControlSiteOptions, ReplicaSnafu, listen};
use crate::dialect::{OrderDialect, SiteDialect, UsageDialect};
use crate::document_queue::DocumentQueue;
use crate::document_transfer::DocumentCache;
use crate::group_repair::GroupRepair;
use crate::internal_server::InternalServer;
use crate::quota::QuotaGranter;
use crate::role_orders::RoleOrders;
use crate::site_clock::SiteClock;
use crate::site_gossip::SiteGossip;
use crate::site_machine::{SharedSite, SiteMachine};
use crate::site_publisher::SitePublisher;
use crate::site_server::SiteServer;
use crate::site_tables::SiteTables;
use crate::stream_records::StreamRecorder;
use crate::suspect_records::SuspectRecorder;
use crate::usage_reporter::UsageReporter;

/// Time that running requests get to finish when the process stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between updates of the gauges; well below the usual scrape interval.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// How a session ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum SessionEnd {
    /// The process was told to stop.
    Stopped,
    /// The group has removed the instance. Its data folder is marked, and the next session gives it a
    /// new identity.
    Removed,
    /// The data folder cannot be read or written.
    StorageFailed {
        /// Cause as text.
        reason: String,
        /// Whether the folder had been usable in this session.
        had_opened: bool,
    },
}

/// A control instance that is about to start.
#[derive(Debug)]
pub(crate) struct ControlSession<'a, D> {
    pub(crate) options: &'a ControlSiteOptions,
    pub(crate) dialect: Arc<D>,
    pub(crate) seeds: watch::Receiver<Vec<SocketAddr>>,
    pub(crate) metrics: ControlMetrics,
    /// Memory of the process, by holder.
    pub(crate) memory: ControlMemory,
    /// Since when the data folder cannot be used; `None` if it could be used before this session.
    pub(crate) unusable_since: Option<TimePoint>,
}

impl<D: SiteDialect + UsageDialect + OrderDialect> ControlSession<'_, D> {
    /// Runs until shutdown, or until the instance is removed or cannot use its data folder.
    pub(crate) async fn run(
        self,
        shutdown: ShutdownSignal,
    ) -> Result<SessionEnd, ControlSiteError> {
        let options = self.options;
        let operators = listen(options.operator_listen).await?;
        let internal = listen(options.internal_listen).await?;
        let client = HttpClient::new(ClientSettings {
            idle_per_address: 8,
            ..ClientSettings::default()
        });
        let directory = PeerDirectory::default();
        let transport = PeerTransport::new(
            options.cluster.clone(),
            options.internal_listen,
            client.clone(),
            options.secret.clone(),
            directory.clone(),
        )
        .within(self.memory.clone());
        let site = SharedSite::new(&self.memory);
        let replica = match start_replica(
            replica_settings(options, self.memory.clone()),
            SiteMachine(site.clone()),
            transport,
        ) {
            Ok(replica) => replica,
            Err(error) => return folder_failure(error),
        };
        self.record_open_folder(BootClock.now());
        let publisher = SitePublisher {
            replica: replica.clone(),
            site,
            link: ControlLink {
                client: client.clone(),
                secret: options.secret.clone(),
            },
            documents: DocumentQueue::default(),
            read_term: Arc::default(),
        };
        let fair_share = options.fair_share.unwrap_or_default();
        let tables = Arc::new(SiteTables::new(
            rand::rng().random(),
            publisher.site.clone(),
            fair_share,
        ));
        let removed = Arc::new(Notify::new());
        let clock = Arc::new(SiteClock::start(BootClock.now()));
        // Aborted when the session ends.
        let mut tasks = JoinSet::new();
        let guard = PeerGuard::new(options.secret.clone());
        let internal_server = InternalServer {
            cluster: options.cluster.clone(),
            guard: guard.clone(),
            ingress: PeerIngress::new(options.cluster.clone(), guard, replica.clone(), directory),
            publisher: publisher.clone(),
            tables: Arc::clone(&tables),
            clock: Arc::clone(&clock),
            documents: DocumentCache::new(&self.memory),
            quota: QuotaGranter::new(options.quota),
        };
        let site_server = SiteServer {
            dialect: Arc::clone(&self.dialect),
            publisher: publisher.clone(),
            tables: Arc::clone(&tables),
            gossip: SiteGossip::start(options.cluster.clone(), publisher.clone(), &mut tasks),
            clock: Arc::clone(&clock),
            client_budget: self.memory.clients.clone(),
            memory: self.memory.clone(),
        };
        let parts = SessionParts {
            client,
            publisher,
            tables,
            clock,
        };
        self.spawn_tasks(&parts, &removed, &mut tasks);
        tracing::info!(
            event = LogEvent::ProcessStarted.number(),
            operators = %options.operator_listen,
            internal = %options.internal_listen,
            "control started"
        );
        let listeners = SiteListeners {
            operators,
            internal,
            site_server,
            internal_server,
            operator_settings: operator_settings(options, &self.memory),
            internal_settings: internal_settings(options, &self.memory),
            removed,
            data_folder: &options.data_folder,
        };
        Ok(listeners.run(replica, shutdown).await)
    }

    fn record_open_folder(&self, now: TimePoint) {
        self.metrics.set_storage_failed(false);
        if let Some(since) = self.unusable_since {
            tracing::info!(
                event = LogEvent::StorageRestored.number(),
                unusable_ms = now.since(since).as_millis() as u64,
                "the data folder can be used again; this instance takes part"
            );
        }
    }

    /// Starts what the instance does besides answering.
    fn spawn_tasks(&self, parts: &SessionParts, removed: &Arc<Notify>, tasks: &mut JoinSet<()>) {
        let options = self.options;
        let repair = GroupRepair {
            cluster: options.cluster.clone(),
            address: options.internal_listen,
            seeds: self.seeds.clone(),
            settings: options.repair.clone(),
            publisher: parts.publisher.clone(),
            tables: Arc::clone(&parts.tables),
            removed: Arc::clone(removed),
        };
        tasks.spawn(repair.run());
        let recorder = StreamRecorder {
            publisher: parts.publisher.clone(),
            tables: Arc::clone(&parts.tables),
        };
        tasks.spawn(recorder.run());
        let recorder = SuspectRecorder {
            publisher: parts.publisher.clone(),
            tables: Arc::clone(&parts.tables),
            clock: Arc::clone(&parts.clock),
        };
        tasks.spawn(recorder.run());
        tasks.spawn(Arc::clone(&parts.tables).follow_departures());
        let orders = RoleOrders {
            settings: options.orders.clone(),
            dialect: Arc::clone(&self.dialect),
            client: parts.client.clone(),
            publisher: parts.publisher.clone(),
            tables: Arc::clone(&parts.tables),
            metrics: self.metrics.clone(),
        };
        tasks.spawn(orders.run());
        if let Some(settings) = options.usage.clone() {
            let reporter = UsageReporter {
                settings,
                dialect: Arc::clone(&self.dialect),
                client: parts.client.clone(),
                publisher: parts.publisher.clone(),
                tables: Arc::clone(&parts.tables),
                clock: Arc::clone(&parts.clock),
                metrics: self.metrics.clone(),
            };
            tasks.spawn(reporter.run());
        }
        let (publisher, tables) = (parts.publisher.clone(), Arc::clone(&parts.tables));
        tasks.spawn(update_gauges(self.metrics.clone(), publisher, tables));
    }
}

/// What the tasks of a session share.
struct SessionParts {
    client: HttpClient,
    publisher: SitePublisher,
    tables: Arc<SiteTables>,
    clock: Arc<SiteClock>,
}

/// How a session ends whose replica cannot open its data folder. A corrupt folder, or one of another
/// instance, stays as it is for the operator, and ends the process.
fn folder_failure(error: ReplicaError) -> Result<SessionEnd, ControlSiteError> {
    match &error {
        ReplicaError::Storage {
            source: StorageError::FileFailed { .. },
        } => Ok(SessionEnd::StorageFailed {
            reason: error.to_string(),
            had_opened: false,
        }),
        ReplicaError::Storage { .. } | ReplicaError::Spawn { .. } => {
            Err(ReplicaSnafu.into_error(error))
        }
    }
}

/// Listeners of a control instance and the handlers of their requests.
struct SiteListeners<'a, D> {
    operators: TcpListener,
    internal: TcpListener,
    site_server: SiteServer<D>,
    internal_server: InternalServer,
    operator_settings: ServerSettings,
    internal_settings: ServerSettings,
    /// Notified when the group has removed this instance.
    removed: Arc<Notify>,
    data_folder: &'a Path,
}

impl<D: SiteDialect> SiteListeners<'_, D> {
    /// Serves until shutdown, until the replica fails or until the group has removed the instance,
    /// and then stops the replica.
    async fn run(
        self,
        replica: ReplicaHandle<SiteOutcome>,
        mut shutdown: ShutdownSignal,
    ) -> SessionEnd {
        let (site_server, internal_server) =
            (Arc::new(self.site_server), Arc::new(self.internal_server));
        let serving = async {
            tokio::join!(
                serve_with(
                    self.operator_settings,
                    self.operators,
                    site_server,
                    shutdown.clone()
                ),
                serve_with(
                    self.internal_settings,
                    self.internal,
                    internal_server,
                    shutdown.clone()
                ),
            );
        };
        let mut stop_signal = shutdown.clone();
        let stopping = async {
            stop_signal.triggered().await;
            sleep(SHUTDOWN_TIMEOUT).await;
        };
        tokio::select! {
            () = serving => {}
            () = stopping => {
                tracing::warn!(
                    event = LogEvent::ShutdownForced.number(),
                    "the shutdown timeout has passed; running requests were aborted"
                );
            }
            () = self.removed.notified() => {
                replica.stop();
                replica.stopped().await;
                let marked = LogStorage::mark_removed(&DiskFiles, self.data_folder);
                return marked.map_or_else(
                    |error| SessionEnd::StorageFailed {
                        reason: error.to_string(),
                        had_opened: true,
                    },
                    |()| SessionEnd::Removed,
                );
            }
            phase = replica.stopped() => {
                if let ReplicaPhase::Failed(reason) = phase {
                    return SessionEnd::StorageFailed {
                        reason,
                        had_opened: true,
                    };
                }
            }
        }
        shutdown.triggered().await;
        replica.stop();
        replica.stopped().await;
        tracing::info!(
            event = LogEvent::ShutdownFinished.number(),
            "control stopped"
        );
        SessionEnd::Stopped
    }
}

/// Limits of the listener for operators and upstreams.
fn operator_settings(options: &ControlSiteOptions, memory: &ControlMemory) -> ServerSettings {
    let for_descriptors = options.intake.client_connections();
    ServerSettings {
        max_connections: for_descriptors.min(memory.client_connections()),
        budget: memory.clients.clone(),
        ..ServerSettings::default()
    }
}

/// Limits of the listener for entries and other control instances.
fn internal_settings(options: &ControlSiteOptions, memory: &ControlMemory) -> ServerSettings {
    let for_descriptors = options.intake.peer_connections();
    ServerSettings {
        max_connections: for_descriptors.min(memory.peer_connections()),
        budget: memory.received.clone(),
        ..ServerSettings::default()
    }
}

/// Settings of the replica. Only founding members bootstrap the group with the list of founders;
/// any other instance waits until the leader adds it.
fn replica_settings(options: &ControlSiteOptions, memory: ControlMemory) -> ReplicaSettings {
    let is_founder = options.founders.contains(&options.internal_listen);
    let founders = options.founders.iter().filter(|_| is_founder);
    let founders = founders.map(|address| Member {
        id: InstanceId::new(&address.to_string()),
        address: address.to_string(),
        role: MemberRole::Voter,
    });
    ReplicaSettings {
        cluster: options.cluster.clone(),
        name: options.internal_listen.to_string(),
        data_folder: options.data_folder.clone(),
        founders: founders.collect(),
        // Documents are large compared with a disk of 64 MB, of which the log may use only a part.
        snapshot_entries: 512,
        snapshot_bytes: memory.largest_document(),
        trailing_entries: 128,
        trailing_bytes: memory.largest_document() / 2,
        raft: RaftSettings {
            max_uncommitted_bytes: memory.uncommitted_bytes(),
            ..RaftSettings::default()
        },
        propose_timeout: Duration::from_millis(2_500),
        memory,
        ..ReplicaSettings::default()
    }
}

/// Updates the gauges until the session ends.
async fn update_gauges(metrics: ControlMetrics, publisher: SitePublisher, tables: Arc<SiteTables>) {
    let mut ticks = interval(GAUGE_INTERVAL);
    loop {
        ticks.tick().await;
        metrics.set_gauges(
            &publisher.replica.status(),
            &gauge_values(&publisher, &tables),
        );
    }
}

fn gauge_values(publisher: &SitePublisher, tables: &SiteTables) -> SiteGaugeValues {
    let (document_version, unreported_windows) = {
        let state = publisher.site.read();
        let version = state.document().map_or(0, |document| document.version);
        (version, state.unreported_windows().count())
    };
    let tables = tables.lock();
    SiteGaugeValues {
        document_version,
        upstreams: tables.directory.len(),
        entries: tables.loads.entry_count(),
        unreported_windows,
    }
}
