//! Handling of the leader's messages on a follower.

use std::sync::Arc;

use oriolecrank_schema::TimePoint;

use crate::instance_id::InstanceId;
use crate::log_entry::{EntryBody, LogEntry};
use crate::message::{
    AppendReply, AppendRequest, EntryChunk, EntryChunkReply, MessageBody, RoundMark, SnapshotChunk,
    SnapshotReply,
};
use crate::node::{NodeRole, RaftNode};
use crate::numbers::{LogIndex, Term};
use crate::partial_entry::PartialEntry;
use crate::ready::PreviousLeader;
use crate::snapshot::{PartialSnapshot, Snapshot};

impl RaftNode {
    /// Accepts the sender as leader of the current term.
    ///
    /// Returns false for a leader of an older term; the reply then tells it the current term.
    fn accept_leader(
        &mut self,
        from: &InstanceId,
        term: Term,
        mark: RoundMark,
        now: TimePoint,
    ) -> bool {
        if term < self.hard_state.term {
            self.send_append_reply(from.clone(), mark, None, LogIndex(0), false);
            return false;
        }
        debug_assert!(!self.is_leader(), "another instance leads the same term");
        if self.is_leader() {
            return false;
        }
        self.role = NodeRole::Follower;
        self.leader = Some(from.clone());
        self.last_leader_contact = Some(PreviousLeader {
            id: from.clone(),
            last_contact: now,
        });
        self.reset_election_deadline(now);
        true
    }

    pub(crate) fn handle_append(
        &mut self,
        from: InstanceId,
        term: Term,
        request: AppendRequest,
        now: TimePoint,
    ) {
        if !self.accept_leader(&from, term, request.mark, now) || !is_contiguous(&request) {
            return;
        }
        let (mark, previous_index) = (request.mark, request.previous_index);
        if previous_index < self.commit_index {
            // An outdated request; everything up to the commit index matches the leader's log.
            let commit_index = self.commit_index;
            self.send_append_reply(from, mark, Some(previous_index), commit_index, true);
            return;
        }
        if self.log.term_at(previous_index) != Some(request.previous_term) {
            let hint = self.conflict_hint(previous_index);
            self.send_append_reply(from, mark, Some(previous_index), hint, false);
            return;
        }
        let match_index = LogIndex(previous_index.0 + request.entries.len() as u64);
        self.append_entries(request.entries);
        self.commit_index = self.commit_index.max(request.commit.min(match_index));
        self.send_append_reply(from, mark, Some(previous_index), match_index, true);
    }

    pub(crate) fn handle_entry_chunk(
        &mut self,
        from: InstanceId,
        term: Term,
        chunk: &EntryChunk,
        now: TimePoint,
    ) {
        if !self.accept_leader(&from, term, chunk.mark, now) {
            return;
        }
        let (mark, previous_index) = (chunk.mark, chunk.previous_index);
        let index = previous_index.next();
        if previous_index < self.commit_index {
            let commit_index = self.commit_index;
            self.send_append_reply(from, mark, Some(previous_index), commit_index, true);
            return;
        }
        if self.log.term_at(previous_index) != Some(chunk.previous_term) {
            let hint = self.conflict_hint(previous_index);
            self.send_append_reply(from, mark, Some(previous_index), hint, false);
            return;
        }
        let commit = chunk.commit;
        if self.log.term_at(index) != Some(chunk.term)
            && let Some(next_offset) = self.collect_entry_chunk(index, chunk)
        {
            let reply = EntryChunkReply {
                mark,
                index,
                next_offset,
            };
            self.send(from, MessageBody::EntryChunkReply(reply));
            return;
        }
        self.commit_index = self.commit_index.max(commit.min(index));
        self.send_append_reply(from, mark, Some(previous_index), index, true);
    }

    /// Adds a chunk of the entry at `index`. Returns the offset of the next one, or `None` once the
    /// entry is complete and in the log.
    fn collect_entry_chunk(&mut self, index: LogIndex, chunk: &EntryChunk) -> Option<u64> {
        let key = (index, chunk.term, chunk.total);
        let same_entry = |partial: &PartialEntry| partial.key() == key;
        let partial = self.incoming_entry.take().filter(same_entry);
        let mut partial = partial.unwrap_or_else(|| PartialEntry {
            index,
            term: chunk.term,
            total: chunk.total,
            data: Vec::with_capacity(reserved_bytes(chunk.total)),
        });
        if chunk.offset == partial.data.len() as u64 {
            partial.data.extend_from_slice(&chunk.data);
        }
        let received = partial.data.len() as u64;
        if received < chunk.total {
            self.incoming_entry = Some(partial);
            return Some(received);
        }
        self.append_entries(vec![LogEntry {
            index,
            term: chunk.term,
            body: EntryBody::Data(partial.data.into()),
        }]);
        None
    }

