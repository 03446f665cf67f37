//! Claims of non-idempotent calls that this agent has seen.

use std::collections::BTreeMap;

use oriolecrank_policy::AttemptId;

/// Claims that are kept. At 10 calls a second this is more than an hour, while an answer is stored
/// with the control group within seconds.
const MAX_CLAIMS: usize = 50_000;

/// What the agent knows of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimSight {
    /// Never seen; it is registered now and may run.
    FirstSeen,
    /// It runs or has run as this attempt.
    Known(AttemptId),
    /// It was refused and will never run here.
    Refused,
    /// It is too old to tell; it may have run.
    Forgotten,
}

#[derive(Debug, Clone)]
enum ClaimRecord {
    Started(AttemptId),
    Refused,
}

/// Register of claims by number.
///
/// Claim numbers rise, so that the oldest ones can be dropped and everything at or below the
/// highest dropped number counts as forgotten.
#[derive(Debug, Default)]
pub struct ClaimRegister {
    records: BTreeMap<u64, ClaimRecord>,
    /// Highest number that was dropped; no number at or below it is ever run again.
    forgotten: Option<u64>,
}

impl ClaimRegister {
    /// Registers a claim that is about to run as attempt `id`, unless it is already known.
    pub fn admit(&mut self, claim_id: u64, id: &AttemptId) -> ClaimSight {
        if let Some(record) = self.records.get(&claim_id) {
            return match record {
                ClaimRecord::Started(first) => ClaimSight::Known(first.clone()),
                ClaimRecord::Refused => ClaimSight::Refused,
            };
        }
        if Some(claim_id) <= self.forgotten {
            return ClaimSight::Forgotten;
        }
        self.insert(claim_id, ClaimRecord::Started(id.clone()));
        ClaimSight::FirstSeen
    }

    /// Marks a claim that has not run as refused for ever.
    pub fn refuse(&mut self, claim_id: u64) {
        self.insert(claim_id, ClaimRecord::Refused);
    }

    fn insert(&mut self, claim_id: u64, record: ClaimRecord) {
        self.records.insert(claim_id, record);
        while self.records.len() > MAX_CLAIMS {
            let dropped = self.records.pop_first().map(|(number, _)| number);
            self.forgotten = self.forgotten.max(dropped);
        }
    }
}
