//! Volatile state of a control instance, which is not part of the replicated log.

use oriolecrank_control::JoinTable;
use oriolecrank_policy::fair_share::FairShareSettings;
use oriolecrank_routing::{
    EntryRun, LimitTable, LoadTable, MergeEffect, PlacementLog, RecordedStream, SuspectInbox,
    SuspectReport, UpstreamAnnouncement, UpstreamDirectory, UpstreamName, UsageCollector,
};
use oriolecrank_schema::TimePoint;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{Notify, watch};

use crate::fair_share::WorkTable;
use crate::site_machine::SharedSite;
use crate::site_messages::{AgedAnnouncement, NamedLoad, SyncRequest};

/// Volatile tables of a control instance; rebuilt from messages after a restart.
#[derive(Debug)]
pub(crate) struct SiteTables {
    /// Random number of this run of the process. Revisions of the directory are only valid within
    /// it.
    pub(crate) run: u64,
    /// Replicated state, which is read before the tables are locked.
    site: SharedSite,
    /// No other lock is held while this one is; never held across an await.
    inner: Mutex<TableContent>,
    /// Revision of the newest change in the directory that matters to entries. An announcement
    /// with the same effect on entries as the one before does not count.
    changed_revision: watch::Sender<u64>,
    /// Notified when an upstream has changed or streams wait to be recorded.
    pub(crate) origin_work: Notify,
    /// Notified when entries have reported crashes or refusals.
    pub(crate) suspect_work: Notify,
}

/// Tables behind the lock of [`SiteTables`].
#[derive(Debug, Default)]
pub(crate) struct TableContent {
    /// Newest announcement of each upstream.
    pub(crate) directory: UpstreamDirectory,
    /// Usage counts that entries have reported.
    pub(crate) usage: UsageCollector,
    /// Control instances that ask to join the group.
    pub(crate) joins: JoinTable,
    /// Loads that entries put on upstreams.
    pub(crate) loads: LoadTable,
    /// Limits that upstreams state, as entries report them.
    pub(crate) limits: LimitTable,
    /// Demands of entries for the engines of overloaded services.
    pub(crate) work: WorkTable,
    /// Engines to which entries have sent requests with shared prompt parts.
    pub(crate) placements: PlacementLog,
    /// Reports and refusals of entries that are not committed yet.
    pub(crate) suspect_inbox: SuspectInbox,
    /// Streams that entries have reported and that are not committed yet.
    pub(crate) unrecorded: Vec<RecordedStream>,
}

impl SiteTables {
    /// Empty tables.
    pub(crate) fn new(run: u64, site: SharedSite, fair_share: FairShareSettings) -> Self {
        let content = TableContent {
            work: WorkTable::new(fair_share),
            ..TableContent::default()
        };
        Self {
            run,
            site,
            inner: Mutex::new(content),
            changed_revision: watch::Sender::new(0),
            origin_work: Notify::new(),
            suspect_work: Notify::new(),
        }
    }

