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
use crate::running_answer::{NextItem, RunningAnswer};

/// Interval of heartbeats on an answer stream that has nothing to send.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Encodes one frame of an answer.
pub fn frame(id: &AttemptId, event: RunEvent, payload: &[u8]) -> Bytes {
    let frame = RunFrame {
        attempt: id.attempt,
        event,
        request_id: id.request_id.clone(),
    };
    encode_frame(&frame, payload)
}

/// One connection that reads an answer from an offset.
#[derive(Debug)]
pub struct AnswerStream {
    id: AttemptId,
    answer: Arc<RunningAnswer>,
    offset: u64,
    sender: BodySender,
}

impl AnswerStream {
    /// A stream for attempt `id`, which may differ from the attempt that produces the answer when
    /// two requests share a claim.
    pub fn new(id: AttemptId, answer: Arc<RunningAnswer>, offset: u64, sender: BodySender) -> Self {
        answer.attach();
        Self {
            id,
            answer,
            offset,
            sender,
        }
    }

    /// Sends frames until the answer ends or the entry disconnects.
    pub async fn run(mut self, load: impl Fn() -> UpstreamLoad) {
        let accepted = frame(&self.id, RunEvent::Accepted { load: load() }, &[]);
        if self.sender.send(Ok(accepted)).await.is_ok() {
            self.send_items(&load).await;
        }
        self.answer.detach(BootClock.now());
    }

    async fn send_items(&mut self, load: &impl Fn() -> UpstreamLoad) {
        let mut changes = self.answer.changes();
        let mut head_sent = false;
        loop {
            changes.borrow_and_update();
            let item = self.answer.next_item(self.offset, head_sent);
            head_sent |= matches!(item, NextItem::Head(_));
            let last = matches!(
                item,
                NextItem::End(..) | NextItem::Failed(_) | NextItem::Unavailable
            );
            if matches!(item, NextItem::Pending) {
                tokio::select! {
                    () = self.sender.closed() => return,
                    waited = timeout(HEARTBEAT_INTERVAL, changes.changed()) => {
                        if waited.is_ok() {
                            continue;
                        }
                    }
                }
            }
            let bytes = self.encode(item, load);
            if self.sender.send(Ok(bytes)).await.is_err() || last {
                return;
            }
        }
    }

    fn encode(&mut self, item: NextItem, load: &impl Fn() -> UpstreamLoad) -> Bytes {
        let id = &self.id;
        match item {
            NextItem::Head(head) => frame(
                id,
                RunEvent::Head {
                    headers: head.headers,
                    status: head.status,
                },
                &[],
            ),
            NextItem::Chunk(offset, payload) => {
                self.offset = offset + payload.len() as u64;
                frame(id, RunEvent::Chunk { offset }, &payload)
            }
            NextItem::End(length, usage) => frame(
                id,
                RunEvent::End {
                    length,
                    load: load(),
                    usage,
                },
                &[],
            ),
            NextItem::Failed(event) => frame(id, event, &[]),
            NextItem::Unavailable => frame(
                id,
                may_have_run("offset_unavailable", "these bytes are not kept"),
                &[],
            ),
            NextItem::Pending => frame(id, RunEvent::Heartbeat, &[]),
        }
    }
}
