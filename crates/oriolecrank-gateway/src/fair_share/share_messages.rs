//! Demands of entries for engines and the shares that the leader divides, as sent in syncs.

use oriolecrank_policy::fair_share::{FlowDemand, FlowShare, WorkDemand, WorkFlow};
use oriolecrank_routing::ServiceName;
use serde::{Deserialize, Serialize};

/// Demand of an entry for the engines of an overloaded service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ServiceDemand {
    pub(crate) service: ServiceName,
    /// Tokens per second that all engines can read, as the entry estimates it.
    pub(crate) capacity: f64,
    pub(crate) flows: Vec<NamedDemand>,
}

/// Demand of one organisation for one kind of request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct NamedDemand {
    pub(crate) organisation: String,
    pub(crate) kind: String,
    pub(crate) priority: u8,
    pub(crate) tokens_per_second: f64,
}

/// Shares of a service; flows that it does not name get all they want.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ServiceShares {
    pub(crate) service: ServiceName,
    pub(crate) exceeding: Vec<NamedShare>,
}

/// Share of the work of one organisation and kind that each entry admits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct NamedShare {
    pub(crate) organisation: String,
    pub(crate) kind: String,
    pub(crate) fraction: f64,
}

impl ServiceDemand {
    pub(crate) fn new(service: &ServiceName, demand: WorkDemand) -> Self {
        Self {
            service: service.clone(),
            capacity: demand.capacity,
            flows: demand.flows.into_iter().map(NamedDemand::from).collect(),
        }
    }
}

impl From<ServiceDemand> for WorkDemand {
    fn from(demand: ServiceDemand) -> Self {
        Self {
            capacity: demand.capacity,
            flows: demand.flows.into_iter().map(FlowDemand::from).collect(),
        }
    }
}

impl From<FlowDemand> for NamedDemand {
    fn from(demand: FlowDemand) -> Self {
        Self {
            organisation: demand.flow.organisation.as_ref().to_owned(),
            kind: demand.flow.kind.as_ref().to_owned(),
            priority: demand.priority,
            tokens_per_second: demand.tokens_per_second,
        }
    }
}

impl From<NamedDemand> for FlowDemand {
    fn from(demand: NamedDemand) -> Self {
        Self {
            flow: WorkFlow {
                organisation: demand.organisation.into(),
                kind: demand.kind.into(),
            },
            priority: demand.priority,
            tokens_per_second: demand.tokens_per_second,
        }
    }
}

impl From<&FlowShare> for NamedShare {
    fn from(share: &FlowShare) -> Self {
        Self {
            organisation: share.flow.organisation.as_ref().to_owned(),
            kind: share.flow.kind.as_ref().to_owned(),
            fraction: share.fraction,
        }
    }
}

impl From<NamedShare> for FlowShare {
    fn from(share: NamedShare) -> Self {
        Self {
            flow: WorkFlow {
                organisation: share.organisation.into(),
                kind: share.kind.into(),
            },
            fraction: share.fraction,
        }
    }
}
