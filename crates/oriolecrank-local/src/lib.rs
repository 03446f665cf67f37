//! Every role of oriolecrank in one process on loopback, with small fakes.
//!
//! [`LocalCluster`] starts a control instance, agents, an entry and their fakes; [`self_check`]
//! sends requests to it over TCP as a caller.

mod local_cluster;
mod self_check;

pub use local_cluster::{LOCAL_KEY, LocalCluster, LocalError, LocalOptions};
pub use self_check::{CheckResult, self_check};
