//! Ids of callers' requests.

use http::{HeaderMap, HeaderValue, Response};
use oriolecrank_net::AnswerBody;
use rand::Rng as _;

use crate::caller_answer::REQUEST_ID_HEADER;

/// Longest id that is accepted from a caller, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Id of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequestId {
    /// Unique over all entries; begins with the caller's id, if there is one.
    unique: String,
    /// Id that is sent back.
    shown: String,
}

impl CallerRequestId {
    /// Takes the caller's id, if it is usable, or makes a new one.
    pub fn read(headers: &HeaderMap) -> Self {
        let given = headers.get(REQUEST_ID_HEADER);
        let given = given.and_then(|value| value.to_str().ok());
        let own = format!("{:032x}", rand::rng().random::<u128>());
        match given.filter(|given| is_usable(given)) {
            Some(given) => Self {
                // The random part keeps callers that send the same id apart.
                unique: format!("{given}.{own}"),
                shown: given.to_owned(),
            },
            None => Self {
                unique: own.clone(),
                shown: own,
            },
        }
    }

    /// Id under which the request runs.
    pub fn unique(&self) -> &str {
        &self.unique
    }

    /// Adds the id to an answer.
    pub fn mark(&self, response: &mut Response<AnswerBody>) {
        if let Ok(value) = HeaderValue::from_str(&self.shown) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
    }
}

/// Ids appear in logs, so they are limited to characters that need no quoting.
fn is_usable(id: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(allowed)
}
