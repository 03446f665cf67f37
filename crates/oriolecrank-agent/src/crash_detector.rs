//! Tells a crash of the upstream from the loss of a single connection.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_policy::AttemptId;
use oriolecrank_schema::TimePoint;

/// Connections that break within this time belong to the same crash. A dying process closes all
/// its connections within a few milliseconds.
pub const CRASH_SETTLE: Duration = Duration::from_millis(200);

/// A call that the upstream runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningCall {
    /// Organisation of the request.
    pub organisation: String,
    /// Digest of organisation and body.
    pub fingerprint: String,
}

/// Number of a group of broken calls, unique within the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct BreakNumber(pub u64);

/// A crash and what was running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// Number of the crash.
    pub number: BreakNumber,
    /// Calls that were running.
    pub calls: Vec<(AttemptId, RunningCall)>,
}

#[derive(Debug)]
struct BreakGroup {
    number: BreakNumber,
    opened_at: TimePoint,
    calls: Vec<(AttemptId, RunningCall)>,
    /// A call that was running before the first break has ended well since, so the upstream lives.
    survived: bool,
}

/// Calls in work and the latest group of broken ones.
#[derive(Debug, Default)]
pub struct CrashDetector {
    running: IndexMap<AttemptId, (RunningCall, TimePoint)>,
    group: Option<BreakGroup>,
    last_number: u64,
}

impl CrashDetector {
    /// A call is sent to the upstream.
    pub fn start(&mut self, id: AttemptId, call: RunningCall, now: TimePoint) {
        self.running.insert(id, (call, now));
    }

    /// A call has ended well or was cancelled.
    pub fn finish(&mut self, id: &AttemptId, completed: bool) {
        let Some((_, started_at)) = self.running.swap_remove(id) else {
            return;
        };
        if let Some(group) = &mut self.group
            && completed
            && started_at <= group.opened_at
        {
            group.survived = true;
        }
    }

    /// The connection of a call broke. Returns the group that the call belongs to.
    pub fn record_break(&mut self, id: &AttemptId, now: TimePoint) -> BreakNumber {
        let open = self
            .group
            .as_ref()
            .is_some_and(|group| now.since(group.opened_at) < CRASH_SETTLE);
        if !open {
            self.last_number += 1;
            let number = BreakNumber(self.last_number);
            self.group = Some(BreakGroup {
                number,
                opened_at: now,
                calls: Vec::new(),
                survived: false,
            });
        }
        let broken = self.running.swap_remove(id);
        let group = self.group.as_mut().expect("the group was just opened");
        if let Some((call, _)) = broken {
            group.calls.push((id.clone(), call));
        }
        group.number
    }

    /// Decides on a group after [`CRASH_SETTLE`]: `None` if the upstream lives.
    pub fn decide(&self, number: BreakNumber) -> Option<CrashRecord> {
        let group = self.group.as_ref().filter(|group| group.number == number)?;
        let older = self
            .running
            .values()
            .any(|(_, started_at)| *started_at <= group.opened_at);
        if group.survived || older {
            return None;
        }
        Some(CrashRecord {
            number,
            calls: group.calls.clone(),
        })
    }
}
