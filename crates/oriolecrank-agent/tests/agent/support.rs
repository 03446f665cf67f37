//! Test agent with a fake upstream and a fake control instance.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_agent::{AgentOptions, AgentProcess};
use oriolecrank_net::frame::{DataFrame, encode_frame};
use oriolecrank_net::intake::IntakeSettings;
use oriolecrank_net::logging::LogFormat;
use oriolecrank_net::shutdown::{ShutdownSignal, ShutdownTrigger, shutdown_channel};
use oriolecrank_net::{
    AnswerBody, ClusterSecret, FrameReader, HttpClient, HttpHandler, empty_answer, message_answer,
    peer_request, read_body, serve,
};
use oriolecrank_schema::codec;
use oriolecrank_schema::control::{
    Command, CommandOutcome, EngineOrder, FencingNumber, OrderAnswer, UpstreamRole,
};
use oriolecrank_schema::data_path::{RunEvent, RunFrame, RunRequest};
use oriolecrank_schema::document::PriorityClass;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

pub const SECRET: &str = "secret-of-the-tests";

/// Time limit of waits for an event; reached only when a test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Fake control instance that accepts and records every command.
#[derive(Debug, Clone, Default)]
pub struct RecordingControl {
    commands: Arc<Mutex<Vec<Command>>>,
    refusing: Arc<AtomicBool>,
    claim_completion_delay: Arc<Mutex<Duration>>,
}

impl RecordingControl {
    pub fn commands(&self) -> Vec<Command> {
        self.commands.lock().unwrap().clone()
    }

    /// Sets whether commands are answered as by a control instance that knows no leader.
    pub fn set_refusing(&self, refusing: bool) {
        self.refusing.store(refusing, Ordering::SeqCst);
    }

    /// Sets the time after which the completion of a claim is accepted.
    pub fn delay_claim_completions(&self, delay: Duration) {
        *self.claim_completion_delay.lock().unwrap() = delay;
    }

    pub fn announced_incarnation(&self) -> Option<u64> {
        self.commands()
            .iter()
            .rev()
            .find_map(|command| match command {
                Command::Announce { record, .. } => Some(record.incarnation),
                _ => None,
            })
    }
}

impl HttpHandler for RecordingControl {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let bytes = read_body(request.into_body(), 1024 * 1024).await.unwrap();
        let Ok(command) = codec::decode::<Command>(&bytes) else {
            return empty_answer(StatusCode::BAD_REQUEST);
        };
        if self.refusing.load(Ordering::SeqCst) {
            return message_answer(&CommandOutcome::NotLeader { leader: None });
        }
        if matches!(command, Command::CompleteClaim { .. }) {
            let delay = *self.claim_completion_delay.lock().unwrap();
            tokio::time::sleep(delay).await;
        }
        let outcome = match &command {
            Command::Announce { .. } => CommandOutcome::Announced {
                fence: FencingNumber {
                    sequence: 0,
                    term: 1,
                },
                lease_ms: 3_000,
            },
            _ => CommandOutcome::Accepted,
        };
        self.commands.lock().unwrap().push(command);
        message_answer(&outcome)
    }
}

/// A running agent process with its fakes.
pub struct TestAgent {
    pub address: SocketAddr,
    pub control: RecordingControl,
    pub incarnation: u64,
    pub client: HttpClient,
    trigger: ShutdownTrigger,
    process: JoinHandle<()>,
    /// Stops the fakes when it is dropped.
    _fakes: ShutdownTrigger,
}

pub async fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

impl TestAgent {
    pub async fn start<H: HttpHandler>(upstream: H) -> Self {
        let (listener, upstream_address) = bind_listener().await;
        let (fakes, fakes_shutdown) = shutdown_channel();
        tokio::spawn(serve(listener, Arc::new(upstream), fakes_shutdown.clone()));
        Self::start_beside(upstream_address, fakes, fakes_shutdown).await
    }

    /// Starts an agent beside an upstream that listens already.
    pub async fn start_beside_listener(upstream_address: SocketAddr) -> Self {
        let (fakes, fakes_shutdown) = shutdown_channel();
        Self::start_beside(upstream_address, fakes, fakes_shutdown).await
    }

