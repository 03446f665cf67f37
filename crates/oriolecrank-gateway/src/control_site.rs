//! Starts and stops a control instance of a site.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use oriolecrank_consensus::{DiskFiles, InstanceId, LogStorage, Member, MemberRole, StorageError};
use oriolecrank_control::{
    PeerDirectory, PeerIngress, PeerTransport, ReplicaError, ReplicaHandle, ReplicaPhase,
    ReplicaSettings, start_replica,
};
use oriolecrank_net::shutdown::{ShutdownSignal, shutdown_channel};
use oriolecrank_net::{
    BootClock, ClientSettings, ClusterSecret, HttpClient, MetricsListener, PeerGuard, serve,
};
use oriolecrank_routing::{RepairSettings, SiteOutcome};
use oriolecrank_schema::event::LogEvent;
use prometheus_client::registry::Registry;
use rand::Rng as _;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::{interval, sleep};

use crate::control_link::ControlLink;
use crate::control_metrics::{ControlMetrics, SiteGaugeValues};
use crate::dialect::{OrderDialect, SiteDialect, UsageDialect};
use crate::document_transfer::DocumentCache;
use crate::group_repair::GroupRepair;
use crate::internal_server::InternalServer;
use crate::role_orders::{RoleOrderSettings, RoleOrders};
use crate::site_clock::SiteClock;
use crate::site_gossip::SiteGossip;
use crate::site_machine::{SharedSite, SiteMachine};
use crate::site_publisher::SitePublisher;
use crate::site_server::SiteServer;
use crate::site_tables::SiteTables;
use crate::stream_records::StreamRecorder;
use crate::usage_reporter::{UsageReportSettings, UsageReporter};

/// Time that running requests get to finish when the process stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay between a failure of the data folder and the exit of the process, which is then restarted.
/// A full disk stays full for a while, so an immediate restart would fail again.
const FAILED_DISK_DELAY: Duration = Duration::from_millis(1_500);

/// Interval between updates of the gauges; well below the usual scrape interval.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of a control instance.
#[derive(Debug, Clone)]
pub struct ControlSiteOptions {
    /// Name of the cluster; messages of other clusters are refused.
    pub cluster: String,
    /// Listen address for operators and upstreams.
    pub operator_listen: SocketAddr,
    /// Listen address for entries and other control instances; also the identity of the instance.
    pub internal_listen: SocketAddr,
    /// Internal addresses of the founding members when the group starts for the first time, else
    /// empty.
    pub founders: Vec<SocketAddr>,
    /// Folder for the log and the snapshots.
    pub data_folder: PathBuf,
    /// Listen address for metrics; `None` if they are not served.
    pub metrics_listen: Option<SocketAddr>,
    /// Shared secret that authenticates the processes of the cluster to each other.
    pub secret: ClusterSecret,
    /// When members of the control group are replaced.
    pub repair: RepairSettings,
    /// When engines are ordered to change their roles.
    pub orders: RoleOrderSettings,
    /// Settings of usage reports; `None` if this site reports no usage.
    pub usage: Option<UsageReportSettings>,
}

/// Why a control instance cannot start or had to stop.
#[derive(Debug, Snafu)]
pub enum ControlSiteError {
    /// A listen address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The replica cannot open its data folder.
    #[snafu(display("cannot start the replica: {source}"))]
    Replica {
        /// Cause.
        source: ReplicaError,
    },
    /// The group has removed this instance. Its data folder is marked, and the next start gives it
    /// a new identity.
    #[snafu(display(
        "this instance was removed from the control group; it rejoins under a new identity"
    ))]
    Removed,
    /// The removal of this instance cannot be stored in the data folder.
    #[snafu(display("cannot mark the data folder of a removed instance: {source}"))]
    MarkRemoved {
        /// Cause.
        source: StorageError,
    },
    /// The replica stopped because its data folder cannot be written.
    #[snafu(display("the replica stopped: {reason}"))]
    ReplicaFailed {
        /// Cause, as text.
        reason: String,
    },
}

