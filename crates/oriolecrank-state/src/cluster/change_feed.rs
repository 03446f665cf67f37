//! Recent changes of the state for subscribers.

use std::collections::VecDeque;

use oriolecrank_schema::codec;
use oriolecrank_schema::control::{
    DocumentDelta, SubscriptionFrame, SuspectRecord, UpstreamRecord,
};
use oriolecrank_schema::document::UpstreamId;

use super::cluster_state::LogIndex;
use crate::document::Revision;

/// Number of changes that are kept; a subscriber that lags further behind needs a snapshot.
pub const MAX_FEED_CHANGES: usize = 1_024;

/// Total encoded size of the kept changes, in bytes.
pub const MAX_FEED_BYTES: usize = 16 * 1024 * 1024;

/// A new revision of the document.
#[derive(Debug, Clone, PartialEq)]
pub struct DocumentChange {
    /// Revision the delta applies to.
    pub base: Revision,
    /// Revision the delta leads to.
    pub revision: Revision,
    /// Difference of the two.
    pub delta: DocumentDelta,
}

/// What one log entry changed for subscribers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StateChange {
    /// Log index of the entry.
    pub index: LogIndex,
    /// New revision, if one was committed.
    pub document: Option<DocumentChange>,
    /// Upstreams that joined or changed.
    pub updated: Vec<UpstreamRecord>,
    /// Upstreams that were removed.
    pub removed: Vec<UpstreamId>,
    /// All suspects, if any of them changed.
    pub suspects: Option<Vec<SuspectRecord>>,
}

impl StateChange {
    /// Whether subscribers need not be told.
    pub fn is_empty(&self) -> bool {
        self.document.is_none()
            && self.updated.is_empty()
            && self.removed.is_empty()
            && self.suspects.is_none()
    }

    /// Frames that bring a subscriber from the state before the entry to the state after it.
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

/// Ring of the newest changes; it is not part of snapshots.
#[derive(Debug, Clone, Default)]
pub(crate) struct ChangeFeed {
    changes: VecDeque<SizedChange>,
    /// Every change after this index is in `changes`.
    floor: LogIndex,
    /// Sum of the sizes in `changes`.
    bytes: usize,
}

#[derive(Debug, Clone)]
struct SizedChange {
    change: StateChange,
    bytes: usize,
}

impl ChangeFeed {
    /// An empty feed for a state that was restored at `floor`.
    pub(crate) fn starting_at(floor: LogIndex) -> Self {
        Self {
            floor,
            ..Self::default()
        }
    }

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
            self.floor = oldest.change.index;
        }
    }

    /// Changes after `index`, or `None` if some of them are no longer kept.
    pub(crate) fn since(&self, index: LogIndex) -> Option<impl Iterator<Item = &StateChange>> {
        if index < self.floor {
            return None;
        }
        let start = self
            .changes
            .partition_point(|sized| sized.change.index <= index);
        Some(self.changes.range(start..).map(|sized| &sized.change))
    }
}
