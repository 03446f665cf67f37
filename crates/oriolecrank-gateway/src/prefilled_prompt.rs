//! A prompt that one engine has prefilled and keeps for the serving engine.

use std::sync::Arc;
use std::time::Duration;

use crate::dialect::{CallerDialect, PromptHandle};
use crate::entry_shared::EntryShared;
use crate::running_attempt::current_time;

/// Timeout of a release request.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer to a release request, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024;

/// Asks the engine to release the prompt when this value is dropped, unless the serving engine
/// has fetched it.
#[derive(Debug)]
pub(crate) struct PrefilledPrompt<D: CallerDialect> {
    pub(crate) shared: Arc<EntryShared<D>>,
    pub(crate) handle: PromptHandle,
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
        let request = self.shared.dialect.release_prompt(&self.handle);
        let now = current_time();
        self.shared.record_extra_message(self.handle.engine, now);
        let (client, engine) = (self.shared.client.clone(), self.handle.engine);
        tokio::spawn(async move {
            let error = match client.send(engine, request, RELEASE_TIMEOUT).await {
                Ok(answer) => answer
                    .collect(MAX_ANSWER_BYTES, RELEASE_TIMEOUT)
                    .await
                    .err(),
                Err(error) => Some(error),
            };
            if let Some(error) = error {
                // The engine evicts the prompt after some seconds anyway.
                tracing::debug!(
                    %engine,
                    %error,
                    "a prefilled prompt was not released; it occupies the engine until it expires"
                );
            }
        });
    }
}
