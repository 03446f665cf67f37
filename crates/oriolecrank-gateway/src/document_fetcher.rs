//! Task of an entry that fetches newer documents from control instances and puts them in force.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use oriolecrank_net::BootClock;
use oriolecrank_routing::{DocumentFetch, PlannedFetch};
use oriolecrank_schema::event::LogEvent;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::control_link::{ControlLink, TransferLimits};
use crate::dialect::CallerDialect;
use crate::entry_shared::EntryShared;
use crate::site_messages::{DOCUMENT_PATH, DocumentAnswer, DocumentRequest};

/// Limits of the transfer of a document. A transfer that makes progress is not cut off early,
/// because the next one would start from zero on the same link.
const TRANSFER_LIMITS: TransferLimits = TransferLimits {
    stall: Duration::from_millis(800),
    total: Duration::from_secs(10),
};

/// Versions that the sync tasks of an entry have learned of; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct DocumentOffers {
    /// Taken alone and never held across an await.
    fetch: Arc<Mutex<DocumentFetch>>,
    /// Notified after each new offer.
    changed: Arc<Notify>,
}

impl DocumentOffers {
    /// Records that a control instance holds a version.
    pub(crate) fn record(&self, source: SocketAddr, version: u64) {
        self.lock().record_offer(source, version, BootClock.now());
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, DocumentFetch> {
        self.fetch
            .lock()
            .expect("no holder of the document offer lock panics")
    }
}

/// Task that fetches one document at a time.
#[derive(Debug)]
pub(crate) struct DocumentFetcher<D> {
    pub(crate) shared: Arc<EntryShared<D>>,
    pub(crate) link: ControlLink,
    pub(crate) offers: DocumentOffers,
}

impl<D: CallerDialect> DocumentFetcher<D> {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        loop {
            let now = BootClock.now();
            let in_force = self.shared.document_version();
            let planned = self.offers.lock().next(in_force, now);
            match planned {
                Some(PlannedFetch { source, start_at }) if start_at <= now => {
                    if !self.fetch(source, in_force).await {
                        self.offers.lock().record_failure(source, BootClock.now());
                    }
                }
                Some(PlannedFetch { start_at, .. }) => {
                    // A new offer may make an earlier start possible.
                    let _ = timeout(start_at.since(now), self.offers.changed.notified()).await;
                }
                None => self.offers.changed.notified().await,
            }
        }
    }

    /// Fetches the newest document from an instance; returns whether a newer one is now in force.
    async fn fetch(&self, source: SocketAddr, known_version: u64) -> bool {
        let started_at = BootClock.now();
        let request = DocumentRequest { known_version };
        let link = &self.link;
        let answer: Result<DocumentAnswer, _> = link
            .transfer(source, DOCUMENT_PATH, &request, TRANSFER_LIMITS)
            .await;
        let elapsed = BootClock.now().since(started_at);
        match answer {
            Ok(DocumentAnswer {
                document: Some(document),
            }) => {
                let transfer_bytes = document.transfer_bytes();
                match document.into_document() {
                    Ok(document) => {
                        let shared = &self.shared;
                        shared.apply_document(&document, source, transfer_bytes, elapsed);
                    }
                    Err(error) => tracing::error!(
                        event = LogEvent::DocumentNotFetched.number(),
                        %source,
                        %error,
                        "a document cannot be decompressed; another control instance is asked"
                    ),
                }
            }
            Ok(DocumentAnswer { document: None }) => {
                tracing::info!(
                    event = LogEvent::DocumentNotFetched.number(),
                    %source,
                    known_version,
                    "a control instance no longer has a newer document"
                );
            }
            Err(error) => {
                tracing::warn!(
                    event = LogEvent::DocumentNotFetched.number(),
                    %source,
                    known_version,
                    elapsed_ms = elapsed.as_millis() as u64,
                    %error,
                    "a document could not be fetched; another control instance is asked"
                );
            }
        }
        self.shared.document_version() > known_version
    }
}
