//! Soak test of the real programs, run as separate processes on loopback with injected faults.
//!
//! [`run_soak`] starts control instances, agents and entries, draws a [`FaultSchedule`] from a seed
//! and injects it: signals to processes, and a [`FaultyProxy`] on each link. Meanwhile callers and
//! an operator check the guarantees of the system against the answers they get and the calls that
//! the fake upstreams receive. The same seed gives the same schedule.

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
