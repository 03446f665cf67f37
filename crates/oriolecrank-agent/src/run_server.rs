//! Requests of entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::frame::{decode_frame, encode_frame};
use oriolecrank_net::{
    AnswerBody, BodySender, BootClock, HttpHandler, PeerGuard, empty_answer, read_body, text_answer,
};
use oriolecrank_schema::codec;
use oriolecrank_schema::data_path::{
    AckRequest, CancelRequest, ResumeRequest, RunEvent, RunFrame, RunRequest, RunVerdict,
    UpstreamLoad,
};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::answer_table::{AnswerHead, AnswerTable, AttemptId, NextItem, RunningAnswer};
use crate::upstream_client::{CallError, UpstreamAnswer, UpstreamCall, UpstreamClient};
use crate::usage_meter::UsageMeter;

/// Largest request, in bytes.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Interval of heartbeats on an answer stream that has nothing to send.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Answers the requests of entries by calls to the upstream.
#[derive(Debug)]
pub struct RunServer<U> {
    guard: PeerGuard,
    upstream: Arc<U>,
    table: Arc<AnswerTable>,
    incarnation: u64,
    /// New work is refused.
    leaving: AtomicBool,
}

impl<U: UpstreamClient> RunServer<U> {
    /// A server in front of `upstream`.
    pub fn new(guard: PeerGuard, upstream: U, incarnation: u64) -> Self {
        Self {
            guard,
            upstream: Arc::new(upstream),
            table: Arc::default(),
            incarnation,
            leaving: AtomicBool::new(false),
        }
    }

    /// Answers in work.
    pub fn table(&self) -> &AnswerTable {
        &self.table
    }

    /// Refuses new work from now on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Present load.
    pub fn load(&self) -> UpstreamLoad {
        load(&self.table)
    }

