//! Where streams began, as far as callers may resume them at any entry.
//!
//! What two software versions write does not fit together, so a stream may go on only at the version
//! that began it. Versions are admitted one by one: entries begin streams only at admitted versions.
//! While a service has one admitted version, every stream of it began there, and nothing is recorded.
//! While it has several, entries record at which one each stream began.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::names::{ServiceName, SoftwareVersion};

/// Identifies a stream by the request of its caller that received the first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl From<&str> for StreamKey {
    fn from(request_id: &str) -> Self {
        Self(xxh3_64(request_id.as_bytes()))
    }
}

/// Service and software version of the upstream that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Version of its software; `None` if it states none, so that no other upstream is known to have
    /// the same one.
    pub version: Option<SoftwareVersion>,
}

/// Number of an admitted origin; never used again for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OriginNumber(u32);

/// A stream and the origin at which it began.
pub type RecordedStream = (StreamKey, OriginNumber);

/// Admitted origins at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmittedOrigins {
    /// Number of admissions and removals so far.
    pub revision: u64,
    /// Origins at which streams may begin.
    pub origins: Vec<(OriginNumber, StreamOrigin)>,
}

impl AdmittedOrigins {
    /// Admitted origins of a service.
    pub fn of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = &(OriginNumber, StreamOrigin)> {
        let service = service.clone();
        let origins = self.origins.iter();
        origins.filter(move |(_, origin)| origin.service == service)
    }

    /// Admitted software versions of a service.
    pub fn versions_of(&self, service: &ServiceName) -> Vec<Option<SoftwareVersion>> {
        let origins = self.of_service(service);
        origins.map(|(_, origin)| origin.version.clone()).collect()
    }

    /// Whether some service has several admitted origins.
    pub fn has_several_versions(&self) -> bool {
        let services = self.origins.iter().map(|(_, origin)| &origin.service);
        let mut seen = std::collections::BTreeSet::new();
        services.into_iter().any(|service| !seen.insert(service))
    }

    /// The only admitted origin of a service; `None` if there is none or several.
    pub fn only_of(&self, service: &ServiceName) -> Option<&StreamOrigin> {
        let mut origins = self.of_service(service).map(|(_, origin)| origin);
        origins.next().filter(|_| origins.next().is_none())
    }
}

/// Replicated table of admitted origins and recorded streams.
///
/// Records are kept in two generations instead of with times, because the replicas must agree on what
/// is dropped.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigins {
    admitted: AdmittedOrigins,
    next_number: u32,
    recent: BTreeMap<StreamKey, OriginNumber>,
    /// Streams recorded before the last rotation.
    earlier: BTreeMap<StreamKey, OriginNumber>,
}

impl StreamOrigins {
    /// Admits an origin; false if it is admitted already.
    pub(crate) fn admit(&mut self, origin: StreamOrigin) -> bool {
        let admitted = &mut self.admitted;
        if admitted.origins.iter().any(|(_, known)| *known == origin) {
            return false;
        }
        admitted
            .origins
            .push((OriginNumber(self.next_number), origin));
        admitted.revision += 1;
        self.next_number += 1;
        true
    }

    /// Removes an origin; false if it is not admitted. Streams that began there can no longer be
    /// resumed.
    pub(crate) fn remove(&mut self, origin: &StreamOrigin) -> bool {
        let admitted = &mut self.admitted;
        let count = admitted.origins.len();
        admitted.origins.retain(|(_, known)| known != origin);
        let removed = admitted.origins.len() < count;
        admitted.revision += u64::from(removed);
        removed
    }

    /// Records streams. A stream that is known keeps its origin.
    pub(crate) fn record(&mut self, streams: &[RecordedStream]) {
        for (key, number) in streams {
            if !self.earlier.contains_key(key) {
                self.recent.entry(*key).or_insert(*number);
            }
        }
    }

    /// Drops the records before the last rotation.
    pub(crate) fn rotate(&mut self) {
        self.earlier = std::mem::take(&mut self.recent);
    }

    /// Admitted origins.
    pub const fn admitted(&self) -> &AdmittedOrigins {
        &self.admitted
    }

    /// Number of recorded streams.
    pub fn recorded_count(&self) -> usize {
        self.recent.len() + self.earlier.len()
    }

    /// Origin of a recorded stream; `None` if it is not recorded or its origin was removed.
    pub fn find(&self, key: StreamKey) -> Option<&StreamOrigin> {
        let number = self.recent.get(&key).or_else(|| self.earlier.get(&key))?;
        let mut origins = self.admitted.origins.iter();
        let (_, origin) = origins.find(|(known, _)| known == number)?;
        Some(origin)
    }
}
