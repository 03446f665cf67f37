//! Simulated group: nodes with storage on in-memory disks, a lossy network and clocks that differ
//! in offset and rate.

use std::collections::{BTreeMap, HashSet};
use std::path::Path;
use std::sync::Arc;

use indexmap::IndexMap;
use oriolecrank_consensus::{
    DiskTag, EntryPosition, FolderRequest, FoundingProgress, InstanceId, LogEntry, LogIndex,
    LogStorage, Member, MemberRole, Membership, MembershipError, MembershipRequest, OpenedFolder,
    PeerMessage, RaftNode, RaftSettings, ReadContext, ReadyBatch, StorageError, Term,
};
use oriolecrank_schema::{TimePoint, peer};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use crate::memory_files::{DiskFault, MemoryFiles};
use crate::oracle::{Oracle, next_state};

/// Bytes added to each snapshot, so that a transfer takes several chunks.
const SNAPSHOT_PADDING: usize = 300;

/// Every so many proposals, one is too large for an append request and is sent in chunks.
const LARGE_ENTRY_INTERVAL: u64 = 5;

/// Size of such a proposal, in bytes: four chunks.
const LARGE_ENTRY_BYTES: usize = 500;

/// Delay before an instance opens its data folder again after a failure, in ms, as the processes have it.
const FAILED_DISK_DELAY_MS: u64 = 1_500;

/// Entries before a snapshot that stay in the log after compaction.
const TRAILING_ENTRIES: u64 = 5;

/// Point at which an instance loses power when it next writes or sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPoint {
    /// After the early messages are sent, before anything is synced.
    BeforeSync,
    /// After the sync, before the remaining messages are sent.
    AfterSync,
}

/// A running node and its state machine.
#[derive(Debug)]
pub struct RunningNode {
    pub node: RaftNode,
    storage: LogStorage<MemoryFiles>,
    pub applied: LogIndex,
    machine_state: u64,
    /// Proposals made on this instance whose entries it has not applied yet.
    own_proposals: HashSet<EntryPosition>,
}

/// One instance with its disk and its clock.
#[derive(Debug)]
pub struct Instance {
    pub id: InstanceId,
    files: MemoryFiles,
    request: FolderRequest,
    /// Local time at true time 0, in ms.
    clock_offset: u64,
    /// Milliseconds of the local clock in 1,000 ms of true time.
    clock_rate: u64,
    /// `None` while the instance is down.
    pub running: Option<RunningNode>,
    /// True time, in ms, at which the current pause ends.
    pub paused_until: u64,
    /// Number of starts so far; state in memory is lost with each one.
    pub starts: u64,
    /// True time, in ms, of the next start; `None` if none is planned.
    restart_at: Option<u64>,
    /// Point at which the instance loses power next; `None` if no power loss is planned.
    pub crash_point: Option<CrashPoint>,
    /// The disk was replaced after another founding member had participated; this identity must
    /// never participate again.
    pub must_not_participate: bool,
    /// The founding check was completed with the current disk.
    has_participated: bool,
    /// The instance never starts again.
    pub discarded: bool,
}

/// Current network faults.
#[derive(Debug, Clone)]
pub struct NetworkFaults {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is sent twice.
    pub duplication: f64,
    /// Upper bound of the delivery time, in ms; at least 1 ms passes.
    pub max_delay: u64,
    /// Directed links, as sender and receiver, that deliver nothing.
    pub blocked: HashSet<(InstanceId, InstanceId)>,
}

impl Default for NetworkFaults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            max_delay: 20,
            blocked: HashSet::new(),
        }
    }
}

/// The simulated group; `now` is true time in ms.
#[derive(Debug)]
pub struct Group {
    pub now: u64,
    pub random: StdRng,
    pub instances: IndexMap<InstanceId, Instance>,
    pub network: NetworkFaults,
    pub oracle: Oracle,
    /// Number of times that an instance has stopped, or could not start, because it could not write.
    pub disk_failures: u64,
    /// Messages by delivery time, in ms, and send number.
    in_flight: BTreeMap<(u64, u64), PeerMessage>,
    sent_messages: u64,
    next_read: u64,
    next_value: u64,
}

