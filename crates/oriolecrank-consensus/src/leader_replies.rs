//! Answers of members at the leader.

use oriolecrank_schema::TimePoint;

use crate::instance_id::InstanceId;
use crate::message::{AppendReply, RoundMark, SnapshotReply};
use crate::node::RaftNode;
use crate::numbers::Term;
use crate::peer_progress::{PeerProgress, SendMode};

impl RaftNode {
    /// Progress of the sender of an answer to a message of the present term.
    fn answering_peer(
        &mut self,
        from: &InstanceId,
        term: Term,
        mark: RoundMark,
    ) -> Option<&mut PeerProgress> {
        if term != self.hard_state.term {
            return None;
        }
        let peer = self.leader_state_mut()?.peers.get_mut(from)?;
        peer.note_answer(mark);
        Some(peer)
    }

    pub(crate) fn handle_append_reply(
        &mut self,
        from: &InstanceId,
        term: Term,
        reply: AppendReply,
        now: TimePoint,
    ) {
        let Some(peer) = self.answering_peer(from, term, reply.mark) else {
            return;
        };
        if reply.accepted {
            peer.accept(reply.match_index);
        } else {
            peer.refuse(reply.previous_index, reply.match_index);
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
        let Some(peer) = self.answering_peer(from, term, reply.mark) else {
            return;
        };
        if let SendMode::Snapshot(send) = &mut peer.mode
            && send.snapshot.index == reply.index
        {
            send.offset = reply.next_offset;
            send.waiting = false;
        }
        self.advance_commit(now);
        self.confirm_reads();
    }
}
