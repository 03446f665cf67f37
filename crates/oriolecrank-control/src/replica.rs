//! Handle, settings and status of the replica of this instance.

use std::path::PathBuf;
use std::sync::mpsc::{SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriolecrank_consensus::{
    EntryPosition, InstanceId, LeaderAuthority, LogIndex, Member, MembershipRequest, NodeStatus,
    PeerMessage, RaftSettings,
};
use oriolecrank_net::BootClock;
use oriolecrank_net::intake::ByteLease;
use snafu::ensure;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use crate::control_memory::ControlMemory;
use crate::replica_error::{
    Applied, BarrierError, BarrierStoppedSnafu, BarrierTimeoutSnafu, ChangeError,
    ChangeStoppedSnafu, ChangeUnknownSnafu, OutcomeUnknownSnafu, OverloadedSnafu, ProposeError,
    ProposeStoppedSnafu, TooLargeSnafu,
};
use crate::replica_input::ReplicaInput;

/// Largest data of one log entry, in bytes: a document of the largest size and what its command adds.
pub const MAX_ENTRY_BYTES: usize = 4 * 1024 * 1024 + 1024;

/// Memory that a proposal takes besides its data, in bytes. Above the size of items that a budget
/// does not count, so that a crowd of small proposals is bounded too.
const PROPOSAL_OVERHEAD_BYTES: usize = 4 * 1024 + 1;

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// Name of the cluster; a data folder of another cluster is refused.
    pub cluster: String,
    /// Name of the instance from its settings; its identity in the group can differ.
    pub name: String,
    /// Folder for the log, the snapshots and the identity.
    pub data_folder: PathBuf,
    /// Founding members of the group, by their names in the settings; used only for a new folder.
    /// Empty for an instance that is added to a running group.
    pub founders: Vec<Member>,
    /// Timeouts and limits of the consensus core.
    pub raft: RaftSettings,
    /// A snapshot is taken after this many applied entries, or after `snapshot_bytes`.
    pub snapshot_entries: u64,
    /// Total size of applied entries after which a snapshot is taken, in bytes.
    pub snapshot_bytes: usize,
    /// Largest number of entries that a snapshot contains but that stay in memory, so that members
    /// that lag a little need no snapshot.
    pub trailing_entries: u64,
    /// Largest total size of these entries, in bytes.
    pub trailing_bytes: usize,
    /// Time limit for the result of a proposal or a membership change.
    pub propose_timeout: Duration,
    /// Time limit of a read barrier.
    pub barrier_timeout: Duration,
    /// Memory of the instance, in which the replica counts what it keeps.
    pub memory: ControlMemory,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            cluster: String::new(),
            name: String::new(),
            data_folder: PathBuf::new(),
            founders: Vec::new(),
            raft: RaftSettings::default(),
            snapshot_entries: 4_096,
            snapshot_bytes: 16 * 1024 * 1024,
            trailing_entries: 1_024,
            trailing_bytes: 8 * 1024 * 1024,
            propose_timeout: Duration::from_secs(5),
            barrier_timeout: Duration::from_secs(1),
            memory: ControlMemory::default(),
        }
    }
}

/// Status of a replica for operators and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Status of the consensus core.
    pub node: NodeStatus,
    /// Index of the last entry that the state machine contains.
    pub applied_index: LogIndex,
}

/// Whether a replica runs, has stopped or has failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaPhase {
    /// The thread of the replica runs.
    Running,
    /// The replica was stopped, and its data folder is unlocked.
    Stopped,
    /// The data folder cannot be written or the thread has panicked; the process must exit. Holds
    /// the cause as text.
    Failed(String),
}

/// Values that the thread of a replica publishes to its handles.
#[derive(Debug)]
pub(crate) struct ReplicaView {
    /// Lease of this instance as of the last pass of the thread. A granted lease stays valid until
    /// its end, so an outdated value at worst ends too early. Lock order: locked alone and never
    /// across an await.
    pub(crate) authority: Arc<Mutex<Option<LeaderAuthority>>>,
    pub(crate) status: watch::Sender<ReplicaStatus>,
    pub(crate) phase: watch::Sender<ReplicaPhase>,
}

/// Access to the replica of this instance; clones share it.
#[derive(Debug)]
pub struct ReplicaHandle<O> {
    pub(crate) inputs: SyncSender<ReplicaInput<O>>,
    pub(crate) authority: Arc<Mutex<Option<LeaderAuthority>>>,
    pub(crate) status: watch::Receiver<ReplicaStatus>,
    pub(crate) phase: watch::Receiver<ReplicaPhase>,
    pub(crate) memory: ControlMemory,
    pub(crate) propose_timeout: Duration,
    pub(crate) barrier_timeout: Duration,
}

// A derived implementation would require `O: Clone`.
impl<O> Clone for ReplicaHandle<O> {
    fn clone(&self) -> Self {
        Self {
            inputs: self.inputs.clone(),
            authority: Arc::clone(&self.authority),
            status: self.status.clone(),
            phase: self.phase.clone(),
            memory: self.memory.clone(),
            propose_timeout: self.propose_timeout,
            barrier_timeout: self.barrier_timeout,
        }
    }
}

