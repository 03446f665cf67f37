//! Start and stop of an entry.

use std::net::SocketAddr;
use std::sync::Arc;

use oriolecrank_net::shutdown::ShutdownSignal;
use oriolecrank_net::{ControlClient, HttpClient, OperatorListener, PeerGuard, ReadyFlag, serve};
use oriolecrank_schema::event::LogEvent;
use prometheus_client::registry::Registry;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::caller_server::CallerServer;
use crate::entry_state::EntryState;
use crate::options::EntryOptions;
use crate::subscription::follow_control;

/// An entry that cannot start.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// An address is not available.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
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
    /// Binds the listeners.
    pub async fn bind(options: EntryOptions) -> Result<Self, EntryError> {
        let listener = listen(options.caller_listen).await?;
        let operator_listener = listen(options.operator_listen).await?;
        Ok(Self {
            options,
            listener,
            operator_listener,
        })
    }

    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .unwrap_or(self.options.caller_listen)
    }

    /// Runs until shutdown and until the running answers are finished.
    pub async fn run(self, mut shutdown: ShutdownSignal) -> Result<(), EntryError> {
        let address = self.address();
        let Self {
            options,
            listener,
            operator_listener,
        } = self;
        let guard = PeerGuard::new(options.secret.clone());
        let ready = ReadyFlag::default();
        let operator = OperatorListener::new(Registry::default(), ready.clone(), guard);
        let client = HttpClient::default();
        let control = ControlClient::new(client.clone(), options.secret.clone(), &options.control);
        let state = Arc::new(EntryState::default());
        let server = Arc::new(CallerServer::new(
            options.clone(),
            Arc::clone(&state),
            client,
        ));
        tracing::info!(event = LogEvent::ProcessStarted.number(), %address, "entry started");
        ready.set(true);
        let serving = async {
            tokio::join!(
                serve(listener, server, shutdown.clone()),
                serve(operator_listener, Arc::new(operator), shutdown.clone()),
            );
        };
        let mut stopping = shutdown.clone();
        let limit = async {
            stopping.triggered().await;
            ready.set(false);
            tracing::info!(event = LogEvent::ShutdownStarted.number(), "entry stops");
            // Waits for the serving future, which ends first when all answers are finished.
            let _ = timeout(options.shutdown_limit, std::future::pending::<()>()).await;
            tracing::warn!(
                event = LogEvent::ShutdownForced.number(),
                "answers were cut off"
            );
        };
        tokio::select! {
            () = serving => {}
            () = limit => {}
            () = follow_control(control, state, &options) => {}
        }
        shutdown.triggered().await;
        Ok(())
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}
