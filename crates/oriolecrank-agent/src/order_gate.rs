//! Decides which orders an agent carries out.

use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{FencingNumber, OrderResult};
use snafu::Snafu;

/// Times of an [`OrderGate`].
#[derive(Debug, Clone)]
pub struct GateSettings {
    /// Longest life of an order. An earlier agent of the same upstream may still carry one out for
    /// this long after this agent has started.
    pub order_lifetime: Duration,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            order_lifetime: Duration::from_secs(2),
        }
    }
}

/// Why an order is not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum OrderRefusal {
    /// A newer agent for the upstream exists.
    #[snafu(display("a newer agent for this upstream exists"))]
    Superseded,
    /// The agent has not yet learned the highest committed number.
    #[snafu(display("the fencing floor is not known yet"))]
    FloorUnknown,
    /// An order of an earlier agent may still be in flight.
    #[snafu(display("an order of an earlier agent may still be in flight"))]
    StartupWait,
    /// A later order was committed.
    #[snafu(display("the fencing number is below the floor"))]
    OldNumber,
    /// The order waited or the agent was paused for longer than the order lives.
    #[snafu(display("the lifetime of the order has passed"))]
    Expired,
}

/// What to do with an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderVerdict {
    /// Carry it out, and send nothing after the given time.
    Execute(TimePoint),
    /// It was already carried out with this result.
    Repeat(OrderResult),
    /// Do not carry it out.
    Refuse(OrderRefusal),
}

/// Order number that compares by term, then sequence.
type OrderKey = (u64, u64);

/// Fencing state of one agent.
#[derive(Debug)]
pub struct OrderGate {
    settings: GateSettings,
    started_at: TimePoint,
    /// Highest number seen; never falls. `None` until the control group has told it.
    floor: Option<OrderKey>,
    /// Number and result of the last settled order; its number is not above the floor.
    settled: Option<(OrderKey, OrderResult)>,
    superseded: bool,
}

impl OrderGate {
    /// The gate of an agent that starts now.
    pub const fn new(settings: GateSettings, now: TimePoint) -> Self {
        Self {
            settings,
            started_at: now,
            floor: None,
            settled: None,
            superseded: false,
        }
    }

    /// Learns the highest committed number; an older one has no effect.
    pub fn raise_floor(&mut self, fence: &FencingNumber) {
        self.floor = self.floor.max(Some(order_key(fence)));
    }

    /// Refuses everything from now on.
    pub const fn supersede(&mut self) {
        self.superseded = true;
    }

    /// Whether a newer agent exists.
    pub const fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Highest number seen.
    pub fn floor(&self) -> FencingNumber {
        let (term, sequence) = self.floor.unwrap_or_default();
        FencingNumber { sequence, term }
    }

    /// Decides on an order that was received at `received_at`.
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
            return OrderVerdict::Refuse(OrderRefusal::OldNumber);
        }
        if let Some((settled, result)) = self.settled
            && settled == key
        {
            return OrderVerdict::Repeat(result);
        }
        if now.since(self.started_at) < self.settings.order_lifetime {
            return OrderVerdict::Refuse(OrderRefusal::StartupWait);
        }
        let until = received_at + lifetime.min(self.settings.order_lifetime);
        if now >= until {
            return OrderVerdict::Refuse(OrderRefusal::Expired);
        }
        self.floor = Some(key);
        OrderVerdict::Execute(until)
    }

    /// Stores the result of an order. An unknown result is not stored, so that the same number can
    /// be carried out again.
    pub fn settle(&mut self, fence: &FencingNumber, result: OrderResult) {
        if result != OrderResult::Unknown {
            self.settled = Some((order_key(fence), result));
        }
    }
}

const fn order_key(fence: &FencingNumber) -> OrderKey {
    (fence.term, fence.sequence)
}
