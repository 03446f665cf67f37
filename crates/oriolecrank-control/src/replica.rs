//! Access to the replica of this instance.

use std::path::PathBuf;
use std::sync::mpsc::{SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriolecrank_consensus::{
    EntryPosition, InstanceId, LeaderAuthority, LogIndex, Member, MembershipRequest, NodeStatus,
    PeerMessage, RaftSettings,
};
use oriolecrank_net::BootClock;
use snafu::ensure;
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::time::timeout;

use crate::replica_error::{
    Applied, BarrierError, BarrierStoppedSnafu, BarrierTimeoutSnafu, ChangeError,
    ChangeStoppedSnafu, ChangeUnknownSnafu, OutcomeUnknownSnafu, OverloadedSnafu, ProposeError,
    ProposeStoppedSnafu, TooLargeSnafu,
};
use crate::replica_input::ReplicaInput;

/// Largest data of one entry, in bytes. An entry is sent and synced as a whole, so a larger one would
/// delay heartbeats.
pub const MAX_ENTRY_BYTES: usize = 4 * 1024 * 1024;

/// Memory for proposals that are not settled, in KiB. More would push a control instance towards its
/// limit of 256 MB.
const PROPOSAL_KIB: usize = 64 * 1024;

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of the instance.
    pub name: String,
    /// Folder for durable state.
    pub data_folder: PathBuf,
    /// Members of a group to be founded, by the names in the settings; used only for a new folder.
    pub founders: Vec<Member>,
    /// Times and sizes of the consensus core.
    pub raft: RaftSettings,
    /// Entries applied between two snapshots.
    pub snapshot_entries: u64,
    /// Size of the entries applied between two snapshots, in bytes.
    pub snapshot_bytes: usize,
    /// Entries kept in memory before a snapshot for members that lag a little.
    pub kept_entries: u64,
    /// Size of these entries, in bytes.
    pub kept_bytes: usize,
    /// Longest wait for a proposal or a membership change.
    pub propose_timeout: Duration,
    /// Longest wait for a read barrier.
    pub barrier_timeout: Duration,
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
            kept_entries: 1_024,
            kept_bytes: 8 * 1024 * 1024,
            propose_timeout: Duration::from_secs(5),
            barrier_timeout: Duration::from_secs(1),
        }
    }
}

/// View of a replica for operators and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The consensus core.
    pub node: NodeStatus,
    /// Last index that the state machine contains.
    pub applied_index: LogIndex,
}

/// Whether a replica runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaPhase {
    /// It runs.
    Running,
    /// It was stopped.
    Stopped,
    /// The data folder failed; the process must exit. Holds the text of the error.
    Failed(String),
}

/// What the thread of a replica shows to its handles.
#[derive(Debug)]
pub(crate) struct ReplicaView {
    /// Lease of this instance as of the last pass of the thread. A lease once granted stays valid
    /// until its end, so an old value is only too short. No other lock is held while
    /// this one is; never held across an await.
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
    /// KiB that proposals may still take.
    pub(crate) memory: Arc<Semaphore>,
    pub(crate) propose_timeout: Duration,
    pub(crate) barrier_timeout: Duration,
}

// Derived, it would ask for `O: Clone`.
impl<O> Clone for ReplicaHandle<O> {
    fn clone(&self) -> Self {
        Self {
            inputs: self.inputs.clone(),
            authority: Arc::clone(&self.authority),
            status: self.status.clone(),
            phase: self.phase.clone(),
            memory: Arc::clone(&self.memory),
            propose_timeout: self.propose_timeout,
            barrier_timeout: self.barrier_timeout,
        }
    }
}

impl<O: Send + 'static> ReplicaHandle<O> {
    /// Commits data and applies it to the state machine of this instance.
    pub async fn propose(&self, data: Vec<u8>) -> Result<Applied<O>, ProposeError> {
        let (size, limit) = (data.len(), MAX_ENTRY_BYTES);
        ensure!(size <= limit, TooLargeSnafu { size, limit });
        let Ok(permit) = Arc::clone(&self.memory).try_acquire_many_owned(kibibytes(size)) else {
            return OverloadedSnafu.fail();
        };
        let (reply, outcome) = oneshot::channel();
        let input = ReplicaInput::Propose {
            data,
            reply,
            permit,
        };
        match self.inputs.try_send(input) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return OverloadedSnafu.fail(),
            Err(TrySendError::Disconnected(_)) => return ProposeStoppedSnafu.fail(),
        }
        match timeout(self.propose_timeout, outcome).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => OutcomeUnknownSnafu.fail(),
        }
    }

    /// Waits until the state machine of this instance contains every change that was acknowledged
    /// before the call. Works on every member.
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

    /// Changes the membership; returns when the change is committed.
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

    /// Permission to act outside the log. `None` if this instance does not lead or its lease has
    /// ended.
    pub fn authority(&self) -> Option<LeaderAuthority> {
        let authority = *self
            .authority
            .lock()
            .expect("no holder of the authority lock panics");
        // The clock is read after the lock, so that waiting for it counts.
        authority.filter(|authority| BootClock.now() < authority.until)
    }

    /// View for operators and metrics.
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Waits for a status that `wanted` accepts; `None` if the replica stops before.
    pub async fn wait_for_status(
        &self,
        wanted: impl FnMut(&ReplicaStatus) -> bool,
    ) -> Option<ReplicaStatus> {
        let mut status = self.status.clone();
        let found = status.wait_for(wanted).await;
        found.ok().map(|status| status.clone())
    }

    /// The leader, if known, with its address.
    pub fn leader(&self) -> Option<Member> {
        let status = self.status.borrow();
        let leader: &InstanceId = status.node.leader.as_ref()?;
        status.node.membership.member(leader).cloned()
    }

    /// Takes messages of other members. Messages are dropped while too many wait.
    pub fn deliver(&self, messages: Vec<PeerMessage>) {
        // Lost messages are repeated by their senders.
        let _ = self.inputs.try_send(ReplicaInput::Messages(messages));
    }

    /// Stops the replica; [`stopped`](Self::stopped) tells when it is done. May be repeated.
    pub fn stop(&self) -> bool {
        self.inputs.try_send(ReplicaInput::Stop).is_ok()
    }

    /// Waits until the replica has stopped and its data folder is unlocked.
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

/// Memory for the proposals of one replica.
pub(crate) fn proposal_memory() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(PROPOSAL_KIB))
}

/// Size in KiB, rounded up and counting what a proposal takes besides its data.
fn kibibytes(bytes: usize) -> u32 {
    (bytes / 1024 + 1) as u32
}
