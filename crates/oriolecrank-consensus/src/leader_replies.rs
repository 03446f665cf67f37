//! Handling of the members' replies on the leader.

use oriolecrank_schema::TimePoint;

use crate::instance_id::InstanceId;
use crate::message::{AppendReply, EntryChunkReply, RoundMark, SnapshotReply};
use crate::node::RaftNode;
use crate::numbers::Term;
use crate::peer_progress::{ChunkReply, EntryTransfer, PeerProgress, SendMode};

impl RaftNode {
    /// Records a reply and returns the progress of its sender; `None` if the reply is of another
    /// term or this instance is not the leader.
    fn record_reply_from(
        &mut self,
        from: &InstanceId,
        term: Term,
        mark: RoundMark,
    ) -> Option<&mut PeerProgress> {
        if term != self.hard_state.term {
            return None;
        }
        let peer = self.leader_state_mut()?.peers.get_mut(from)?;
        peer.record_reply(mark);
        Some(peer)
    }

    pub(crate) fn handle_append_reply(
        &mut self,
        from: &InstanceId,
        term: Term,
        reply: AppendReply,
        now: TimePoint,
    ) {
        let Some(peer) = self.record_reply_from(from, term, reply.mark) else {
            return;
        };
        peer.takes_chunks = reply.takes_chunks;
        if reply.accepted {
            peer.record_match(reply.match_index);
        } else {
            peer.record_mismatch(reply.previous_index, reply.match_index);
        }
        self.advance_commit(now);
        self.confirm_reads();
    }

    pub(crate) fn handle_entry_chunk_reply(
        &mut self,
        from: &InstanceId,
        term: Term,
        reply: EntryChunkReply,
        now: TimePoint,
    ) {
        let max_bytes = self.settings.max_chunk_bytes;
        let Some(peer) = self.record_reply_from(from, term, reply.mark) else {
            return;
        };
        if let Some(transfer) = peer.entry_transfer
            && transfer.index == reply.index
        {
            let chunk_reply = ChunkReply {
                sent: reply.mark.sent,
                next_offset: reply.next_offset,
                known_offset: transfer.offset,
            };
            if peer.record_chunk_reply(chunk_reply, max_bytes, now) {
                let offset = reply.next_offset;
                peer.entry_transfer = Some(EntryTransfer { offset, ..transfer });
            }
        }
        self.advance_commit(now);
        self.confirm_reads();
    }

    pub(crate) fn handle_snapshot_reply(
        &mut self,
        from: &InstanceId,
        term: Term,
        reply: SnapshotReply,
        now: TimePoint,
    ) {
        let max_bytes = self.settings.max_chunk_bytes;
        let Some(peer) = self.record_reply_from(from, term, reply.mark) else {
            return;
        };
        if let SendMode::Snapshot(transfer) = &peer.mode
            && transfer.snapshot.index == reply.index
        {
            let chunk_reply = ChunkReply {
                sent: reply.mark.sent,
                next_offset: reply.next_offset,
                known_offset: transfer.offset,
            };
            if peer.record_chunk_reply(chunk_reply, max_bytes, now)
                && let SendMode::Snapshot(transfer) = &mut peer.mode
            {
                transfer.offset = reply.next_offset;
            }
        }
        self.advance_commit(now);
        self.confirm_reads();
    }
}
