//! Attempts at upstreams that fell silent, until it is known whether the upstreams have crashed.
//!
//! A machine that goes dark breaks no connection, so that an attempt ends by a timeout or because its
//! caller leaves. The same happens at an upstream that is slow and behind a broken link. Only a new
//! incarnation shows that the upstream has crashed, and an answer to another request shows that it
//! has not.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;

use crate::crash_suspect::CrashSuspect;
use crate::suspect_report::CrashId;
use crate::upstream_directory::UpstreamAnnouncement;

/// Shortest silence that is recorded. A caller that leaves earlier says nothing about the upstream.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// Time for which a new incarnation of a silent upstream is awaited. Crashed upstreams are back after
/// some seconds.
const RESTART_WINDOW: Duration = Duration::from_secs(20);

/// Largest number of suspects of one upstream; further ones are ignored.
const MAX_SUSPECTS: usize = 1_024;

/// Largest number of silent upstreams; the oldest are dropped first.
const MAX_UPSTREAMS: usize = 256;

/// What an entry observes of upstreams.
pub trait UpstreamSigns {
    /// Whether the upstream has answered any request of the entry after `since`.
    fn has_answered(&self, upstream: &UpstreamAnnouncement, since: TimePoint) -> bool;

    /// Whether a later incarnation of the upstream is known.
    fn has_successor(&self, upstream: &UpstreamAnnouncement) -> bool;
}

/// A crash that showed by silence and a new incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentCrash {
    /// The crash.
    pub crash: CrashId,
    /// Suspects of the requests whose attempts ended in silence.
    pub suspects: Vec<CrashSuspect>,
    /// Start of the earliest of these silences.
    pub silent_since: TimePoint,
}

/// Silent upstreams with the suspects of the requests that they left unanswered.
#[derive(Debug, Default)]
pub struct SilentAttempts {
    upstreams: IndexMap<CrashId, SilentUpstream>,
}

#[derive(Debug)]
struct SilentUpstream {
    announcement: UpstreamAnnouncement,
    /// Start of the silence by suspect; never empty.
    suspects: IndexMap<CrashSuspect, TimePoint>,
}

impl SilentAttempts {
    /// Records an attempt that ended although nothing had come from the upstream since `since`.
    pub fn record(
        &mut self,
        upstream: &UpstreamAnnouncement,
        suspects: &[CrashSuspect],
        since: TimePoint,
        now: TimePoint,
    ) {
        if now.since(since) < MIN_SILENCE || suspects.is_empty() {
            return;
        }
        let crash = CrashId {
            upstream: upstream.name.clone(),
            started_ms: upstream.started_ms,
        };
        let silent = self
            .upstreams
            .entry(crash)
            .or_insert_with(|| SilentUpstream {
                announcement: upstream.clone(),
                suspects: IndexMap::new(),
            });
        for suspect in suspects {
            if silent.suspects.len() < MAX_SUSPECTS || silent.suspects.contains_key(suspect) {
                silent.suspects.insert(*suspect, since);
            }
        }
        if self.upstreams.len() > MAX_UPSTREAMS {
            self.upstreams.shift_remove_index(0);
        }
    }

    /// Removes the upstreams that have crashed and returns them. Suspects whose upstream has answered
    /// since, or has no new incarnation in time, are dropped.
    pub fn settle(&mut self, signs: &impl UpstreamSigns, now: TimePoint) -> Vec<SilentCrash> {
        let mut crashes = Vec::new();
        self.upstreams.retain(|crash, silent| {
            let upstream = &silent.announcement;
            // Comes first, because the answers of a new incarnation may count as the upstream's.
            if signs.has_successor(upstream) {
                crashes.extend(silent.to_crash(crash));
                return false;
            }
            silent.suspects.retain(|_, since| {
                now.since(*since) <= RESTART_WINDOW && !signs.has_answered(upstream, *since)
            });
            !silent.suspects.is_empty()
        });
        crashes
    }
}

impl SilentUpstream {
    fn to_crash(&self, crash: &CrashId) -> Option<SilentCrash> {
        Some(SilentCrash {
            crash: crash.clone(),
            suspects: self.suspects.keys().copied().collect(),
            silent_since: self.suspects.values().min().copied()?,
        })
    }
}
