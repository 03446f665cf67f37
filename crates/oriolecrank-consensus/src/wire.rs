//! Conversion between domain types and the wire types of `schema/peer.json`.
//!
//! The records of the data folder are encoded with the wire types too. Entry data and snapshots are
//! encoded as raw bytes: the schema generator maps the definition `RawBytes` to a byte buffer.

use std::sync::Arc;

use oriolecrank_schema::{TimePoint, peer};

use crate::instance_id::InstanceId;
use crate::log_entry::{EntryBody, LogEntry};
use crate::membership::{Member, MemberRole, Membership};
use crate::message::{
    AppendReply, AppendRequest, EntryChunk, EntryChunkReply, FoundingReply, MessageBody,
    PeerMessage, RoundMark, SnapshotChunk, SnapshotReply, VoteReply, VoteRequest,
};
use crate::numbers::{DiskTag, LogIndex, MembershipVersion, ReadContext, Term};
use crate::ready::{FoundingTag, FoundingTags, HardState, LogRecord};
use crate::snapshot::Snapshot;

impl From<Member> for peer::MemberRecord {
    fn from(member: Member) -> Self {
        Self {
            instance: member.id.as_str().to_owned(),
            address: member.address,
            role: match member.role {
                MemberRole::Voter => peer::MemberRole::Voter,
                MemberRole::Learner => peer::MemberRole::Learner,
            },
        }
    }
}

impl From<peer::MemberRecord> for Member {
    fn from(record: peer::MemberRecord) -> Self {
        Self {
            id: InstanceId::new(&record.instance),
            address: record.address,
            role: match record.role {
                peer::MemberRole::Voter => MemberRole::Voter,
                peer::MemberRole::Learner => MemberRole::Learner,
            },
        }
    }
}

impl From<Membership> for peer::MembershipRecord {
    fn from(membership: Membership) -> Self {
        Self {
            version: membership.version.0,
            members: membership.members.into_iter().map(Into::into).collect(),
            retired: membership
                .retired
                .iter()
                .map(|id| id.as_str().to_owned())
                .collect(),
        }
    }
}

impl From<peer::MembershipRecord> for Membership {
    fn from(record: peer::MembershipRecord) -> Self {
        Self {
            version: MembershipVersion(record.version),
            members: record.members.into_iter().map(Into::into).collect(),
            retired: record
                .retired
                .iter()
                .map(|id| InstanceId::new(id))
                .collect(),
        }
    }
}

impl From<LogEntry> for peer::LogEntryRecord {
    fn from(entry: LogEntry) -> Self {
        let body = match entry.body {
            EntryBody::Noop => peer::EntryBody::Noop(peer::NoopBody(serde_json::Map::new())),
            EntryBody::Data(data) => peer::EntryBody::Data(data.to_vec().into()),
            EntryBody::Membership(membership) => peer::EntryBody::Membership(membership.into()),
        };
        Self {
            index: entry.index.0,
            term: entry.term.0,
            body,
        }
    }
}

impl From<peer::LogEntryRecord> for LogEntry {
    fn from(record: peer::LogEntryRecord) -> Self {
        let body = match record.body {
            peer::EntryBody::Noop(_) => EntryBody::Noop,
            peer::EntryBody::Data(data) => EntryBody::Data(data.into_vec().into()),
            peer::EntryBody::Membership(membership) => EntryBody::Membership(membership.into()),
        };
        Self {
            index: LogIndex(record.index),
            term: Term(record.term),
            body,
        }
    }
}

impl From<LogRecord> for peer::StorageRecord {
    fn from(record: LogRecord) -> Self {
        match record {
            LogRecord::HardState(state) => Self::HardState(peer::HardStateRecord {
                term: state.term.0,
                vote: state.vote.map(|id| id.as_str().to_owned()),
            }),
            LogRecord::Founding(tags) => Self::Founding(peer::FoundingRecord {
                tags: tags.0.into_iter().map(Into::into).collect(),
            }),
            LogRecord::Entry(entry) => Self::Entry(entry.into()),
        }
    }
}

impl From<peer::StorageRecord> for LogRecord {
    fn from(record: peer::StorageRecord) -> Self {
        match record {
            peer::StorageRecord::HardState(state) => Self::HardState(HardState {
                term: Term(state.term),
                vote: state.vote.map(|id| InstanceId::new(&id)),
            }),
            peer::StorageRecord::Founding(founding) => Self::Founding(FoundingTags(
                founding.tags.into_iter().map(Into::into).collect(),
            )),
            peer::StorageRecord::Entry(entry) => Self::Entry(entry.into()),
        }
    }
}

impl From<FoundingTag> for peer::FoundingTag {
    fn from(founding_tag: FoundingTag) -> Self {
        Self {
            instance: founding_tag.id.as_str().to_owned(),
            tag: founding_tag.tag.0,
        }
    }
}

impl From<peer::FoundingTag> for FoundingTag {
    fn from(founding_tag: peer::FoundingTag) -> Self {
        Self {
            id: InstanceId::new(&founding_tag.instance),
            tag: DiskTag(founding_tag.tag),
        }
    }
}

