//! Runs a control instance of a site until it is stopped.
//!
//! The process stays up when its instance cannot go on: a removed instance begins a new session under
//! a new identity, and one whose data folder cannot be written takes no part until it can. The
//! operators' settings and the metrics are those of the process, all else belongs to the session.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use oriolecrank_control::{ControlMemory, ReplicaError};
use oriolecrank_net::intake::IntakeSettings;
use oriolecrank_net::shutdown::{ShutdownSignal, shutdown_channel};
use oriolecrank_net::{BootClock, ClusterSecret, MetricsListener, ServerSettings, serve_with};
use oriolecrank_policy::fair_share::FairShareSettings;
use oriolecrank_policy::quota::QuotaBounds;
use oriolecrank_routing::RepairSettings;
use oriolecrank_schema::event::LogEvent;
use prometheus_client::registry::Registry;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::control_metrics::ControlMetrics;
use crate::control_session::{ControlSession, SessionEnd};
use crate::dialect::{OrderDialect, SiteDialect, UsageDialect};
use crate::memory_report::report_memory;
use crate::role_orders::RoleOrderSettings;
use crate::usage_reporter::UsageReportSettings;

/// Delay after a failure of the data folder before it is opened again. A full disk stays full for a
/// while, so that an immediate attempt would fail again.
const FAILED_DISK_DELAY: Duration = Duration::from_millis(1_500);

/// Delay before a removed instance begins again, in which the stopped replica releases its folder.
const REJOIN_DELAY: Duration = Duration::from_millis(50);

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
    /// How the engines of overloaded services are divided, if entries ask for it; `None` for the
    /// defaults.
    pub fair_share: Option<FairShareSettings>,
    /// What the deployment allows beyond the quotas of organisations.
    pub quota: QuotaBounds,
    /// Settings of usage reports; `None` if this site reports no usage.
    pub usage: Option<UsageReportSettings>,
    /// Resources of the process, which bound what its clients can make it hold.
    pub intake: IntakeSettings,
}

/// Why a control instance cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlSiteError {
    /// A listen address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The replica cannot start, for another reason than a failed read or write of its data folder:
    /// the folder is corrupt or belongs to another instance.
    #[snafu(display("cannot start the replica: {source}"))]
    Replica {
        /// Cause.
        source: ReplicaError,
    },
}

/// Runs a control instance until shutdown.
///
/// `seeds` holds internal addresses of other control instances, to which an instance that is no
/// member yet sends its request to join.
///
/// # Errors
///
/// Fails if a listen address cannot be bound, or if the data folder is corrupt or in use.
pub async fn run_control_site<D: SiteDialect + UsageDialect + OrderDialect>(
    options: ControlSiteOptions,
    dialect: Arc<D>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    mut shutdown: ShutdownSignal,
) -> Result<(), ControlSiteError> {
    let metrics = ControlMetrics::default();
    let memory = ControlMemory::new(&options.intake);
    let mut tasks = JoinSet::new();
    serve_metrics(&options, &metrics, &memory, &mut tasks).await?;
    tasks.spawn(report_memory(memory.holders().clone()));
    let mut unusable_since = None;
    loop {
        let session = ControlSession {
            options: &options,
            dialect: Arc::clone(&dialect),
            seeds: seeds.clone(),
            metrics: metrics.clone(),
            memory: memory.clone(),
            unusable_since,
        };
        let delay = match session.run(shutdown.clone()).await? {
            SessionEnd::Stopped => return Ok(()),
            SessionEnd::Removed => {
                unusable_since = None;
                tracing::warn!(
                    event = LogEvent::InstanceRestarted.number(),
                    "this instance was removed from the control group; it rejoins under a new identity"
                );
                REJOIN_DELAY
            }
            SessionEnd::StorageFailed { reason, had_opened } => {
                let known = unusable_since.filter(|_| !had_opened);
                unusable_since = Some(known.unwrap_or_else(|| BootClock.now()));
                metrics.set_storage_failed(true);
                tracing::error!(
                    event = LogEvent::StorageFailed.number(),
                    reason,
                    retry_ms = FAILED_DISK_DELAY.as_millis() as u64,
                    "the data folder cannot be used; this instance takes no part until it can"
                );
                FAILED_DISK_DELAY
            }
        };
        tokio::select! {
            () = shutdown.triggered() => return Ok(()),
            () = sleep(delay) => {}
        }
    }
}

/// Serves the metrics while `tasks` lives, if the settings name an address.
async fn serve_metrics(
    options: &ControlSiteOptions,
    metrics: &ControlMetrics,
    memory: &ControlMemory,
    tasks: &mut JoinSet<()>,
) -> Result<(), ControlSiteError> {
    let Some(address) = options.metrics_listen else {
        return Ok(());
    };
    let mut registry = Registry::with_prefix("oriolecrank_gateway_control");
    metrics.register(&mut registry);
    registry.register_collector(Box::new(memory.holders().clone()));
    let listener = listen(address).await?;
    let settings = ServerSettings {
        max_connections: options.intake.probe_connections(),
        budget: options.intake.peer_budget(),
        ..ServerSettings::default()
    };
    tasks.spawn(async move {
        // Metrics are served until the process ends, also while it stops.
        let (_trigger, never_shut_down) = shutdown_channel();
        serve_with(
            settings,
            listener,
            Arc::new(MetricsListener::new(registry)),
            never_shut_down,
        )
        .await;
    });
    Ok(())
}

/// Binds a listen address.
pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, ControlSiteError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}
