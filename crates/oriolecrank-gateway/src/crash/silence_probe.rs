//! Attempts that ended without an answer and without a broken connection, as on an upstream whose
//! machine has gone dark.

use std::sync::{Mutex, MutexGuard};

use oriolecrank_routing::{CrashSuspect, SilentAttempts, UpstreamAnnouncement, UpstreamSigns};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::event::LogEvent;

use crate::entry_shared::EntryShared;

/// Attempts at silent upstreams.
#[derive(Debug, Default)]
pub(crate) struct SilenceProbe {
    /// Taken before the lock of the tables, and never held across an await.
    attempts: Mutex<SilentAttempts>,
}

impl SilenceProbe {
    fn lock(&self) -> MutexGuard<'_, SilentAttempts> {
        self.attempts
            .lock()
            .expect("no holder of the silent attempts lock panics")
    }
}

impl<D> EntryShared<D> {
    /// Records an attempt that ended although nothing had come from its upstream since `since`.
    pub(crate) fn record_silent_attempt(
        &self,
        upstream: &UpstreamAnnouncement,
        suspects: &[CrashSuspect],
        since: TimePoint,
        now: TimePoint,
    ) {
        self.silence_probe
            .lock()
            .record(upstream, suspects, since, now);
    }

    /// Reports the silent upstreams that have crashed since the last call.
    pub(crate) fn report_silent_crashes(&self, now: TimePoint) {
        let crashes = self.silence_probe.lock().settle(self, now);
        for silent in crashes {
            tracing::warn!(
                event = LogEvent::UpstreamCrashed.number(),
                upstream = %silent.crash.upstream,
                started_ms = silent.crash.started_ms,
                suspects = silent.suspects.len(),
                silent_ms = now.since(silent.silent_since).as_millis() as u64,
                "an upstream fell silent while requests of this entry were running, and has started again"
            );
            self.lock_suspect_watch().record_silent_crash(silent);
            self.crash_reported.notify_one();
        }
    }
}

impl<D> UpstreamSigns for EntryShared<D> {
    fn has_answered(&self, upstream: &UpstreamAnnouncement, since: TimePoint) -> bool {
        self.with_service(&upstream.service, |state| {
            state.chooser.has_answered(upstream.name.as_str(), since)
        })
    }

    fn has_successor(&self, upstream: &UpstreamAnnouncement) -> bool {
        Self::has_successor(self, upstream)
    }
}
