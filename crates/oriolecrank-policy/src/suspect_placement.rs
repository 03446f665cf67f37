//! Placement of requests that may have crashed an engine.
//!
//! A suspect is rerun apart from other suspects, one on each upstream at a time: if the engine
//! crashes again, the culprit is known, and the innocent are cleared. A refused fingerprint is not
//! placed at all. The same table serves the entries, which choose the upstream, and the agents,
//! which refuse a second suspect that another entry has sent.

use std::collections::HashMap;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{SuspectRecord, SuspectState};
use oriolecrank_schema::document::{OrganisationId, UpstreamId};
use snafu::Snafu;

/// Digest of an organisation and a body.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyFingerprint(String);

impl From<String> for BodyFingerprint {
    fn from(digest: String) -> Self {
        Self(digest)
    }
}

/// What is known about a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FingerprintState {
    /// It may have crashed an engine; it is rerun alone.
    Suspect,
    /// It has crashed engines; it is refused.
    Refused,
}

impl From<SuspectState> for FingerprintState {
    fn from(state: SuspectState) -> Self {
        match state {
            SuspectState::Suspect => Self::Suspect,
            SuspectState::Refused => Self::Refused,
        }
    }
}

/// Identity of a fingerprint; fingerprints of two organisations never concern each other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SuspectKey {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Fingerprint.
    pub fingerprint: BodyFingerprint,
}

impl From<&SuspectRecord> for SuspectKey {
    fn from(record: &SuspectRecord) -> Self {
        Self {
            organisation: record.organisation.clone().into(),
            fingerprint: record.fingerprint.clone().into(),
        }
    }
}

/// A request that is not placed now. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum PlacementRefusal {
    /// The request has crashed engines before.
    #[snafu(display("the request has crashed engines and is refused for a time"))]
    Refused,
    /// A copy of the suspect runs already.
    #[snafu(display("the request is being tried alone; try again later"))]
    AlreadyRunning,
    /// The upstream runs another suspect.
    #[snafu(display("the upstream tries another request alone"))]
    UpstreamBusy,
}

/// How a request may be placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementRule {
    /// On any upstream.
    Anywhere,
    /// On an upstream other than these, which run suspects.
    AnywhereExcept {
        /// Upstreams to exclude from the choice.
        excluded: Vec<UpstreamId>,
    },
}

#[derive(Debug)]
struct SuspectEntry {
    state: FingerprintState,
    expires: TimePoint,
    /// Upstream that runs the fingerprint now.
    running_on: Option<UpstreamId>,
}

/// Known fingerprints and where they run.
#[derive(Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<SuspectKey, SuspectEntry>,
    /// Suspect that each upstream runs; has the same pairs as `running_on`.
    running: HashMap<UpstreamId, SuspectKey>,
}

impl SuspectTable {
    /// Takes the state of a fingerprint, or removes it with `None`. `expires` is by the clock of
    /// this process.
    pub fn set(&mut self, key: SuspectKey, state: Option<FingerprintState>, expires: TimePoint) {
        let Some(state) = state else {
            if let Some(removed) = self.suspects.remove(&key) {
                self.free(removed.running_on.as_ref());
            }
            return;
        };
        let running_on = self
            .suspects
            .remove(&key)
            .and_then(|known| known.running_on);
        let entry = SuspectEntry {
            state,
            expires,
            running_on,
        };
        self.suspects.insert(key, entry);
    }

    /// Removes all fingerprints that are not in `keep`, after a snapshot.
    pub fn retain(&mut self, keep: &[SuspectKey]) {
        let gone: Vec<SuspectKey> = self
            .suspects
            .keys()
            .filter(|key| !keep.contains(key))
            .cloned()
            .collect();
        for key in gone {
            self.set(key, None, TimePoint::default());
        }
    }

    /// How a request may be placed.
    pub fn placement_rule(
        &self,
        key: &SuspectKey,
        now: TimePoint,
    ) -> Result<PlacementRule, PlacementRefusal> {
        let known = self.suspects.get(key).filter(|entry| now < entry.expires);
        let Some(entry) = known else {
            return Ok(PlacementRule::Anywhere);
        };
        match entry.state {
            FingerprintState::Refused => RefusedSnafu.fail(),
            FingerprintState::Suspect if entry.running_on.is_some() => AlreadyRunningSnafu.fail(),
            FingerprintState::Suspect => Ok(PlacementRule::AnywhereExcept {
                excluded: self.running.keys().cloned().collect(),
            }),
        }
    }

    /// Notes that a request is about to run on `upstream`; other requests than suspects are not
    /// noted.
    pub fn record_start(
        &mut self,
        key: &SuspectKey,
        upstream: &UpstreamId,
        now: TimePoint,
    ) -> Result<(), PlacementRefusal> {
        if self.placement_rule(key, now)? == PlacementRule::Anywhere {
            return Ok(());
        }
        if self.running.contains_key(upstream) {
            return UpstreamBusySnafu.fail();
        }
        if let Some(entry) = self.suspects.get_mut(key) {
            entry.running_on = Some(upstream.clone());
            self.running.insert(upstream.clone(), key.clone());
        }
        Ok(())
    }

    /// Notes that a request has ended.
    pub fn record_end(&mut self, key: &SuspectKey, upstream: &UpstreamId) {
        if let Some(entry) = self.suspects.get_mut(key)
            && entry.running_on.as_ref() == Some(upstream)
        {
            entry.running_on = None;
            self.running.remove(upstream);
        }
    }

    /// Forgets expired fingerprints that do not run; called every few seconds.
    pub fn forget_expired(&mut self, now: TimePoint) {
        self.suspects
            .retain(|_, entry| now < entry.expires || entry.running_on.is_some());
    }

    fn free(&mut self, upstream: Option<&UpstreamId>) {
        if let Some(upstream) = upstream {
            self.running.remove(upstream);
        }
    }
}
