//! Upstreams that announce themselves.
//!
//! Each control instance has a directory and merges announcements from upstreams and from the other
//! control instances. The order of announcements is decided by what the upstream says of itself
//! (start time and sequence number), never by arrival, so that all directories converge.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use serde::{Deserialize, Serialize};

use crate::names::{DomainName, ServiceName, UpstreamName};

/// Part that a model engine plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EngineRole {
    /// Reads prompts for engines of the other phase; does not run requests.
    Prefill,
    /// Runs requests.
    Decode,
}

/// What an upstream says of its readiness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum UpstreamReadiness {
    /// Takes requests.
    Ready,
    /// Finishes what it runs and takes no new requests.
    Draining,
    /// Is gone or about to exit.
    Left,
}

/// One statement of an upstream about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamAnnouncement {
    /// Identity; one upstream may keep it over restarts.
    pub name: UpstreamName,
    /// Service.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Readiness.
    pub state: UpstreamReadiness,
    /// Phase, if it is a model engine.
    #[serde(rename = "phase")]
    pub role: Option<EngineRole>,
    /// Time for which it remains slow after its start.
    #[serde(rename = "cold_for")]
    pub warmup_remaining: Duration,
    /// Start of this incarnation, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Number of the statement within the incarnation.
    pub sequence: u64,
}

impl UpstreamAnnouncement {
    /// Order of statements: a newer incarnation first, then a newer statement.
    const fn order(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }

    /// Whether the two statements mean the same to an entry.
    fn same_meaning(&self, other: &Self) -> bool {
        self.address == other.address
            && self.service == other.service
            && self.state == other.state
            && self.role == other.role
            && self.started_ms == other.started_ms
            && self.slots == other.slots
    }
}

/// An upstream as a directory knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Newest statement.
    pub announcement: UpstreamAnnouncement,
    /// When the newest statement arrived, here or at another control instance.
    pub received_at: TimePoint,
    /// Revision of the directory at the last change that matters to entries.
    pub changed: u64,
    /// Revision at the last statement that entries are told of, also one that changed nothing.
    pub refreshed: u64,
    /// Time of that statement.
    pub told: TimePoint,
}

/// Effect of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeEffect {
    /// Something changed that entries must know.
    Changed,
    /// The statement is newer, but says the same as the one before; others should know that the
    /// upstream is there.
    Refreshed,
    /// As above, but others have been told a moment ago.
    Repeated,
    /// The statement is not newer than what is known.
    Stale,
}

/// Times of an [`UpstreamDirectory`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectorySettings {
    /// A record of an upstream that has left is kept for this long, so that a delayed statement does
    /// not bring it back. Statements may be delayed by some seconds on the way.
    pub keep_left: Duration,
    /// Others are told that an upstream is there at most once in this time; it must be well below the
    /// silence after which entries avoid an upstream.
    pub refresh_every: Duration,
    /// A silent upstream is dropped after this time. Long, because a partition between upstreams
    /// and control does not stop them from serving.
    pub keep_silent: Duration,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            keep_left: Duration::from_mins(1),
            refresh_every: Duration::from_secs(2),
            keep_silent: Duration::from_mins(1),
        }
    }
}

/// Directory of upstreams; only names of the newest incarnation at an address are listed as usable.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    settings: DirectorySettings,
    records: IndexMap<UpstreamName, UpstreamRecord>,
    /// Raised by each statement that is not stale.
    revision: u64,
    /// Revision of the newest change that matters to entries.
    changed: u64,
}

