//! Grants tokens of organisations' quotas, at the leader.

use std::sync::Mutex;

use oriolecrank_control::ReplicaHandle;
use oriolecrank_net::BootClock;
use oriolecrank_policy::quota::{QuotaBounds, QuotaTable, ShareAsk};
use oriolecrank_routing::{OrganisationName, SiteOutcome};

use super::quota_gate::TOKEN_LIFETIME;
use super::quota_messages::{QuotaReply, QuotaRequest};

/// Ledgers of this control instance, which it uses while it holds the lease of the leader.
#[derive(Debug)]
pub(crate) struct QuotaGranter {
    /// Never held across an await.
    table: Mutex<QuotaTable<OrganisationName>>,
}

impl QuotaGranter {
    pub(crate) fn new(bounds: QuotaBounds) -> Self {
        Self {
            table: Mutex::new(QuotaTable::new(bounds, TOKEN_LIFETIME)),
        }
    }

    /// Records since when this instance has held the lease of the leader.
    pub(crate) fn observe_term(&self, replica: &ReplicaHandle<SiteOutcome>) {
        if let Some(authority) = replica.authority() {
            let mut table = self
                .table
                .lock()
                .expect("no holder of the quota lock panics");
            table.observe_term(authority.term.0, BootClock.now());
        }
    }

    /// Answers the asks of an entry.
    pub(crate) fn answer(
        &self,
        request: &QuotaRequest,
        replica: &ReplicaHandle<SiteOutcome>,
    ) -> QuotaReply {
        let Some(authority) = replica.authority() else {
            return QuotaReply::NotLeader;
        };
        let term = authority.term.0;
        let grants = {
            let mut table = self
                .table
                .lock()
                .expect("no holder of the quota lock panics");
            let now = BootClock.now();
            let answers = request.asks.iter().map(|wire| {
                let ShareAsk { stated, ask } = wire.into();
                table.answer(term, &wire.organisation, stated, request.run, ask, now)
            });
            answers.map(|answer| answer.map(Into::into)).collect()
        };
        // The process may have been suspended since the first check, and a successor may lead.
        let still_leads = replica
            .authority()
            .is_some_and(|authority| authority.term.0 == term);
        if still_leads {
            QuotaReply::Answered(grants)
        } else {
            QuotaReply::NotLeader
        }
    }
}
