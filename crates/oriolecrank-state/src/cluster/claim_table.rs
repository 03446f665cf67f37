//! Claims for non-idempotent calls and their stored answers.

use std::collections::{BTreeMap, BTreeSet};

use oriolecrank_schema::control::{ClaimState, ClaimSummary, StoredAnswer};
use oriolecrank_schema::data_path::ClaimTicket;
use oriolecrank_schema::document::{OrganisationId, RequestId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Time after its completion at which a claim is removed, in milliseconds (24 h). A claim that is
/// never completed is checked this long after it was opened and then at this interval; it is
/// removed once its agent incarnation is no longer a member.
pub const CLAIM_LIFETIME_MS: u64 = 86_400_000;

/// Maximum number of claims of one organisation while the table holds fewer than [`MAX_CLAIMS`].
pub const MAX_CLAIMS_PER_ORGANISATION: u32 = 10_000;

/// Total number of claims from which on each organisation is limited to [`GUARANTEED_CLAIMS`]. The
/// table can grow beyond it by the guaranteed claims.
pub const MAX_CLAIMS: usize = 100_000;

/// Number of claims that each organisation can always have, however many the others have. With 340
/// organisations the table stays below 275,000 claims of about 500 bytes.
pub const GUARANTEED_CLAIMS: u32 = 512;

/// Maximum size of a stored answer, in bytes. A claim with a larger answer is completed without it.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Maximum total size of the stored answers of one organisation, in bytes. A claim whose answer
/// would exceed it is completed without the answer.
pub const MAX_ORGANISATION_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Maximum total size of all stored answers, in bytes. A claim whose answer would exceed it is
/// completed without the answer.
pub const MAX_TOTAL_ANSWER_BYTES: usize = 128 * 1024 * 1024;

/// Identity of a claim: an idempotency key of one organisation at one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct ClaimKey {
    pub(crate) organisation: OrganisationId,
    pub(crate) service: ServiceId,
    pub(crate) key_digest: String,
}

/// A request to open a claim for one call on one agent incarnation.
#[derive(Debug)]
pub(crate) struct ClaimRequest<'a> {
    pub(crate) key: ClaimKey,
    /// Digest of organisation, method, target and body.
    pub(crate) body_digest: &'a str,
    pub(crate) request_id: &'a RequestId,
    pub(crate) upstream: &'a UpstreamId,
    pub(crate) incarnation: u64,
}

/// A committed claim.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ClaimRecord {
    key: ClaimKey,
    body_digest: String,
    request_id: RequestId,
    ticket: ClaimTicket,
    /// Log time at which the claim was opened.
    opened_ms: u64,
    /// Log time of the claim's entry in `ClaimTable::deadlines`.
    deadline_ms: u64,
    /// Absent while the call may still run.
    completion: Option<ClaimCompletion>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct ClaimCompletion {
    /// Absent if there was no answer or a size limit did not allow storing it.
    answer: Option<StoredAnswer>,
    /// Size of the stored answer, 0 without one.
    bytes: usize,
}

/// Result of looking up the claim of a key.
#[derive(Debug, PartialEq)]
pub(crate) enum ClaimLookup {
    /// The key has no claim.
    Unknown,
    /// The key has a claim for a request with another digest: the method, target or body differs.
    Mismatch,
    /// The claim was already granted to the same request for the same agent incarnation.
    AlreadyGranted(ClaimTicket),
    /// The claim was granted to another request or agent incarnation and is not completed.
    Running(ClaimTicket),
    /// The call has run; the answer is absent if it was not stored.
    Completed(Option<StoredAnswer>),
}

/// Result of completing or releasing a claim.
#[derive(Debug, PartialEq)]
pub(crate) enum ClaimEffect {
    Applied,
    /// The claim is already completed, or already removed when released.
    Unchanged,
    Refused(&'static str),
}

/// Claims by id and by key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct ClaimTable {
    claims: BTreeMap<u64, ClaimRecord>,
    /// Claim id of each key in `claims`; derived, so it is not stored.
    #[serde(skip)]
    numbers: BTreeMap<ClaimKey, u64>,
    /// One entry for each claim, ordered by log time.
    deadlines: BTreeSet<ClaimDeadline>,
    /// Contains only organisations that have at least one claim.
    #[serde(rename = "quotas")]
    usage_by_organisation: BTreeMap<OrganisationId, ClaimUsage>,
    /// Total size of the stored answers over all organisations.
    answer_bytes: usize,
    /// Id of the newest claim, 0 before the first.
    newest_id: u64,
}

