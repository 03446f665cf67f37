//! Demands of all entries at the leader, and the shares that follow from them.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;

use super::fair_share_settings::FairShareSettings;
use super::work_flow::{FlowDemand, FlowShare, WorkDemand, WorkFlow};
use super::work_split::split_capacity;

/// Time for which a report counts. Entries report twice a second while a service is overloaded; one
/// that has stopped or reports no overload any more leaves its part to the others soon.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Shortest time between two divisions, which limits the cost with many entries.
const SPLIT_INTERVAL: Duration = Duration::from_millis(100);

/// Demands for the engines of one service, by number of the entry's run.
#[derive(Debug, Default)]
pub struct WorkLedger {
    settings: FairShareSettings,
    reports: IndexMap<u64, (TimePoint, WorkDemand)>,
    /// Result of the last division, and when it was made.
    split: Option<(TimePoint, Vec<FlowShare>)>,
}

impl WorkLedger {
    /// An empty ledger.
    pub fn new(settings: FairShareSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Replaces the demand of an entry; one without flows is removed.
    pub fn record(&mut self, entry: u64, demand: WorkDemand, now: TimePoint) {
        if demand.flows.is_empty() {
            self.reports.swap_remove(&entry);
        } else {
            self.reports.insert(entry, (now, demand));
        }
    }

    /// Whether no entry reports a demand.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Flows that exceed their shares.
    pub fn shares(&mut self, now: TimePoint) -> &[FlowShare] {
        let is_current = self
            .split
            .as_ref()
            .is_some_and(|(at, _)| now.since(*at) < SPLIT_INTERVAL);
        if !is_current {
            let shares = self.divide(now);
            self.split = Some((now, shares));
        }
        self.split.as_ref().map_or(&[], |(_, shares)| shares)
    }

    fn divide(&mut self, now: TimePoint) -> Vec<FlowShare> {
        self.reports
            .retain(|_, (reported_at, _)| now.since(*reported_at) <= REPORT_LIFETIME);
        let mut totals: IndexMap<&WorkFlow, FlowDemand> = IndexMap::new();
        for demand in self.reports.values().flat_map(|(_, report)| &report.flows) {
            totals
                .entry(&demand.flow)
                .and_modify(|total| {
                    total.tokens_per_second += demand.tokens_per_second;
                    total.priority = total.priority.min(demand.priority);
                })
                .or_insert_with(|| demand.clone());
        }
        let totals: Vec<FlowDemand> = totals.into_values().collect();
        split_capacity(&totals, self.capacity(), &self.settings)
    }

    /// Median of the capacities that entries estimate. Each sees all engines, but one with few
    /// observations may be far off.
    fn capacity(&self) -> f64 {
        let reports = self.reports.values();
        let mut capacities: Vec<f64> = reports.map(|(_, report)| report.capacity).collect();
        capacities.sort_by(f64::total_cmp);
        let median = capacities.get(capacities.len() / 2);
        median.copied().unwrap_or(0.0)
    }
}