impl<O: Send + 'static> ReplicaHandle<O> {
    /// Commits `data` and applies it to the state machine of this instance; returns the result of
    /// the state machine. At most [`MAX_ENTRY_BYTES`].
    pub async fn propose(&self, data: Vec<u8>) -> Result<Applied<O>, ProposeError> {
        self.propose_within(data, Duration::ZERO).await
    }

    /// Like [`propose`](Self::propose), with `transfer_time` more for data that takes long to spread.
    pub async fn propose_within(
        &self,
        data: Vec<u8>,
        transfer_time: Duration,
    ) -> Result<Applied<O>, ProposeError> {
        let (size, limit) = (data.len(), MAX_ENTRY_BYTES);
        ensure!(size <= limit, TooLargeSnafu { size, limit });
        let mut lease = self.memory.proposals.lease();
        // Counted from the first byte on, to allow for the overhead of a proposal.
        ensure!(
            lease.resize(size + PROPOSAL_OVERHEAD_BYTES).is_ok(),
            OverloadedSnafu
        );
        let (reply, outcome) = oneshot::channel();
        let input = ReplicaInput::Propose { data, reply, lease };
        match self.inputs.try_send(input) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return OverloadedSnafu.fail(),
            Err(TrySendError::Disconnected(_)) => return ProposeStoppedSnafu.fail(),
        }
        match timeout(self.propose_timeout + transfer_time, outcome).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => OutcomeUnknownSnafu.fail(),
        }
    }

    /// Waits until the state machine of this instance contains every change that was acknowledged
    /// before the call; returns the applied index. Works on every member, not only on the leader.
    pub async fn read_barrier(&self) -> Result<LogIndex, BarrierError> {
        let (reply, outcome) = oneshot::channel();
        if self.inputs.try_send(ReplicaInput::Read { reply }).is_err() {
            return BarrierStoppedSnafu.fail();
        }
        let limit = self.barrier_timeout;
        match timeout(limit, outcome).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => BarrierStoppedSnafu.fail(),
            Err(_) => BarrierTimeoutSnafu { limit }.fail(),
        }
    }

    /// Changes the membership; returns the position of the entry once the change is committed.
    pub async fn change_membership(
        &self,
        request: MembershipRequest,
    ) -> Result<EntryPosition, ChangeError> {
        let (reply, outcome) = oneshot::channel();
        let input = ReplicaInput::Change { request, reply };
        if self.inputs.try_send(input).is_err() {
            return ChangeStoppedSnafu.fail();
        }
        match timeout(self.propose_timeout, outcome).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => ChangeUnknownSnafu.fail(),
        }
    }

    /// Authority to act without committing an entry first. `None` if this instance is not the
    /// leader or its lease has ended.
    pub fn authority(&self) -> Option<LeaderAuthority> {
        let authority = *self
            .authority
            .lock()
            .expect("no holder of the authority lock panics");
        // The clock is read after the lock is taken, so that a wait for the lock cannot make an
        // ended lease look valid.
        authority.filter(|authority| BootClock.now() < authority.until)
    }

    /// Status as of the last pass of the replica's thread.
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Waits for a status for which `condition` returns true; `None` if the replica stops before.
    pub async fn wait_for_status(
        &self,
        condition: impl FnMut(&ReplicaStatus) -> bool,
    ) -> Option<ReplicaStatus> {
        let mut status = self.status.clone();
        let found = status.wait_for(condition).await;
        found.ok().map(|status| status.clone())
    }

    /// The leader with its address; `None` if it is unknown or not in the current membership.
    pub fn leader(&self) -> Option<Member> {
        let status = self.status.borrow();
        let leader: &InstanceId = status.node.leader.as_ref()?;
        status.node.membership.member(leader).cloned()
    }

    /// Memory of the instance, by holder.
    pub const fn memory(&self) -> &ControlMemory {
        &self.memory
    }

    /// Hands messages of other members to the replica; `lease` counts them until they are handled.
    /// They are dropped while its input queue is full; then returns false, and the senders resend what
    /// is needed.
    pub fn deliver(&self, messages: Vec<PeerMessage>, lease: ByteLease) -> bool {
        let input = ReplicaInput::Messages {
            messages,
            _lease: lease,
        };
        self.inputs.try_send(input).is_ok()
    }

    /// Asks the replica to stop; [`stopped`](Self::stopped) waits until it has. `false` if the
    /// request was not queued, because the replica has stopped already or its input queue is full.
    pub fn stop(&self) -> bool {
        self.inputs.try_send(ReplicaInput::Stop).is_ok()
    }

    /// Waits until the replica has stopped or failed and its data folder is unlocked.
    pub async fn stopped(&self) -> ReplicaPhase {
        let mut phase = self.phase.clone();
        let ended = phase
            .wait_for(|phase| *phase != ReplicaPhase::Running)
            .await;
        let Ok(phase) = ended else {
            return ReplicaPhase::Failed("the replica's thread has panicked".to_owned());
        };
        phase.clone()
    }
}
