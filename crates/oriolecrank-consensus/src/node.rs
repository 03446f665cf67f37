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
use crate::partial_entry::PartialEntry;
use crate::peer_progress::SendMode;
use crate::raft_log::RaftLog;
use crate::ready::{
    FoundingTags, HardState, LogRecord, NodeMemory, NodeStatus, PreviousLeader, ReadOutcome,
    ReadyBatch, RoleName,
};
use crate::settings::RaftSettings;
use crate::snapshot::{PartialSnapshot, Snapshot};
use crate::vote_count::VoteCount;

/// Largest number of committed entries in one [`ReadyBatch`].
const MAX_APPLIED_ENTRIES: u64 = 4_096;

/// Durable state from which a node starts.
#[derive(Debug, Clone, Default)]
pub struct StoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Disk tags of the other founding members; `None` until the founding check is complete.
    pub founding: Option<FoundingTags>,
    /// Newest snapshot. A founding member starts with one at index 0 that holds the founding
    /// membership; an instance that joins a running group starts without one.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

/// Raft role with the state that belongs to it.
#[derive(Debug)]
pub(crate) enum NodeRole {
    Follower,
    PreCandidate(VoteCount),
    Candidate(VoteCount),
    Leader(LeaderState),
}

/// The consensus core: a deterministic state machine without I/O.
///
/// Inputs are [`step`](Self::step), [`tick`](Self::tick), [`propose`](Self::propose),
/// [`propose_membership`](Self::propose_membership) and [`read_index`](Self::read_index). After
/// one or several inputs, the code that runs the node (the driver) calls [`ready`](Self::ready),
/// does the work in the batch and calls [`mark_synced`](Self::mark_synced), until a batch is empty.
#[derive(Debug)]
pub struct RaftNode {
    pub(crate) settings: RaftSettings,
    pub(crate) id: InstanceId,
    random: StdRng,
    pub(crate) hard_state: HardState,
    /// The hard state has changed since the last batch and must be written.
    hard_state_changed: bool,
    pub(crate) founding: FoundingCheck,
    pub(crate) log: RaftLog,
    /// Highest index known to be committed; never above the end of the log.
    pub(crate) commit_index: LogIndex,
    /// Last index returned by `ready` for applying; never above `commit_index` or the synced end of
    /// the log.
    pub(crate) applying_index: LogIndex,
    pub(crate) role: NodeRole,
    /// Leader of the current term, if known.
    pub(crate) leader: Option<InstanceId>,
    /// Last accepted message of a leader of any term; votes are withheld for the minimum election
    /// timeout after it.
    pub(crate) last_leader_contact: Option<PreviousLeader>,
    /// Time at which this node was created; votes are withheld after it too.
    pub(crate) started_at: TimePoint,
    election_deadline: TimePoint,
    /// Snapshot of which not all chunks have arrived.
    pub(crate) incoming_snapshot: Option<PartialSnapshot>,
    /// Entry of which not all chunks have arrived.
    pub(crate) incoming_entry: Option<PartialEntry>,
    /// Received snapshot that the next batch hands to the driver.
    pub(crate) installed_snapshot: Option<Arc<Snapshot>>,
    /// Records for the next batch, besides hard state and entries.
    pub(crate) records: Vec<LogRecord>,
    /// Messages for the next batch, to be sent after its records are synced.
    messages: Vec<PeerMessage>,
    pub(crate) read_outcomes: Vec<ReadOutcome>,
}

impl RaftNode {
    /// Creates a node from its durable state.
    ///
    /// `tag` is the disk tag of its data folder.
    pub fn new(
        id: InstanceId,
        tag: DiskTag,
        settings: RaftSettings,
        stored: StoredState,
        random: StdRng,
        now: TimePoint,
    ) -> Self {
        let founding_membership = stored
            .snapshot
            .as_ref()
            .filter(|snapshot| snapshot.index == LogIndex(0))
            .map(|snapshot| snapshot.membership.clone())
            .unwrap_or_default();
        let founding = FoundingCheck::new(&id, tag, stored.founding, &founding_membership, now);
        let log = RaftLog::new(Membership::default(), stored.snapshot, stored.entries);
        let commit_index = log.snapshot_index();
        let mut node = Self {
            settings,
            id,
            random,
            hard_state: stored.hard_state,
            hard_state_changed: false,
            founding,
            log,
            commit_index,
            applying_index: commit_index,
            role: NodeRole::Follower,
            leader: None,
            last_leader_contact: None,
            started_at: now,
            election_deadline: now,
            incoming_snapshot: None,
            incoming_entry: None,
            installed_snapshot: None,
            records: Vec::new(),
            messages: Vec::new(),
            read_outcomes: Vec::new(),
        };
        // A sole voter may start an election at once: no other instance can be the leader, because
        // a second voter cannot have been added without an entry in this log.
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

    /// Current membership: the last one in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.log.membership().membership
    }

