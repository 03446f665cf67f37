//! Tests of the agent: its decisions alone, and the whole process over TCP.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod answers;
mod claim_register;
mod claims;
mod crash_detector;
mod crashes;
mod messages;
mod order_gate;
mod orders;
mod support;
