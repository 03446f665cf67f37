//! Reads that see every acknowledged change.
//!
//! The leader answers a read once a quorum has answered a round that began after the read arrived.
//! Until then another leader may exist and may have acknowledged newer changes.

use oriolecrank_schema::TimePoint;

use crate::instance_id::InstanceId;
use crate::message::MessageBody;
use crate::node::RaftNode;
use crate::numbers::ReadContext;
use crate::ready::ReadOutcome;

/// A read that waits for its round.
#[derive(Debug)]
pub(crate) struct PendingRead {
    context: ReadContext,
    /// Instance that asked; `None` for this instance.
    from: Option<InstanceId>,
    /// First round that began after the read arrived.
    round: u64,
}

impl RaftNode {
    /// Starts a read on any instance; the outcome appears in a later batch, or never if a message is
    /// lost, so the caller sets a time limit.
    pub fn read_index(&mut self, context: ReadContext, _now: TimePoint) {
        if self.is_leader() {
            self.queue_read(context, None);
            return;
        }
        match self.leader.clone() {
            Some(leader) => self.send(leader, MessageBody::Read(context)),
            None => self.reads.push(ReadOutcome {
                context,
                index: None,
            }),
        }
    }

    pub(crate) fn handle_read(&mut self, from: InstanceId, context: ReadContext) {
        if self.is_leader() {
            self.queue_read(context, Some(from));
            return;
        }
        self.send(from, MessageBody::ReadReply(context, None));
    }

    fn queue_read(&mut self, context: ReadContext, from: Option<InstanceId>) {
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let round = state.round + 1;
        state.round_wanted = true;
        state.reads.push(PendingRead {
            context,
            from,
            round,
        });
    }

    /// Answers the reads whose round a quorum has answered.
    pub(crate) fn confirm_reads(&mut self) {
        let Some(state) = self.leader_state() else {
            return;
        };
        // Before the first entry of the term is committed, the commit index may lag behind what the
        // previous leader has acknowledged.
        if state.reads.is_empty() || self.commit < state.first_index {
            return;
        }
        let answered = |id: &InstanceId| {
            if *id == self.id {
                return state.round;
            }
            state.peers.get(id).map_or(0, |peer| peer.acked_round)
        };
        let confirmed = self.membership().quorum_value(answered).unwrap_or(0);
        let index = Some(self.commit);
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let ready = state.reads.extract_if(.., |read| read.round <= confirmed);
        let ready: Vec<PendingRead> = ready.collect();
        for read in ready {
            self.finish_read(read, index);
        }
    }

    /// Refuses all waiting reads, because this instance no longer leads.
    pub(crate) fn fail_reads(&mut self) {
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        for read in std::mem::take(&mut state.reads) {
            self.finish_read(read, None);
        }
    }

    fn finish_read(&mut self, read: PendingRead, index: Option<crate::numbers::LogIndex>) {
        let context = read.context;
        match read.from {
            Some(from) => self.send(from, MessageBody::ReadReply(context, index)),
            None => self.reads.push(ReadOutcome { context, index }),
        }
    }
}
