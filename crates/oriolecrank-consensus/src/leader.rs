//! Leader state, proposals, the leader lease and outgoing replication messages.

use std::sync::Arc;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;

use crate::entry_sender::EntrySender;
use crate::instance_id::InstanceId;
use crate::log_entry::{EntryBody, EntryPosition, LogEntry};
use crate::membership_change::{
    ChangeInProgressSnafu, ChangeNotLeaderSnafu, LeaderNotReadySnafu, MembershipError,
    MembershipRequest, check_change,
};
use crate::message::{MessageBody, PeerMessage, RoundMark};
use crate::node::{NodeRole, RaftNode};
use crate::numbers::LogIndex;
use crate::peer_progress::{PeerProgress, SendMode, SnapshotTransfer};
use crate::read_queue::PendingRead;
use crate::ready::{LeaderAuthority, MemberProgress};
use snafu::{OptionExt, Snafu, ensure};

/// State that only a leader has.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Progress of all other members.
    pub(crate) peers: IndexMap<InstanceId, PeerProgress>,
    /// Number of the last round that was sent, see [`RoundMark`].
    pub(crate) round: u64,
    /// The next batch starts a new round.
    pub(crate) round_requested: bool,
    /// Time at which the next round is due if nothing requests one earlier.
    pub(crate) heartbeat_due: TimePoint,
    pub(crate) leader_since: TimePoint,
    /// Index of the first entry of the term.
    pub(crate) term_start_index: LogIndex,
    pub(crate) pending_reads: Vec<PendingRead>,
}

/// A rejected proposal; nothing was added to the log.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ProposalError {
    /// This instance is not the leader.
    #[snafu(display("this instance is not the leader"))]
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// The uncommitted entries have reached
    /// [`max_uncommitted_entries`](crate::RaftSettings::max_uncommitted_entries), or would exceed
    /// [`max_uncommitted_bytes`](crate::RaftSettings::max_uncommitted_bytes).
    #[snafu(display("too many uncommitted entries; proposal rejected"))]
    Overloaded,
}