pub fn member(name: &str, role: MemberRole) -> Member {
    Member {
        id: InstanceId::new(name),
        address: format!("{name}:1"),
        role,
    }
}

impl Instance {
    fn local_time(&self, now: u64) -> TimePoint {
        TimePoint::from_millis(self.clock_offset + now * self.clock_rate / 1_000)
    }

    /// True time, in ms, at which the local clock has reached `local`.
    fn true_time(&self, local: TimePoint) -> u64 {
        let millis = local.as_millis().saturating_sub(self.clock_offset);
        (millis * 1_000).div_ceil(self.clock_rate)
    }

    fn is_active(&self, now: u64) -> bool {
        self.running.is_some() && now >= self.paused_until
    }
}

impl Group {
    /// Creates and starts a group of founding voters named c1, c2 and so on.
    pub fn new(seed: u64, voters: usize) -> Self {
        let founders: Vec<Member> = (1..=voters)
            .map(|number| member(&format!("c{number}"), MemberRole::Voter))
            .collect();
        let mut group = Self {
            now: 0,
            random: StdRng::seed_from_u64(seed),
            instances: IndexMap::new(),
            network: NetworkFaults::default(),
            oracle: Oracle::default(),
            disk_failures: 0,
            in_flight: BTreeMap::new(),
            sent_messages: 0,
            next_read: 0,
            next_value: 0,
        };
        for founder in &founders {
            group.add_instance(founder.id.as_str(), founders.clone());
        }
        group
    }

    /// Adds and starts an instance with an empty disk and returns its identity. Without founders it
    /// waits to be added to the group.
    pub fn add_instance(&mut self, name: &str, founders: Vec<Member>) -> InstanceId {
        let request = FolderRequest {
            cluster: "test".to_owned(),
            name: InstanceId::new(name),
            tag: DiskTag(self.random.random()),
            founders,
        };
        self.start_instance(request, MemoryFiles::default())
    }

    /// Adds and starts an instance with the given disk.
    fn start_instance(&mut self, request: FolderRequest, files: MemoryFiles) -> InstanceId {
        let id = request.new_identity().instance;
        let instance = Instance {
            id: id.clone(),
            files,
            request,
            clock_offset: self.random.random_range(0..1_000_000),
            clock_rate: self.random.random_range(956..=1_045),
            running: None,
            paused_until: 0,
            starts: 0,
            restart_at: None,
            crash_point: None,
            must_not_participate: false,
            has_participated: false,
            discarded: false,
        };
        self.instances.insert(id.clone(), instance);
        self.start(&id);
        id
    }

    pub fn start(&mut self, id: &InstanceId) {
        let seed = self.random.random();
        let now = self.now;
        let instance = &mut self.instances[id];
        instance.restart_at = None;
        if instance.running.is_some() || instance.discarded {
            return;
        }
        instance.starts += 1;
        let opened = LogStorage::open(instance.files.clone(), Path::new("data"), &instance.request);
        if opened.is_err() && instance.files.has_fault() {
            instance.restart_at = Some(now + FAILED_DISK_DELAY_MS);
            self.disk_failures += 1;
            return;
        }
        let OpenedFolder {
            storage,
            identity,
            state,
        } = opened.unwrap_or_else(|error| panic!("{id} cannot start: {error}"));
        assert_eq!(identity.instance, *id, "the identity of the folder");
        let settings = RaftSettings {
            max_chunk_bytes: 128,
            max_append_bytes: 60,
            max_inflight_entries: 16,
            max_caught_up_lag: 4,
            ..RaftSettings::default()
        };
        let (applied, machine_state) = restore(state.snapshot.as_ref());
        self.oracle.check_restored(applied, machine_state);
        let local = instance.local_time(now);
        let random = StdRng::seed_from_u64(seed);
        instance.running = Some(RunningNode {
            node: RaftNode::new(id.clone(), identity.tag, settings, state, random, local),
            storage,
            applied,
            machine_state,
            own_proposals: HashSet::new(),
        });
    }

