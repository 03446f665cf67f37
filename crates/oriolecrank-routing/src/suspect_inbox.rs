//! Reports of entries about crashes that the replicated state may not contain yet.

use std::collections::VecDeque;
use std::time::Duration;

use oriolecrank_schema::TimePoint;

use crate::site_state::SiteCommand;
use crate::suspect_quarantine::{SuspectQuarantine, seen_at};
use crate::suspect_report::{HeldRefusal, SuspectEvent, SuspectReport};

/// Time for which a report is kept. An instance that does not lead keeps reports as well, because an
/// entry sends each of them to it only once, and the leader may end before it has committed them.
const REPORT_RETENTION: Duration = Duration::from_mins(1);

/// Largest number of reports that are kept; the oldest are dropped first.
const MAX_REPORTS: usize = 512;

/// Largest number of reports in one command, which must stay below the limit of a log entry.
const MAX_BATCH: usize = 64;

/// Largest number of refusals that are kept; further ones are dropped, and entries send them again.
const MAX_REFUSALS: usize = 256;

/// Reports and refusals that have arrived at a control instance.
#[derive(Debug, Default)]
pub struct SuspectInbox {
    /// In the order of arrival, with rising numbers.
    reports: VecDeque<ArrivedReport>,
    newest_number: u64,
    refusals: Vec<HeldRefusal>,
}

#[derive(Debug)]
struct ArrivedReport {
    number: u64,
    arrived_at: TimePoint,
    report: SuspectReport,
}

/// Command that brings the replicated state up to the arrived reports.
#[derive(Debug)]
pub struct DueReports {
    /// The command to commit.
    pub command: SiteCommand,
    /// Number of the newest report in it.
    newest_number: u64,
}

impl SuspectInbox {
    /// Adds reports of an entry.
    pub fn add_reports(&mut self, reports: Vec<SuspectReport>, now: TimePoint) {
        for report in reports {
            self.newest_number += 1;
            self.reports.push_back(ArrivedReport {
                number: self.newest_number,
                arrived_at: now,
                report,
            });
        }
        let surplus = self.reports.len().saturating_sub(MAX_REPORTS);
        self.reports.drain(..surplus);
    }

    /// Adds refusals that an entry holds from another control process.
    pub fn add_refusals(&mut self, refusals: &[HeldRefusal]) {
        let room = MAX_REFUSALS.saturating_sub(self.refusals.len());
        self.refusals.extend(refusals.iter().take(room));
    }

    /// The reports that the replicated state does not contain, as a command for the leader; `None` if
    /// there are none. Drops the others. `now` is the time of the arrivals' clock, and `unix_now` that of
    /// the replicated state.
    pub fn due_reports(
        &mut self,
        known: &SuspectQuarantine,
        now: TimePoint,
        unix_now: TimePoint,
    ) -> Option<DueReports> {
        self.prune(now);
        let is_known = |arrived: &ArrivedReport| {
            let seen_at = seen_at(arrived.age(now), unix_now);
            known.contains(&arrived.report.event, seen_at)
        };
        let is_answer = |arrived: &ArrivedReport| {
            matches!(arrived.report.event, SuspectEvent::Completed { .. })
        };
        // An answer matters once the crash that makes its suspects suspected is recorded.
        let has_new_crash = self
            .reports
            .iter()
            .any(|arrived| !is_answer(arrived) && !is_known(arrived));
        self.reports
            .retain(|arrived| !is_known(arrived) || (has_new_crash && is_answer(arrived)));
        let batch = self.reports.iter().take(MAX_BATCH);
        let newest_number = batch.clone().next_back()?.number;
        let reports = batch.map(|arrived| SuspectReport {
            event: arrived.report.event.clone(),
            age: arrived.age(now),
        });
        let reports = reports.collect();
        let command = SiteCommand::RecordSuspects {
            now: unix_now,
            reports,
        };
        Some(DueReports {
            command,
            newest_number,
        })
    }

    /// Drops reports whose command is committed.
    pub fn mark_committed(&mut self, due: &DueReports) {
        self.reports
            .retain(|arrived| arrived.number > due.newest_number);
    }

    /// Takes the refusals that the replicated state does not know, as a command for the leader; `None` if
    /// there are none.
    pub fn take_refusals(
        &mut self,
        known: &SuspectQuarantine,
        unix_now: TimePoint,
    ) -> Option<SiteCommand> {
        let mut refusals = std::mem::take(&mut self.refusals);
        refusals.retain(|held| !known.knows_refusal(held, unix_now));
        (!refusals.is_empty()).then_some(SiteCommand::AdoptRefusals {
            now: unix_now,
            refusals,
        })
    }

    /// Drops what an instance that does not lead need not keep.
    pub fn prune(&mut self, now: TimePoint) {
        self.reports
            .retain(|arrived| now.since(arrived.arrived_at) <= REPORT_RETENTION);
    }

    /// Drops all refusals; entries send them again to the next leader.
    pub fn drop_refusals(&mut self) {
        self.refusals.clear();
    }
}

impl ArrivedReport {
    /// Time since the reported event.
    fn age(&self, now: TimePoint) -> Duration {
        self.report.age.saturating_add(now.since(self.arrived_at))
    }
}
