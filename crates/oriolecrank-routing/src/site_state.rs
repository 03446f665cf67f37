//! Replicated state of a site: the newest document and the closed usage windows.

use std::collections::BTreeMap;

use oriolecrank_schema::codec::{self, CodecError};
use serde::{Deserialize, Serialize};

use crate::usage_window::{OrganisationCounts, WindowNumber};

/// Closed windows that are kept. A report is due within two windows of the end; the rest shows a new
/// leader which windows are closed already.
const KEPT_WINDOWS: usize = 64;

/// A document as it was submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// Version.
    pub version: u64,
    /// Bytes of the submission, which a read returns unchanged.
    #[serde(with = "serde_bytes")]
    pub source: Vec<u8>,
}

/// A usage window whose figures are final.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedWindow {
    /// Requests of each organisation.
    pub counts: OrganisationCounts,
    /// The usage interface has accepted the figures.
    pub reported: bool,
}

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SiteCommand {
    /// Puts a checked document in force, unless its version is not higher than the present one.
    Publish(StoredDocument),
    /// Fixes the figures of a window, unless they are fixed already.
    CloseWindow {
        /// The window.
        window: WindowNumber,
        /// Its figures.
        counts: OrganisationCounts,
    },
    /// Notes that the figures of a window were accepted.
    MarkReported {
        /// The window.
        window: WindowNumber,
    },
}

/// Result of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteOutcome {
    /// The state has changed.
    Applied,
    /// The state was newer already.
    Superseded,
}

/// The replicated state. The same commands in the same order give the same state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteState {
    /// Newest document; its version never falls.
    document: Option<StoredDocument>,
    /// Closed windows; the figures of a window never change.
    windows: BTreeMap<WindowNumber, ClosedWindow>,
    /// Highest window ever closed; older ones may have been dropped and are never closed again.
    #[serde(default)]
    closed_until: WindowNumber,
}

impl SiteState {
    /// Applies a command.
    pub fn apply(&mut self, command: SiteCommand) -> SiteOutcome {
        match command {
            SiteCommand::Publish(document) => self.publish(document),
            SiteCommand::CloseWindow { window, counts } => self.close(window, counts),
            SiteCommand::MarkReported { window } => self.mark_reported(window),
        }
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
        while self.windows.len() > KEPT_WINDOWS {
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

    /// Newest document.
    pub const fn document(&self) -> Option<&StoredDocument> {
        self.document.as_ref()
    }

    /// Highest window that is closed.
    pub const fn closed_until(&self) -> WindowNumber {
        self.closed_until
    }

    /// Closed windows that were not accepted yet, oldest first.
    pub fn unreported_windows(&self) -> impl Iterator<Item = (WindowNumber, &ClosedWindow)> {
        let windows = self.windows.iter().filter(|(_, closed)| !closed.reported);
        windows.map(|(window, closed)| (*window, closed))
    }

    /// Encodes the state.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a state.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        codec::decode(bytes)
    }
}
