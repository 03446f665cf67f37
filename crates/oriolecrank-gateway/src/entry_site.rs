//! Start and stop of an entry of a site.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::shutdown::{ShutdownSignal, shutdown_channel};
use oriolecrank_net::{
    AnswerBody, BootClock, ClientSettings, HttpClient, HttpHandler, MetricsListener,
    ServerSettings, serve, serve_with, text_answer,
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
use crate::entry_shared::{EntryShared, EntrySiteOptions};
use crate::entry_sync::EntrySync;

/// Time for which a stopping entry still takes connections: the balancer asks once a second and
/// takes an entry out after two refusals, and a connection may be on its way.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(3_500);

/// Part of the time to stop that is used, so that the process ends before it is killed.
const STOP_PART: f64 = 0.94;

/// Callers reuse connections that were idle for up to four fifths of the idle timeout of the
/// document, which is 15 s; the entry must not close one before.
const CALLER_IDLE: Duration = Duration::from_secs(20);

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// An entry that cannot start.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct EntrySiteError {
    /// Address from the settings.
    address: SocketAddr,
    /// Cause.
    source: std::io::Error,
}

/// Runs an entry until shutdown; `seeds` holds internal addresses of control instances.
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
        // All entries together must stay below what an upstream accepts, about 130 connections; idle
        // ones beyond a few are rarely used again.
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
    let sync = EntrySync {
        shared: Arc::clone(&shared),
        link,
        seeds,
    };
    tokio::spawn(sync.run());
    let settings = ServerSettings {
        head_timeout: CALLER_IDLE,
        head_bytes: MAX_HEAD_BYTES,
    };
    let (_open, never) = shutdown_channel();
    if let Some(address) = shared.options.metrics_listen {
        let mut registry = Registry::with_prefix("oriolecrank_gateway_entry");
        shared.metrics.register(&mut registry);
        let listener = listen(address).await?;
        let metrics = Arc::new(MetricsListener::new(registry));
        tokio::spawn(serve(listener, metrics, never.clone()));
    }
    let (closing, close) = shutdown_channel();
    let server = Arc::new(CallerServer {
        shared: Arc::clone(&shared),
    });
    let serving = tokio::spawn(serve_with(settings, callers, server, close));
    let readiness = Arc::new(EntryReadiness {
        shared: Arc::clone(&shared),
    });
    tokio::spawn(serve(ready, readiness, never));
    shutdown.triggered().await;
    tracing::info!(event = LogEvent::ShutdownStarted.number(), "entry stops");
    shared.stop(BootClock.now());
    sleep(ACCEPT_AFTER_STOP).await;
    closing.trigger();
    let left = shutdown_limit
        .mul_f64(STOP_PART)
        .saturating_sub(ACCEPT_AFTER_STOP);
    if timeout(left, serving).await.is_err() {
        tracing::warn!(
            event = LogEvent::ShutdownForced.number(),
            "requests were cut off"
        );
    }
    tracing::info!(event = LogEvent::ShutdownFinished.number(), "entry stopped");
    Ok(())
}

/// Answers whether this entry wants new connections.
#[derive(Debug)]
struct EntryReadiness<D> {
    shared: Arc<EntryShared<D>>,
}

impl<D: CallerDialect> HttpHandler for EntryReadiness<D> {
    async fn handle(&self, _request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let refusal = if self.shared.is_stopping() {
            Some("the entry stops\n")
        } else if self.shared.table().is_none() {
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
