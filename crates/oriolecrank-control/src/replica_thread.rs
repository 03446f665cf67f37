//! The thread that runs the consensus core and its storage.
//!
//! Each pass handles all queued inputs, up to a limit, so that the proposals among them share one
//! sync.

use std::sync::mpsc::{Receiver, RecvTimeoutError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriolecrank_consensus::{
    DiskFiles, DiskTag, EntryBody, EntryPosition, FolderRequest, FoundingProgress, InstanceId,
    LogEntry, LogIndex, LogStorage, Membership, OpenedFolder, ProposalError, RaftNode, RoleName,
    StorageError,
};
use oriolecrank_net::BootClock;
use oriolecrank_net::intake::ByteLease;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::event::LogEvent;
use rand::rngs::StdRng;
use rand::{RngCore as _, SeedableRng as _};
use snafu::ResultExt;
use tokio::sync::watch;

use crate::control_memory::ControlMemory;
use crate::peer_sender::PeerSender;
use crate::replica::{ReplicaHandle, ReplicaPhase, ReplicaSettings, ReplicaStatus, ReplicaView};
use crate::replica_error::{ChangeError, ProposeError, ReplicaError, SpawnSnafu, StorageSnafu};
use crate::replica_input::{ReadReply, ReplicaInput};
use crate::replica_waiters::{EntryWaiter, EntryWaiters, ReadWaiters};
use crate::state_machine::StateMachine;

/// Length of the input queue. While it is full, further requests are refused and peer messages are
/// dropped.
const INPUT_QUEUE_LENGTH: usize = 8_192;

/// Largest number of inputs in one pass; bounds the length of a pass, which delays heartbeats.
const MAX_PASS_INPUTS: usize = 1_024;

/// Shortest wait for inputs. The clock counts whole milliseconds, so without this minimum the
/// thread would spin while a tick is due within the current millisecond.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// State of a replica, owned by its thread.
struct ReplicaThread<M: StateMachine, P> {
    settings: ReplicaSettings,
    node: RaftNode,
    storage: LogStorage<DiskFiles>,
    machine: M,
    peers: P,
    inputs: Receiver<ReplicaInput<M::Output>>,
    entries: EntryWaiters<M::Output>,
    reads: ReadWaiters,
    applied: LogIndex,
    /// Size of the entries applied since the last snapshot, in bytes.
    applied_bytes: usize,
    /// Membership that was last passed to `peers`.
    members: Membership,
    role: RoleName,
    founding: FoundingProgress,
    view: ReplicaView,
    leases: ReplicaLeases,
}

/// What the replica counts in the memory of the instance.
struct ReplicaLeases {
    /// Log entries besides those of pending proposals, which have leases of their own.
    log: ByteLease,
    snapshots: ByteLease,
}

impl ReplicaLeases {
    fn new(memory: &ControlMemory) -> Self {
        Self {
            log: memory.log.lease(),
            snapshots: memory.snapshots.lease(),
        }
    }
}

/// Opens the data folder and starts a replica on a thread of its own.
///
/// Before this function returns, the state machine is restored from the stored snapshot; entries
/// after the snapshot are applied once a leader has confirmed that they are committed.
pub fn start_replica<M: StateMachine, P: PeerSender>(
    settings: ReplicaSettings,
    mut machine: M,
    peers: P,
) -> Result<ReplicaHandle<M::Output>, ReplicaError> {
    let mut random = StdRng::from_os_rng();
    let request = FolderRequest {
        cluster: settings.cluster.clone(),
        name: InstanceId::new(&settings.name),
        tag: DiskTag(random.next_u64()),
        founders: settings.founders.clone(),
    };
    let opened = LogStorage::open(DiskFiles, &settings.data_folder, &request);
    let OpenedFolder {
        storage,
        identity,
        state,
    } = opened.context(StorageSnafu)?;
    let snapshot = state.snapshot.as_ref();
    let applied = snapshot.map_or(LogIndex(0), |snapshot| snapshot.index);
    if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.index > LogIndex(0)) {
        machine.restore(&snapshot.data);
    }
    let raft = settings.raft.clone();
    let now = BootClock.now();
    let node = RaftNode::new(identity.instance, identity.tag, raft, state, random, now);
    let (sender, inputs) = sync_channel(INPUT_QUEUE_LENGTH);
    let (status, status_receiver) = watch::channel(ReplicaStatus {
        node: node.status(),
        applied_index: applied,
    });
    let (phase, phase_receiver) = watch::channel(ReplicaPhase::Running);
    let authority = Arc::new(Mutex::new(None));
    let handle = ReplicaHandle {
        inputs: sender,
        authority: Arc::clone(&authority),
        status: status_receiver,
        phase: phase_receiver,
        propose_timeout: settings.propose_timeout,
        barrier_timeout: settings.barrier_timeout,
        memory: settings.memory.clone(),
    };
    let leases = ReplicaLeases::new(&settings.memory);
    let thread = ReplicaThread {
        leases,
        settings,
        node,
        storage,
        machine,
        peers,
        inputs,
        entries: EntryWaiters::default(),
        reads: ReadWaiters::default(),
        applied,
        applied_bytes: 0,
        members: Membership::default(),
        role: RoleName::Follower,
        founding: FoundingProgress::Waiting,
        view: ReplicaView {
            authority,
            status,
            phase,
        },
    };
    std::thread::Builder::new()
        .name("replica".to_owned())
        .spawn(move || thread.run())
        .context(SpawnSnafu)?;
    Ok(handle)
}

