//! Tests of the capacity planners, one module per source module.

mod cache_transfer;
mod capability_estimate;
mod change_plan;
mod common;
mod demand_estimate;
mod fleet_planner;
mod model_placement;
mod platform_reconciliation;
mod role_planner;
mod role_planner_differential;