impl RaftNode {
    pub(crate) fn become_leader(&mut self, now: TimePoint) {
        self.incoming_entry = None;
        self.incoming_snapshot = None;
        self.leader = Some(self.id.clone());
        let next_index = self.log.last_index().next();
        self.role = NodeRole::Leader(LeaderState {
            peers: IndexMap::new(),
            round: 0,
            round_requested: true,
            heartbeat_due: now + self.settings.heartbeat_interval,
            leader_since: now,
            term_start_index: next_index,
            pending_reads: Vec::new(),
        });
        // Entries of earlier terms cannot be committed by counting replicas; they are committed
        // together with this entry of the current term.
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

    /// Appends a command to the log. [`EntryPosition`] describes when the command is committed.
    pub fn propose(
        &mut self,
        data: Arc<[u8]>,
        _now: TimePoint,
    ) -> Result<EntryPosition, ProposalError> {
        if !self.is_leader() {
            let leader = self.leader.clone();
            return NotLeaderSnafu { leader }.fail();
        }
        let uncommitted = self.log.last_index().0 - self.commit_index.0;
        ensure!(
            uncommitted < self.settings.max_uncommitted_entries,
            OverloadedSnafu
        );
        let held = self
            .log
            .bytes_between(self.commit_index, self.log.last_index());
        let fits = held + data.len() <= self.settings.max_uncommitted_bytes;
        ensure!(uncommitted == 0 || fits, OverloadedSnafu);
        Ok(self.push_entry(EntryBody::Data(data)))
    }

    /// Starts a membership change. It takes effect at once and is complete when its entry is
    /// committed.
    pub fn propose_membership(
        &mut self,
        request: &MembershipRequest,
        now: TimePoint,
    ) -> Result<EntryPosition, MembershipError> {
        let leader = self.leader.clone();
        let state = self
            .leader_state()
            .context(ChangeNotLeaderSnafu { leader })?;
        ensure!(
            self.commit_index >= state.term_start_index,
            LeaderNotReadySnafu
        );
        let current = self.log.membership();
        ensure!(current.index <= self.commit_index, ChangeInProgressSnafu);
        let membership = check_change(&current.membership, request, |id| {
            *id == self.id || self.is_caught_up(id, now)
        })?;
        let position = self.push_entry(EntryBody::Membership(membership));
        self.refresh_peers();
        Ok(position)
    }

    /// Whether a member has replied within the minimum election timeout, lacks only a few entries
    /// and has the current membership. A member without a membership does not vote, so it must not
    /// count towards a quorum.
    fn is_caught_up(&self, id: &InstanceId, now: TimePoint) -> bool {
        let Some(peer) = self.leader_state().and_then(|state| state.peers.get(id)) else {
            return false;
        };
        let live = peer
            .acked_sent_at
            .is_some_and(|sent| now < sent + self.settings.min_election_timeout);
        live && peer.match_index >= self.log.membership().index
            && peer.match_index.0 + self.settings.max_caught_up_lag >= self.log.last_index().0
    }

    /// Progress of all members, the leader first; empty unless this instance is the leader.
    pub(crate) fn member_progress(&self) -> Vec<MemberProgress> {
        let Some(state) = self.leader_state() else {
            return Vec::new();
        };
        let own_progress = MemberProgress {
            id: self.id.clone(),
            match_index: self.log.synced_index(),
            last_contact: None,
        };
        let others = state.peers.iter().map(|(id, peer)| MemberProgress {
            id: id.clone(),
            match_index: peer.match_index,
            last_contact: peer.acked_sent_at,
        });
        std::iter::once(own_progress).chain(others).collect()
    }

    /// Authority under the current lease; `None` unless this instance is the leader, the lease is
    /// valid and an entry of the current term, and with it all earlier entries, is committed.
    pub fn authority(&self, now: TimePoint) -> Option<LeaderAuthority> {
        let state = self.leader_state()?;
        if self.commit_index < state.term_start_index {
            return None;
        }
        let until = self.last_quorum_contact(now)? + self.settings.lease_duration;
        (now < until).then_some(LeaderAuthority {
            term: self.hard_state.term,
            until,
        })
    }

    /// Latest time, by the leader's clock, such that a quorum has replied to messages sent then or
    /// later.
    fn last_quorum_contact(&self, now: TimePoint) -> Option<TimePoint> {
        let state = self.leader_state()?;
        let acked = |id: &InstanceId| {
            if *id == self.id {
                return Some(now);
            }
            state.peers.get(id)?.acked_sent_at
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

    /// Adds progress for new members and drops that of removed ones.
    fn refresh_peers(&mut self) {
        let last_index = self.log.last_index();
        let others = self.other_members();
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        state.peers.retain(|id, _| others.contains(id));
        for id in others {
            state
                .peers
                .entry(id)
                .or_insert_with(|| PeerProgress::new(last_index));
        }
    }

    pub(crate) fn tick_leader(&mut self, now: TimePoint) {
        let quorum_contact = self.last_quorum_contact(now);
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let last_contact = quorum_contact
            .unwrap_or(state.leader_since)
            .max(state.leader_since);
        if now >= state.heartbeat_due {
            state.round_requested = true;
        }
        if now >= last_contact + self.settings.max_election_timeout {
            self.become_follower(self.hard_state.term, now);
        }
    }

    /// Raises the commit index to the highest index that a quorum has synced, if that entry is of
    /// the current term. A leader whose removal or demotion is thereby committed steps down.
    pub(crate) fn advance_commit(&mut self, now: TimePoint) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let synced = |id: &InstanceId| {
            if *id == self.id {
                return self.log.synced_index();
            }
            let peer = state.peers.get(id);
            peer.map_or(LogIndex(0), |peer| peer.match_index)
        };
        let quorum_index = self.membership().quorum_value(synced).unwrap_or_default();
        let in_current_term = self.log.term_at(quorum_index) == Some(self.hard_state.term);
        if quorum_index <= self.commit_index || !in_current_term {
            return;
        }
        self.commit_index = quorum_index;
        let logged = self.log.membership();
        if logged.index <= quorum_index && !logged.membership.is_voter(&self.id) {
            self.become_follower(self.hard_state.term, now);
        }
    }

    /// Messages to other members that are due.
    pub(crate) fn leader_messages(&mut self, now: TimePoint) -> Vec<PeerMessage> {
        let heartbeat = self.settings.heartbeat_interval;
        let Some(state) = self.leader_state_mut() else {
            return Vec::new();
        };
        let new_round = std::mem::take(&mut state.round_requested);
        if new_round {
            state.round += 1;
            state.heartbeat_due = now + heartbeat;
        }
        let mark = RoundMark {
            round: state.round,
            sent: now,
        };
        let peers: Vec<InstanceId> = state.peers.keys().cloned().collect();
        self.limit_snapshots(now);
        let mut messages = Vec::new();
        for id in peers {
            if let Some(body) = self.next_message_for(&id, mark, new_round) {
                messages.push(self.message(id, body));
            }
        }
        self.confirm_reads();
        messages
    }

    /// Bounds the snapshots that are kept for transfers: the newest one and the oldest one that a
    /// member in contact still receives. Other transfers begin anew with the newest one.
    fn limit_snapshots(&mut self, now: TimePoint) {
        let Some(newest) = self.log.snapshot().cloned() else {
            return;
        };
        let silence_limit = self.settings.max_election_timeout * 2;
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let outdated = state.peers.values().filter_map(|peer| match &peer.mode {
            SendMode::Snapshot(transfer) if transfer.snapshot.index < newest.index => {
                let acked = peer.acked_sent_at?;
                (now < acked + silence_limit).then_some(transfer.snapshot.index)
            }
            _ => None,
        });
        let kept = outdated.min();
        for peer in state.peers.values_mut() {
            if let SendMode::Snapshot(transfer) = &mut peer.mode
                && transfer.snapshot.index < newest.index
                && Some(transfer.snapshot.index) != kept
            {
                *transfer = SnapshotTransfer::new(Arc::clone(&newest));
                peer.pace.end_transfer();
            }
        }
    }

    /// Next message to a member, if one is due. A new round always begins with a small message, so
    /// that heartbeats do not wait for large ones.
    fn next_message_for(
        &mut self,
        id: &InstanceId,
        mark: RoundMark,
        new_round: bool,
    ) -> Option<MessageBody> {
        let (log, commit_index, settings) = (&self.log, self.commit_index, &self.settings);
        let NodeRole::Leader(state) = &mut self.role else {
            return None;
        };
        let peer = state.peers.get_mut(id)?;
        if peer.next_index <= log.base_index() && !matches!(peer.mode, SendMode::Snapshot(_)) {
            let snapshot = log
                .snapshot()
                .expect("the log is compacted only by a snapshot");
            peer.mode = SendMode::Snapshot(SnapshotTransfer::new(Arc::clone(snapshot)));
            peer.entry_transfer = None;
            peer.pace.end_transfer();
        }
        let sender = EntrySender {
            log,
            settings,
            commit_index,
            mark,
        };
        match &mut peer.mode {
            SendMode::Snapshot(transfer) => {
                if new_round {
                    return Some(sender.heartbeat_after(peer.match_index));
                }
                let max_bytes = peer.pace.start_chunk(settings.max_chunk_bytes, mark.sent)?;
                Some(MessageBody::Snapshot(transfer.next_chunk(mark, max_bytes)))
            }
            SendMode::Probe { awaiting_reply } => {
                if *awaiting_reply && !new_round {
                    return None;
                }
                *awaiting_reply = true;
                sender.probe(peer)
            }
            SendMode::Replicate => sender.replicate(peer, new_round),
        }
    }
}
