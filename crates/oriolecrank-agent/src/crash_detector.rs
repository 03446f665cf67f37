//! Distinguishes a crash of the upstream from the loss of a single connection.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_policy::AttemptId;
use oriolecrank_schema::TimePoint;

/// Disconnects within this time of the first one belong to the same group. A dying process closes
/// all its connections within a few milliseconds.
pub const CRASH_DETECTION_WINDOW: Duration = Duration::from_millis(200);

/// A call that is running on the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningCall {
    /// Organisation that sent the request.
    pub organisation: String,
    /// Digest of the organisation, service, method, target and body of the request, so that a
    /// request that crashes engines is recognised when it is sent again.
    pub fingerprint: String,
}

/// Identifies a group of disconnects within one incarnation of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DisconnectGroupId(pub u64);

/// A detected crash of the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// Group of disconnects that the crash caused.
    pub group_id: DisconnectGroupId,
    /// Calls that were running at the time of the crash.
    pub calls: Vec<(AttemptId, RunningCall)>,
}

/// Calls whose connections were lost within [`CRASH_DETECTION_WINDOW`].
#[derive(Debug)]
struct DisconnectGroup {
    group_id: DisconnectGroupId,
    /// Time of the first disconnect.
    opened_at: TimePoint,
    calls: Vec<(AttemptId, RunningCall)>,
    /// A call that was running at the first disconnect has completed since, so the upstream did not
    /// crash.
    call_completed: bool,
}

/// Tracks running calls and the latest group of disconnects.
#[derive(Debug, Default)]
pub struct CrashDetector {
    /// Running calls and the times at which they were sent.
    running: IndexMap<AttemptId, (RunningCall, TimePoint)>,
    group: Option<DisconnectGroup>,
    last_group_id: u64,
}

impl CrashDetector {
    /// Records that a call is sent to the upstream.
    pub fn record_start(&mut self, id: AttemptId, call: RunningCall, now: TimePoint) {
        self.running.insert(id, (call, now));
    }

    /// Records the end of a call; `completed` is false if it failed or was cancelled.
    pub fn record_end(&mut self, id: &AttemptId, completed: bool) {
        let Some((_, started_at)) = self.running.swap_remove(id) else {
            return;
        };
        if let Some(group) = &mut self.group
            && completed
            && started_at <= group.opened_at
        {
            group.call_completed = true;
        }
    }

    /// Records that the upstream connection of a call was lost. Returns the group of the
    /// disconnect.
    pub fn record_disconnect(&mut self, id: &AttemptId, now: TimePoint) -> DisconnectGroupId {
        let is_open = self
            .group
            .as_ref()
            .is_some_and(|group| now.since(group.opened_at) < CRASH_DETECTION_WINDOW);
        if !is_open {
            self.last_group_id += 1;
            let group_id = DisconnectGroupId(self.last_group_id);
            self.group = Some(DisconnectGroup {
                group_id,
                opened_at: now,
                calls: Vec::new(),
                call_completed: false,
            });
        }
        let running_call = self.running.swap_remove(id);
        let group = self
            .group
            .as_mut()
            .expect("an open group exists or was just created");
        if let Some((call, _)) = running_call {
            group.calls.push((id.clone(), call));
        }
        group.group_id
    }

    /// Decides whether a group of disconnects was a crash; to be called [`CRASH_DETECTION_WINDOW`]
    /// after the first one. `None` if a call that was running at the first disconnect has completed
    /// or is still running, or if a newer group exists.
    pub fn detect_crash(&self, group_id: DisconnectGroupId) -> Option<CrashRecord> {
        let group = self
            .group
            .as_ref()
            .filter(|group| group.group_id == group_id)?;
        let has_older_call = self
            .running
            .values()
            .any(|(_, started_at)| *started_at <= group.opened_at);
        if group.call_completed || has_older_call {
            return None;
        }
        Some(CrashRecord {
            group_id,
            calls: group.calls.clone(),
        })
    }
}
