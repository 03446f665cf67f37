//! Request ids: accepted from callers or generated, and sent back with the answer.

use http::{HeaderMap, HeaderValue, Response};
use oriolecrank_net::AnswerBody;
use rand::Rng as _;

use crate::caller_answer::REQUEST_ID_HEADER;

/// Longest id that is accepted from a caller, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Id of one request in two forms, for the system and for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequestId {
    /// Unique over all entries: the caller's id, if there is one, and a random part.
    unique: String,
    /// Id that is sent back to the caller: the caller's own id, or `unique` if there is none.
    echoed: String,
}

impl CallerRequestId {
    /// Reads the caller's id. Generates one if it is missing or [`is_usable`] rejects it.
    pub fn read(headers: &HeaderMap) -> Self {
        let given = headers.get(REQUEST_ID_HEADER);
        let given = given.and_then(|value| value.to_str().ok());
        let random = format!("{:032x}", rand::rng().random::<u128>());
        match given.filter(|given| is_usable(given)) {
            Some(given) => Self {
                // The random part distinguishes requests for which callers send the same id.
                unique: format!("{given}.{random}"),
                echoed: given.to_owned(),
            },
            None => Self {
                unique: random.clone(),
                echoed: random,
            },
        }
    }

    /// Id under which the request runs and is logged.
    pub fn unique(&self) -> &str {
        &self.unique
    }

    /// Sets the request id header of an answer.
    pub fn set_header(&self, response: &mut Response<AnswerBody>) {
        if let Ok(value) = HeaderValue::from_str(&self.echoed) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
    }
}

/// Whether an id of a caller can be used. Ids are logged, so they may contain only characters that
/// need no quoting.
fn is_usable(id: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(allowed)
}