/// Log time at which a claim is checked for removal.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct ClaimDeadline {
    at_ms: u64,
    claim_id: u64,
}

/// Number of claims and total size of the stored answers of one organisation.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct ClaimUsage {
    claims: u32,
    answer_bytes: usize,
}

impl ClaimTable {
    /// Rebuilds the lookup by key after decoding.
    pub(crate) fn rebuild(&mut self) {
        self.numbers = self
            .claims
            .iter()
            .map(|(claim_id, claim)| (claim.key.clone(), *claim_id))
            .collect();
    }

    /// Looks up the claim for the key of a request.
    ///
    /// A request that repeats its own command because the answer was lost gets its ticket again.
    /// This is safe: request ids are unique, so no other request has the ticket, and the agent runs
    /// each claim id only once.
    pub(crate) fn lookup(&self, request: &ClaimRequest<'_>) -> ClaimLookup {
        let claim = self.numbers.get(&request.key);
        let Some(claim) = claim.and_then(|claim_id| self.claims.get(claim_id)) else {
            return ClaimLookup::Unknown;
        };
        if claim.body_digest != request.body_digest {
            return ClaimLookup::Mismatch;
        }
        if let Some(completion) = &claim.completion {
            return ClaimLookup::Completed(completion.answer.clone());
        }
        let already_granted = claim.request_id == *request.request_id
            && claim.ticket.upstream == *request.upstream
            && claim.ticket.incarnation == request.incarnation;
        if already_granted {
            ClaimLookup::AlreadyGranted(claim.ticket.clone())
        } else {
            ClaimLookup::Running(claim.ticket.clone())
        }
    }

    /// Opens a claim for a key that has none, or returns `None` if the organisation is at its
    /// limit.
    pub(crate) fn open(&mut self, request: ClaimRequest<'_>, now_ms: u64) -> Option<ClaimTicket> {
        let claim_usage = self.usage_by_organisation.get(&request.key.organisation);
        let claim_count = claim_usage.map_or(0, |claim_usage| claim_usage.claims);
        let limit = if self.claims.len() < MAX_CLAIMS {
            MAX_CLAIMS_PER_ORGANISATION
        } else {
            GUARANTEED_CLAIMS
        };
        if claim_count >= limit {
            return None;
        }
        self.newest_id += 1;
        let ticket = ClaimTicket {
            claim_id: self.newest_id,
            incarnation: request.incarnation,
            upstream: request.upstream.clone(),
        };
        let claim = ClaimRecord {
            key: request.key.clone(),
            body_digest: request.body_digest.to_owned(),
            request_id: request.request_id.clone(),
            ticket: ticket.clone(),
            opened_ms: now_ms,
            deadline_ms: now_ms.saturating_add(CLAIM_LIFETIME_MS),
            completion: None,
        };
        let claim_usage = self
            .usage_by_organisation
            .entry(request.key.organisation.clone());
        claim_usage.or_default().claims += 1;
        self.numbers.insert(request.key, ticket.claim_id);
        self.deadlines.insert(claim.deadline());
        self.claims.insert(ticket.claim_id, claim);
        Some(ticket)
    }

    /// Completes a claim and stores its answer; only the bound incarnation may complete it.
    ///
    /// The incarnation need not be a member any more: an agent that was partitioned and removed
    /// while the call ran can still report that it has run.
    pub(crate) fn complete(
        &mut self,
        ticket: &ClaimTicket,
        answer: Option<&StoredAnswer>,
        now_ms: u64,
    ) -> ClaimEffect {
        let Some(claim) = self.claims.get_mut(&ticket.claim_id) else {
            return ClaimEffect::Refused("the claim is released or expired");
        };
        if claim.ticket != *ticket {
            return ClaimEffect::Refused("the claim is bound to another agent");
        }
        if claim.completion.is_some() {
            return ClaimEffect::Unchanged;
        }
        let claim_usage = self
            .usage_by_organisation
            .entry(claim.key.organisation.clone());
        let claim_usage = claim_usage.or_default();
        let fits = |answer: &&StoredAnswer| {
            let bytes = answer_len(answer);
            bytes <= MAX_ANSWER_BYTES
                && claim_usage.answer_bytes + bytes <= MAX_ORGANISATION_ANSWER_BYTES
                && self.answer_bytes + bytes <= MAX_TOTAL_ANSWER_BYTES
        };
        let answer = answer.filter(fits).cloned();
        let bytes = answer.as_ref().map_or(0, answer_len);
        claim_usage.answer_bytes += bytes;
        self.answer_bytes += bytes;
        claim.completion = Some(ClaimCompletion { answer, bytes });
        self.deadlines.remove(&claim.deadline());
        claim.deadline_ms = now_ms.saturating_add(CLAIM_LIFETIME_MS);
        self.deadlines.insert(claim.deadline());
        ClaimEffect::Applied
    }

