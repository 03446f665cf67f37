//! Agent of oriolecrank: the process beside each upstream.
//!
//! An [`AgentProcess`] announces its upstream to the control group, takes requests from entries and
//! runs them on the upstream. The answers are kept in an [`AnswerTable`] until the entry has
//! acknowledged them, so that an entry can continue on a new connection at its offset. The format of
//! the upstream is behind [`UpstreamClient`].

mod announcer;
mod answer_table;
mod options;
mod process;
mod run_server;
mod upstream_client;
mod usage_meter;

pub use answer_table::{AnswerTable, AttemptId, RunningAnswer};
pub use options::AgentOptions;
pub use process::{AgentError, AgentProcess};
pub use upstream_client::{CallError, HttpUpstream, UpstreamAnswer, UpstreamCall, UpstreamClient};
pub use usage_meter::UsageMeter;
