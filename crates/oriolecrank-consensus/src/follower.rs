//! Messages of the leader at a follower.

use std::sync::Arc;

use oriolecrank_schema::TimePoint;

use crate::instance_id::InstanceId;
use crate::log_entry::LogEntry;
use crate::message::{
    AppendReply, AppendRequest, MessageBody, RoundMark, SnapshotChunk, SnapshotReply,
};
use crate::node::{NodeRole, RaftNode};
use crate::numbers::{LogIndex, Term};
use crate::snapshot::{PartialSnapshot, Snapshot};

impl RaftNode {
    /// Accepts the sender as leader of the current term; false for a leader of an older term, which
    /// is told the current one.
    fn accept_leader(
        &mut self,
        from: &InstanceId,
        term: Term,
        mark: RoundMark,
        now: TimePoint,
    ) -> bool {
        if term < self.hard_state.term {
            self.reply_append(from.clone(), mark, None, LogIndex(0), false);
            return false;
        }
        debug_assert!(!self.is_leader(), "a term has one leader");
        if self.is_leader() {
            return false;
        }
        self.role = NodeRole::Follower;
        self.leader = Some(from.clone());
        self.leader_contact = Some(now);
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
        let (mark, previous) = (request.mark, request.previous_index);
        if previous < self.commit {
            // An old message; everything up to the commit index matches the leader's log.
            let commit = self.commit;
            self.reply_append(from, mark, Some(previous), commit, true);
            return;
        }
        if self.log.term_at(previous) != Some(request.previous_term) {
            let hint = self.matching_hint(previous);
            self.reply_append(from, mark, Some(previous), hint, false);
            return;
        }
        let matched = LogIndex(previous.0 + request.entries.len() as u64);
        self.append_entries(request.entries);
        self.commit = self.commit.max(request.commit.min(matched));
        self.reply_append(from, mark, Some(previous), matched, true);
    }

    fn append_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    assert!(
                        entry.index > self.commit,
                        "a committed entry is never replaced"
                    );
                    self.log.truncate(entry.index);
                }
                None => {}
            }
            self.log.push(entry);
        }
    }

    /// Where the leader should look next for a matching entry: before all entries of the conflicting
    /// term, or at the end of a shorter log.
    fn matching_hint(&self, previous: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if last < previous {
            return last;
        }
        let conflict = self.log.term_at(previous);
        let mut hint = previous.previous();
        while hint > self.commit && self.log.term_at(hint) == conflict {
            hint = hint.previous();
        }
        hint.max(self.commit)
    }

    fn reply_append(
        &mut self,
        to: InstanceId,
        mark: RoundMark,
        previous: Option<LogIndex>,
        match_index: LogIndex,
        accepted: bool,
    ) {
        let reply = AppendReply {
            mark,
            accepted,
            previous_index: previous.unwrap_or_default(),
            match_index,
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
        if index <= self.commit {
            let commit = self.commit;
            self.reply_append(from, mark, Some(index), commit, true);
            return;
        }
        if self.collect_chunk(chunk) {
            self.reply_append(from, mark, Some(index), index, true);
            return;
        }
        let next_offset = self
            .incoming
            .as_ref()
            .map_or(0, |partial| partial.data.len() as u64);
        let reply = SnapshotReply {
            mark,
            index,
            next_offset,
        };
        self.send(from, MessageBody::SnapshotReply(reply));
    }

    /// Adds a part of a snapshot and installs the snapshot when it is complete.
    fn collect_chunk(&mut self, chunk: SnapshotChunk) -> bool {
        let same =
            |partial: &PartialSnapshot| (partial.index, partial.term) == (chunk.index, chunk.term);
        let mut partial = self
            .incoming
            .take()
            .filter(same)
            .unwrap_or(PartialSnapshot {
                index: chunk.index,
                term: chunk.term,
                data: Vec::new(),
            });
        if chunk.offset == partial.data.len() as u64 {
            partial.data.extend_from_slice(&chunk.data);
        }
        if (partial.data.len() as u64) < chunk.total {
            self.incoming = Some(partial);
            return false;
        }
        self.install(Arc::new(Snapshot {
            index: chunk.index,
            term: chunk.term,
            membership: chunk.membership,
            data: partial.data.into(),
        }));
        true
    }

    fn install(&mut self, snapshot: Arc<Snapshot>) {
        self.commit = snapshot.index;
        self.delivered = snapshot.index;
        self.log.install(Arc::clone(&snapshot));
        self.installed = Some(snapshot);
    }
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