impl<M: StateMachine, P: PeerSender> ReplicaThread<M, P> {
    fn run(mut self) {
        let result = self.run_passes();
        // After a panic in `run_passes` the rest is skipped; the dropped senders of the view then
        // show the handles that the thread has ended.
        let phase = match result {
            Ok(()) => ReplicaPhase::Stopped,
            Err(error) => {
                let event = LogEvent::StorageFailed.number();
                tracing::error!(
                    event,
                    %error,
                    "the data folder cannot be written; the replica stops"
                );
                ReplicaPhase::Failed(error.to_string())
            }
        };
        let Self {
            view,
            storage,
            inputs,
            ..
        } = self;
        // Closed before the phase is published, because a caller that waits for the stop may reopen
        // the folder immediately and expects that later calls are refused.
        drop(storage);
        drop(inputs);
        *view
            .authority
            .lock()
            .expect("no holder of the authority lock panics") = None;
        view.phase.send_replace(phase);
    }

    fn run_passes(&mut self) -> Result<(), StorageError> {
        loop {
            self.publish();
            self.count_memory();
            let wait = self.node.next_tick().since(BootClock.now());
            let first = match self.inputs.recv_timeout(wait.max(MIN_WAIT)) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            };
            let later = self.inputs.try_iter().take(MAX_PASS_INPUTS - 1);
            let inputs: Vec<_> = first.into_iter().chain(later).collect();
            // The clock is read after the inputs are received, as `RaftNode::step` requires.
            let now = BootClock.now();
            if !self.take_inputs(inputs, now) {
                return Ok(());
            }
            if self.node.next_tick() <= now {
                self.node.tick(now);
                self.reads.prune();
                self.entries.prune();
            }
            self.process_batches()?;
            self.compact_if_due()?;
        }
    }

    /// Counts what the node keeps.
    fn count_memory(&mut self) {
        let memory = self.node.memory();
        let pending = self.settings.memory.proposals.used();
        let log = memory.log.saturating_sub(pending) + memory.incoming_entry;
        self.leases.log.count(log);
        let snapshots = memory.snapshots + memory.incoming_snapshot;
        self.leases.snapshots.count(snapshots);
    }

    /// Passes inputs to the node; returns false if one of them asks the replica to stop.
    fn take_inputs(&mut self, inputs: Vec<ReplicaInput<M::Output>>, now: TimePoint) -> bool {
        let mut readers: Vec<ReadReply> = Vec::new();
        for input in inputs {
            match input {
                ReplicaInput::Messages { messages, .. } => {
                    for message in messages {
                        self.node.step(message, now);
                    }
                }
                ReplicaInput::Propose { data, reply, lease } => {
                    match self.node.propose(data.into(), now) {
                        Ok(position) => {
                            let waiter = EntryWaiter::Proposal {
                                reply,
                                _lease: lease,
                            };
                            self.entries.add(position, waiter);
                        }
                        Err(refused) => drop(reply.send(Err(refused.into()))),
                    }
                }
                ReplicaInput::Change { request, reply } => {
                    match self.node.propose_membership(&request, now) {
                        Ok(position) => self.entries.add(position, EntryWaiter::Change(reply)),
                        Err(source) => {
                            drop(reply.send(Err(ChangeError::ChangeRefused { source })));
                        }
                    }
                }
                ReplicaInput::Read { reply } => readers.push(reply),
                ReplicaInput::Stop => return false,
            }
        }
        if !readers.is_empty() {
            let context = self.reads.add(readers);
            self.node.read_index(context, now);
        }
        true
    }

    /// Sends, stores and applies what the node's batches contain, until a batch is empty.
    fn process_batches(&mut self) -> Result<(), StorageError> {
        loop {
            let mut batch = self.node.ready(BootClock.now());
            if batch.is_empty() {
                return Ok(());
            }
            self.update_peer_members();
            self.send(std::mem::take(&mut batch.early_messages));
            if let Some(snapshot) = batch.snapshot.take() {
                self.store_snapshot(&snapshot)?;
                self.machine.restore(&snapshot.data);
                self.applied = snapshot.index;
                self.entries.reply_unknown_through(snapshot.index);
            }
            if !batch.records.is_empty() {
                self.storage.append(batch.records);
                self.storage.sync()?;
            }
            self.node.mark_synced(BootClock.now());
            self.send(batch.messages);
            for entry in batch.committed {
                self.apply(&entry);
            }
            self.reads.reply_applied(self.applied);
            for read in batch.reads {
                self.reads.finish(read, self.applied);
            }
        }
    }

    fn send(&mut self, messages: Vec<oriolecrank_consensus::PeerMessage>) {
        if !messages.is_empty() {
            self.peers.send(messages);
        }
    }

    fn apply(&mut self, entry: &LogEntry) {
        self.applied = entry.index;
        self.applied_bytes += entry.size();
        let output = match &entry.body {
            EntryBody::Data(data) => Some(self.machine.apply(entry.index, entry.term, data)),
            EntryBody::Noop | EntryBody::Membership(_) => None,
        };
        if let Some(waiter) = self.entries.take(entry.index, entry.term) {
            let position = EntryPosition {
                index: entry.index,
                term: entry.term,
            };
            waiter.reply_committed(position, output);
        }
    }

    /// Takes a snapshot and compacts the log if enough entries have been applied since the last
    /// one.
    fn compact_if_due(&mut self) -> Result<(), StorageError> {
        let new_entries = self.applied.0 - self.node.snapshot_index().0.min(self.applied.0);
        let settings = &self.settings;
        let due = new_entries >= settings.snapshot_entries
            || self.applied_bytes >= settings.snapshot_bytes;
        if !due || new_entries == 0 {
            return Ok(());
        }
        self.applied_bytes = 0;
        let data = self.machine.snapshot().into();
        let trailing_entries = self.trailing_entries();
        match self.node.compact(self.applied, data, trailing_entries) {
            Some(snapshot) => self.store_snapshot(&snapshot),
            None => Ok(()),
        }
    }

    /// Number of applied entries that stay in memory, so that members that lag a little need no
    /// snapshot.
    fn trailing_entries(&self) -> u64 {
        let settings = &self.settings;
        let fitting = self
            .node
            .trailing_entries(self.applied, settings.trailing_bytes);
        fitting.min(settings.trailing_entries)
    }

    fn store_snapshot(
        &mut self,
        snapshot: &oriolecrank_consensus::Snapshot,
    ) -> Result<(), StorageError> {
        let node = &self.node;
        let entries = node.log_entries().cloned();
        self.storage
            .replace(snapshot, node.hard_state(), node.founding_tags(), entries)
    }

    /// Passes the membership to the [`PeerSender`] if it has changed.
    fn update_peer_members(&mut self) {
        if *self.node.membership() != self.members {
            self.members = self.node.membership().clone();
            self.peers.set_members(&self.members);
        }
    }

    /// Publishes the current lease and status to the handles and logs important changes of the
    /// status.
    fn publish(&mut self) {
        let authority = self.node.authority(BootClock.now());
        *self
            .view
            .authority
            .lock()
            .expect("no holder of the authority lock panics") = authority;
        let status = ReplicaStatus {
            node: self.node.status(),
            applied_index: self.applied,
        };
        self.log_changes(&status);
        self.view.status.send_if_modified(|published| {
            let changed = *published != status;
            *published = status;
            changed
        });
    }

    fn log_changes(&mut self, status: &ReplicaStatus) {
        let (id, term) = (&status.node.id, status.node.term.0);
        let leads = status.node.role == RoleName::Leader;
        if leads && self.role != RoleName::Leader {
            let event = LogEvent::LeaderElected.number();
            tracing::info!(event, %id, term, "this control instance became leader");
        }
        if !leads && self.role == RoleName::Leader {
            let event = LogEvent::LeaderResigned.number();
            tracing::info!(event, %id, term, "this control instance is no longer leader");
        }
        let refused = status.node.founding == FoundingProgress::Refused;
        if refused && self.founding != FoundingProgress::Refused {
            let event = LogEvent::IdentityRefused.number();
            tracing::error!(
                event,
                %id,
                "the data folder is new, but the group knows another folder for this identity; \
                 start the instance under a new name"
            );
        }
        self.role = status.node.role;
        self.founding = status.node.founding;
    }
}

impl From<ProposalError> for ProposeError {
    fn from(refused: ProposalError) -> Self {
        match refused {
            ProposalError::NotLeader { .. } => Self::NotLeader,
            ProposalError::Overloaded => Self::Overloaded,
        }
    }
}
