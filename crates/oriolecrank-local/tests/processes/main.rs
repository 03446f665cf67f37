//! The programs as separate processes over TCP, killed, paused and stopped. The tests start them;
//! the programs find each other through their settings alone. The binaries are built by
//! `cargo test --workspace`.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod cluster;
mod faults;
mod program;
mod programs;
mod reserved_address;
mod support;