    /// Simulates a power loss: a random part of the unsynced data is lost.
    pub fn crash(&mut self, id: &InstanceId, restart_at: Option<u64>) {
        let instance = &mut self.instances[id];
        instance.crash_point = None;
        if instance.running.take().is_some() {
            instance.files.crash(&mut self.random);
        }
        instance.restart_at = restart_at;
    }

    /// Random downtime, in ms; often shorter than a lease.
    pub fn downtime(&mut self) -> u64 {
        let longest = if self.random.random_bool(0.5) {
            150
        } else {
            1_500
        };
        self.random.random_range(1..longest)
    }

    /// Stops an instance permanently.
    pub fn discard(&mut self, id: &InstanceId) {
        self.crash(id, None);
        self.instances[id].discarded = true;
    }

    /// Sets or ends the fault of an instance's disk. While it lasts, an instance that cannot write stops
    /// and opens its data folder again and again.
    pub fn set_disk_fault(&mut self, id: &InstanceId, fault: Option<DiskFault>) {
        self.instances[id].files.inject(fault);
    }

    /// Whether the disk of an instance has a fault.
    pub fn has_disk_fault(&self, id: &InstanceId) -> bool {
        self.instances[id].files.has_fault()
    }

    /// Gives an instance that the group has removed a new identity, with its disk; `None` if that cannot
    /// be written.
    pub fn rejoin(&mut self, id: &InstanceId) -> Option<InstanceId> {
        let instance = &self.instances[id];
        let files = instance.files.clone();
        LogStorage::mark_removed(&files, Path::new("data")).ok()?;
        let request = FolderRequest {
            tag: DiskTag(self.random.random()),
            founders: Vec::new(),
            ..instance.request.clone()
        };
        let instance = &mut self.instances[id];
        instance.running = None;
        instance.restart_at = None;
        instance.discarded = true;
        Some(self.start_instance(request, files))
    }

    /// Stops an instance whose disk has failed, and plans its next start.
    fn stop_failed(&mut self, id: &InstanceId) {
        let instance = &mut self.instances[id];
        assert!(instance.files.has_fault(), "{id} cannot write");
        instance.running = None;
        instance.crash_point = None;
        instance.restart_at = Some(self.now + FAILED_DISK_DELAY_MS);
        self.disk_failures += 1;
    }

    /// Replaces the disk of an instance with an empty one.
    ///
    /// A founder of a group of several restarts under its old identity. Any other identity is lost
    /// with the disk, so that instance does not start again.
    pub fn replace_disk(&mut self, id: &InstanceId) {
        if self.instances[id].request.name != *id {
            return self.discard(id);
        }
        let others = self.instances.values().filter(|other| other.id != *id);
        let others_participated = others.into_iter().any(|other| other.has_participated);
        self.crash(id, None);
        let tag = DiskTag(self.random.random());
        let instance = &mut self.instances[id];
        instance.files = MemoryFiles::default();
        instance.request.tag = tag;
        instance.must_not_participate = others_participated;
        instance.has_participated = false;
        self.start(id);
    }

    pub fn pause(&mut self, id: &InstanceId, millis: u64) {
        let until = self.now + millis;
        let instance = &mut self.instances[id];
        instance.paused_until = instance.paused_until.max(until);
    }

    /// Ends all faults and starts the instances that are waiting to restart.
    pub fn heal(&mut self) {
        self.network = NetworkFaults::default();
        let ids: Vec<InstanceId> = self.instances.keys().cloned().collect();
        for id in ids {
            let instance = &mut self.instances[&id];
            instance.paused_until = 0;
            instance.crash_point = None;
            if instance.restart_at.is_some() {
                self.start(&id);
            }
        }
    }

