//! Lets one document at a time into the replicated log.
//!
//! A document is large, and operators send several at once and repeat them. Only the one on its way
//! into the log and the newest one after it are kept. A call with another version keeps no document:
//! it is answered when a version at least as high is committed.

use std::collections::BTreeSet;
use std::sync::Arc;

use tokio::sync::{Mutex, OwnedMutexGuard, watch};

/// Documents on their way into the log through this instance; clones share the queue.
#[derive(Debug, Clone, Default)]
pub(crate) struct DocumentQueue {
    /// Versions whose documents calls keep.
    held: watch::Sender<BTreeSet<u64>>,
    /// Locked by the call whose document is on its way into the log.
    place: Arc<Mutex<()>>,
}

/// Says that a call keeps the document of a version, until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldVersion {
    queue: DocumentQueue,
    version: u64,
}

/// Right to bring a document into the log; the next one waits until it is dropped.
#[derive(Debug)]
pub(crate) struct LogPlace {
    _held: HeldVersion,
    _place: OwnedMutexGuard<()>,
}

impl DocumentQueue {
    /// Waits for the place in front of the log. `None` once another call keeps the same or a higher
    /// version, so that this one need not be kept.
    pub(crate) async fn enter(&self, version: u64) -> Option<LogPlace> {
        let held = self.hold(version)?;
        let mut versions = self.held.subscribe();
        let superseded = async {
            let _ = versions.wait_for(|held| newest(held) > version).await;
        };
        tokio::select! {
            biased;
            place = Arc::clone(&self.place).lock_owned() => Some(LogPlace {
                _held: held,
                _place: place,
            }),
            () = superseded => None,
        }
    }

    /// Waits until no call keeps the document of `version` or of a higher one.
    pub(crate) async fn wait_released(&self, version: u64) {
        let mut versions = self.held.subscribe();
        // The sender lives as long as this queue.
        let _ = versions.wait_for(|held| newest(held) < version).await;
    }

    fn hold(&self, version: u64) -> Option<HeldVersion> {
        let is_newest = self.held.send_if_modified(|held| {
            let is_newest = newest(held) < version;
            if is_newest {
                held.insert(version);
            }
            is_newest
        });
        is_newest.then(|| HeldVersion {
            queue: self.clone(),
            version,
        })
    }
}

/// Highest version that is kept; 0 if there is none.
fn newest(held: &BTreeSet<u64>) -> u64 {
    held.last().copied().unwrap_or(0)
}

impl Drop for HeldVersion {
    fn drop(&mut self) {
        self.queue.held.send_modify(|held| {
            held.remove(&self.version);
        });
    }
}
