//! A fake agent that answers entries with scripted frames.

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

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A request of an entry, for which the script supplies the answer.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentCall {
    /// A request to run a call.
    Run {
        /// Request.
        request: Box<RunRequest>,
        /// Request body of the caller.
        body: Bytes,
        /// Number of earlier run requests at this agent.
        number: usize,
    },
    /// A request to continue an interrupted answer.
    Resume {
        /// Request.
        request: ResumeRequest,
        /// Number of earlier resume requests at this agent.
        number: usize,
    },
}

/// One step of a scripted answer.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentStep {
    /// Sends a frame with the request id and attempt of the request.
    Frame(RunEvent, Bytes),
    /// Sends a frame with its own request id and attempt, which may differ from those of the
    /// request.
    ForeignFrame(RunFrame, Bytes),
    /// Sends nothing until the entry closes the connection; ends the answer.
    Silence,
    /// Sends heartbeats until the test calls [`FakeAgent::open_gate`].
    Gate,
    /// Breaks the connection; ends the answer.
    Break,
    /// Answers with this status and no frames. As a later step it acts like [`AgentStep::Break`].
    Status(StatusCode),
}

type AgentScript = dyn Fn(&AgentCall) -> Vec<AgentStep> + Send + Sync;

/// All requests that an agent has received, each kind in order.
#[derive(Debug, Clone, Default)]
pub struct AgentLog {
    /// Run requests with the request bodies of their callers.
    pub runs: Vec<(RunRequest, Bytes)>,
    /// Resume requests.
    pub resumes: Vec<ResumeRequest>,
    /// Acknowledgements of entries.
    pub acks: Vec<AckRequest>,
    /// Cancellations by entries.
    pub cancels: Vec<CancelRequest>,
}

/// An agent that answers as its script says. Clones share one log and one gate.
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
    /// Creates an agent. `script` returns the steps of the answer to a request.
    pub fn new(script: impl Fn(&AgentCall) -> Vec<AgentStep> + Send + Sync + 'static) -> Self {
        Self {
            script: Arc::new(script),
            log: Arc::new(watch::channel(AgentLog::default()).0),
            gate: Arc::new(watch::channel(false).0),
        }
    }

    /// Requests that the agent has received so far.
    pub fn log(&self) -> AgentLog {
        self.log.borrow().clone()
    }

    /// Waits until the log fulfils a condition and returns it.
    pub async fn wait_for(&self, condition: impl Fn(&AgentLog) -> bool) -> AgentLog {
        let mut receiver = self.log.subscribe();
        let log = receiver.wait_for(condition).await;
        log.expect("the agent keeps the sender").clone()
    }

    /// Lets all present and later answers pass [`AgentStep::Gate`].
    pub fn open_gate(&self) {
        self.gate.send_replace(true);
    }

    fn run(&self, bytes: &Bytes) -> Response<AnswerBody> {
        let mut buffer = BytesMut::from(&bytes[..]);
        let Ok(Some(frame)) = decode_frame::<RunRequest>(&mut buffer) else {
            return text_answer(
                StatusCode::BAD_REQUEST,
                "expected the body to be one RunRequest frame".to_owned(),
            );
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
        self.start_answer(&call, id.0, id.1)
    }

    fn resume(&self, request: ResumeRequest) -> Response<AnswerBody> {
        let (request_id, attempt) = (request.request_id.clone(), request.attempt);
        let number = self.log.borrow().resumes.len();
        let call = AgentCall::Resume {
            request: request.clone(),
            number,
        };
        self.log.send_modify(|log| log.resumes.push(request));
        self.start_answer(&call, request_id, attempt)
    }

    fn start_answer(
        &self,
        call: &AgentCall,
        request_id: RequestId,
        attempt: u32,
    ) -> Response<AnswerBody> {
        let steps = (self.script)(call);
        if let Some(AgentStep::Status(status)) = steps.first() {
            return empty_answer(*status);
        }
        let (sender, body) = AnswerBody::stream();
        let answer = ScriptedAnswer {
            request_id,
            attempt,
            gate: self.gate.subscribe(),
            sender,
        };
        tokio::spawn(answer.run(steps));
        Response::new(body)
    }
}

/// Sends the steps of one answer.
#[derive(Debug)]
struct ScriptedAnswer {
    request_id: RequestId,
    attempt: u32,
    gate: watch::Receiver<bool>,
    sender: BodySender,
}

impl ScriptedAnswer {
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
                    // An error means that the entry has already disconnected.
                    let _ = self.sender.send(Err(BodyAborted)).await;
                    return;
                }
            };
            if self.sender.send(Ok(bytes)).await.is_err() {
                return;
            }
        }
    }

    /// Sends heartbeats until the gate opens; false if the entry disconnected before.
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

/// A frame that accepts a request.
pub fn accepted() -> AgentStep {
    AgentStep::Frame(RunEvent::Accepted { load: idle_load() }, Bytes::new())
}

/// A frame with the status and content type of an answer.
pub fn head(status: u16, content_type: &str) -> AgentStep {
    let headers = vec![HeaderField {
        name: "content-type".to_owned(),
        value: content_type.to_owned(),
    }];
    AgentStep::Frame(RunEvent::Head { headers, status }, Bytes::new())
}

/// A frame with bytes of the answer body, which start at `offset`.
pub fn chunk(offset: usize, text: &str) -> AgentStep {
    let offset = offset as u64;
    AgentStep::Frame(
        RunEvent::Chunk { offset },
        Bytes::copy_from_slice(text.as_bytes()),
    )
}

/// A frame that ends an answer whose body has `length` bytes. The usage is `output_tokens` and 7
/// prompt tokens.
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

/// A frame that reports a failed call, without a retry delay.
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

/// Steps of a complete answer with one chunk and 3 output tokens.
pub fn whole_answer(status: u16, content_type: &str, body: &str) -> Vec<AgentStep> {
    vec![
        accepted(),
        head(status, content_type),
        chunk(0, body),
        end(body.len(), 3),
    ]
}
