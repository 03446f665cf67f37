//! Replicated state of a site, which is a control group with its entries and upstreams: the newest
//! route document, the closed usage windows, where streams began, which upstreams have
//! left, and which requests crash upstreams.

use std::collections::BTreeMap;

use bytes::Bytes;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::codec::{self, CodecError};
use serde::{Deserialize, Serialize};

use crate::crash_suspect::CrashSuspect;
use crate::departure_table::{DepartureTable, UpstreamDeparture};
use crate::stream_origin::{RecordedStream, StreamOrigin, StreamOrigins};
use crate::suspect_quarantine::SuspectQuarantine;
use crate::suspect_report::{HeldRefusal, SuspectReport};
use crate::usage_window::{OrganisationCounts, WindowNumber};

/// Number of closed windows to retain; a window that is dropped is no longer reported. A report is
/// due within two windows of the end.
const MAX_CLOSED_WINDOWS: usize = 64;

/// Typical size of an encoded state besides the document, in bytes.
const SMALL_PARTS_BYTES: usize = 64 * 1024;

/// A route document as it was submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// Version of the document.
    pub version: u64,
    /// Submitted bytes, which a read returns unchanged. Clones share them.
    pub source: Bytes,
}

/// Largest size of an encoded command with a document besides the document, in bytes.
const COMMAND_HEAD_BYTES: usize = 64;

/// A usage window whose counts are final.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedWindow {
    /// Number of requests of each organisation.
    pub counts: OrganisationCounts,
    /// Whether the usage interface has accepted the counts.
    pub reported: bool,
}

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SiteCommand {
    /// Makes a validated document the active one, if its version is higher than the current one.
    Publish(StoredDocument),
    /// Closes a window with its final counts, unless this window or a later one is closed already.
    CloseWindow {
        /// Window to close.
        window: WindowNumber,
        /// Final counts of the window.
        counts: OrganisationCounts,
    },
    /// Records that the usage interface has accepted the counts of a window.
    MarkReported {
        /// Reported window.
        window: WindowNumber,
    },
    /// Allows streams to begin at upstreams of a software version.
    AdmitOrigin(StreamOrigin),
    /// Forgets a software version of which no stream is left.
    RemoveOrigin(StreamOrigin),
    /// Records at which origins streams have begun.
    RecordStreams(Vec<RecordedStream>),
    /// Drops the streams that were recorded before the last rotation.
    RotateStreams,
    /// Records that an upstream drains or has left.
    Depart(UpstreamDeparture),
    /// Records what entries have reported about crashes.
    RecordSuspects {
        /// Unix time of the leader, by which the ages of the reports count.
        now: TimePoint,
        /// The reports.
        reports: Vec<SuspectReport>,
    },
    /// Takes over refusals that entries hold and the state does not know.
    AdoptRefusals {
        /// Unix time of the leader.
        now: TimePoint,
        /// The refusals.
        refusals: Vec<HeldRefusal>,
    },
    /// Grants one request with a refused suspect, if a trial is due.
    GrantTrial {
        /// Unix time of the leader.
        now: TimePoint,
        /// The refused suspect.
        suspect: CrashSuspect,
    },
}

/// Effect of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteOutcome {
    /// The state has changed.
    Applied,
    /// The command had no effect, because the state already includes it or a newer one.
    Superseded,
}

const fn outcome(changed: bool) -> SiteOutcome {
    if changed {
        SiteOutcome::Applied
    } else {
        SiteOutcome::Superseded
    }
}

/// Replicated state of a site. The same commands in the same order give the same state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteState {
    /// Newest document; its version never decreases.
    document: Option<StoredDocument>,
    /// Closed windows; the counts of a window never change.
    windows: BTreeMap<WindowNumber, ClosedWindow>,
    /// Highest window ever closed. Older windows may have been dropped, and are never closed again.
    #[serde(default)]
    closed_until: WindowNumber,
    /// Where streams began.
    #[serde(default)]
    streams: StreamOrigins,
    /// Upstreams whose departure was acknowledged to them.
    #[serde(default)]
    departures: DepartureTable,
    /// Crashes and refused suspects, by Unix time.
    #[serde(default)]
    suspects: SuspectQuarantine,
}

