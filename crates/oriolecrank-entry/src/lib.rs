//! Entry of oriolecrank: the process that accepts requests of callers and forwards them to agents,
//! which run them on their upstreams.
//!
//! An [`EntryProcess`] subscribes to the control group (`ControlFollower` keeps the [`EntryState`]
//! current) and serves callers (`CallerServer`). A request passes these steps:
//!
//! - `CleanHead` removes keys and header fields that an upstream must not see; `CallPlanner`
//!   determines organisation, service and route and creates a `CallPlan`; `AdmissionControl` checks
//!   limits and the deadline.
//! - `CallRunner` makes attempts: `UpstreamPool` chooses the upstream, `RetryGate` and
//!   `SuspectGate` decide whether the attempt is allowed, and [`AttemptStream`] reads and checks
//!   its answer. `ClaimRunner` runs non-idempotent calls at most once, and `ReadCoalescer` lets
//!   equal reads share one call.
//! - `answer_delivery` sends answers to the caller; `EventDelivery` does so for event streams and
//!   can continue a broken one on another upstream.
//! - `UsageReporter`, `DemandMeter` and `EntryMetrics` record usage, demand and metrics.

mod admission;
mod answer_delivery;
mod attempt_stream;
mod call_plan;
mod call_runner;
mod caller_answer;
mod caller_body;
mod caller_head;
mod caller_request_id;
mod caller_server;
mod claim_runner;
mod demand_meter;
mod entry_context;
mod entry_metrics;
mod entry_state;
mod event_splitter;
mod event_stream;
mod options;
mod process;
mod read_coalescer;
mod request_parser;
mod request_tracker;
mod retry_gate;
mod running_attempt;
mod subscription;
mod suspect_gate;
mod upstream_pool;
mod usage_reporter;

pub use attempt_stream::{AgentTransport, AttemptError, AttemptEvent, AttemptStream, CallSafety};
pub use demand_meter::{DemandMeter, DemandSample, MAX_PING_ENTRIES};
pub use entry_state::{EntryState, FrameFault, StateView};
pub use event_splitter::{EventKind, EventSplitter, MAX_EVENT_BYTES, ServerEvent};
pub use options::EntryOptions;
pub use process::{EntryError, EntryProcess};
