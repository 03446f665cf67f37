//! Settings and inputs of the capacity executor.

use std::time::Duration;

use crate::capacity_inputs::CapacityInputs;
use crate::capacity_planner::PlannerSettings;
use crate::order_executor::OrderOutcomes;
use crate::platform_executor::StartOutcomes;

/// Settings of a [`CapacityExecutor`](crate::CapacityExecutor).
#[derive(Debug, Clone)]
pub struct CapacitySettings {
    /// Settings of the planners of roles, starts and stops.
    pub planner: PlannerSettings,
    /// Shortest time between two planning attempts. No attempt is made while a plan is unfinished.
    pub plan_interval: Duration,
    /// Time for which a new leader makes no plan, so that the reports of all subscribers and agents
    /// can arrive first.
    pub warm_up: Duration,
    /// A change is dropped if its drain has not begun within this time after the leader first saw
    /// the plan, because the plan no longer fits the demand.
    pub begin_timeout: Duration,
    /// Longest drain before a role change. After it, the upstream takes work again and keeps its
    /// role.
    pub role_drain_timeout: Duration,
    /// Longest drain before a stop. After it, the upstream takes work again and is not stopped.
    pub stop_drain_timeout: Duration,
    /// Time within which a drained upstream must announce that it takes no work. One that still
    /// announces itself as ready has restarted since, and its change is abandoned.
    pub drain_visible_timeout: Duration,
    /// How long a change waits for an upstream that is no longer a member to join again.
    pub rejoin_timeout: Duration,
    /// How long the result of an order that is no longer in flight may be missing before the order
    /// is placed again.
    pub result_timeout: Duration,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self {
            planner: PlannerSettings::default(),
            plan_interval: Duration::from_secs(5),
            warm_up: Duration::from_secs(10),
            begin_timeout: Duration::from_mins(1),
            role_drain_timeout: Duration::from_mins(1),
            stop_drain_timeout: Duration::from_mins(10),
            drain_visible_timeout: Duration::from_secs(5),
            rejoin_timeout: Duration::from_mins(1),
            result_timeout: Duration::from_secs(1),
        }
    }
}

/// Inputs of a [`CapacityExecutor`](crate::CapacityExecutor) besides the replicated state.
#[derive(Debug, Clone, Default)]
pub struct CapacitySources {
    /// Reported demand and load.
    pub inputs: CapacityInputs,
    /// Outcomes of orders, from the order executor.
    pub orders: OrderOutcomes,
    /// Outcomes of starts; `None` without a platform, in which case only roles change.
    pub starts: Option<StartOutcomes>,
}