/// Runs a control instance until shutdown, or until the data folder cannot be written.
///
/// `seeds` holds internal addresses of other control instances, to which an instance that is no
/// member yet sends its request to join.
pub async fn run_control_site<D: SiteDialect + UsageDialect + OrderDialect>(
    options: ControlSiteOptions,
    dialect: Arc<D>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    shutdown: ShutdownSignal,
) -> Result<(), ControlSiteError> {
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
    );
    let site = SharedSite::new();
    let machine = SiteMachine(site.clone());
    let replica = open_replica(&options, machine, transport).await?;
    let link = ControlLink {
        client: client.clone(),
        secret: options.secret.clone(),
    };
    let publisher = SitePublisher {
        replica: replica.clone(),
        site,
        link,
    };
    let tables = Arc::new(SiteTables::new(rand::rng().random()));
    let guard = PeerGuard::new(options.secret.clone());
    let clock = Arc::new(SiteClock::start(BootClock.now()));
    let internal_server = InternalServer {
        cluster: options.cluster.clone(),
        guard: guard.clone(),
        ingress: PeerIngress::new(options.cluster.clone(), guard, replica.clone(), directory),
        publisher: publisher.clone(),
        tables: Arc::clone(&tables),
        clock: Arc::clone(&clock),
        documents: DocumentCache::default(),
    };
    let site_server = SiteServer {
        dialect: Arc::clone(&dialect),
        publisher: publisher.clone(),
        tables: Arc::clone(&tables),
        gossip: SiteGossip::start(options.cluster.clone(), publisher.clone()),
        clock: Arc::clone(&clock),
    };
    let removed = Arc::new(Notify::new());
    let repair = GroupRepair {
        cluster: options.cluster.clone(),
        address: options.internal_listen,
        seeds,
        settings: options.repair.clone(),
        publisher: publisher.clone(),
        tables: Arc::clone(&tables),
        removed: Arc::clone(&removed),
    };
    tokio::spawn(repair.run());
    let recorder = StreamRecorder {
        publisher: publisher.clone(),
        tables: Arc::clone(&tables),
    };
    tokio::spawn(recorder.run());
    let metrics = serve_metrics(&options, &publisher, &tables).await?;
    let orders = RoleOrders {
        settings: options.orders.clone(),
        dialect: Arc::clone(&dialect),
        client: client.clone(),
        publisher: publisher.clone(),
        tables: Arc::clone(&tables),
        metrics: metrics.clone(),
    };
    tokio::spawn(orders.run());
    if let Some(settings) = options.usage.clone() {
        let reporter = UsageReporter {
            settings,
            dialect,
            client,
            publisher,
            tables,
            clock,
            metrics,
        };
        tokio::spawn(reporter.run());
    }
    tracing::info!(
        event = LogEvent::ProcessStarted.number(),
        operators = %options.operator_listen,
        internal = %options.internal_listen,
        "control started"
    );
    let servers = SiteListeners {
        operators,
        internal,
        site_server,
        internal_server,
        removed,
        data_folder: options.data_folder,
    };
    servers.run(replica, shutdown).await
}

/// Listeners of a control instance and the handlers of their requests.
struct SiteListeners<D> {
    operators: TcpListener,
    internal: TcpListener,
    site_server: SiteServer<D>,
    internal_server: InternalServer,
    /// Notified when the group has removed this instance.
    removed: Arc<Notify>,
    data_folder: PathBuf,
}

impl<D: SiteDialect> SiteListeners<D> {
    /// Serves until shutdown, until the replica fails or until the group has removed the instance,
    /// and then stops the replica.
    async fn run(
        self,
        replica: ReplicaHandle<SiteOutcome>,
        mut shutdown: ShutdownSignal,
    ) -> Result<(), ControlSiteError> {
        let (site_server, internal_server) =
            (Arc::new(self.site_server), Arc::new(self.internal_server));
        let serving = async {
            tokio::join!(
                serve(self.operators, site_server, shutdown.clone()),
                serve(self.internal, internal_server, shutdown.clone()),
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
                LogStorage::mark_removed(&DiskFiles, &self.data_folder).context(MarkRemovedSnafu)?;
                return RemovedSnafu.fail();
            }
            phase = replica.stopped() => {
                if let ReplicaPhase::Failed(reason) = phase {
                    sleep(FAILED_DISK_DELAY).await;
                    return ReplicaFailedSnafu { reason }.fail();
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
        Ok(())
    }
}

/// Starts the replica. If the data folder cannot be opened, the error is returned after
/// [`FAILED_DISK_DELAY`].
async fn open_replica(
    options: &ControlSiteOptions,
    machine: SiteMachine,
    transport: PeerTransport,
) -> Result<ReplicaHandle<SiteOutcome>, ControlSiteError> {
    match start_replica(replica_settings(options), machine, transport) {
        Ok(replica) => Ok(replica),
        Err(error) => {
            sleep(FAILED_DISK_DELAY).await;
            Err(error).context(ReplicaSnafu)
        }
    }
}

/// Settings of the replica. Only founding members bootstrap the group with the list of founders;
/// any other instance waits until the leader adds it.
fn replica_settings(options: &ControlSiteOptions) -> ReplicaSettings {
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
        snapshot_bytes: 4 * 1024 * 1024,
        trailing_entries: 128,
        trailing_bytes: 2 * 1024 * 1024,
        propose_timeout: Duration::from_millis(2_500),
        ..ReplicaSettings::default()
    }
}

/// Serves the metrics and updates their gauges, if the settings name an address.
async fn serve_metrics(
    options: &ControlSiteOptions,
    publisher: &SitePublisher,
    tables: &Arc<SiteTables>,
) -> Result<ControlMetrics, ControlSiteError> {
    let metrics = ControlMetrics::default();
    let Some(address) = options.metrics_listen else {
        return Ok(metrics);
    };
    let mut registry = Registry::with_prefix("oriolecrank_gateway_control");
    metrics.register(&mut registry);
    let listener = listen(address).await?;
    let (publisher, tables) = (publisher.clone(), Arc::clone(tables));
    let gauges = metrics.clone();
    tokio::spawn(async move {
        let (_trigger, never_shut_down) = shutdown_channel();
        let serving = serve(
            listener,
            Arc::new(MetricsListener::new(registry)),
            never_shut_down,
        );
        let updating = async {
            let mut ticks = interval(GAUGE_INTERVAL);
            loop {
                ticks.tick().await;
                gauges.set_gauges(
                    &publisher.replica.status(),
                    &gauge_values(&publisher, &tables),
                );
            }
        };
        tokio::join!(serving, updating)
    });
    Ok(metrics)
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

async fn listen(address: SocketAddr) -> Result<TcpListener, ControlSiteError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}
