//! Starts and stops an entry of a site.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::shutdown::{ShutdownSignal, shutdown_channel};
use oriolecrank_net::{
    AnswerBody, BootClock, ClientSettings, HttpClient, HttpHandler, MetricsListener,
    ServerSettings, serve_with, text_answer,
};
use oriolecrank_schema::event::LogEvent;
use prometheus_client::registry::Registry;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::caller_server::CallerServer;
use crate::control_link::ControlLink;
use crate::dialect::CallerDialect;
use crate::document_fetcher::{DocumentFetcher, DocumentOffers};
use crate::entry_shared::{EntryShared, EntrySiteOptions, running_time};
use crate::entry_sync::EntrySync;
use crate::quota::QuotaLink;
use crate::stream_upload::StreamUpload;
use crate::suspect_upload::SuspectUpload;

/// Time for which a stopping entry still accepts connections. The load balancer probes readiness
/// once a second and removes an entry after two failed probes; connections may still be in transit
/// then.
const ACCEPT_CONNECTIONS_AFTER_STOP: Duration = Duration::from_millis(3_500);

/// Idle timeout of callers' connections. Callers reuse connections that were idle for up to four
/// fifths of the idle timeout in the document, which is 15 s; the entry must not close one earlier.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Largest head of a caller's request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// An entry cannot start because a listen address cannot be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct EntrySiteError {
    /// Address from the settings.
    address: SocketAddr,
    /// Cause.
    source: std::io::Error,
}

/// Runs an entry until shutdown. `seeds` holds internal addresses of control instances, from which
/// it learns the other ones.
pub async fn run_entry_site<D: CallerDialect>(
    options: EntrySiteOptions,
    dialect: Arc<D>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    mut shutdown: ShutdownSignal,
) -> Result<(), EntrySiteError> {
    let callers = listen(options.caller_listen).await?;
    let ready = listen(options.ready_listen).await?;
    let client = HttpClient::new(ClientSettings {
        connect_timeout: Duration::from_millis(400),
        idle_limit: Duration::from_secs(8),
        // All entries together must stay below the about 130 connections that an upstream accepts;
        // idle connections beyond a few are rarely reused.
        idle_per_address: 6,
        tcp_user_timeout: Some(Duration::from_millis(1_500)),
    });
    let link = ControlLink {
        client: HttpClient::default(),
        secret: options.secret.clone(),
    };
    let shutdown_limit = options.shutdown_limit;
    let event = LogEvent::ProcessStarted.number();
    tracing::info!(event, entry = %options.run.entry, callers = %options.caller_listen, "entry started");
    let shared = Arc::new(EntryShared::new(options, dialect, client, BootClock.now()));
    spawn_links(&shared, &link, seeds);
    let settings = ServerSettings {
        // Also limits the idle time of a connection between two requests.
        head_timeout: CALLER_IDLE_TIMEOUT,
        head_bytes: MAX_HEAD_BYTES,
        max_connections: shared.options.intake.client_connections(),
        budget: shared.client_budget.clone(),
    };
    let probe_settings = ServerSettings {
        max_connections: shared.options.intake.probe_connections(),
        budget: shared.options.intake.peer_budget(),
        ..ServerSettings::default()
    };
    let (_trigger, never_shut_down) = shutdown_channel();
    if let Some(address) = shared.options.metrics_listen {
        let mut registry = Registry::with_prefix("oriolecrank_gateway_entry");
        shared.metrics.register(&mut registry);
        registry.register_collector(Box::new(shared.client_budget.clone()));
        let listener = listen(address).await?;
        let metrics = Arc::new(MetricsListener::new(registry));
        tokio::spawn(serve_with(
            probe_settings.clone(),
            listener,
            metrics,
            never_shut_down.clone(),
        ));
    }
    let (server_trigger, server_shutdown) = shutdown_channel();
    let server = Arc::new(CallerServer {
        shared: Arc::clone(&shared),
        link,
    });
    let serving = tokio::spawn(serve_with(settings, callers, server, server_shutdown));
    let readiness = Arc::new(EntryReadiness {
        shared: Arc::clone(&shared),
    });
    tokio::spawn(serve_with(
        probe_settings,
        ready,
        readiness,
        never_shut_down,
    ));
    shutdown.triggered().await;
    tracing::info!(
        event = LogEvent::ShutdownStarted.number(),
        "the entry is stopping"
    );
    shared.mark_stopping(BootClock.now());
    sleep(ACCEPT_CONNECTIONS_AFTER_STOP).await;
    server_trigger.trigger();
    let time_left = running_time(shutdown_limit).saturating_sub(ACCEPT_CONNECTIONS_AFTER_STOP);
    if timeout(time_left, serving).await.is_err() {
        tracing::warn!(
            event = LogEvent::ShutdownForced.number(),
            "the shutdown limit has passed; running requests are aborted"
        );
    }
    tracing::info!(event = LogEvent::ShutdownFinished.number(), "entry stopped");
    Ok(())
}

/// Starts the tasks that exchange state with the control instances.
fn spawn_links<D: CallerDialect>(
    shared: &Arc<EntryShared<D>>,
    link: &ControlLink,
    seeds: watch::Receiver<Vec<SocketAddr>>,
) {
    let offers = DocumentOffers::default();
    let fetcher = DocumentFetcher {
        shared: Arc::clone(shared),
        link: link.clone(),
        offers: offers.clone(),
    };
    tokio::spawn(fetcher.run());
    let upload = StreamUpload {
        shared: Arc::clone(shared),
        link: link.clone(),
    };
    tokio::spawn(upload.run());
    let suspect_upload = SuspectUpload {
        shared: Arc::clone(shared),
        link: link.clone(),
    };
    tokio::spawn(suspect_upload.run());
    let quota = QuotaLink {
        shared: Arc::clone(shared),
        link: link.clone(),
    };
    tokio::spawn(quota.run());
    let sync = EntrySync {
        shared: Arc::clone(shared),
        link: link.clone(),
        offers,
        seeds,
    };
    tokio::spawn(sync.run());
}

/// Answers the readiness probe: an entry is ready while it has a document and is not stopping.
#[derive(Debug)]
struct EntryReadiness<D> {
    shared: Arc<EntryShared<D>>,
}

impl<D: CallerDialect> HttpHandler for EntryReadiness<D> {
    async fn handle(&self, _request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let refusal = if self.shared.is_stopping() {
            Some("the entry is stopping\n")
        } else if self.shared.route_table().is_none() {
            Some("no document is in force yet\n")
        } else {
            None
        };
        let status = refusal.map_or(StatusCode::OK, |_| StatusCode::SERVICE_UNAVAILABLE);
        text_answer(status, refusal.unwrap_or("ready\n").to_owned())
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EntrySiteError> {
    TcpListener::bind(address)
        .await
        .context(EntrySiteSnafu { address })
}
