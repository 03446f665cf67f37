//! Contract tests of an entry over TCP, against scripted agents and a scripted control instance.

#![expect(
    clippy::unwrap_used,
    reason = "helpers outside of test functions may panic too"
)]

mod answers;
mod callers;
mod claims;
mod harness;
mod limits;
mod parts;
mod state;
mod streams;
mod suspects;
mod usage;
