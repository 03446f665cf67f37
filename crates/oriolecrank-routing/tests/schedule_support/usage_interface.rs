//! Model of the usage interface, which checks the reports that it receives.

use std::collections::{BTreeMap, HashMap};

use oriolecrank_consensus::InstanceId;
use oriolecrank_routing::{OrganisationCounts, WindowNumber};

/// A report in flight.
#[derive(Debug, Clone)]
pub struct UsageReport {
    pub reporter: InstanceId,
    pub fence: u64,
    pub window: WindowNumber,
    pub counts: OrganisationCounts,
}

/// Accepts reports in the order of their fencing numbers.
#[derive(Debug, Default)]
pub struct UsageInterface {
    highest_fence: u64,
    reporters_by_fence: HashMap<u64, InstanceId>,
    /// Accepted counts and the time at which they first arrived.
    pub accepted: BTreeMap<WindowNumber, (OrganisationCounts, u64)>,
    /// Reporting instances in the order in which they took over, each with the time of its last
    /// report.
    reporters: Vec<(InstanceId, u64)>,
}

impl UsageInterface {
    /// Receives a report; false if a higher fencing number was seen.
    pub fn receive(&mut self, report: UsageReport, now: u64, lease_ms: u64) -> bool {
        let UsageReport {
            reporter,
            fence,
            window,
            counts,
        } = report;
        let known = self
            .reporters_by_fence
            .entry(fence)
            .or_insert_with(|| reporter.clone());
        assert_eq!(
            *known, reporter,
            "two reporters with fencing number {fence}"
        );
        if fence < self.highest_fence {
            return false;
        }
        self.highest_fence = fence;
        self.record_reporter(reporter, now, lease_ms);
        let (first, _) = self
            .accepted
            .entry(window)
            .or_insert_with(|| (counts.clone(), now));
        assert_eq!(*first, counts, "different counts for {window:?}");
        true
    }

    fn record_reporter(&mut self, reporter: InstanceId, now: u64, lease_ms: u64) {
        if let Some(last) = self.reporters.last_mut()
            && last.0 == reporter
        {
            last.1 = now;
            return;
        }
        self.reporters.push((reporter, now));
        let reporters = &self.reporters;
        if let [.., first, _, last] = reporters.as_slice()
            && first.0 == last.0
        {
            assert!(
                now - first.1 >= lease_ms,
                "an instance reported again within the lease after another took over: {reporters:?}"
            );
        }
        if self.reporters.len() > 3 {
            self.reporters.remove(0);
        }
    }
}
