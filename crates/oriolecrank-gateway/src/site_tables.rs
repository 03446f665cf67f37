//! What a control instance knows outside the log.

use oriolecrank_control::JoinTable;
use oriolecrank_routing::{
    EntryRun, LoadTable, MergeEffect, PlacementLog, UpstreamAnnouncement, UpstreamDirectory,
    UpstreamName, UsageCollector,
};
use oriolecrank_schema::TimePoint;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::watch;

use crate::site_messages::{AgedAnnouncement, NamedLoad, SyncRequest};

/// Tables of a control instance; rebuilt from messages after a restart.
#[derive(Debug)]
pub(crate) struct SiteTables {
    /// Random number of this run; revisions of the directory belong to it.
    pub(crate) run: u64,
    /// Locked alone and never across an await.
    inner: Mutex<TableContent>,
    /// Revision of the newest change in the directory that matters to entries.
    changed: watch::Sender<u64>,
}

/// Content of the tables.
#[derive(Debug, Default)]
pub(crate) struct TableContent {
    /// Upstreams.
    pub(crate) directory: UpstreamDirectory,
    /// Usage counts of entries.
    pub(crate) usage: UsageCollector,
    /// Instances that want to join the group.
    pub(crate) joins: JoinTable,
    /// Loads that entries put on upstreams.
    pub(crate) loads: LoadTable,
    /// Engines to which entries have sent shared prompt parts.
    pub(crate) placements: PlacementLog,
}

impl SiteTables {
    /// Empty tables.
    pub(crate) fn new(run: u64) -> Self {
        Self {
            run,
            inner: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// The tables.
    pub(crate) fn lock(&self) -> MutexGuard<'_, TableContent> {
        self.inner
            .lock()
            .expect("no holder of the table lock panics")
    }

    /// Revision of the newest change that entries must know.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Takes an announcement.
    pub(crate) fn announce(
        &self,
        announcement: UpstreamAnnouncement,
        heard: TimePoint,
    ) -> MergeEffect {
        let mut tables = self.lock();
        let effect = tables.directory.merge(announcement, heard);
        self.show_changes(&tables);
        effect
    }

    /// Takes a farewell; returns the resulting announcement.
    pub(crate) fn depart(
        &self,
        name: &UpstreamName,
        started_ms: Option<u64>,
        now: TimePoint,
    ) -> Option<UpstreamAnnouncement> {
        let mut tables = self.lock();
        let announcement = tables.directory.mark_left(name.as_str(), started_ms, now);
        self.show_changes(&tables);
        announcement
    }

    fn show_changes(&self, tables: &TableContent) {
        let changed = tables.directory.changed_revision();
        self.changed.send_if_modified(|shown| {
            let newer = *shown != changed;
            *shown = changed;
            newer
        });
    }
}

impl TableContent {
    /// Takes the report of an entry.
    pub(crate) fn note_entry(&mut self, request: &mut SyncRequest, now: TimePoint) {
        self.usage
            .record(&request.run, std::mem::take(&mut request.usage));
        for placed in &request.placed {
            for part in &placed.parts {
                let source = request.run.run;
                self.placements.record(source, *part, &placed.upstream, now);
            }
        }
        let loads = std::mem::take(&mut request.loads).into_iter();
        if request.stopping {
            self.loads.remove_entry(&request.run);
        } else {
            let loads = loads.map(|named| (named.upstream, named.load)).collect();
            self.loads.set_entry_loads(&request.run, loads, now);
        }
    }

    /// Load of all entries but one.
    pub(crate) fn loads_beside(&self, run: &EntryRun) -> Vec<NamedLoad> {
        let beside = self.loads.loads_excluding(run).into_iter();
        beside
            .map(|(upstream, load)| NamedLoad { upstream, load })
            .collect()
    }

    /// Announcements after a revision, with their ages.
    pub(crate) fn announcements(&self, since: u64, now: TimePoint) -> Vec<AgedAnnouncement> {
        let records = self.directory.since(since);
        let aged = records.map(|record| AgedAnnouncement {
            announcement: record.announcement.clone(),
            age: now.since(record.received_at),
        });
        aged.collect()
    }

    /// Forgets entries and upstreams that are silent.
    pub(crate) fn prune(&mut self, now: TimePoint) {
        self.directory.prune(now);
        self.loads.prune(now);
    }
}
