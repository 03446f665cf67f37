//! Messages between members.

use std::sync::Arc;

use oriolecrank_schema::TimePoint;

use crate::instance_id::InstanceId;
use crate::log_entry::LogEntry;
use crate::membership::Membership;
use crate::numbers::{DiskTag, LogIndex, ReadContext, Term};

/// A message between two members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerMessage {
    /// Sender.
    pub from: InstanceId,
    /// Receiver.
    pub to: InstanceId,
    /// Current term of the sender.
    pub term: Term,
    /// Content.
    pub body: MessageBody,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageBody {
    /// Asks whether a vote would be granted; does not change the receiver's term.
    PreVote(VoteRequest),
    /// Reply to a pre-vote.
    PreVoteReply(VoteReply),
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Reply to a vote request.
    VoteReply(VoteReply),
    /// Entries to append; without entries a heartbeat.
    Append(AppendRequest),
    /// Reply to an append request.
    AppendReply(AppendReply),
    /// Part of a snapshot; also serves as a heartbeat.
    Snapshot(SnapshotChunk),
    /// Reply to a part of a snapshot.
    SnapshotReply(SnapshotReply),
    /// Asks the leader for a read index.
    Read(ReadContext),
    /// Read index for a read; `None` if the receiver is not the leader or stepped down.
    ReadReply(ReadContext, Option<LogIndex>),
    /// Disk tag of a founding member with a new data folder, see the `founding` module.
    FoundingProbe(DiskTag),
    /// Reply to a founding probe.
    FoundingReply(FoundingReply),
}

/// Request for a vote or a pre-vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoteRequest {
    /// Term that the candidate would lead.
    pub candidate_term: Term,
    /// Index of the candidate's last entry.
    pub last_index: LogIndex,
    /// Term of the candidate's last entry.
    pub last_term: Term,
}

/// Reply to a vote or a pre-vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoteReply {
    /// Term of the request.
    pub candidate_term: Term,
    /// Whether the vote was granted.
    pub granted: bool,
}

/// Round of a leader's messages and their send time; replies echo it.
///
/// The leader starts a round by sending to every member. Once a quorum has replied to a round, the
/// leader was still the leader when that round started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoundMark {
    /// Number of the round within the term.
    pub round: u64,
    /// Send time by the leader's clock; only the leader itself compares it.
    pub sent: TimePoint,
}

/// Request to append entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendRequest {
    /// Round of the leader.
    pub mark: RoundMark,
    /// Index of the entry before the first one in `entries`.
    pub previous_index: LogIndex,
    /// Term of that entry.
    pub previous_term: Term,
    /// Commit index of the leader.
    pub commit: LogIndex,
    /// Entries in log order without gaps; may be empty.
    pub entries: Vec<LogEntry>,
}

/// Reply to an append request, or to a snapshot that the follower now has in full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppendReply {
    /// Round of the request.
    pub mark: RoundMark,
    /// Whether the follower's log matches the leader's at the previous index.
    pub accepted: bool,
    /// Previous index of the request.
    pub previous_index: LogIndex,
    /// Highest index known to match; if not accepted, the index that the leader should try next.
    pub match_index: LogIndex,
}

/// Part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// Round of the leader.
    pub mark: RoundMark,
    /// Last log index contained.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership in effect at that entry.
    pub membership: Membership,
    /// Offset of `data` in the snapshot, in bytes.
    pub offset: u64,
    /// Size of the snapshot, in bytes.
    pub total: u64,
    /// Bytes of the snapshot from `offset` on.
    pub data: Arc<[u8]>,
}

/// Reply to a part of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotReply {
    /// Round of the request.
    pub mark: RoundMark,
    /// Last log index of the snapshot in the request.
    pub index: LogIndex,
    /// Offset of the next part that the receiver needs, in bytes.
    pub next_offset: u64,
}

/// Reply to a founding probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FoundingReply {
    /// Tag in the probe. A late reply to a folder that has been replaced since must not admit the
    /// new folder.
    pub probe_tag: DiskTag,
    /// Tag of the replying instance's folder.
    pub tag: DiskTag,
    /// False if the replying instance has recorded a different folder for the sender of the probe.
    pub admitted: bool,
}
