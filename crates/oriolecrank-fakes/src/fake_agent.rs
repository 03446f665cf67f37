//! A fake agent whose answers are scripted frame by frame.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::frame::{decode_frame, encode_frame};
use oriolecrank_net::{
    AnswerBody, BodyAborted, BodySender, HttpHandler, empty_answer, read_body, text_answer,
};
use oriolecrank_schema::codec;
use oriolecrank_schema::data_path::{
    AckRequest, CancelRequest, HeaderField, ResumeRequest, RunEvent, RunFrame, RunRequest,
    RunVerdict, TokenUsage, UpstreamLoad,
};
use oriolecrank_schema::document::RequestId;
use tokio::sync::watch;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A request of an entry, as the script sees it.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentCall {
    /// A request to run.
    Run {
        /// Request.
        request: Box<RunRequest>,
        /// Body of the caller.
        body: Bytes,
        /// Number of the run at this agent, from 0.
        number: usize,
    },
    /// A request to continue an answer.
    Resume {
        /// Request.
        request: ResumeRequest,
        /// Number of the resumption at this agent, from 0.
        number: usize,
    },
}

/// One step of a scripted answer.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentStep {
    /// Sends a frame with the ids of the request.
    Frame(RunEvent, Bytes),
    /// Sends a frame with other ids.
    ForeignFrame(RunFrame, Bytes),
    /// Waits until the entry closes the connection.
    Silence,
    /// Waits until the test opens the gate of the agent.
    Gate,
    /// Breaks the connection.
    Break,
    /// Answers with this status instead of frames; only as the first step.
    Status(StatusCode),
}

type AgentScript = dyn Fn(&AgentCall) -> Vec<AgentStep> + Send + Sync;

/// Everything that an agent was sent.
#[derive(Debug, Clone, Default)]
pub struct AgentLog {
    /// Requests to run and their bodies.
    pub runs: Vec<(RunRequest, Bytes)>,
    /// Requests to continue.
    pub resumes: Vec<ResumeRequest>,
    /// Acknowledgements.
    pub acks: Vec<AckRequest>,
    /// Cancellations.
    pub cancels: Vec<CancelRequest>,
}

/// A scripted agent.
#[derive(Clone)]
pub struct FakeAgent {
    script: Arc<AgentScript>,
    log: Arc<watch::Sender<AgentLog>>,
    gate: Arc<watch::Sender<bool>>,
}

impl fmt::Debug for FakeAgent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("FakeAgent").finish_non_exhaustive()
    }
}

impl FakeAgent {
    /// An agent that answers by `script`.
    pub fn new(script: impl Fn(&AgentCall) -> Vec<AgentStep> + Send + Sync + 'static) -> Self {
        Self {
            script: Arc::new(script),
            log: Arc::new(watch::channel(AgentLog::default()).0),
            gate: Arc::new(watch::channel(false).0),
        }
    }

    /// What the agent was sent so far.
    pub fn log(&self) -> AgentLog {
        self.log.borrow().clone()
    }

    /// Waits until what the agent was sent fulfils a condition.
    pub async fn wait_for(&self, condition: impl Fn(&AgentLog) -> bool) -> AgentLog {
        let mut receiver = self.log.subscribe();
        let log = receiver.wait_for(condition).await;
        log.expect("the agent keeps the sender").clone()
    }

    /// Lets all answers pass their [`AgentStep::Gate`].
    pub fn open_gate(&self) {
        self.gate.send_replace(true);
    }

    fn run(&self, bytes: &Bytes) -> Response<AnswerBody> {
        let mut buffer = BytesMut::from(&bytes[..]);
        let Ok(Some(frame)) = decode_frame::<RunRequest>(&mut buffer) else {
            return text_answer(StatusCode::BAD_REQUEST, "not a run request".to_owned());
        };
        let (request, body) = (frame.header, frame.payload);
        let id = (request.request_id.clone(), request.attempt);
        let number = self.log.borrow().runs.len();
        let call = AgentCall::Run {
            request: Box::new(request.clone()),
            body: body.clone(),
            number,
        };
        self.log.send_modify(|log| log.runs.push((request, body)));
        self.play(&call, id.0, id.1)
    }

    fn resume(&self, request: ResumeRequest) -> Response<AnswerBody> {
        let (request_id, attempt) = (request.request_id.clone(), request.attempt);
        let number = self.log.borrow().resumes.len();
        let call = AgentCall::Resume {
            request: request.clone(),
            number,
        };
        self.log.send_modify(|log| log.resumes.push(request));
        self.play(&call, request_id, attempt)
    }

    fn play(&self, call: &AgentCall, request_id: RequestId, attempt: u32) -> Response<AnswerBody> {
        let steps = (self.script)(call);
        if let Some(AgentStep::Status(status)) = steps.first() {
            return empty_answer(*status);
        }
        let (sender, body) = AnswerBody::stream();
        let playback = Playback {
            request_id,
            attempt,
            gate: self.gate.subscribe(),
            sender,
        };
        tokio::spawn(playback.run(steps));
        Response::new(body)
    }
}