    async fn start_beside(
        upstream_address: SocketAddr,
        fakes: ShutdownTrigger,
        fakes_shutdown: ShutdownSignal,
    ) -> Self {
        let control = RecordingControl::default();
        let (listener, control_address) = bind_listener().await;
        tokio::spawn(serve(listener, Arc::new(control.clone()), fakes_shutdown));

        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let options = AgentOptions {
            upstream: "upstream-1".to_owned(),
            region: "r".to_owned(),
            failure_domain: "d".to_owned(),
            listen: any_port,
            operator_listen: any_port,
            secret: ClusterSecret::new(SECRET).unwrap(),
            control: vec![control_address],
            service: "s".to_owned(),
            role: UpstreamRole::Mixed,
            model: None,
            version: None,
            upstream_address,
            capacity_blocks: 64,
            checks_fencing: false,
            shutdown_limit: TEST_TIMEOUT,
            intake: IntakeSettings::default(),
            log_format: LogFormat::Text,
        };
        let process = AgentProcess::bind(options).await.unwrap();
        let address = process.address();
        let (trigger, signal) = shutdown_channel();
        let process = tokio::spawn(async move { process.run(signal).await.unwrap() });
        let incarnation = eventually(|| control.announced_incarnation()).await;
        let client = HttpClient::default();
        Self {
            address,
            control,
            incarnation,
            client,
            trigger,
            process,
            _fakes: fakes,
        }
    }

    /// Starts a graceful shutdown and waits for its end. The fakes keep serving until then.
    pub async fn shut_down(self) {
        self.trigger.trigger();
        self.process.await.unwrap();
    }

    pub fn trigger_shutdown(&self) {
        self.trigger.trigger();
    }

    pub fn request(&self, id: &str) -> RunRequest {
        RunRequest {
            attempt: 1,
            claim: None,
            class: PriorityClass::Standard,
            deadline_ms: 10_000,
            fingerprint: format!("fingerprint-{id}"),
            headers: Vec::new(),
            incarnation: Some(self.incarnation),
            max_output_tokens: 16,
            method: "POST".to_owned(),
            organisation: "o".to_owned(),
            prompt_tokens: 4,
            request_id: id.to_owned().into(),
            resume_tokens: 0,
            service: "s".to_owned().into(),
            stream: true,
            target: "/v1/chat/completions".to_owned(),
        }
    }

    pub async fn run(&self, request: &RunRequest, body: &[u8]) -> FrameReader {
        self.send("/v1/run", encode_frame(request, body)).await
    }

    /// Runs a streamed completion to its end.
    pub async fn complete(&self, id: &str, prompt: &str, tokens: u64) -> ReceivedAnswer {
        let mut reader = self
            .run(&self.request(id), &completion_body(prompt, tokens))
            .await;
        read_answer(&mut reader, 0).await
    }

    pub async fn send(&self, path: &str, body: Bytes) -> FrameReader {
        let secret = ClusterSecret::new(SECRET).unwrap();
        let request = peer_request(&secret, path, body);
        FrameReader::new(
            self.client
                .send(self.address, request, TEST_TIMEOUT)
                .await
                .unwrap(),
        )
    }

    pub async fn order(&self, order: &EngineOrder) -> OrderAnswer {
        let secret = ClusterSecret::new(SECRET).unwrap();
        let request = peer_request(&secret, "/v1/order", codec::encode(order).into());
        let response = self
            .client
            .send(self.address, request, TEST_TIMEOUT)
            .await
            .unwrap();
        codec::decode(&response.collect(64 * 1024, TEST_TIMEOUT).await.unwrap()).unwrap()
    }
}

/// Body of a streamed completion.
pub fn completion_body(prompt: &str, tokens: u64) -> Vec<u8> {
    let body =
        serde_json::json!({ "model": "m", "prompt": prompt, "stream": true, "max_tokens": tokens });
    body.to_string().into_bytes()
}

/// Body and last event of an answer stream.
#[derive(Debug)]
pub struct ReceivedAnswer {
    pub body: Vec<u8>,
    pub last: RunEvent,
}

pub async fn next_frame(reader: &mut FrameReader) -> Option<DataFrame<RunFrame>> {
    reader.next(TEST_TIMEOUT).await.unwrap()
}

/// Reads an answer stream to its end; its chunks must be contiguous from `first_offset` on.
pub async fn read_answer(reader: &mut FrameReader, first_offset: u64) -> ReceivedAnswer {
    let mut body = BytesMut::new();
    let mut last = None;
    while let Some(frame) = next_frame(reader).await {
        if let RunEvent::Chunk { offset } = frame.header.event {
            assert_eq!(offset, first_offset + body.len() as u64);
            body.extend_from_slice(&frame.payload);
        }
        last = Some(frame.header.event);
    }
    ReceivedAnswer {
        body: body.to_vec(),
        last: last.expect("an answer stream has at least one frame"),
    }
}

pub fn failure_code(event: &RunEvent) -> Option<&str> {
    match event {
        RunEvent::Failed { code, .. } => Some(code),
        _ => None,
    }
}

/// Polls until `check` returns a value.
pub async fn eventually<T>(check: impl Fn() -> Option<T>) -> T {
    let poll = async {
        loop {
            if let Some(value) = check() {
                return value;
            }
            tokio::task::yield_now().await;
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, poll)
        .await
        .expect("the expected event did not occur within the time limit")
}