    /// Locks the tables.
    pub(crate) fn lock(&self) -> MutexGuard<'_, TableContent> {
        self.inner
            .lock()
            .expect("no holder of the table lock panics")
    }

    /// Subscribes to the revision of the newest change that matters to entries.
    pub(crate) fn subscribe_revision(&self) -> watch::Receiver<u64> {
        self.changed_revision.subscribe()
    }

    /// Records the state in an entry's sync request.
    pub(crate) fn record_sync(&self, request: &mut SyncRequest, now: TimePoint) {
        let mut tables = self.lock();
        tables.record_sync(request, now);
        for leaving in &request.leaving {
            tables.directory.mark_draining(leaving);
        }
        self.publish_revision(&tables);
        let reports = std::mem::take(&mut request.suspect_reports);
        let has_reports = !(reports.is_empty() && request.held_refusals.is_empty());
        tables.suspect_inbox.add_reports(reports, now);
        tables.suspect_inbox.add_refusals(&request.held_refusals);
        drop(tables);
        if has_reports {
            self.suspect_work.notify_one();
        }
    }

    /// Takes reports about crashes that an entry sends without waiting for its next sync.
    pub(crate) fn add_suspect_reports(&self, reports: Vec<SuspectReport>, now: TimePoint) {
        self.lock().suspect_inbox.add_reports(reports, now);
        self.suspect_work.notify_one();
    }

    /// Merges an announcement into the directory and wakes waiting syncs if it changed anything
    /// that matters to entries. An announcement that is older than a committed departure does not
    /// bring its upstream back.
    pub(crate) fn apply_announcement(
        &self,
        announcement: UpstreamAnnouncement,
        received_at: TimePoint,
    ) -> MergeEffect {
        let announcement = self.site.read().departures().with_known_state(announcement);
        let mut tables = self.lock();
        let effect = tables.directory.merge(announcement, received_at);
        self.publish_revision(&tables);
        effect
    }

    /// Merges the committed departures into the directory whenever there are new ones, until the
    /// session ends.
    pub(crate) async fn follow_departures(self: Arc<Self>) {
        let mut departures = self.site.subscribe_departures();
        loop {
            departures.borrow_and_update();
            {
                let committed = self.site.read().departures().clone();
                let mut tables = self.lock();
                tables.directory.apply_departures(&committed);
                self.publish_revision(&tables);
            }
            // The sender lives as long as the tables.
            if departures.changed().await.is_err() {
                return;
            }
        }
    }

    /// Marks an upstream as left, after it has deregistered. Returns the resulting announcement, or
    /// `None` if the upstream is unknown or `started_ms` belongs to another incarnation.
    pub(crate) fn mark_left(
        &self,
        name: &UpstreamName,
        started_ms: Option<u64>,
        now: TimePoint,
    ) -> Option<UpstreamAnnouncement> {
        let mut tables = self.lock();
        let announcement = tables.directory.mark_left(name.as_str(), started_ms, now);
        self.publish_revision(&tables);
        announcement
    }

    fn publish_revision(&self, tables: &TableContent) {
        let changed = tables.directory.changed_revision();
        let has_changed = self.changed_revision.send_if_modified(|published| {
            let is_changed = *published != changed;
            *published = changed;
            is_changed
        });
        if has_changed {
            self.origin_work.notify_one();
        }
    }

    /// Takes streams that an entry has begun, to be committed with the next ones.
    pub(crate) fn add_streams(&self, streams: Vec<RecordedStream>) {
        self.lock().unrecorded.extend(streams);
        self.origin_work.notify_one();
    }
}

impl TableContent {
    /// Records the usage counts, placements and loads of an entry's sync request, and takes the
    /// counts and loads out of it.
    fn record_sync(&mut self, request: &mut SyncRequest, now: TimePoint) {
        self.usage
            .record(&request.run, std::mem::take(&mut request.usage));
        for placed in &request.placed {
            for part in &placed.parts {
                let source = request.run.run;
                self.placements.record(source, *part, &placed.upstream, now);
            }
        }
        let limits = std::mem::take(&mut request.limits);
        self.limits.set_reports(&request.run, limits, now);
        let work_demand = request.work_demand.clone();
        self.work.record(&request.run, work_demand, now);
        let loads = std::mem::take(&mut request.loads).into_iter();
        if request.stopping {
            self.loads.remove_entry(&request.run);
        } else {
            let loads = loads.map(|named| (named.upstream, named.load)).collect();
            self.loads.set_entry_loads(&request.run, loads, now);
        }
    }

    /// Load that all entries but one put on each upstream.
    pub(crate) fn loads_excluding(&self, run: &EntryRun) -> Vec<NamedLoad> {
        let loads = self.loads.loads_excluding(run).into_iter();
        loads
            .map(|(upstream, load)| NamedLoad { upstream, load })
            .collect()
    }

    /// Announcements merged after a revision, with their ages.
    pub(crate) fn announcements(&self, since: u64, now: TimePoint) -> Vec<AgedAnnouncement> {
        let records = self.directory.since(since);
        let aged = records.map(|record| AgedAnnouncement {
            announcement: record.announcement.clone(),
            age: now.since(record.received_at),
        });
        aged.collect()
    }

    /// Removes upstreams and loads of entries that have sent nothing for too long.
    pub(crate) fn prune(&mut self, now: TimePoint) {
        self.directory.prune(now);
        self.loads.prune(now);
    }
}
