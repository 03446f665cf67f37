//! A prompt that one engine has prefilled and keeps for the serving engine.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_routing::UpstreamAnnouncement;

use crate::dialect::{CallerDialect, PromptHandle};
use crate::entry_shared::EntryShared;
use crate::running_attempt::current_time;

/// Timeout of a release request.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer to a release request, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024;

/// Asks the engine to release the prompt when this value is dropped, unless the serving engine
/// has fetched it or the engine asks for a pause. The engine evicts the prompt after some seconds
/// anyway.
#[derive(Debug)]
pub(crate) struct PrefilledPrompt<D: CallerDialect> {
    pub(crate) shared: Arc<EntryShared<D>>,
    pub(crate) handle: PromptHandle,
    /// The engine that keeps the prompt.
    pub(crate) upstream: UpstreamAnnouncement,
    /// The serving engine has fetched the prompt.
    pub(crate) transferred: bool,
}

impl<D: CallerDialect> PrefilledPrompt<D> {
    /// Records that the serving engine has fetched the prompt, so that no release is sent.
    pub(crate) fn mark_transferred(mut self) {
        self.transferred = true;
    }
}

impl<D: CallerDialect> Drop for PrefilledPrompt<D> {
    fn drop(&mut self) {
        if self.transferred {
            return;
        }
        let (shared, upstream) = (Arc::clone(&self.shared), self.upstream.clone());
        let engine = self.handle.engine;
        let may_send = shared.with_service(&upstream.service, |state| {
            let now = current_time();
            state.chooser.count_extra_message(&upstream, now)
        });
        if !may_send {
            tracing::debug!(
                %engine,
                "a prefilled prompt is not released, because its engine asks for a pause"
            );
            return;
        }
        let request = shared.dialect.release_prompt(&self.handle);
        tokio::spawn(async move {
            let error = match shared.client.send(engine, request, RELEASE_TIMEOUT).await {
                Ok(answer) => {
                    let status = answer.status();
                    let head = shared.dialect.decode_answer(status, answer.headers());
                    shared.record_statements(&upstream, &head, status, current_time());
                    let body = answer.collect(MAX_ANSWER_BYTES, RELEASE_TIMEOUT);
                    body.await.err()
                }
                Err(error) => Some(error),
            };
            if let Some(error) = error {
                tracing::debug!(
                    %engine,
                    %error,
                    "a prefilled prompt was not released; it occupies the engine until it expires"
                );
            }
        });
    }
}
