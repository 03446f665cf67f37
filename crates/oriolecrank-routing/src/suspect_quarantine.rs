//! Decision which suspects crash upstreams, over the reports of all entries.
//!
//! Many requests run on an upstream when it crashes, and one report cannot tell which of them was
//! the cause. A suspect is refused once it ran during several crashes without a complete answer
//! shortly before, in between or after, and if these are at least half of all crashes in that time.
//! A prompt part that many requests share is among the running ones at each crash, but is answered
//! all the time. A rare part runs during some of many crashes that have another reason, but not
//! during most of them.
//!
//! A refused suspect is tried again with single requests at growing intervals, and is accepted after
//! the first complete answer.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oriolecrank_schema::TimePoint;

use crate::crash_suspect::CrashSuspect;
use crate::suspect_report::{CrashId, PROVEN_WINDOW, SuspectEvent, SuspectReport, SuspectVerdicts};

/// Settings of a [`SuspectQuarantine`].
#[derive(Debug, Clone, PartialEq)]
pub struct QuarantineSettings {
    /// Number of crashes without a complete answer in between after which a suspect is
    /// refused.
    pub refuse_after_crashes: usize,
    /// Least share of the crashes between the first and the last one of a suspect that it must
    /// explain. A rare part runs during some of many crashes by chance.
    pub least_crash_share: f64,
    /// Time for which a crash counts.
    pub crash_retention: Duration,
    /// Time before a crash in which a complete answer clears a suspect of that crash. The time for
    /// which a suspect goes on to crash upstreams after it has been sound is longer by as much.
    pub proven_window: Duration,
    /// Time from the refusal of a suspect to its first trial.
    pub first_trial_after: Duration,
    /// Factor by which the time to the next trial grows.
    pub trial_backoff: u32,
    /// Longest time between two trials. A suspect for which none was due for twice this time
    /// is forgotten.
    pub max_trial_interval: Duration,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            // Two crashes in a row have a suspect in common by chance.
            refuse_after_crashes: 3,
            // Two suspects that crash upstreams at the same time are still recognised.
            least_crash_share: 0.5,
            crash_retention: Duration::from_mins(1),
            proven_window: PROVEN_WINDOW,
            first_trial_after: Duration::from_secs(5),
            trial_backoff: 4,
            max_trial_interval: Duration::from_mins(10),
        }
    }
}

/// Largest number of crashes that are retained; the oldest are dropped first.
const MAX_CRASHES: usize = 256;

/// Largest number of suspects of one crash; further ones are ignored.
const MAX_RUNNING: usize = 1_024;

/// Largest number of suspects in the verdicts; those of the newest crashes come first.
const MAX_SUSPECTED: usize = 512;

/// Crashes, and the suspects that are refused because of them.
#[derive(Debug, Default)]
pub struct SuspectQuarantine {
    settings: QuarantineSettings,
    crashes: IndexMap<CrashId, CrashRecord>,
    /// Last complete answer with suspects that ran during a retained crash.
    completed_at: IndexMap<CrashSuspect, TimePoint>,
    refusals: IndexMap<CrashSuspect, SuspectRefusal>,
}

#[derive(Debug)]
struct CrashRecord {
    seen_at: TimePoint,
    /// Suspects that ran, and whether an entry had received an answer with them shortly before.
    running: IndexMap<CrashSuspect, bool>,
}

#[derive(Debug)]
struct SuspectRefusal {
    /// Last crash that is blamed on the suspect.
    crashed_at: TimePoint,
    next_trial_at: TimePoint,
    trial_interval: Duration,
}

impl SuspectQuarantine {
    /// Without crashes.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records a report; one that arrives twice has no further effect. Returns whether the refused
    /// suspects have changed.
    pub fn record(&mut self, report: &SuspectReport, now: TimePoint) -> bool {
        let age_ms = report.age.as_millis() as u64;
        let seen_at = TimePoint::from_millis(now.as_millis().saturating_sub(age_ms));
        self.drop_expired(now);
        match &report.event {
            SuspectEvent::Crash { crash, running } => {
                let record = self
                    .crashes
                    .entry(crash.clone())
                    .or_insert_with(|| CrashRecord {
                        seen_at,
                        running: IndexMap::new(),
                    });
                record.seen_at = record.seen_at.min(seen_at);
                for running in running.iter().take(MAX_RUNNING) {
                    *record.running.entry(running.suspect).or_default() |= running.proven;
                }
                while self.crashes.len() > MAX_CRASHES {
                    self.crashes.shift_remove_index(0);
                }
                self.refuse_blamed(now)
            }
            SuspectEvent::Completed { suspects } => {
                let mut changed = false;
                for suspect in suspects {
                    changed |= self.record_completed(*suspect, seen_at);
                }
                changed
            }
        }
    }

