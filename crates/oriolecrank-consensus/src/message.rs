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
    /// Asks whether a vote would be granted; changes no term.
    PreVote(VoteRequest),
    /// Answer to a pre-vote.
    PreVoteReply(VoteReply),
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answer to a vote.
    VoteReply(VoteReply),
    /// Entries to append, also the heartbeat.
    Append(AppendRequest),
    /// Answer to an append.
    AppendReply(AppendReply),
    /// Part of a snapshot, also a heartbeat.
    Snapshot(SnapshotChunk),
    /// Answer to a part of a snapshot.
    SnapshotReply(SnapshotReply),
    /// Asks the leader for a read index.
    Read(ReadContext),
    /// Answer to a read; no index if it was refused.
    ReadReply(ReadContext, Option<LogIndex>),
    /// Sent by a founding member with a new data folder.
    FoundingProbe(DiskTag),
    /// Answer to a founding probe.
    FoundingReply(FoundingReply),
}

/// Asks for a vote or a pre-vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoteRequest {
    /// Term the candidate wants to lead.
    pub candidate_term: Term,
    /// Index of the candidate's last entry.
    pub last_index: LogIndex,
    /// Term of the candidate's last entry.
    pub last_term: Term,
}

/// Answer to a vote or a pre-vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoteReply {
    /// Term of the request.
    pub candidate_term: Term,
    /// Whether the vote was granted.
    pub granted: bool,
}

/// Identifies a round of a leader; replies echo it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoundMark {
    /// Number of the round within the term.
    pub round: u64,
    /// Send time by the leader's clock; no other instance compares it.
    pub sent: TimePoint,
}

/// Entries to append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendRequest {
    /// Round of the leader.
    pub mark: RoundMark,
    /// Index before the first entry.
    pub previous_index: LogIndex,
    /// Term of that index.
    pub previous_term: Term,
    /// Highest committed index.
    pub commit: LogIndex,
    /// Entries in order.
    pub entries: Vec<LogEntry>,
}

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppendReply {
    /// Round of the request.
    pub mark: RoundMark,
    /// Whether the log matched at the previous index.
    pub accepted: bool,
    /// Previous index of the request.
    pub previous_index: LogIndex,
    /// Highest index known to match; for a refusal, the index to try next.
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
    /// Offset of the data.
    pub offset: u64,
    /// Size of the snapshot, in bytes.
    pub total: u64,
    /// Data at the offset.
    pub data: Arc<[u8]>,
}

/// Answer to a part of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotReply {
    /// Round of the request.
    pub mark: RoundMark,
    /// Snapshot of the request.
    pub index: LogIndex,
    /// Offset the receiver waits for.
    pub next_offset: u64,
}

/// Answer to a founding probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FoundingReply {
    /// Tag of the probe. An answer to a folder that was replaced since must not admit the new one.
    pub probe_tag: DiskTag,
    /// Tag of the replying instance's folder.
    pub tag: DiskTag,
    /// False if the replying instance knows another folder under the identity of the probe.
    pub admitted: bool,
}
