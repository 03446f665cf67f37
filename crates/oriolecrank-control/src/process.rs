//! Start and stop of a control instance.

use std::net::SocketAddr;
use std::sync::Arc;

use oriolecrank_net::shutdown::ShutdownSignal;
use oriolecrank_net::{HttpClient, OperatorListener, PeerGuard, ReadyFlag, serve};
use oriolecrank_schema::event::LogEvent;
use prometheus_client::registry::Registry;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;

use crate::control_metrics::ControlMetrics;
use crate::leader_actions::LeaderActions;
use crate::leader_duties::LeaderDuties;
use crate::local_replica::LocalReplica;
use crate::options::ControlOptions;
use crate::request_server::RequestServer;
use crate::shared_state::SharedState;

/// A control instance that cannot start.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// An address is not available.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The data folder cannot be used.
    #[snafu(display("cannot use the data folder: {source}"))]
    Storage {
        /// Cause.
        source: std::io::Error,
    },
}

/// A control instance whose listeners are bound.
#[derive(Debug)]
pub struct ControlProcess {
    options: ControlOptions,
    listener: TcpListener,
    operator_listener: TcpListener,
}

impl ControlProcess {
    /// Binds the listeners.
    pub async fn bind(options: ControlOptions) -> Result<Self, ControlError> {
        let listener = listen(options.listen).await?;
        let operator_listener = listen(options.operator_listen).await?;
        Ok(Self {
            options,
            listener,
            operator_listener,
        })
    }

    /// Address for other processes.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap_or(self.options.listen)
    }

    /// Runs until shutdown.
    pub async fn run(self, shutdown: ShutdownSignal) -> Result<(), ControlError> {
        let address = self.address();
        let state = Arc::new(SharedState::default());
        let replica = LocalReplica::open(&self.options.data_folder, Arc::clone(&state));
        let replica = Arc::new(replica.context(StorageSnafu)?);
        let duties = Arc::new(LeaderDuties::new(Arc::clone(&replica), Arc::clone(&state)));
        let secret = self.options.secret.clone();
        let guard = PeerGuard::new(secret.clone());
        let ready = ReadyFlag::default();
        let metrics = ControlMetrics::default();
        let mut registry = Registry::default();
        metrics.register(&mut registry);
        let operator = OperatorListener::new(registry, ready.clone(), guard);
        let actions = LeaderActions::new(&self.options, &replica, &state, &duties, &metrics);
        let actions = Box::pin(actions.run());
        let client = HttpClient::default();
        let server = RequestServer::new(secret, client, replica, state, Arc::clone(&duties));
        tracing::info!(event = LogEvent::ProcessStarted.number(), %address, "control started");
        ready.set(true);
        let serving = async {
            tokio::join!(
                serve(self.listener, Arc::new(server), shutdown.clone()),
                serve(self.operator_listener, Arc::new(operator), shutdown),
            );
        };
        tokio::select! {
            () = serving => {}
            () = duties.run() => {}
            () = actions => {}
        }
        Ok(())
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ControlError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}
