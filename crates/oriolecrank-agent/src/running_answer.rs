//! Buffered answer of one attempt, from its start until the entry has acknowledged it.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use oriolecrank_policy::AttemptId;
use oriolecrank_policy::answer_buffer::{AnswerBuffer, BufferRead, BufferSettings};
use oriolecrank_schema::OPEN_ORGANISATION;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::UsageRecord;
use oriolecrank_schema::data_path::{HeaderField, RunEvent, RunRequest, TokenUsage};
use oriolecrank_schema::document::{OrganisationId, ServiceId};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// An unfinished answer that no entry reads is cancelled after this time.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);

/// Retention of a finished answer that the entry does not acknowledge. It is longer than the
/// 30 s after which the agent reports the usage itself.
const FINISHED_RETENTION: Duration = Duration::from_secs(35);

/// Status and header fields of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerHead {
    /// HTTP status code.
    pub status: u16,
    /// Header fields of the answer.
    pub headers: Vec<HeaderField>,
}

/// Properties of the request that an answer belongs to.
#[derive(Debug, Clone)]
pub struct AnswerOrigin {
    /// Id of the claim of a non-idempotent call. Such a call is never cancelled, and its answer
    /// stays buffered for other entries that send the same claim.
    pub claim_id: Option<u64>,
    /// Organisation to bill; `None` for open routes.
    pub organisation: Option<OrganisationId>,
    /// Service that the request is for.
    pub service: ServiceId,
}

impl From<&RunRequest> for AnswerOrigin {
    fn from(request: &RunRequest) -> Self {
        let billed = request.organisation != OPEN_ORGANISATION;
        Self {
            claim_id: request.claim.as_ref().map(|ticket| ticket.claim_id),
            organisation: billed.then(|| OrganisationId(request.organisation.clone())),
            service: request.service.clone(),
        }
    }
}

/// Next item that an answer stream sends.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamItem {
    /// The head, before the first chunk.
    Head(AnswerHead),
    /// Offset of a part of the body, and its bytes.
    Chunk(u64, Bytes),
    /// The answer is complete with this length and usage.
    End(u64, TokenUsage),
    /// The attempt failed.
    Failed(RunEvent),
    /// No new data yet.
    Pending,
    /// The requested offset was already acknowledged and freed, or lies beyond the answer.
    Unavailable,
}

#[derive(Debug)]
struct AnswerState {
    head: Option<AnswerHead>,
    buffer: AnswerBuffer,
    /// Set once, when the attempt fails.
    failure: Option<RunEvent>,
    /// Number of connections on which the answer is being read.
    readers: u32,
    /// When the answer was created or ended or a reader last left, whichever is latest.
    idle_since: TimePoint,
    /// Task that produces the answer; `None` before it starts and after it was cancelled.
    worker: Option<AbortHandle>,
    /// Whether the agent has already reported the usage itself.
    usage_reported: bool,
}

/// Answer of one attempt, written by a single task and read by any number of connections.
#[derive(Debug)]
pub struct RunningAnswer {
    /// Lock order: after the request table, and never across an await.
    state: Mutex<AnswerState>,
    changed: watch::Sender<()>,
    origin: AnswerOrigin,
}

impl RunningAnswer {
    /// Creates an answer without head and body.
    pub fn new(origin: AnswerOrigin, now: TimePoint) -> Self {
        let state = AnswerState {
            head: None,
            buffer: AnswerBuffer::new(BufferSettings::default()),
            failure: None,
            readers: 0,
            idle_since: now,
            worker: None,
            usage_reported: false,
        };
        Self {
            state: Mutex::new(state),
            changed: watch::channel(()).0,
            origin,
        }
    }

    /// Id of the claim, if the call is not idempotent.
    pub const fn claim_id(&self) -> Option<u64> {
        self.origin.claim_id
    }

    /// Receiver that is notified after each change of the answer.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Sets the head, which precedes the body.
    pub fn set_head(&self, head: AnswerHead) {
        self.lock().head = Some(head);
        self.changed.send_replace(());
    }

    /// Head of the answer; `None` until the upstream has sent it.
    pub fn head(&self) -> Option<AnswerHead> {
        self.lock().head.clone()
    }

    /// Appends bytes to the body; waits while the buffer is full. Returns false if it stays full,
    /// because nothing of the answer to a claimed call is freed before its end.
    pub async fn append(&self, mut bytes: Bytes) -> bool {
        let mut changes = self.changes();
        while !bytes.is_empty() {
            changes.borrow_and_update();
            let accepted = self.lock().buffer.push(&mut bytes);
            if accepted > 0 {
                self.changed.send_replace(());
                continue;
            }
            if self.origin.claim_id.is_some() {
                return false;
            }
            // The sender lives as long as the answer, so an error means that the answer was
            // dropped.
            if changes.changed().await.is_err() {
                return true;
            }
        }
        true
    }

