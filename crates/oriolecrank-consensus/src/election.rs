//! Elections.

use oriolecrank_schema::TimePoint;

use crate::instance_id::InstanceId;
use crate::message::{MessageBody, VoteReply, VoteRequest};
use crate::node::{NodeRole, RaftNode};
use crate::numbers::Term;
use crate::ready::HardState;
use crate::vote_count::VoteCount;

impl RaftNode {
    /// Whether this instance is a voter, or was one until an entry that is not committed yet.
    ///
    /// In the second case it may be the only one whose log is long enough to be elected. It then
    /// commits its own removal and resigns; its own vote does not count.
    pub(crate) fn may_campaign(&self) -> bool {
        let committed = self.log.membership_at(self.commit);
        let voter = self.membership().is_voter(&self.id) || committed.is_voter(&self.id);
        self.takes_part() && voter
    }

    /// Whether a leader may still hold a lease that this instance has confirmed.
    ///
    /// A leader never votes; it resigns first if it has lost its quorum. A restarted instance has
    /// forgotten its last contact, so it waits as if it had been just before the restart.
    pub(crate) fn withholds_votes(&self, now: TimePoint) -> bool {
        let wait = self.settings.election_min;
        let recent = |time: TimePoint| now < time + wait;
        self.is_leader() || recent(self.started) || self.leader_contact.is_some_and(recent)
    }

    pub(crate) fn start_pre_vote(&mut self, now: TimePoint) {
        self.leader = None;
        self.reset_election_deadline(now);
        let mut votes = VoteCount::default();
        votes.add(self.id.clone());
        if votes.wins(self.membership()) {
            self.start_vote(now);
            return;
        }
        self.role = NodeRole::PreCandidate(votes);
        let request = self.vote_request(self.hard_state.term.next());
        self.ask_voters(&MessageBody::PreVote(request));
    }

    fn start_vote(&mut self, now: TimePoint) {
        let term = self.hard_state.term.next();
        let vote = Some(self.id.clone());
        self.set_hard_state(HardState { term, vote });
        self.reset_election_deadline(now);
        let mut votes = VoteCount::default();
        votes.add(self.id.clone());
        if votes.wins(self.membership()) {
            self.become_leader(now);
            return;
        }
        self.role = NodeRole::Candidate(votes);
        let request = self.vote_request(term);
        self.ask_voters(&MessageBody::Vote(request));
    }

    fn vote_request(&self, candidate_term: Term) -> VoteRequest {
        VoteRequest {
            candidate_term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        }
    }

    fn ask_voters(&mut self, body: &MessageBody) {
        for id in self.other_members() {
            if self.membership().is_voter(&id) {
                self.send(id, body.clone());
            }
        }
    }

    /// Whether this instance could vote for a candidate at all.
    ///
    /// A learner votes too: it may already have become a voter by an entry that it has not received.
    /// An instance that knows no member has not joined yet and holds no promises it could keep.
    fn supports(&self, request: VoteRequest, now: TimePoint) -> bool {
        let membership = self.membership();
        let own_last = (self.log.last_term(), self.log.last_index());
        !self.withholds_votes(now)
            && !membership.is_empty()
            && !self.is_removed(&self.id)
            && (request.last_term, request.last_index) >= own_last
    }

    pub(crate) fn handle_pre_vote(
        &mut self,
        from: InstanceId,
        request: VoteRequest,
        now: TimePoint,
    ) {
        let newer = request.candidate_term > self.hard_state.term;
        let reply = VoteReply {
            candidate_term: request.candidate_term,
            granted: newer && self.supports(request, now),
        };
        self.send(from, MessageBody::PreVoteReply(reply));
    }

    pub(crate) fn handle_vote(&mut self, from: InstanceId, request: VoteRequest, now: TimePoint) {
        let term = self.hard_state.term;
        let free = self
            .hard_state
            .vote
            .as_ref()
            .is_none_or(|vote| *vote == from);
        let granted = request.candidate_term == term && free && self.supports(request, now);
        if granted {
            let vote = Some(from.clone());
            self.set_hard_state(HardState { term, vote });
            self.reset_election_deadline(now);
        }
        let reply = VoteReply {
            candidate_term: request.candidate_term,
            granted,
        };
        self.send(from, MessageBody::VoteReply(reply));
    }

    pub(crate) fn handle_pre_vote_reply(
        &mut self,
        from: InstanceId,
        reply: VoteReply,
        now: TimePoint,
    ) {
        let candidate_term = self.hard_state.term.next();
        let NodeRole::PreCandidate(votes) = &mut self.role else {
            return;
        };
        if !reply.granted || reply.candidate_term != candidate_term {
            return;
        }
        votes.add(from);
        if votes.wins(&self.log.membership().membership) {
            self.start_vote(now);
        }
    }

    pub(crate) fn handle_vote_reply(&mut self, from: InstanceId, reply: VoteReply, now: TimePoint) {
        let NodeRole::Candidate(votes) = &mut self.role else {
            return;
        };
        if !reply.granted || reply.candidate_term != self.hard_state.term {
            return;
        }
        votes.add(from);
        if votes.wins(&self.log.membership().membership) {
            self.become_leader(now);
        }
    }
}
