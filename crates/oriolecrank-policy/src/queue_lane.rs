//! One lane of the agent's queue, with start-time fair queueing between organisations.

use std::collections::{BTreeSet, HashMap};

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::OrganisationId;

pub(crate) const LANE_COUNT: usize = 4;

/// A lane; smaller values are served first. Only urgent requests are divided by size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LaneName {
    UrgentShort,
    UrgentLong,
    Standard,
    Bulk,
}

impl LaneName {
    pub(crate) const ALL: [Self; LANE_COUNT] = [
        Self::UrgentShort,
        Self::UrgentLong,
        Self::Standard,
        Self::Bulk,
    ];
}

/// Sequence number of a request in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ArrivalNumber(pub(crate) u64);

/// Sort key of the requests of one organisation in one lane.
pub(crate) type DeadlineOrder = (TimePoint, ArrivalNumber);

/// Sort key of the organisations in one lane: virtual start of the flow, then the deadline and
/// arrival number of its first request.
type FlowOrder = (u64, TimePoint, ArrivalNumber);

/// Waiting requests of one organisation in one lane.
#[derive(Debug, Default)]
pub(crate) struct OrganisationFlow {
    /// Virtual start time of the next request. Set to at least the lane's virtual time when
    /// requests arrive after idle time.
    pub(crate) virtual_start: u64,
    pub(crate) requests: BTreeSet<DeadlineOrder>,
}

/// Waiting requests of one lane, by organisation.
#[derive(Debug, Default)]
pub(crate) struct QueueLane {
    pub(crate) flows: HashMap<OrganisationId, OrganisationFlow>,
    /// First request of each organisation that has waiting requests.
    pub(crate) heads: BTreeSet<FlowOrder>,
    /// Largest virtual start time of all started requests; never decreases.
    pub(crate) virtual_time: u64,
    /// Arrival numbers of all waiting requests of the lane.
    pub(crate) arrivals: BTreeSet<ArrivalNumber>,
}

impl QueueLane {
    /// Applies `change` to a flow, given the lane's virtual time, and updates `heads` to match.
    pub(crate) fn update<R>(
        &mut self,
        organisation: &OrganisationId,
        change: impl FnOnce(&mut OrganisationFlow, u64) -> R,
    ) -> R {
        if !self.flows.contains_key(organisation) {
            self.flows
                .insert(organisation.clone(), OrganisationFlow::default());
        }
        let flow = self
            .flows
            .get_mut(organisation)
            .expect("the flow was inserted");
        if let Some(&(deadline, number)) = flow.requests.first() {
            self.heads.remove(&(flow.virtual_start, deadline, number));
        }
        let result = change(flow, self.virtual_time);
        if let Some(&(deadline, number)) = flow.requests.first() {
            self.heads.insert((flow.virtual_start, deadline, number));
        } else if flow.virtual_start <= self.virtual_time {
            // An empty flow that is not ahead of the lane's virtual time is equivalent to a new
            // one.
            self.flows.remove(organisation);
        }
        result
    }

    pub(crate) fn add(&mut self, organisation: &OrganisationId, order: DeadlineOrder) {
        self.arrivals.insert(order.1);
        self.update(organisation, |flow, virtual_time| {
            if flow.requests.is_empty() {
                // An organisation gets no credit for the time in which it had no waiting requests.
                flow.virtual_start = flow.virtual_start.max(virtual_time);
            }
            flow.requests.insert(order);
        });
    }

    pub(crate) fn remove(&mut self, organisation: &OrganisationId, order: DeadlineOrder) {
        self.arrivals.remove(&order.1);
        self.update(organisation, |flow, _| flow.requests.remove(&order));
    }

    pub(crate) fn waiting_count(&self, organisation: &OrganisationId) -> usize {
        let flow = self.flows.get(organisation);
        flow.map_or(0, |flow| flow.requests.len())
    }
}
