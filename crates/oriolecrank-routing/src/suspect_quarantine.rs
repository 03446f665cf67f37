//! Decision which suspects crash upstreams, over the reports of all entries. It is part of the
//! replicated state of a site, because the crashes of a request must count whichever process ends.
//!
//! Many requests run on an upstream when it crashes, and one report cannot tell which of them was
//! the cause. A suspect is refused once it ran during several crashes without a complete answer
//! shortly before, in between or after. A prompt part that many requests share is among the running
//! ones at each crash, but is answered all the time. A rare part runs during some of many crashes
//! that have another reason, but not during most of them: a part must also explain at least half of
//! the crashes of engines in that time. A whole request comes again too seldom for that, and
//! refusing it by mistake concerns no other request.
//!
//! Upstreams that fall silent at the same time count as one crash, because they may have lost their power.
//!
//! A refused suspect is tried again with single requests at growing intervals, and is accepted after
//! the first complete answer.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oriolecrank_schema::TimePoint;
use serde::{Deserialize, Serialize};

use crate::crash_suspect::CrashSuspect;
use crate::suspect_report::{
    CrashId, HeldRefusal, PROVEN_WINDOW, RunningSuspect, SuspectEvent, SuspectReport,
    SuspectVerdicts,
};

/// Settings of a [`SuspectQuarantine`].
#[derive(Debug, Clone, PartialEq)]
pub struct QuarantineSettings {
    /// Number of crashes without a complete answer in between after which a suspect is
    /// refused.
    pub refuse_after_crashes: usize,
    /// Least share of the crashes of engines between the first and the last one of a prompt part that
    /// the part must explain. A rare part runs during some of many crashes by chance.
    pub least_crash_share: f64,
    /// Time for which a crash counts for a prompt part.
    pub crash_retention: Duration,
    /// Time for which a crash counts for a whole request, which may come again seldom.
    pub request_retention: Duration,
    /// Time in which upstreams that fall silent one after the other count as one crash. A failure
    /// domain that loses its power takes many upstreams with it, on which the attempts at one request
    /// may have been made.
    pub silent_spread: Duration,
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
            // Two parts that crash upstreams at the same time are still recognised.
            least_crash_share: 0.5,
            crash_retention: Duration::from_mins(1),
            request_retention: Duration::from_mins(10),
            silent_spread: Duration::from_millis(500),
            proven_window: PROVEN_WINDOW,
            first_trial_after: Duration::from_secs(5),
            trial_backoff: 4,
            max_trial_interval: Duration::from_mins(10),
        }
    }
}

impl QuarantineSettings {
    /// Whether a crash at a point in time counts for whole requests.
    fn counts_for_request(&self, crashed_at: TimePoint, now: TimePoint) -> bool {
        now.since(crashed_at) <= self.request_retention
    }

    /// Whether a refused suspect may come again, because a trial was due recently or will be.
    fn is_in_use(&self, refusal: &RefusalRecord, now: TimePoint) -> bool {
        now.since(refusal.next_trial_at) <= self.max_trial_interval * 2
    }
}

/// Largest number of crashes that are retained; the oldest are dropped first.
const MAX_CRASHES: usize = 256;

/// Largest number of suspects of one crash; further ones are ignored.
const MAX_RUNNING: usize = 1_024;

/// Largest number of suspects over all crashes that are retained; the oldest crashes are dropped first.
/// It bounds the size of a snapshot.
const MAX_RETAINED_SUSPECTS: usize = 16_384;

/// Largest number of suspects in the verdicts; prompt parts come first, because requests share them,
/// and then those of the newest crashes.
const MAX_SUSPECTED: usize = 512;

/// Largest number of refused suspects; the oldest are dropped first.
const MAX_REFUSALS: usize = 256;

/// Crashes, and the suspects that are refused because of them.
///
/// Part of the replicated state: the same calls in the same order give the same quarantine. Points in
/// time are those of one clock, which all who decide share approximately.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SuspectQuarantine {
    #[serde(skip)]
    settings: QuarantineSettings,
    /// Number of changes of the refused suspects so far.
    revision: u64,
    /// In the order in which they were first reported.
    crashes: IndexMap<CrashId, CrashRecord>,
    /// Last complete answer with suspects that ran during a retained crash.
    completed_at: IndexMap<CrashSuspect, TimePoint>,
    /// Requests that one more crash makes refused, with the time of the last one. Their answers are
    /// reported for as long as the crashes count.
    repeated: IndexMap<CrashSuspect, TimePoint>,
    refusals: IndexMap<CrashSuspect, RefusalRecord>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct CrashRecord {
    seen_at: TimePoint,
    /// Suspects that ran, and whether an entry had received an answer with them shortly before.
    running: IndexMap<CrashSuspect, bool>,
    /// All reports say that the upstream fell silent.
    silent: bool,
}

