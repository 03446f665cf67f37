//! Exchange of stated limits and demands between the entries, through the leader.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use serde::{Deserialize, Serialize};

use crate::names::UpstreamName;
use crate::request_rate::{LimitStatement, RequestRate};
use crate::usage_window::EntryRun;

/// Time for which a report counts; an entry that sends none for this long has missed several in a
/// row.
pub(crate) const REPORT_LIFETIME: Duration = Duration::from_secs(4);

/// What an entry knows of an upstream that states a limit or has done so lately, or what the leader
/// tells an entry about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Start of its incarnation, in Unix milliseconds by its clock.
    pub started_ms: u64,
    /// What it has stated last.
    pub statement: LimitStatement,
    /// Age of the statement, because processes share no clock.
    pub age: Duration,
    /// Requests per second that the entry wants to send to it, or the sum over all other entries if
    /// the leader tells it.
    pub demand: RequestRate,
}

/// Latest reports of each entry, at the leader.
#[derive(Debug, Default)]
pub struct LimitTable {
    entries: IndexMap<EntryRun, EntryLimits>,
}

#[derive(Debug)]
struct EntryLimits {
    reports: Vec<LimitReport>,
    received_at: TimePoint,
}

impl LimitTable {
    /// Replaces the reports of an entry.
    pub fn set_reports(&mut self, run: &EntryRun, reports: Vec<LimitReport>, now: TimePoint) {
        self.entries
            .retain(|_, entry| now.since(entry.received_at) <= REPORT_LIFETIME);
        if reports.is_empty() {
            self.entries.swap_remove(run);
            return;
        }
        let limits = EntryLimits {
            reports,
            received_at: now,
        };
        self.entries.insert(run.clone(), limits);
    }

    /// Newest statement of each reported upstream, with the demand of all entries except `run`.
    pub fn reports_for(&self, run: &EntryRun, now: TimePoint) -> Vec<LimitReport> {
        let mut newest: IndexMap<(&UpstreamName, u64), LimitReport> = IndexMap::new();
        for (entry, limits) in &self.entries {
            let elapsed = now.since(limits.received_at);
            if elapsed > REPORT_LIFETIME {
                continue;
            }
            for report in &limits.reports {
                let demand = if entry == run {
                    RequestRate::default()
                } else {
                    report.demand
                };
                let aged = LimitReport {
                    age: report.age + elapsed,
                    demand,
                    ..report.clone()
                };
                newest
                    .entry((&report.upstream, report.started_ms))
                    .and_modify(|known| *known = combine(known, &aged))
                    .or_insert(aged);
            }
        }
        newest.into_values().collect()
    }
}

/// The newer one of two reports about the same upstream, with the sum of the demands.
fn combine(one: &LimitReport, other: &LimitReport) -> LimitReport {
    let newer = if other.age < one.age { other } else { one };
    LimitReport {
        demand: one.demand.saturating_add(other.demand),
        ..newer.clone()
    }
}
