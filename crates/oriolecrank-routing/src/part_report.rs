//! Reports of entries about prompt parts that were in use when an upstream crashed.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::UpstreamName;
use crate::prompt_shape::PartId;

/// Time for which a complete answer on a part proves that the part is sound.
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

/// A prompt part of a request that was running when an upstream crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningPart {
    /// The part.
    pub part: PartId,
    /// The reporting entry had received a complete answer on the part shortly before.
    pub proven: bool,
}

/// What an entry has seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartEvent {
    /// An upstream crashed while requests with these parts ran on it.
    Crash {
        /// The crash.
        crash: CrashId,
        /// Parts of the requests that the entry had sent to the upstream.
        parts: Vec<RunningPart>,
    },
    /// Answers on these parts arrived completely.
    Completed {
        /// Parts of the answered requests.
        parts: Vec<PartId>,
    },
}

/// An event with its age instead of a time, because processes share no clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// What was seen.
    pub event: PartEvent,
    /// Time since it was seen.
    pub age: Duration,
}

/// What the leader of the control group tells an entry about prompt parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartVerdicts {
    /// Parts that crash upstreams; requests with one of them are refused.
    pub refused: Vec<PartId>,
    /// Parts that ran during a crash and are not proven since; completed answers on them are
    /// reported.
    pub suspected: Vec<PartId>,
    /// Refused parts with which this entry may send one request, to find out whether the part still
    /// crashes upstreams.
    pub trials: Vec<PartId>,
}