    /// Active instances that consider themselves the leader.
    pub fn leaders(&self) -> Vec<InstanceId> {
        let active = self.instances.keys().filter(|id| self.is_active(id));
        active
            .filter(|id| self.node(id).is_leader())
            .cloned()
            .collect()
    }

    pub fn node(&self, id: &InstanceId) -> &RaftNode {
        &self.instances[id]
            .running
            .as_ref()
            .expect("the instance runs")
            .node
    }

    /// Whether an instance runs and is not paused.
    pub fn is_active(&self, id: &InstanceId) -> bool {
        self.instances[id].is_active(self.now)
    }

    /// Term in which an instance holds a valid lease by its own clock.
    pub fn authority(&self, id: &InstanceId) -> Option<Term> {
        let instance = &self.instances[id];
        let running = instance.running.as_ref()?;
        let authority = running.node.authority(instance.local_time(self.now))?;
        Some(authority.term)
    }

    /// Current time by the clock of an instance.
    pub fn local_time(&self, id: &InstanceId) -> TimePoint {
        self.instances[id].local_time(self.now)
    }

    pub fn applied(&self, id: &InstanceId) -> Option<LogIndex> {
        let running = self.instances[id].running.as_ref()?;
        Some(running.applied)
    }

    pub fn membership(&self, id: &InstanceId) -> Membership {
        self.node(id).membership().clone()
    }

    /// Proposes a new value; `None` if the instance rejects it.
    pub fn propose(&mut self, id: &InstanceId) -> Option<EntryPosition> {
        self.next_value += 1;
        let mut data = self.next_value.to_be_bytes().to_vec();
        if self.next_value.is_multiple_of(LARGE_ENTRY_INTERVAL) {
            data.resize(LARGE_ENTRY_BYTES, 0);
        }
        let data: Arc<[u8]> = data.into();
        self.propose_data(id, data)
    }

    /// Proposes the given data; `None` if the instance rejects it.
    pub fn propose_data(&mut self, id: &InstanceId, data: Arc<[u8]>) -> Option<EntryPosition> {
        let local = self.local_time(id);
        let running = self.instances[id].running.as_mut()?;
        let position = running.node.propose(data, local).ok()?;
        running.own_proposals.insert(position);
        self.process_ready(id);
        Some(position)
    }

    pub fn change_membership(
        &mut self,
        id: &InstanceId,
        request: &MembershipRequest,
    ) -> Result<EntryPosition, MembershipError> {
        let now = self.now;
        let instance = &mut self.instances[id];
        let local = instance.local_time(now);
        let running = instance.running.as_mut().expect("the instance runs");
        let result = running.node.propose_membership(request, local);
        self.process_ready(id);
        result
    }

    pub fn read(&mut self, id: &InstanceId) {
        let context = ReadContext(self.next_read);
        self.next_read += 1;
        let now = self.now;
        let instance = &mut self.instances[id];
        let local = instance.local_time(now);
        let Some(running) = instance.running.as_mut() else {
            return;
        };
        self.oracle.record_read(context);
        running.node.read_index(context, local);
        self.process_ready(id);
    }

    /// Takes a snapshot of the state machine of an instance and compacts its log.
    pub fn compact(&mut self, id: &InstanceId) {
        let Some(running) = self.instances[id].running.as_mut() else {
            return;
        };
        let mut data = running.machine_state.to_be_bytes().to_vec();
        data.resize(data.len() + SNAPSHOT_PADDING, 0);
        let node = &mut running.node;
        let Some(snapshot) = node.compact(running.applied, data.into(), TRAILING_ENTRIES) else {
            return;
        };
        let entries = node.log_entries().cloned();
        let replaced =
            running
                .storage
                .replace(&snapshot, node.hard_state(), node.founding_tags(), entries);
        if replaced.is_err() {
            self.stop_failed(id);
        }
    }

