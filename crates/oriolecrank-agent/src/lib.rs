//! Agent of oriolecrank: the process beside each upstream.
//!
//! An [`AgentProcess`] announces its upstream to the control group, takes requests from entries and
//! runs them on the upstream.
//!
//! - [`AgentCore`] holds the work: a queue, the claims of non-idempotent calls and the answers, which
//!   are kept until the entry has acknowledged them, so that it can continue on a new connection.
//! - [`OrderGate`] decides by fencing number which orders are carried out.
//! - [`CrashDetector`] tells a crash of the upstream from the loss of one connection.
//! - The format of the upstream is behind [`UpstreamClient`].

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
mod run_server;
mod running_answer;
mod upstream_client;
mod usage_meter;
mod work_table;

pub use agent_core::AgentCore;
pub use claim_register::{ClaimRegister, ClaimSight};
pub use crash_detector::{BreakNumber, CRASH_SETTLE, CrashDetector, CrashRecord, RunningCall};
pub use options::AgentOptions;
pub use order_gate::{GateSettings, OrderGate, OrderRefusal, OrderVerdict};
pub use process::{AgentError, AgentProcess};
pub use upstream_client::{CallError, HttpUpstream, UpstreamAnswer, UpstreamCall, UpstreamClient};
pub use usage_meter::UsageMeter;
