//! State that all requests of an entry share.

use std::sync::Arc;

use oriolecrank_net::ControlClient;
use oriolecrank_net::intake::ByteBudget;

use crate::admission::AdmissionControl;
use crate::attempt_stream::AgentTransport;
use crate::demand_meter::DemandMeter;
use crate::entry_metrics::EntryMetrics;
use crate::entry_state::EntryState;
use crate::options::EntryOptions;
use crate::read_coalescer::ReadCoalescer;
use crate::retry_gate::RetryGate;
use crate::suspect_gate::SuspectGate;
use crate::upstream_pool::UpstreamPool;
use crate::usage_reporter::UsageReporter;

/// State and clients that all requests of an entry share.
///
/// Lock order: each field locks only itself, never while another field is locked and never across
/// an await.
#[derive(Debug)]
pub struct EntryContext {
    /// Validated settings, which stay the same while the entry runs.
    pub options: EntryOptions,
    /// Configuration, upstreams and suspects in force.
    pub state: Arc<EntryState>,
    /// Upstreams of all services and the choice between them.
    pub pool: Arc<UpstreamPool>,
    /// Admission control with the limits of organisations.
    pub admission: Arc<AdmissionControl>,
    /// Demand that has not been reported to control.
    pub demand: Arc<DemandMeter>,
    /// Client that calls agents.
    pub transport: AgentTransport,
    /// Client that sends commands to the control group.
    pub control: ControlClient,
    /// Usage records that control has not acknowledged.
    pub usage: Arc<UsageReporter>,
    /// Metrics that the operator listener serves.
    pub metrics: Arc<EntryMetrics>,
    /// Budgets that limit retries and hedges.
    pub retries: RetryGate,
    /// Suspects and the upstreams on which this entry runs them.
    pub suspects: Arc<SuspectGate>,
    /// Memory for the bodies of requests.
    pub client_budget: ByteBudget,
    /// Memory for answers that are collected before they are sent.
    pub answer_budget: ByteBudget,
    /// Running reads that equal ones may join.
    pub coalescer: Arc<ReadCoalescer>,
}
