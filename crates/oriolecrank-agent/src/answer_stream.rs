//! Sends an answer to one connected entry.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oriolecrank_net::frame::encode_frame;
use oriolecrank_net::{BodySender, BootClock};
use oriolecrank_policy::AttemptId;
use oriolecrank_schema::data_path::{RunEvent, RunFrame, UpstreamLoad};
use tokio::time::timeout;

use crate::failure_events::may_have_run;
use crate::running_answer::{RunningAnswer, StreamItem};

/// Interval of heartbeats while the answer has no new data.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Encodes an event of an answer as a frame.
pub fn encode_event(id: &AttemptId, event: RunEvent, payload: &[u8]) -> Bytes {
    let frame = RunFrame {
        attempt: id.attempt,
        event,
        request_id: id.request_id.clone(),
    };
    encode_frame(&frame, payload)
}

/// One connection on which an entry receives an answer, starting at an offset.
#[derive(Debug)]
pub struct AnswerStream {
    id: AttemptId,
    answer: Arc<RunningAnswer>,
    offset: u64,
    sender: BodySender,
}

impl AnswerStream {
    /// Creates a stream for attempt `id`, which differs from the attempt that produces the answer
    /// when two requests share a claim.
    pub fn new(id: AttemptId, answer: Arc<RunningAnswer>, offset: u64, sender: BodySender) -> Self {
        answer.add_reader();
        Self {
            id,
            answer,
            offset,
            sender,
        }
    }

    /// Sends frames until the answer ends or the entry disconnects. `load` supplies the current
    /// load for the first and the last frame.
    pub async fn run(mut self, load: impl Fn() -> UpstreamLoad) {
        let accepted = encode_event(&self.id, RunEvent::Accepted { load: load() }, &[]);
        if self.sender.send(Ok(accepted)).await.is_ok() {
            self.send_items(&load).await;
        }
        self.answer.remove_reader(BootClock.now());
    }

    async fn send_items(&mut self, load: &impl Fn() -> UpstreamLoad) {
        let mut changes = self.answer.changes();
        let mut head_sent = false;
        loop {
            changes.borrow_and_update();
            let item = self.answer.next_item(self.offset, head_sent);
            head_sent |= matches!(item, StreamItem::Head(_));
            let is_last = matches!(
                item,
                StreamItem::End(..) | StreamItem::Failed(_) | StreamItem::Unavailable
            );
            if matches!(item, StreamItem::Pending) {
                tokio::select! {
                    () = self.sender.closed() => return,
                    change = timeout(HEARTBEAT_INTERVAL, changes.changed()) => {
                        if change.is_ok() {
                            continue;
                        }
                    }
                }
            }
            let bytes = self.encode(item, load);
            if self.sender.send(Ok(bytes)).await.is_err() || is_last {
                return;
            }
        }
    }

    fn encode(&mut self, item: StreamItem, load: &impl Fn() -> UpstreamLoad) -> Bytes {
        let id = &self.id;
        match item {
            StreamItem::Head(head) => encode_event(
                id,
                RunEvent::Head {
                    headers: head.headers,
                    status: head.status,
                },
                &[],
            ),
            StreamItem::Chunk(offset, payload) => {
                self.offset = offset + payload.len() as u64;
                encode_event(id, RunEvent::Chunk { offset }, &payload)
            }
            StreamItem::End(length, usage) => encode_event(
                id,
                RunEvent::End {
                    length,
                    load: load(),
                    usage,
                },
                &[],
            ),
            StreamItem::Failed(event) => encode_event(id, event, &[]),
            StreamItem::Unavailable => encode_event(
                id,
                may_have_run(
                    "offset_unavailable",
                    "the requested bytes were already freed or do not exist",
                ),
                &[],
            ),
            StreamItem::Pending => encode_event(id, RunEvent::Heartbeat, &[]),
        }
    }
}
