//! Flows of work, with what they want and what they get.

use std::sync::Arc;

/// Requests of one organisation and one kind, which share what they get.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WorkFlow {
    /// Name of the organisation; empty for callers without a key.
    pub organisation: Arc<str>,
    /// Kind of request, which is the name of its route.
    pub kind: Arc<str>,
}

/// Work that a flow wants done.
#[derive(Debug, Clone, PartialEq)]
pub struct FlowDemand {
    /// The flow.
    pub flow: WorkFlow,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Tokens that engines would have to read, per second.
    pub tokens_per_second: f64,
}

/// Demand of an entry, or of all entries, for the engines of one service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WorkDemand {
    /// Tokens per second that all engines of the service can read, as the entry estimates it.
    pub capacity: f64,
    /// Flows with a demand.
    pub flows: Vec<FlowDemand>,
}

/// A flow that exceeds its share.
#[derive(Debug, Clone, PartialEq)]
pub struct FlowShare {
    /// The flow.
    pub flow: WorkFlow,
    /// Share of its work that is admitted, in `0.0..1.0`.
    pub fraction: f64,
}
