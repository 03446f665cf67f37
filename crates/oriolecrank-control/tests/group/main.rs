//! Tests of a group of whole control processes that are connected over TCP. Relays between them can
//! drop all traffic, as in a network partition.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod failover;
mod harness;
mod membership;
mod relay;
mod submissions;
