//! Tests of what the control leader does outside the replicated log.
#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod authority;
mod capacity_executor;
mod limit_shares;
mod order_executor;
mod platform_executor;
mod support;
mod usage_executor;
mod whole_process;
