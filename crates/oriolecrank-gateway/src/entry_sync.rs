//! Syncs an entry with control instances: fetches documents, upstreams and loads, and reports its
//! own loads and usage counts.
//!
//! The entry syncs with several control instances at the same time and applies the newest state
//! that any of them sends, so that a slow or partitioned instance delays nothing. Documents are
//! only announced here; [`DocumentFetcher`](crate::document_fetcher::DocumentFetcher) fetches them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_net::BootClock;
use oriolecrank_routing::{
    KnownGroup, PlacedParts, SentState, SyncCursor, WindowCounts, sync_targets,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::event::LogEvent;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout_at};

use crate::control_link::ControlLink;
use crate::dialect::CallerDialect;
use crate::document_fetcher::DocumentOffers;
use crate::entry_shared::EntryShared;
use crate::site_messages::{SYNC_PATH, SyncAnswer, SyncRequest};

/// Timeout of a sync; a control instance holds the request back for at most 500 ms if nothing
/// changes.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Delay after a failed sync.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Shortest time between two syncs with one instance, which limits the cost of frequent changes.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Time without an answer that confirms the known control group or names a newer one, after which
/// it is dropped and the seeds are used again.
const GROUP_TIMEOUT: Duration = Duration::from_secs(2);

/// Task that runs one [`SyncTarget`] for each control instance to sync with.
#[derive(Debug)]
pub(crate) struct EntrySync<D> {
    pub(crate) shared: Arc<EntryShared<D>>,
    pub(crate) link: ControlLink,
    /// Versions that control instances announce, for the task that fetches them.
    pub(crate) offers: DocumentOffers,
    /// Internal addresses of control instances from the settings.
    pub(crate) seeds: watch::Receiver<Vec<SocketAddr>>,
}

impl<D: CallerDialect> EntrySync<D> {
    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        let (group_sender, mut group_receiver) = mpsc::channel::<NamedGroup>(16);
        let mut targets: IndexMap<SocketAddr, AbortHandle> = IndexMap::new();
        let mut group = KnownGroup::default();
        let mut valid_until = Instant::now() + GROUP_TIMEOUT;
        let mut may_change = true;
        loop {
            let run = self.shared.options.run.run;
            let addresses = sync_targets(&group, &self.seeds.borrow(), run);
            targets.retain(|address, task| {
                let keep = addresses.contains(address);
                if !keep {
                    task.abort();
                }
                keep
            });
            for address in addresses {
                targets.entry(address).or_insert_with(|| {
                    let target = SyncTarget {
                        shared: Arc::clone(&self.shared),
                        link: self.link.clone(),
                        address,
                        group_sender: group_sender.clone(),
                        offers: self.offers.clone(),
                        announced_version: 0,
                        cursor: SyncCursor::default(),
                        placement_sequence: 0,
                    };
                    tokio::spawn(target.run()).abort_handle()
                });
            }
            tokio::select! {
                named = timeout_at(valid_until, group_receiver.recv()) => match named {
                    Ok(Some(named)) if group.accepts(&named.group) => {
                        valid_until = Instant::now() + GROUP_TIMEOUT;
                        if named.group != group {
                            log_followed_group(&named);
                            self.shared.set_control_group(&named.group);
                            group = named.group;
                        }
                    }
                    Ok(_) => {}
                    Err(_) => {
                        valid_until = Instant::now() + GROUP_TIMEOUT;
                        group = KnownGroup::default();
                    }
                },
                // Without a sender the seeds cannot change any more.
                changed = self.seeds.changed(), if may_change => may_change = changed.is_ok(),
            }
        }
    }
}

/// Control group as one of its instances has named it.
#[derive(Debug)]
struct NamedGroup {
    source: SocketAddr,
    group: KnownGroup,
}

fn log_followed_group(named: &NamedGroup) {
    tracing::info!(
        event = LogEvent::GroupFollowed.number(),
        source = %named.source,
        members = ?named.group.members,
        leader = ?named.group.leader,
        "the entry follows another leader or other members of the control group"
    );
}

/// Task that syncs with one control instance.
#[derive(Debug)]
struct SyncTarget<D> {
    shared: Arc<EntryShared<D>>,
    link: ControlLink,
    address: SocketAddr,
    group_sender: mpsc::Sender<NamedGroup>,
    offers: DocumentOffers,
    /// Newest version that the control instance has announced and the entry has to fetch.
    announced_version: u64,
    cursor: SyncCursor,
    /// Sequence of the newest placement of other entries received from the control instance.
    placement_sequence: u64,
}