    fn append_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    assert!(
                        entry.index > self.commit_index,
                        "the leader's entry conflicts with a committed entry"
                    );
                    self.log.truncate(entry.index);
                }
                None => {}
            }
            self.log.push(entry);
        }
        // An entry in its place, or after it, has come by another way.
        let last_index = self.log.last_index();
        self.incoming_entry = self
            .incoming_entry
            .take()
            .filter(|partial| partial.index > last_index);
    }

    /// Index at which the leader should look next for a matching entry: before all entries of the
    /// conflicting term, or the end of this log if it is shorter.
    fn conflict_hint(&self, previous_index: LogIndex) -> LogIndex {
        let last_index = self.log.last_index();
        if last_index < previous_index {
            return last_index;
        }
        let conflicting_term = self.log.term_at(previous_index);
        let mut hint = previous_index.previous();
        while hint > self.commit_index && self.log.term_at(hint) == conflicting_term {
            hint = hint.previous();
        }
        hint.max(self.commit_index)
    }

    fn send_append_reply(
        &mut self,
        to: InstanceId,
        mark: RoundMark,
        previous_index: Option<LogIndex>,
        match_index: LogIndex,
        accepted: bool,
    ) {
        let reply = AppendReply {
            mark,
            accepted,
            previous_index: previous_index.unwrap_or_default(),
            match_index,
            takes_chunks: true,
        };
        self.send(to, MessageBody::AppendReply(reply));
    }

    pub(crate) fn handle_snapshot(
        &mut self,
        from: InstanceId,
        term: Term,
        chunk: SnapshotChunk,
        now: TimePoint,
    ) {
        let (mark, index) = (chunk.mark, chunk.index);
        if !self.accept_leader(&from, term, mark, now) {
            return;
        }
        if index <= self.commit_index {
            let commit_index = self.commit_index;
            self.send_append_reply(from, mark, Some(index), commit_index, true);
            return;
        }
        if self.collect_chunk(chunk) {
            self.send_append_reply(from, mark, Some(index), index, true);
            return;
        }
        let next_offset = self
            .incoming_snapshot
            .as_ref()
            .map_or(0, |partial| partial.data.len() as u64);
        let reply = SnapshotReply {
            mark,
            index,
            next_offset,
        };
        self.send(from, MessageBody::SnapshotReply(reply));
    }

    /// Adds a chunk of a snapshot; installs the snapshot and returns true once it is complete.
    fn collect_chunk(&mut self, chunk: SnapshotChunk) -> bool {
        // A snapshot replaces the entries whose transfer it has overtaken.
        self.incoming_entry = None;
        let same_snapshot =
            |partial: &PartialSnapshot| (partial.index, partial.term) == (chunk.index, chunk.term);
        let mut partial = self
            .incoming_snapshot
            .take()
            .filter(same_snapshot)
            .unwrap_or(PartialSnapshot {
                index: chunk.index,
                term: chunk.term,
                data: Vec::with_capacity(reserved_bytes(chunk.total)),
            });
        if chunk.offset == partial.data.len() as u64 {
            partial.data.extend_from_slice(&chunk.data);
        }
        if (partial.data.len() as u64) < chunk.total {
            self.incoming_snapshot = Some(partial);
            return false;
        }
        self.install_snapshot(Arc::new(Snapshot {
            index: chunk.index,
            term: chunk.term,
            membership: chunk.membership,
            data: partial.data.into(),
        }));
        true
    }

    fn install_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.commit_index = snapshot.index;
        self.applying_index = snapshot.index;
        self.log.install_snapshot(Arc::clone(&snapshot));
        self.installed_snapshot = Some(snapshot);
    }
}

/// Memory to reserve for a transfer of `total` bytes; a wrong announcement must not use up the memory.
fn reserved_bytes(total: u64) -> usize {
    /// Far above the size of any document.
    const MAX_RESERVED_BYTES: u64 = 16 * 1024 * 1024;
    total.min(MAX_RESERVED_BYTES) as usize
}

/// Whether the entries follow the previous index without gaps.
fn is_contiguous(request: &AppendRequest) -> bool {
    let expected = request.previous_index.0 + 1..;
    request
        .entries
        .iter()
        .zip(expected)
        .all(|(entry, index)| entry.index.0 == index)
}
