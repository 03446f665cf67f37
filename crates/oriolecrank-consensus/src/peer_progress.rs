//! Replication progress of one member, as tracked by the leader.

use std::sync::Arc;

use oriolecrank_schema::TimePoint;

use crate::message::{RoundMark, SnapshotChunk};
use crate::numbers::LogIndex;
use crate::snapshot::Snapshot;

/// Replication progress of one member, as tracked by the leader.
#[derive(Debug)]
pub(crate) struct PeerProgress {
    /// Highest index known to be synced on the member; never decreases within a term.
    pub(crate) match_index: LogIndex,
    /// Index of the next entry to send; always above `match_index`.
    pub(crate) next_index: LogIndex,
    pub(crate) mode: SendMode,
    /// Commit index in the last append request sent to the member.
    pub(crate) sent_commit_index: LogIndex,
    /// Newest round that the member has replied to.
    pub(crate) acked_round: u64,
    /// Send time, by the leader's clock, of the newest message that the member has replied to.
    pub(crate) acked_sent_at: Option<TimePoint>,
}

/// How the leader sends the log to a member.
#[derive(Debug)]
pub(crate) enum SendMode {
    /// The leader searches for the match index with one message at a time.
    Probe {
        /// A message was sent and its reply has not arrived; a new round sends again.
        awaiting_reply: bool,
    },
    /// Entries are pipelined without waiting for replies.
    Replicate,
    /// The member needs entries that the log no longer holds, so it gets a snapshot.
    Snapshot(SnapshotTransfer),
}

/// A snapshot transfer to one member, one chunk at a time.
#[derive(Debug)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) offset: u64,
    pub(crate) awaiting_reply: bool,
}

impl PeerProgress {
    /// `last_index` is the end of the leader's log.
    pub(crate) const fn new(last_index: LogIndex) -> Self {
        Self {
            match_index: LogIndex(0),
            next_index: LogIndex(if last_index.0 == 0 { 1 } else { last_index.0 }),
            mode: SendMode::Probe {
                awaiting_reply: false,
            },
            sent_commit_index: LogIndex(0),
            acked_round: 0,
            acked_sent_at: None,
        }
    }

    pub(crate) fn record_reply(&mut self, mark: RoundMark) {
        self.acked_round = self.acked_round.max(mark.round);
        self.acked_sent_at = self.acked_sent_at.max(Some(mark.sent));
    }

    /// Records that the member's log matches the leader's up to `index`.
    ///
    /// This ends probing, and a snapshot transfer once the member has the snapshot.
    pub(crate) fn record_match(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index.next());
        match &self.mode {
            SendMode::Snapshot(transfer) if self.match_index < transfer.snapshot.index => {}
            SendMode::Replicate => {}
            SendMode::Probe { .. } | SendMode::Snapshot(_) => {
                self.next_index = self.match_index.next();
                self.mode = SendMode::Replicate;
            }
        }
    }

    /// Records that the member's log does not match at `previous_index`; `hint` is the index to try
    /// next.
    pub(crate) fn record_mismatch(&mut self, previous_index: LogIndex, hint: LogIndex) {
        let is_outdated = previous_index <= self.match_index || previous_index >= self.next_index;
        if is_outdated || matches!(self.mode, SendMode::Snapshot(_)) {
            return;
        }
        self.next_index = hint.next().min(previous_index).max(self.match_index.next());
        self.mode = SendMode::Probe {
            awaiting_reply: false,
        };
    }
}

impl SnapshotTransfer {
    pub(crate) const fn new(snapshot: Arc<Snapshot>) -> Self {
        Self {
            snapshot,
            offset: 0,
            awaiting_reply: false,
        }
    }

    /// Returns the next chunk; `None` while the last one is unacknowledged, unless `resend` is set.
    ///
    /// The caller fills in `mark`.
    pub(crate) fn next_chunk(&mut self, resend: bool, max_bytes: usize) -> Option<SnapshotChunk> {
        if self.awaiting_reply && !resend {
            return None;
        }
        self.awaiting_reply = true;
        let snapshot = &self.snapshot;
        let start = (self.offset as usize).min(snapshot.data.len());
        let end = (start + max_bytes).min(snapshot.data.len());
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
