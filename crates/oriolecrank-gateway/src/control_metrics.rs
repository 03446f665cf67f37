//! Metrics of a control instance of a site.

use oriolecrank_consensus::RoleName;
use oriolecrank_control::ReplicaStatus;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Values of the gauges that the status of the replica does not contain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct SiteGaugeValues {
    /// Version of the newest committed document; 0 without one.
    pub(crate) document_version: u64,
    /// Upstreams in the directory of this instance.
    pub(crate) upstreams: usize,
    /// Entries that sync with this instance.
    pub(crate) entries: u32,
    /// Closed usage windows that the usage interface has not accepted yet.
    pub(crate) unreported_windows: usize,
}

/// Counters and gauges of the process; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct ControlMetrics {
    leader: Gauge,
    term: Gauge,
    committed_index: Gauge,
    applied_index: Gauge,
    members: Gauge,
    document_version: Gauge,
    upstreams: Gauge,
    entries: Gauge,
    unreported_windows: Gauge,
    storage_failed: Gauge,
    windows_reported: Counter,
    reports_refused: Counter,
    orders_accepted: Counter,
    orders_refused: Counter,
}

impl ControlMetrics {
    /// Registers all metrics under the names that operators use.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let gauges = [
            ("leader", "1 if this instance leads", &self.leader),
            ("term", "Term of the control group", &self.term),
            (
                "committed_index",
                "Highest log index known to be committed",
                &self.committed_index,
            ),
            (
                "applied_index",
                "Highest log index in the state",
                &self.applied_index,
            ),
            ("members", "Members of the control group", &self.members),
            (
                "document_version",
                "Version of the newest committed document, 0 before the first one",
                &self.document_version,
            ),
            ("upstreams", "Upstreams in the directory", &self.upstreams),
            (
                "entries",
                "Entries that report to this instance",
                &self.entries,
            ),
            (
                "unreported_windows",
                "Closed usage windows that were not accepted yet",
                &self.unreported_windows,
            ),
            (
                "storage_failed",
                "1 while the data folder cannot be used and this instance takes no part",
                &self.storage_failed,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        let help = "Usage windows that were accepted from this instance";
        registry.register("windows_reported", help, self.windows_reported.clone());
        let help = "Usage reports of this instance that were not accepted";
        registry.register("reports_refused", help, self.reports_refused.clone());
        let help = "Orders to engines that were accepted";
        registry.register("orders_accepted", help, self.orders_accepted.clone());
        let help = "Orders to engines that were refused or got no answer";
        registry.register("orders_refused", help, self.orders_refused.clone());
    }

    /// Updates all gauges.
    pub(crate) fn set_gauges(&self, status: &ReplicaStatus, values: &SiteGaugeValues) {
        let node = &status.node;
        self.leader.set(i64::from(node.role == RoleName::Leader));
        self.term.set(node.term.0.cast_signed());
        self.committed_index.set(node.commit_index.0.cast_signed());
        self.applied_index.set(status.applied_index.0.cast_signed());
        self.members
            .set(node.membership.members.len().cast_signed() as i64);
        self.document_version
            .set(values.document_version.cast_signed());
        self.upstreams.set(values.upstreams.cast_signed() as i64);
        self.entries.set(i64::from(values.entries));
        self.unreported_windows
            .set(values.unreported_windows.cast_signed() as i64);
    }

    /// Sets whether the data folder cannot be used. Without a replica, this instance leads nothing.
    pub(crate) fn set_storage_failed(&self, failed: bool) {
        self.storage_failed.set(i64::from(failed));
        if failed {
            self.leader.set(0);
        }
    }

    /// Counts the report of a usage window; `accepted` is false if it was refused or got no answer.
    pub(crate) fn count_report(&self, accepted: bool) {
        if accepted {
            self.windows_reported.inc();
        } else {
            self.reports_refused.inc();
        }
    }

    /// Counts an order to an engine; `accepted` is false if it was refused or got no answer.
    pub(crate) fn count_order(&self, accepted: bool) {
        if accepted {
            self.orders_accepted.inc();
        } else {
            self.orders_refused.inc();
        }
    }
}
