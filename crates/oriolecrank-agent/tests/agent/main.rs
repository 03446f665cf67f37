//! Unit tests of the agent's decisions and tests of the whole process over TCP.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod answers;
mod claim_register;
mod claims;
mod crash_detector;
mod crashes;
mod cut_answers;
mod endless_answers;
mod messages;
mod order_gate;
mod orders;
mod pauses;
mod support;
