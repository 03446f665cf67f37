//! Messages between entries and the leader about quotas.

use oriolecrank_policy::quota::{
    LedgerAnswer, LedgerAsk, QuotaSpec, QuotaUnit, ShareAsk, TokenRate, VersionedSpec,
};
use oriolecrank_routing::OrganisationName;
use serde::{Deserialize, Serialize};

/// Path of [`QuotaRequest`].
pub(crate) const QUOTA_PATH: &str = "/v1/site/quota";

/// Asks of one entry, at most one an organisation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct QuotaRequest {
    /// Random number of this run of the entry's process.
    pub(crate) run: u64,
    pub(crate) asks: Vec<OrganisationAsk>,
}

/// Ask of an entry for tokens of one organisation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct OrganisationAsk {
    pub(crate) organisation: OrganisationName,
    /// Version of the document that states the quota.
    version: u64,
    rate_per_s: f64,
    burst: u64,
    /// Tokens of a request that states none; `None` if the quota counts requests.
    plain_tokens: Option<u64>,
    sequence: u64,
    base: u64,
    held: u64,
    returned: u64,
    wanted: u64,
    needed: u64,
    usual: u64,
    held_rate: u64,
    wanted_rate: u64,
}

impl OrganisationAsk {
    pub(crate) fn new(organisation: OrganisationName, ask: &ShareAsk) -> Self {
        let ShareAsk { stated, ask } = ask;
        Self {
            organisation,
            version: stated.version,
            rate_per_s: stated.spec.rate.per_second(),
            burst: stated.spec.burst,
            plain_tokens: match stated.spec.unit {
                QuotaUnit::Requests => None,
                QuotaUnit::Tokens { plain } => Some(plain),
            },
            sequence: ask.sequence,
            base: ask.base,
            held: ask.held,
            returned: ask.returned,
            wanted: ask.wanted,
            needed: ask.needed,
            usual: ask.usual,
            held_rate: ask.held_rate,
            wanted_rate: ask.wanted_rate,
        }
    }
}

impl From<&OrganisationAsk> for ShareAsk {
    fn from(wire: &OrganisationAsk) -> Self {
        Self {
            stated: VersionedSpec {
                version: wire.version,
                spec: QuotaSpec {
                    rate: TokenRate::from_per_second(wire.rate_per_s),
                    burst: wire.burst,
                    unit: wire
                        .plain_tokens
                        .map_or(QuotaUnit::Requests, |plain| QuotaUnit::Tokens { plain }),
                },
            },
            ask: LedgerAsk {
                sequence: wire.sequence,
                base: wire.base,
                held: wire.held,
                returned: wire.returned,
                wanted: wire.wanted,
                needed: wire.needed,
                usual: wire.usual,
                held_rate: wire.held_rate,
                wanted_rate: wire.wanted_rate,
            },
        }
    }
}

/// Answer to [`QuotaRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum QuotaReply {
    /// This instance does not hold the lease of the leader.
    NotLeader,
    /// One grant for each ask, in the order of the asks; `None` for an outdated ask.
    Answered(Vec<Option<TokenGrant>>),
}

/// Tokens for one organisation.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct TokenGrant {
    renewed: bool,
    granted: u64,
    rate: u64,
}

impl From<LedgerAnswer> for TokenGrant {
    fn from(answer: LedgerAnswer) -> Self {
        Self {
            renewed: answer.renewed,
            granted: answer.granted,
            rate: answer.rate,
        }
    }
}

impl From<TokenGrant> for LedgerAnswer {
    fn from(wire: TokenGrant) -> Self {
        Self {
            renewed: wire.renewed,
            granted: wire.granted,
            rate: wire.rate,
        }
    }
}