impl From<&Snapshot> for peer::SnapshotRecord {
    fn from(snapshot: &Snapshot) -> Self {
        Self {
            index: snapshot.index.0,
            term: snapshot.term.0,
            membership: snapshot.membership.clone().into(),
            data: snapshot.data.to_vec().into(),
        }
    }
}

impl From<peer::SnapshotRecord> for Snapshot {
    fn from(record: peer::SnapshotRecord) -> Self {
        Self {
            index: LogIndex(record.index),
            term: Term(record.term),
            membership: record.membership.into(),
            data: record.data.into_vec().into(),
        }
    }
}

impl From<RoundMark> for peer::RoundMark {
    fn from(mark: RoundMark) -> Self {
        Self {
            round: mark.round,
            sent_ms: mark.sent.as_millis(),
        }
    }
}

impl From<peer::RoundMark> for RoundMark {
    fn from(mark: peer::RoundMark) -> Self {
        Self {
            round: mark.round,
            sent: TimePoint::from_millis(mark.sent_ms),
        }
    }
}

impl From<VoteRequest> for peer::VoteRequest {
    fn from(request: VoteRequest) -> Self {
        Self {
            candidate_term: request.candidate_term.0,
            last_index: request.last_index.0,
            last_term: request.last_term.0,
        }
    }
}

impl From<peer::VoteRequest> for VoteRequest {
    fn from(request: peer::VoteRequest) -> Self {
        Self {
            candidate_term: Term(request.candidate_term),
            last_index: LogIndex(request.last_index),
            last_term: Term(request.last_term),
        }
    }
}

impl From<VoteReply> for peer::VoteReply {
    fn from(reply: VoteReply) -> Self {
        Self {
            candidate_term: reply.candidate_term.0,
            granted: reply.granted,
        }
    }
}

impl From<peer::VoteReply> for VoteReply {
    fn from(reply: peer::VoteReply) -> Self {
        Self {
            candidate_term: Term(reply.candidate_term),
            granted: reply.granted,
        }
    }
}

