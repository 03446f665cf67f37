//! Checks of announcements and departures that come from outside the cluster.

use snafu::{Snafu, ensure};

use crate::departure_table::UpstreamDeparture;
use crate::upstream_directory::UpstreamAnnouncement;

/// Longest name of an upstream, service, failure domain or software version, in bytes. Announcements
/// are passed on in lists, which must fit into a message with those of all other upstreams.
const MAX_NAME_BYTES: usize = 256;

/// Longest time by which the start of an upstream may lie ahead of the clock of the receiver, in
/// milliseconds. Clocks are wrong by seconds; a start time that lies further ahead would make all
/// announcements of the real upstream look outdated.
const MAX_START_LEAD_MS: u64 = 24 * 3_600 * 1_000;

/// Largest number of an announcement: integers up to here are exact in every JSON parser. A larger one
/// would leave the upstream no number for its next announcement.
const MAX_SEQUENCE: u64 = 1 << 53;

/// Why an announcement or a departure is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum AnnouncementError {
    /// A name is too long.
    #[snafu(display("a name of {length} bytes is too long; at most {MAX_NAME_BYTES} are allowed"))]
    LongName {
        /// Length of the name, in bytes.
        length: usize,
    },
    /// The start time lies far ahead.
    #[snafu(display("the start time {started_ms} lies over a day ahead of the time here"))]
    FutureStart {
        /// Start time, in milliseconds of Unix time.
        started_ms: u64,
    },
    /// The number of the announcement is too large.
    #[snafu(display("the number {sequence} is too large; at most {MAX_SEQUENCE} is allowed"))]
    LargeSequence {
        /// Number of the announcement.
        sequence: u64,
    },
}

impl UpstreamAnnouncement {
    /// Checks an announcement that an upstream, or another writer, has sent; `unix_ms` is the present
    /// Unix time, in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns the first [`AnnouncementError`] that is found.
    pub fn check(&self, unix_ms: u64) -> Result<(), AnnouncementError> {
        let names = [
            self.name.as_str(),
            self.service.as_str(),
            self.domain.as_str(),
            self.version.as_ref().map_or("", |version| version.as_str()),
        ];
        for name in names {
            check_name(name)?;
        }
        check_start(self.started_ms, unix_ms)?;
        let sequence = self.sequence;
        ensure!(sequence <= MAX_SEQUENCE, LargeSequenceSnafu { sequence });
        Ok(())
    }
}

impl UpstreamDeparture {
    /// Checks a departure that an upstream, or another writer, has sent; `unix_ms` is the present Unix
    /// time, in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns the first [`AnnouncementError`] that is found.
    pub fn check(&self, unix_ms: u64) -> Result<(), AnnouncementError> {
        check_name(self.upstream.as_str())?;
        check_start(self.started_ms, unix_ms)
    }
}

fn check_name(name: &str) -> Result<(), AnnouncementError> {
    let length = name.len();
    ensure!(length <= MAX_NAME_BYTES, LongNameSnafu { length });
    Ok(())
}

fn check_start(started_ms: u64, unix_ms: u64) -> Result<(), AnnouncementError> {
    let latest_ms = unix_ms.saturating_add(MAX_START_LEAD_MS);
    ensure!(started_ms <= latest_ms, FutureStartSnafu { started_ms });
    Ok(())
}
