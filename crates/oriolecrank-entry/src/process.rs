//! Startup and graceful shutdown of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::shutdown::{ShutdownSignal, shutdown_channel};
use oriolecrank_net::{
    BootClock, ControlClient, HttpClient, OperatorListener, PeerGuard, ReadyFlag, ServerSettings,
    serve_with,
};
use oriolecrank_policy::admission::AdmissionSettings;
use oriolecrank_policy::rate_limiter::LimiterSettings;
use oriolecrank_policy::read_coalescing::CoalescingSettings;
use oriolecrank_policy::retry_budget::RetrySettings;
use oriolecrank_policy::subset::EntryIdentity;
use oriolecrank_policy::upstream_chooser::ChooserSettings;
use oriolecrank_policy::upstream_state::NetworkLocation;
use oriolecrank_schema::event::LogEvent;
use prometheus_client::registry::Registry;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::time::{interval, sleep, timeout};

use crate::admission::AdmissionControl;
use crate::attempt_stream::AgentTransport;
use crate::caller_server::CallerServer;
use crate::demand_meter::DemandMeter;
use crate::entry_context::EntryContext;
use crate::entry_metrics::EntryMetrics;
use crate::entry_state::EntryState;
use crate::options::EntryOptions;
use crate::read_coalescer::ReadCoalescer;
use crate::retry_gate::RetryGate;
use crate::subscription::{ControlFollower, PING_INTERVAL};
use crate::upstream_pool::UpstreamPool;
use crate::usage_reporter::UsageReporter;

/// Interval at which the age of the state is published as a metric, the weights of ejected
/// upstreams are updated, and idle retry budgets and expired suspects are removed.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit at shutdown for the last usage records, and then for open connections of the operator
/// listener.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Error that prevents an entry from starting.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// A listen address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// An entry whose listeners are bound.
#[derive(Debug)]
pub struct EntryProcess {
    options: EntryOptions,
    listener: TcpListener,
    operator_listener: TcpListener,
}

impl EntryProcess {
    /// Binds both listeners, so that an unavailable address is reported before anything starts.
    pub async fn bind(options: EntryOptions) -> Result<Self, EntryError> {
        let listener = listen(options.caller_listen).await?;
        let operator_listener = listen(options.operator_listen).await?;
        Ok(Self {
            options,
            listener,
            operator_listener,
        })
    }

    /// Bound address for callers; it has the actual port if the settings name port 0.
    pub fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .unwrap_or(self.options.caller_listen)
    }

    /// Bound address of the operator listener; it has the actual port if the settings name port 0.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_listener
            .local_addr()
            .unwrap_or(self.options.operator_listen)
    }

    /// Serves until shutdown, then finishes running answers and reports the remaining usage within
    /// the time limits.
    pub async fn run(self, shutdown: ShutdownSignal) -> Result<(), EntryError> {
        let address = self.address();
        let Self {
            options,
            listener,
            operator_listener,
        } = self;
        let context = Arc::new(context(&options));
        let mut registry = Registry::default();
        context.metrics.register(&mut registry);
        registry
            .sub_registry_with_prefix("oriolecrank_entry")
            .register_collector(Box::new(context.client_budget.clone()));
        let guard = PeerGuard::new(options.secret.clone());
        let ready = ReadyFlag::default();
        let operator = Arc::new(OperatorListener::new(registry, ready.clone(), guard));
        // The operator listener has its own shutdown signal, so that it answers readiness checks
        // until all answers are finished.
        let (operator_trigger, operator_signal) = shutdown_channel();
        let operator_settings = ServerSettings {
            max_connections: options.intake.probe_connections(),
            budget: options.intake.peer_budget(),
            ..ServerSettings::default()
        };
        let operator = tokio::spawn(serve_with(
            operator_settings,
            operator_listener,
            operator,
            operator_signal,
        ));
        ready.set(true);
        tracing::info!(event = LogEvent::ProcessStarted.number(), %address, "entry started");
        let server = Arc::new(CallerServer::new(Arc::clone(&context)));
        let follower = follower(&context);
        tokio::select! {
            () = serve_callers(listener, server, shutdown, &context, &ready) => {}
            () = follower.run() => {}
            () = context.usage.run(&context.control) => {}
            () = run_housekeeping(&context) => {}
        }
        if !context.usage.flush(&context.control, FLUSH_TIMEOUT).await {
            let event = LogEvent::UsageDropped.number();
            let records = context.usage.pending_records();
            tracing::error!(
                event,
                records,
                "usage records were not acknowledged before shutdown; this entry drops them"
            );
        }
        operator_trigger.trigger();
        // Ends when the open operator connections are finished. A timeout and a panic of the
        // listener are both ignored, because the process ends anyway.
        let _ = timeout(FLUSH_TIMEOUT, operator).await;
        tracing::info!(event = LogEvent::ShutdownFinished.number(), "entry stopped");
        Ok(())
    }
}

