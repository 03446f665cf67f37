//! Placement of requests that may have crashed an engine.
//!
//! Requests that were running when an engine crashed are suspects. Each upstream runs at most one
//! suspect at a time: if its engine crashes again, that suspect is the cause; if not, the suspect
//! is cleared. A request with a refused fingerprint is not placed at all. Entries use the table to
//! choose an upstream, and agents use it to refuse a second suspect that another entry has sent.

use std::collections::HashMap;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{SuspectRecord, SuspectState};
use oriolecrank_schema::document::{OrganisationId, UpstreamId};
use snafu::Snafu;

/// Digest of an organisation and a request body.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyFingerprint(String);

impl From<String> for BodyFingerprint {
    fn from(digest: String) -> Self {
        Self(digest)
    }
}

/// State of a known fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FingerprintState {
    /// The request may have crashed an engine; it runs on an upstream without other suspects.
    Suspect,
    /// The request has crashed engines; it is refused.
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

/// Key of a fingerprint in the table; includes the organisation, so that a fingerprint never
/// affects another organisation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SuspectKey {
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Fingerprint of the request.
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

/// Reason for not placing a request now. The request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum PlacementRefusal {
    /// The request has crashed engines before.
    #[snafu(display("the request has crashed engines before and is temporarily refused"))]
    Refused,
    /// A request with the same fingerprint is already running.
    #[snafu(display(
        "the request is suspected of crashing engines and an equal one is running; retry later"
    ))]
    AlreadyRunning,
    /// The upstream is already running another suspect.
    #[snafu(display(
        "the upstream is running another request that is suspected of crashing engines"
    ))]
    UpstreamBusy,
}

/// Upstreams on which a request may be placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementRule {
    /// Any upstream; the request is no suspect.
    Anywhere,
    /// Any upstream that runs no suspect; the request is a suspect.
    AnywhereExcept {
        /// Upstreams that run suspects now.
        excluded: Vec<UpstreamId>,
    },
}

#[derive(Debug)]
struct KnownFingerprint {
    state: FingerprintState,
    /// Time from which the state is ignored.
    expires: TimePoint,
    /// Upstream that is running a request with the fingerprint.
    running_on: Option<UpstreamId>,
}

/// Known fingerprints and the upstreams that run them.
#[derive(Debug, Default)]
pub struct SuspectTable {
    fingerprints: HashMap<SuspectKey, KnownFingerprint>,
    /// Suspect that each upstream runs; inverse of the `running_on` fields.
    running: HashMap<UpstreamId, SuspectKey>,
}

impl SuspectTable {
    /// Sets the state of a fingerprint, or removes the fingerprint if `state` is `None`.
    ///
    /// `expires` is a time of this process's clock.
    pub fn set(&mut self, key: SuspectKey, state: Option<FingerprintState>, expires: TimePoint) {
        let Some(state) = state else {
            if let Some(removed) = self.fingerprints.remove(&key) {
                self.clear_running(removed.running_on.as_ref());
            }
            return;
        };
        let running_on = self
            .fingerprints
            .remove(&key)
            .and_then(|known| known.running_on);
        let updated = KnownFingerprint {
            state,
            expires,
            running_on,
        };
        self.fingerprints.insert(key, updated);
    }

    /// Removes all fingerprints that are not in `keep`; called after a snapshot was received.
    pub fn retain(&mut self, keep: &[SuspectKey]) {
        let removed_keys: Vec<SuspectKey> = self
            .fingerprints
            .keys()
            .filter(|key| !keep.contains(key))
            .cloned()
            .collect();
        for key in removed_keys {
            self.set(key, None, TimePoint::default());
        }
    }

    /// Returns the upstreams on which a request may be placed.
    ///
    /// Fails if the fingerprint is refused or a request with it is already running.
    pub fn placement_rule(
        &self,
        key: &SuspectKey,
        now: TimePoint,
    ) -> Result<PlacementRule, PlacementRefusal> {
        let known = self
            .fingerprints
            .get(key)
            .filter(|known| now < known.expires);
        let Some(known) = known else {
            return Ok(PlacementRule::Anywhere);
        };
        match known.state {
            FingerprintState::Refused => RefusedSnafu.fail(),
            FingerprintState::Suspect if known.running_on.is_some() => AlreadyRunningSnafu.fail(),
            FingerprintState::Suspect => Ok(PlacementRule::AnywhereExcept {
                excluded: self.running.keys().cloned().collect(),
            }),
        }
    }

    /// Records that a request is about to run on `upstream`; has no effect unless it is a suspect.
    ///
    /// Fails like [`Self::placement_rule`], or if the upstream is already running a suspect.
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
        if let Some(known) = self.fingerprints.get_mut(key) {
            known.running_on = Some(upstream.clone());
            self.running.insert(upstream.clone(), key.clone());
        }
        Ok(())
    }

    /// Records that a request has ended; has no effect unless it was recorded as started there.
    pub fn record_end(&mut self, key: &SuspectKey, upstream: &UpstreamId) {
        if let Some(known) = self.fingerprints.get_mut(key)
            && known.running_on.as_ref() == Some(upstream)
        {
            known.running_on = None;
            self.running.remove(upstream);
        }
    }

    /// Removes expired fingerprints that are not running; called every 500 ms.
    pub fn forget_expired(&mut self, now: TimePoint) {
        self.fingerprints
            .retain(|_, known| now < known.expires || known.running_on.is_some());
    }

    fn clear_running(&mut self, upstream: Option<&UpstreamId>) {
        if let Some(upstream) = upstream {
            self.running.remove(upstream);
        }
    }
}