    /// Marks the answer as complete; has no effect after a failure.
    pub fn complete(&self, usage: TokenUsage, now: TimePoint) {
        let mut state = self.lock();
        if state.failure.is_none() {
            state.buffer.finish(usage, now);
            state.idle_since = now;
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Ends the answer with a failure; has no effect if it has already ended.
    pub fn fail(&self, event: RunEvent, now: TimePoint) {
        let mut state = self.lock();
        if state.failure.is_none() && !state.buffer.is_finished() {
            state.failure = Some(event);
            state.idle_since = now;
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Next item for a connection on which the body was sent up to `offset`; `head_sent` states
    /// whether the head was sent as well.
    pub fn next_item(&self, offset: u64, head_sent: bool) -> StreamItem {
        let state = self.lock();
        if let Some(head) = &state.head
            && !head_sent
        {
            return StreamItem::Head(head.clone());
        }
        match state.buffer.read(offset) {
            Ok(BufferRead::Bytes(bytes)) => StreamItem::Chunk(offset, bytes),
            Ok(BufferRead::End(end)) => StreamItem::End(end.length, end.usage),
            Ok(BufferRead::Pending) => state
                .failure
                .clone()
                .map_or(StreamItem::Pending, StreamItem::Failed),
            Err(_) => StreamItem::Unavailable,
        }
    }

    /// Body so far; `None` if part of it was already freed.
    pub fn full_body(&self) -> Option<Vec<u8>> {
        let state = self.lock();
        let mut body = Vec::new();
        loop {
            match state.buffer.read(body.len() as u64) {
                Ok(BufferRead::Bytes(bytes)) => body.extend_from_slice(&bytes),
                Ok(BufferRead::End(_) | BufferRead::Pending) => return Some(body),
                Err(_) => return None,
            }
        }
    }

    /// Frees the body up to `offset`; `complete` means that the entry has received the whole
    /// answer. A claimed call frees nothing before that, because another entry may still request
    /// its bytes.
    pub fn acknowledge(&self, offset: u64, complete: bool) {
        if self.origin.claim_id.is_some() && !complete {
            return;
        }
        // An invalid acknowledgement frees nothing.
        let _ = self.lock().buffer.acknowledge(offset, complete);
        self.changed.send_replace(());
    }

    /// Registers a connection that reads the answer.
    pub fn add_reader(&self) {
        self.lock().readers += 1;
    }

    /// Unregisters a connection that read the answer.
    pub fn remove_reader(&self, now: TimePoint) {
        let mut state = self.lock();
        state.readers = state.readers.saturating_sub(1);
        state.idle_since = now;
    }

    /// Sets the task that produces the answer, so that it can be cancelled.
    pub fn set_worker(&self, worker: AbortHandle) {
        self.lock().worker = Some(worker);
    }

    /// Aborts the task that produces the answer. Returns false for a claimed call, which must not
    /// be cancelled, and if no task is running.
    pub fn cancel(&self) -> bool {
        if self.origin.claim_id.is_some() {
            return false;
        }
        let Some(worker) = self.lock().worker.take() else {
            return false;
        };
        worker.abort();
        true
    }

    /// Whether the answer is complete or failed.
    pub fn is_ended(&self) -> bool {
        let state = self.lock();
        state.failure.is_some() || state.buffer.is_finished()
    }

    /// Whether the answer has had no reader for so long that it can be removed. An unfinished
    /// answer of a claimed call never expires.
    pub fn is_expired(&self, now: TimePoint) -> bool {
        let state = self.lock();
        let ended = state.failure.is_some() || state.buffer.is_finished();
        if !ended && self.origin.claim_id.is_some() {
            return false;
        }
        let retention = if ended {
            FINISHED_RETENTION
        } else {
            RESUME_TIMEOUT
        };
        state.readers == 0 && now.since(state.idle_since) > retention
    }

    /// Usage that no entry has acknowledged in time, for the agent to report as that of attempt
    /// `id`. Returned at most once; `None` for open routes, which are not billed.
    pub fn take_overdue_usage(&self, id: &AttemptId, now: TimePoint) -> Option<UsageRecord> {
        let mut state = self.lock();
        if state.usage_reported {
            return None;
        }
        let usage = state.buffer.overdue_usage(now).cloned()?;
        state.usage_reported = true;
        Some(UsageRecord {
            age_ms: now.since(state.idle_since).as_millis() as u64,
            attempt: id.attempt,
            organisation: self.origin.organisation.clone()?,
            request_id: id.request_id.clone(),
            service: self.origin.service.clone(),
            usage,
        })
    }

    fn lock(&self) -> MutexGuard<'_, AnswerState> {
        self.state
            .lock()
            .expect("the answer lock is never poisoned: no holder panics")
    }
}
