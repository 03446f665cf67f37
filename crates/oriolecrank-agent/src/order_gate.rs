//! Fencing check that decides which orders an agent executes.
//!
//! Each order has a fencing number. The agent refuses a number below its floor, which is the
//! highest one that it has seen.

use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{FencingNumber, OrderResult};
use snafu::Snafu;

/// Settings of an [`OrderGate`].
#[derive(Debug, Clone)]
pub struct GateSettings {
    /// Longest lifetime of an order. After its own start the agent refuses new orders for the same
    /// time, because an earlier agent of the upstream may still be executing one.
    pub order_lifetime: Duration,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            order_lifetime: Duration::from_secs(2),
        }
    }
}

/// Why an order is not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum OrderRefusal {
    /// A newer agent for the same upstream has announced itself.
    #[snafu(display("this agent was replaced by a newer one for the same upstream"))]
    Superseded,
    /// The agent has not yet received the highest committed fencing number from the control group.
    #[snafu(display("the agent has not yet received the fencing floor from the control group"))]
    FloorUnknown,
    /// The agent has just started, and an order of an earlier agent may still be in flight.
    #[snafu(display("an order of an earlier agent may still be in flight"))]
    StartupWait,
    /// The fencing number is below the floor: a later order was committed.
    #[snafu(display("the fencing number is below the floor: a later order was committed"))]
    StaleNumber,
    /// The lifetime of the order ended while it waited or the agent was paused.
    #[snafu(display("the lifetime of the order ended before it was executed"))]
    Expired,
}

/// Decision of the gate on an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderVerdict {
    /// Execute it; nothing may be sent to the upstream from the given time on.
    Execute(TimePoint),
    /// It was already executed; answer with this result.
    Repeat(OrderResult),
    /// Do not execute it.
    Refuse(OrderRefusal),
}

/// Fencing number as term and sequence, compared in this order.
type OrderKey = (u64, u64);

/// Fencing state of one agent process.
#[derive(Debug)]
pub struct OrderGate {
    settings: GateSettings,
    started_at: TimePoint,
    /// Highest fencing number seen; never decreases. `None` until the control group has answered
    /// the first announcement.
    floor: Option<OrderKey>,
    /// Fencing number and result of the last finished order; the number is at most the floor.
    last_result: Option<(OrderKey, OrderResult)>,
    superseded: bool,
}

impl OrderGate {
    /// Creates the gate of an agent that starts at `now`.
    pub const fn new(settings: GateSettings, now: TimePoint) -> Self {
        Self {
            settings,
            started_at: now,
            floor: None,
            last_result: None,
            superseded: false,
        }
    }

    /// Raises the floor to a committed fencing number; a lower one has no effect.
    pub fn raise_floor(&mut self, fence: &FencingNumber) {
        self.floor = self.floor.max(Some(order_key(fence)));
    }

    /// Refuses every order from now on, because a newer agent exists.
    pub const fn supersede(&mut self) {
        self.superseded = true;
    }

    /// Whether a newer agent for the same upstream exists.
    pub const fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Highest fencing number seen; 0 in both parts while it is unknown.
    pub fn floor(&self) -> FencingNumber {
        let (term, sequence) = self.floor.unwrap_or_default();
        FencingNumber { sequence, term }
    }

    /// Decides whether to execute an order that was received at `received_at`. If so, its fencing
    /// number becomes the floor.
    pub fn check(
        &mut self,
        fence: &FencingNumber,
        lifetime: Duration,
        received_at: TimePoint,
        now: TimePoint,
    ) -> OrderVerdict {
        if self.superseded {
            return OrderVerdict::Refuse(OrderRefusal::Superseded);
        }
        let Some(floor) = self.floor else {
            return OrderVerdict::Refuse(OrderRefusal::FloorUnknown);
        };
        let key = order_key(fence);
        if key < floor {
            return OrderVerdict::Refuse(OrderRefusal::StaleNumber);
        }
        if let Some((last_key, result)) = self.last_result
            && last_key == key
        {
            return OrderVerdict::Repeat(result);
        }
        if now.since(self.started_at) < self.settings.order_lifetime {
            return OrderVerdict::Refuse(OrderRefusal::StartupWait);
        }
        let expires_at = received_at + lifetime.min(self.settings.order_lifetime);
        if now >= expires_at {
            return OrderVerdict::Refuse(OrderRefusal::Expired);
        }
        self.floor = Some(key);
        OrderVerdict::Execute(expires_at)
    }

    /// Stores the result of an order. An unknown result is not stored, so that an order with the
    /// same number can be executed again.
    pub fn record_result(&mut self, fence: &FencingNumber, result: OrderResult) {
        if result != OrderResult::Unknown {
            self.last_result = Some((order_key(fence), result));
        }
    }
}

const fn order_key(fence: &FencingNumber) -> OrderKey {
    (fence.term, fence.sequence)
}
