//! Startup and graceful shutdown of an agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oriolecrank_net::shutdown::{ShutdownSignal, shutdown_channel};
use oriolecrank_net::{
    BootClock, ControlClient, HttpClient, OperatorListener, PeerGuard, ReadyFlag, ServerSettings,
    serve_with,
};
use oriolecrank_policy::BlockCount;
use oriolecrank_schema::control::{UpstreamPhase, UpstreamRecord};
use oriolecrank_schema::event::LogEvent;
use prometheus_client::registry::Registry;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::time::{interval, sleep, timeout};

use crate::agent_core::AgentCore;
use crate::agent_metrics::AgentMetrics;
use crate::announcer::UpstreamAnnouncer;
use crate::control_reporter::ControlReporter;
use crate::options::AgentOptions;
use crate::order_gate::GateSettings;
use crate::order_runner::OrderRunner;
use crate::run_server::RunServer;
use crate::upstream_client::HttpUpstream;

/// Interval at which abandoned answers are removed and overdue usage is reported.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a stopping agent checks whether all requests and reports have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error that prevents an agent from starting.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// A listen address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// An agent whose listeners are bound.
#[derive(Debug)]
pub struct AgentProcess {
    options: AgentOptions,
    listener: TcpListener,
    operator_listener: TcpListener,
}

impl AgentProcess {
    /// Binds both listeners, so that an unavailable address is reported before anything starts.
    pub async fn bind(options: AgentOptions) -> Result<Self, AgentError> {
        let listener = bind_listener(options.listen).await?;
        let operator_listener = bind_listener(options.operator_listen).await?;
        Ok(Self {
            options,
            listener,
            operator_listener,
        })
    }

    /// Bound address for entries and control instances; it has the actual port if the settings
    /// name port 0.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap_or(self.options.listen)
    }

    /// Serves until shutdown, then waits for running requests and pending reports for at most
    /// `shutdown_limit`.
    pub async fn run(self, mut shutdown: ShutdownSignal) -> Result<(), AgentError> {
        let address = self.address();
        let Self {
            options,
            listener,
            operator_listener,
        } = self;
        let incarnation = new_incarnation();
        let guard = PeerGuard::new(options.secret.clone());
        let ready = ReadyFlag::default();
        let metrics = AgentMetrics::default();
        let mut registry = Registry::with_prefix("oriolecrank");
        metrics.register(&mut registry);
        let budget = options.intake.client_budget();
        registry
            .sub_registry_with_prefix("agent")
            .register_collector(Box::new(budget.clone()));
        let operator = OperatorListener::new(registry, ready.clone(), guard.clone());
        let client = HttpClient::default();
        let control = ControlClient::new(client.clone(), options.secret.clone(), &options.control);
        let (reporter, delivery) = ControlReporter::new(control.clone());
        let core = Arc::new(AgentCore::new(
            HttpUpstream::new(client, options.upstream_address),
            options.upstream.clone().into(),
            incarnation,
            BlockCount::new(options.capacity_blocks),
            reporter,
            metrics,
        ));
        let runner = Arc::new(OrderRunner::new(Arc::clone(&core), GateSettings::default()));
        let settings = ServerSettings {
            max_connections: options.intake.client_connections(),
            budget: budget.clone(),
            ..ServerSettings::default()
        };
        let operator_settings = ServerSettings {
            max_connections: options.intake.probe_connections(),
            budget: options.intake.peer_budget(),
            ..ServerSettings::default()
        };
        let server = RunServer::new(guard, Arc::clone(&core), Arc::clone(&runner), budget);
        let record = upstream_record(&options, address, incarnation);
        let mut announcer = UpstreamAnnouncer::new(control, record, Arc::clone(&core), runner);
        tracing::info!(event = LogEvent::ProcessStarted.number(), %address, "agent started");
        ready.set(true);

        let (stop_serving, serve_shutdown) = shutdown_channel();
        let announce_and_drain = async {
            announcer.run(shutdown.clone()).await;
            ready.set(false);
            tracing::info!(
                event = LogEvent::ShutdownStarted.number(),
                "agent is shutting down and refuses new requests"
            );
            // New requests are refused before the departure is announced, so that the agent accepts
            // none that it would have to cut off.
            core.table().drain(UpstreamPhase::Leaving, BootClock.now());
            announcer.announce_leaving().await;
            if timeout(options.shutdown_limit, wait_until_idle(&core))
                .await
                .is_err()
            {
                let event = LogEvent::ShutdownForced.number();
                tracing::warn!(
                    event,
                    running = core.table().running(),
                    "shutdown limit reached; unfinished requests and reports are dropped"
                );
            }
            stop_serving.trigger();
        };
        let sweep_periodically = async {
            let mut ticks = interval(SWEEP_INTERVAL);
            loop {
                ticks.tick().await;
                core.sweep().await;
            }
        };
        let serve_until_shutdown = async {
            tokio::join!(
                serve_with(settings, listener, Arc::new(server), serve_shutdown.clone()),
                serve_with(
                    operator_settings,
                    operator_listener,
                    Arc::new(operator),
                    serve_shutdown.clone()
                ),
                announce_and_drain,
            );
        };
        tokio::select! {
            () = serve_until_shutdown => {}
            () = sweep_periodically => {}
            () = delivery => {}
        }
        shutdown.triggered().await;
        tracing::info!(event = LogEvent::ShutdownFinished.number(), "agent stopped");
        Ok(())
    }
}

async fn wait_until_idle(core: &AgentCore<HttpUpstream>) {
    while !core.is_idle() {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

fn upstream_record(
    options: &AgentOptions,
    address: SocketAddr,
    incarnation: u64,
) -> UpstreamRecord {
    UpstreamRecord {
        address: address.to_string(),
        capacity_blocks: options.capacity_blocks,
        checks_fencing: options.checks_fencing,
        failure_domain: options.failure_domain.clone().into(),
        incarnation,
        model: options.model.clone(),
        phase: UpstreamPhase::Ready,
        region: options.region.clone().into(),
        role: options.role,
        service: options.service.clone().into(),
        upstream: options.upstream.clone().into(),
        version: options.version.clone(),
    }
}

/// Incarnation of this agent process: the wall clock time of its start in microseconds, so that a
/// later process for the same upstream has a larger number.
fn new_incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |elapsed| elapsed.as_micros() as u64)
}

async fn bind_listener(address: SocketAddr) -> Result<TcpListener, AgentError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}
