//! Startup and shutdown of a control instance.

use std::net::SocketAddr;
use std::sync::Arc;

use oriolecrank_consensus::{InstanceId, Member, MemberRole};
use oriolecrank_net::shutdown::ShutdownSignal;
use oriolecrank_net::{HttpClient, OperatorListener, PeerGuard, ReadyFlag, serve};
use oriolecrank_schema::control::{CommandOutcome, JoinRequest, JoiningInstance};
use oriolecrank_schema::event::LogEvent;
use prometheus_client::registry::Registry;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::control_metrics::ControlMetrics;
use crate::join_announcer::JoinAnnouncer;
use crate::leader_actions::LeaderActions;
use crate::leader_tables::LeaderTables;
use crate::membership_service::MembershipService;
use crate::options::ControlOptions;
use crate::peer_directory::PeerDirectory;
use crate::peer_ingress::PeerIngress;
use crate::peer_transport::PeerTransport;
use crate::raft_replica::{CommandMachine, RaftReplica};
use crate::replica::{ReplicaHandle, ReplicaPhase, ReplicaSettings};
use crate::replica_error::ReplicaError;
use crate::replica_thread::start_replica;
use crate::request_server::RequestServer;
use crate::shared_state::SharedState;

/// Why a control instance cannot start or had to stop.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// A listen address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The replica cannot open its data folder or start its thread.
    #[snafu(display("cannot start the replica: {source}"))]
    Replica {
        /// Cause.
        source: ReplicaError,
    },
    /// The replica stopped because its data folder cannot be written or its thread has panicked.
    #[snafu(display("the replica stopped: {reason}"))]
    ReplicaFailed {
        /// Cause, as text.
        reason: String,
    },
}

/// A control instance whose listeners are bound.
#[derive(Debug)]
pub struct ControlProcess {
    options: ControlOptions,
    listener: TcpListener,
    operator_listener: TcpListener,
    replica: watch::Sender<Option<RaftReplica>>,
}

impl ControlProcess {
    /// Binds both listeners, so that an unavailable address is reported before anything starts.
    pub async fn bind(options: ControlOptions) -> Result<Self, ControlError> {
        let listener = listen(options.listen).await?;
        let operator_listener = listen(options.operator_listen).await?;
        Ok(Self {
            options,
            listener,
            operator_listener,
            replica: watch::Sender::default(),
        })
    }

    /// The replica of this instance; `None` until [`run`](Self::run) has started it.
    pub fn replica(&self) -> watch::Receiver<Option<RaftReplica>> {
        self.replica.subscribe()
    }

    /// Bound address for other processes; it has the actual port if the settings name port 0.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap_or(self.options.listen)
    }

    /// Runs until shutdown, or until the replica fails.
    pub async fn run(self, shutdown: ShutdownSignal) -> Result<(), ControlError> {
        let address = self.address();
        let Self {
            options,
            listener,
            operator_listener,
            replica: replica_sender,
        } = self;
        let state = Arc::new(SharedState::default());
        let client = HttpClient::default();
        let directory = PeerDirectory::default();
        let secret = options.secret.clone();
        let transport = PeerTransport::new(
            options.cluster.clone(),
            address,
            client.clone(),
            secret.clone(),
            directory.clone(),
        );
        let settings = replica_settings(&options, address);
        let machine = CommandMachine::new(Arc::clone(&state));
        let handle = start_replica(settings, machine, transport).context(ReplicaSnafu)?;
        let replica = Arc::new(RaftReplica::new(handle.clone()));
        replica_sender.send_replace(Some(RaftReplica::clone(&replica)));
        let tables = Arc::new(LeaderTables::new(Arc::clone(&replica), Arc::clone(&state)));
        let announcer = join_announcer(&options, address, &handle, &client);
        let announcing = async {
            announcer.run().await;
            std::future::pending::<()>().await;
        };
        let members = MembershipService::new(options.cluster.clone(), Arc::clone(&replica));
        let guard = PeerGuard::new(secret.clone());
        let ingress = PeerIngress::new(options.cluster.clone(), guard.clone(), handle, directory);
        let ready = ReadyFlag::default();
        let metrics = ControlMetrics::default();
        let mut registry = Registry::with_prefix("oriolecrank");
        metrics.register(&mut registry);
        let operator = OperatorListener::new(registry, ready.clone(), guard);
        let actions = LeaderActions::new(&options, &replica, &state, &tables, &metrics);
        let actions = Box::pin(actions.run());
        let server = RequestServer::new(
            ingress,
            secret,
            client,
            Arc::clone(&replica),
            state,
            Arc::clone(&tables),
            members,
        );
        tracing::info!(event = LogEvent::ProcessStarted.number(), %address, "control started");
        ready.set(true);
        let serving = async {
            tokio::join!(
                serve(listener, Arc::new(server), shutdown.clone()),
                serve(operator_listener, Arc::new(operator), shutdown.clone()),
            );
        };
        let mut signal = shutdown.clone();
        let stopping = async {
            signal.triggered().await;
            ready.set(false);
            tracing::info!(
                event = LogEvent::ShutdownStarted.number(),
                "control is shutting down"
            );
            sleep(options.shutdown_limit).await;
        };
        tokio::select! {
            () = serving => {}
            () = stopping => {
                tracing::warn!(
                    event = LogEvent::ShutdownForced.number(),
                    "shutdown limit reached; running requests were cut off"
                );
            }
            () = tables.run() => {}
            () = actions => {}
            () = announcing => {}
            phase = replica.stopped() => {
                if let ReplicaPhase::Failed(reason) = phase {
                    return ReplicaFailedSnafu { reason }.fail();
                }
            }
        }
        replica.stop();
        replica.stopped().await;
        tracing::info!(
            event = LogEvent::ShutdownFinished.number(),
            "control stopped"
        );
        Ok(())
    }
}

/// Settings of the replica. Only an instance that is itself an initial voter founds the group with
/// the list of initial voters; any other instance waits until the leader adds it.
fn replica_settings(options: &ControlOptions, address: SocketAddr) -> ReplicaSettings {
    let is_founder = options
        .members
        .iter()
        .any(|member| member.instance == options.instance);
    let founders = options.members.iter().filter(|_| is_founder).map(|member| {
        let is_self = member.instance == options.instance;
        Member {
            address: if is_self { address } else { member.address }.to_string(),
            id: InstanceId::new(&member.instance),
            role: MemberRole::Voter,
        }
    });
    ReplicaSettings {
        cluster: options.cluster.clone(),
        name: options.instance.clone(),
        data_folder: options.data_folder.clone(),
        founders: founders.collect(),
        ..ReplicaSettings::default()
    }
}

/// Announcer of this instance to the other initial voters; it runs while this instance is not a
/// member.
fn join_announcer(
    options: &ControlOptions,
    address: SocketAddr,
    handle: &ReplicaHandle<CommandOutcome>,
    client: &HttpClient,
) -> JoinAnnouncer {
    let targets = options.members.iter().map(|member| member.address);
    let instance = JoiningInstance {
        address: address.to_string(),
        instance: handle.status().node.id.to_string(),
        name: options.instance.clone(),
    };
    JoinAnnouncer {
        replica: handle.clone(),
        request: JoinRequest {
            cluster: options.cluster.clone(),
            instance,
        },
        targets: targets.filter(|target| *target != address).collect(),
        client: client.clone(),
        secret: options.secret.clone(),
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ControlError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}
