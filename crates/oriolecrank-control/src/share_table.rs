//! Shares of the limits for the entries that ping.

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

/// Shortest time between two allocations. One allocation covers all live entries; with one for each
/// ping, the leader's CPU time grew with the square of the number of entries.
const ALLOCATION_INTERVAL: Duration = Duration::from_millis(100);

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
    /// Number of allocations so far.
    allocations: u64,
    allocated_at: Option<TimePoint>,
    /// Result of the newest allocation.
    grants: HashMap<EntryName, EntryGrant>,
}

/// A report that waits for its shares.
#[derive(Debug, Clone)]
pub struct ShareReport {
    entry: EntryName,
    number: PingNumber,
    /// Allocations before the report; a later one covers it.
    allocations: u64,
}

impl ShareTable {
    /// The table of a leader that was elected at `started`.
    ///
    /// Before the first document there were no limits, so no earlier grant can be valid.
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

    /// Takes the demand of an entry; [`grant_for`](Self::grant_for) then gives its shares.
    pub fn report(
        &mut self,
        ping: &PingRequest,
        state: &ClusterState,
        now: TimePoint,
    ) -> ShareReport {
        self.update_limits(state);
        // A restarted entry is a new one: what its predecessor was granted stays counted.
        let start = self.sequence.note(ping);
        let entry = EntryName::from(format!("{}#{}", ping.subscriber, start.0));
        let number = PingNumber::from(ping.ping);
        let demand = demand_by_limit(&ping.demand);
        self.ledger.record_report(&entry, number, demand, now);
        ShareReport {
            entry,
            number,
            allocations: self.allocations,
        }
    }

    /// Shares that answer a report, or the time to wait before the next allocation that covers it.
    pub fn grant_for(
        &mut self,
        report: &ShareReport,
        now: TimePoint,
    ) -> Result<ShareGrant, Duration> {
        if self.allocations <= report.allocations {
            let due = self.allocated_at.map(|at| at + ALLOCATION_INTERVAL);
            if let Some(due) = due.filter(|due| now < *due) {
                return Err(due.since(now));
            }
            self.allocate(now);
        }
        Ok(self.granted(report))
    }

    /// Takes the demand of an entry and allocates its shares at once.
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
        // The shares count from the newest report; the answer to an older ping carries none.
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
