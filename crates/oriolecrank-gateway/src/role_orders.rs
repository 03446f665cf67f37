//! Leader task that orders prefill engines to decode when their service has no engine that serves
//! requests.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::{BootClock, HttpClient};
use oriolecrank_routing::{ActingTerm, OrderOutcome, RoleOrder, RoleRepair, RoleRepairSettings};
use oriolecrank_schema::event::LogEvent;
use tokio::time::{MissedTickBehavior, interval};

use crate::control_metrics::ControlMetrics;
use crate::dialect::OrderDialect;
use crate::site_publisher::SitePublisher;
use crate::site_tables::SiteTables;

/// Interval between checks whether a service lacks engines that serve requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer to an order, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Settings of orders to engines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RoleOrderSettings {
    /// Time for which a new leader waits before it gives orders, so that its predecessor has stopped.
    pub lease: Duration,
    /// When engines are ordered to decode.
    pub repair: RoleRepairSettings,
}

/// Task that gives orders while this instance leads.
#[derive(Debug)]
pub(crate) struct RoleOrders<D> {
    pub(crate) settings: RoleOrderSettings,
    pub(crate) dialect: Arc<D>,
    pub(crate) client: HttpClient,
    pub(crate) publisher: SitePublisher,
    pub(crate) tables: Arc<SiteTables>,
    pub(crate) metrics: ControlMetrics,
}

impl<D: OrderDialect> RoleOrders<D> {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut repair = RoleRepair::new(self.settings.repair.clone(), BootClock.now());
        let mut acting_term = ActingTerm::new(self.settings.lease);
        loop {
            ticks.tick().await;
            let now = BootClock.now();
            repair.observe(&self.tables.lock().directory, now);
            let Some(term) = acting_term.update(self.led_term(), now) else {
                continue;
            };
            let orders = repair.due_orders(&self.tables.lock().directory, now);
            for order in orders {
                // Checked before each order, because leadership may be lost during the earlier ones.
                if self.led_term() != Some(term) {
                    break;
                }
                let outcome = self.give(&order, term).await;
                repair.record_outcome(&order, outcome, BootClock.now());
                self.metrics.count_order(outcome == OrderOutcome::Accepted);
                if outcome == OrderOutcome::Fenced {
                    acting_term.mark_fenced();
                    break;
                }
            }
        }
    }

    /// Term that this instance leads, while its authority lasts.
    fn led_term(&self) -> Option<u64> {
        let authority = self.publisher.replica.authority();
        authority.map(|authority| authority.term.0)
    }

    async fn give(&self, order: &RoleOrder, term: u64) -> OrderOutcome {
        let request = self.dialect.role_order(order, term);
        let answer = self.client.send(order.address, request, ORDER_TIMEOUT);
        let (outcome, reason) = match answer.await {
            Ok(answer) => {
                let status = answer.status();
                let outcome = self.dialect.decode_role_reply(status, answer.headers());
                if let Err(error) = answer.collect(MAX_ANSWER_BYTES, ORDER_TIMEOUT).await {
                    tracing::debug!(%error, "the body of the answer to an order could not be read");
                }
                (outcome, format!("status {status}"))
            }
            Err(error) => (OrderOutcome::Unanswered, error.to_string()),
        };
        tracing::warn!(
            event = LogEvent::RoleOrdered.number(),
            service = %order.service,
            upstream = %order.upstream,
            term,
            ?outcome,
            reason,
            "no engine of a service serves requests; a prefill engine was ordered to decode"
        );
        outcome
    }
}
