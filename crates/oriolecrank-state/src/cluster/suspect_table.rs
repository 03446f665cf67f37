//! Fingerprints of requests that were running when an engine crashed.
//!
//! After the first crash a fingerprint is a suspect, which is rerun at most once; after the second
//! crash it is refused. A request can therefore crash at most two engines.
//!
//! If an engine crashes during a rerun, only the rerun is blamed, not the other requests that ran
//! there: a harmless body that many callers send is often running during both crashes and would be
//! refused wrongly.

use std::collections::BTreeMap;

use oriolecrank_schema::control::{RunningRequest, SuspectRecord, SuspectState};
use oriolecrank_schema::document::{RequestId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Time after its last crash, or after the grant of its rerun, at which a suspect or refused
/// fingerprint expires, in milliseconds (10 min).
pub const SUSPECT_LIFETIME_MS: u64 = 600_000;

/// Maximum number of fingerprints of one organisation. When it is reached, the one that expires
/// first is evicted, suspects before refused ones.
pub const MAX_SUSPECTS_PER_ORGANISATION: usize = 256;

/// Maximum number of fingerprints in total. When it is reached, one is evicted from the
/// organisation that has the most.
pub const MAX_SUSPECTS: usize = 16_384;

/// Time for which a repeated crash report is recognised, in milliseconds (15 min).
pub const CRASH_ID_LIFETIME_MS: u64 = 900_000;

/// Maximum number of crash reports stored to recognise repetitions; the oldest are evicted first.
pub const MAX_CRASH_IDS: usize = 4_096;

/// Maximum number of fingerprints used from one crash report; the rest are ignored.
pub const MAX_RUNNING_REQUESTS: usize = 1_024;

/// Maximum length of an organisation name or fingerprint, in bytes; running requests with a longer
/// one are ignored.
const MAX_FINGERPRINT_BYTES: usize = 128;

/// Request fingerprint of one organisation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct SuspectKey {
    pub(crate) organisation: String,
    pub(crate) fingerprint: String,
}

/// Identity of a crash report.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct CrashKey {
    pub(crate) upstream: UpstreamId,
    pub(crate) incarnation: u64,
    pub(crate) crash_id: u64,
}

/// Permission to rerun a suspect for one request on one upstream incarnation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct RerunGrant {
    pub(crate) upstream: UpstreamId,
    pub(crate) incarnation: u64,
    pub(crate) request_id: RequestId,
}

impl RerunGrant {
    fn is_for(&self, upstream: &UpstreamId, incarnation: u64) -> bool {
        self.upstream == *upstream && self.incarnation == incarnation
    }
}

/// Result of a request for a rerun.
#[derive(Debug, PartialEq)]
pub(crate) enum RerunEffect {
    /// The rerun may start.
    Granted,
    /// The fingerprint is not a suspect and needs no permission.
    NotSuspect,
    Refused(&'static str),
}

/// Result of clearing a suspect.
#[derive(Debug, PartialEq)]
pub(crate) enum ClearEffect {
    Cleared,
    NotSuspect,
    Refused(&'static str),
}

/// Suspects, refused fingerprints and the crash reports that were received recently.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct SuspectTable {
    suspects: BTreeMap<SuspectKey, TrackedSuspect>,
    /// Number of fingerprints of each organisation in `suspects`.
    counts: BTreeMap<String, usize>,
    /// Log time of each stored crash report.
    #[serde(rename = "crashes")]
    crash_reports: BTreeMap<CrashKey, u64>,
    /// Lower bound of the log time at which the next fingerprint or crash report expires.
    next_expiry_ms: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct TrackedSuspect {
    state: SuspectState,
    /// Number of crashes for which the fingerprint was blamed.
    crashes: u32,
    /// Log time at which the fingerprint expires.
    until_ms: u64,
    /// The only rerun of the fingerprint; absent until it is granted.
    rerun: Option<RerunGrant>,
}

impl TrackedSuspect {
    /// The granted rerun, unless the fingerprint has been refused after a second crash.
    fn open_rerun(&self) -> Option<&RerunGrant> {
        let rerun = self.rerun.as_ref();
        rerun.filter(|_| self.state == SuspectState::Suspect)
    }
}

impl SuspectTable {
    /// Records a crash report; returns false if it was recorded before.
    pub(crate) fn record_crash(
        &mut self,
        crash: CrashKey,
        running: &[RunningRequest],
        now_ms: u64,
    ) -> bool {
        if self.crash_reports.contains_key(&crash) {
            return false;
        }
        for key in self.blamed_keys(&crash, running) {
            self.add_crash(key, now_ms);
        }
        self.crash_reports.insert(crash, now_ms);
        if self.crash_reports.len() > MAX_CRASH_IDS {
            self.evict_oldest_report();
        }
        self.next_expiry_ms = self
            .next_expiry_ms
            .min(now_ms.saturating_add(SUSPECT_LIFETIME_MS));
        true
    }

