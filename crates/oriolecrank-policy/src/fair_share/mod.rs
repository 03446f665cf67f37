//! Fair shares of a service's engines while callers want more than the engines can read.
//!
//! Work is counted in prompt tokens that an engine has to read. Each entry meters it by
//! [`WorkFlow`], which is an organisation and a kind of request. While the service is overloaded,
//! the entries report their demands to the leader. Its [`WorkLedger`] adds them up and divides the
//! capacity with [`split_capacity`]; the answer names the flows that exceed their share. The
//! [`FairGate`] of each entry admits a fraction of the work of these flows and all work of the
//! others. Refused callers get the next free time of a [`ReturnSchedule`].

mod engine_backlog;
mod fair_gate;
mod fair_share_settings;
mod return_schedule;
mod work_flow;
mod work_ledger;
mod work_split;

pub use engine_backlog::EngineBacklog;
pub use fair_gate::{FairGate, FairRefusal, FairRequest};
pub use fair_share_settings::{FairShareSettings, SettingFault};
pub use return_schedule::ReturnSchedule;
pub use work_flow::{FlowDemand, FlowShare, WorkDemand, WorkFlow};
pub use work_ledger::WorkLedger;
pub use work_split::split_capacity;
