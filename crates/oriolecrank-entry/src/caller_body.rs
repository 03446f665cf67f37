//! Bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::request::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::caller_answer::CallerError;

/// Longest time to receive a body. A caller that sends slowly holds no upstream, but memory.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a body of at most `limit` bytes.
pub async fn read_caller_body(
    parts: &Parts,
    body: Incoming,
    limit: usize,
) -> Result<Bytes, CallerError> {
    let stated = parts.headers.get(CONTENT_LENGTH);
    let stated = stated.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    // A body that states its length is refused before it is sent.
    if stated.is_some_and(|length| length > limit as u64) {
        return Err(too_large(limit));
    }
    let Ok(collected) = timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await else {
        let status = StatusCode::REQUEST_TIMEOUT;
        let message = "the body did not arrive in time";
        return Err(CallerError::not_run(status, "body_timeout", message));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(too_large(limit)),
        Err(_) => {
            let status = StatusCode::BAD_REQUEST;
            let message = "the body broke off or is malformed";
            Err(CallerError::not_run(status, "body_incomplete", message))
        }
    }
}

fn too_large(limit: usize) -> CallerError {
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    let message = format!("the body exceeds {limit} bytes");
    CallerError::not_run(status, "body_too_large", message)
}
