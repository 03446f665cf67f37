//! The consensus core of one instance.

use std::sync::Arc;

use oriolecrank_schema::TimePoint;
use rand::Rng as _;
use rand::rngs::StdRng;

use crate::founding::FoundingCheck;
use crate::instance_id::InstanceId;
use crate::leader::LeaderState;
use crate::log_entry::LogEntry;
use crate::membership::Membership;
use crate::message::{MessageBody, PeerMessage};
use crate::numbers::{DiskTag, LogIndex, Term};
use crate::raft_log::RaftLog;
use crate::ready::{
    FoundingTags, HardState, LogRecord, NodeStatus, ReadOutcome, ReadyBatch, RoleName,
};
use crate::settings::RaftSettings;
use crate::snapshot::{PartialSnapshot, Snapshot};
use crate::vote_count::VoteCount;

/// Most entries that one [`ReadyBatch`] asks to apply.
const MAX_APPLIED_ENTRIES: u64 = 4_096;

/// Durable state that a node starts from.
#[derive(Debug, Clone, Default)]
pub struct StoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Tags of the founding members, if the founding check is complete.
    pub founding: Option<FoundingTags>,
    /// Newest snapshot. A founding member has one at index 0 with the founding membership; an
    /// instance that joins a running group has none.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

/// Part of a node in its group.
#[derive(Debug)]
pub(crate) enum NodeRole {
    Follower,
    PreCandidate(VoteCount),
    Candidate(VoteCount),
    Leader(LeaderState),
}

/// The consensus core: a pure state machine.
///
/// Inputs are [`step`](Self::step), [`tick`](Self::tick), [`propose`](Self::propose),
/// [`propose_membership`](Self::propose_membership) and [`read_index`](Self::read_index). After
/// each input, or after several, the driver takes [`ready`](Self::ready), does what the batch says
/// and calls [`mark_synced`](Self::mark_synced), until a batch is empty.
#[derive(Debug)]
pub struct RaftNode {
    pub(crate) settings: RaftSettings,
    pub(crate) id: InstanceId,
    random: StdRng,
    pub(crate) hard_state: HardState,
    /// The hard state differs from what was handed out for writing.
    hard_state_changed: bool,
    pub(crate) founding: FoundingCheck,
    pub(crate) log: RaftLog,
    /// Highest index known to be committed; never above the end of the log.
    pub(crate) commit: LogIndex,
    /// Last index handed out for applying; never above `commit` or the synced end of the log.
    pub(crate) delivered: LogIndex,
    pub(crate) role: NodeRole,
    /// Leader of the current term, if known.
    pub(crate) leader: Option<InstanceId>,
    /// Last accepted message of a leader of any term; votes are withheld for a while after it.
    pub(crate) leader_contact: Option<TimePoint>,
    pub(crate) started: TimePoint,
    election_deadline: TimePoint,
    pub(crate) incoming: Option<PartialSnapshot>,
    pub(crate) installed: Option<Arc<Snapshot>>,
    pub(crate) records: Vec<LogRecord>,
    messages: Vec<PeerMessage>,
    pub(crate) reads: Vec<ReadOutcome>,
}

impl RaftNode {
    /// A node that continues from its durable state.
    pub fn new(
        id: InstanceId,
        tag: DiskTag,
        settings: RaftSettings,
        stored: StoredState,
        random: StdRng,
        now: TimePoint,
    ) -> Self {
        let founding = stored
            .snapshot
            .as_ref()
            .filter(|snapshot| snapshot.index == LogIndex(0))
            .map(|snapshot| snapshot.membership.clone())
            .unwrap_or_default();
        let founding = FoundingCheck::new(&id, tag, stored.founding, &founding, now);
        let log = RaftLog::new(Membership::default(), stored.snapshot, stored.entries);
        let commit = log.snapshot_index();
        let mut node = Self {
            settings,
            id,
            random,
            hard_state: stored.hard_state,
            hard_state_changed: false,
            founding,
            log,
            commit,
            delivered: commit,
            role: NodeRole::Follower,
            leader: None,
            leader_contact: None,
            started: now,
            election_deadline: now,
            incoming: None,
            installed: None,
            records: Vec::new(),
            messages: Vec::new(),
            reads: Vec::new(),
        };
        // Nobody else can lead beside a sole voter: a second voter cannot have been added without an
        // entry in this log.
        if !node.is_sole_voter() {
            node.reset_election_deadline(now);
        }
        node
    }

