//! Faults of a fake that answers single requests.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Response, StatusCode};
use oriolecrank_net::{AnswerBody, BodyAborted, text_answer};
use tokio::time::sleep;

/// What happens to one request that changes something.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AnswerFault {
    /// The request takes effect and is answered.
    #[default]
    None,
    /// The request takes effect, and the connection breaks before the answer is complete.
    LoseAnswer,
    /// The connection breaks before the request takes effect.
    LoseRequest,
    /// The request is refused with this status and has no effect.
    Refuse(StatusCode),
    /// The request takes effect at once, and the answer is delayed.
    DelayAnswer(Duration),
    /// The request takes effect after a delay, whether or not the sender still waits.
    DelayEffect(Duration),
}

/// Faults of the next requests, in order; clones share them.
#[derive(Debug, Clone, Default)]
pub struct FaultQueue(Arc<Mutex<VecDeque<AnswerFault>>>);

impl FaultQueue {
    /// Adds faults for the next requests.
    pub fn push(&self, faults: impl IntoIterator<Item = AnswerFault>) {
        self.lock().extend(faults);
    }

    /// Fault of the present request.
    pub(crate) fn next(&self) -> AnswerFault {
        self.lock().pop_front().unwrap_or_default()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<AnswerFault>> {
        self.0.lock().expect("no holder of the fault lock panics")
    }
}

/// Applies a fault to a request whose effect and answer are produced by `run`.
pub(crate) async fn answer_with_fault(
    fault: AnswerFault,
    run: impl FnOnce() -> Response<AnswerBody> + Send + 'static,
) -> Response<AnswerBody> {
    match fault {
        AnswerFault::None => run(),
        AnswerFault::LoseAnswer => {
            drop(run());
            broken_answer().await
        }
        AnswerFault::LoseRequest => broken_answer().await,
        AnswerFault::Refuse(status) => text_answer(status, "refused by a fault".to_owned()),
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
                Err(_) => broken_answer().await,
            }
        }
    }
}

/// An answer whose body breaks off before its first byte.
async fn broken_answer() -> Response<AnswerBody> {
    let (sender, body) = AnswerBody::stream();
    // The receiver may already be gone.
    let _ = sender.send(Err(BodyAborted)).await;
    Response::new(body)
}
