//! Reads the bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::request::Parts;
use hyper::body::Incoming;
use oriolecrank_net::intake::{BodyAwaited, BodyError, BodyLimits, ByteBudget, read_body_within};

use crate::caller_answer::CallerError;

/// Longest time to receive a body. Until then a slow caller holds memory of the entry, but no
/// upstream.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which a caller may return whose body found no room, in seconds. Stalled bodies are
/// given up after a few seconds; ordinary ones end within one.
const NO_ROOM_RETRY_S: u64 = 1;

/// Reads a body of at most `limit` bytes. Fails if it is larger, incomplete or too slow, or if the
/// budget has no room for it; the connection must then be closed.
pub async fn read_caller_body(
    parts: &Parts,
    body: Incoming,
    limit: usize,
    budget: &ByteBudget,
) -> Result<Bytes, CallerError> {
    let stated = parts.headers.get(CONTENT_LENGTH);
    let stated = stated.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    // A body whose content-length exceeds the limit is refused before any of it is read.
    if stated.is_some_and(|length| length > limit as u64) {
        return Err(too_large(limit));
    }
    let limits = BodyLimits {
        time_limit: Some(BODY_TIMEOUT),
        ..BodyLimits::of_bytes(limit)
    };
    let awaited = BodyAwaited::new(&parts.extensions);
    let read = read_body_within(body, limits, budget).await;
    drop(awaited);
    read.map_err(|error| match error {
        BodyError::TooLarge => too_large(limit.min(budget.largest_item())),
        BodyError::Full { .. } => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let message = "the entry has no memory for the request body at present";
            CallerError::not_run(status, "no_room", message)
                .with_retry_after(NO_ROOM_RETRY_S)
                .closing()
        }
        BodyError::TooSlow => {
            let status = StatusCode::REQUEST_TIMEOUT;
            let message = "the request body was not received within the time limit";
            CallerError::not_run(status, "body_timeout", message).closing()
        }
        BodyError::Incomplete => {
            let status = StatusCode::BAD_REQUEST;
            let message = "the request body ended early or is malformed";
            CallerError::not_run(status, "body_incomplete", message).closing()
        }
    })
}

fn too_large(limit: usize) -> CallerError {
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    let message = format!("the request body is larger than the limit of {limit} bytes");
    CallerError::not_run(status, "body_too_large", message).closing()
}
