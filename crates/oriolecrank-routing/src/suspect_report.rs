//! Reports of entries about requests that were running when an upstream crashed.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::crash_suspect::CrashSuspect;
use crate::names::UpstreamName;

/// Time for which a complete answer proves that a suspect is sound.
pub(crate) const PROVEN_WINDOW: Duration = Duration::from_secs(5);

/// Identity of a crash: an incarnation of an upstream ends only once, so that the reports of all
/// entries that saw it agree.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// Upstream that ended.
    pub upstream: UpstreamName,
    /// Start of the incarnation that ended, in Unix milliseconds by the upstream's clock.
    pub started_ms: u64,
}

/// A suspect of a request that was running when an upstream crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningSuspect {
    /// The suspect.
    pub suspect: CrashSuspect,
    /// The reporting entry had received a complete answer with it shortly before.
    pub proven: bool,
}

/// What an entry has seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectEvent {
    /// An upstream crashed while requests with these suspects ran on it.
    Crash {
        /// The crash.
        crash: CrashId,
        /// Suspects of the requests that the entry had sent to the upstream.
        running: Vec<RunningSuspect>,
        /// The upstream fell silent and broke no connection.
        #[serde(default)]
        silent: bool,
    },
    /// Answers to requests with these suspects arrived completely.
    Completed {
        /// Suspects of the answered requests.
        suspects: Vec<CrashSuspect>,
    },
}

/// An event with its age instead of a time, because processes share no clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// What was seen.
    pub event: SuspectEvent,
    /// Time since it was seen.
    pub age: Duration,
}

/// A refusal as the leader tells it to the entries, and they to the next leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRefusal {
    /// The refused suspect.
    pub suspect: CrashSuspect,
    /// Time since the last crash that is blamed on it.
    pub crash_age: Duration,
    /// Time until the next trial is due.
    pub trial_in: Duration,
    /// Time from that trial to the one after it, before it grows.
    pub trial_interval: Duration,
}

/// What the leader of the control group tells an entry about suspects.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectVerdicts {
    /// Suspects that crash upstreams; requests with one of them are refused.
    pub refused: Vec<HeldRefusal>,
    /// Suspects that ran during a crash and are not proven since; completed answers with them are
    /// reported.
    pub suspected: Vec<CrashSuspect>,
    /// Refused suspects with which this entry may send one request, to find out whether they still
    /// crash upstreams.
    pub trials: Vec<CrashSuspect>,
}

impl SuspectVerdicts {
    /// Whether requests with a suspect are refused.
    pub fn refuses(&self, suspect: CrashSuspect) -> bool {
        self.refused
            .iter()
            .any(|refusal| refusal.suspect == suspect)
    }

    /// Suspects that are refused.
    pub fn refused_suspects(&self) -> Vec<CrashSuspect> {
        let refused = self.refused.iter();
        refused.map(|refusal| refusal.suspect).collect()
    }
}