/// Serves callers until shutdown. The entry then reports that it is not ready, closes the listener
/// after the drain notice, and waits for running answers until the shutdown limit.
async fn serve_callers(
    listener: TcpListener,
    server: Arc<CallerServer>,
    mut shutdown: ShutdownSignal,
    context: &EntryContext,
    ready: &ReadyFlag,
) {
    let options = &context.options;
    let settings = ServerSettings {
        max_connections: options.intake.client_connections(),
        budget: context.client_budget.clone(),
        ..ServerSettings::default()
    };
    let (trigger, signal) = shutdown_channel();
    let stop = async {
        shutdown.triggered().await;
        ready.set(false);
        tracing::info!(
            event = LogEvent::ShutdownStarted.number(),
            "entry is shutting down and no longer ready; the listener closes after the drain notice"
        );
        // Load balancers need this time to notice that the entry is no longer ready.
        sleep(options.drain_notice).await;
        trigger.trigger();
        sleep(options.shutdown_limit).await;
        let event = LogEvent::ShutdownForced.number();
        tracing::warn!(
            event,
            "shutdown limit reached; unfinished answers are cut off"
        );
    };
    tokio::select! {
        () = serve_with(settings, listener, server, signal) => {}
        () = stop => {}
    }
}

async fn run_housekeeping(context: &EntryContext) {
    let mut ticks = interval(HOUSEKEEPING_INTERVAL);
    let mut was_fresh = true;
    loop {
        ticks.tick().await;
        let now = BootClock.now();
        let lease = context.options.freshness_lease;
        let fresh_until = context.state.fresh_until();
        // `until` is one lease after the newest confirmed ping was sent; the age counts from then.
        let age = fresh_until.map(|until| (now + lease).since(until));
        context.metrics.set_state_age(age);
        let fresh = context.state.is_fresh(now);
        if was_fresh && !fresh {
            let event = LogEvent::StateStale.number();
            tracing::warn!(
                event,
                "no valid freshness lease; requests with an API key are refused"
            );
        }
        was_fresh = fresh;
        context.retries.forget_idle(now);
        context.pool.update_ejected_weights(now);
        context.suspects.forget_expired(now);
    }
}

fn context(options: &EntryOptions) -> EntryContext {
    let client = HttpClient::default();
    let secret = options.secret.clone();
    let entry = EntryIdentity {
        name: options.name.clone(),
        location: NetworkLocation {
            failure_domain: options.failure_domain.clone().into(),
            region: options.region.clone().into(),
        },
    };
    let metrics = Arc::new(EntryMetrics::default());
    let usage = UsageReporter::new(options.name.clone(), Arc::clone(&metrics));
    EntryContext {
        state: Arc::new(EntryState::new(options.freshness_lease, PING_INTERVAL)),
        pool: Arc::new(UpstreamPool::new(entry, ChooserSettings::default())),
        admission: Arc::new(AdmissionControl::new(
            AdmissionSettings::default(),
            LimiterSettings::default(),
        )),
        demand: Arc::new(DemandMeter::default()),
        control: ControlClient::new(client.clone(), secret.clone(), &options.control),
        transport: AgentTransport { client, secret },
        usage: Arc::new(usage),
        metrics,
        retries: RetryGate::new(RetrySettings::default()),
        suspects: Arc::default(),
        client_budget: options.intake.client_budget(),
        // Callers' requests are the only messages that an entry receives, so the share of messages
        // between instances is free.
        answer_budget: options.intake.peer_budget(),
        coalescer: Arc::new(ReadCoalescer::new(CoalescingSettings::default())),
        options: options.clone(),
    }
}

fn follower(context: &EntryContext) -> ControlFollower {
    ControlFollower {
        client: context.control.clone(),
        state: Arc::clone(&context.state),
        pool: Arc::clone(&context.pool),
        suspects: Arc::clone(&context.suspects),
        admission: Arc::clone(&context.admission),
        demand: Arc::clone(&context.demand),
        metrics: Arc::clone(&context.metrics),
        options: context.options.clone(),
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}
