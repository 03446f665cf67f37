//! Settings and sources of capacity plans.

use std::time::Duration;

use crate::capacity_inputs::CapacityInputs;
use crate::capacity_planner::PlannerSettings;
use crate::order_executor::OrderOutcomes;
use crate::platform_executor::StartOutcomes;

/// Settings of a [`CapacityExecutor`](crate::CapacityExecutor).
#[derive(Debug, Clone)]
pub struct CapacitySettings {
    /// Planners.
    pub planner: PlannerSettings,
    /// Time between two plans.
    pub plan_interval: Duration,
    /// A new leader plans nothing for this long, until it has heard from all subscribers and agents.
    pub warm_up: Duration,
    /// A step that would take an upstream out of work is dropped if it has not begun within this
    /// time, because the plan no longer fits the demand.
    pub begin_timeout: Duration,
    /// Longest drain before a role change; the upstream then takes work again.
    pub role_drain_limit: Duration,
    /// Longest drain before a stop; the upstream then takes work again.
    pub stop_drain_limit: Duration,
    /// Time within which a drained upstream announces that it takes no work. One that does not has
    /// restarted since, and its change is given up.
    pub drain_visible_timeout: Duration,
    /// How long a change waits for an upstream that has lost its lease.
    pub rejoin_timeout: Duration,
    /// How long the result of an order that is no longer in flight may be on its way to the plan.
    pub result_timeout: Duration,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self {
            planner: PlannerSettings::default(),
            plan_interval: Duration::from_secs(5),
            warm_up: Duration::from_secs(10),
            begin_timeout: Duration::from_mins(1),
            role_drain_limit: Duration::from_mins(1),
            stop_drain_limit: Duration::from_mins(10),
            drain_visible_timeout: Duration::from_secs(5),
            rejoin_timeout: Duration::from_mins(1),
            result_timeout: Duration::from_secs(1),
        }
    }
}

/// What plans are made from besides the replicated state.
#[derive(Debug, Clone, Default)]
pub struct CapacitySources {
    /// Demand and load.
    pub inputs: CapacityInputs,
    /// Results of orders.
    pub orders: OrderOutcomes,
    /// Ended starts; `None` without a platform, when only roles change.
    pub starts: Option<StartOutcomes>,
}
