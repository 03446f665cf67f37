//! State and sending of a leader.

use std::sync::Arc;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;

use crate::instance_id::InstanceId;
use crate::log_entry::{EntryBody, EntryPosition, LogEntry};
use crate::membership_change::{
    ChangeInProgressSnafu, ChangeNotLeaderSnafu, LeaderNotReadySnafu, MembershipError,
    MembershipRequest, check_change,
};
use crate::message::{AppendRequest, MessageBody, PeerMessage, RoundMark, SnapshotChunk};
use crate::node::{NodeRole, RaftNode};
use crate::numbers::LogIndex;
use crate::peer_progress::{PeerProgress, SendMode, SnapshotSend};
use crate::read_queue::PendingRead;
use crate::ready::{LeaderAuthority, MemberProgress};
use snafu::{OptionExt, Snafu, ensure};

/// State that only a leader has.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Progress of all members but the leader itself.
    pub(crate) peers: IndexMap<InstanceId, PeerProgress>,
    /// Number of the last round that was sent.
    pub(crate) round: u64,
    /// A new round is to be sent to all members.
    pub(crate) round_wanted: bool,
    pub(crate) heartbeat_due: TimePoint,
    pub(crate) since: TimePoint,
    /// First entry of the term.
    pub(crate) first_index: LogIndex,
    pub(crate) reads: Vec<PendingRead>,
}

/// A refused proposal; nothing was added to the log.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ProposalRefused {
    /// This instance is not the leader.
    #[snafu(display("this instance is not the leader"))]
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// Too many entries wait to be committed.
    #[snafu(display("too many entries wait to be committed"))]
    Overloaded,
}

impl RaftNode {
    pub(crate) fn become_leader(&mut self, now: TimePoint) {
        self.leader = Some(self.id.clone());
        let next = self.log.last_index().next();
        self.role = NodeRole::Leader(LeaderState {
            peers: IndexMap::new(),
            round: 0,
            round_wanted: true,
            heartbeat_due: now + self.settings.heartbeat,
            since: now,
            first_index: next,
            reads: Vec::new(),
        });
        // Entries of earlier terms are committed only by way of an entry of the own term.
        self.push_entry(EntryBody::Noop);
        self.refresh_peers();
    }

    fn push_entry(&mut self, body: EntryBody) -> EntryPosition {
        let position = EntryPosition {
            index: self.log.last_index().next(),
            term: self.hard_state.term,
        };
        self.log.push(LogEntry {
            index: position.index,
            term: position.term,
            body,
        });
        position
    }

    /// Adds data to the log.
    pub fn propose(
        &mut self,
        data: Arc<[u8]>,
        _now: TimePoint,
    ) -> Result<EntryPosition, ProposalRefused> {
        if !self.is_leader() {
            let leader = self.leader.clone();
            return NotLeaderSnafu { leader }.fail();
        }
        let waiting = self.log.last_index().0 - self.commit.0;
        ensure!(waiting < self.settings.uncommitted_entries, OverloadedSnafu);
        Ok(self.push_entry(EntryBody::Data(data)))
    }

    /// Starts a membership change. It is in effect at once and done when its entry is committed.
    pub fn propose_membership(
        &mut self,
        request: &MembershipRequest,
        now: TimePoint,
    ) -> Result<EntryPosition, MembershipError> {
        let leader = self.leader.clone();
        let state = self
            .leader_state()
            .context(ChangeNotLeaderSnafu { leader })?;
        ensure!(self.commit >= state.first_index, LeaderNotReadySnafu);
        let current = self.log.membership();
        ensure!(current.index <= self.commit, ChangeInProgressSnafu);
        let membership = check_change(&current.membership, request, |id| {
            *id == self.id || self.is_caught_up(id, now)
        })?;
        let position = self.push_entry(EntryBody::Membership(membership));
        self.refresh_peers();
        Ok(position)
    }

    /// Whether a member has answered lately, lacks only a few entries and has the membership. A
    /// member without a membership does not vote, so it must not be counted on.
    fn is_caught_up(&self, id: &InstanceId, now: TimePoint) -> bool {
        let Some(peer) = self.leader_state().and_then(|state| state.peers.get(id)) else {
            return false;
        };
        let live = peer
            .acked_sent
            .is_some_and(|sent| now < sent + self.settings.election_min);
        live && peer.match_index >= self.log.membership().index
            && peer.match_index.0 + self.settings.caught_up_entries >= self.log.last_index().0
    }

    /// Progress of all members; empty unless this instance leads.
    pub(crate) fn member_progress(&self) -> Vec<MemberProgress> {
        let Some(state) = self.leader_state() else {
            return Vec::new();
        };
        let own = MemberProgress {
            id: self.id.clone(),
            match_index: self.log.synced(),
            last_contact: None,
        };
        let others = state.peers.iter().map(|(id, peer)| MemberProgress {
            id: id.clone(),
            match_index: peer.match_index,
            last_contact: peer.acked_sent,
        });
        std::iter::once(own).chain(others).collect()
    }

