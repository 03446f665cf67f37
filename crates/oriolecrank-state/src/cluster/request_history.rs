//! Outcomes of recent operator requests by request id.

use std::collections::{BTreeMap, VecDeque};

use oriolecrank_schema::codec;
use oriolecrank_schema::control::CommandOutcome;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Maximum number of stored request ids; three days at 3,000 changes a day. The oldest are removed
/// first.
pub const MAX_HISTORY_IDS: usize = 10_000;

/// Maximum total size of the stored ids and outcomes, in bytes; the oldest are removed first, but
/// the newest stays even if it alone is larger.
pub const MAX_HISTORY_BYTES: usize = 16 * 1024 * 1024;

/// Maximum length of a request id, operator or origin, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 128;

/// SHA-256 digest of an encoded request; distinguishes a repeated request from a different one with
/// the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Digest of the encoded request.
    pub(crate) fn from_request<T: Serialize>(request: &T) -> Self {
        Self(Sha256::digest(codec::encode(request)).into())
    }
}

/// Result of looking up a request id.
#[derive(Debug, PartialEq)]
pub(crate) enum RequestLookup {
    /// The id is new.
    Unknown,
    /// The same request was answered with this outcome.
    Answered(CommandOutcome),
    /// The id was used for another request.
    Reused,
}

/// The newest request ids and the outcomes of their first requests.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct RequestHistory {
    answers: BTreeMap<String, AnsweredRequest>,
    /// Keys of `answers`, oldest first.
    #[serde(rename = "order")]
    ids_by_age: VecDeque<String>,
    /// Total of `AnsweredRequest::bytes`.
    bytes: usize,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct AnsweredRequest {
    digest: RequestDigest,
    outcome: CommandOutcome,
    /// Size of the id and the encoded outcome.
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

    /// Records the outcome of a request whose id [`RequestHistory::lookup`] reported as unknown.
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
        self.ids_by_age.push_back(request_id.to_owned());
        self.bytes += bytes;
        while self.ids_by_age.len() > MAX_HISTORY_IDS
            || (self.bytes > MAX_HISTORY_BYTES && self.ids_by_age.len() > 1)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let oldest = self.ids_by_age.pop_front();
        if let Some(answered) = oldest.and_then(|id| self.answers.remove(&id)) {
            self.bytes -= answered.bytes;
        }
    }
}
