//! Reads the bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::request::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::caller_answer::CallerError;

/// Longest time to receive a body. Until then a slow caller holds memory of the entry, but no
/// upstream.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a body of at most `limit` bytes. Fails if it is larger, incomplete or too slow.
pub async fn read_caller_body(
    parts: &Parts,
    body: Incoming,
    limit: usize,
) -> Result<Bytes, CallerError> {
    let stated = parts.headers.get(CONTENT_LENGTH);
    let stated = stated.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    // A body whose content-length exceeds the limit is refused before any of it is read.
    if stated.is_some_and(|length| length > limit as u64) {
        return Err(too_large(limit));
    }
    let Ok(collected) = timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await else {
        let status = StatusCode::REQUEST_TIMEOUT;
        let message = "the request body was not received within the time limit";
        return Err(CallerError::not_run(status, "body_timeout", message));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(too_large(limit)),
        Err(_) => {
            let status = StatusCode::BAD_REQUEST;
            let message = "the request body ended early or is malformed";
            Err(CallerError::not_run(status, "body_incomplete", message))
        }
    }
}

fn too_large(limit: usize) -> CallerError {
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    let message = format!("the request body is larger than the limit of {limit} bytes");
    CallerError::not_run(status, "body_too_large", message)
}
