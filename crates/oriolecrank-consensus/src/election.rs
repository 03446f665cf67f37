//! Pre-votes and elections.

use oriolecrank_schema::TimePoint;

use crate::instance_id::InstanceId;
use crate::message::{MessageBody, VoteReply, VoteRequest};
use crate::node::{NodeRole, RaftNode};
use crate::numbers::Term;
use crate::ready::HardState;
use crate::vote_count::VoteCount;

impl RaftNode {
    /// Whether this instance is a voter, or was one until an entry that is not known to be
    /// committed removed or demoted it.
    ///
    /// In the second case it may be the only instance whose log is long enough to win. It then
    /// commits that entry and steps down; its own vote does not count.
    pub(crate) fn may_campaign(&self) -> bool {
        let committed = self.log.membership_at(self.commit_index);
        let is_voter = self.membership().is_voter(&self.id) || committed.is_voter(&self.id);
        self.may_participate() && is_voter
    }

    /// Whether a leader may still hold a lease that this instance has acknowledged.
    ///
    /// A leader never votes; if it loses its quorum it steps down first. The time of the last
    /// contact is not stored, so a restarted instance waits as if the contact had been just before
    /// the restart.
    pub(crate) fn withholds_votes(&self, now: TimePoint) -> bool {
        let vote_withholding = self.settings.min_election_timeout;
        let is_recent = |time: TimePoint| now < time + vote_withholding;
        self.is_leader()
            || is_recent(self.started_at)
            || self
                .last_leader_contact
                .as_ref()
                .is_some_and(|leader| is_recent(leader.last_contact))
    }

    pub(crate) fn start_pre_vote(&mut self, now: TimePoint) {
        self.leader = None;
        self.reset_election_deadline(now);
        let mut votes = VoteCount::default();
        votes.add(self.id.clone());
        if votes.has_quorum(self.membership()) {
            self.start_election(now);
            return;
        }
        self.role = NodeRole::PreCandidate(votes);
        let request = self.vote_request(self.hard_state.term.next());
        self.send_to_voters(&MessageBody::PreVote(request));
    }

    fn start_election(&mut self, now: TimePoint) {
        let term = self.hard_state.term.next();
        let vote = Some(self.id.clone());
        self.set_hard_state(HardState { term, vote });
        self.reset_election_deadline(now);
        let mut votes = VoteCount::default();
        votes.add(self.id.clone());
        if votes.has_quorum(self.membership()) {
            self.become_leader(now);
            return;
        }
        self.role = NodeRole::Candidate(votes);
        let request = self.vote_request(term);
        self.send_to_voters(&MessageBody::Vote(request));
    }

    fn vote_request(&self, candidate_term: Term) -> VoteRequest {
        VoteRequest {
            candidate_term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        }
    }

    fn send_to_voters(&mut self, body: &MessageBody) {
        for id in self.other_members() {
            if self.membership().is_voter(&id) {
                self.send(id, body.clone());
            }
        }
    }

    /// Whether this instance can vote for the candidate, regardless of terms and earlier votes.
    ///
    /// A learner votes too: it may already have been promoted by an entry that it has not received.
    /// An instance without a membership has not joined yet and does not vote, because it has no
    /// stored votes or entries that it could honour.
    fn can_grant_vote(&self, request: VoteRequest, now: TimePoint) -> bool {
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
        let is_newer_term = request.candidate_term > self.hard_state.term;
        let reply = VoteReply {
            candidate_term: request.candidate_term,
            granted: is_newer_term && self.can_grant_vote(request, now),
        };
        self.send(from, MessageBody::PreVoteReply(reply));
    }

    pub(crate) fn handle_vote(&mut self, from: InstanceId, request: VoteRequest, now: TimePoint) {
        let term = self.hard_state.term;
        let vote_available = self
            .hard_state
            .vote
            .as_ref()
            .is_none_or(|vote| *vote == from);
        let granted =
            request.candidate_term == term && vote_available && self.can_grant_vote(request, now);
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
        if votes.has_quorum(&self.log.membership().membership) {
            self.start_election(now);
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
        if votes.has_quorum(&self.log.membership().membership) {
            self.become_leader(now);
        }
    }
}