    /// Advances the simulation by `millis` ms.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            let next = self.next_event().clamp(self.now + 1, end);
            self.now = next;
            self.process_due_events();
        }
    }

    /// Advances the simulation until `done` returns true, for at most `millis` ms; returns whether
    /// it did.
    pub fn run_until(&mut self, millis: u64, mut done: impl FnMut(&Self) -> bool) -> bool {
        let end = self.now + millis;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.run(20);
        }
        done(self)
    }

    fn next_event(&self) -> u64 {
        let message = self.in_flight.keys().next().map(|(at, _)| *at);
        let ticks = self.instances.values().filter_map(|instance| {
            let running = instance.running.as_ref();
            let tick = running.map(|running| instance.true_time(running.node.next_tick()));
            let tick = tick.map(|tick| tick.max(instance.paused_until));
            tick.or(instance.restart_at)
        });
        ticks.chain(message).min().unwrap_or(u64::MAX)
    }

    fn process_due_events(&mut self) {
        // After a pause, an instance may handle its timers before the messages in its buffer.
        if self.random.random_bool(0.5) {
            self.tick_instances();
        }
        while let Some(entry) = self.in_flight.first_entry()
            && entry.key().0 <= self.now
        {
            let message = entry.remove();
            self.deliver(message);
            self.check_leases();
        }
        self.tick_instances();
        self.check_leases();
    }

    fn tick_instances(&mut self) {
        for position in 0..self.instances.len() {
            let instance = &mut self.instances[position];
            let id = instance.id.clone();
            if instance.restart_at.is_some_and(|at| at <= self.now) {
                self.start(&id);
                continue;
            }
            if !instance.is_active(self.now) {
                continue;
            }
            let local = instance.local_time(self.now);
            let running = instance.running.as_mut().expect("active instances run");
            if running.node.next_tick() <= local {
                let was_leader = running.node.is_leader();
                running.node.tick(local);
                if running.node.is_leader() && !was_leader {
                    self.oracle.check_new_leader(&running.node);
                }
                self.process_ready(&id);
            }
        }
    }

    fn deliver(&mut self, message: PeerMessage) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&message.to) else {
            return;
        };
        if now < instance.paused_until {
            // Until the instance resumes, the message stays in a buffer of the operating system.
            let at = instance.paused_until;
            self.sent_messages += 1;
            self.in_flight.insert((at, self.sent_messages), message);
            return;
        }
        let local = instance.local_time(now);
        let Some(running) = instance.running.as_mut() else {
            return;
        };
        let was_leader = running.node.is_leader();
        let id = message.to.clone();
        running.node.step(message, local);
        if running.node.is_leader() && !was_leader {
            self.oracle.check_new_leader(&running.node);
        }
        self.process_ready(&id);
    }

    /// Handles the batches of a node until one is empty, as the driver does.
    fn process_ready(&mut self, id: &InstanceId) {
        loop {
            let now = self.now;
            let instance = &mut self.instances[id];
            let local = instance.local_time(now);
            let Some(running) = instance.running.as_mut() else {
                return;
            };
            let mut batch = running.node.ready(local);
            if batch.is_empty() {
                break;
            }
            let messages = std::mem::take(&mut batch.early_messages);
            self.send(messages);
            if self.crash_if_planned(id, &batch, CrashPoint::BeforeSync) {
                return;
            }
            if self.store(id, &mut batch).is_err() {
                self.stop_failed(id);
                return;
            }
            if self.crash_if_planned(id, &batch, CrashPoint::AfterSync) {
                return;
            }
            let messages = std::mem::take(&mut batch.messages);
            self.send(messages);
            self.apply(id, batch);
        }
        let instance = &mut self.instances[id];
        let running = instance
            .running
            .as_ref()
            .expect("the loop returns if the instance is down");
        if running.node.is_leader() {
            self.oracle.check_leader(&running.node);
        }
        let participates = running.node.founding_progress() == FoundingProgress::Complete;
        instance.has_participated |= participates;
        assert!(
            !(instance.must_not_participate && participates),
            "{id} participates with a replaced disk"
        );
    }

    fn crash_if_planned(&mut self, id: &InstanceId, batch: &ReadyBatch, point: CrashPoint) -> bool {
        let is_planned = self.instances[id].crash_point == Some(point);
        let has_output = !batch.records.is_empty() || !batch.messages.is_empty();
        if !is_planned || !has_output {
            return false;
        }
        let restart = self.now + self.downtime();
        self.crash(id, Some(restart));
        true
    }

    fn store(&mut self, id: &InstanceId, batch: &mut ReadyBatch) -> Result<(), StorageError> {
        let now = self.now;
        let instance = &mut self.instances[id];
        let local = instance.local_time(now);
        let running = instance
            .running
            .as_mut()
            .expect("the caller checked that the instance runs");
        let node = &mut running.node;
        if let Some(snapshot) = batch.snapshot.take() {
            let entries = node.log_entries().cloned();
            running
                .storage
                .replace(&snapshot, node.hard_state(), node.founding_tags(), entries)?;
            (running.applied, running.machine_state) = restore(Some(&snapshot));
            self.oracle
                .check_restored(running.applied, running.machine_state);
        }
        running.storage.append(batch.records.clone());
        running.storage.sync()?;
        node.mark_synced(local);
        Ok(())
    }

    fn apply(&mut self, id: &InstanceId, batch: ReadyBatch) {
        let running = self.instances[id]
            .running
            .as_mut()
            .expect("the caller checked that the instance runs");
        for entry in &batch.committed {
            assert_eq!(entry.index, running.applied.next(), "{id} skips an entry");
            running.applied = entry.index;
            running.machine_state = next_state(running.machine_state, entry);
            self.oracle
                .record_applied(&running.node, entry, running.machine_state);
            let position = entry_position(entry);
            if running.own_proposals.remove(&position) {
                self.oracle.acknowledge(position);
            }
        }
        for read in batch.reads {
            if let Some(index) = read.index {
                self.oracle.check_read(read.context, index);
            }
        }
    }

    /// Checks that at most one instance holds a lease. Paused instances count, because they act
    /// when they resume.
    fn check_leases(&self) {
        let holders: Vec<&InstanceId> = self
            .instances
            .keys()
            .filter(|id| self.authority(id).is_some())
            .collect();
        assert!(
            holders.len() <= 1,
            "at most one instance may hold a lease, but {holders:?} do at {} ms",
            self.now
        );
    }

    pub fn check_logs(&mut self) {
        for instance in self.instances.values() {
            if let Some(running) = &instance.running {
                self.oracle.check_log(&running.node);
            }
        }
    }

    fn send(&mut self, messages: Vec<PeerMessage>) {
        for message in messages {
            let link = (message.from.clone(), message.to.clone());
            if self.network.blocked.contains(&link) {
                continue;
            }
            // The conversion to the wire types and back must not change a message.
            if self.sent_messages.is_multiple_of(16) {
                let wire = peer::PeerEnvelope::from(message.clone());
                assert_eq!(PeerMessage::from(wire), message);
            }
            let copies = 1 + usize::from(self.random.random_bool(self.network.duplication));
            for _ in 0..copies {
                if self.random.random_bool(self.network.loss) {
                    continue;
                }
                let delay = self.random.random_range(1..=self.network.max_delay);
                self.sent_messages += 1;
                self.in_flight
                    .insert((self.now + delay, self.sent_messages), message.clone());
            }
        }
    }
}

fn entry_position(entry: &LogEntry) -> EntryPosition {
    EntryPosition {
        index: entry.index,
        term: entry.term,
    }
}

fn restore(snapshot: Option<&oriolecrank_consensus::Snapshot>) -> (LogIndex, u64) {
    let Some(snapshot) = snapshot.filter(|snapshot| !snapshot.data.is_empty()) else {
        return (LogIndex(0), 0);
    };
    let state = snapshot.data[..8].try_into().expect("8 bytes");
    (snapshot.index, u64::from_be_bytes(state))
}
