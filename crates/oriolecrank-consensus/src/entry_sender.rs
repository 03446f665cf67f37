//! Messages with entries from the leader to one member.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

use crate::log_entry::{EntryBody, LogEntry};
use crate::message::{AppendRequest, EntryChunk, MessageBody, RoundMark};
use crate::numbers::LogIndex;
use crate::peer_progress::{EntryTransfer, PeerProgress};
use crate::raft_log::RaftLog;
use crate::settings::RaftSettings;

/// Largest total size of the entries in a message that searches for the match index, in bytes. Such
/// a message is repeated with each round until a reply arrives.
const MAX_PROBE_BYTES: usize = 16 * 1024;

/// Slowest transfer of a whole large entry to a member of an older version, in bytes per second, and
/// the time that its reply may take besides.
const MIN_TRANSFER_RATE: f64 = 1_000_000.0;
const WHOLE_REPLY_TIME: Duration = Duration::from_secs(1);

/// What the messages with entries to all members have in common.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntrySender<'a> {
    pub(crate) log: &'a RaftLog,
    pub(crate) settings: &'a RaftSettings,
    pub(crate) commit_index: LogIndex,
    pub(crate) mark: RoundMark,
}

impl EntrySender<'_> {
    /// Message that searches for the match index of a member, with small entries at most.
    pub(crate) fn probe(self, peer: &mut PeerProgress) -> Option<MessageBody> {
        let first_size = self.log.entry(peer.next_index).map_or(0, LogEntry::size);
        let fits = first_size <= MAX_PROBE_BYTES;
        self.append(peer, if fits { MAX_PROBE_BYTES } else { 0 })
    }

    /// Next message to a member whose match index is known.
    pub(crate) fn replicate(self, peer: &mut PeerProgress, new_round: bool) -> Option<MessageBody> {
        let (log, settings) = (self.log, self.settings);
        let next_index = peer.next_index;
        let last_sent = next_index.previous();
        let in_window = next_index.0 <= peer.match_index.0 + settings.max_inflight_entries
            && log.bytes_between(peer.match_index, last_sent) < settings.max_inflight_bytes;
        let next = log.entry(next_index);
        let is_large = next.is_some_and(|entry| entry.data_bytes() > settings.max_append_bytes);
        let may_append = in_window && !is_large;
        let has_small = next.is_some() && may_append;
        if new_round || has_small || peer.sent_commit_index < self.commit_index {
            let max_bytes = if may_append {
                settings.max_append_bytes
            } else {
                0
            };
            let body = self.append(peer, max_bytes);
            if let Some(MessageBody::Append(request)) = &body {
                peer.next_index = LogIndex(next_index.0 + request.entries.len() as u64);
            }
            return body;
        }
        // A large entry waits until all entries before it have arrived, so that a chunk is never
        // refused for want of an earlier entry.
        if !is_large || peer.match_index != last_sent {
            return None;
        }
        if peer.takes_chunks {
            self.entry_chunk(peer)
        } else {
            self.whole_entry(peer)
        }
    }

    /// Entries from the next index on, or a heartbeat if the next entry does not fit.
    fn append(self, peer: &mut PeerProgress, max_bytes: usize) -> Option<MessageBody> {
        let previous_index = peer.next_index.previous();
        let previous_term = self.log.term_at(previous_index)?;
        peer.sent_commit_index = self.commit_index;
        Some(MessageBody::Append(AppendRequest {
            mark: self.mark,
            previous_index,
            previous_term,
            commit: self.commit_index,
            entries: self.log.entries_from(peer.next_index, max_bytes),
        }))
    }

    /// Heartbeat that a member accepts whose log matches up to `match_index`, also if this log no
    /// longer holds that entry.
    pub(crate) fn heartbeat_after(self, match_index: LogIndex) -> MessageBody {
        let term = self.log.term_at(match_index);
        let previous_index = term.map_or(LogIndex(0), |_| match_index);
        MessageBody::Append(AppendRequest {
            mark: self.mark,
            previous_index,
            previous_term: term.unwrap_or_default(),
            commit: self.commit_index,
            entries: Vec::new(),
        })
    }

    /// Next chunk of the entry at the next index, unless one is under way.
    fn entry_chunk(self, peer: &mut PeerProgress) -> Option<MessageBody> {
        let entry = self.log.entry(peer.next_index)?;
        let EntryBody::Data(data) = &entry.body else {
            return None;
        };
        let started = EntryTransfer {
            index: entry.index,
            term: entry.term,
            offset: 0,
        };
        let is_current =
            |transfer: &EntryTransfer| (transfer.index, transfer.term) == (entry.index, entry.term);
        let transfer = peer.entry_transfer.filter(is_current).unwrap_or(started);
        let max_bytes = self.settings.max_chunk_bytes;
        let max_bytes = peer.pace.start_chunk(max_bytes, self.mark.sent)?;
        peer.entry_transfer = Some(transfer);
        let start = (transfer.offset as usize).min(data.len());
        let end = (start + max_bytes).min(data.len());
        Some(MessageBody::EntryChunk(EntryChunk {
            mark: self.mark,
            previous_index: entry.index.previous(),
            previous_term: self.log.term_at(entry.index.previous())?,
            term: entry.term,
            commit: self.commit_index,
            offset: start as u64,
            total: data.len() as u64,
            data: data[start..end].into(),
        }))
    }

    /// The entry at the next index as a whole, unless it was sent so lately that its reply may still
    /// come.
    fn whole_entry(self, peer: &mut PeerProgress) -> Option<MessageBody> {
        let (index, now) = (peer.next_index, self.mark.sent);
        let is_under_way = |(sent, until): (LogIndex, TimePoint)| sent == index && now < until;
        if peer.whole_entry.is_some_and(is_under_way) {
            return None;
        }
        let size = self.log.entry(index)?.size();
        let transfer = Duration::from_secs_f64(size as f64 / MIN_TRANSFER_RATE);
        peer.whole_entry = Some((index, now + WHOLE_REPLY_TIME + transfer));
        // The next index stays, so that a heartbeat that overtakes the entry is accepted.
        self.append(peer, size)
    }
}