impl SiteCommand {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Self::Publish(document) => {
                codec::encode_sized(self, document.source.len() + COMMAND_HEAD_BYTES)
            }
            _ => codec::encode(self),
        }
    }
}

impl SiteState {
    /// Applies a command, if it is newer than the state.
    pub fn apply(&mut self, command: SiteCommand) -> SiteOutcome {
        match command {
            SiteCommand::Publish(document) => self.publish(document),
            SiteCommand::CloseWindow { window, counts } => self.close(window, counts),
            SiteCommand::MarkReported { window } => self.mark_reported(window),
            SiteCommand::AdmitOrigin(origin) => outcome(self.streams.admit(origin)),
            SiteCommand::RemoveOrigin(origin) => outcome(self.streams.remove(&origin)),
            SiteCommand::RecordStreams(streams) => {
                self.streams.record(&streams);
                SiteOutcome::Applied
            }
            SiteCommand::RotateStreams => {
                self.streams.rotate();
                SiteOutcome::Applied
            }
            SiteCommand::Depart(departure) => outcome(self.departures.record(&departure)),
            SiteCommand::RecordSuspects { now, reports } => {
                for report in &reports {
                    self.suspects.record(report, now);
                }
                SiteOutcome::Applied
            }
            SiteCommand::AdoptRefusals { now, refusals } => {
                self.suspects.adopt(&refusals, now);
                SiteOutcome::Applied
            }
            SiteCommand::GrantTrial { now, suspect } => {
                outcome(self.suspects.grant_trial(suspect, now))
            }
        }
    }

    /// Where streams began.
    pub const fn streams(&self) -> &StreamOrigins {
        &self.streams
    }

    /// Upstreams that have said that they leave.
    pub const fn departures(&self) -> &DepartureTable {
        &self.departures
    }

    /// Crashes of upstreams and the suspects that are refused because of them.
    pub const fn suspects(&self) -> &SuspectQuarantine {
        &self.suspects
    }

    fn publish(&mut self, document: StoredDocument) -> SiteOutcome {
        let newer = |known: &StoredDocument| document.version > known.version;
        if !self.document.as_ref().is_none_or(newer) {
            return SiteOutcome::Superseded;
        }
        self.document = Some(document);
        SiteOutcome::Applied
    }

    fn close(&mut self, window: WindowNumber, counts: OrganisationCounts) -> SiteOutcome {
        if self.closed_until >= window {
            return SiteOutcome::Superseded;
        }
        self.closed_until = window;
        let reported = false;
        self.windows
            .insert(window, ClosedWindow { counts, reported });
        while self.windows.len() > MAX_CLOSED_WINDOWS {
            self.windows.pop_first();
        }
        SiteOutcome::Applied
    }

    fn mark_reported(&mut self, window: WindowNumber) -> SiteOutcome {
        match self.windows.get_mut(&window) {
            Some(closed) if !closed.reported => {
                closed.reported = true;
                SiteOutcome::Applied
            }
            _ => SiteOutcome::Superseded,
        }
    }

    /// Newest document; `None` before the first one.
    pub const fn document(&self) -> Option<&StoredDocument> {
        self.document.as_ref()
    }

    /// Highest window that is closed; 0 before the first one.
    pub const fn closed_until(&self) -> WindowNumber {
        self.closed_until
    }

    /// Closed windows whose counts the usage interface has not accepted yet, oldest first.
    pub fn unreported_windows(&self) -> impl Iterator<Item = (WindowNumber, &ClosedWindow)> {
        let windows = self.windows.iter().filter(|(_, closed)| !closed.reported);
        windows.map(|(window, closed)| (*window, closed))
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let document = self.document.as_ref();
        let size = document.map_or(0, |document| document.source.len());
        codec::encode_sized(self, size + SMALL_PARTS_BYTES)
    }

    /// Decodes a state; fails if the bytes are not a complete state.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        codec::decode(bytes)
    }
}
