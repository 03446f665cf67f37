//! Equal reads of one organisation share one upstream call.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::Response;
use indexmap::IndexMap;
use oriolecrank_net::{AnswerBody, BootClock};
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::digest;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::answer_delivery::{CollectedAnswer, WholeAnswer, collect, deliver};
use crate::attempt_stream::AttemptError;
use crate::call_plan::CallPlan;
use crate::call_runner::CallRunner;
use crate::caller_answer::CallerError;
use crate::entry_context::EntryContext;
use crate::entry_metrics::RequestOutcome;
use crate::request_tracker::RequestTracker;
use crate::running_attempt::DEADLINE_EXCEEDED;

/// Header fields in which equal reads may differ.
const IGNORED_FIELDS: [&str; 3] = ["user-agent", "x-request-id", "traceparent"];

/// Result of a shared read.
#[derive(Debug, Clone)]
enum SharedRead {
    Answered(WholeAnswer),
    Failed(AttemptError),
    /// The answer is too large to be kept, so each caller reads it alone.
    TooLarge,
}

type ReadSender = watch::Sender<Option<SharedRead>>;

/// Reads that run now.
#[derive(Debug, Default)]
pub struct ReadCoalescer {
    /// By digest of organisation, call and header fields. Lock order: locked alone and never across
    /// an await.
    running: Mutex<IndexMap<String, Arc<ReadSender>>>,
}

impl ReadCoalescer {
    /// Joins the running read of an equal call, or begins one.
    fn join(
        &self,
        context: &Arc<EntryContext>,
        plan: &Arc<CallPlan>,
    ) -> watch::Receiver<Option<SharedRead>> {
        let key = read_key(plan);
        let mut running = self.running();
        if let Some(sender) = running.get(&key) {
            context.metrics.count_coalesced();
            return sender.subscribe();
        }
        let (sender, receiver) = watch::channel(None);
        let sender = Arc::new(sender);
        running.insert(key.clone(), Arc::clone(&sender));
        drop(running);
        tokio::spawn(read(Arc::clone(context), Arc::clone(plan), sender, key));
        receiver
    }

    fn running(&self) -> MutexGuard<'_, IndexMap<String, Arc<ReadSender>>> {
        self.running
            .lock()
            .expect("no holder of the coalescer lock panics")
    }
}

/// Runs one read for all callers that join it; when all of them have left, it is cancelled.
async fn read(
    context: Arc<EntryContext>,
    plan: Arc<CallPlan>,
    sender: Arc<ReadSender>,
    key: String,
) {
    let result = tokio::select! {
        result = read_whole(Arc::clone(&context), plan) => Some(result),
        () = sender.closed() => None,
    };
    // A finished read is not kept: later calls begin a new one.
    context.coalescer.running().swap_remove(&key);
    sender.send_replace(result);
}

async fn read_whole(context: Arc<EntryContext>, plan: Arc<CallPlan>) -> SharedRead {
    let mut runner = CallRunner::new(context, plan);
    let attempt = match runner.open().await {
        Ok(attempt) => attempt,
        Err(error) => return SharedRead::Failed(error),
    };
    match collect(&mut runner, attempt).await {
        Ok(CollectedAnswer::Whole(answer)) => SharedRead::Answered(answer),
        Ok(CollectedAnswer::Large { .. }) => SharedRead::TooLarge,
        Err(error) => SharedRead::Failed(error),
    }
}

/// Runs a call that may share its answer with equal calls.
pub async fn deliver_shared(
    context: Arc<EntryContext>,
    plan: Arc<CallPlan>,
    mut tracker: RequestTracker,
) -> Result<Response<AnswerBody>, CallerError> {
    let mut receiver = context.coalescer.join(&context, &plan);
    let left = plan.time_left(BootClock.now());
    let shared = await_read(&mut receiver, left).await;
    match shared {
        Some(SharedRead::Answered(answer)) => {
            tracker.note_first_byte();
            tracker.finish(RequestOutcome::Answered);
            Ok(answer.response())
        }
        Some(SharedRead::Failed(error)) => {
            tracker.finish(RequestOutcome::Failed);
            Err(error.into())
        }
        Some(SharedRead::TooLarge) | None => deliver(CallRunner::new(context, plan), tracker).await,
    }
}

/// Result of a read; `None` if it ended because its callers had left just before this one joined.
async fn await_read(
    receiver: &mut watch::Receiver<Option<SharedRead>>,
    left: Duration,
) -> Option<SharedRead> {
    match timeout(left, receiver.wait_for(Option::is_some)).await {
        Ok(Ok(shared)) => shared.clone(),
        Ok(Err(_)) => None,
        Err(_) => {
            let message = "the answer was not complete at its deadline";
            let verdict = RunVerdict::MayHaveRun;
            let error = AttemptError::new(verdict, DEADLINE_EXCEEDED, message);
            Some(SharedRead::Failed(error))
        }
    }
}

/// Digest of everything that may influence the answer.
fn read_key(plan: &CallPlan) -> String {
    let fields = plan.template.headers.iter();
    let relevant = fields.filter(|field| {
        let name = field.name.to_ascii_lowercase();
        !IGNORED_FIELDS.contains(&&*name)
    });
    let mut text = Vec::new();
    for field in relevant {
        for part in [&field.name, &field.value] {
            text.extend_from_slice(&(part.len() as u64).to_be_bytes());
            text.extend_from_slice(part.as_bytes());
        }
    }
    let template = &plan.template;
    digest::call_digest(&template.organisation, "", &template.fingerprint, &text)
}
