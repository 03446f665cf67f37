//! Reading of answers that are held until they are complete.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use oriolecrank_net::ClientResponse;
use snafu::Snafu;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Largest answer, in bytes, that is held until it is complete.
const MAX_PLAIN_BYTES: usize = 16 * 1024 * 1024;

/// Memory for unfinished answers of all requests of an entry, in KiB: a fifth of the memory of the
/// smallest machine. Answers without end must not use up the rest.
const HELD_ANSWERS_KIB: usize = 32 * 1024;

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
    /// The answer exceeds the limit for one answer.
    #[snafu(display("the answer exceeds {MAX_PLAIN_BYTES} bytes"))]
    TooLong,
    /// The unfinished answers of all requests together exceed their limit.
    #[snafu(display("unfinished answers use up their {HELD_ANSWERS_KIB} KiB"))]
    NoMemory,
}

/// Memory that unfinished answers share; clones share the same limit.
#[derive(Debug, Clone)]
pub(crate) struct AnswerMemory(Arc<Semaphore>);

impl Default for AnswerMemory {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(HELD_ANSWERS_KIB)))
    }
}

impl AnswerMemory {
    /// Reads the rest of an answer within `time_left`.
    pub(crate) async fn read(
        &self,
        response: &mut ClientResponse,
        time_left: Duration,
    ) -> Result<Bytes, PlainBodyError> {
        let reading = self.read_all(response);
        timeout(time_left, reading)
            .await
            .unwrap_or_else(|_| LateSnafu.fail())
    }

    async fn read_all(&self, response: &mut ClientResponse) -> Result<Bytes, PlainBodyError> {
        let mut bytes = BytesMut::new();
        // Grows with the answer and is released at its end.
        let mut held: Option<OwnedSemaphorePermit> = None;
        while let Some(frame) = response.body_mut().frame().await {
            let frame = frame.map_err(|source| PlainBodyError::Interrupted { source })?;
            let data = frame.into_data().unwrap_or_default();
            let size = bytes.len() + data.len();
            snafu::ensure!(size <= MAX_PLAIN_BYTES, TooLongSnafu);
            let held_kib = held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
            let missing_kib = size.div_ceil(1024).saturating_sub(held_kib);
            let Ok(permit) = Arc::clone(&self.0).try_acquire_many_owned(missing_kib as u32) else {
                return NoMemorySnafu.fail();
            };
            match &mut held {
                Some(held) => held.merge(permit),
                None => held = Some(permit),
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }
}
