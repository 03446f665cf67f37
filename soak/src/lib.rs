//! Soak of the real programs: separate processes on loopback, with faults from outside.
//!
//! [`run_soak`] starts control instances, agents and entries, draws a [`FaultSchedule`] from a seed and
//! injects it (signals to processes; a [`FaultyProxy`] on each link), while callers check the promises
//! of the product from what they and the fake upstreams see. A seed reprints its schedule.

mod call_load;
mod fault_schedule;
mod faulty_proxy;
mod operator_load;
mod soak_cluster;
mod soak_process;
mod soak_report;
mod soak_run;

pub use fault_schedule::{FaultSchedule, FaultTarget, LinkFault, PlannedFault, ProcessFault};
pub use faulty_proxy::FaultyProxy;
pub use soak_report::SoakReport;
pub use soak_run::{SoakError, SoakOptions, run_soak, schedule_of};
