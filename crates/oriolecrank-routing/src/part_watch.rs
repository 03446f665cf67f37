//! What one entry knows of prompt parts that crash upstreams.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oriolecrank_schema::TimePoint;

use crate::part_report::{
    CrashId, PROVEN_WINDOW, PartEvent, PartReport, PartVerdicts, RunningPart,
};
use crate::prompt_shape::PartId;

/// Time for which reports are kept for control instances that have not received them; the same as
/// the time for which the leader counts a crash.
const REPORT_RETENTION: Duration = Duration::from_mins(1);

/// Time for which the verdicts of a leader hold without a newer answer of one.
const VERDICT_RETENTION: Duration = Duration::from_mins(1);

/// Time for which a refused request counts as demand for a trial of its part.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Time in which a granted trial must start.
const TRIAL_VALIDITY: Duration = Duration::from_secs(3);

/// Time after which the caller of a refused request may come back. Trials are rare, and a caller
/// gains nothing from more frequent attempts.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Largest number of parts whose last answer is remembered; the oldest are dropped first.
const MAX_ANSWERED_PARTS: usize = 16_384;

/// State of an entry: its own reports and the verdicts of the leader.
#[derive(Debug, Default)]
pub struct PartWatch {
    /// Last complete answer by part, oldest first.
    answered_at: IndexMap<PartId, TimePoint>,
    /// Oldest first, with their sequence numbers.
    reports: VecDeque<(u64, TimePoint, PartEvent)>,
    newest_sequence: u64,
    verdicts: PartVerdicts,
    verdicts_at: Option<TimePoint>,
    /// Parts of requests that were refused, with the time of the last one.
    demanded_at: IndexMap<PartId, TimePoint>,
    /// Granted trials that have not started, with the end of their validity.
    trials: IndexMap<PartId, TimePoint>,
}

impl PartWatch {
    /// Records that an upstream crashed while requests of this entry with these parts ran on it.
    pub fn record_crash(
        &mut self,
        crash: CrashId,
        parts: impl IntoIterator<Item = PartId>,
        now: TimePoint,
    ) {
        let is_recent = |at: &TimePoint| now.since(*at) <= PROVEN_WINDOW;
        let parts: IndexSet<PartId> = parts.into_iter().collect();
        let running = parts.into_iter().map(|part| RunningPart {
            part,
            proven: self.answered_at.get(&part).is_some_and(is_recent),
        });
        let parts = running.collect();
        self.add_report(PartEvent::Crash { crash, parts }, now);
    }

    /// Records a complete answer on these parts. It is reported if one of them is suspected.
    pub fn record_completed(&mut self, parts: &[PartId], now: TimePoint) {
        for part in parts {
            // Entries stay ordered by time.
            self.answered_at.shift_remove(part);
            self.answered_at.insert(*part, now);
        }
        while self.answered_at.len() > MAX_ANSWERED_PARTS {
            self.answered_at.shift_remove_index(0);
        }
        let watched = |part: &&PartId| {
            self.verdicts.suspected.contains(part) || self.verdicts.refused.contains(part)
        };
        let parts: Vec<PartId> = parts.iter().filter(watched).copied().collect();
        if !parts.is_empty() {
            self.add_report(PartEvent::Completed { parts }, now);
        }
    }

    /// Replaces the verdicts with those of the leader. Recent answers on parts that are newly
    /// suspected are reported.
    pub fn set_verdicts(&mut self, verdicts: PartVerdicts, now: TimePoint) {
        for part in &verdicts.trials {
            self.trials.insert(*part, now + TRIAL_VALIDITY);
        }
        let known = std::mem::replace(&mut self.verdicts, verdicts);
        self.verdicts_at = Some(now);
        let new_suspects = self.verdicts.suspected.iter();
        let new_suspects = new_suspects.filter(|part| !known.suspected.contains(part));
        let answered: Vec<(PartId, TimePoint)> = new_suspects
            .filter_map(|part| Some((*part, *self.answered_at.get(part)?)))
            .filter(|(_, at)| now.since(*at) <= PROVEN_WINDOW)
            .collect();
        for (part, at) in answered {
            let parts = vec![part];
            self.add_report(PartEvent::Completed { parts }, at);
        }
    }

    /// Refuses a request with a refused part, unless this entry may make a trial with it; returns
    /// the time after which the caller may come back.
    pub fn check(&mut self, parts: &[PartId], now: TimePoint) -> Result<(), Duration> {
        let is_valid = self
            .verdicts_at
            .is_some_and(|at| now.since(at) <= VERDICT_RETENTION);
        let mut refused = parts
            .iter()
            .filter(|part| self.verdicts.refused.contains(part));
        let Some(part) = refused.next().filter(|_| is_valid) else {
            return Ok(());
        };
        // A trial of one part says nothing if another one crashes the upstream.
        if refused.next().is_some() {
            return Err(REFUSED_RETRY_AFTER);
        }
        let trial = self.trials.shift_remove(part);
        if trial.is_some_and(|valid_until| now <= valid_until) {
            return Ok(());
        }
        self.demanded_at.insert(*part, now);
        Err(REFUSED_RETRY_AFTER)
    }

    /// Parts that are refused.
    pub fn refused(&self) -> &[PartId] {
        &self.verdicts.refused
    }

    /// Whether verdicts of a leader are known.
    pub fn holds_verdicts(&self) -> bool {
        self.verdicts != PartVerdicts::default()
    }

    /// Refused parts of requests that were refused lately.
    pub fn wanted(&mut self, now: TimePoint) -> Vec<PartId> {
        self.demanded_at
            .retain(|_, at| now.since(*at) <= DEMAND_WINDOW);
        self.demanded_at.keys().copied().collect()
    }

    /// Reports after `sequence`, oldest first.
    pub fn reports_since(&mut self, sequence: u64, now: TimePoint) -> Vec<PartReport> {
        self.reports
            .retain(|(_, at, _)| now.since(*at) <= REPORT_RETENTION);
        let newer = self
            .reports
            .iter()
            .filter(|(number, ..)| *number > sequence);
        let reports = newer.map(|(_, at, event)| PartReport {
            event: event.clone(),
            age: now.since(*at),
        });
        reports.collect()
    }

    /// Sequence number of the newest report; 0 before the first one.
    pub const fn newest_sequence(&self) -> u64 {
        self.newest_sequence
    }

    fn add_report(&mut self, event: PartEvent, at: TimePoint) {
        self.newest_sequence += 1;
        self.reports.push_back((self.newest_sequence, at, event));
    }
}
