//! Fair shares of engines that are overloaded: state of an entry and of the leader, their messages,
//! and metrics by organisation. The decisions are in [`oriolecrank_policy::fair_share`].

mod call_admission;
mod organisation_metrics;
mod service_gate;
mod share_messages;
mod start_wait;
mod work_table;

pub(crate) use call_admission::CallAdmission;
pub(crate) use organisation_metrics::{OrganisationMetrics, OrganisationOutcome};
pub(crate) use service_gate::ServiceGate;
pub(crate) use share_messages::{ServiceDemand, ServiceShares};
pub(crate) use work_table::WorkTable;
