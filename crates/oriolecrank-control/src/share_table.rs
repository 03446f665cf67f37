//! Shares of the limits for the entries that ping.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_policy::freshness::PingNumber;
use oriolecrank_policy::limit_key::{EntryCount, LimitKey, OrganisationLimit};
use oriolecrank_policy::limit_shares::{EntryDemand, EntryName, ShareLedger, ShareSettings};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{DemandEntry, LimitShare, PingRequest};
use oriolecrank_state::{ClusterState, Revision};

use crate::ping_sequence::PingSequence;

/// Part of an answer to a ping.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ShareGrant {
    /// Number of entries that divide the reserve; 0 leaves the number at the entry unchanged.
    pub entries: u32,
    /// Shares of the entry.
    pub shares: Vec<LimitShare>,
    /// Validity of the shares, counted from the send time of the ping.
    pub lifetime: Duration,
}

/// Limits and what the entries were granted of them in one term.
#[derive(Debug)]
pub struct ShareTable {
    ledger: ShareLedger,
    sequence: PingSequence,
    /// Revision whose limits the ledger has.
    revision: Option<Revision>,
}

impl ShareTable {
    /// The table of a leader that was elected at `started`.
    ///
    /// Before the first document there were no limits, so no earlier grant can be valid.
    pub fn new(state: &ClusterState, started: TimePoint) -> Self {
        let settings = ShareSettings::default();
        let ledger = if state.revision() == Revision::default() {
            ShareLedger::first(settings)
        } else {
            ShareLedger::new(settings, started)
        };
        Self {
            ledger,
            sequence: PingSequence::default(),
            revision: None,
        }
    }

    /// Takes the demand of an entry and grants it its shares.
    pub fn grant(
        &mut self,
        ping: &PingRequest,
        state: &ClusterState,
        now: TimePoint,
    ) -> ShareGrant {
        self.update_limits(state);
        // A restarted entry is a new one: what its predecessor was granted stays counted.
        let start = self.sequence.note(ping);
        let entry = EntryName::from(format!("{}#{}", ping.subscriber, start.0));
        let number = PingNumber::from(ping.ping);
        let demand = demand_by_limit(&ping.demand);
        self.ledger.report(&entry, number, demand, now);
        let mut grants = self.ledger.allocate(now).into_iter();
        // The shares count from the newest report; the answer to an older ping carries none.
        let grant = grants.find(|grant| grant.entry == entry && grant.report == number);
        let Some(grant) = grant else {
            return ShareGrant::default();
        };
        ShareGrant {
            entries: grant.entries.map_or(0, EntryCount::get),
            shares: grant
                .shares
                .iter()
                .map(|(key, share)| share.to_message(key))
                .collect(),
            lifetime: grant.lifetime,
        }
    }

    fn update_limits(&mut self, state: &ClusterState) {
        if self.revision == Some(state.revision()) {
            return;
        }
        self.revision = Some(state.revision());
        let organisations = &state.document().as_document().organisations;
        let limits = organisations.iter().flat_map(|organisation| {
            let limits = organisation.limits.iter();
            limits.map(|limit| {
                let key = LimitKey::of_config(&organisation.name, limit);
                (key, OrganisationLimit::from(limit))
            })
        });
        self.ledger.set_limits(limits);
    }
}

/// Demand by limit. A ping has an entry for each shape of calls, which limits do not tell apart.
fn demand_by_limit(entries: &[DemandEntry]) -> IndexMap<LimitKey, EntryDemand> {
    let mut demand = IndexMap::new();
    for entry in entries {
        let one = EntryDemand::from(entry);
        demand
            .entry(LimitKey::from(entry))
            .and_modify(|sum: &mut EntryDemand| {
                sum.requests += one.requests;
                sum.tokens += one.tokens;
            })
            .or_insert(one);
    }
    demand
}
