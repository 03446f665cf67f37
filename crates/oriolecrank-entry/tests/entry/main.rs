//! Tests of an entry over TCP, with fake agents and a fake control instance that follow scripts.

#![expect(
    clippy::unwrap_used,
    reason = "helper functions of tests may panic too"
)]

mod answers;
mod callers;
mod claims;
mod components;
mod harness;
mod limits;
mod pauses;
mod state;
mod streams;
mod suspects;
mod usage;
