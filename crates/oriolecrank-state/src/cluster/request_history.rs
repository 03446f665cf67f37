//! Request ids of operators and the answers they got.

use std::collections::{BTreeMap, VecDeque};

use oriolecrank_schema::codec;
use oriolecrank_schema::control::CommandOutcome;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Number of request ids that are kept, newest first: three days at 3,000 changes a day.
pub const MAX_HISTORY_IDS: usize = 10_000;

/// Total size of the kept answers; when it is exceeded, the oldest ids are forgotten first.
pub const MAX_HISTORY_BYTES: usize = 16 * 1024 * 1024;

/// Longest request id, operator or origin, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 128;

/// SHA-256 digest of what was requested under an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Digest of the encoded request.
    pub(crate) fn of<T: Serialize>(request: &T) -> Self {
        Self(Sha256::digest(codec::encode(request)).into())
    }
}

/// What the history knows about a request id.
#[derive(Debug, PartialEq)]
pub(crate) enum RequestLookup {
    /// The id is new.
    Unknown,
    /// The same request had this answer.
    Answered(CommandOutcome),
    /// The id belongs to another request.
    Reused,
}

/// The newest request ids with their first answers.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct RequestHistory {
    answers: BTreeMap<String, AnsweredRequest>,
    /// Keys of `answers`, oldest first.
    order: VecDeque<String>,
    /// Sum of `AnsweredRequest::bytes`.
    bytes: usize,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct AnsweredRequest {
    digest: RequestDigest,
    outcome: CommandOutcome,
    /// Encoded size of id and outcome.
    bytes: usize,
}

impl RequestHistory {
    pub(crate) fn lookup(&self, request_id: &str, digest: &RequestDigest) -> RequestLookup {
        let Some(answered) = self.answers.get(request_id) else {
            return RequestLookup::Unknown;
        };
        if answered.digest != *digest {
            return RequestLookup::Reused;
        }
        RequestLookup::Answered(answered.outcome.clone())
    }

    /// Records the first answer to an id that [`RequestHistory::lookup`] did not know.
    pub(crate) fn record(
        &mut self,
        request_id: &str,
        digest: RequestDigest,
        outcome: &CommandOutcome,
    ) {
        let bytes = request_id.len() + codec::encode(outcome).len();
        let answered = AnsweredRequest {
            digest,
            outcome: outcome.clone(),
            bytes,
        };
        self.answers.insert(request_id.to_owned(), answered);
        self.order.push_back(request_id.to_owned());
        self.bytes += bytes;
        while self.order.len() > MAX_HISTORY_IDS
            || (self.bytes > MAX_HISTORY_BYTES && self.order.len() > 1)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.order.pop_front();
        if let Some(answered) = oldest.and_then(|id| self.answers.remove(&id)) {
            self.bytes -= answered.bytes;
        }
    }
}