    /// Fingerprints that may have caused a crash, without duplicates. If one of them was being
    /// rerun on the crashed upstream, only that one is returned.
    fn blamed_keys(&self, crash: &CrashKey, running: &[RunningRequest]) -> Vec<SuspectKey> {
        let mut keys: Vec<SuspectKey> = running
            .iter()
            .filter_map(SuspectKey::from_request)
            .collect();
        keys.sort();
        keys.dedup();
        keys.truncate(MAX_RUNNING_REQUESTS);
        let is_rerun = |key: &SuspectKey| {
            let rerun = self.suspects.get(key).and_then(TrackedSuspect::open_rerun);
            rerun.is_some_and(|rerun| rerun.is_for(&crash.upstream, crash.incarnation))
        };
        if keys.iter().any(is_rerun) {
            keys.retain(is_rerun);
        }
        keys
    }

    fn add_crash(&mut self, key: SuspectKey, now_ms: u64) {
        let until_ms = now_ms.saturating_add(SUSPECT_LIFETIME_MS);
        if let Some(tracked) = self.suspects.get_mut(&key) {
            tracked.state = SuspectState::Refused;
            tracked.crashes = tracked.crashes.saturating_add(1);
            tracked.until_ms = until_ms;
            return;
        }
        self.make_room(&key.organisation);
        *self.counts.entry(key.organisation.clone()).or_default() += 1;
        let tracked = TrackedSuspect {
            state: SuspectState::Suspect,
            crashes: 1,
            until_ms,
            rerun: None,
        };
        self.suspects.insert(key, tracked);
    }

    /// Grants the only rerun of a suspect, on an upstream that reruns no other suspect.
    ///
    /// The grant restarts the lifetime of the suspect: if it expired while the rerun runs, a crash
    /// would count as its first one.
    pub(crate) fn rerun(
        &mut self,
        key: &SuspectKey,
        grant: RerunGrant,
        now_ms: u64,
    ) -> RerunEffect {
        let Some(tracked) = self.suspects.get(key) else {
            return RerunEffect::NotSuspect;
        };
        if tracked.state == SuspectState::Refused {
            return RerunEffect::Refused("the request has crashed two upstreams");
        }
        if let Some(earlier) = &tracked.rerun {
            return if *earlier == grant {
                RerunEffect::Granted
            } else {
                RerunEffect::Refused("the suspect was rerun before")
            };
        }
        let reruns_there = |other: &TrackedSuspect| {
            let rerun = other.open_rerun();
            rerun.is_some_and(|rerun| rerun.is_for(&grant.upstream, grant.incarnation))
        };
        if self.suspects.values().any(reruns_there) {
            return RerunEffect::Refused("the upstream reruns another suspect");
        }
        if let Some(tracked) = self.suspects.get_mut(key) {
            tracked.rerun = Some(grant);
            tracked.until_ms = now_ms.saturating_add(SUSPECT_LIFETIME_MS);
        }
        RerunEffect::Granted
    }

    /// Revokes the grant of a rerun that did not run, so that the suspect can be rerun elsewhere.
    ///
    /// Returns false if the suspect has no such grant or has been refused.
    pub(crate) fn release(&mut self, key: &SuspectKey, grant: &RerunGrant) -> bool {
        let Some(tracked) = self.suspects.get_mut(key) else {
            return false;
        };
        if tracked.open_rerun() != Some(grant) {
            return false;
        }
        tracked.rerun = None;
        true
    }