    fn run(&self, bytes: &Bytes) -> Response<AnswerBody> {
        let mut buffer = BytesMut::from(&bytes[..]);
        let frame = match decode_frame::<RunRequest>(&mut buffer) {
            Ok(Some(frame)) => frame,
            Ok(None) => return text_answer(StatusCode::BAD_REQUEST, "incomplete frame".to_owned()),
            Err(error) => return text_answer(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let request = frame.header;
        let id = AttemptId {
            request_id: request.request_id.clone(),
            attempt: request.attempt,
        };
        if let Some(event) = self.refusal(&request) {
            return single_frame(&id, event);
        }
        let now = BootClock.now();
        let Some(answer) = self.table.insert(id.clone(), now) else {
            // The same attempt was sent again after a lost answer.
            return self.open_stream(&id, 0);
        };
        let worker = run_call(
            Arc::clone(&self.upstream),
            request,
            frame.payload,
            self.table.clone(),
            answer.clone(),
        );
        answer.set_worker(tokio::spawn(worker).abort_handle());
        self.open_stream(&id, 0)
    }

    fn refusal(&self, request: &RunRequest) -> Option<RunEvent> {
        if self.leaving.load(Ordering::Acquire) {
            return Some(not_run(
                "upstream_leaving",
                "the upstream takes no new work",
            ));
        }
        let expected = request.incarnation.unwrap_or(self.incarnation);
        if expected != self.incarnation {
            return Some(not_run(
                "agent_restarted",
                "the agent of the upstream has restarted",
            ));
        }
        None
    }

    fn resume(&self, request: &ResumeRequest) -> Response<AnswerBody> {
        let id = AttemptId {
            request_id: request.request_id.clone(),
            attempt: request.attempt,
        };
        self.open_stream(&id, request.offset)
    }

    fn open_stream(&self, id: &AttemptId, offset: u64) -> Response<AnswerBody> {
        let Some(answer) = self.table.get(id) else {
            return single_frame(
                id,
                may_have_run("answer_unknown", "the agent does not know the answer"),
            );
        };
        let (sender, body) = AnswerBody::stream();
        answer.attach();
        tokio::spawn(send_answer(
            id.clone(),
            answer,
            self.table.clone(),
            offset,
            sender,
        ));
        Response::new(body)
    }

    fn acknowledge(&self, request: &AckRequest) -> Response<AnswerBody> {
        let id = AttemptId {
            request_id: request.request_id.clone(),
            attempt: request.attempt,
        };
        if request.complete {
            self.table.remove(&id);
        } else if let Some(answer) = self.table.get(&id) {
            answer.acknowledge(request.offset);
        }
        empty_answer(StatusCode::OK)
    }

    fn cancel(&self, request: &CancelRequest) -> Response<AnswerBody> {
        let id = AttemptId {
            request_id: request.request_id.clone(),
            attempt: request.attempt,
        };
        if let Some(answer) = self.table.remove(&id) {
            answer.cancel();
        }
        empty_answer(StatusCode::OK)
    }
}

impl<U: UpstreamClient> HttpHandler for RunServer<U> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        if let Some(refusal) = self.guard.refusal(request.headers()) {
            return refusal;
        }
        let (head, body) = request.into_parts();
        let Some(bytes) = read_body(body, MAX_REQUEST_BYTES).await else {
            return empty_answer(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match head.uri.path() {
            "/v1/run" => self.run(&bytes),
            "/v1/resume" => with_message(&bytes, |request| self.resume(&request)),
            "/v1/ack" => with_message(&bytes, |request| self.acknowledge(&request)),
            "/v1/cancel" => with_message(&bytes, |request| self.cancel(&request)),
            _ => empty_answer(StatusCode::NOT_FOUND),
        }
    }
}

fn with_message<M: DeserializeOwned>(
    bytes: &[u8],
    respond: impl FnOnce(M) -> Response<AnswerBody>,
) -> Response<AnswerBody> {
    match codec::decode(bytes) {
        Ok(message) => respond(message),
        Err(error) => text_answer(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

fn load(table: &AnswerTable) -> UpstreamLoad {
    UpstreamLoad {
        decode_tokens: 0,
        prefill_tokens: 0,
        queued: 0,
        running: table.running(),
        tokens_in_flight: 0,
    }
}

fn failed(verdict: RunVerdict, code: &str, message: &str) -> RunEvent {
    RunEvent::Failed {
        code: code.to_owned(),
        message: message.to_owned(),
        output_tokens: 0,
        retry_after_ms: None,
        verdict,
    }
}

fn not_run(code: &str, message: &str) -> RunEvent {
    failed(RunVerdict::NotRun, code, message)
}

fn may_have_run(code: &str, message: &str) -> RunEvent {
    failed(RunVerdict::MayHaveRun, code, message)
}

fn frame(id: &AttemptId, event: RunEvent, payload: &[u8]) -> Bytes {
    let frame = RunFrame {
        attempt: id.attempt,
        event,
        request_id: id.request_id.clone(),
    };
    encode_frame(&frame, payload)
}

fn single_frame(id: &AttemptId, event: RunEvent) -> Response<AnswerBody> {
    Response::new(AnswerBody::full(frame(id, event, &[])))
}

/// Runs one call on the upstream and stores its answer.
async fn run_call<U: UpstreamClient>(
    upstream: Arc<U>,
    request: RunRequest,
    body: Bytes,
    table: Arc<AnswerTable>,
    answer: Arc<RunningAnswer>,
) {
    let mut meter = UsageMeter::new(request.stream, request.prompt_tokens);
    let result = copy_answer(&*upstream, request, body, &answer, &mut meter).await;
    let last = match result {
        Ok(()) => RunEvent::End {
            length: answer.length(),
            load: load(&table),
            usage: meter.usage(),
        },
        Err(error) => RunEvent::Failed {
            code: "upstream_failed".to_owned(),
            message: error.to_string(),
            output_tokens: meter.usage().output_tokens,
            retry_after_ms: None,
            verdict: error.verdict(),
        },
    };
    answer.finish(last, BootClock.now());
}

async fn copy_answer<U: UpstreamClient>(
    upstream: &U,
    request: RunRequest,
    body: Bytes,
    answer: &RunningAnswer,
    meter: &mut UsageMeter,
) -> Result<(), CallError> {
    let call = UpstreamCall {
        method: request.method,
        target: request.target,
        headers: request.headers,
        class: request.class,
        resume_tokens: request.resume_tokens,
        bound: Duration::from_millis(request.deadline_ms),
    };
    let mut source = upstream.call(&call, body).await?;
    let head = AnswerHead {
        status: source.status(),
        headers: source.headers(),
    };
    let succeeded = head.status == StatusCode::OK.as_u16();
    answer.set_head(head);
    while let Some(bytes) = source.next().await? {
        meter.push(&bytes);
        answer.append(bytes).await;
    }
    meter.finish();
    if succeeded && !meter.may_end() {
        return Err(CallError::Broken);
    }
    Ok(())
}

/// Sends an answer to one connected entry.
async fn send_answer(
    id: AttemptId,
    answer: Arc<RunningAnswer>,
    table: Arc<AnswerTable>,
    offset: u64,
    sender: BodySender,
) {
    let accepted = RunEvent::Accepted { load: load(&table) };
    if sender.send(Ok(frame(&id, accepted, &[]))).await.is_ok() {
        send_items(&id, &answer, offset, &sender).await;
    }
    answer.detach(BootClock.now());
}

async fn send_items(id: &AttemptId, answer: &RunningAnswer, mut offset: u64, sender: &BodySender) {
    let mut changes = answer.changes();
    let mut head_sent = false;
    loop {
        changes.borrow_and_update();
        let mut last = false;
        let bytes = match answer.next_item(offset, head_sent) {
            NextItem::Head(AnswerHead { status, headers }) => {
                head_sent = true;
                frame(id, RunEvent::Head { headers, status }, &[])
            }
            NextItem::Chunk(at, payload) => {
                offset = at + payload.len() as u64;
                frame(id, RunEvent::Chunk { offset: at }, &payload)
            }
            NextItem::Final(event) => {
                last = true;
                frame(id, event, &[])
            }
            NextItem::Discarded => {
                last = true;
                frame(
                    id,
                    may_have_run("offset_discarded", "these bytes were acknowledged"),
                    &[],
                )
            }
            NextItem::Pending => {
                tokio::select! {
                    () = sender.closed() => return,
                    waited = timeout(HEARTBEAT_INTERVAL, changes.changed()) => {
                        if waited.is_ok() {
                            continue;
                        }
                    }
                }
                frame(id, RunEvent::Heartbeat, &[])
            }
        };
        if sender.send(Ok(bytes)).await.is_err() || last {
            return;
        }
    }
}
