//! Choice of the control instance from which an entry fetches the newest document.
//!
//! Control instances only announce the version that they hold. The entry fetches each document from
//! one of them at a time, because several copies of a large document would share the entry's link
//! and delay each other.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;

/// Time for which an instance is passed over after a failed transfer, if another one offers the
/// document.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Versions that control instances have announced to an entry.
#[derive(Debug, Default)]
pub struct DocumentFetch {
    /// In the order in which the instances first announced a version that is still missing.
    offers: IndexMap<SocketAddr, DocumentOffer>,
}

#[derive(Debug, Clone, Copy)]
struct DocumentOffer {
    version: u64,
    /// Start of the next attempt at this instance.
    ready_at: TimePoint,
}

/// Next transfer of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFetch {
    /// Instance to fetch the document from.
    pub source: SocketAddr,
    /// Start of the transfer; in the future if every instance has failed recently.
    pub start_at: TimePoint,
}

impl DocumentFetch {
    /// Records that an instance has announced a version.
    pub fn record_offer(&mut self, source: SocketAddr, version: u64, now: TimePoint) {
        let offer = self.offers.entry(source).or_insert(DocumentOffer {
            version,
            ready_at: now,
        });
        offer.version = offer.version.max(version);
    }

    /// Records that a transfer from an instance has failed.
    pub fn record_failure(&mut self, source: SocketAddr, now: TimePoint) {
        if let Some(offer) = self.offers.get_mut(&source) {
            offer.ready_at = now + RETRY_DELAY;
        }
    }

    /// Next transfer, if a version above `in_force` is offered: from the instance that is ready
    /// first and, among those that are ready, from one with the newest version.
    pub fn next(&mut self, in_force: u64, now: TimePoint) -> Option<PlannedFetch> {
        self.offers.retain(|_, offer| offer.version > in_force);
        let rank = |offer: &DocumentOffer| (offer.ready_at.max(now), u64::MAX - offer.version);
        let (source, offer) = self.offers.iter().min_by_key(|(_, offer)| rank(offer))?;
        Some(PlannedFetch {
            source: *source,
            start_at: offer.ready_at.max(now),
        })
    }
}
