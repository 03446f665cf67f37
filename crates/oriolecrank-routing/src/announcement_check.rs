//! Checks of announcements that come from outside the cluster.

use snafu::{Snafu, ensure};

use crate::upstream_directory::UpstreamAnnouncement;

/// Longest name of an upstream, service, failure domain or software version, in bytes. Announcements
/// are passed on in lists, which must fit into a message with those of all other upstreams.
const MAX_NAME_BYTES: usize = 256;

/// Why an announcement is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum AnnouncementError {
    /// A name is too long.
    #[snafu(display("a name of {length} bytes is too long; at most {MAX_NAME_BYTES} are allowed"))]
    LongName {
        /// Length of the name, in bytes.
        length: usize,
    },
}

impl UpstreamAnnouncement {
    /// Checks an announcement that an upstream, or another writer, has sent.
    ///
    /// # Errors
    ///
    /// Returns the first [`AnnouncementError`] that is found.
    pub fn check(&self) -> Result<(), AnnouncementError> {
        let names = [
            self.name.as_str(),
            self.service.as_str(),
            self.domain.as_str(),
            self.version.as_ref().map_or("", |version| version.as_str()),
        ];
        for name in names {
            let length = name.len();
            ensure!(length <= MAX_NAME_BYTES, LongNameSnafu { length });
        }
        Ok(())
    }
}
