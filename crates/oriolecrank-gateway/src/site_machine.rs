//! The replicated site state at one control instance.

use std::sync::{Arc, RwLock, RwLockReadGuard, RwLockWriteGuard};

use oriolecrank_consensus::{LogIndex, Term};
use oriolecrank_control::StateMachine;
use oriolecrank_routing::{SiteCommand, SiteOutcome, SiteState};
use oriolecrank_schema::codec;
use tokio::sync::watch;

/// Site state that the replica changes and everyone else reads.
#[derive(Debug, Clone)]
pub(crate) struct SharedSite {
    /// Locked alone and never across an await.
    state: Arc<RwLock<SiteState>>,
    version: watch::Sender<u64>,
}

impl SharedSite {
    /// Empty state.
    pub(crate) fn new() -> Self {
        Self {
            state: Arc::default(),
            version: watch::Sender::new(0),
        }
    }

    /// The state.
    pub(crate) fn read(&self) -> RwLockReadGuard<'_, SiteState> {
        self.state
            .read()
            .expect("no holder of the state lock panics")
    }

    /// Version of the newest document; 0 if there is none.
    pub(crate) fn version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    fn write(&self) -> RwLockWriteGuard<'_, SiteState> {
        self.state
            .write()
            .expect("no holder of the state lock panics")
    }

    fn show_version(&self) {
        let version = self
            .read()
            .document()
            .map_or(0, |document| document.version);
        self.version.send_if_modified(|shown| {
            let changed = *shown != version;
            *shown = version;
            changed
        });
    }
}

/// Applies committed commands to the shared state.
#[derive(Debug)]
pub(crate) struct SiteMachine(pub(crate) SharedSite);

impl StateMachine for SiteMachine {
    type Output = SiteOutcome;

    fn apply(&mut self, _index: LogIndex, _term: Term, data: &[u8]) -> SiteOutcome {
        // An instance that skipped a command it does not understand would diverge from the others.
        let command: SiteCommand = codec::decode(data)
            .expect("all control instances are upgraded before a new command is used");
        let outcome = self.0.write().apply(command);
        self.0.show_version();
        outcome
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.read().encode()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        let state = SiteState::decode(snapshot)
            .expect("snapshots are written by the same or an older version");
        *self.0.write() = state;
        self.0.show_version();
    }
}
