//! Interface of the replicated log of commands.

use std::net::SocketAddr;

use oriolecrank_consensus::LeaderAuthority;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, CommandOutcome, ControlMember};

/// This control instance's replica of the log of commands.
pub trait CommandReplica: Send + Sync + 'static {
    /// Commits a command, applies it and returns its outcome.
    ///
    /// [`CommandOutcome::NotLeader`] means that the command has no effect and never will;
    /// [`CommandOutcome::Unavailable`] means that it may have taken effect or may still do so.
    fn propose(&self, command: Command) -> impl Future<Output = CommandOutcome> + Send;

    /// Waits until the local state contains every change that was acknowledged before the call.
    /// Works on followers too. `false` if the read was not confirmed, for instance because no
    /// leader is known or no quorum replied in time.
    fn read_barrier(&self) -> impl Future<Output = bool> + Send;

    /// Authority to act without committing an entry first; `None` if this instance is not the
    /// leader or its lease has ended at `now`.
    fn authority(&self, now: TimePoint) -> Option<LeaderAuthority>;

    /// Address of the leader; `None` if the leader is unknown or this instance itself.
    fn leader_address(&self) -> Option<SocketAddr>;

    /// Members of the control group. Only the leader knows their progress; other instances report
    /// every member as not live, with a matched index of 0.
    fn members(&self) -> Vec<ControlMember>;
}