    /// Entries in memory, including the trailing ones that the snapshot already contains.
    pub fn log_entries(&self) -> impl Iterator<Item = &LogEntry> {
        self.log.entries()
    }

    /// Last index contained in the snapshot.
    pub fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot_index()
    }

    /// Whether this instance is the leader of its term.
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, NodeRole::Leader(_))
    }

    /// Leader of the current term, if known.
    pub const fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// Status for operators and metrics.
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
            commit_index: self.commit_index,
            last_index: self.log.last_index(),
            snapshot_index: self.log.snapshot_index(),
            membership: self.membership().clone(),
            removed: self.log.membership_at(self.commit_index).retired.clone(),
            founding: self.founding.progress,
            previous_leader: self
                .last_leader_contact
                .clone()
                .filter(|_| self.is_leader()),
            progress: self.member_progress(),
        }
    }

    /// Bytes that the node keeps in memory.
    pub fn memory(&self) -> NodeMemory {
        let snapshot = self.incoming_snapshot.as_ref();
        let entry = self.incoming_entry.as_ref();
        NodeMemory {
            log: self.log.bytes(),
            uncommitted: self
                .log
                .bytes_between(self.commit_index, self.log.last_index()),
            snapshots: self.held_snapshots().map(|held| held.data.len()).sum(),
            incoming_snapshot: snapshot.map_or(0, |partial| partial.data.capacity()),
            incoming_entry: entry.map_or(0, |partial| partial.data.capacity()),
        }
    }

    /// Number of entries up to and including `until` that fit into `max_bytes`, counted backwards.
    pub fn trailing_entries(&self, until: LogIndex, max_bytes: usize) -> u64 {
        self.log.trailing_entries(until, max_bytes)
    }

    /// Newest snapshot, and each older one that is sent to a member, once.
    fn held_snapshots(&self) -> impl Iterator<Item = &Arc<Snapshot>> {
        let transfers = self.leader_state().into_iter().flat_map(|state| {
            let modes = state.peers.values().map(|peer| &peer.mode);
            modes.filter_map(|mode| match mode {
                SendMode::Snapshot(transfer) => Some(&transfer.snapshot),
                SendMode::Probe { .. } | SendMode::Replicate => None,
            })
        });
        let mut held: Vec<&Arc<Snapshot>> = self.log.snapshot().into_iter().collect();
        for snapshot in transfers {
            if !held.iter().any(|known| Arc::ptr_eq(known, snapshot)) {
                held.push(snapshot);
            }
        }
        held.into_iter()
    }

    /// Time before which [`tick`](Self::tick) has nothing to do.
    pub fn next_tick(&self) -> TimePoint {
        match &self.role {
            NodeRole::Leader(state) => state.heartbeat_due,
            _ => self
                .election_deadline
                .min(self.founding_probe_due().unwrap_or(self.election_deadline)),
        }
    }

    /// Handles a message.
    ///
    /// `now` must be read from the clock after the message was received. With an older time, the
    /// vote would be withheld for too short a time and could be granted during the sender's lease.
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
        if !self.may_participate() || self.is_removed(&message.from) {
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
            MessageBody::EntryChunk(chunk) => self.handle_entry_chunk(from, term, &chunk, now),
            MessageBody::EntryChunkReply(reply) => {
                self.handle_entry_chunk_reply(&from, term, reply, now);
            }
            MessageBody::Snapshot(chunk) => self.handle_snapshot(from, term, chunk, now),
            MessageBody::SnapshotReply(reply) => {
                self.handle_snapshot_reply(&from, term, reply, now);
            }
            MessageBody::Read(context) => self.handle_read(from, context),
            MessageBody::ReadReply(context, index) => {
                self.read_outcomes.push(ReadOutcome { context, index });
            }
            MessageBody::FoundingProbe(_) | MessageBody::FoundingReply(_) => {}
        }
    }

    /// Whether the removal of an instance is committed. The entry of an uncommitted removal may be
    /// replaced by a later leader, and that leader may be the instance itself.
    pub(crate) fn is_removed(&self, id: &InstanceId) -> bool {
        self.log.membership_at(self.commit_index).is_retired(id)
    }

    /// Adopts the newer term of a message; returns false if the message must be ignored.
    fn accept_newer_term(&mut self, message: &PeerMessage, now: TimePoint) -> bool {
        match &message.body {
            // A pre-vote does not change the term, whether it is granted or not.
            MessageBody::PreVote(_) => true,
            // During a leader's lease a vote request must not raise the term either, because that
            // would depose the leader.
            MessageBody::Vote(_) if self.withholds_votes(now) => false,
            _ => {
                self.become_follower(message.term, now);
                true
            }
        }
    }

    /// Handles expired timers. The driver calls it every few milliseconds or at
    /// [`next_tick`](Self::next_tick).
    pub fn tick(&mut self, now: TimePoint) {
        self.send_founding_probes(now);
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

    /// Returns the work that the driver must do next; the next batch does not repeat it.
    pub fn ready(&mut self, now: TimePoint) -> ReadyBatch {
        let mut batch = ReadyBatch {
            snapshot: self.installed_snapshot.take(),
            records: std::mem::take(&mut self.records),
            ..ReadyBatch::default()
        };
        let term_is_stored = !self.hard_state_changed;
        if std::mem::take(&mut self.hard_state_changed) {
            let hard_state = self.hard_state.clone();
            batch.records.push(LogRecord::HardState(hard_state));
        }
        let entries = self.log.take_unwritten();
        let entries = entries.into_iter().map(LogRecord::Entry);
        batch.records.extend(entries);
        let leader_messages = self.leader_messages(now);
        // After a restart, this instance must not become leader in the same term again, where it
        // could send other entries with the same indices. No message of a term is therefore sent
        // before the term is stored.
        if term_is_stored {
            batch.early_messages = leader_messages;
            batch.messages = std::mem::take(&mut self.messages);
        } else {
            batch.messages = std::mem::take(&mut self.messages);
            batch.messages.extend(leader_messages);
        }
        batch.committed = self.take_committed();
        batch.reads = std::mem::take(&mut self.read_outcomes);
        batch
    }

    fn take_committed(&mut self) -> Vec<LogEntry> {
        let limit = LogIndex(self.applying_index.0 + MAX_APPLIED_ENTRIES);
        let end = self.commit_index.min(self.log.synced_index()).min(limit);
        if end <= self.applying_index {
            return Vec::new();
        }
        let entries = self.log.range(self.applying_index, end);
        self.applying_index = end;
        entries
    }

    /// Records that all records of the batches taken so far are durable. On a leader this may raise
    /// the commit index.
    pub fn mark_synced(&mut self, now: TimePoint) {
        self.log.mark_synced();
        self.advance_commit(now);
    }

    /// Compacts the log up to `index`; `data` is the state of this instance's state machine there.
    ///
    /// The last `trailing_entries` entries before `index` stay in memory, so that members that lag
    /// a little need no snapshot. Returns the snapshot to store; `None` if `index` is not applied
    /// yet or not newer than the current snapshot.
    pub fn compact(
        &mut self,
        index: LogIndex,
        data: Arc<[u8]>,
        trailing_entries: u64,
    ) -> Option<Arc<Snapshot>> {
        if index > self.applying_index || index <= self.log.snapshot_index() {
            return None;
        }
        let snapshot = Arc::new(Snapshot {
            index,
            term: self.log.term_at(index)?,
            membership: self.log.membership_at(index).clone(),
            data,
        });
        self.log.compact(Arc::clone(&snapshot), trailing_entries);
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
        let (min, max) = (
            self.settings.min_election_timeout,
            self.settings.max_election_timeout,
        );
        self.election_deadline = now + self.random.random_range(min..max);
    }

    /// Becomes a follower in the given term, from any role. Pending reads are rejected.
    pub(crate) fn become_follower(&mut self, term: Term, now: TimePoint) {
        self.reject_reads();
        self.role = NodeRole::Follower;
        self.leader = None;
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
        }
        self.reset_election_deadline(now);
    }
}
