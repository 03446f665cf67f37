//! Coalesces concurrent equal reads of one organisation into one upstream call.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::Response;
use indexmap::IndexMap;
use oriolecrank_net::{AnswerBody, BootClock};
use oriolecrank_policy::read_coalescing::{CoalescingSettings, ReadKey, ReadRole, ReadTable};
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::digest;
use oriolecrank_schema::document::RequestId;
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

/// Header fields that are ignored when reads are compared.
const IGNORED_FIELDS: [&str; 3] = ["user-agent", "x-request-id", "traceparent"];

/// Result of a shared read.
#[derive(Debug, Clone)]
enum SharedRead {
    Answered(WholeAnswer),
    Failed(AttemptError),
    /// The answer is too large to be held in memory, so each caller sends a call of its own.
    TooLarge,
}

type ReadSender = watch::Sender<Option<SharedRead>>;

type ReadReceiver = watch::Receiver<Option<SharedRead>>;

/// Running coalesced reads of the entry.
#[derive(Debug)]
pub struct ReadCoalescer {
    /// Lock order: locked alone and never across an await.
    running: Mutex<RunningReads>,
}

#[derive(Debug)]
struct RunningReads {
    table: ReadTable,
    /// Sends the result of each read to its callers; by the id of the request that started the
    /// read.
    senders: IndexMap<RequestId, Arc<ReadSender>>,
}

/// A caller that waits for a shared read; dropping it removes the caller from the read.
#[derive(Debug)]
struct WaitingCaller {
    coalescer: Arc<ReadCoalescer>,
    key: ReadKey,
    request: RequestId,
    receiver: ReadReceiver,
}

impl Drop for WaitingCaller {
    fn drop(&mut self) {
        self.coalescer
            .running()
            .table
            .leave(&self.key, &self.request);
    }
}

impl ReadCoalescer {
    /// Creates a coalescer without running reads.
    pub fn new(settings: CoalescingSettings) -> Self {
        let reads = RunningReads {
            table: ReadTable::new(settings),
            senders: IndexMap::new(),
        };
        Self {
            running: Mutex::new(reads),
        }
    }

    /// Joins the running read of an equal call, or starts one; `None` if the call must not be
    /// shared.
    fn join(context: &Arc<EntryContext>, plan: &Arc<CallPlan>) -> Option<WaitingCaller> {
        let coalescer = &context.coalescer;
        let key = read_key(plan)?;
        let request = plan.template.request_id.clone();
        let mut running = coalescer.running();
        let receiver = match running.table.join(&key, &request) {
            ReadRole::Alone => return None,
            ReadRole::Join { leader } => {
                context.metrics.count_coalesced();
                running.senders.get(&leader)?.subscribe()
            }
            ReadRole::Lead => {
                let (sender, receiver) = watch::channel(None);
                let sender = Arc::new(sender);
                running.senders.insert(request.clone(), Arc::clone(&sender));
                let read = SharedCall {
                    context: Arc::clone(context),
                    plan: Arc::clone(plan),
                    sender,
                    key: key.clone(),
                };
                tokio::spawn(read.run());
                receiver
            }
        };
        drop(running);
        Some(WaitingCaller {
            coalescer: Arc::clone(coalescer),
            key,
            request,
            receiver,
        })
    }

    fn running(&self) -> MutexGuard<'_, RunningReads> {
        self.running
            .lock()
            .expect("no holder of the coalescer lock panics")
    }
}

/// The call that all callers of a read share. It is cancelled when all of them have disconnected.
#[derive(Debug)]
struct SharedCall {
    context: Arc<EntryContext>,
    plan: Arc<CallPlan>,
    sender: Arc<ReadSender>,
    key: ReadKey,
}

impl SharedCall {
    async fn run(self) {
        let leader = self.plan.template.request_id.clone();
        let coalescer = Arc::clone(&self.context.coalescer);
        let result = tokio::select! {
            result = read_whole(self.context, self.plan) => Some(result),
            () = self.sender.closed() => None,
        };
        // The answer is not cached: later calls start a new read.
        let mut running = coalescer.running();
        running.table.finish(&self.key, &leader);
        running.senders.swap_remove(&leader);
        drop(running);
        self.sender.send_replace(result);
    }
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

/// Runs a call that may share its answer with equal calls and sends the answer to the caller.
pub async fn deliver_shared(
    context: Arc<EntryContext>,
    plan: Arc<CallPlan>,
    mut tracker: RequestTracker,
) -> Result<Response<AnswerBody>, CallerError> {
    let left = plan.time_left(BootClock.now());
    let shared = match ReadCoalescer::join(&context, &plan) {
        Some(mut waiting) => await_read(&mut waiting.receiver, left).await,
        None => None,
    };
    match shared {
        Some(SharedRead::Answered(answer)) => {
            tracker.record_first_byte();
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

/// Waits for the result of a read, at most for `left`; `None` if the read was cancelled because its
/// other callers disconnected just before this one joined.
async fn await_read(receiver: &mut ReadReceiver, left: Duration) -> Option<SharedRead> {
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

/// Key by which equal reads are found; `None` for callers without an organisation, whose reads are
/// not shared.
fn read_key(plan: &CallPlan) -> Option<ReadKey> {
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
    Some(ReadKey {
        organisation: plan.organisation.clone()?,
        service: template.service.clone(),
        method: template.method.clone(),
        target: template.target.clone(),
        // The fingerprint is a digest that covers the body.
        variant: template.fingerprint.clone() + &digest::text_digest(&text),
    })
}
