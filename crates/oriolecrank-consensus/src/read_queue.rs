//! Linearizable reads by read index: a commit index that the reading instance must have applied
//! before it answers.
//!
//! The leader returns its commit index for a read once a quorum has replied to a round that started
//! after the read arrived. Until then another leader may exist and may have acknowledged newer
//! changes.

use oriolecrank_schema::TimePoint;

use crate::instance_id::InstanceId;
use crate::message::MessageBody;
use crate::node::RaftNode;
use crate::numbers::ReadContext;
use crate::ready::ReadOutcome;

/// A read that waits until a quorum has replied to its round.
#[derive(Debug)]
pub(crate) struct PendingRead {
    context: ReadContext,
    /// Instance that sent the read; `None` for a read started on this instance.
    requester: Option<InstanceId>,
    /// First round that starts after the read arrived.
    round: u64,
}

impl RaftNode {
    /// Starts a read, on the leader or any other instance.
    ///
    /// The outcome appears in a later batch. It never appears if a message is lost, so the caller
    /// needs a timeout.
    pub fn read_index(&mut self, context: ReadContext, _now: TimePoint) {
        if self.is_leader() {
            self.queue_read(context, None);
            return;
        }
        match self.leader.clone() {
            Some(leader) => self.send(leader, MessageBody::Read(context)),
            None => self.read_outcomes.push(ReadOutcome {
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

    fn queue_read(&mut self, context: ReadContext, requester: Option<InstanceId>) {
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let round = state.round + 1;
        state.round_requested = true;
        state.pending_reads.push(PendingRead {
            context,
            requester,
            round,
        });
    }

    /// Completes the reads whose round has replies from a quorum.
    pub(crate) fn confirm_reads(&mut self) {
        let Some(state) = self.leader_state() else {
            return;
        };
        // Until the first entry of the term is committed, the commit index may be below that of the
        // previous leader, so a read could miss entries that the previous leader has acknowledged.
        if state.pending_reads.is_empty() || self.commit_index < state.term_start_index {
            return;
        }
        let acked_round = |id: &InstanceId| {
            if *id == self.id {
                return state.round;
            }
            state.peers.get(id).map_or(0, |peer| peer.acked_round)
        };
        let confirmed_round = self.membership().quorum_value(acked_round).unwrap_or(0);
        let index = Some(self.commit_index);
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let confirmed = state
            .pending_reads
            .extract_if(.., |read| read.round <= confirmed_round);
        let confirmed: Vec<PendingRead> = confirmed.collect();
        for read in confirmed {
            self.finish_read(read, index);
        }
    }

    /// Rejects all pending reads, because this instance is about to stop leading.
    pub(crate) fn reject_reads(&mut self) {
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        for read in std::mem::take(&mut state.pending_reads) {
            self.finish_read(read, None);
        }
    }

    fn finish_read(&mut self, read: PendingRead, index: Option<crate::numbers::LogIndex>) {
        let context = read.context;
        match read.requester {
            Some(requester) => self.send(requester, MessageBody::ReadReply(context, index)),
            None => self.read_outcomes.push(ReadOutcome { context, index }),
        }
    }
}
