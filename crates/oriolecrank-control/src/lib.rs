//! Control instance of oriolecrank.
//!
//! A [`ControlProcess`] is bound to its addresses first, so that tests can use port 0, and then
//! runs until shutdown. [`ControlOptions`] are its checked settings. Commands go through
//! [`local_log`] into [`local_state`]; [`SubscriptionHub`] pushes the changes to subscribers.

pub mod local_log;
pub mod local_state;
mod options;
mod process;
mod request_server;
mod subscription_hub;

pub use options::ControlOptions;
pub use process::{ControlError, ControlProcess};
pub use subscription_hub::SubscriptionHub;
