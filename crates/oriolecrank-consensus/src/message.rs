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
    /// Request or reply.
    pub body: MessageBody,
}

/// Request or reply between two members.
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
    /// Chunk of an entry that is too large for an append request.
    EntryChunk(EntryChunk),
    /// Reply to a chunk of an entry that is not complete yet.
    EntryChunkReply(EntryChunkReply),
    /// Chunk of a snapshot.
    Snapshot(SnapshotChunk),
    /// Reply to a snapshot chunk.
    SnapshotReply(SnapshotReply),
    /// Asks the leader for a read index.
    Read(ReadContext),
    /// Reply to a read request: the read index, or `None` if the sender of the reply is not the
    /// leader or has stepped down.
    ReadReply(ReadContext, Option<LogIndex>),
    /// Disk tag of a founding member with a new data folder; part of the founding check, see
    /// [`FoundingProgress`](crate::FoundingProgress).
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

/// Round and send time of a leader's message; the reply repeats both.
///
/// The leader starts a round by sending to every member. Replies from a quorum prove that it was
/// still the leader when the round started.
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
    /// Round and send time of this request.
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
    /// Round and send time of the request.
    pub mark: RoundMark,
    /// Whether the follower's log matches the leader's at the previous index.
    pub accepted: bool,
    /// Previous index of the request.
    pub previous_index: LogIndex,
    /// Highest index known to match; if not accepted, the index that the leader should try next.
    pub match_index: LogIndex,
    /// Whether the follower takes chunks of entries; older versions do not.
    pub takes_chunks: bool,
}

/// Chunk of the data of an entry that is too large for an append request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryChunk {
    /// Round and send time of this chunk.
    pub mark: RoundMark,
    /// Index of the entry before the one that the chunk belongs to.
    pub previous_index: LogIndex,
    /// Term of that entry.
    pub previous_term: Term,
    /// Term of the entry that the chunk belongs to.
    pub term: Term,
    /// Commit index of the leader.
    pub commit: LogIndex,
    /// Offset of `data` in the data of the entry, in bytes.
    pub offset: u64,
    /// Size of the data of the entry, in bytes.
    pub total: u64,
    /// Bytes of the data from `offset` on.
    pub data: Arc<[u8]>,
}

/// Reply to a chunk of an entry that is not complete yet; a complete one gets an [`AppendReply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryChunkReply {
    /// Round and send time of the chunk.
    pub mark: RoundMark,
    /// Index of the entry.
    pub index: LogIndex,
    /// Offset of the next chunk that the receiver needs, in bytes.
    pub next_offset: u64,
}

/// Chunk of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// Round and send time of this chunk.
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

/// Reply to a snapshot chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotReply {
    /// Round and send time of the chunk.
    pub mark: RoundMark,
    /// Last log index contained in the snapshot.
    pub index: LogIndex,
    /// Offset of the next chunk that the receiver needs, in bytes.
    pub next_offset: u64,
}

/// Reply to a founding probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FoundingReply {
    /// Tag in the probe. The sender of the probe ignores the reply if this is not the tag of its
    /// current folder: the folder may have been replaced since the probe was sent.
    pub probe_tag: DiskTag,
    /// Tag of the replying instance's folder.
    pub tag: DiskTag,
    /// False if the replying instance has recorded a different folder for the sender of the probe.
    pub admitted: bool,
}
