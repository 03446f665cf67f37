//! [`CommandReplica`] on top of the Raft replica of this instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oriolecrank_consensus::{
    LeaderAuthority, LogIndex, Member, MemberRole, Membership, MembershipRequest, RoleName, Term,
};
use oriolecrank_net::BootClock;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::codec;
use oriolecrank_schema::control::{Command, CommandOutcome, ControlMember, LoggedCommand};

use crate::command_replica::CommandReplica;
use crate::group_membership::GroupMembership;
use crate::replica::{ReplicaHandle, ReplicaPhase};
use crate::replica_error::{ChangeError, ProposeError};
use crate::shared_state::SharedState;
use crate::state_machine::StateMachine;

/// A member is reported as live if it has replied to a message sent within this time. Equal to the
/// minimum election timeout, after which a member no longer counts as live for a membership change.
const LIVE_WITHIN: Duration = Duration::from_millis(500);

/// State machine that applies committed commands to the [`SharedState`].
#[derive(Debug)]
pub struct CommandMachine(Arc<SharedState>);

impl CommandMachine {
    /// Creates a state machine that changes `state`.
    pub const fn new(state: Arc<SharedState>) -> Self {
        Self(state)
    }
}

impl StateMachine for CommandMachine {
    type Output = CommandOutcome;

    fn apply(&mut self, index: LogIndex, term: Term, data: &[u8]) -> CommandOutcome {
        // Panics on an unknown command, because the state of an instance that skipped it would
        // diverge from the others.
        let entry: LoggedCommand = codec::decode(data)
            .expect("all control instances are upgraded before a new command is used");
        let entry = LoggedCommand {
            term: term.0,
            ..entry
        };
        self.0.apply(oriolecrank_state::LogIndex(index.0), entry)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        self.0
            .restore(snapshot)
            .expect("snapshots are written by the same or an older version");
    }
}

/// This instance's member of the Raft group.
#[derive(Debug, Clone)]
pub struct RaftReplica {
    handle: ReplicaHandle<CommandOutcome>,
}

impl RaftReplica {
    /// Creates a replica that uses `handle`, which [`start_replica`](crate::start_replica)
    /// returned.
    pub const fn new(handle: ReplicaHandle<CommandOutcome>) -> Self {
        Self { handle }
    }

    /// Handle of the replica's thread.
    pub const fn handle(&self) -> &ReplicaHandle<CommandOutcome> {
        &self.handle
    }

    /// Waits until the replica has stopped or failed; returns which of the two.
    pub async fn stopped(&self) -> ReplicaPhase {
        self.handle.stopped().await
    }

    /// Asks the replica to stop; [`stopped`](Self::stopped) waits until it has. The request is lost
    /// if the input queue is full.
    pub fn stop(&self) {
        self.handle.stop();
    }
}

impl GroupMembership for RaftReplica {
    fn membership(&self) -> Membership {
        self.handle.status().node.membership
    }

    fn leads(&self) -> bool {
        self.handle.status().node.role == RoleName::Leader
    }

    async fn change_membership(&self, request: MembershipRequest) -> Result<(), ChangeError> {
        self.handle.change_membership(request).await.map(|_| ())
    }
}

impl CommandReplica for RaftReplica {
    async fn propose(&self, command: Command) -> CommandOutcome {
        let time_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64);
        // The term is known only once the entry is in the log; `CommandMachine::apply` sets it.
        let entry = LoggedCommand {
            command,
            term: 0,
            time_ms,
        };
        match self.handle.propose(codec::encode(&entry)).await {
            Ok(applied) => applied.output,
            Err(error @ ProposeError::TooLarge { .. }) => CommandOutcome::Refused {
                reason: error.to_string(),
            },
            Err(ProposeError::OutcomeUnknown) => CommandOutcome::Unavailable,
            Err(
                ProposeError::NotLeader
                | ProposeError::Overloaded
                | ProposeError::Replaced
                | ProposeError::ProposeStopped,
            ) => CommandOutcome::NotLeader { leader: None },
        }
    }

    async fn read_barrier(&self) -> bool {
        self.handle.read_barrier().await.is_ok()
    }

    fn authority(&self, now: TimePoint) -> Option<LeaderAuthority> {
        self.handle
            .authority()
            .filter(|authority| now < authority.until)
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.handle.leader()?;
        let is_self = leader.id == self.handle.status().node.id;
        if is_self {
            None
        } else {
            leader.address.parse().ok()
        }
    }

    fn members(&self) -> Vec<ControlMember> {
        let status = self.handle.status();
        let leader = status.node.leader.as_ref();
        let progress = &status.node.progress;
        let now = BootClock.now();
        let is_recent = |sent: TimePoint| now < sent + LIVE_WITHIN;
        let member = |member: &Member| {
            let known = progress.iter().find(|known| known.id == member.id);
            ControlMember {
                address: member.address.clone(),
                instance: member.id.as_str().to_owned(),
                leader: leader == Some(&member.id),
                live: known.is_some_and(|known| {
                    known.id == status.node.id || known.last_contact.is_some_and(is_recent)
                }),
                matched_index: known.map_or(0, |known| known.match_index.0),
                failure_domain: String::new(),
                voter: member.role == MemberRole::Voter,
            }
        };
        status.node.membership.members.iter().map(member).collect()
    }
}
