//! Injected faults of the fakes of the platform and of the usage receiver.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Response, StatusCode};
use oriolecrank_net::{AnswerBody, BodyAborted, text_answer};
use tokio::time::sleep;

/// Injected fault of one request that changes the state of the fake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AnswerFault {
    /// No fault: the request takes effect and is answered.
    #[default]
    None,
    /// The request takes effect, but the connection breaks before the first byte of the body.
    LoseAnswer,
    /// The connection breaks before the request takes effect.
    LoseRequest,
    /// The request is refused with this status and has no effect.
    Refuse(StatusCode),
    /// The request takes effect immediately, but its answer is delayed.
    DelayAnswer(Duration),
    /// The request takes effect after a delay, even if the sender no longer waits for the answer.
    DelayEffect(Duration),
}

/// Faults of the next requests, in order. Requests after the last fault have none. Clones share one
/// queue.
#[derive(Debug, Clone, Default)]
pub struct FaultQueue(Arc<Mutex<VecDeque<AnswerFault>>>);

impl FaultQueue {
    /// Appends faults, one for each further request.
    pub fn push(&self, faults: impl IntoIterator<Item = AnswerFault>) {
        self.lock().extend(faults);
    }

    /// Removes and returns the fault of the current request.
    pub(crate) fn next(&self) -> AnswerFault {
        self.lock().pop_front().unwrap_or_default()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<AnswerFault>> {
        self.0.lock().expect("no holder of the fault lock panics")
    }
}

/// Applies a fault to a request. `run` carries out the request and returns its answer.
pub(crate) async fn answer_with_fault(
    fault: AnswerFault,
    run: impl FnOnce() -> Response<AnswerBody> + Send + 'static,
) -> Response<AnswerBody> {
    match fault {
        AnswerFault::None => run(),
        AnswerFault::LoseAnswer => {
            drop(run());
            aborted_answer().await
        }
        AnswerFault::LoseRequest => aborted_answer().await,
        AnswerFault::Refuse(status) => {
            text_answer(status, "refused by an injected fault".to_owned())
        }
        AnswerFault::DelayAnswer(delay) => {
            let answer = run();
            sleep(delay).await;
            answer
        }
        AnswerFault::DelayEffect(delay) => {
            let delayed = tokio::spawn(async move {
                sleep(delay).await;
                run()
            });
            match delayed.await {
                Ok(answer) => answer,
                Err(_) => aborted_answer().await,
            }
        }
    }
}

/// An answer with status 200 whose body fails before its first byte.
async fn aborted_answer() -> Response<AnswerBody> {
    let (sender, body) = AnswerBody::stream();
    // The receiver may already be dropped.
    let _ = sender.send(Err(BodyAborted)).await;
    Response::new(body)
}
