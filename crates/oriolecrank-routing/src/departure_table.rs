//! Departures that were acknowledged to upstreams, as part of the replicated state.
//!
//! An upstream that has said that it leaves may get no more requests, whichever process remembers it.
//! Its earlier announcements may still arrive, seconds late and at any control instance, also after all
//! processes have ended and started again.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::UpstreamName;
use crate::upstream_directory::{UpstreamAnnouncement, UpstreamReadiness};

/// Largest number of upstreams whose departure is retained; those that left first are dropped first.
/// It is more than twice the number of upstreams of the largest site, and late announcements arrive
/// within seconds.
const MAX_DEPARTURES: usize = 4_096;

/// Statement that an incarnation of an upstream drains or has left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDeparture {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Start of the incarnation, in milliseconds of Unix time.
    pub started_ms: u64,
    /// How far it has left. A statement that it is ready is no departure.
    pub state: UpstreamReadiness,
}

impl From<&UpstreamAnnouncement> for UpstreamDeparture {
    fn from(announcement: &UpstreamAnnouncement) -> Self {
        Self {
            upstream: announcement.name.clone(),
            started_ms: announcement.started_ms,
            state: announcement.state,
        }
    }
}

/// Newest departure of each upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureTable {
    /// In the order in which they were recorded; the start time of an upstream's entry never
    /// decreases, and its state never goes back within an incarnation.
    departures: IndexMap<UpstreamName, DepartedIncarnation>,
    /// Number of changes so far.
    revision: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct DepartedIncarnation {
    started_ms: u64,
    state: UpstreamReadiness,
}

impl DepartureTable {
    /// Records a departure; returns false if the table contains it, or a later one of the upstream.
    pub fn record(&mut self, departure: &UpstreamDeparture) -> bool {
        if self.contains(departure) {
            return false;
        }
        // Removed first, so that the newest departure is the last one in the order.
        self.departures.shift_remove(&departure.upstream);
        let incarnation = DepartedIncarnation {
            started_ms: departure.started_ms,
            state: departure.state,
        };
        self.departures
            .insert(departure.upstream.clone(), incarnation);
        if self.departures.len() > MAX_DEPARTURES {
            self.departures.shift_remove_index(0);
        }
        self.revision += 1;
        true
    }

    /// Whether a departure changes nothing, because the table contains it or a later one.
    pub fn contains(&self, departure: &UpstreamDeparture) -> bool {
        let known = self.state_of(&departure.upstream, departure.started_ms);
        departure.state == UpstreamReadiness::Ready
            || known.is_some_and(|state| state >= departure.state)
    }

    /// State beyond which an incarnation cannot go back; `None` if it has not said that it leaves. An
    /// earlier incarnation than one that leaves has ended.
    pub fn state_of(&self, upstream: &UpstreamName, started_ms: u64) -> Option<UpstreamReadiness> {
        let departed = self.departures.get(upstream)?;
        match started_ms.cmp(&departed.started_ms) {
            std::cmp::Ordering::Less => Some(UpstreamReadiness::Left),
            std::cmp::Ordering::Equal => Some(departed.state),
            std::cmp::Ordering::Greater => None,
        }
    }

    /// Announcement with the state that its upstream has at least.
    pub fn with_known_state(&self, announcement: UpstreamAnnouncement) -> UpstreamAnnouncement {
        let known = self.state_of(&announcement.name, announcement.started_ms);
        let state = known.map_or(announcement.state, |known| known.max(announcement.state));
        UpstreamAnnouncement {
            state,
            ..announcement
        }
    }

    /// Number of changes so far.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of upstreams whose departure is retained.
    pub fn len(&self) -> usize {
        self.departures.len()
    }

    /// Whether no departure is retained.
    pub fn is_empty(&self) -> bool {
        self.departures.is_empty()
    }
}
