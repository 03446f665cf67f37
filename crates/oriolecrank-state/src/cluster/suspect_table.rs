//! Fingerprints of requests that were running when an engine crashed.
//!
//! The first crash makes a fingerprint a suspect, which is rerun at most once; the second one makes
//! it refused. A request therefore takes down at most two engines.
//!
//! When an engine crashes during a rerun, the rerun is blamed alone. The other requests that ran
//! there are not marked: a body that many callers send is often running beside the culprit twice,
//! and would be refused without fault.

use std::collections::BTreeMap;

use oriolecrank_schema::control::{RunningRequest, SuspectRecord, SuspectState};
use oriolecrank_schema::document::{RequestId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Suspects and refused fingerprints are forgotten this long after their last crash, in
/// milliseconds (10 min).
pub const SUSPECT_LIFETIME_MS: u64 = 600_000;

/// Largest number of fingerprints of one organisation; beyond it the one that expires first is
/// forgotten, suspects before refused ones.
pub const MAX_SUSPECTS_PER_ORGANISATION: usize = 256;

/// Largest number of fingerprints; beyond it the organisation with the most loses one.
pub const MAX_SUSPECTS: usize = 16_384;

/// Crash reports are recognised as repetitions for this long, in milliseconds (15 min).
pub const CRASH_ID_LIFETIME_MS: u64 = 900_000;

/// Largest number of crash reports that are remembered; the oldest are forgotten first.
pub const MAX_CRASH_IDS: usize = 4_096;

/// Largest number of fingerprints taken from one crash report; the rest is ignored.
pub const MAX_RUNNING_REQUESTS: usize = 1_024;

/// Longest organisation name or fingerprint, in bytes; longer ones are ignored.
const MAX_FINGERPRINT_BYTES: usize = 128;

/// A fingerprint of an organisation.
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

/// Permission to run a suspect once more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct RerunGrant {
    pub(crate) upstream: UpstreamId,
    pub(crate) incarnation: u64,
    pub(crate) request_id: RequestId,
}

impl RerunGrant {
    fn is_on(&self, upstream: &UpstreamId, incarnation: u64) -> bool {
        self.upstream == *upstream && self.incarnation == incarnation
    }
}

/// Result of asking for a rerun.
#[derive(Debug, PartialEq)]
pub(crate) enum RerunEffect {
    /// The rerun may start.
    Granted,
    /// The fingerprint is not a suspect and may run freely.
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

/// Suspects and refused fingerprints.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct SuspectTable {
    suspects: BTreeMap<SuspectKey, TrackedSuspect>,
    /// Number of fingerprints of each organisation.
    counts: BTreeMap<String, usize>,
    /// Log time of each recognised crash report.
    crashes: BTreeMap<CrashKey, u64>,
    /// No fingerprint and no crash report expires before this log time.
    next_expiry_ms: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct TrackedSuspect {
    state: SuspectState,
    crashes: u32,
    until_ms: u64,
    /// The only rerun, once it was granted.
    rerun: Option<RerunGrant>,
}

impl TrackedSuspect {
    /// The granted rerun, unless it has ended in a crash.
    fn open_rerun(&self) -> Option<&RerunGrant> {
        let rerun = self.rerun.as_ref();
        rerun.filter(|_| self.state == SuspectState::Suspect)
    }
}

impl SuspectTable {
    /// Records a crash; returns false if it was reported before.
    pub(crate) fn report(
        &mut self,
        crash: CrashKey,
        running: &[RunningRequest],
        now_ms: u64,
    ) -> bool {
        if self.crashes.contains_key(&crash) {
            return false;
        }
        for key in self.blamed_keys(&crash, running) {
            self.add_crash(key, now_ms);
        }
        self.crashes.insert(crash, now_ms);
        if self.crashes.len() > MAX_CRASH_IDS {
            self.forget_oldest_crash();
        }
        self.next_expiry_ms = self
            .next_expiry_ms
            .min(now_ms.saturating_add(SUSPECT_LIFETIME_MS));
        true
    }

    /// Fingerprints that may have caused a crash, each of them once.
    fn blamed_keys(&self, crash: &CrashKey, running: &[RunningRequest]) -> Vec<SuspectKey> {
        let mut keys: Vec<SuspectKey> = running.iter().filter_map(SuspectKey::of).collect();
        keys.sort();
        keys.dedup();
        keys.truncate(MAX_RUNNING_REQUESTS);
        let is_rerun = |key: &SuspectKey| {
            let rerun = self.suspects.get(key).and_then(TrackedSuspect::open_rerun);
            rerun.is_some_and(|rerun| rerun.is_on(&crash.upstream, crash.incarnation))
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

    /// Allows the only rerun of a suspect, on an upstream that reruns no other suspect.
    ///
    /// The rerun begins a new lifetime: if the fingerprint were forgotten while it runs, its crash
    /// would count as the first one.
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
        let same_upstream = |other: &TrackedSuspect| {
            let rerun = other.open_rerun();
            rerun.is_some_and(|rerun| rerun.is_on(&grant.upstream, grant.incarnation))
        };
        if self.suspects.values().any(same_upstream) {
            return RerunEffect::Refused("the upstream reruns another suspect");
        }
        if let Some(tracked) = self.suspects.get_mut(key) {
            tracked.rerun = Some(grant);
            tracked.until_ms = now_ms.saturating_add(SUSPECT_LIFETIME_MS);
        }
        RerunEffect::Granted
    }

    /// Takes a permission back whose rerun did not run, so that the suspect can be rerun elsewhere.
    ///
    /// Returns false if this permission is not open.
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

    /// Forgets a suspect that ran to its end; a refused fingerprint stays refused.
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

    /// Forgets what has expired; returns whether a fingerprint was among it.
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
        self.crashes
            .retain(|_, at_ms| at_ms.saturating_add(CRASH_ID_LIFETIME_MS) > now_ms);
        let untils = self.suspects.values().map(|tracked| tracked.until_ms);
        let crashes = self.crashes.values();
        let crashes = crashes.map(|at_ms| at_ms.saturating_add(CRASH_ID_LIFETIME_MS));
        self.next_expiry_ms = untils.chain(crashes).min().unwrap_or(u64::MAX);
        !keys.is_empty()
    }

    /// All fingerprints, sorted by organisation.
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

    /// Makes room for one more fingerprint of an organisation.
    fn make_room(&mut self, organisation: &str) {
        let count = self.counts.get(organisation).copied().unwrap_or_default();
        if count >= MAX_SUSPECTS_PER_ORGANISATION {
            self.forget_one(&organisation.to_owned());
            return;
        }
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let largest = self.counts.iter().max_by_key(|(_, count)| **count);
        if let Some((largest, _)) = largest {
            self.forget_one(&largest.clone());
        }
    }

    fn forget_one(&mut self, organisation: &String) {
        let first_key = SuspectKey {
            organisation: organisation.clone(),
            fingerprint: String::new(),
        };
        let own = self
            .suspects
            .range(first_key..)
            .take_while(|(key, _)| key.organisation == *organisation);
        let first = own
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

    fn forget_oldest_crash(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, at_ms)| **at_ms);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.crashes.remove(&key);
        }
    }
}

impl SuspectKey {
    fn of(request: &RunningRequest) -> Option<Self> {
        let longest = request.organisation.len().max(request.fingerprint.len());
        (longest <= MAX_FINGERPRINT_BYTES).then(|| Self {
            organisation: request.organisation.clone(),
            fingerprint: request.fingerprint.clone(),
        })
    }
}
