//! One lane of the agent's queue: start-time fair queueing over organisations.

use std::collections::{BTreeSet, HashMap};

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::OrganisationId;

/// Number of lanes.
pub(crate) const LANE_COUNT: usize = 4;

/// A lane; a smaller value is served first.
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

/// Number of a request in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ArrivalNumber(pub(crate) u64);

/// Order of the requests of one organisation in one lane.
pub(crate) type DeadlineOrder = (TimePoint, ArrivalNumber);

/// Order of the organisations in one lane: virtual start, then the first request's deadline.
type FlowOrder = (u64, TimePoint, ArrivalNumber);

/// Requests of one organisation in one lane.
#[derive(Debug, Default)]
pub(crate) struct OrganisationFlow {
    /// Virtual start of the next request; at least the lane's virtual time while requests wait.
    pub(crate) virtual_start: u64,
    pub(crate) requests: BTreeSet<DeadlineOrder>,
}

/// Waiting requests of one lane.
#[derive(Debug, Default)]
pub(crate) struct QueueLane {
    pub(crate) flows: HashMap<OrganisationId, OrganisationFlow>,
    /// First request of each organisation that has one.
    pub(crate) heads: BTreeSet<FlowOrder>,
    /// Largest virtual start of a started request; never falls.
    pub(crate) virtual_time: u64,
    pub(crate) arrivals: BTreeSet<ArrivalNumber>,
}

impl QueueLane {
    /// Changes a flow and keeps `heads` in step with it.
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
            // Without debt the flow holds nothing that a new one would not have.
            self.flows.remove(organisation);
        }
        result
    }

    pub(crate) fn add(&mut self, organisation: &OrganisationId, order: DeadlineOrder) {
        self.arrivals.insert(order.1);
        self.update(organisation, |flow, virtual_time| {
            if flow.requests.is_empty() {
                // Time without waiting requests earns no credit.
                flow.virtual_start = flow.virtual_start.max(virtual_time);
            }
            flow.requests.insert(order);
        });
    }

    pub(crate) fn remove(&mut self, organisation: &OrganisationId, order: DeadlineOrder) {
        self.arrivals.remove(&order.1);
        self.update(organisation, |flow, _| flow.requests.remove(&order));
    }

    pub(crate) fn waiting_of(&self, organisation: &OrganisationId) -> usize {
        let flow = self.flows.get(organisation);
        flow.map_or(0, |flow| flow.requests.len())
    }
}
