//! Whole control processes over TCP, with relays between them that the tests cut.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod failover;
mod harness;
mod membership;
mod relay;
mod submissions;