impl From<AppendRequest> for peer::AppendRequest {
    fn from(request: AppendRequest) -> Self {
        Self {
            mark: request.mark.into(),
            previous_index: request.previous_index.0,
            previous_term: request.previous_term.0,
            commit: request.commit.0,
            entries: request.entries.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<peer::AppendRequest> for AppendRequest {
    fn from(request: peer::AppendRequest) -> Self {
        Self {
            mark: request.mark.into(),
            previous_index: LogIndex(request.previous_index),
            previous_term: Term(request.previous_term),
            commit: LogIndex(request.commit),
            entries: request.entries.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<AppendReply> for peer::AppendReply {
    fn from(reply: AppendReply) -> Self {
        Self {
            mark: reply.mark.into(),
            accepted: reply.accepted,
            previous_index: reply.previous_index.0,
            match_index: reply.match_index.0,
            takes_chunks: reply.takes_chunks,
        }
    }
}

impl From<peer::AppendReply> for AppendReply {
    fn from(reply: peer::AppendReply) -> Self {
        Self {
            mark: reply.mark.into(),
            accepted: reply.accepted,
            previous_index: LogIndex(reply.previous_index),
            match_index: LogIndex(reply.match_index),
            takes_chunks: reply.takes_chunks,
        }
    }
}

impl From<EntryChunk> for peer::EntryChunk {
    fn from(chunk: EntryChunk) -> Self {
        Self {
            mark: chunk.mark.into(),
            previous_index: chunk.previous_index.0,
            previous_term: chunk.previous_term.0,
            term: chunk.term.0,
            commit: chunk.commit.0,
            offset: chunk.offset,
            total: chunk.total,
            data: chunk.data.to_vec().into(),
        }
    }
}

impl From<peer::EntryChunk> for EntryChunk {
    fn from(chunk: peer::EntryChunk) -> Self {
        Self {
            mark: chunk.mark.into(),
            previous_index: LogIndex(chunk.previous_index),
            previous_term: Term(chunk.previous_term),
            term: Term(chunk.term),
            commit: LogIndex(chunk.commit),
            offset: chunk.offset,
            total: chunk.total,
            data: Arc::from(chunk.data.into_vec()),
        }
    }
}

impl From<EntryChunkReply> for peer::EntryChunkReply {
    fn from(reply: EntryChunkReply) -> Self {
        Self {
            mark: reply.mark.into(),
            index: reply.index.0,
            next_offset: reply.next_offset,
        }
    }
}

impl From<peer::EntryChunkReply> for EntryChunkReply {
    fn from(reply: peer::EntryChunkReply) -> Self {
        Self {
            mark: reply.mark.into(),
            index: LogIndex(reply.index),
            next_offset: reply.next_offset,
        }
    }
}

impl From<SnapshotChunk> for peer::SnapshotChunk {
    fn from(chunk: SnapshotChunk) -> Self {
        Self {
            mark: chunk.mark.into(),
            index: chunk.index.0,
            term: chunk.term.0,
            membership: chunk.membership.into(),
            offset: chunk.offset,
            total: chunk.total,
            data: chunk.data.to_vec().into(),
        }
    }
}

impl From<peer::SnapshotChunk> for SnapshotChunk {
    fn from(chunk: peer::SnapshotChunk) -> Self {
        Self {
            mark: chunk.mark.into(),
            index: LogIndex(chunk.index),
            term: Term(chunk.term),
            membership: chunk.membership.into(),
            offset: chunk.offset,
            total: chunk.total,
            data: Arc::from(chunk.data.into_vec()),
        }
    }
}

impl From<SnapshotReply> for peer::SnapshotReply {
    fn from(reply: SnapshotReply) -> Self {
        Self {
            mark: reply.mark.into(),
            index: reply.index.0,
            next_offset: reply.next_offset,
        }
    }
}

impl From<peer::SnapshotReply> for SnapshotReply {
    fn from(reply: peer::SnapshotReply) -> Self {
        Self {
            mark: reply.mark.into(),
            index: LogIndex(reply.index),
            next_offset: reply.next_offset,
        }
    }
}

impl From<MessageBody> for peer::PeerBody {
    fn from(body: MessageBody) -> Self {
        match body {
            MessageBody::PreVote(request) => Self::PreVote(request.into()),
            MessageBody::PreVoteReply(reply) => Self::PreVoteReply(reply.into()),
            MessageBody::Vote(request) => Self::Vote(request.into()),
            MessageBody::VoteReply(reply) => Self::VoteReply(reply.into()),
            MessageBody::Append(request) => Self::Append(request.into()),
            MessageBody::AppendReply(reply) => Self::AppendReply(reply.into()),
            MessageBody::EntryChunk(chunk) => Self::EntryChunk(chunk.into()),
            MessageBody::EntryChunkReply(reply) => Self::EntryChunkReply(reply.into()),
            MessageBody::Snapshot(chunk) => Self::Snapshot(chunk.into()),
            MessageBody::SnapshotReply(reply) => Self::SnapshotReply(reply.into()),
            MessageBody::Read(context) => Self::Read(peer::ReadRequest { context: context.0 }),
            MessageBody::ReadReply(context, index) => Self::ReadReply(peer::ReadReply {
                context: context.0,
                index: index.map(|index| index.0),
            }),
            MessageBody::FoundingProbe(tag) => {
                Self::FoundingProbe(peer::FoundingProbe { tag: tag.0 })
            }
            MessageBody::FoundingReply(reply) => Self::FoundingReply(peer::FoundingReply {
                probe_tag: reply.probe_tag.0,
                tag: reply.tag.0,
                admitted: reply.admitted,
            }),
        }
    }
}

impl From<peer::PeerBody> for MessageBody {
    fn from(body: peer::PeerBody) -> Self {
        match body {
            peer::PeerBody::PreVote(request) => Self::PreVote(request.into()),
            peer::PeerBody::PreVoteReply(reply) => Self::PreVoteReply(reply.into()),
            peer::PeerBody::Vote(request) => Self::Vote(request.into()),
            peer::PeerBody::VoteReply(reply) => Self::VoteReply(reply.into()),
            peer::PeerBody::Append(request) => Self::Append(request.into()),
            peer::PeerBody::AppendReply(reply) => Self::AppendReply(reply.into()),
            peer::PeerBody::EntryChunk(chunk) => Self::EntryChunk(chunk.into()),
            peer::PeerBody::EntryChunkReply(reply) => Self::EntryChunkReply(reply.into()),
            peer::PeerBody::Snapshot(chunk) => Self::Snapshot(chunk.into()),
            peer::PeerBody::SnapshotReply(reply) => Self::SnapshotReply(reply.into()),
            peer::PeerBody::Read(read) => Self::Read(ReadContext(read.context)),
            peer::PeerBody::ReadReply(reply) => {
                Self::ReadReply(ReadContext(reply.context), reply.index.map(LogIndex))
            }
            peer::PeerBody::FoundingProbe(probe) => Self::FoundingProbe(DiskTag(probe.tag)),
            peer::PeerBody::FoundingReply(reply) => Self::FoundingReply(FoundingReply {
                probe_tag: DiskTag(reply.probe_tag),
                tag: DiskTag(reply.tag),
                admitted: reply.admitted,
            }),
        }
    }
}

impl From<PeerMessage> for peer::PeerEnvelope {
    fn from(message: PeerMessage) -> Self {
        Self {
            from: message.from.as_str().to_owned(),
            to: message.to.as_str().to_owned(),
            term: message.term.0,
            body: message.body.into(),
        }
    }
}

impl From<peer::PeerEnvelope> for PeerMessage {
    fn from(envelope: peer::PeerEnvelope) -> Self {
        Self {
            from: InstanceId::new(&envelope.from),
            to: InstanceId::new(&envelope.to),
            term: Term(envelope.term),
            body: envelope.body.into(),
        }
    }
}
