//! A prompt that an engine keeps for the one that runs the request.

use std::sync::Arc;
use std::time::Duration;

use crate::dialect::{CallerDialect, PromptHandle};
use crate::entry_shared::EntryShared;

/// Longest wait for the answer to a release.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer to a release, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024;

/// Frees the prompt when it is dropped, unless another engine has taken it over.
#[derive(Debug)]
pub(crate) struct KeptPrompt<D: CallerDialect> {
    pub(crate) shared: Arc<EntryShared<D>>,
    pub(crate) handle: PromptHandle,
    pub(crate) taken: bool,
}

impl<D: CallerDialect> KeptPrompt<D> {
    /// Another engine has taken the prompt over.
    pub(crate) fn taken(mut self) {
        self.taken = true;
    }
}

impl<D: CallerDialect> Drop for KeptPrompt<D> {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let request = self.shared.dialect.release_prompt(&self.handle);
        let (client, engine) = (self.shared.client.clone(), self.handle.engine);
        tokio::spawn(async move {
            let released = match client.send(engine, request, RELEASE_TIMEOUT).await {
                Ok(answer) => answer
                    .collect(MAX_ANSWER_BYTES, RELEASE_TIMEOUT)
                    .await
                    .err(),
                Err(error) => Some(error),
            };
            if let Some(error) = released {
                // The engine drops the prompt by itself after some seconds.
                tracing::debug!(%engine, %error, "a prompt was not released");
            }
        });
    }
}
