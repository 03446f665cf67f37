//! Control instance of oriolecrank.
//!
//! A [`ControlProcess`] is bound to its addresses first, so that tests can use port 0, and then
//! runs until shutdown. [`ControlOptions`] are its checked settings.
//!
//! - [`CommandReplica`] is the replicated log; committed commands change the [`SharedState`], which
//!   tells the subscribers.
//! - [`LeaderDuties`] are what only the leader does; [`LeaseTable`] and [`SubscriberTable`] hold its
//!   view of upstreams and entries.
//! - `request_server` answers the other processes.

mod command_replica;
mod leader_duties;
mod lease_table;
mod local_log;
mod local_replica;
mod options;
mod process;
mod request_server;
mod shared_state;
mod subscriber_table;
mod subscription_hub;

pub use command_replica::CommandReplica;
pub use leader_duties::LeaderDuties;
pub use lease_table::{LeaseReport, LeaseSettings, LeaseTable};
pub use options::{ControlOptions, InitialMember};
pub use process::{ControlError, ControlProcess};
pub use shared_state::SharedState;
pub use subscriber_table::{ForceReport, SubscriberRecord, SubscriberTable};
pub use subscription_hub::SubscriptionHub;
