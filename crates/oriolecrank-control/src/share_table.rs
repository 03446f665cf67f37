//! Allocates shares of the limits to the entries, in answer to their pings.

use std::collections::HashMap;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_policy::freshness::PingNumber;
use oriolecrank_policy::limit_key::{EntryCount, LimitKey, OrganisationLimit};
use oriolecrank_policy::limit_shares::{
    EntryDemand, EntryGrant, EntryName, ShareLedger, ShareSettings,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{DemandEntry, LimitShare, PingRequest};
use oriolecrank_state::{ClusterState, Revision};

use crate::ping_sequence::PingSequence;

/// Shortest time between two allocations. Each allocation covers all live entries; with one for
/// each ping, the leader's CPU time would grow with the square of the number of entries.
const ALLOCATION_INTERVAL: Duration = Duration::from_millis(100);

/// Shares in the answer to a ping.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ShareGrant {
    /// Number of entries that divide the reserve, the part of each limit that is not granted as
    /// shares; 0 leaves the number at the entry unchanged.
    pub entries: u32,
    /// The entry's share of each limit.
    pub shares: Vec<LimitShare>,
    /// Validity of the shares, counted from the send time of the ping.
    pub lifetime: Duration,
}

/// The limits, and the shares of them that were granted to entries in one term.
#[derive(Debug)]
pub struct ShareTable {
    ledger: ShareLedger,
    sequence: PingSequence,
    /// Revision of the document from which the ledger has its limits.
    revision: Option<Revision>,
    /// Number of allocations so far.
    allocations: u64,
    /// Time of the newest allocation.
    allocated_at: Option<TimePoint>,
    /// Result of the newest allocation.
    grants: HashMap<EntryName, EntryGrant>,
}

/// A recorded report that waits for its shares; passed to [`ShareTable::grant_for`].
#[derive(Debug, Clone)]
pub struct ShareReport {
    entry: EntryName,
    number: PingNumber,
    /// Number of allocations before the report; every later one takes the report into account.
    allocations: u64,
}

impl ShareTable {
    /// Creates the table of a leader that was elected at `started`.
    ///
    /// Grants of an earlier leader may still be valid, unless no document was committed yet:
    /// without limits there were no grants.
    pub fn new(state: &ClusterState, started: TimePoint) -> Self {
        let settings = ShareSettings::default();
        let ledger = if state.revision() == Revision::default() {
            ShareLedger::for_new_cluster(settings)
        } else {
            ShareLedger::new(settings, started)
        };
        Self {
            ledger,
            sequence: PingSequence::default(),
            revision: None,
            allocations: 0,
            allocated_at: None,
            grants: HashMap::new(),
        }
    }

    /// Records the demand of an entry; [`grant_for`](Self::grant_for) then returns its shares.
    pub fn report(
        &mut self,
        ping: &PingRequest,
        state: &ClusterState,
        now: TimePoint,
    ) -> ShareReport {
        self.update_limits(state);
        // A restarted entry gets a new name, so that the grants before the restart stay counted.
        let incarnation = self.sequence.record(ping);
        let entry = EntryName::from(format!("{}#{}", ping.subscriber, incarnation.0));
        let number = PingNumber::from(ping.ping);
        let demand = demand_by_limit(&ping.demand);
        self.ledger.record_report(&entry, number, demand, now);
        ShareReport {
            entry,
            number,
            allocations: self.allocations,
        }
    }

    /// Returns the shares for a report. The error is the time until the next allocation may be
    /// made, which takes the report into account.
    pub fn grant_for(
        &mut self,
        report: &ShareReport,
        now: TimePoint,
    ) -> Result<ShareGrant, Duration> {
        if self.allocations <= report.allocations {
            let next_at = self.allocated_at.map(|at| at + ALLOCATION_INTERVAL);
            if let Some(next_at) = next_at.filter(|next_at| now < *next_at) {
                return Err(next_at.since(now));
            }
            self.allocate(now);
        }
        Ok(self.granted(report))
    }

    /// Records the demand of an entry and allocates its shares immediately.
    pub fn grant(
        &mut self,
        ping: &PingRequest,
        state: &ClusterState,
        now: TimePoint,
    ) -> ShareGrant {
        let report = self.report(ping, state, now);
        self.allocate(now);
        self.granted(&report)
    }

    fn allocate(&mut self, now: TimePoint) {
        self.allocations += 1;
        self.allocated_at = Some(now);
        let grants = self.ledger.allocate(now).into_iter();
        self.grants = grants.map(|grant| (grant.entry.clone(), grant)).collect();
    }

    fn granted(&self, report: &ShareReport) -> ShareGrant {
        // Shares are granted for the newest report; the answer to an older ping contains none.
        let grant = self.grants.get(&report.entry);
        let Some(grant) = grant.filter(|grant| grant.report_number == report.number) else {
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
                let key = LimitKey::from_config(&organisation.name, limit);
                (key, OrganisationLimit::from(limit))
            })
        });
        self.ledger.set_limits(limits);
    }
}

/// Sums the demand for each limit. A ping has one [`DemandEntry`] for each call shape, but a limit
/// applies to all shapes together.
fn demand_by_limit(entries: &[DemandEntry]) -> IndexMap<LimitKey, EntryDemand> {
    let mut demand = IndexMap::new();
    for entry in entries {
        let added = EntryDemand::from(entry);
        demand
            .entry(LimitKey::from(entry))
            .and_modify(|sum: &mut EntryDemand| {
                sum.requests += added.requests;
                sum.tokens += added.tokens;
            })
            .or_insert(added);
    }
    demand
}
