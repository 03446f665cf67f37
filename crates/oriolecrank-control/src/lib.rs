//! Control instance of oriolecrank: a member of the group that replicates the cluster state.
//!
//! A [`ControlProcess`] binds its listeners first, so that tests can use port 0, and then runs
//! until shutdown. [`ControlOptions`] are its validated settings.
//!
//! - [`CommandReplica`] is the replicated log; committed commands change the [`SharedState`], which
//!   publishes the changes to its subscribers, the entry processes.
//! - [`LeaderTables`] hold data that only the leader has, in memory: the leases of the upstreams
//!   ([`LeaseTable`]), the last pings of the entry processes ([`SubscriberTable`]) and their shares
//!   of the limits ([`ShareTable`]).
//! - [`OrderExecutor`], [`PlatformExecutor`] and [`UsageExecutor`] send the leader's requests to
//!   other systems. They ask for a [`WritePermit`] immediately before each write, and those that
//!   write to systems without fencing numbers wait first ([`AuthorityWait`]).
//! - [`CapacityExecutor`] makes plans from [`CapacityInputs`] and carries them out through the
//!   executors of orders and of the platform; [`LeaderActions`] runs all four executors.
//! - [`MembershipService`] changes the control group for operators and lists the instances that
//!   wait to be added, which announce themselves by a [`JoinAnnouncer`].
//! - `request_server` serves the requests of the other processes.
//! - [`start_replica`] runs the consensus core and its storage on a thread of its own;
//!   [`ReplicaHandle`] gives access to it. [`PeerTransport`] sends messages to the other replicas
//!   over HTTP and [`PeerIngress`] receives theirs.

mod action_authority;
mod capacity_executor;
mod capacity_inputs;
mod capacity_planner;
mod capacity_settings;
mod cluster_label;
mod command_replica;
mod control_memory;
mod control_metrics;
mod group_membership;
mod guarded_client;
mod join_announcer;
mod join_table;
mod leader_actions;
mod leader_tables;
mod lease_table;
mod membership_service;
mod options;
mod order_executor;
mod peer_directory;
mod peer_ingress;
mod peer_sender;
mod peer_transport;
mod ping_sequence;
mod platform_client;
mod platform_executor;
mod process;
mod raft_replica;
mod replica;
mod replica_error;
mod replica_input;
mod replica_thread;
mod replica_waiters;
mod request_server;
mod share_table;
mod shared_state;
mod state_machine;
mod subscriber_table;
mod subscription_hub;
mod upstream_change;
mod usage_client;
mod usage_executor;

pub use action_authority::{
    AuthorityWait, LeaderPermit, TermGuard, TimeSource, WaitSettings, WaitState, WritePermit,
};
pub use capacity_executor::CapacityExecutor;
pub use capacity_inputs::{CapacityInputs, InputTables, LoadReport};
pub use capacity_planner::{CapacityPlanner, PlannedChanges, PlannerSettings, PlannerView};
pub use capacity_settings::{CapacitySettings, CapacitySources};
pub use cluster_label::ClusterLabel;
pub use command_replica::CommandReplica;
pub use control_memory::ControlMemory;
pub use control_metrics::{ControlMetrics, GaugeValues};
pub use group_membership::GroupMembership;
pub use guarded_client::{GuardedAnswer, GuardedError, VerdictError, send_guarded};
pub use join_announcer::JoinAnnouncer;
pub use join_table::JoinTable;
pub use leader_actions::LeaderActions;
pub use leader_tables::LeaderTables;
pub use lease_table::{LeaseReport, LeaseSettings, LeaseTable};
pub use membership_service::MembershipService;
pub use options::{ControlOptions, InitialMember};
pub use order_executor::{OrderExecutor, OrderOutcome, OrderOutcomes, OrderSettings};
pub use peer_directory::PeerDirectory;
pub use peer_ingress::PeerIngress;
pub use peer_sender::PeerSender;
pub use peer_transport::{PEER_PATH, PeerTransport};
pub use ping_sequence::{PingSequence, SubscriberIncarnation};
pub use platform_client::{
    HttpPlatform, PlatformAnswer, PlatformClient, PlatformError, PlatformRequest, PlatformRequestId,
};
pub use platform_executor::{PlatformExecutor, PlatformSettings, StartOutcome, StartOutcomes};
pub use process::{ControlError, ControlProcess};
pub use raft_replica::{CommandMachine, RaftReplica};
pub use replica::{MAX_ENTRY_BYTES, ReplicaHandle, ReplicaPhase, ReplicaSettings, ReplicaStatus};
pub use replica_error::{Applied, BarrierError, ChangeError, ProposeError, ReplicaError};
pub use replica_thread::start_replica;
pub use share_table::{ShareGrant, ShareReport, ShareTable};
pub use shared_state::SharedState;
pub use state_machine::StateMachine;
pub use subscriber_table::{InForceReport, SubscriberRecord, SubscriberTable};
pub use subscription_hub::SubscriptionHub;
pub use usage_client::{HttpUsage, ReportAnswer, ReportId, UsageClient, UsageReport};
pub use usage_executor::{UsageExecutor, UsageSettings};
