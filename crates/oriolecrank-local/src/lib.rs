//! Runs every role of oriolecrank in one process on loopback, with fake upstreams.
//!
//! [`LocalCluster`] starts a control instance, agents with their fake upstreams and an entry.
//! [`self_check`] sends requests to the entry over TCP, as a caller does, and checks the answers.

mod local_cluster;
mod self_check;

pub use local_cluster::{LOCAL_KEY, LocalCluster, LocalError, LocalOptions};
pub use self_check::{CheckResult, self_check};
