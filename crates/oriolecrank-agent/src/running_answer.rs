//! One answer while it is produced and until it is acknowledged.

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

/// An answer without a connected entry is cancelled after this time.
const RESUME_GRACE: Duration = Duration::from_secs(5);

/// An answer that ended is kept for this time when the entry does not acknowledge it; after the
/// time at which the agent reports the usage itself.
const FINISHED_GRACE: Duration = Duration::from_secs(35);

/// Status and header fields of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<HeaderField>,
}

/// Request that an answer belongs to.
#[derive(Debug, Clone)]
pub struct AnswerOrigin {
    /// Claim of a non-idempotent call. Such a call is not cancelled, and its bytes are kept for other
    /// entries.
    pub claim_id: Option<u64>,
    /// Organisation that is billed; `None` for open routes.
    pub organisation: Option<OrganisationId>,
    /// Service of the request.
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

/// What a stream of an answer sends next.
#[derive(Debug, Clone, PartialEq)]
pub enum NextItem {
    /// The head, before the first chunk.
    Head(AnswerHead),
    /// Bytes at an offset.
    Chunk(u64, Bytes),
    /// The answer is complete with this length and usage.
    End(u64, TokenUsage),
    /// The attempt failed.
    Failed(RunEvent),
    /// Nothing yet.
    Pending,
    /// The entry asks for bytes that it has acknowledged or that do not exist.
    Unavailable,
}

#[derive(Debug)]
struct AnswerState {
    head: Option<AnswerHead>,
    buffer: AnswerBuffer,
    /// Set once if the attempt failed; nothing is appended afterwards.
    failure: Option<RunEvent>,
    /// Number of connections that read the answer.
    readers: u32,
    /// When the last reader left or the answer ended, whichever is later.
    idle_since: TimePoint,
    worker: Option<AbortHandle>,
    usage_reported: bool,
}

/// An answer of an upstream.
#[derive(Debug)]
pub struct RunningAnswer {
    /// Lock order: after the work table, and never across an await.
    state: Mutex<AnswerState>,
    changed: watch::Sender<()>,
    origin: AnswerOrigin,
}

impl RunningAnswer {
    /// An answer that has not begun.
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

    /// Claim of a non-idempotent call.
    pub const fn claim_id(&self) -> Option<u64> {
        self.origin.claim_id
    }

    /// Notified after each change.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Sets the head.
    pub fn set_head(&self, head: AnswerHead) {
        self.lock().head = Some(head);
        self.changed.send_replace(());
    }

    /// Head of the answer, if it has begun.
    pub fn head(&self) -> Option<AnswerHead> {
        self.lock().head.clone()
    }

    /// Appends bytes, waiting while the buffer is full.
    pub async fn append(&self, mut bytes: Bytes) {
        let mut changes = self.changes();
        while !bytes.is_empty() {
            changes.borrow_and_update();
            let taken = self.lock().buffer.push(&mut bytes);
            if taken > 0 {
                self.changed.send_replace(());
                continue;
            }
            // The sender lives as long as the answer, so this only fails after the answer is gone.
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// The answer is complete; later calls have no effect.
    pub fn complete(&self, usage: TokenUsage, now: TimePoint) {
        let mut state = self.lock();
        if state.failure.is_none() {
            state.buffer.finish(usage, now);
            state.idle_since = now;
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// The attempt failed; later calls have no effect.
    pub fn fail(&self, event: RunEvent, now: TimePoint) {
        let mut state = self.lock();
        if state.failure.is_none() && !state.buffer.is_finished() {
            state.failure = Some(event);
            state.idle_since = now;
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// What a reader at `offset` sends next.
    pub fn next_item(&self, offset: u64, head_sent: bool) -> NextItem {
        let state = self.lock();
        if let Some(head) = &state.head
            && !head_sent
        {
            return NextItem::Head(head.clone());
        }
        match state.buffer.read(offset) {
            Ok(BufferRead::Bytes(bytes)) => NextItem::Chunk(offset, bytes),
            Ok(BufferRead::End(end)) => NextItem::End(end.length, end.usage),
            Ok(BufferRead::Pending) => state
                .failure
                .clone()
                .map_or(NextItem::Pending, NextItem::Failed),
            Err(_) => NextItem::Unavailable,
        }
    }

    /// The body so far, if nothing of it was freed.
    pub fn whole_body(&self) -> Option<Vec<u8>> {
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

    /// Takes an acknowledgement. The bytes of a claimed call are kept, because another entry may
    /// still ask for them.
    pub fn acknowledge(&self, offset: u64, complete: bool) {
        if self.origin.claim_id.is_some() && !complete {
            return;
        }
        // A faulty acknowledgement frees nothing.
        let _ = self.lock().buffer.acknowledge(offset, complete);
        self.changed.send_replace(());
    }

    /// Counts a new reader.
    pub fn attach(&self) {
        self.lock().readers += 1;
    }

    /// A reader has left.
    pub fn detach(&self, now: TimePoint) {
        let mut state = self.lock();
        state.readers = state.readers.saturating_sub(1);
        state.idle_since = now;
    }

    /// Stores the task that produces the answer.
    pub fn set_worker(&self, worker: AbortHandle) {
        self.lock().worker = Some(worker);
    }

    /// Stops the task that produces the answer, unless the call must not be cancelled.
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

    /// Whether nobody will read the answer any more.
    pub fn is_expired(&self, now: TimePoint) -> bool {
        let state = self.lock();
        let ended = state.failure.is_some() || state.buffer.is_finished();
        if !ended && self.origin.claim_id.is_some() {
            return false;
        }
        let grace = if ended { FINISHED_GRACE } else { RESUME_GRACE };
        state.readers == 0 && now.since(state.idle_since) > grace
    }

    /// Usage of attempt `id` that no entry has acknowledged in time; returned once.
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
            .expect("no holder of an answer lock panics")
    }
}
