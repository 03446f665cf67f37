//! Prometheus metrics of an agent.

use oriolecrank_schema::data_path::UpstreamLoad;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label set with the stable code of a refusal or the result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabel {
    code: String,
}

/// Counters and gauges of an agent. Clones share the same values.
#[derive(Debug, Clone, Default)]
pub struct AgentMetrics {
    refusals: Family<CodeLabel, Counter>,
    crashes: Counter,
    orders: Family<CodeLabel, Counter>,
    queued: Gauge,
    running: Gauge,
    tokens_in_flight: Gauge,
}

impl AgentMetrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        let refusals = self.refusals.clone();
        registry.register(
            "agent_refusals",
            "Requests refused before they ran, by code",
            refusals,
        );
        registry.register(
            "agent_crashes",
            "Crashes of the upstream",
            self.crashes.clone(),
        );
        registry.register("agent_orders", "Orders by result", self.orders.clone());
        registry.register("agent_queued", "Requests that wait", self.queued.clone());
        registry.register("agent_running", "Requests that run", self.running.clone());
        let tokens = self.tokens_in_flight.clone();
        registry.register(
            "agent_tokens_in_flight",
            "Tokens reserved on the engine",
            tokens,
        );
    }

    /// Counts a refused request.
    pub fn count_refusal(&self, code: &str) {
        self.refusals
            .get_or_create(&CodeLabel {
                code: code.to_owned(),
            })
            .inc();
    }

    /// Counts a crash of the upstream.
    pub fn count_crash(&self) {
        self.crashes.inc();
    }

    /// Counts an order by its result.
    pub fn count_order(&self, result: &str) {
        self.orders
            .get_or_create(&CodeLabel {
                code: result.to_owned(),
            })
            .inc();
    }

    /// Sets the load gauges.
    pub fn set_load(&self, load: &UpstreamLoad) {
        self.queued.set(i64::from(load.queued));
        self.running.set(i64::from(load.running));
        self.tokens_in_flight
            .set(i64::try_from(load.tokens_in_flight).unwrap_or(i64::MAX));
    }
}
