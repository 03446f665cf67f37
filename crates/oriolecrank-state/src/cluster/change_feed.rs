//! Recent state changes for subscribers.

use std::collections::VecDeque;

use oriolecrank_schema::codec;
use oriolecrank_schema::control::{
    DocumentDelta, SubscriptionFrame, SuspectRecord, UpstreamRecord,
};
use oriolecrank_schema::document::UpstreamId;

use super::cluster_state::LogIndex;
use crate::document::Revision;

/// Maximum number of buffered changes; a subscriber that lags further behind needs a snapshot.
pub const MAX_FEED_CHANGES: usize = 1_024;

/// Maximum total encoded size of the buffered changes, in bytes; the oldest are evicted first.
pub const MAX_FEED_BYTES: usize = 16 * 1024 * 1024;

/// A new revision of the document.
#[derive(Debug, Clone, PartialEq)]
pub struct DocumentChange {
    /// Revision that the delta applies to.
    pub base: Revision,
    /// Revision that results from the delta.
    pub revision: Revision,
    /// Difference between the two documents.
    pub delta: DocumentDelta,
}

/// Changes made by one log entry, as sent to subscribers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StateChange {
    /// Log index of the entry.
    pub index: LogIndex,
    /// New document revision, if one was committed.
    pub document: Option<DocumentChange>,
    /// Records of the upstreams that joined or changed.
    pub updated: Vec<UpstreamRecord>,
    /// Names of the upstreams that were removed.
    pub removed: Vec<UpstreamId>,
    /// Records of all suspects and refused fingerprints, if any of them changed.
    pub suspects: Option<Vec<SuspectRecord>>,
}

impl StateChange {
    /// Whether there is nothing to send to subscribers.
    pub fn is_empty(&self) -> bool {
        self.document.is_none()
            && self.updated.is_empty()
            && self.removed.is_empty()
            && self.suspects.is_none()
    }

    /// Frames that update a subscriber from the state before the entry to the state after it.
    pub fn frames(&self) -> Vec<SubscriptionFrame> {
        let mut frames = Vec::new();
        if let Some(change) = &self.document {
            frames.push(SubscriptionFrame::Document {
                base_revision: change.base.0,
                delta: change.delta.clone(),
                revision: change.revision.0,
            });
        }
        if !self.updated.is_empty() || !self.removed.is_empty() {
            frames.push(SubscriptionFrame::Upstreams {
                removed: self.removed.clone(),
                updated: self.updated.clone(),
            });
        }
        if let Some(records) = &self.suspects {
            frames.push(SubscriptionFrame::Suspects {
                records: records.clone(),
            });
        }
        frames
    }

    fn encoded_len(&self) -> usize {
        let frames = self.frames();
        frames.iter().map(|frame| codec::encode(frame).len()).sum()
    }
}

/// Buffer of the newest changes; it is not part of snapshots.
#[derive(Debug, Clone, Default)]
pub(crate) struct ChangeFeed {
    changes: VecDeque<SizedChange>,
    /// `changes` contains every change after this index.
    start_index: LogIndex,
    /// Total encoded size of `changes`.
    bytes: usize,
}

#[derive(Debug, Clone)]
struct SizedChange {
    change: StateChange,
    bytes: usize,
}

impl ChangeFeed {
    /// An empty feed for a state that was restored at `start_index`.
    pub(crate) fn starting_at(start_index: LogIndex) -> Self {
        Self {
            start_index,
            ..Self::default()
        }
    }

    /// Appends a change unless it is empty, and evicts the oldest ones beyond the limits.
    pub(crate) fn push(&mut self, change: StateChange) {
        if change.is_empty() {
            return;
        }
        let bytes = change.encoded_len();
        self.bytes += bytes;
        self.changes.push_back(SizedChange { change, bytes });
        while self.changes.len() > MAX_FEED_CHANGES || self.bytes > MAX_FEED_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= oldest.bytes;
            self.start_index = oldest.change.index;
        }
    }

    /// Changes after `index`, or `None` if some of them have been evicted.
    pub(crate) fn since(&self, index: LogIndex) -> Option<impl Iterator<Item = &StateChange>> {
        if index < self.start_index {
            return None;
        }
        let start = self
            .changes
            .partition_point(|sized| sized.change.index <= index);
        Some(self.changes.range(start..).map(|sized| &sized.change))
    }
}
