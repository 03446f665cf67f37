//! Tests that run the programs as separate processes, which communicate over TCP and find each
//! other through their settings files. They need the binaries of the workspace, which
//! `cargo test --workspace` builds.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod cluster;
mod faults;
mod program;
mod programs;
mod reserved_address;
mod support;
