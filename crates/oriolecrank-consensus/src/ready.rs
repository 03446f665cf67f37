//! Output of the consensus core.

use std::sync::Arc;

use oriolecrank_schema::TimePoint;

use crate::instance_id::InstanceId;
use crate::log_entry::LogEntry;
use crate::membership::Membership;
use crate::message::PeerMessage;
use crate::numbers::{DiskTag, LogIndex, ReadContext, Term};
use crate::snapshot::Snapshot;

/// What the driver of a [`RaftNode`](crate::RaftNode) has to do next, in the order of the fields.
#[derive(Debug, Default)]
pub struct ReadyBatch {
    /// Messages that promise nothing about this instance's disk; they may be sent before the
    /// records are synced, so that the disks of several members work at the same time.
    pub early_messages: Vec<PeerMessage>,
    /// Snapshot received from the leader: store it, then restore the state machine from it.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Records to append and sync before anything below is done.
    pub records: Vec<LogRecord>,
    /// Messages to send once the records are synced.
    pub messages: Vec<PeerMessage>,
    /// Entries to apply, in order and without gaps.
    pub committed: Vec<LogEntry>,
    /// Results of reads.
    pub reads: Vec<ReadOutcome>,
}

/// A record for the log file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogRecord {
    /// Replaces the stored term and vote.
    HardState(HardState),
    /// The founding check is complete.
    Founding(FoundingTags),
    /// An entry. It replaces a stored entry with the same index and all after that.
    Entry(LogEntry),
}

/// Term and vote, which must survive a restart.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HardState {
    /// Current term.
    pub term: Term,
    /// Instance that got the vote of this term.
    pub vote: Option<InstanceId>,
}

/// Disk tags of the founding members.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FoundingTags(pub Vec<FoundingTag>);

/// Disk tag of a founding member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundingTag {
    /// The member.
    pub id: InstanceId,
    /// Tag of its data folder.
    pub tag: DiskTag,
}

/// Result of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadOutcome {
    /// Number of the read.
    pub context: ReadContext,
    /// Once this index is applied, the state contains every change that was acknowledged before the
    /// read began. `None` if the read was refused, because no leader is known or it has resigned.
    pub index: Option<LogIndex>,
}

/// Permission of the leader to act outside the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderAuthority {
    /// Term of the leader.
    pub term: Term,
    /// The permission ends at this time of the leader's own clock.
    pub until: TimePoint,
}

/// Part that an instance plays at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RoleName {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election could succeed.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// Progress of the check that a founding member's disk was not replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FoundingProgress {
    /// Not all founding members have answered; the instance takes no part yet.
    Waiting,
    /// The instance takes part.
    Complete,
    /// Another data folder was known under this identity; the instance never takes part.
    Refused,
}

/// View of a node for operators and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeStatus {
    /// Identity.
    pub id: InstanceId,
    /// Current term.
    pub term: Term,
    /// Part at present.
    pub role: RoleName,
    /// Leader of the term, if known.
    pub leader: Option<InstanceId>,
    /// Highest committed index.
    pub commit_index: LogIndex,
    /// Last index of the log.
    pub last_index: LogIndex,
    /// Last index contained in the snapshot.
    pub snapshot_index: LogIndex,
    /// Membership in effect.
    pub membership: Membership,
    /// Progress of the founding check.
    pub founding: FoundingProgress,
    /// Progress of all members if this instance leads; otherwise empty.
    pub progress: Vec<MemberProgress>,
}

/// What the leader knows of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberProgress {
    /// Identity.
    pub id: InstanceId,
    /// Highest index known to be synced there.
    pub match_index: LogIndex,
    /// Send time of the newest message that it has answered, by the leader's clock; `None` for the
    /// leader itself and before the first answer.
    pub last_contact: Option<TimePoint>,
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
