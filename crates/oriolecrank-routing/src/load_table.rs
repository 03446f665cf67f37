//! Loads that entries put on upstreams, as reported to a control instance.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;

use crate::direct_upstream::UpstreamLoad;
use crate::names::UpstreamName;
use crate::usage_window::EntryRun;

/// Time after which the report of an entry expires. An entry that sends none for this long has
/// missed several reports in a row.
const ENTRY_LIFETIME: Duration = Duration::from_secs(4);

/// Load of each upstream.
pub type UpstreamLoads = IndexMap<UpstreamName, UpstreamLoad>;

#[derive(Debug)]
struct EntryReport {
    loads: UpstreamLoads,
    reported_at: TimePoint,
}

/// Latest load report of each entry, and the sum over all entries.
#[derive(Debug, Default)]
pub struct LoadTable {
    entries: IndexMap<EntryRun, EntryReport>,
    /// Sum over `entries`, updated with each report so that a reply need not visit all entries.
    total: UpstreamLoads,
}

impl LoadTable {
    /// Replaces the loads of an entry by those of its latest report.
    pub fn set_entry_loads(&mut self, run: &EntryRun, loads: UpstreamLoads, now: TimePoint) {
        self.remove_entry(run);
        for (upstream, load) in &loads {
            let total = self.total.entry(upstream.clone()).or_default();
            *total = total.combined_with(*load);
        }
        let report = EntryReport {
            loads,
            reported_at: now,
        };
        self.entries.insert(run.clone(), report);
    }

    /// Removes the loads of an entry, such as one that stops; no effect if it is unknown.
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

    /// Removes entries that have sent no report within their lifetime.
    pub fn prune(&mut self, now: TimePoint) {
        let silent = self
            .entries
            .iter()
            .filter(|(_, report)| now.since(report.reported_at) > ENTRY_LIFETIME);
        let silent: Vec<EntryRun> = silent.map(|(run, _)| run.clone()).collect();
        for run in silent {
            self.remove_entry(&run);
        }
    }

    /// Number of entries with a current report.
    pub fn entry_count(&self) -> u32 {
        self.entries.len() as u32
    }

    /// Sum of the loads of all entries except `run`; upstreams without load are left out.
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
