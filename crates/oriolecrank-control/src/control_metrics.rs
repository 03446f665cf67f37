//! Metrics of a control instance.

use oriolecrank_schema::control::OrderResult;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label with the result or kind that a counter is split by.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabel {
    code: String,
}

/// Current values of the gauges of a control instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GaugeValues {
    /// Whether this instance leads.
    pub leader: bool,
    /// Term of the leader; 0 at a follower.
    pub term: u64,
    /// Revision of the document in force at this instance.
    pub revision: u64,
    /// Index of the last applied log entry.
    pub applied_index: u64,
    /// Number of upstreams that have announced themselves and are members.
    pub upstreams: usize,
    /// Number of instances of the control group.
    pub members: usize,
    /// Lowest revision in force at a live subscriber; this instance's own revision if none is
    /// known.
    pub lowest_in_force: u64,
    /// Orders to agents that are not settled.
    pub orders_in_flight: usize,
    /// Starts and stops that are not finished.
    pub intents: usize,
    /// Closed windows that are not reported.
    pub unreported_windows: usize,
}

/// Counters and gauges of a control instance; clones share them.
#[derive(Debug, Clone, Default)]
pub struct ControlMetrics {
    leader: Gauge,
    term: Gauge,
    revision: Gauge,
    applied_index: Gauge,
    upstreams: Gauge,
    members: Gauge,
    lowest_in_force: Gauge,
    orders_in_flight: Gauge,
    open_intents: Gauge,
    unreported_windows: Gauge,
    orders: Family<CodeLabel, Counter>,
    intents: Family<CodeLabel, Counter>,
    windows_reported: Counter,
    windows_late: Counter,
    plan_changes: Family<CodeLabel, Counter>,
}

impl ControlMetrics {
    /// Registers the metrics under their public names.
    pub fn register(&self, registry: &mut Registry) {
        let gauges = [
            ("control_leader", "1 if this instance leads", &self.leader),
            (
                "control_term",
                "Term of the leader, 0 at a follower",
                &self.term,
            ),
            ("control_revision", "Revision in force", &self.revision),
            (
                "control_applied_index",
                "Index of the last applied log entry",
                &self.applied_index,
            ),
            ("control_upstreams", "Announced upstreams", &self.upstreams),
            (
                "control_members",
                "Instances of the control group",
                &self.members,
            ),
            (
                "control_lowest_revision_in_force",
                "Lowest revision in force at a live subscriber",
                &self.lowest_in_force,
            ),
            (
                "control_orders_in_flight",
                "Orders that are not settled",
                &self.orders_in_flight,
            ),
            (
                "control_open_intents",
                "Starts and stops that are not finished",
                &self.open_intents,
            ),
            (
                "control_unreported_windows",
                "Closed usage windows that are not reported",
                &self.unreported_windows,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        let families = [
            (
                "control_orders",
                "Settled orders to agents, by result",
                &self.orders,
            ),
            (
                "control_intents",
                "Settled starts and stops, by result",
                &self.intents,
            ),
            (
                "control_plan_changes",
                "Committed capacity changes, by kind",
                &self.plan_changes,
            ),
        ];
        for (name, help, family) in families {
            registry.register(name, help, family.clone());
        }
        registry.register(
            "control_windows_reported",
            "Usage windows that the receiver accepted",
            self.windows_reported.clone(),
        );
        registry.register(
            "control_windows_late",
            "Usage windows not accepted within one window length after their close",
            self.windows_late.clone(),
        );
    }

    /// Sets the gauges; values above `i64::MAX` are shown as `i64::MAX`.
    pub fn set_gauges(&self, values: &GaugeValues) {
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let number = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        self.leader.set(i64::from(values.leader));
        self.term.set(number(values.term));
        self.revision.set(number(values.revision));
        self.applied_index.set(number(values.applied_index));
        self.upstreams.set(count(values.upstreams));
        self.members.set(count(values.members));
        self.lowest_in_force.set(number(values.lowest_in_force));
        self.orders_in_flight.set(count(values.orders_in_flight));
        self.open_intents.set(count(values.intents));
        let windows = count(values.unreported_windows);
        self.unreported_windows.set(windows);
    }

    /// Counts a settled order to an agent.
    pub fn count_order(&self, result: OrderResult) {
        count(&self.orders, &result.to_string());
    }

    /// Counts a settled start or stop.
    pub fn count_intent(&self, result: OrderResult) {
        count(&self.intents, &result.to_string());
    }

    /// Counts a committed capacity change, for example `role`, `start` or `stop`.
    pub fn count_plan_change(&self, kind: &str) {
        count(&self.plan_changes, kind);
    }

    /// Counts a usage window that the usage interface accepted.
    pub fn count_reported_window(&self) {
        self.windows_reported.inc();
    }

    /// Counts a usage window that was not accepted within one window length after its close.
    pub fn count_late_window(&self) {
        self.windows_late.inc();
    }

    /// Number of late windows so far.
    pub fn late_windows(&self) -> u64 {
        self.windows_late.get()
    }
}

fn count(family: &Family<CodeLabel, Counter>, code: &str) {
    let code = code.to_owned();
    family.get_or_create(&CodeLabel { code }).inc();
}
