//! What may make a request crash the upstreams that run it.

use serde::{Deserialize, Serialize};

use crate::prompt_shape::PartId;
use crate::request_fingerprint::RequestFingerprint;

/// Property of a request that may be the cause of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashSuspect {
    /// A prompt part, whatever else the prompt holds.
    Part(PartId),
    /// The request as a whole.
    Request(RequestFingerprint),
}
