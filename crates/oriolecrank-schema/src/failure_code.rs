//! Codes of failed attempts that agents send and entries act on.

/// The agent refuses a claim that it has never run and never will run.
pub const CLAIM_REFUSED: &str = "claim_refused";

/// The upstream asks for a pause; the request has not run. The failure states the time until the
/// pause ends.
pub const UPSTREAM_PAUSED: &str = "upstream_paused";
