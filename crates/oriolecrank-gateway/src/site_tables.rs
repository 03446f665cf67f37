//! What a control instance knows outside the log.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_control::JoinTable;
use oriolecrank_routing::{
    EntryRun, MergeEffect, UpstreamAnnouncement, UpstreamDirectory, UpstreamLoad, UpstreamName,
    UsageCollector,
};
use oriolecrank_schema::TimePoint;
use tokio::sync::watch;

use crate::site_messages::{AgedAnnouncement, NamedLoad, SyncRequest};

/// An entry that has not synced for this long no longer counts: some syncs in a row.
const ENTRY_LIFETIME: Duration = Duration::from_secs(4);

/// Loads that one entry has reported.
#[derive(Debug)]
struct EntryReport {
    loads: IndexMap<UpstreamName, UpstreamLoad>,
    noted: TimePoint,
}

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
    entries: IndexMap<EntryRun, EntryReport>,
    /// Sum of the loads of all entries.
    load: IndexMap<UpstreamName, UpstreamLoad>,
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
        let announcement = tables.directory.leave(name.as_str(), started_ms, now);
        self.show_changes(&tables);
        announcement
    }

    fn show_changes(&self, tables: &TableContent) {
        let changed = tables.directory.changed();
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
            .note(&request.run, std::mem::take(&mut request.usage));
        self.forget_entry(&request.run);
        let loads = std::mem::take(&mut request.loads);
        let loads: IndexMap<_, _> = loads
            .into_iter()
            .map(|named| (named.upstream, named.load))
            .collect();
        for (upstream, load) in &loads {
            let total = self.load.entry(upstream.clone()).or_default();
            *total = total.plus(*load);
        }
        let report = EntryReport { loads, noted: now };
        if !request.stopping {
            self.entries.insert(request.run.clone(), report);
        }
    }

    /// Number of entries that sync.
    pub(crate) fn entry_count(&self) -> u32 {
        self.entries.len() as u32
    }

    /// Load of all entries but one.
    pub(crate) fn loads_beside(&self, run: &EntryRun) -> Vec<NamedLoad> {
        let own = self.entries.get(run).map(|report| &report.loads);
        let beside = self.load.iter().map(|(upstream, total)| {
            let own = own.and_then(|loads| loads.get(upstream));
            NamedLoad {
                upstream: upstream.clone(),
                load: total.minus(own.copied().unwrap_or_default()),
            }
        });
        beside
            .filter(|named| named.load != UpstreamLoad::default())
            .collect()
    }

    /// Announcements after a revision, with their ages.
    pub(crate) fn announcements(&self, since: u64, now: TimePoint) -> Vec<AgedAnnouncement> {
        let records = self.directory.since(since);
        let aged = records.map(|record| AgedAnnouncement {
            announcement: record.announcement.clone(),
            age: now.since(record.heard),
        });
        aged.collect()
    }

    /// Forgets entries and upstreams that are silent.
    pub(crate) fn prune(&mut self, now: TimePoint) {
        self.directory.prune(now);
        let silent: Vec<EntryRun> = self
            .entries
            .iter()
            .filter(|(_, report)| now.since(report.noted) > ENTRY_LIFETIME)
            .map(|(run, _)| run.clone())
            .collect();
        for run in silent {
            self.forget_entry(&run);
        }
    }

    fn forget_entry(&mut self, run: &EntryRun) {
        let Some(report) = self.entries.swap_remove(run) else {
            return;
        };
        for (upstream, load) in report.loads {
            if let Some(total) = self.load.get_mut(&upstream) {
                *total = total.minus(load);
                if *total == UpstreamLoad::default() {
                    self.load.swap_remove(&upstream);
                }
            }
        }
    }
}
