//! Fakes of the systems around oriolecrank, for tests, measurements and the local demo.
//!
//! - [`FakeEngine`] is a model engine that answers OpenAI-style completions.
//! - [`FakeLedger`] is a plain service that counts the entries it stores.
//! - [`FakePlatform`] starts and stops upstreams.
//! - [`FakeUsage`] receives usage reports.
//! - [`FakeAgent`] and [`FakeControl`] replace processes of oriolecrank in the tests of others.
//! - [`FakeServer`] serves a fake on a loopback port and can be killed.
//! - [`EngineFaults`] and [`FaultQueue`] inject faults.

mod answer_faults;
mod fake_agent;
mod fake_control;
mod fake_engine;
mod fake_ledger;
mod fake_platform;
mod fake_server;
mod fake_usage;

pub use answer_faults::{AnswerFault, FaultQueue};
pub use fake_agent::{
    AgentCall, AgentLog, AgentStep, FakeAgent, accepted, chunk, end, failed, head, idle_load,
    whole_answer,
};
pub use fake_control::{ControlLog, ControlScript, FakeControl};
pub use fake_engine::{
    CALLS_PATH, CRASH_MARKER, CRASHES_PATH, EngineFaults, EngineOptions, FakeEngine, expected_text,
};
pub use fake_ledger::{COUNT_PATH, FakeLedger, LedgerEntry};
pub use fake_platform::{FakePlatform, PlatformRequest, RunningUpstream};
pub use fake_server::FakeServer;
pub use fake_usage::{FakeUsage, ReceivedReport};
