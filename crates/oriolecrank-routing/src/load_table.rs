//! Loads that entries put on upstreams, as a control instance knows them.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;

use crate::direct_upstream::UpstreamLoad;
use crate::names::UpstreamName;
use crate::usage_window::EntryRun;

/// An entry that has reported nothing for this long no longer counts: some reports in a row.
const ENTRY_LIFETIME: Duration = Duration::from_secs(4);

/// Loads of each upstream.
pub type UpstreamLoads = IndexMap<UpstreamName, UpstreamLoad>;

#[derive(Debug)]
struct EntryReport {
    loads: UpstreamLoads,
    noted: TimePoint,
}

/// Loads by entry, and their sum.
#[derive(Debug, Default)]
pub struct LoadTable {
    entries: IndexMap<EntryRun, EntryReport>,
    /// Sum over `entries`, kept up to date so that an answer costs no walk over all entries.
    total: UpstreamLoads,
}

impl LoadTable {
    /// Takes the loads of an entry in place of its last ones.
    pub fn set_entry_loads(&mut self, run: &EntryRun, loads: UpstreamLoads, now: TimePoint) {
        self.remove_entry(run);
        for (upstream, load) in &loads {
            let total = self.total.entry(upstream.clone()).or_default();
            *total = total.combined_with(*load);
        }
        let report = EntryReport { loads, noted: now };
        self.entries.insert(run.clone(), report);
    }

    /// Forgets an entry, because it stops.
    pub fn remove_entry(&mut self, run: &EntryRun) {
        let Some(report) = self.entries.swap_remove(run) else {
            return;
        };
        for (upstream, load) in report.loads {
            if let Some(total) = self.total.get_mut(&upstream) {
                *total = total.saturating_sub(load);
                if *total == UpstreamLoad::default() {
                    self.total.swap_remove(&upstream);
                }
            }
        }
    }

    /// Forgets entries that are silent.
    pub fn prune(&mut self, now: TimePoint) {
        let silent = self
            .entries
            .iter()
            .filter(|(_, report)| now.since(report.noted) > ENTRY_LIFETIME);
        let silent: Vec<EntryRun> = silent.map(|(run, _)| run.clone()).collect();
        for run in silent {
            self.remove_entry(&run);
        }
    }

    /// Number of entries that report.
    pub fn entry_count(&self) -> u32 {
        self.entries.len() as u32
    }

    /// Loads of all entries but one; upstreams without load are left out.
    pub fn loads_excluding(&self, run: &EntryRun) -> UpstreamLoads {
        let own = self.entries.get(run).map(|report| &report.loads);
        let others = self.total.iter().map(|(upstream, total)| {
            let own = own.and_then(|loads| loads.get(upstream));
            (
                upstream.clone(),
                total.saturating_sub(own.copied().unwrap_or_default()),
            )
        });
        others
            .filter(|(_, load)| *load != UpstreamLoad::default())
            .collect()
    }
}
