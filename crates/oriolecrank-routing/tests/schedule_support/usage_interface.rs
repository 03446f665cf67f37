//! Model of the usage interface, which checks the reports that it receives.

use std::collections::{BTreeMap, HashMap};

use oriolecrank_consensus::InstanceId;
use oriolecrank_routing::{OrganisationCounts, WindowNumber};

/// A report in flight.
#[derive(Debug, Clone)]
pub struct UsageReport {
    pub holder: InstanceId,
    pub fence: u64,
    pub window: WindowNumber,
    pub counts: OrganisationCounts,
}

/// Accepts reports in the order of their fencing numbers.
#[derive(Debug, Default)]
pub struct UsageInterface {
    highest_fence: u64,
    holders: HashMap<u64, InstanceId>,
    /// Accepted counts and the time at which they first arrived.
    pub accepted: BTreeMap<WindowNumber, (OrganisationCounts, u64)>,
    /// Last turns of the reporting instances: who reported, and when it did so last.
    turns: Vec<(InstanceId, u64)>,
}

impl UsageInterface {
    /// Receives a report; false if a higher fencing number was seen.
    pub fn receive(&mut self, report: UsageReport, now: u64, lease_ms: u64) -> bool {
        let UsageReport {
            holder,
            fence,
            window,
            counts,
        } = report;
        let known = self.holders.entry(fence).or_insert_with(|| holder.clone());
        assert_eq!(*known, holder, "two holders with fencing number {fence}");
        if fence < self.highest_fence {
            return false;
        }
        self.highest_fence = fence;
        self.record_turn(holder, now, lease_ms);
        let (first, _) = self
            .accepted
            .entry(window)
            .or_insert_with(|| (counts.clone(), now));
        assert_eq!(*first, counts, "two figures for {window:?}");
        true
    }

    fn record_turn(&mut self, holder: InstanceId, now: u64, lease_ms: u64) {
        if let Some(last) = self.turns.last_mut()
            && last.0 == holder
        {
            last.1 = now;
            return;
        }
        self.turns.push((holder, now));
        let turns = &self.turns;
        if let [.., first, _, last] = turns.as_slice()
            && first.0 == last.0
        {
            assert!(now - first.1 >= lease_ms, "holders take turns: {turns:?}");
        }
        if self.turns.len() > 3 {
            self.turns.remove(0);
        }
    }
}