    /// Permission to act outside the log; `None` unless the lease runs and every entry of earlier
    /// terms is known to be committed.
    pub fn authority(&self, now: TimePoint) -> Option<LeaderAuthority> {
        let state = self.leader_state()?;
        if self.commit < state.first_index {
            return None;
        }
        let until = self.quorum_contact(now)? + self.settings.lease;
        (now < until).then_some(LeaderAuthority {
            term: self.hard_state.term,
            until,
        })
    }

    /// Send time of the oldest message among the newest ones that a quorum has acknowledged.
    fn quorum_contact(&self, now: TimePoint) -> Option<TimePoint> {
        let state = self.leader_state()?;
        let acked = |id: &InstanceId| {
            if *id == self.id {
                return Some(now);
            }
            state.peers.get(id)?.acked_sent
        };
        self.membership().quorum_value(acked).flatten()
    }

    pub(crate) fn leader_state(&self) -> Option<&LeaderState> {
        match &self.role {
            NodeRole::Leader(state) => Some(state),
            _ => None,
        }
    }

    pub(crate) fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            NodeRole::Leader(state) => Some(state),
            _ => None,
        }
    }

    fn refresh_peers(&mut self) {
        let next = self.log.last_index();
        let others = self.other_members();
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        state.peers.retain(|id, _| others.contains(id));
        for id in others {
            state
                .peers
                .entry(id)
                .or_insert_with(|| PeerProgress::new(next));
        }
    }

    pub(crate) fn tick_leader(&mut self, now: TimePoint) {
        let contact = self.quorum_contact(now);
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let last = contact.unwrap_or(state.since).max(state.since);
        if now >= state.heartbeat_due {
            state.round_wanted = true;
        }
        if now >= last + self.settings.election_max {
            self.become_follower(self.hard_state.term, now);
        }
    }

    /// Raises the commit index to what a quorum has synced.
    pub(crate) fn advance_commit(&mut self, now: TimePoint) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let synced = |id: &InstanceId| {
            if *id == self.id {
                return self.log.synced();
            }
            let peer = state.peers.get(id);
            peer.map_or(LogIndex(0), |peer| peer.match_index)
        };
        let reached = self.membership().quorum_value(synced).unwrap_or_default();
        let own_term = self.log.term_at(reached) == Some(self.hard_state.term);
        if reached <= self.commit || !own_term {
            return;
        }
        self.commit = reached;
        let logged = self.log.membership();
        if logged.index <= reached && !logged.membership.is_voter(&self.id) {
            self.become_follower(self.hard_state.term, now);
        }
    }

    /// Messages of the leader that are due.
    pub(crate) fn leader_messages(&mut self, now: TimePoint) -> Vec<PeerMessage> {
        let heartbeat = self.settings.heartbeat;
        let Some(state) = self.leader_state_mut() else {
            return Vec::new();
        };
        let new_round = std::mem::take(&mut state.round_wanted);
        if new_round {
            state.round += 1;
            state.heartbeat_due = now + heartbeat;
        }
        let mark = RoundMark {
            round: state.round,
            sent: now,
        };
        let peers: Vec<InstanceId> = state.peers.keys().cloned().collect();
        let mut messages = Vec::new();
        for id in peers {
            if let Some(body) = self.message_for(&id, mark, new_round) {
                messages.push(self.message(id, body));
            }
        }
        self.confirm_reads();
        messages
    }

    fn message_for(
        &mut self,
        id: &InstanceId,
        mark: RoundMark,
        new_round: bool,
    ) -> Option<MessageBody> {
        let window = self.settings.window_entries;
        let (log, commit) = (&self.log, self.commit);
        let NodeRole::Leader(state) = &mut self.role else {
            return None;
        };
        let peer = state.peers.get_mut(id)?;
        if peer.next_index <= log.base_index() && !matches!(peer.mode, SendMode::Snapshot(_)) {
            let snapshot = log
                .snapshot()
                .expect("a log is truncated only by a snapshot");
            peer.mode = SendMode::Snapshot(SnapshotSend::new(Arc::clone(snapshot)));
        }
        match &mut peer.mode {
            SendMode::Snapshot(send) => {
                let chunk = send.next_chunk(new_round, self.settings.chunk_bytes)?;
                Some(MessageBody::Snapshot(SnapshotChunk { mark, ..chunk }))
            }
            SendMode::Probe { waiting } if *waiting && !new_round => None,
            mode => {
                let next = peer.next_index;
                let has_room = next.0 <= peer.match_index.0 + window;
                let probing = matches!(mode, SendMode::Probe { .. });
                let wanted = next <= log.last_index() && (has_room || probing);
                let news = peer.commit_sent < commit;
                if !new_round && !wanted && !news {
                    return None;
                }
                let previous = next.previous();
                let previous_term = log.term_at(previous)?;
                let entries = if wanted {
                    log.slice(next, self.settings.append_bytes)
                } else {
                    Vec::new()
                };
                match mode {
                    SendMode::Probe { waiting } => *waiting = true,
                    _ => peer.next_index = LogIndex(next.0 + entries.len() as u64),
                }
                peer.commit_sent = commit;
                Some(MessageBody::Append(AppendRequest {
                    mark,
                    previous_index: previous,
                    previous_term,
                    commit,
                    entries,
                }))
            }
        }
    }
}