    /// Removes a suspect whose request ran to completion; a refused fingerprint stays refused.
    pub(crate) fn clear(&mut self, key: &SuspectKey) -> ClearEffect {
        let Some(tracked) = self.suspects.get(key) else {
            return ClearEffect::NotSuspect;
        };
        if tracked.state == SuspectState::Refused {
            return ClearEffect::Refused("the request has crashed two upstreams");
        }
        self.remove(key);
        ClearEffect::Cleared
    }

    /// Removes expired fingerprints and crash reports; returns whether a fingerprint was removed.
    pub(crate) fn expire(&mut self, now_ms: u64) -> bool {
        if now_ms < self.next_expiry_ms {
            return false;
        }
        let expired = |(key, tracked): (&SuspectKey, &TrackedSuspect)| {
            (tracked.until_ms <= now_ms).then(|| key.clone())
        };
        let keys: Vec<SuspectKey> = self.suspects.iter().filter_map(expired).collect();
        for key in &keys {
            self.remove(key);
        }
        self.crash_reports
            .retain(|_, at_ms| at_ms.saturating_add(CRASH_ID_LIFETIME_MS) > now_ms);
        let suspect_expiries = self.suspects.values().map(|tracked| tracked.until_ms);
        let report_times = self.crash_reports.values();
        let report_expiries = report_times.map(|at_ms| at_ms.saturating_add(CRASH_ID_LIFETIME_MS));
        self.next_expiry_ms = suspect_expiries
            .chain(report_expiries)
            .min()
            .unwrap_or(u64::MAX);
        !keys.is_empty()
    }

    /// Records of all fingerprints, sorted by organisation and fingerprint.
    pub(crate) fn records(&self) -> Vec<SuspectRecord> {
        let record = |(key, tracked): (&SuspectKey, &TrackedSuspect)| SuspectRecord {
            crashes: tracked.crashes,
            fingerprint: key.fingerprint.clone(),
            organisation: key.organisation.clone(),
            state: tracked.state,
            until_ms: tracked.until_ms,
        };
        self.suspects.iter().map(record).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Evicts a fingerprint if a limit leaves no room for one more of this organisation.
    fn make_room(&mut self, organisation: &str) {
        let count = self.counts.get(organisation).copied().unwrap_or_default();
        if count >= MAX_SUSPECTS_PER_ORGANISATION {
            self.evict_one(&organisation.to_owned());
            return;
        }
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let largest = self.counts.iter().max_by_key(|(_, count)| **count);
        if let Some((largest, _)) = largest {
            self.evict_one(&largest.clone());
        }
    }

    /// Evicts the fingerprint of an organisation that expires first, suspects before refused ones.
    fn evict_one(&mut self, organisation: &String) {
        let first_key = SuspectKey {
            organisation: organisation.clone(),
            fingerprint: String::new(),
        };
        let candidates = self
            .suspects
            .range(first_key..)
            .take_while(|(key, _)| key.organisation == *organisation);
        let first = candidates
            .min_by_key(|(_, tracked)| (tracked.state == SuspectState::Refused, tracked.until_ms));
        if let Some((key, _)) = first {
            self.remove(&key.clone());
        }
    }

    fn remove(&mut self, key: &SuspectKey) {
        if self.suspects.remove(key).is_none() {
            return;
        }
        let Some(count) = self.counts.get_mut(&key.organisation) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&key.organisation);
        }
    }

    fn evict_oldest_report(&mut self) {
        let oldest = self.crash_reports.iter().min_by_key(|(_, at_ms)| **at_ms);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.crash_reports.remove(&key);
        }
    }
}

impl SuspectKey {
    /// Key of a running request, or `None` if one of its texts is too long.
    fn from_request(request: &RunningRequest) -> Option<Self> {
        let longest_bytes = request.organisation.len().max(request.fingerprint.len());
        (longest_bytes <= MAX_FINGERPRINT_BYTES).then(|| Self {
            organisation: request.organisation.clone(),
            fingerprint: request.fingerprint.clone(),
        })
    }
}
