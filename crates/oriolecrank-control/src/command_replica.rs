//! The replicated log as the control process uses it.

use std::net::SocketAddr;

use oriolecrank_consensus::LeaderAuthority;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, CommandOutcome, ControlMember};

/// A control instance's part of the replicated log.
pub trait CommandReplica: Send + Sync + 'static {
    /// Commits and applies a command.
    ///
    /// [`CommandOutcome::NotLeader`] means that it has no effect, [`CommandOutcome::Unavailable`]
    /// that it may still take effect.
    fn propose(&self, command: Command) -> impl Future<Output = CommandOutcome> + Send;

    /// Waits until the local state contains everything that was committed before the call. `false`
    /// if this instance is not the leader or cannot reach a quorum.
    fn read_barrier(&self) -> impl Future<Output = bool> + Send;

    /// Authority to act outside the log; `None` when this instance is not the leader or its lease has
    /// ended.
    fn authority(&self, now: TimePoint) -> Option<LeaderAuthority>;

    /// Address of the leader, if it is known and another instance.
    fn leader_address(&self) -> Option<SocketAddr>;

    /// Instances of the control group. Only the leader knows their progress; elsewhere none is live.
    fn members(&self) -> Vec<ControlMember>;
}