    /// Removes a claim whose call never ran; only the bound incarnation may release it.
    pub(crate) fn release(&mut self, ticket: &ClaimTicket) -> ClaimEffect {
        if ticket.claim_id == 0 || ticket.claim_id > self.newest_id {
            return ClaimEffect::Refused("no claim has this number");
        }
        let Some(claim) = self.claims.get(&ticket.claim_id) else {
            return ClaimEffect::Unchanged;
        };
        if claim.ticket != *ticket {
            return ClaimEffect::Refused("the claim is bound to another agent");
        }
        if claim.completion.is_some() {
            return ClaimEffect::Refused("the claim is completed");
        }
        self.remove(ticket.claim_id);
        ClaimEffect::Applied
    }

    /// Removes claims whose deadline has passed. `is_live` tells whether an incarnation is a
    /// member; while it is, an uncompleted call may still run, and its claim is checked again one
    /// lifetime later.
    pub(crate) fn expire(&mut self, now_ms: u64, is_live: impl Fn(&UpstreamId, u64) -> bool) {
        while let Some(deadline) = self.deadlines.first() {
            if deadline.at_ms > now_ms {
                return;
            }
            let claim_id = deadline.claim_id;
            let may_still_run = |claim: &&mut ClaimRecord| {
                let ticket = &claim.ticket;
                claim.completion.is_none() && is_live(&ticket.upstream, ticket.incarnation)
            };
            let Some(claim) = self.claims.get_mut(&claim_id).filter(may_still_run) else {
                self.remove(claim_id);
                continue;
            };
            self.deadlines.remove(&claim.deadline());
            claim.deadline_ms = now_ms.saturating_add(CLAIM_LIFETIME_MS);
            self.deadlines.insert(claim.deadline());
        }
    }

    fn remove(&mut self, claim_id: u64) {
        let Some(claim) = self.claims.remove(&claim_id) else {
            return;
        };
        self.deadlines.remove(&claim.deadline());
        self.numbers.remove(&claim.key);
        let bytes = claim.completion.map_or(0, |completion| completion.bytes);
        self.answer_bytes -= bytes;
        let organisation = claim.key.organisation;
        let Some(claim_usage) = self.usage_by_organisation.get_mut(&organisation) else {
            return;
        };
        claim_usage.claims -= 1;
        claim_usage.answer_bytes -= bytes;
        if claim_usage.claims == 0 {
            self.usage_by_organisation.remove(&organisation);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    pub(crate) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Claims with ids above `claim_id`, in ascending order.
    pub(crate) fn claims_after(&self, claim_id: u64) -> impl Iterator<Item = &ClaimRecord> {
        let first_id = claim_id.saturating_add(1);
        self.claims.range(first_id..).map(|(_, claim)| claim)
    }
}

impl ClaimRecord {
    fn deadline(&self) -> ClaimDeadline {
        ClaimDeadline {
            at_ms: self.deadline_ms,
            claim_id: self.ticket.claim_id,
        }
    }

    pub(crate) fn organisation(&self) -> &OrganisationId {
        &self.key.organisation
    }

    /// Summary for operators. `is_live` tells whether an incarnation is a member.
    pub(crate) fn summary(&self, is_live: impl Fn(&UpstreamId, u64) -> bool) -> ClaimSummary {
        let live = is_live(&self.ticket.upstream, self.ticket.incarnation);
        let state = match (&self.completion, live) {
            (Some(_), _) => ClaimState::Completed,
            (None, true) => ClaimState::Running,
            (None, false) => ClaimState::MayHaveRun,
        };
        let completion = self.completion.as_ref();
        ClaimSummary {
            answer_stored: completion.is_some_and(|completion| completion.answer.is_some()),
            opened_ms: self.opened_ms,
            organisation: self.key.organisation.clone(),
            request_id: self.request_id.clone(),
            service: self.key.service.clone(),
            state,
            ticket: self.ticket.clone(),
        }
    }
}

/// Size of an answer's headers and of its body after base64 decoding, in bytes.
fn answer_len(answer: &StoredAnswer) -> usize {
    let fields = answer.headers.iter();
    let headers: usize = fields
        .map(|field| field.name.len() + field.value.len())
        .sum();
    headers + answer.body.trim_end_matches('=').len() * 3 / 4
}
