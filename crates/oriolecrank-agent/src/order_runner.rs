//! Executes the orders of the control group.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use oriolecrank_net::BootClock;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{
    EngineOrder, FencingNumber, OrderAction, OrderAnswer, OrderResult, UpstreamPhase,
};
use oriolecrank_schema::event::LogEvent;
use tokio::sync::Mutex as AsyncMutex;

use crate::agent_core::AgentCore;
use crate::engine_setup::EngineSetup;
use crate::order_gate::{GateSettings, OrderGate, OrderVerdict};
use crate::upstream_client::UpstreamClient;

/// Executes orders one at a time; nothing else sends orders to the upstream.
#[derive(Debug)]
pub struct OrderRunner<U> {
    core: Arc<AgentCore<U>>,
    /// Lock order: locked alone and never across an await.
    gate: Mutex<OrderGate>,
    /// Lock order: locked alone and never across an await.
    setup: Mutex<EngineSetup>,
    /// Held while an order is executed, so that only one is in flight.
    order_lock: AsyncMutex<()>,
}

impl<U: UpstreamClient> OrderRunner<U> {
    /// Creates the runner of an agent that starts now.
    pub fn new(core: Arc<AgentCore<U>>, settings: GateSettings) -> Self {
        let gate = OrderGate::new(settings, BootClock.now());
        Self {
            core,
            gate: Mutex::new(gate),
            setup: Mutex::default(),
            order_lock: AsyncMutex::new(()),
        }
    }

    /// Raises the fencing floor to a committed number; a lower one has no effect.
    pub fn raise_floor(&self, fence: &FencingNumber) {
        self.gate().raise_floor(fence);
    }

    /// Refuses all orders and new requests from now on, because a newer agent exists.
    pub fn supersede(&self) {
        self.gate().supersede();
        self.core
            .table()
            .drain(UpstreamPhase::Leaving, BootClock.now());
    }

    /// Role and model set by orders.
    pub fn engine_setup(&self) -> EngineSetup {
        self.setup().clone()
    }

    /// Whether a newer agent for the same upstream exists.
    pub fn is_superseded(&self) -> bool {
        self.gate().is_superseded()
    }

    /// Executes an order that was received at `received_at`, unless the gate refuses it. A repeated
    /// order that already has a result is answered with it.
    pub async fn execute(&self, order: &EngineOrder, received_at: TimePoint) -> OrderAnswer {
        if order.upstream != *self.core.upstream_id() {
            return self.answer(
                order,
                OrderResult::Refused,
                Some("the order is for another upstream than the one of this agent"),
            );
        }
        let _order_guard = self.order_lock.lock().await;
        // Checked after waiting for earlier orders, so that the wait and any pause of the process
        // count against the lifetime.
        let lifetime = Duration::from_millis(order.lifetime_ms);
        let verdict = self
            .gate()
            .check(&order.fence, lifetime, received_at, BootClock.now());
        let expires_at = match verdict {
            OrderVerdict::Execute(expires_at) => expires_at,
            OrderVerdict::Repeat(result) => return self.answer(order, result, None),
            OrderVerdict::Refuse(refusal) => {
                let reason = refusal.to_string();
                tracing::warn!(
                    event = LogEvent::OrderRefused.number(),
                    reason,
                    "order refused; it is not executed"
                );
                return self.answer(order, OrderResult::Refused, Some(&reason));
            }
        };
        let (result, reason) = self.apply(order, expires_at).await;
        if result == OrderResult::Done {
            self.setup().record_order(&order.action);
            self.core.record_changed().notify_one();
        }
        self.gate().record_result(&order.fence, result);
        let event = LogEvent::OrderFinished.number();
        tracing::info!(event, result = %result, sequence = order.fence.sequence, "order finished");
        self.answer(order, result, reason)
    }

    async fn apply(
        &self,
        order: &EngineOrder,
        expires_at: TimePoint,
    ) -> (OrderResult, Option<&'static str>) {
        match order.action {
            OrderAction::Drain => {
                self.core
                    .table()
                    .drain(UpstreamPhase::Changing, BootClock.now());
                self.core.record_changed().notify_one();
                return (OrderResult::Done, None);
            }
            OrderAction::Undrain => {
                self.core.table().undrain();
                self.core.record_changed().notify_one();
                return (OrderResult::Done, None);
            }
            OrderAction::ChangeRole { .. } | OrderAction::LoadModel { .. } => {
                // A planned change must not cut off a request, so the control group drains the
                // upstream first.
                if !self.core.table().is_idle() {
                    return (
                        OrderResult::Failed,
                        Some("requests are still running; the upstream must be drained first"),
                    );
                }
            }
            OrderAction::LoadAdapter { .. } | OrderAction::ExportCache { .. } => {}
        }
        let time_limit = expires_at.since(BootClock.now());
        if time_limit.is_zero() {
            return (
                OrderResult::Failed,
                Some("the lifetime of the order ended before it was sent to the upstream"),
            );
        }
        let result = self.core.upstream().order(order, time_limit).await;
        (result, None)
    }

    fn answer(
        &self,
        order: &EngineOrder,
        result: OrderResult,
        reason: Option<&str>,
    ) -> OrderAnswer {
        self.core.metrics().count_order(&result.to_string());
        // From the floor, the control group detects whether a later order made this one stale.
        let fence = match result {
            OrderResult::Refused => self.gate().floor(),
            _ => order.fence.clone(),
        };
        OrderAnswer {
            fence,
            reason: reason.map(str::to_owned),
            result,
        }
    }

    fn setup(&self) -> MutexGuard<'_, EngineSetup> {
        self.setup
            .lock()
            .expect("the setup lock is never poisoned: no holder panics")
    }

    fn gate(&self) -> MutexGuard<'_, OrderGate> {
        self.gate
            .lock()
            .expect("the gate lock is never poisoned: no holder panics")
    }
}