impl UpstreamDirectory {
    /// An empty directory.
    pub fn new(settings: DirectorySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Revision of the newest statement.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the newest change that matters to entries.
    pub const fn changed_revision(&self) -> u64 {
        self.changed
    }

    /// Takes a statement that was received at `received_at`.
    pub fn merge(
        &mut self,
        statement: UpstreamAnnouncement,
        received_at: TimePoint,
    ) -> MergeEffect {
        if self.is_replaced(&statement) {
            return MergeEffect::Stale;
        }
        let known = self.records.get(&statement.name);
        let mut statement = statement;
        if let Some(known) = known {
            let before = &known.announcement;
            let same_run = before.started_ms == statement.started_ms;
            // A farewell has no number of its own, and nothing takes it back.
            let farewell = same_run && statement.state == UpstreamReadiness::Left;
            let newer = statement.order() > before.order();
            let departs = farewell && before.state != UpstreamReadiness::Left;
            if !(newer || departs) {
                return MergeEffect::Stale;
            }
            if same_run {
                statement.state = statement.state.max(before.state);
                statement.sequence = statement.sequence.max(before.sequence);
            }
        }
        let changed = known.is_none_or(|known| !known.announcement.same_meaning(&statement));
        let last = known.map(|known| {
            (
                known.received_at,
                known.changed,
                known.refreshed,
                known.told,
            )
        });
        let (last_heard, last_change, last_refresh, last_told) = last.unwrap_or_default();
        let received_at = last_heard.max(received_at);
        let refreshes = changed || received_at.since(last_told) >= self.settings.refresh_every;
        if refreshes {
            self.revision += 1;
        }
        let record = UpstreamRecord {
            received_at,
            changed: if changed { self.revision } else { last_change },
            refreshed: if refreshes {
                self.revision
            } else {
                last_refresh
            },
            told: if refreshes { received_at } else { last_told },
            announcement: statement,
        };
        self.retire_predecessors(&record.announcement);
        self.records
            .insert(record.announcement.name.clone(), record);
        if changed {
            self.changed = self.revision;
            return MergeEffect::Changed;
        }
        if refreshes {
            MergeEffect::Refreshed
        } else {
            MergeEffect::Repeated
        }
    }

    /// Notes that the upstream called `name` has left, for a farewell that names nothing else.
    /// `started_ms` is given if the farewell states it.
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
        let farewell = UpstreamAnnouncement {
            state: UpstreamReadiness::Left,
            ..known.clone()
        };
        self.merge(farewell.clone(), now);
        Some(farewell)
    }

    /// Number of records, also of upstreams that have left a moment ago.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// A record by name.
    pub fn get(&self, name: &str) -> Option<&UpstreamRecord> {
        self.records.get(name)
    }

    /// Records with a statement after `revision`.
    pub fn since(&self, revision: u64) -> impl Iterator<Item = &UpstreamRecord> {
        self.records
            .values()
            .filter(move |record| record.refreshed > revision)
    }

    /// Drops records that are no longer needed.
    pub fn prune(&mut self, now: TimePoint) {
        let settings = &self.settings;
        self.records.retain(|_, record| {
            let age = now.since(record.received_at);
            match record.announcement.state {
                UpstreamReadiness::Left => age < settings.keep_left,
                UpstreamReadiness::Ready | UpstreamReadiness::Draining => {
                    age < settings.keep_silent
                }
            }
        });
    }

    /// Whether a newer incarnation is known at the address of a statement.
    fn is_replaced(&self, statement: &UpstreamAnnouncement) -> bool {
        self.records.values().any(|record| {
            let other = &record.announcement;
            other.address == statement.address
                && other.name != statement.name
                && other.started_ms > statement.started_ms
        })
    }

    /// Marks older incarnations at the address of a new statement as gone.
    fn retire_predecessors(&mut self, statement: &UpstreamAnnouncement) {
        let revision = self.revision;
        for record in self.records.values_mut() {
            let other = &mut record.announcement;
            let replaced = other.address == statement.address
                && other.name != statement.name
                && other.started_ms < statement.started_ms
                && other.state != UpstreamReadiness::Left;
            if replaced {
                other.state = UpstreamReadiness::Left;
                record.changed = revision;
                record.refreshed = revision;
                self.changed = revision;
            }
        }
    }
}
