//! What all requests of an entry share.

use std::sync::Arc;

use oriolecrank_net::ControlClient;

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

/// What all requests of an entry share.
///
/// Lock order: each part locks only itself, for one step and never across an await.
#[derive(Debug)]
pub struct EntryContext {
    /// Settings.
    pub options: EntryOptions,
    /// Configuration, upstreams and suspects in force.
    pub state: Arc<EntryState>,
    /// Choice of upstreams.
    pub pool: Arc<UpstreamPool>,
    /// Limits of organisations.
    pub admission: Arc<AdmissionControl>,
    /// Demand since the last ping.
    pub demand: Arc<DemandMeter>,
    /// Client of agents.
    pub transport: AgentTransport,
    /// Client of the control group.
    pub control: ControlClient,
    /// Usage records.
    pub usage: Arc<UsageReporter>,
    /// Metrics.
    pub metrics: Arc<EntryMetrics>,
    /// Budgets of retries and hedges.
    pub retries: RetryGate,
    /// Placement of suspects.
    pub suspects: Arc<SuspectGate>,
    /// Reads that are shared.
    pub coalescer: Arc<ReadCoalescer>,
}
