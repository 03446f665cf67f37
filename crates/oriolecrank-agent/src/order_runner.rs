//! Carries out the orders of the control group.

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

/// The only sender of orders to the upstream.
#[derive(Debug)]
pub struct OrderRunner<U> {
    core: Arc<AgentCore<U>>,
    /// Lock order: locked alone and never across an await.
    gate: Mutex<OrderGate>,
    /// Lock order: locked alone and never across an await.
    setup: Mutex<EngineSetup>,
    /// Held while an order is carried out, so that only one is in flight.
    turn: AsyncMutex<()>,
}

impl<U: UpstreamClient> OrderRunner<U> {
    /// The runner of an agent that starts now.
    pub fn new(core: Arc<AgentCore<U>>, settings: GateSettings) -> Self {
        let gate = OrderGate::new(settings, BootClock.now());
        Self {
            core,
            gate: Mutex::new(gate),
            setup: Mutex::default(),
            turn: AsyncMutex::new(()),
        }
    }

    /// Learns the highest committed number.
    pub fn raise_floor(&self, fence: &FencingNumber) {
        self.gate().raise_floor(fence);
    }

    /// A newer agent exists: no order and no new work from now on.
    pub fn supersede(&self) {
        self.gate().supersede();
        self.core
            .table()
            .drain(UpstreamPhase::Leaving, BootClock.now());
    }

    /// What orders have set up.
    pub fn engine_setup(&self) -> EngineSetup {
        self.setup().clone()
    }

    /// Whether a newer agent exists.
    pub fn is_superseded(&self) -> bool {
        self.gate().is_superseded()
    }

    /// Carries out an order that was received at `received_at`.
    pub async fn execute(&self, order: &EngineOrder, received_at: TimePoint) -> OrderAnswer {
        if order.upstream != *self.core.upstream_id() {
            return self.answer(
                order,
                OrderResult::Refused,
                Some("the order is for another upstream"),
            );
        }
        let _turn = self.turn.lock().await;
        // Checked after the wait for the turn, so that a pause or a long earlier order counts.
        let lifetime = Duration::from_millis(order.lifetime_ms);
        let verdict = self
            .gate()
            .check(&order.fence, lifetime, received_at, BootClock.now());
        let until = match verdict {
            OrderVerdict::Execute(until) => until,
            OrderVerdict::Repeat(result) => return self.answer(order, result, None),
            OrderVerdict::Refuse(refusal) => {
                let reason = refusal.to_string();
                tracing::warn!(
                    event = LogEvent::OrderRefused.number(),
                    reason,
                    "order refused"
                );
                return self.answer(order, OrderResult::Refused, Some(&reason));
            }
        };
        let (result, reason) = self.apply(order, until).await;
        if result == OrderResult::Done {
            self.setup().note(&order.action);
            self.core.phase_changed().notify_one();
        }
        self.gate().settle(&order.fence, result);
        let event = LogEvent::OrderFinished.number();
        tracing::info!(event, result = %result, sequence = order.fence.sequence, "order finished");
        self.answer(order, result, reason)
    }

    async fn apply(
        &self,
        order: &EngineOrder,
        until: TimePoint,
    ) -> (OrderResult, Option<&'static str>) {
        match order.action {
            OrderAction::Drain => {
                self.core
                    .table()
                    .drain(UpstreamPhase::Changing, BootClock.now());
                self.core.phase_changed().notify_one();
                return (OrderResult::Done, None);
            }
            OrderAction::Undrain => {
                self.core.table().undrain();
                self.core.phase_changed().notify_one();
                return (OrderResult::Done, None);
            }
            OrderAction::ChangeRole { .. } | OrderAction::LoadModel { .. } => {
                // A planned change must not cut off a request, so the upstream is drained first.
                if !self.core.table().is_idle() {
                    return (
                        OrderResult::Failed,
                        Some("requests are running; drain first"),
                    );
                }
            }
            OrderAction::LoadAdapter { .. } | OrderAction::ExportCache { .. } => {}
        }
        let bound = until.since(BootClock.now());
        if bound.is_zero() {
            return (
                OrderResult::Failed,
                Some("the lifetime of the order has passed"),
            );
        }
        let result = self.core.upstream().order(order, bound).await;
        (result, None)
    }

    fn answer(
        &self,
        order: &EngineOrder,
        result: OrderResult,
        reason: Option<&str>,
    ) -> OrderAnswer {
        self.core.metrics().count_order(&result.to_string());
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
            .expect("no holder of the setup lock panics")
    }

    fn gate(&self) -> MutexGuard<'_, OrderGate> {
        self.gate.lock().expect("no holder of the gate lock panics")
    }
}
