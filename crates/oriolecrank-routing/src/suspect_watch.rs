//! What one entry knows of suspects that crash upstreams.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oriolecrank_schema::TimePoint;

use crate::crash_suspect::CrashSuspect;
use crate::silent_attempts::SilentCrash;
use crate::suspect_report::{
    CrashId, HeldRefusal, PROVEN_WINDOW, RunningSuspect, SuspectEvent, SuspectReport,
    SuspectVerdicts,
};

/// Time for which reports are kept for control instances that have not received them; the same as
/// the time for which the leader counts a crash.
const REPORT_RETENTION: Duration = Duration::from_mins(1);

/// Time for which the verdicts of a leader hold without a newer answer of one.
const VERDICT_RETENTION: Duration = Duration::from_mins(1);

/// Time for which a refused request counts as demand for a trial of its suspects.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Time in which a granted trial must start.
const TRIAL_VALIDITY: Duration = Duration::from_secs(3);

/// Time after which the caller of a refused request may come back. Trials are rare, and a caller
/// gains nothing from more frequent attempts.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Largest number of suspects whose last answer is remembered; the oldest half is dropped beyond.
const MAX_ANSWERED: usize = 16_384;

/// Refusal of a request because it crashes upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectRefusal {
    /// Suspect of the request that is refused.
    pub suspect: CrashSuspect,
    /// Time after which the caller may come back.
    pub retry_after: Duration,
}

/// State of an entry: its own reports and the verdicts of the leader.
#[derive(Debug, Default)]
pub struct SuspectWatch {
    /// Last complete answer by suspect, in the order in which they were first answered.
    answered_at: IndexMap<CrashSuspect, TimePoint>,
    /// Oldest first, with their sequence numbers.
    reports: VecDeque<(u64, TimePoint, SuspectEvent)>,
    newest_sequence: u64,
    verdicts: SuspectVerdicts,
    verdicts_at: Option<TimePoint>,
    /// Run of the control process that gave the verdicts.
    verdicts_from: u64,
    /// Suspects of requests that were refused, with the time of the last one.
    demanded_at: IndexMap<CrashSuspect, TimePoint>,
    /// Granted trials that have not started, with the end of their validity.
    trials: IndexMap<CrashSuspect, TimePoint>,
}

impl SuspectWatch {
    /// Records that an upstream crashed while requests of this entry with these suspects ran on
    /// it.
    pub fn record_crash(
        &mut self,
        crash: CrashId,
        suspects: impl IntoIterator<Item = CrashSuspect>,
        now: TimePoint,
    ) {
        self.add_crash(crash, suspects, now, false);
    }

    /// Records that an upstream fell silent while it ran requests of this entry with these suspects,
    /// and has started again.
    pub fn record_silent_crash(&mut self, crash: SilentCrash) {
        self.add_crash(crash.crash, crash.suspects, crash.silent_since, true);
    }

    fn add_crash(
        &mut self,
        crash: CrashId,
        suspects: impl IntoIterator<Item = CrashSuspect>,
        now: TimePoint,
        silent: bool,
    ) {
        let is_recent = |at: &TimePoint| now.since(*at) <= PROVEN_WINDOW;
        let suspects: IndexSet<CrashSuspect> = suspects.into_iter().collect();
        let running = suspects.into_iter().map(|suspect| RunningSuspect {
            suspect,
            proven: self.answered_at.get(&suspect).is_some_and(is_recent),
        });
        let running = running.collect();
        let event = SuspectEvent::Crash {
            crash,
            running,
            silent,
        };
        self.add_report(event, now);
    }

    /// Records a complete answer with these suspects. It is reported if one of them is suspected.
    pub fn record_completed(&mut self, suspects: &[CrashSuspect], now: TimePoint) {
        self.answered_at
            .extend(suspects.iter().map(|suspect| (*suspect, now)));
        self.prune_answered(now);
        let watched = |suspect: &&CrashSuspect| {
            self.verdicts.suspected.contains(suspect) || self.verdicts.refuses(**suspect)
        };
        let suspects: Vec<CrashSuspect> = suspects.iter().filter(watched).copied().collect();
        if !suspects.is_empty() {
            self.add_report(SuspectEvent::Completed { suspects }, now);
        }
    }

    fn prune_answered(&mut self, now: TimePoint) {
        if self.answered_at.len() <= MAX_ANSWERED {
            return;
        }
        self.answered_at
            .retain(|_, at| now.since(*at) <= PROVEN_WINDOW);
        let surplus = self.answered_at.len().saturating_sub(MAX_ANSWERED / 2);
        self.answered_at.drain(..surplus);
    }