impl CrashRecord {
    /// Whether the upstream ran prompts.
    fn is_engine(&self) -> bool {
        self.running.keys().any(|suspect| is_part(*suspect))
    }
}

const fn is_part(suspect: CrashSuspect) -> bool {
    matches!(suspect, CrashSuspect::Part(_))
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RefusalRecord {
    /// Last crash that is blamed on the suspect.
    crashed_at: TimePoint,
    next_trial_at: TimePoint,
    trial_interval: Duration,
}

/// When something was seen that has an age now.
pub(crate) fn seen_at(age: Duration, now: TimePoint) -> TimePoint {
    TimePoint::from_millis(now.as_millis().saturating_sub(age.as_millis() as u64))
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
        let seen_at = seen_at(report.age, now);
        self.drop_expired(now);
        let changed = match &report.event {
            SuspectEvent::Crash {
                crash,
                running,
                silent,
            } => {
                let record = self
                    .crashes
                    .entry(crash.clone())
                    .or_insert_with(|| CrashRecord {
                        seen_at,
                        running: IndexMap::new(),
                        silent: *silent,
                    });
                record.silent &= silent;
                record.seen_at = record.seen_at.min(seen_at);
                for running in running.iter().take(MAX_RUNNING) {
                    *record.running.entry(running.suspect).or_default() |= running.proven;
                }
                self.drop_oldest_crashes();
                self.refuse_blamed(running, now)
            }
            SuspectEvent::Completed { suspects } => {
                let mut changed = false;
                for suspect in suspects {
                    changed |= self.record_completed(*suspect, seen_at);
                }
                changed
            }
        };
        self.revision += u64::from(changed);
        changed
    }

    /// Whether a report of an event changes nothing, because the quarantine contains all of it.
    pub fn contains(&self, event: &SuspectEvent, seen_at: TimePoint) -> bool {
        match event {
            SuspectEvent::Crash {
                crash,
                running,
                silent,
            } => self.crashes.get(crash).is_some_and(|known| {
                let is_included = |running: &RunningSuspect| {
                    let proven = known.running.get(&running.suspect);
                    proven.is_some_and(|proven| *proven || !running.proven)
                };
                (*silent || !known.silent) && running.iter().take(MAX_RUNNING).all(is_included)
            }),
            SuspectEvent::Completed { suspects } => suspects.iter().all(|suspect| {
                let is_watched = self.is_suspected(*suspect) || self.refusals.contains_key(suspect);
                !is_watched || self.is_completed_since(*suspect, seen_at)
            }),
        }
    }

    /// Whether a complete answer with a suspect is known that came at a point in time or later.
    fn is_completed_since(&self, suspect: CrashSuspect, at: TimePoint) -> bool {
        let completed_at = self.completed_at.get(&suspect);
        completed_at.is_some_and(|completed_at| *completed_at >= at)
    }

    /// Number of changes of the refused suspects so far.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes over refusals that entries hold, with the times of their trials. They come from an earlier
    /// leader whose refusals were not replicated; the reports about the crashes that led to them may
    /// have expired.
    pub fn adopt(&mut self, held: &[HeldRefusal], now: TimePoint) {
        for refusal in held {
            let next_trial_at = now + refusal.trial_in;
            let crashed_at = seen_at(refusal.crash_age, now);
            if self.is_completed_since(refusal.suspect, crashed_at) {
                continue;
            }
            let known = self
                .refusals
                .entry(refusal.suspect)
                .or_insert(RefusalRecord {
                    crashed_at,
                    next_trial_at,
                    trial_interval: refusal.trial_interval,
                });
            known.crashed_at = known.crashed_at.max(crashed_at);
            known.next_trial_at = known.next_trial_at.max(next_trial_at);
            known.trial_interval = known.trial_interval.max(refusal.trial_interval);
        }
        self.drop_surplus();
        self.revision += 1;
    }

    /// Whether a refusal that an entry holds is known, or was lifted by a complete answer since.
    pub fn knows_refusal(&self, held: &HeldRefusal, now: TimePoint) -> bool {
        self.refusals.contains_key(&held.suspect)
            || self.is_completed_since(held.suspect, seen_at(held.crash_age, now))
    }

    fn drop_oldest_crashes(&mut self) {
        let retained = self.crashes.values().map(|crash| crash.running.len());
        let mut suspects: usize = retained.sum();
        while self.crashes.len() > MAX_CRASHES || suspects > MAX_RETAINED_SUSPECTS {
            let Some((_, dropped)) = self.crashes.shift_remove_index(0) else {
                return;
            };
            suspects -= dropped.running.len();
        }
    }

    fn drop_surplus(&mut self) {
        let surplus = self.refusals.len().saturating_sub(MAX_REFUSALS);
        self.refusals.drain(..surplus);
    }

    fn record_completed(&mut self, suspect: CrashSuspect, at: TimePoint) -> bool {
        if !self.is_suspected(suspect) && !self.refusals.contains_key(&suspect) {
            return false;
        }
        let completed_at = self.completed_at.entry(suspect).or_insert(at);
        *completed_at = at.max(*completed_at);
        if self.repeated.get(&suspect).is_some_and(|seen| *seen < at) {
            self.repeated.shift_remove(&suspect);
        }
        let is_cleared = |refusal: &RefusalRecord| refusal.crashed_at < at;
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

    /// Refuses those suspects of a newly reported crash that enough crashes are blamed on.
    fn refuse_blamed(&mut self, reported: &[RunningSuspect], now: TimePoint) -> bool {
        let mut changed = false;
        for RunningSuspect { suspect, .. } in reported.iter().take(MAX_RUNNING) {
            let suspect = *suspect;
            let crashes = self.crashes.values();
            let blamed = crashes.filter(|crash| {
                let counts = !is_part(suspect) || self.is_recent(crash, now);
                counts && self.is_blamed(suspect, crash)
            });
            let mut blamed: Vec<&CrashRecord> = blamed.collect();
            blamed.sort_unstable_by_key(|crash| crash.seen_at);
            let Some(crashed_at) = blamed.last().map(|crash| crash.seen_at) else {
                continue;
            };
            let crash_times: Vec<TimePoint> = blamed.iter().map(|crash| crash.seen_at).collect();
            let count = self.separate_crashes(&blamed);
            if let Some(refusal) = self.refusals.get_mut(&suspect) {
                refusal.crashed_at = refusal.crashed_at.max(crashed_at);
            } else if count >= self.settings.refuse_after_crashes
                && (!is_part(suspect) || self.explains(&crash_times))
            {
                let trial_interval = self.settings.first_trial_after;
                let refusal = RefusalRecord {
                    crashed_at,
                    next_trial_at: now + trial_interval,
                    trial_interval,
                };
                self.refusals.insert(suspect, refusal);
                self.repeated.shift_remove(&suspect);
                changed = true;
            } else if !is_part(suspect) && count + 1 >= self.settings.refuse_after_crashes {
                self.repeated.insert(suspect, crashed_at);
            }
        }
        self.drop_surplus();
        changed
    }

    /// Whether a crash counts for prompt parts.
    fn is_recent(&self, crash: &CrashRecord, now: TimePoint) -> bool {
        now.since(crash.seen_at) <= self.settings.crash_retention
    }

    /// Number of crashes, in order of time, where upstreams that fell silent together count once.
    fn separate_crashes(&self, crashes: &[&CrashRecord]) -> usize {
        let mut silent_from: Option<TimePoint> = None;
        let separate = crashes.iter().filter(|crash| {
            let spread = self.settings.silent_spread;
            let joins = |from: TimePoint| crash.seen_at.since(from) <= spread;
            if crash.silent && silent_from.is_some_and(joins) {
                return false;
            }
            if crash.silent {
                silent_from = Some(crash.seen_at);
            }
            true
        });
        separate.count()
    }

    /// Whether a prompt part that is blamed for crashes at these times, in order, explains enough of
    /// all crashes of engines in the same time.
    fn explains(&self, crash_times: &[TimePoint]) -> bool {
        let [first, .., last] = crash_times else {
            return false;
        };
        let all = self.crashes.values().filter(|crash| crash.is_engine());
        let all = all.filter(|crash| crash.seen_at >= *first && crash.seen_at <= *last);
        let explained = crash_times.len() as f64 / all.count() as f64;
        explained >= self.settings.least_crash_share
    }

    /// Whether a suspect ran during a crash and was answered neither shortly before nor after it.
    fn is_blamed(&self, suspect: CrashSuspect, crash: &CrashRecord) -> bool {
        let answered_at = self.completed_at.get(&suspect);
        let window = self.settings.proven_window;
        crash.running.get(&suspect) == Some(&false)
            && answered_at.is_none_or(|at| *at + window < crash.seen_at)
    }

    /// Suspects that recent crashes are blamed on, newest first.
    fn blamed_suspects(&self, now: TimePoint) -> impl Iterator<Item = CrashSuspect> {
        let crashes = self.crashes.values().rev();
        let recent = crashes.filter(move |crash| self.is_recent(crash, now));
        recent.flat_map(|crash| {
            let suspects = crash.running.keys().copied();
            suspects.filter(|suspect| self.is_blamed(*suspect, crash))
        })
    }

    /// Whether a refused suspect may be tried.
    pub fn is_trial_due(&self, suspect: CrashSuspect, now: TimePoint) -> bool {
        let refusal = self.refusals.get(&suspect);
        refusal.is_some_and(|refusal| refusal.next_trial_at <= now)
    }

    /// Grants one request with a refused suspect, unless no trial is due. The time to the next trial
    /// grows.
    pub fn grant_trial(&mut self, suspect: CrashSuspect, now: TimePoint) -> bool {
        if !self.is_trial_due(suspect, now) {
            return false;
        }
        if let Some(refusal) = self.refusals.get_mut(&suspect) {
            let next = refusal
                .trial_interval
                .saturating_mul(self.settings.trial_backoff);
            refusal.trial_interval = next.min(self.settings.max_trial_interval);
            refusal.next_trial_at = now + refusal.trial_interval;
        }
        true
    }

    /// What an entry has to know, with the trials that it may make now. `wanted` are the refused
    /// suspects of requests that the entry has refused lately.
    pub fn verdicts(&mut self, wanted: &[CrashSuspect], now: TimePoint) -> SuspectVerdicts {
        self.drop_expired(now);
        let wanted = wanted.iter().copied();
        let trials = wanted.filter(|suspect| self.grant_trial(*suspect, now));
        let trials = trials.collect();
        SuspectVerdicts {
            trials,
            ..self.current_verdicts(now)
        }
    }

    /// What an entry has to know, without trials.
    pub fn current_verdicts(&self, now: TimePoint) -> SuspectVerdicts {
        let blamed = || self.blamed_suspects(now);
        let parts = blamed().filter(|suspect| is_part(*suspect));
        let requests = blamed().filter(|suspect| !is_part(*suspect));
        let repeated = self.repeated.iter();
        let repeated =
            repeated.filter(|(_, crashed_at)| self.settings.counts_for_request(**crashed_at, now));
        let repeated = repeated.map(|(suspect, _)| *suspect);
        let suspects = parts.chain(repeated).chain(requests);
        let suspected: IndexSet<CrashSuspect> = suspects.take(MAX_SUSPECTED).collect();
        let refused = self.refusals.iter();
        let refused = refused.filter(|(_, refusal)| self.settings.is_in_use(refusal, now));
        let refused = refused.map(|(suspect, refusal)| HeldRefusal {
            suspect: *suspect,
            crash_age: now.since(refusal.crashed_at),
            trial_in: refusal.next_trial_at.since(now),
            trial_interval: refusal.trial_interval,
        });
        SuspectVerdicts {
            refused: refused.collect(),
            suspected: suspected.into_iter().collect(),
            trials: Vec::new(),
        }
    }

    fn drop_expired(&mut self, now: TimePoint) {
        let retained = self.crashes.len() + self.refusals.len();
        let settings = &self.settings;
        self.crashes
            .retain(|_, crash| settings.counts_for_request(crash.seen_at, now));
        self.repeated
            .retain(|_, crashed_at| settings.counts_for_request(*crashed_at, now));
        self.refusals
            .retain(|_, refusal| settings.is_in_use(refusal, now));
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
