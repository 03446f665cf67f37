//! Reading of answers that are held until they are complete.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use oriolecrank_net::ClientResponse;
use oriolecrank_net::intake::{BodyBuffer, BodyError, ByteBudget};
use snafu::{ResultExt as _, Snafu};
use tokio::time::timeout;

/// Largest answer, in bytes, that is held until it is complete.
const MAX_PLAIN_BYTES: usize = 16 * 1024 * 1024;

/// Why an answer could not be read.
#[derive(Debug, Snafu)]
pub(crate) enum PlainBodyError {
    /// The connection broke.
    #[snafu(display("the answer was interrupted: {source}"))]
    Interrupted {
        /// Cause.
        source: hyper::Error,
    },
    /// The deadline has passed.
    #[snafu(display("the answer was not complete by the deadline"))]
    Late,
    /// The answer is too long, or all that is held for clients leaves no room for it.
    #[snafu(display("the answer cannot be held: {source}"))]
    NotHeld {
        /// Cause.
        source: BodyError,
    },
}

/// Reads the rest of an answer within `time_left`. The budget counts it until it has been sent.
pub(crate) async fn read_plain_body(
    response: &mut ClientResponse,
    budget: &ByteBudget,
    time_left: Duration,
) -> Result<Bytes, PlainBodyError> {
    let reading = read_all(response, budget);
    timeout(time_left, reading)
        .await
        .unwrap_or_else(|_| LateSnafu.fail())
}

async fn read_all(
    response: &mut ClientResponse,
    budget: &ByteBudget,
) -> Result<Bytes, PlainBodyError> {
    let mut buffer = BodyBuffer::new(MAX_PLAIN_BYTES, budget);
    while let Some(frame) = response.body_mut().frame().await {
        let frame = frame.context(InterruptedSnafu)?;
        if let Ok(data) = frame.into_data() {
            buffer.append(&data).context(NotHeldSnafu)?;
        }
    }
    Ok(buffer.into_bytes())
}
