//! Directory of the upstreams that announce themselves.
//!
//! Each control instance has a directory and merges announcements from upstreams and from the other
//! control instances. Announcements are ordered by the start time and sequence number that the
//! upstream states, never by arrival, so that all directories converge.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use serde::{Deserialize, Serialize};

use crate::departure_table::DepartureTable;
use crate::names::{DomainName, ServiceName, SoftwareVersion, UpstreamName};

/// Time without an announcement after which an upstream is taken for lost: four heartbeats.
pub(crate) const SILENT_AFTER: Duration = Duration::from_millis(4_800);

/// Role of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EngineRole {
    /// Prefills prompts for decode engines; does not serve requests.
    Prefill,
    /// Serves requests; can also prefill their prompts.
    Decode,
}

/// Readiness of an upstream, as stated by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum UpstreamReadiness {
    /// Takes requests.
    Ready,
    /// Finishes its running requests and takes no new ones.
    Draining,
    /// Has exited or is about to exit.
    Left,
}

/// Announcement by which an upstream registers and reports its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamAnnouncement {
    /// Identity of the upstream, which may be the same after a restart.
    pub name: UpstreamName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Readiness for requests.
    pub state: UpstreamReadiness,
    /// Version of its software, as opposed to that of a model; `None` if it states none.
    #[serde(default)]
    pub version: Option<SoftwareVersion>,
    /// Role of a model engine; `None` for other upstreams.
    #[serde(rename = "phase")]
    pub role: Option<EngineRole>,
    /// Time from the announcement for which the upstream remains slow after its start.
    #[serde(rename = "cold_for")]
    pub warmup_remaining: Duration,
    /// Start of this incarnation, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Rising number of the announcement within the incarnation.
    pub sequence: u64,
}

impl UpstreamAnnouncement {
    /// Sort key: a newer incarnation, then a newer announcement, is greater.
    const fn order(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }

    /// Whether both announcements have the same effect on entries.
    fn is_equivalent_for_entries(&self, other: &Self) -> bool {
        self.address == other.address
            && self.service == other.service
            && self.state == other.state
            && self.role == other.role
            && self.version == other.version
            && self.started_ms == other.started_ms
            && self.slots == other.slots
    }
}

/// An upstream that has stated to an entry that it leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingUpstream {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Start of the incarnation that leaves, in milliseconds of Unix time.
    pub started_ms: u64,
}

/// An upstream as a directory knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Newest announcement.
    pub announcement: UpstreamAnnouncement,
    /// When the newest announcement was received, here or at another control instance.
    pub received_at: TimePoint,
    /// Revision of the directory at the last change that matters to entries.
    pub changed_revision: u64,
    /// Revision at the last announcement that is passed on to entries, including one that only
    /// shows that the upstream is alive.
    pub refreshed_revision: u64,
    /// Time of that announcement.
    pub refreshed_at: TimePoint,
}

/// Effect of an announcement on the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeEffect {
    /// Something changed that entries must know.
    Changed,
    /// The announcement is newer but changes nothing; it is passed on to show that the upstream is
    /// alive.
    Refreshed,
    /// The announcement is newer but changes nothing, and another was passed on within the refresh
    /// interval.
    Repeated,
    /// The announcement is not newer than what is known.
    Stale,
}

/// Time limits of an [`UpstreamDirectory`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectorySettings {
    /// Time for which the record of an upstream that has left is retained, so that a delayed
    /// announcement does not bring it back. Announcements may be delayed by some seconds.
    pub left_retention: Duration,
    /// Shortest interval between unchanged announcements of an upstream that are passed on. It must
    /// be well below [`ChooserSettings::silent_after`](crate::ChooserSettings::silent_after).
    pub refresh_interval: Duration,
    /// Time after which a silent upstream is removed. Long, because a partition between upstreams
    /// and control instances does not stop the upstreams from serving.
    pub silent_retention: Duration,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            left_retention: Duration::from_mins(1),
            refresh_interval: Duration::from_secs(2),
            silent_retention: Duration::from_mins(1),
        }
    }
}

/// Upstreams by name. An older incarnation at the address of a newer one is marked as left.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    settings: DirectorySettings,
    records: IndexMap<UpstreamName, UpstreamRecord>,
    /// Incremented by each announcement that is passed on to entries.
    revision: u64,
    /// Revision of the newest change that matters to entries.
    changed_revision: u64,
}