    /// Replaces the verdicts with those of the leader, whose process has the run number
    /// `control_run`. Recent answers with suspects that are new are reported.
    pub fn set_verdicts(&mut self, verdicts: SuspectVerdicts, control_run: u64, now: TimePoint) {
        self.verdicts_from = control_run;
        for suspect in &verdicts.trials {
            self.trials.insert(*suspect, now + TRIAL_VALIDITY);
        }
        let known = std::mem::replace(&mut self.verdicts, verdicts);
        self.verdicts_at = Some(now);
        let new_suspects = self.verdicts.suspected.iter();
        let new_suspects = new_suspects.filter(|suspect| !known.suspected.contains(suspect));
        let answered: Vec<(CrashSuspect, TimePoint)> = new_suspects
            .filter_map(|suspect| Some((*suspect, *self.answered_at.get(suspect)?)))
            .filter(|(_, at)| now.since(*at) <= PROVEN_WINDOW)
            .collect();
        for (suspect, at) in answered {
            let suspects = vec![suspect];
            self.add_report(SuspectEvent::Completed { suspects }, at);
        }
    }

    /// Refuses a request with a refused suspect, unless this entry may make a trial with all of them:
    /// a trial of one says nothing if another one crashes the upstream.
    pub fn check(
        &mut self,
        suspects: &[CrashSuspect],
        now: TimePoint,
    ) -> Result<(), SuspectRefusal> {
        let is_valid = self
            .verdicts_at
            .is_some_and(|at| now.since(at) <= VERDICT_RETENTION);
        let refused = suspects
            .iter()
            .filter(|suspect| self.verdicts.refuses(**suspect));
        let refused: Vec<CrashSuspect> = refused.copied().collect();
        let Some(suspect) = refused.first().copied().filter(|_| is_valid) else {
            return Ok(());
        };
        self.trials.retain(|_, valid_until| now <= *valid_until);
        let is_trial = refused
            .iter()
            .all(|suspect| self.trials.contains_key(suspect));
        for suspect in refused {
            if is_trial {
                self.trials.shift_remove(&suspect);
            } else {
                self.demanded_at.insert(suspect, now);
            }
        }
        if is_trial {
            return Ok(());
        }
        Err(SuspectRefusal {
            suspect,
            retry_after: REFUSED_RETRY_AFTER,
        })
    }

    /// Suspects that are refused.
    pub fn refused(&self) -> Vec<CrashSuspect> {
        self.verdicts.refused_suspects()
    }

    /// Refusals that a control process has to know if it leads now and another one gave them.
    pub fn held_refusals(&self, control_run: u64, now: TimePoint) -> Vec<HeldRefusal> {
        let elapsed = self.verdicts_at.map_or(Duration::ZERO, |at| now.since(at));
        if control_run == self.verdicts_from || elapsed > VERDICT_RETENTION {
            return Vec::new();
        }
        let held = self.verdicts.refused.iter().map(|refusal| HeldRefusal {
            crash_age: refusal.crash_age + elapsed,
            trial_in: refusal.trial_in.saturating_sub(elapsed),
            ..*refusal
        });
        held.collect()
    }

    /// Whether verdicts of a leader are known.
    pub fn holds_verdicts(&self) -> bool {
        self.verdicts != SuspectVerdicts::default()
    }

    /// Refused suspects of requests that were refused lately.
    pub fn wanted(&mut self, now: TimePoint) -> Vec<CrashSuspect> {
        self.demanded_at
            .retain(|_, at| now.since(*at) <= DEMAND_WINDOW);
        self.demanded_at.keys().copied().collect()
    }

    /// Reports after `sequence`, oldest first.
    pub fn reports_since(&mut self, sequence: u64, now: TimePoint) -> Vec<SuspectReport> {
        self.reports
            .retain(|(_, at, _)| now.since(*at) <= REPORT_RETENTION);
        let newer = self
            .reports
            .iter()
            .filter(|(number, ..)| *number > sequence);
        let reports = newer.map(|(_, at, event)| SuspectReport {
            event: event.clone(),
            age: now.since(*at),
        });
        reports.collect()
    }

    /// Sequence number of the newest report; 0 before the first one.
    pub const fn newest_sequence(&self) -> u64 {
        self.newest_sequence
    }

    fn add_report(&mut self, event: SuspectEvent, at: TimePoint) {
        self.newest_sequence += 1;
        self.reports.push_back((self.newest_sequence, at, event));
    }
}
