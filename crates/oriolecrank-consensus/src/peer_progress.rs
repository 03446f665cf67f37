//! Replication progress of one member, as tracked by the leader.

use std::sync::Arc;

use oriolecrank_schema::TimePoint;

use crate::chunk_pace::ChunkPace;
use crate::message::{RoundMark, SnapshotChunk};
use crate::numbers::{LogIndex, Term};
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
    /// Whether the member takes chunks of entries, as its replies say.
    pub(crate) takes_chunks: bool,
    /// Entry at `next_index` of which a part was sent; `None` if its transfer has not begun.
    pub(crate) entry_transfer: Option<EntryTransfer>,
    /// Pace of the chunks of entries and snapshots.
    pub(crate) pace: ChunkPace,
    /// Large entry that was last sent as a whole, because the member takes no chunks, and the time
    /// before which it is not sent again.
    pub(crate) whole_entry: Option<(LogIndex, TimePoint)>,
}

/// Transfer of a large entry to one member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntryTransfer {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    /// Bytes of the data that the member has.
    pub(crate) offset: u64,
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
}

impl PeerProgress {
    /// `last_index` is the end of the leader's log.
    pub(crate) fn new(last_index: LogIndex) -> Self {
        Self {
            match_index: LogIndex(0),
            next_index: LogIndex(if last_index.0 == 0 { 1 } else { last_index.0 }),
            mode: SendMode::Probe {
                awaiting_reply: false,
            },
            sent_commit_index: LogIndex(0),
            acked_round: 0,
            acked_sent_at: None,
            takes_chunks: false,
            entry_transfer: None,
            pace: ChunkPace::default(),
            whole_entry: None,
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
        let is_complete = |transfer: &EntryTransfer| transfer.index <= index;
        if self.entry_transfer.as_ref().is_some_and(is_complete) {
            self.entry_transfer = None;
            self.pace.end_transfer();
        }
        match &self.mode {
            SendMode::Snapshot(transfer) if self.match_index < transfer.snapshot.index => {}
            SendMode::Replicate => {}
            SendMode::Probe { .. } | SendMode::Snapshot(_) => {
                if matches!(self.mode, SendMode::Snapshot(_)) {
                    self.pace.end_transfer();
                }
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

    /// Records the reply to a chunk of an entry or a snapshot. Returns false if it is the reply to an
    /// earlier chunk and the member has no more than the leader knows; the transfer then stays as it is.
    pub(crate) fn record_chunk_reply(
        &mut self,
        reply: ChunkReply,
        max_bytes: usize,
        now: TimePoint,
    ) -> bool {
        let is_news = reply.next_offset > reply.known_offset || self.pace.awaits(reply.sent);
        if is_news {
            self.pace.record_reply(reply.sent, max_bytes, now);
        }
        is_news
    }
}

/// Reply to a chunk, beside what the leader knew before.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChunkReply {
    /// When the chunk was sent.
    pub(crate) sent: TimePoint,
    /// Bytes that the member has.
    pub(crate) next_offset: u64,
    /// Bytes that it had according to earlier replies.
    pub(crate) known_offset: u64,
}

impl SnapshotTransfer {
    pub(crate) const fn new(snapshot: Arc<Snapshot>) -> Self {
        Self {
            snapshot,
            offset: 0,
        }
    }

    /// Returns the chunk after what the member has.
    pub(crate) fn next_chunk(&self, mark: RoundMark, max_bytes: usize) -> SnapshotChunk {
        let snapshot = &self.snapshot;
        let start = (self.offset as usize).min(snapshot.data.len());
        let end = (start + max_bytes).min(snapshot.data.len());
        SnapshotChunk {
            mark,
            index: snapshot.index,
            term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset: start as u64,
            total: snapshot.data.len() as u64,
            data: snapshot.data[start..end].into(),
        }
    }
}