impl<D: CallerDialect> SyncTarget<D> {
    async fn run(mut self) {
        let mut reachable = true;
        loop {
            let counts = self.shared.lock_usage().windows().to_vec();
            let (placed, placement_sequence) = {
                let log = self.shared.lock_placements();
                (
                    log.since(self.cursor.placement_sequence(), None),
                    log.newest_sequence(),
                )
            };
            self.shared.report_silent_crashes(BootClock.now());
            let report_sequence = self.shared.lock_suspect_watch().newest_sequence();
            let request = self.request(&counts, placed);
            let sent = SentState {
                counts,
                placement_sequence,
                report_sequence,
            };
            let requested_at = BootClock.now();
            let link = &self.link;
            let answer = link.call(self.address, SYNC_PATH, &request, SYNC_TIMEOUT);
            match answer.await {
                Ok(answer) => {
                    if !reachable {
                        tracing::info!(
                            event = LogEvent::SubscriptionRestored.number(),
                            address = %self.address,
                            "sync with a control instance works again"
                        );
                    }
                    reachable = true;
                    self.apply_answer(answer, sent, requested_at);
                    sleep(MIN_INTERVAL).await;
                }
                Err(error) => {
                    if reachable {
                        let event = LogEvent::SubscriptionLost.number();
                        tracing::warn!(
                            event,
                            address = %self.address,
                            %error,
                            "sync with a control instance failed; it is retried"
                        );
                    }
                    reachable = false;
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// `counts` are the counts of all usage windows; only those that the control instance has not
    /// acknowledged are sent.
    fn request(&self, counts: &[WindowCounts], placed: Vec<PlacedParts>) -> SyncRequest {
        let shared = &self.shared;
        let now = BootClock.now();
        let mut suspect_watch = shared.lock_suspect_watch();
        let suspect_reports = suspect_watch.reports_since(self.cursor.report_sequence(), now);
        let wanted_suspects = suspect_watch.wanted(now);
        let holds_suspect_verdicts = suspect_watch.holds_verdicts();
        let held_refusals = suspect_watch.held_refusals(self.cursor.control_run(), now);
        drop(suspect_watch);
        SyncRequest {
            suspect_reports,
            wanted_suspects,
            holds_suspect_verdicts,
            held_refusals,
            run: shared.options.run.clone(),
            document_version: shared.document_version().max(self.announced_version),
            fetches_documents: true,
            control_run: self.cursor.control_run(),
            directory_revision: self.cursor.directory_revision(),
            usage: self.cursor.unacknowledged(counts),
            loads: shared.local_loads(now),
            limits: shared.limit_reports(now),
            work_demand: shared.work_demand(now),
            leaving: shared.leaving_upstreams(),
            placed,
            placement_sequence: self.placement_sequence,
            origin_revision: shared.lock_streams().revision(),
            stopping: shared.is_stopping(),
        }
    }

    /// Applies the answer to a sync whose request brought the control instance up to `sent`.
    fn apply_answer(&mut self, answer: SyncAnswer, sent: SentState, requested_at: TimePoint) {
        self.cursor
            .advance(answer.control_run, answer.directory_revision, sent);
        let now = BootClock.now();
        let shared = &self.shared;
        shared
            .clock
            .record_peer_time(self.address, answer.unix_ms, now);
        if let Some(document) = answer.document {
            let (transfer_bytes, elapsed) = (document.source.len(), now.since(requested_at));
            shared.apply_document(&document, self.address, transfer_bytes, elapsed);
        } else if answer.document_version > shared.document_version() {
            self.announced_version = answer.document_version;
            self.offers.record(self.address, answer.document_version);
        }
        if let Some(origins) = &answer.origins {
            shared.apply_origins(origins);
        }
        shared.apply_announcements(answer.upstreams, now);
        shared.set_remote_loads(&answer.other_loads, now);
        shared.apply_limit_reports(&answer.limits, now);
        shared.set_work_shares(answer.work_shares, now);
        shared.apply_placements(&answer.placed, now);
        self.placement_sequence = answer.placement_sequence;
        if let Some(verdicts) = answer.suspect_verdicts {
            shared.set_suspect_verdicts(verdicts, answer.control_run, now);
        }
        shared.record_entry_count(answer.entries, now);
        let upstreams = shared.upstream_count();
        shared
            .metrics
            .record_sync(answer.unix_ms, answer.entries, upstreams);
        // If the channel is full, it already holds recent answers of other targets.
        let _ = self.group_sender.try_send(NamedGroup {
            source: self.address,
            group: KnownGroup {
                term: answer.term,
                membership_version: answer.membership_version,
                members: answer.members,
                leader: answer.leader,
            },
        });
    }
}
