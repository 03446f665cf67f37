//! The replicated site state of one control instance and its state machine.

use std::sync::{Arc, Mutex, RwLock, RwLockReadGuard, RwLockWriteGuard};

use oriolecrank_consensus::{LogIndex, Term};
use oriolecrank_control::{ControlMemory, StateMachine};
use oriolecrank_net::intake::ByteLease;
use oriolecrank_routing::{SiteCommand, SiteOutcome, SiteState};
use oriolecrank_schema::codec;
use tokio::sync::watch;

/// Site state, which only the replica changes; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct SharedSite {
    /// No other lock is held while this one is; never held across an await.
    state: Arc<RwLock<SiteState>>,
    /// Version of the newest document; 0 without one.
    version: watch::Sender<u64>,
    /// Revision of the admitted origins of streams.
    origin_revision: watch::Sender<u64>,
    /// Revision of the departures of upstreams.
    departure_revision: watch::Sender<u64>,
    /// Revision of the refused suspects.
    refusal_revision: watch::Sender<u64>,
    /// Counts the stored document. Taken alone and never held across an await.
    lease: Arc<Mutex<ByteLease>>,
}

impl SharedSite {
    /// An empty state without a document.
    pub(crate) fn new(memory: &ControlMemory) -> Self {
        Self {
            state: Arc::default(),
            version: watch::Sender::new(0),
            origin_revision: watch::Sender::new(0),
            departure_revision: watch::Sender::new(0),
            refusal_revision: watch::Sender::new(0),
            lease: Arc::new(Mutex::new(memory.documents.lease())),
        }
    }

    /// Locks the state for reading.
    pub(crate) fn read(&self) -> RwLockReadGuard<'_, SiteState> {
        self.state
            .read()
            .expect("no holder of the state lock panics")
    }

    /// Subscribes to the version of the newest document; 0 if there is none.
    pub(crate) fn subscribe_version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Waits until a document of this version, or a newer one, is committed.
    pub(crate) async fn wait_for_version(&self, version: u64) {
        let mut committed = self.subscribe_version();
        // The sender lives as long as this state.
        let _ = committed.wait_for(|committed| *committed >= version).await;
    }

    /// Subscribes to the revision of the admitted origins of streams.
    pub(crate) fn subscribe_origins(&self) -> watch::Receiver<u64> {
        self.origin_revision.subscribe()
    }

    /// Subscribes to the revision of the departures of upstreams.
    pub(crate) fn subscribe_departures(&self) -> watch::Receiver<u64> {
        self.departure_revision.subscribe()
    }

    /// Subscribes to the revision of the refused suspects.
    pub(crate) fn subscribe_refusals(&self) -> watch::Receiver<u64> {
        self.refusal_revision.subscribe()
    }

    fn write(&self) -> RwLockWriteGuard<'_, SiteState> {
        self.state
            .write()
            .expect("no holder of the state lock panics")
    }

    fn publish_versions(&self) {
        let state = self.read();
        let version = state.document().map_or(0, |document| document.version);
        publish(&self.version, version);
        publish(&self.origin_revision, state.streams().admitted().revision);
        publish(&self.departure_revision, state.departures().revision());
        publish(&self.refusal_revision, state.suspects().revision());
        let stored = state.document().map_or(0, |document| document.source.len());
        let mut lease = self
            .lease
            .lock()
            .expect("no holder of the lock of the lease panics");
        lease.count(stored);
    }
}

fn publish(sender: &watch::Sender<u64>, value: u64) {
    sender.send_if_modified(|published| {
        let changed = *published != value;
        *published = value;
        changed
    });
}

/// State machine that applies committed commands to the shared state.
#[derive(Debug)]
pub(crate) struct SiteMachine(pub(crate) SharedSite);

impl StateMachine for SiteMachine {
    type Output = SiteOutcome;

    fn apply(&mut self, _index: LogIndex, _term: Term, data: &[u8]) -> SiteOutcome {
        // Skipping a command that this instance cannot decode would make its state diverge from the
        // others, so it panics instead.
        let command: SiteCommand = codec::decode(data)
            .expect("all control instances are upgraded before a new command is used");
        let outcome = self.0.write().apply(command);
        self.0.publish_versions();
        outcome
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.read().encode()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        let state = SiteState::decode(snapshot)
            .expect("snapshots are written by the same or an older version");
        *self.0.write() = state;
        self.0.publish_versions();
    }
}
