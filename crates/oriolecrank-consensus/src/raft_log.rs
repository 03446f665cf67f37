//! The log as held in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::log_entry::{EntryBody, LogEntry};
use crate::membership::{LoggedMembership, Membership};
use crate::numbers::{LogIndex, Term};
use crate::snapshot::Snapshot;

/// The log after the newest snapshot.
#[derive(Debug)]
pub(crate) struct RaftLog {
    /// Newest snapshot; `None` if the log begins at index 1.
    snapshot: Option<Arc<Snapshot>>,
    /// Index and term before the first entry. May lie before the snapshot, so that members that lag
    /// a little are served from the log.
    base: (LogIndex, Term),
    /// Entries `base + 1 ..` without gaps.
    entries: VecDeque<LogEntry>,
    /// Membership at the base, followed by those of the entries, in order; never empty.
    memberships: Vec<LoggedMembership>,
    /// Last entry handed out for writing.
    handed: LogIndex,
    /// Last entry known to be synced; never above `handed`.
    synced: LogIndex,
}

impl RaftLog {
    pub(crate) fn new(
        founding: Membership,
        snapshot: Option<Snapshot>,
        entries: Vec<LogEntry>,
    ) -> Self {
        let founding = LoggedMembership {
            index: LogIndex(0),
            membership: founding,
        };
        let mut log = Self {
            snapshot: None,
            base: (LogIndex(0), Term(0)),
            entries: VecDeque::new(),
            memberships: vec![founding],
            handed: LogIndex(0),
            synced: LogIndex(0),
        };
        if let Some(snapshot) = snapshot {
            log.reset(Arc::new(snapshot));
        }
        let base = log.base.0;
        for entry in entries.into_iter().filter(|entry| entry.index > base) {
            log.push(entry);
        }
        log.handed = log.last_index();
        log.synced = log.handed;
        log
    }

    pub(crate) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot
            .as_ref()
            .map_or(LogIndex(0), |snapshot| snapshot.index)
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base.0.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.1, |entry| entry.term)
    }

    pub(crate) const fn base_index(&self) -> LogIndex {
        self.base.0
    }

    pub(crate) const fn synced(&self) -> LogIndex {
        self.synced
    }

    /// Term of an index; `None` if it is before the base or after the end.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let position = index.0.checked_sub(self.base.0.0 + 1)?;
        self.entries.get(position as usize)
    }

    /// Membership in effect: the last one in the log, committed or not.
    pub(crate) fn membership(&self) -> &LoggedMembership {
        self.memberships
            .last()
            .expect("the membership at the base is never removed")
    }

    /// Membership in effect at an index.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        let logged = self
            .memberships
            .iter()
            .rev()
            .find(|logged| logged.index <= index);
        &logged.unwrap_or(&self.memberships[0]).membership
    }

    /// Adds the next entry.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        if let EntryBody::Membership(membership) = &entry.body {
            self.memberships.push(LoggedMembership {
                index: entry.index,
                membership: membership.clone(),
            });
        }
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all after it.
    pub(crate) fn truncate(&mut self, index: LogIndex) {
        let keep = index.0.saturating_sub(self.base.0.0 + 1);
        self.entries.truncate(keep as usize);
        let last = self.last_index();
        while self.memberships.len() > 1 && self.membership().index > last {
            self.memberships.pop();
        }
        self.handed = self.handed.min(last);
        self.synced = self.synced.min(last);
    }

    /// Entries from `first` whose sizes add up to at most `bytes`, but at least one.
    pub(crate) fn slice(&self, first: LogIndex, bytes: usize) -> Vec<LogEntry> {
        let mut taken = Vec::new();
        let mut size = 0;
        let mut index = first;
        while let Some(entry) = self.entry(index) {
            size += entry.size();
            if !taken.is_empty() && size > bytes {
                break;
            }
            taken.push(entry.clone());
            index = index.next();
        }
        taken
    }

    /// Entries after `after` up to `until`.
    pub(crate) fn range(&self, after: LogIndex, until: LogIndex) -> Vec<LogEntry> {
        let indices = after.0 + 1..=until.0;
        indices
            .filter_map(|index| self.entry(LogIndex(index)).cloned())
            .collect()
    }

    /// All entries that are kept.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &LogEntry> {
        self.entries.iter()
    }

    /// Entries that were not handed out for writing yet.
    pub(crate) fn take_unwritten(&mut self) -> Vec<LogEntry> {
        let entries = self.range(self.handed, self.last_index());
        self.handed = self.last_index();
        entries
    }

    /// Everything handed out is synced.
    pub(crate) const fn mark_synced(&mut self) {
        self.synced = self.handed;
    }

    /// Takes over a snapshot of the own state machine and drops entries before it, except for the
    /// last `keep`.
    pub(crate) fn compact(&mut self, snapshot: Arc<Snapshot>, keep: u64) {
        let base = LogIndex(snapshot.index.0.saturating_sub(keep)).max(self.base.0);
        let Some(term) = self.term_at(base) else {
            return;
        };
        let membership = self.membership_at(base).clone();
        self.entries.drain(..(base.0 - self.base.0.0) as usize);
        self.memberships.retain(|logged| logged.index > base);
        self.memberships.insert(
            0,
            LoggedMembership {
                index: base,
                membership,
            },
        );
        self.base = (base, term);
        self.handed = self.handed.max(base);
        self.synced = self.synced.max(base);
        self.snapshot = Some(snapshot);
    }

    /// Replaces the log by a received snapshot. Entries after the snapshot are kept if the log
    /// contains the snapshot's last entry.
    pub(crate) fn install(&mut self, snapshot: Arc<Snapshot>) {
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            self.compact(snapshot, 0);
            return;
        }
        self.reset(snapshot);
    }

    fn reset(&mut self, snapshot: Arc<Snapshot>) {
        self.entries.clear();
        self.memberships = vec![LoggedMembership {
            index: snapshot.index,
            membership: snapshot.membership.clone(),
        }];
        self.base = (snapshot.index, snapshot.term);
        self.handed = snapshot.index;
        self.synced = snapshot.index;
        self.snapshot = Some(snapshot);
    }
}
