//! Agent of oriolecrank: the sidecar process of each upstream.
//!
//! An [`AgentProcess`] announces its upstream to the control group, accepts requests from entries
//! (the instances that serve callers) and runs them on the upstream. The control group sends it
//! orders, such as a change of role, and opens claims: permissions to run a non-idempotent call on
//! one upstream.
//!
//! - [`AgentCore`] owns the request queue, the claims of non-idempotent calls and the answers.
//!   Answers are buffered until the entry has acknowledged them, so that the entry can resume on a
//!   new connection.
//! - [`OrderGate`] decides by fencing number which orders of the control group are executed.
//! - [`CrashDetector`] distinguishes a crash of the upstream from the loss of a single connection.
//! - [`UpstreamClient`] abstracts from the protocol of the upstream.

mod agent_core;
mod agent_metrics;
mod announcer;
mod answer_stream;
mod claim_register;
mod control_reporter;
mod crash_detector;
mod engine_setup;
mod failure_events;
mod options;
mod order_gate;
mod order_runner;
mod process;
mod request_table;
mod run_server;
mod running_answer;
mod upstream_client;
mod usage_meter;

pub use agent_core::AgentCore;
pub use claim_register::{ClaimAdmission, ClaimRegister};
pub use crash_detector::{
    CRASH_DETECTION_WINDOW, CrashDetector, CrashRecord, DisconnectGroupId, RunningCall,
};
pub use options::AgentOptions;
pub use order_gate::{GateSettings, OrderGate, OrderRefusal, OrderVerdict};
pub use process::{AgentError, AgentProcess};
pub use upstream_client::{CallError, HttpUpstream, UpstreamAnswer, UpstreamCall, UpstreamClient};
pub use usage_meter::UsageMeter;
