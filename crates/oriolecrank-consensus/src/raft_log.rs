//! The part of the log that is held in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::log_entry::{EntryBody, LogEntry};
use crate::membership::{LoggedMembership, Membership};
use crate::numbers::{LogIndex, Term};
use crate::snapshot::Snapshot;

/// The newest snapshot and the log entries after `base`.
#[derive(Debug)]
pub(crate) struct RaftLog {
    /// Newest snapshot; `None` if the log starts at index 1.
    snapshot: Option<Arc<Snapshot>>,
    /// Index and term of the entry before the first one in `entries`. May be below the snapshot's
    /// index, so that members that lag a little need no snapshot.
    base: (LogIndex, Term),
    /// Entries `base + 1 ..` without gaps.
    entries: VecDeque<LogEntry>,
    /// For each of `entries`, the size of it and of all entries before it that this log has held, in
    /// bytes.
    end_offsets: VecDeque<u64>,
    /// The same for the entry at the base.
    base_offset: u64,
    /// Membership at the base, followed by those in `entries` in log order; never empty.
    memberships: Vec<LoggedMembership>,
    /// Last index returned by `take_unwritten`.
    writing_index: LogIndex,
    /// Last index known to be synced; never above `writing_index`.
    synced_index: LogIndex,
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
            end_offsets: VecDeque::new(),
            base_offset: 0,
            memberships: vec![founding],
            writing_index: LogIndex(0),
            synced_index: LogIndex(0),
        };
        if let Some(snapshot) = snapshot {
            log.reset_to(Arc::new(snapshot));
        }
        let base = log.base.0;
        for entry in entries.into_iter().filter(|entry| entry.index > base) {
            log.push(entry);
        }
        log.writing_index = log.last_index();
        log.synced_index = log.writing_index;
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

    pub(crate) const fn synced_index(&self) -> LogIndex {
        self.synced_index
    }

    /// Term of the entry at `index`; `None` before the base or after the end.
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

    fn end_offset(&self, index: LogIndex) -> u64 {
        let count = index.0.saturating_sub(self.base.0.0);
        let Some(last) = count.checked_sub(1) else {
            return self.base_offset;
        };
        let offset = self.end_offsets.get(last as usize);
        *offset
            .or(self.end_offsets.back())
            .unwrap_or(&self.base_offset)
    }

    /// Size of the entries after `after` up to and including `until`, as far as they are in memory, in
    /// bytes.
    pub(crate) fn bytes_between(&self, after: LogIndex, until: LogIndex) -> usize {
        let bytes = self
            .end_offset(until)
            .saturating_sub(self.end_offset(after));
        bytes as usize
    }

    /// Size of all entries in memory, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes_between(self.base.0, self.last_index())
    }

    /// Number of entries up to and including `until` that fit into `max_bytes`, counted backwards.
    pub(crate) fn trailing_entries(&self, until: LogIndex, max_bytes: usize) -> u64 {
        let end = self.end_offset(until);
        let count = until.0.saturating_sub(self.base.0.0) as usize;
        let fits = |start: u64| end.saturating_sub(start) <= max_bytes as u64;
        if fits(self.base_offset) {
            return count as u64;
        }
        let kept_from = self.end_offsets.partition_point(|start| !fits(*start)) + 1;
        count.saturating_sub(kept_from) as u64
    }

    /// Current membership: the last one in the log, committed or not.
    pub(crate) fn membership(&self) -> &LoggedMembership {
        self.memberships
            .last()
            .expect("the membership at the base is never removed")
    }

    /// Membership in effect at `index`.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        let logged = self
            .memberships
            .iter()
            .rev()
            .find(|logged| logged.index <= index);
        &logged.unwrap_or(&self.memberships[0]).membership
    }

    /// Appends an entry, which must have the next index.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        if let EntryBody::Membership(membership) = &entry.body {
            self.memberships.push(LoggedMembership {
                index: entry.index,
                membership: membership.clone(),
            });
        }
        let end_offset = self.end_offset(self.last_index()) + entry.size() as u64;
        self.end_offsets.push_back(end_offset);
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all after it.
    pub(crate) fn truncate(&mut self, index: LogIndex) {
        let remaining = index.0.saturating_sub(self.base.0.0 + 1);
        self.entries.truncate(remaining as usize);
        self.end_offsets.truncate(remaining as usize);
        let last_index = self.last_index();
        while self.memberships.len() > 1 && self.membership().index > last_index {
            self.memberships.pop();
        }
        self.writing_index = self.writing_index.min(last_index);
        self.synced_index = self.synced_index.min(last_index);
    }

    /// Entries from `first` on with a total size of at most `max_bytes`, but at least one if there
    /// are any; none if `max_bytes` is 0.
    pub(crate) fn entries_from(&self, first: LogIndex, max_bytes: usize) -> Vec<LogEntry> {
        let mut selected = Vec::new();
        let mut size = 0;
        let mut index = first;
        while let Some(entry) = self.entry(index) {
            size += entry.size();
            if size > max_bytes && (max_bytes == 0 || !selected.is_empty()) {
                break;
            }
            selected.push(entry.clone());
            index = index.next();
        }
        selected
    }

    /// Entries after `after` up to and including `until`.
    pub(crate) fn range(&self, after: LogIndex, until: LogIndex) -> Vec<LogEntry> {
        let indices = after.0 + 1..=until.0;
        indices
            .filter_map(|index| self.entry(LogIndex(index)).cloned())
            .collect()
    }

    /// All entries in memory.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &LogEntry> {
        self.entries.iter()
    }

    /// Returns the entries that no earlier call has returned, for the driver to write.
    pub(crate) fn take_unwritten(&mut self) -> Vec<LogEntry> {
        let entries = self.range(self.writing_index, self.last_index());
        self.writing_index = self.last_index();
        entries
    }

    /// Records that all entries returned by `take_unwritten` are synced.
    pub(crate) const fn mark_synced(&mut self) {
        self.synced_index = self.writing_index;
    }

    /// Adopts a snapshot of this instance's state machine and drops the entries that it contains,
    /// except for the last `trailing_entries`.
    pub(crate) fn compact(&mut self, snapshot: Arc<Snapshot>, trailing_entries: u64) {
        let base = LogIndex(snapshot.index.0.saturating_sub(trailing_entries)).max(self.base.0);
        let Some(term) = self.term_at(base) else {
            return;
        };
        let membership = self.membership_at(base).clone();
        self.base_offset = self.end_offset(base);
        let dropped = (base.0 - self.base.0.0) as usize;
        self.entries.drain(..dropped);
        self.end_offsets.drain(..dropped);
        self.memberships.retain(|logged| logged.index > base);
        self.memberships.insert(
            0,
            LoggedMembership {
                index: base,
                membership,
            },
        );
        self.base = (base, term);
        self.writing_index = self.writing_index.max(base);
        self.synced_index = self.synced_index.max(base);
        self.snapshot = Some(snapshot);
    }

    /// Replaces the log with a snapshot received from the leader. Entries after the snapshot are
    /// kept if the log contains the snapshot's last entry.
    pub(crate) fn install_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            self.compact(snapshot, 0);
            return;
        }
        self.reset_to(snapshot);
    }

    fn reset_to(&mut self, snapshot: Arc<Snapshot>) {
        self.entries.clear();
        self.end_offsets.clear();
        self.memberships = vec![LoggedMembership {
            index: snapshot.index,
            membership: snapshot.membership.clone(),
        }];
        self.base = (snapshot.index, snapshot.term);
        self.writing_index = snapshot.index;
        self.synced_index = snapshot.index;
        self.snapshot = Some(snapshot);
    }
}
