//! Recognises usage records that were already counted.

use std::collections::{HashSet, VecDeque};

use oriolecrank_schema::control::UsageRecord;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// First 128 bits of the SHA-256 digest of attempt number and request id.
///
/// With 2,000,000 ids, as within 15 min at 2,200 requests/s, the probability that any two of them
/// collide is below 10^-26.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct UsageId(u64, u64);

impl UsageId {
    fn from_record(record: &UsageRecord) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(record.attempt.to_be_bytes());
        hasher.update(record.request_id.0.as_bytes());
        let digest = hasher.finalize();
        let u64_at = |start: usize| {
            let bytes = digest[start..start + 8].try_into();
            u64::from_be_bytes(bytes.expect("a SHA-256 digest has 32 bytes"))
        };
        Self(u64_at(0), u64_at(8))
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct CountedId {
    /// Log time at which the record was counted.
    counted_ms: u64,
    id: UsageId,
}

/// Ids of the records that were counted recently.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct UsageIds {
    /// Counted ids in ascending order of log time.
    order: VecDeque<CountedId>,
    /// The same ids for lookup; never iterated, because the iteration order differs between
    /// replicas.
    #[serde(skip)]
    known: HashSet<UsageId>,
}

impl UsageIds {
    /// Rebuilds the lookup after decoding.
    pub(crate) fn rebuild(&mut self) {
        self.known = self.order.iter().map(|counted| counted.id).collect();
    }

    /// Adds the id of a record; returns false if the record was already counted.
    pub(crate) fn insert(&mut self, record: &UsageRecord, now_ms: u64) -> bool {
        let id = UsageId::from_record(record);
        if !self.known.insert(id) {
            return false;
        }
        self.order.push_back(CountedId {
            counted_ms: now_ms,
            id,
        });
        true
    }

    /// Removes ids that were counted `lifetime_ms` ago or earlier.
    pub(crate) fn expire(&mut self, now_ms: u64, lifetime_ms: u64) {
        while let Some(counted) = self.order.front() {
            if counted.counted_ms.saturating_add(lifetime_ms) > now_ms {
                return;
            }
            self.known.remove(&counted.id);
            self.order.pop_front();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }
}
