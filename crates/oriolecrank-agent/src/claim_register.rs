//! Claims that this agent has admitted or refused. A claim permits one upstream to run a
//! non-idempotent call.

use std::collections::BTreeMap;

use oriolecrank_policy::AttemptId;

/// Number of claims kept in the register. At 10 claimed calls per second this covers more than an
/// hour, while the control group stores an answer within seconds.
const MAX_CLAIMS: usize = 50_000;

/// Whether a claimed call may run on this agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAdmission {
    /// The claim is new; it has been registered and the call may run.
    FirstSeen,
    /// The call is running or has run as this attempt.
    AlreadyStarted(AttemptId),
    /// The claim was refused; the call will never run here.
    Refused,
    /// The claim may have been evicted from the register; the call may have run.
    Evicted,
}

#[derive(Debug, Clone)]
enum ClaimRecord {
    Started(AttemptId),
    Refused,
}

/// Bounded register of claims by id.
///
/// Claim ids increase, so the oldest are evicted first, and every unregistered id up to the highest
/// evicted one is treated as evicted.
#[derive(Debug, Default)]
pub struct ClaimRegister {
    records: BTreeMap<u64, ClaimRecord>,
    /// Highest evicted id; unregistered claims up to it never run.
    highest_evicted: Option<u64>,
}

impl ClaimRegister {
    /// Registers a claim that is about to run as attempt `id`, unless it was seen before.
    pub fn admit(&mut self, claim_id: u64, id: &AttemptId) -> ClaimAdmission {
        if let Some(record) = self.records.get(&claim_id) {
            return match record {
                ClaimRecord::Started(first) => ClaimAdmission::AlreadyStarted(first.clone()),
                ClaimRecord::Refused => ClaimAdmission::Refused,
            };
        }
        if Some(claim_id) <= self.highest_evicted {
            return ClaimAdmission::Evicted;
        }
        self.insert(claim_id, ClaimRecord::Started(id.clone()));
        ClaimAdmission::FirstSeen
    }

    /// Permanently refuses a claim that has not run.
    pub fn refuse(&mut self, claim_id: u64) {
        self.insert(claim_id, ClaimRecord::Refused);
    }

    fn insert(&mut self, claim_id: u64, record: ClaimRecord) {
        self.records.insert(claim_id, record);
        while self.records.len() > MAX_CLAIMS {
            let evicted = self.records.pop_first().map(|(claim_id, _)| claim_id);
            self.highest_evicted = self.highest_evicted.max(evicted);
        }
    }
}