#[derive(Debug)]
struct Playback {
    request_id: RequestId,
    attempt: u32,
    gate: watch::Receiver<bool>,
    sender: BodySender,
}

impl Playback {
    async fn run(mut self, steps: Vec<AgentStep>) {
        for step in steps {
            let bytes = match step {
                AgentStep::Frame(event, payload) => {
                    let frame = RunFrame {
                        attempt: self.attempt,
                        event,
                        request_id: self.request_id.clone(),
                    };
                    encode_frame(&frame, &payload)
                }
                AgentStep::ForeignFrame(frame, payload) => encode_frame(&frame, &payload),
                AgentStep::Silence => {
                    self.sender.closed().await;
                    return;
                }
                AgentStep::Gate => {
                    if !self.pass_gate().await {
                        return;
                    }
                    continue;
                }
                AgentStep::Break | AgentStep::Status(_) => {
                    // An error means that the entry has gone away.
                    let _ = self.sender.send(Err(BodyAborted)).await;
                    return;
                }
            };
            if self.sender.send(Ok(bytes)).await.is_err() {
                return;
            }
        }
    }

    /// Sends heartbeats until the gate opens; false if the entry has gone away.
    async fn pass_gate(&mut self) -> bool {
        let heartbeat = RunFrame {
            attempt: self.attempt,
            event: RunEvent::Heartbeat,
            request_id: self.request_id.clone(),
        };
        loop {
            tokio::select! {
                opened = self.gate.wait_for(|open| *open) => return opened.is_ok(),
                () = self.sender.closed() => return false,
                () = tokio::time::sleep(std::time::Duration::from_millis(250)) => {}
            }
            let bytes = encode_frame(&heartbeat, &[]);
            if self.sender.send(Ok(bytes)).await.is_err() {
                return false;
            }
        }
    }
}

impl HttpHandler for FakeAgent {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        let Some(bytes) = read_body(body, MAX_BODY_BYTES).await else {
            return empty_answer(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match head.uri.path() {
            "/v1/run" => self.run(&bytes),
            "/v1/resume" => match codec::decode(&bytes) {
                Ok(request) => self.resume(request),
                Err(error) => text_answer(StatusCode::BAD_REQUEST, error.to_string()),
            },
            "/v1/ack" => {
                if let Ok(request) = codec::decode(&bytes) {
                    self.log.send_modify(|log| log.acks.push(request));
                }
                empty_answer(StatusCode::OK)
            }
            "/v1/cancel" => {
                if let Ok(request) = codec::decode(&bytes) {
                    self.log.send_modify(|log| log.cancels.push(request));
                }
                empty_answer(StatusCode::OK)
            }
            _ => empty_answer(StatusCode::NOT_FOUND),
        }
    }
}

/// Load of an idle upstream.
pub fn idle_load() -> UpstreamLoad {
    UpstreamLoad {
        decode_tokens: 0,
        prefill_tokens: 0,
        queued: 0,
        running: 0,
        tokens_in_flight: 0,
    }
}

/// The frame that takes a request.
pub fn accepted() -> AgentStep {
    AgentStep::Frame(RunEvent::Accepted { load: idle_load() }, Bytes::new())
}

/// The head of an answer.
pub fn head(status: u16, content_type: &str) -> AgentStep {
    let headers = vec![HeaderField {
        name: "content-type".to_owned(),
        value: content_type.to_owned(),
    }];
    AgentStep::Frame(RunEvent::Head { headers, status }, Bytes::new())
}

/// Bytes of an answer at an offset.
pub fn chunk(offset: usize, text: &str) -> AgentStep {
    let offset = offset as u64;
    AgentStep::Frame(
        RunEvent::Chunk { offset },
        Bytes::copy_from_slice(text.as_bytes()),
    )
}

/// The end of an answer of `length` bytes with the given output tokens.
pub fn end(length: usize, output_tokens: u64) -> AgentStep {
    let usage = TokenUsage {
        output_tokens,
        prompt_tokens: 7,
    };
    let event = RunEvent::End {
        length: length as u64,
        load: idle_load(),
        usage,
    };
    AgentStep::Frame(event, Bytes::new())
}

/// A failure.
pub fn failed(verdict: RunVerdict, code: &str) -> AgentStep {
    let event = RunEvent::Failed {
        code: code.to_owned(),
        message: "scripted failure".to_owned(),
        output_tokens: 0,
        retry_after_ms: None,
        verdict,
    };
    AgentStep::Frame(event, Bytes::new())
}

/// A whole answer.
pub fn whole_answer(status: u16, content_type: &str, body: &str) -> Vec<AgentStep> {
    vec![
        accepted(),
        head(status, content_type),
        chunk(0, body),
        end(body.len(), 3),
    ]
}
