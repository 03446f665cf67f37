//! Keeps an entry up to date: asks control instances for news and reports loads and usage.
//!
//! The entry syncs with several control instances at once and takes the newest of what they say, so
//! that one that is cut off or slow delays nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_net::BootClock;
use oriolecrank_routing::{
    KnownGroup, PlacedParts, RouteTable, SyncCursor, WindowCounts, sync_targets,
};
use oriolecrank_schema::event::LogEvent;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::control_link::ControlLink;
use crate::dialect::CallerDialect;
use crate::entry_shared::EntryShared;
use crate::site_messages::{SYNC_PATH, SyncAnswer, SyncRequest};

/// Longest wait for an answer; the other side waits at most 500 ms for news.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Wait after a failed sync.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Shortest time between two syncs with one instance, which bounds the cost of many changes.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Time without any answer after which the seeds are asked again.
const LOST_AFTER: Duration = Duration::from_secs(2);

/// Task that keeps the targets.
#[derive(Debug)]
pub(crate) struct EntrySync<D> {
    pub(crate) shared: Arc<EntryShared<D>>,
    pub(crate) link: ControlLink,
    /// Internal addresses from the settings.
    pub(crate) seeds: watch::Receiver<Vec<SocketAddr>>,
}

impl<D: CallerDialect> EntrySync<D> {
    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        let (news, mut answers) = mpsc::channel::<KnownGroup>(16);
        let mut targets: IndexMap<SocketAddr, AbortHandle> = IndexMap::new();
        let mut group = KnownGroup::default();
        loop {
            let run = self.shared.options.run.run;
            let wanted = sync_targets(&group, &self.seeds.borrow(), run);
            targets.retain(|address, task| {
                let keep = wanted.contains(address);
                if !keep {
                    task.abort();
                }
                keep
            });
            for address in wanted {
                targets.entry(address).or_insert_with(|| {
                    let target = SyncTarget {
                        shared: Arc::clone(&self.shared),
                        link: self.link.clone(),
                        address,
                        group: news.clone(),
                        cursor: SyncCursor::default(),
                        own_placements: 0,
                        placement_sequence: 0,
                    };
                    tokio::spawn(target.run()).abort_handle()
                });
            }
            tokio::select! {
                answer = timeout(LOST_AFTER, answers.recv()) => match answer {
                    Ok(Some(known)) if !known.members.is_empty() => group = known,
                    Ok(_) => {}
                    Err(_) => group = KnownGroup::default(),
                },
                changed = self.seeds.changed() => if changed.is_err() {
                    // Nobody changes the seeds any more.
                    sleep(LOST_AFTER).await;
                },
            }
        }
    }
}

/// Syncs with one control instance.
#[derive(Debug)]
struct SyncTarget<D> {
    shared: Arc<EntryShared<D>>,
    link: ControlLink,
    address: SocketAddr,
    group: mpsc::Sender<KnownGroup>,
    cursor: SyncCursor,
    /// Sequence of the newest own placement that it has.
    own_placements: u64,
    /// Sequence of the newest placement of other entries that it has told.
    placement_sequence: u64,
}

impl<D: CallerDialect> SyncTarget<D> {
    async fn run(mut self) {
        let mut reached = true;
        loop {
            let counts = self.shared.lock_usage().windows().to_vec();
            let (placed, newest_placement) = {
                let log = self.shared.lock_placements();
                (log.since(self.own_placements, None), log.newest_sequence())
            };
            let request = self.request(&counts, placed);
            let link = &self.link;
            let answer = link.call(self.address, SYNC_PATH, &request, SYNC_TIMEOUT);
            match answer.await {
                Ok(answer) => {
                    if !reached {
                        tracing::info!(
                            event = LogEvent::SubscriptionRestored.number(),
                            address = %self.address,
                            "control is reached again"
                        );
                    }
                    reached = true;
                    self.own_placements = newest_placement;
                    self.take(answer, counts);
                    sleep(MIN_INTERVAL).await;
                }
                Err(error) => {
                    if reached {
                        let event = LogEvent::SubscriptionLost.number();
                        tracing::warn!(
                            event,
                            address = %self.address,
                            %error,
                            "control is not reached"
                        );
                    }
                    reached = false;
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// `sent` are the counts of all usage windows.
    fn request(&self, sent: &[WindowCounts], placed: Vec<PlacedParts>) -> SyncRequest {
        let shared = &self.shared;
        SyncRequest {
            run: shared.options.run.clone(),
            document_version: shared.version(),
            control_run: self.cursor.control_run(),
            directory_revision: self.cursor.directory_revision(),
            usage: self.cursor.unacknowledged(sent),
            loads: shared.local_loads(BootClock.now()),
            placed,
            placement_sequence: self.placement_sequence,
            stopping: shared.is_stopping(),
        }
    }

    /// Takes an answer to a sync that sent the given counts.
    fn take(&mut self, answer: SyncAnswer, counts: Vec<WindowCounts>) {
        self.cursor
            .advance(answer.control_run, answer.directory_revision, counts);
        let now = BootClock.now();
        let shared = &self.shared;
        shared.clock.note(self.address, answer.unix_ms, now);
        if let Some(document) = answer.document {
            match shared.dialect.decode_document(&document.source) {
                Ok(decoded) => {
                    if shared.put_in_force(RouteTable::new(decoded)) {
                        let event = LogEvent::DocumentInForce.number();
                        let version = document.version;
                        tracing::info!(
                            event,
                            version,
                            source = %self.address,
                            "a document is in force"
                        );
                    }
                }
                // The same check has passed at the control instance that accepted it.
                Err(reason) => {
                    tracing::error!(
                        event = LogEvent::DocumentNotCommitted.number(),
                        reason,
                        "a committed document cannot be read"
                    );
                }
            }
        }
        shared.announce(answer.upstreams, now);
        shared.set_other_loads(&answer.other_loads);
        shared.apply_placements(&answer.placed, now);
        self.placement_sequence = answer.placement_sequence;
        shared.set_entries(answer.entries);
        let upstreams = shared.upstream_count();
        shared
            .metrics
            .note_sync(answer.unix_ms, answer.entries, upstreams);
        // A full queue holds newer answers of the other targets.
        let _ = self.group.try_send(KnownGroup {
            members: answer.members,
            leader: answer.leader,
        });
    }
}