    fn record_completed(&mut self, suspect: CrashSuspect, at: TimePoint) -> bool {
        if !self.is_suspected(suspect) && !self.refusals.contains_key(&suspect) {
            return false;
        }
        let completed_at = self.completed_at.entry(suspect).or_insert(at);
        *completed_at = at.max(*completed_at);
        let is_cleared = |refusal: &SuspectRefusal| refusal.crashed_at < at;
        if self.refusals.get(&suspect).is_some_and(is_cleared) {
            self.refusals.shift_remove(&suspect);
            return true;
        }
        false
    }

    fn is_suspected(&self, suspect: CrashSuspect) -> bool {
        let mut crashes = self.crashes.values();
        crashes.any(|crash| crash.running.contains_key(&suspect))
    }

    /// Refuses the suspects that enough crashes are blamed on.
    fn refuse_blamed(&mut self, now: TimePoint) -> bool {
        let mut blamed: IndexMap<CrashSuspect, Vec<TimePoint>> = IndexMap::new();
        for crash in self.crashes.values() {
            for suspect in self.blamed_suspects(crash) {
                blamed.entry(suspect).or_default().push(crash.seen_at);
            }
        }
        let mut changed = false;
        for (suspect, mut crash_times) in blamed {
            crash_times.sort_unstable();
            let Some(crashed_at) = crash_times.last().copied() else {
                continue;
            };
            if let Some(refusal) = self.refusals.get_mut(&suspect) {
                refusal.crashed_at = refusal.crashed_at.max(crashed_at);
            } else if self.explains(&crash_times) {
                let trial_interval = self.settings.first_trial_after;
                let refusal = SuspectRefusal {
                    crashed_at,
                    next_trial_at: now + trial_interval,
                    trial_interval,
                };
                self.refusals.insert(suspect, refusal);
                changed = true;
            }
        }
        changed
    }

    /// Whether a suspect that is blamed for crashes at these times, in order, explains enough of all
    /// crashes in the same time.
    fn explains(&self, crash_times: &[TimePoint]) -> bool {
        let [first, .., last] = crash_times else {
            return false;
        };
        let all = self.crashes.values();
        let all = all.filter(|crash| crash.seen_at >= *first && crash.seen_at <= *last);
        let explained = crash_times.len() as f64 / all.count() as f64;
        crash_times.len() >= self.settings.refuse_after_crashes
            && explained >= self.settings.least_crash_share
    }

    /// Suspects that ran during a crash and were answered neither shortly before nor after it.
    fn blamed_suspects(&self, crash: &CrashRecord) -> impl Iterator<Item = CrashSuspect> {
        let window = self.settings.proven_window;
        let suspects = crash.running.iter().filter(move |(suspect, proven)| {
            let answered_at = self.completed_at.get(*suspect);
            !**proven && answered_at.is_none_or(|at| *at + window < crash.seen_at)
        });
        suspects.map(|(suspect, _)| *suspect)
    }

    /// Suspects that are refused or not, and the trials that an entry may make now. `wanted` are the
    /// refused suspects of requests that the entry has refused lately.
    pub fn verdicts(&mut self, wanted: &[CrashSuspect], now: TimePoint) -> SuspectVerdicts {
        self.drop_expired(now);
        let mut trials = Vec::new();
        for suspect in wanted {
            let Some(refusal) = self.refusals.get_mut(suspect) else {
                continue;
            };
            if refusal.next_trial_at <= now {
                let next = refusal.trial_interval * self.settings.trial_backoff;
                refusal.trial_interval = next.min(self.settings.max_trial_interval);
                refusal.next_trial_at = now + refusal.trial_interval;
                trials.push(*suspect);
            }
        }
        let crashes = self.crashes.values().rev();
        let suspected: IndexSet<CrashSuspect> = crashes
            .flat_map(|crash| self.blamed_suspects(crash))
            .take(MAX_SUSPECTED)
            .collect();
        SuspectVerdicts {
            refused: self.refusals.keys().copied().collect(),
            suspected: suspected.into_iter().collect(),
            trials,
        }
    }

    fn drop_expired(&mut self, now: TimePoint) {
        let retained = self.crashes.len() + self.refusals.len();
        let retention = self.settings.crash_retention;
        self.crashes
            .retain(|_, crash| now.since(crash.seen_at) <= retention);
        let unused = self.settings.max_trial_interval * 2;
        self.refusals
            .retain(|_, refusal| now.since(refusal.next_trial_at) <= unused);
        if self.crashes.len() + self.refusals.len() == retained {
            return;
        }
        let crashes = self.crashes.values();
        let mut watched: IndexSet<CrashSuspect> = crashes
            .flat_map(|crash| crash.running.keys().copied())
            .collect();
        watched.extend(self.refusals.keys().copied());
        self.completed_at
            .retain(|suspect, _| watched.contains(suspect));
    }
}
