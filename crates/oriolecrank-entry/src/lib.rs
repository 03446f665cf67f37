//! Entry of oriolecrank: the instances between callers and upstreams.
//!
//! An [`EntryProcess`] follows the control group (`ControlFollower`, whose result is the
//! [`EntryState`]) and serves callers (`CallerServer`). A request passes these steps:
//!
//! - `CleanHead` removes what an upstream must not see; `CallPlanner` finds organisation, service
//!   and route and makes a `CallPlan`; `AdmissionControl` applies limits and the deadline.
//! - `CallRunner` makes attempts: `UpstreamPool` chooses, `RetryGate` and `SuspectGate` allow,
//!   [`AttemptStream`] reads one attempt and checks it. `ClaimRunner` does the same for calls that
//!   must run once, `ReadCoalescer` for reads that share one call.
//! - `answer_delivery` passes the whole answer on, and `EventDelivery` continues a streamed one on
//!   another upstream if need be.
//! - `UsageReporter`, `DemandMeter` and `EntryMetrics` count.

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
