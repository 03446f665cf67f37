//! What a leader knows of one member.

use std::sync::Arc;

use oriolecrank_schema::TimePoint;

use crate::message::{RoundMark, SnapshotChunk};
use crate::numbers::LogIndex;
use crate::snapshot::Snapshot;

/// What a leader knows of one member.
#[derive(Debug)]
pub(crate) struct PeerProgress {
    /// Highest index known to be synced there; never falls within a term.
    pub(crate) match_index: LogIndex,
    /// Next entry to send; always above `match_index`.
    pub(crate) next_index: LogIndex,
    pub(crate) mode: SendMode,
    /// Commit index that was sent last.
    pub(crate) commit_sent: LogIndex,
    /// Newest round that the member has answered.
    pub(crate) acked_round: u64,
    /// Send time of the newest message that the member has answered.
    pub(crate) acked_sent: Option<TimePoint>,
}

/// How entries are sent to a member.
#[derive(Debug)]
pub(crate) enum SendMode {
    /// The matching index is being searched: one message at a time.
    Probe {
        /// The last message is not answered yet.
        waiting: bool,
    },
    /// Entries are sent without waiting for answers.
    Replicate,
    /// The member needs a snapshot.
    Snapshot(SnapshotSend),
}

/// A snapshot that is being sent, one part at a time.
#[derive(Debug)]
pub(crate) struct SnapshotSend {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) offset: u64,
    pub(crate) waiting: bool,
}

impl PeerProgress {
    /// `last` is the end of the leader's log.
    pub(crate) const fn new(last: LogIndex) -> Self {
        Self {
            match_index: LogIndex(0),
            next_index: LogIndex(if last.0 == 0 { 1 } else { last.0 }),
            mode: SendMode::Probe { waiting: false },
            commit_sent: LogIndex(0),
            acked_round: 0,
            acked_sent: None,
        }
    }

    pub(crate) fn note_answer(&mut self, mark: RoundMark) {
        self.acked_round = self.acked_round.max(mark.round);
        self.acked_sent = self.acked_sent.max(Some(mark.sent));
    }

    /// The member's log matches up to `index`.
    pub(crate) fn accept(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index.next());
        match &self.mode {
            SendMode::Snapshot(send) if self.match_index < send.snapshot.index => {}
            SendMode::Replicate => {}
            SendMode::Probe { .. } | SendMode::Snapshot(_) => {
                self.next_index = self.match_index.next();
                self.mode = SendMode::Replicate;
            }
        }
    }

    /// The member's log does not match at `previous`; `hint` is the index to try next.
    pub(crate) fn refuse(&mut self, previous: LogIndex, hint: LogIndex) {
        let outdated = previous <= self.match_index || previous >= self.next_index;
        if outdated || matches!(self.mode, SendMode::Snapshot(_)) {
            return;
        }
        self.next_index = hint.next().min(previous).max(self.match_index.next());
        self.mode = SendMode::Probe { waiting: false };
    }
}

impl SnapshotSend {
    pub(crate) const fn new(snapshot: Arc<Snapshot>) -> Self {
        Self {
            snapshot,
            offset: 0,
            waiting: false,
        }
    }

    /// The next part; repeats the last one if `again` is set and it is not answered yet.
    pub(crate) fn next_chunk(&mut self, again: bool, limit: usize) -> Option<SnapshotChunk> {
        if self.waiting && !again {
            return None;
        }
        self.waiting = true;
        let snapshot = &self.snapshot;
        let start = (self.offset as usize).min(snapshot.data.len());
        let end = (start + limit).min(snapshot.data.len());
        Some(SnapshotChunk {
            mark: RoundMark {
                round: 0,
                sent: TimePoint::default(),
            },
            index: snapshot.index,
            term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset: start as u64,
            total: snapshot.data.len() as u64,
            data: snapshot.data[start..end].into(),
        })
    }
}