    fn is_sole_voter(&self) -> bool {
        self.membership().voters().eq([&self.id])
    }

    /// Identity of this instance.
    pub const fn id(&self) -> &InstanceId {
        &self.id
    }

    /// Current term.
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Term and vote.
    pub const fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// Membership in effect.
    pub fn membership(&self) -> &Membership {
        &self.log.membership().membership
    }

    /// Entries kept in the log.
    pub fn log_entries(&self) -> impl Iterator<Item = &LogEntry> {
        self.log.entries()
    }

    /// Last index contained in the snapshot.
    pub fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot_index()
    }

    /// Whether this instance leads its term.
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, NodeRole::Leader(_))
    }

    /// Leader of the current term, if known.
    pub const fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// View for operators and metrics.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            id: self.id.clone(),
            term: self.hard_state.term,
            role: match self.role {
                NodeRole::Follower => RoleName::Follower,
                NodeRole::PreCandidate(_) => RoleName::PreCandidate,
                NodeRole::Candidate(_) => RoleName::Candidate,
                NodeRole::Leader(_) => RoleName::Leader,
            },
            leader: self.leader.clone(),
            commit_index: self.commit,
            last_index: self.log.last_index(),
            snapshot_index: self.log.snapshot_index(),
            membership: self.membership().clone(),
            founding: self.founding.progress,
            progress: self.member_progress(),
        }
    }

    /// Time until which [`tick`](Self::tick) has nothing to do.
    pub fn next_tick(&self) -> TimePoint {
        match &self.role {
            NodeRole::Leader(leader) => leader.heartbeat_due,
            _ => self
                .election_deadline
                .min(self.founding_probe_due().unwrap_or(self.election_deadline)),
        }
    }

    /// Handles a message.
    ///
    /// `now` must be taken after the message was received. With an older time, a vote could be
    /// given while the lease of the sender still runs.
    pub fn step(&mut self, message: PeerMessage, now: TimePoint) {
        if message.to != self.id || message.from == self.id {
            return;
        }
        match message.body {
            MessageBody::FoundingProbe(tag) => return self.handle_founding_probe(&message, tag),
            MessageBody::FoundingReply(reply) => {
                return self.handle_founding_reply(&message, reply);
            }
            _ => {}
        }
        if !self.takes_part() || self.is_removed(&message.from) {
            return;
        }
        if message.term > self.hard_state.term && !self.accept_newer_term(&message, now) {
            return;
        }
        let PeerMessage {
            from, term, body, ..
        } = message;
        match body {
            MessageBody::PreVote(request) => self.handle_pre_vote(from, request, now),
            MessageBody::PreVoteReply(reply) => self.handle_pre_vote_reply(from, reply, now),
            MessageBody::Vote(request) => self.handle_vote(from, request, now),
            MessageBody::VoteReply(reply) => self.handle_vote_reply(from, reply, now),
            MessageBody::Append(request) => self.handle_append(from, term, request, now),
            MessageBody::AppendReply(reply) => self.handle_append_reply(&from, term, reply, now),
            MessageBody::Snapshot(chunk) => self.handle_snapshot(from, term, chunk, now),
            MessageBody::SnapshotReply(reply) => {
                self.handle_snapshot_reply(&from, term, reply, now);
            }
            MessageBody::Read(context) => self.handle_read(from, context),
            MessageBody::ReadReply(context, index) => {
                self.reads.push(ReadOutcome { context, index });
            }
            MessageBody::FoundingProbe(_) | MessageBody::FoundingReply(_) => {}
        }
    }

    /// Whether the removal of an instance is committed. A removal that is not committed may be undone
    /// by the very instance that it removes.
    pub(crate) fn is_removed(&self, id: &InstanceId) -> bool {
        self.log.membership_at(self.commit).is_retired(id)
    }

    /// Adopts the newer term of a message; false if the message must be ignored.
    fn accept_newer_term(&mut self, message: &PeerMessage, now: TimePoint) -> bool {
        match &message.body {
            // A pre-vote changes no term, whatever the answer.
            MessageBody::PreVote(_) => true,
            // A vote during a leader's lease must not even unseat that leader.
            MessageBody::Vote(_) if self.withholds_votes(now) => false,
            _ => {
                self.become_follower(message.term, now);
                true
            }
        }
    }

    /// Lets time pass. To be called at least every few milliseconds or at
    /// [`next_tick`](Self::next_tick).
    pub fn tick(&mut self, now: TimePoint) {
        self.probe_founders(now);
        if self.is_leader() {
            self.tick_leader(now);
            return;
        }
        if now < self.election_deadline {
            return;
        }
        if self.may_campaign() {
            self.start_pre_vote(now);
        } else {
            self.leader = None;
            self.reset_election_deadline(now);
        }
    }

    /// What has to be done next.
    pub fn ready(&mut self, now: TimePoint) -> ReadyBatch {
        let mut batch = ReadyBatch {
            snapshot: self.installed.take(),
            records: std::mem::take(&mut self.records),
            ..ReadyBatch::default()
        };
        let term_synced = !self.hard_state_changed;
        if std::mem::take(&mut self.hard_state_changed) {
            let hard_state = self.hard_state.clone();
            batch.records.push(LogRecord::HardState(hard_state));
        }
        let entries = self.log.take_unwritten();
        let entries = entries.into_iter().map(LogRecord::Entry);
        batch.records.extend(entries);
        let appends = self.leader_messages(now);
        // A leader that restarts must not lead the same term again, so nothing of a term is sent
        // before the term is stored.
        if term_synced {
            batch.early_messages = appends;
            batch.messages = std::mem::take(&mut self.messages);
        } else {
            batch.messages = std::mem::take(&mut self.messages);
            batch.messages.extend(appends);
        }
        batch.committed = self.take_committed();
        batch.reads = std::mem::take(&mut self.reads);
        batch
    }

    fn take_committed(&mut self) -> Vec<LogEntry> {
        let limit = LogIndex(self.delivered.0 + MAX_APPLIED_ENTRIES);
        let until = self.commit.min(self.log.synced()).min(limit);
        if until <= self.delivered {
            return Vec::new();
        }
        let entries = self.log.range(self.delivered, until);
        self.delivered = until;
        entries
    }

    /// All records of the batches taken so far are synced.
    pub fn mark_synced(&mut self, now: TimePoint) {
        self.log.mark_synced();
        self.advance_commit(now);
    }

    /// Takes over a snapshot of the own state machine and truncates the log before it, except for
    /// the last `keep` entries, which serve members that lag a little.
    ///
    /// Returns the snapshot to store; `None` if `index` is not applied or older than the present
    /// snapshot.
    pub fn compact(
        &mut self,
        index: LogIndex,
        data: Arc<[u8]>,
        keep: u64,
    ) -> Option<Arc<Snapshot>> {
        if index > self.delivered || index <= self.log.snapshot_index() {
            return None;
        }
        let snapshot = Arc::new(Snapshot {
            index,
            term: self.log.term_at(index)?,
            membership: self.log.membership_at(index).clone(),
            data,
        });
        self.log.compact(Arc::clone(&snapshot), keep);
        Some(snapshot)
    }

    pub(crate) fn other_members(&self) -> Vec<InstanceId> {
        let members = self.membership().members.iter();
        members
            .map(|member| &member.id)
            .filter(|id| **id != self.id)
            .cloned()
            .collect()
    }

    pub(crate) fn send(&mut self, to: InstanceId, body: MessageBody) {
        let message = self.message(to, body);
        self.messages.push(message);
    }

    pub(crate) fn message(&self, to: InstanceId, body: MessageBody) -> PeerMessage {
        PeerMessage {
            from: self.id.clone(),
            to,
            term: self.hard_state.term,
            body,
        }
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.hard_state_changed = true;
    }

    pub(crate) fn reset_election_deadline(&mut self, now: TimePoint) {
        let (min, max) = (self.settings.election_min, self.settings.election_max);
        self.election_deadline = now + self.random.random_range(min..max);
    }

    /// Gives up any other part and follows in the given term.
    pub(crate) fn become_follower(&mut self, term: Term, now: TimePoint) {
        self.fail_reads();
        self.role = NodeRole::Follower;
        self.leader = None;
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
        }
        self.reset_election_deadline(now);
    }
}
