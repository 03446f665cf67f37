//! Answers that entries have not yet acknowledged.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::{HeaderField, RunEvent};
use oriolecrank_schema::document::RequestId;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Bytes of one answer that are buffered before the upstream is read more slowly.
pub const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// Largest payload of one frame, in bytes.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// An answer without a connected entry is cancelled after this time.
const RESUME_GRACE: Duration = Duration::from_secs(5);

/// A finished answer is kept for this time when the entry does not acknowledge it.
const FINISHED_GRACE: Duration = Duration::from_secs(30);

/// One attempt of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// Request.
    pub request_id: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// Status and header fields of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<HeaderField>,
}

/// What a stream of an answer sends next.
#[derive(Debug, Clone, PartialEq)]
pub enum NextItem {
    /// The head, before the first chunk.
    Head(AnswerHead),
    /// Bytes at an offset.
    Chunk(u64, Bytes),
    /// The last frame.
    Final(RunEvent),
    /// Nothing yet.
    Pending,
    /// The entry asks for bytes that it has already acknowledged.
    Discarded,
}

#[derive(Debug, Default)]
struct AnswerState {
    head: Option<AnswerHead>,
    /// Offset of the first buffered byte; all bytes below are acknowledged.
    base: u64,
    buffer: BytesMut,
    /// Set once; nothing is appended afterwards.
    last: Option<RunEvent>,
    /// Number of connections that read the answer.
    readers: u32,
    /// When the last reader left or the answer ended, whichever is later.
    idle_since: TimePoint,
    worker: Option<AbortHandle>,
}

/// An answer while it is produced and until it is acknowledged.
#[derive(Debug)]
pub struct RunningAnswer {
    /// Lock order: locked alone and never across an await.
    state: Mutex<AnswerState>,
    changed: watch::Sender<()>,
}

impl RunningAnswer {
    fn new(now: TimePoint) -> Self {
        let state = AnswerState {
            idle_since: now,
            ..AnswerState::default()
        };
        Self {
            state: Mutex::new(state),
            changed: watch::channel(()).0,
        }
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

    /// Appends bytes, waiting while the buffer is full.
    pub async fn append(&self, bytes: Bytes) {
        let mut changes = self.changes();
        loop {
            changes.borrow_and_update();
            {
                let mut state = self.lock();
                if state.buffer.len() < MAX_BUFFERED_BYTES {
                    state.buffer.extend_from_slice(&bytes);
                    break;
                }
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
        self.changed.send_replace(());
    }

    /// Ends the answer; later calls have no effect.
    pub fn finish(&self, last: RunEvent, now: TimePoint) {
        let mut state = self.lock();
        if state.last.is_none() {
            state.last = Some(last);
            state.idle_since = now;
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Length of the body so far, in bytes.
    pub fn length(&self) -> u64 {
        let state = self.lock();
        state.base + state.buffer.len() as u64
    }

    /// What a reader at `offset` sends next.
    pub fn next_item(&self, offset: u64, head_sent: bool) -> NextItem {
        let state = self.lock();
        if let Some(head) = &state.head
            && !head_sent
        {
            return NextItem::Head(head.clone());
        }
        let Some(start) = offset.checked_sub(state.base) else {
            return NextItem::Discarded;
        };
        let start = start as usize;
        if start < state.buffer.len() {
            let end = state.buffer.len().min(start + MAX_CHUNK_BYTES);
            return NextItem::Chunk(offset, Bytes::copy_from_slice(&state.buffer[start..end]));
        }
        state
            .last
            .clone()
            .map_or(NextItem::Pending, NextItem::Final)
    }

    /// Frees the bytes below `offset`.
    pub fn acknowledge(&self, offset: u64) {
        let mut state = self.lock();
        let freed = offset
            .saturating_sub(state.base)
            .min(state.buffer.len() as u64);
        let _ = state.buffer.split_to(freed as usize);
        state.base += freed;
        drop(state);
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

    /// Stops the task that produces the answer.
    pub fn cancel(&self) {
        if let Some(worker) = self.lock().worker.take() {
            worker.abort();
        }
    }

    /// Whether nobody will read the answer any more.
    fn is_expired(&self, now: TimePoint) -> bool {
        let state = self.lock();
        let grace = if state.last.is_some() {
            FINISHED_GRACE
        } else {
            RESUME_GRACE
        };
        state.readers == 0 && now.since(state.idle_since) > grace
    }

    fn is_finished(&self) -> bool {
        self.lock().last.is_some()
    }

    fn lock(&self) -> MutexGuard<'_, AnswerState> {
        self.state
            .lock()
            .expect("no holder of an answer lock panics")
    }
}

/// All answers of an agent.
///
/// Lock order: the table before an answer.
#[derive(Debug, Default)]
pub struct AnswerTable {
    answers: Mutex<IndexMap<AttemptId, Arc<RunningAnswer>>>,
}

impl AnswerTable {
    /// Adds an answer; `None` if the attempt is already known.
    pub fn insert(&self, id: AttemptId, now: TimePoint) -> Option<Arc<RunningAnswer>> {
        let mut answers = self.lock();
        if answers.contains_key(&id) {
            return None;
        }
        let answer = Arc::new(RunningAnswer::new(now));
        answers.insert(id, Arc::clone(&answer));
        Some(answer)
    }

    /// Finds an answer.
    pub fn get(&self, id: &AttemptId) -> Option<Arc<RunningAnswer>> {
        self.lock().get(id).cloned()
    }

    /// Removes an answer.
    pub fn remove(&self, id: &AttemptId) -> Option<Arc<RunningAnswer>> {
        self.lock().swap_remove(id)
    }

    /// Number of answers that are still produced.
    pub fn running(&self) -> u32 {
        self.lock()
            .values()
            .filter(|answer| !answer.is_finished())
            .count() as u32
    }

    /// Cancels and removes answers that nobody will read any more.
    pub fn sweep(&self, now: TimePoint) {
        self.lock().retain(|_, answer| {
            let expired = answer.is_expired(now);
            if expired {
                answer.cancel();
            }
            !expired
        });
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<AttemptId, Arc<RunningAnswer>>> {
        self.answers
            .lock()
            .expect("no holder of the table lock panics")
    }
}
