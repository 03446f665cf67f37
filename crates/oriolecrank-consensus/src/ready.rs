//! Output of the consensus core.

use std::sync::Arc;

use oriolecrank_schema::TimePoint;

use crate::instance_id::InstanceId;
use crate::log_entry::LogEntry;
use crate::membership::Membership;
use crate::message::PeerMessage;
use crate::numbers::{DiskTag, LogIndex, ReadContext, Term};
use crate::snapshot::Snapshot;

/// Work that the driver of a [`RaftNode`](crate::RaftNode) must do next, in the order of the
/// fields.
#[derive(Debug, Default)]
pub struct ReadyBatch {
    /// Messages that do not depend on what this instance has stored. They may be sent before the
    /// records are synced, so that several members write to disk in parallel.
    pub early_messages: Vec<PeerMessage>,
    /// Snapshot received from the leader: the driver stores it, then restores the state machine
    /// from it.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Records to append and sync before the fields below are handled.
    pub records: Vec<LogRecord>,
    /// Messages to send once the records are synced.
    pub messages: Vec<PeerMessage>,
    /// Committed entries to apply, in log order without gaps.
    pub committed: Vec<LogEntry>,
    /// Results of reads that were started on this instance.
    pub reads: Vec<ReadOutcome>,
}

/// A record for the log file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogRecord {
    /// Replaces the stored term and vote.
    HardState(HardState),
    /// The founding check is complete; holds the tags of the other founding members.
    Founding(FoundingTags),
    /// A log entry. It replaces a stored entry with the same index and all entries after that.
    Entry(LogEntry),
}

/// Term and vote, which must survive a restart.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HardState {
    /// Current term.
    pub term: Term,
    /// Instance that this one voted for in the current term.
    pub vote: Option<InstanceId>,
}

/// Disk tags of the other founding members, collected by the founding check.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FoundingTags(pub Vec<FoundingTag>);

/// Disk tag of a founding member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundingTag {
    /// Identity of the member.
    pub id: InstanceId,
    /// Tag of its data folder.
    pub tag: DiskTag,
}

/// Result of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadOutcome {
    /// Number that the caller assigned to the read.
    pub context: ReadContext,
    /// Read index: once it is applied, the state contains every change that was acknowledged before
    /// the read started. `None` if no leader is known or the leader has stepped down.
    pub index: Option<LogIndex>,
}

/// Authority of the leader to act without committing an entry first; valid until its lease ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderAuthority {
    /// Term of the leader.
    pub term: Term,
    /// End of the lease by the leader's own clock.
    pub until: TimePoint,
}

/// Raft role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RoleName {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks the voters whether it could win an election (pre-vote).
    PreCandidate,
    /// Has started an election and waits for votes.
    Candidate,
    /// Has won the election of its term.
    Leader,
}

/// Progress of the check that a founding member's disk was not replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FoundingProgress {
    /// Not all founding members have replied; the instance does not participate yet.
    Waiting,
    /// The instance participates in the group.
    Complete,
    /// Another member has recorded a different data folder for this identity; the instance never
    /// participates with this folder.
    Refused,
}

/// Status of a node for operators and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeStatus {
    /// Identity of this instance.
    pub id: InstanceId,
    /// Current term.
    pub term: Term,
    /// Current role.
    pub role: RoleName,
    /// Leader of the current term, if known.
    pub leader: Option<InstanceId>,
    /// Highest committed index.
    pub commit_index: LogIndex,
    /// Last index of the log.
    pub last_index: LogIndex,
    /// Last index contained in the snapshot.
    pub snapshot_index: LogIndex,
    /// Current membership: the last one in the log, committed or not.
    pub membership: Membership,
    /// Identities whose removal from the group is committed.
    pub removed: Vec<InstanceId>,
    /// Progress of the founding check.
    pub founding: FoundingProgress,
    /// Leader before this instance, if this instance leads and has heard from one since its start.
    pub previous_leader: Option<PreviousLeader>,
    /// Progress of all members if this instance is the leader; otherwise empty.
    pub progress: Vec<MemberProgress>,
}

/// Last contact with the leader of an earlier term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreviousLeader {
    /// Identity of the earlier leader.
    pub id: InstanceId,
    /// When its last accepted message arrived.
    pub last_contact: TimePoint,
}

/// Replication progress of a member, as known to the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberProgress {
    /// Identity of the member.
    pub id: InstanceId,
    /// Highest index known to be synced on the member.
    pub match_index: LogIndex,
    /// Send time, by the leader's clock, of the newest message that the member has replied to.
    /// `None` for the leader itself and before the first reply.
    pub last_contact: Option<TimePoint>,
}

/// Bytes that a node keeps in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NodeMemory {
    /// Entries of the log, including uncommitted ones.
    pub log: usize,
    /// Entries that are not committed yet; part of `log`.
    pub uncommitted: usize,
    /// Newest snapshot, and older ones that are still sent to members.
    pub snapshots: usize,
    /// Memory for a snapshot of which not all chunks have arrived.
    pub incoming_snapshot: usize,
    /// Memory for an entry of which not all chunks have arrived.
    pub incoming_entry: usize,
}

impl ReadyBatch {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.early_messages.is_empty()
            && self.snapshot.is_none()
            && self.records.is_empty()
            && self.messages.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
    }
}