impl UpstreamDirectory {
    /// Creates an empty directory.
    pub fn new(settings: DirectorySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Revision of the newest announcement that is passed on to entries.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the newest change that matters to entries.
    pub const fn changed_revision(&self) -> u64 {
        self.changed_revision
    }

    /// Merges an announcement that was received at `received_at`.
    pub fn merge(
        &mut self,
        announcement: UpstreamAnnouncement,
        received_at: TimePoint,
    ) -> MergeEffect {
        if self.is_replaced(&announcement) {
            return MergeEffect::Stale;
        }
        let known = self.records.get(&announcement.name);
        let mut announcement = announcement;
        if let Some(known) = known {
            let previous = &known.announcement;
            let same_incarnation = previous.started_ms == announcement.started_ms;
            // A departure, and what an entry was told, have no sequence number of their own. Draining
            // and departure are final for the incarnation.
            let newer = announcement.order() > previous.order();
            let departs = same_incarnation && announcement.state > previous.state;
            if !(newer || departs) {
                return MergeEffect::Stale;
            }
            if !newer {
                // Only the state of an older announcement counts.
                let state = announcement.state;
                announcement = previous.clone();
                announcement.state = state;
            }
            if same_incarnation {
                announcement.state = announcement.state.max(previous.state);
            }
        }
        let changed =
            known.is_none_or(|known| !known.announcement.is_equivalent_for_entries(&announcement));
        let last = known.map(|known| {
            (
                known.received_at,
                known.changed_revision,
                known.refreshed_revision,
                known.refreshed_at,
            )
        });
        let (last_received, last_changed_revision, last_refreshed_revision, last_refreshed_at) =
            last.unwrap_or_default();
        let received_at = last_received.max(received_at);
        let refreshes =
            changed || received_at.since(last_refreshed_at) >= self.settings.refresh_interval;
        if refreshes {
            self.revision += 1;
        }
        let record = UpstreamRecord {
            received_at,
            changed_revision: if changed {
                self.revision
            } else {
                last_changed_revision
            },
            refreshed_revision: if refreshes {
                self.revision
            } else {
                last_refreshed_revision
            },
            refreshed_at: if refreshes {
                received_at
            } else {
                last_refreshed_at
            },
            announcement,
        };
        self.retire_predecessors(&record.announcement);
        self.records
            .insert(record.announcement.name.clone(), record);
        if changed {
            self.changed_revision = self.revision;
            return MergeEffect::Changed;
        }
        if refreshes {
            MergeEffect::Refreshed
        } else {
            MergeEffect::Repeated
        }
    }

    /// Marks the upstream `name` as left, for a departure message that states only the name and
    /// perhaps the start time. Returns the merged announcement; `None` if the upstream is unknown
    /// or `started_ms` is that of another incarnation.
    pub fn mark_left(
        &mut self,
        name: &str,
        started_ms: Option<u64>,
        now: TimePoint,
    ) -> Option<UpstreamAnnouncement> {
        let known = &self.records.get(name)?.announcement;
        if started_ms.is_some_and(|started| started != known.started_ms) {
            return None;
        }
        let departure = UpstreamAnnouncement {
            state: UpstreamReadiness::Left,
            ..known.clone()
        };
        self.merge(departure.clone(), now);
        Some(departure)
    }

    /// Marks upstreams as draining or left that the replicated state knows as such.
    pub fn apply_departures(&mut self, departures: &DepartureTable) {
        let behind = self.records.values().filter_map(|record| {
            let departed = departures.with_known_state(record.announcement.clone());
            (departed.state != record.announcement.state).then_some((departed, record.received_at))
        });
        for (departed, received_at) in behind.collect::<Vec<_>>() {
            self.merge(departed, received_at);
        }
    }

    /// Marks an upstream as draining that has stated to an entry that it leaves. Has no effect on
    /// another incarnation.
    pub fn mark_draining(&mut self, leaving: &LeavingUpstream) {
        let Some(record) = self.records.get(&leaving.upstream) else {
            return;
        };
        let known = &record.announcement;
        if known.started_ms != leaving.started_ms || known.state != UpstreamReadiness::Ready {
            return;
        }
        let draining = UpstreamAnnouncement {
            state: UpstreamReadiness::Draining,
            ..known.clone()
        };
        self.merge(draining, record.received_at);
    }

    /// Number of records, including upstreams that have left recently.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.records.values()
    }

    /// Record of the upstream `name`.
    pub fn get(&self, name: &str) -> Option<&UpstreamRecord> {
        self.records.get(name)
    }

    /// Whether a later incarnation of the upstream is known, or a later one of its service at its
    /// address.
    pub fn has_successor(&self, upstream: &UpstreamAnnouncement) -> bool {
        self.records.values().any(|record| {
            let other = &record.announcement;
            other.service == upstream.service
                && other.started_ms > upstream.started_ms
                && (other.name == upstream.name || other.address == upstream.address)
        })
    }

    /// Records with an announcement passed on after `revision`.
    pub fn since(&self, revision: u64) -> impl Iterator<Item = &UpstreamRecord> {
        self.records
            .values()
            .filter(move |record| record.refreshed_revision > revision)
    }

    /// Removes records whose retention time has passed.
    pub fn prune(&mut self, now: TimePoint) {
        let settings = &self.settings;
        self.records.retain(|_, record| {
            let age = now.since(record.received_at);
            match record.announcement.state {
                UpstreamReadiness::Left => age < settings.left_retention,
                UpstreamReadiness::Ready | UpstreamReadiness::Draining => {
                    age < settings.silent_retention
                }
            }
        });
    }

    /// Whether a newer incarnation is known at the address of the announcement.
    fn is_replaced(&self, announcement: &UpstreamAnnouncement) -> bool {
        self.records.values().any(|record| {
            let other = &record.announcement;
            other.address == announcement.address
                && other.name != announcement.name
                && other.started_ms > announcement.started_ms
        })
    }

    /// Marks older incarnations at the address of a new announcement as left.
    fn retire_predecessors(&mut self, announcement: &UpstreamAnnouncement) {
        let revision = self.revision;
        for record in self.records.values_mut() {
            let other = &mut record.announcement;
            let replaced = other.address == announcement.address
                && other.name != announcement.name
                && other.started_ms < announcement.started_ms
                && other.state != UpstreamReadiness::Left;
            if replaced {
                other.state = UpstreamReadiness::Left;
                record.changed_revision = revision;
                record.refreshed_revision = revision;
                self.changed_revision = revision;
            }
        }
    }
}
