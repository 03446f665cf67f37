//! Test harness: an entry with a caller, fake agents and a fake control instance.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use oriolecrank_entry::{EntryOptions, EntryProcess};
use oriolecrank_fakes::{AgentCall, AgentStep, ControlScript, FakeAgent, FakeControl, FakeServer};
use oriolecrank_net::intake::IntakeSettings;
use oriolecrank_net::logging::LogFormat;
use oriolecrank_net::shutdown::{ShutdownTrigger, shutdown_channel};
use oriolecrank_net::{ClientResponse, ClusterSecret, HttpClient};
use oriolecrank_schema::control::{
    Command, CommandOutcome, UpstreamPhase, UpstreamRecord, UpstreamRole,
};
use oriolecrank_schema::digest::key_digest;
use oriolecrank_schema::document::{
    ConfigDocument, KeyConfig, LimitConfig, OrganisationConfig, PriorityClass, RegionConfig,
    RouteConfig, ServiceConfig, ServiceKind,
};
use oriolecrank_state::CheckedDocument;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Key of the organisation `grove`, which may call every service.
pub const GROVE_KEY: &str = "grove-key-4f1c";

/// Key of the organisation `press`, which may call the service `assistant` only.
pub const PRESS_KEY: &str = "press-key-77aa-0b9e4c1d2f3a4b5c6d7e";

/// Time limit for each wait of a test; reached only if the test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of a [`TestEntry`].
pub struct EntrySetup {
    /// Document of revision 1.
    pub document: ConfigDocument,
    /// Agents and the services of their upstreams. An upstream is named `<service>-<number>`, where
    /// `number` is the position in this list, starting at 1.
    pub agents: Vec<(FakeAgent, &'static str)>,
    /// Outcome of each command that the entry sends to control.
    pub commands: Box<dyn Fn(&Command) -> CommandOutcome + Send + Sync>,
    /// Changes the script of the control instance before the entry starts.
    pub control: Box<dyn FnOnce(&mut ControlScript)>,
    /// Freshness lease.
    pub lease: Duration,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for EntrySetup {
    fn default() -> Self {
        Self {
            document: document(),
            agents: Vec::new(),
            commands: Box::new(|_| CommandOutcome::Accepted),
            control: Box::new(|_| {}),
            lease: Duration::from_secs(3),
            max_body_bytes: 64 * 1024,
        }
    }
}

/// A running entry with its control instance and its agents.
pub struct TestEntry {
    pub address: SocketAddr,
    pub operator: SocketAddr,
    pub control: FakeControl,
    _control_server: FakeServer,
    pub agents: Vec<FakeAgent>,
    pub agent_servers: Vec<FakeServer>,
    pub client: HttpClient,
    trigger: ShutdownTrigger,
    pub task: JoinHandle<()>,
}

impl TestEntry {
    /// Starts an entry and waits until its state is in force and confirmed.
    pub async fn start(setup: EntrySetup) -> Self {
        if let Err(errors) = CheckedDocument::try_from(setup.document.clone()) {
            panic!("the document of the test is invalid: {errors:?}");
        }
        let mut agents = Vec::new();
        let mut agent_servers = Vec::new();
        let mut upstreams = Vec::new();
        for (number, (agent, service)) in setup.agents.into_iter().enumerate() {
            let server = FakeServer::start(agent.clone()).await.unwrap();
            let name = format!("{service}-{}", number + 1);
            upstreams.push(upstream(&name, service, server.address()));
            agents.push(agent);
            agent_servers.push(server);
        }
        let mut script = ControlScript {
            document: setup.document,
            revision: 1,
            upstreams,
            suspects: Vec::new(),
            committed: 1,
            answers_pings: true,
            shares: Vec::new(),
            shares_lifetime_ms: 5_000,
            entries: 1,
            answers_commands: true,
        };
        (setup.control)(&mut script);
        let control = FakeControl::new(script, setup.commands);
        let control_server = FakeServer::start(control.clone()).await.unwrap();
        let options = EntryOptions {
            name: "entry-1".to_owned(),
            region: "piedmont".to_owned(),
            failure_domain: "piedmont-1".to_owned(),
            caller_listen: loopback(),
            operator_listen: loopback(),
            secret: secret(),
            control: vec![control_server.address()],
            freshness_lease: setup.lease,
            max_body_bytes: setup.max_body_bytes,
            drain_notice: Duration::ZERO,
            shutdown_limit: Duration::from_secs(10),
            intake: IntakeSettings::default(),
            log_format: LogFormat::Text,
        };
        let process = EntryProcess::bind(options).await.unwrap();
        let (address, operator) = (process.address(), process.operator_address());
        let (trigger, signal) = shutdown_channel();
        let task = tokio::spawn(async move { process.run(signal).await.unwrap() });
        let entry = Self {
            address,
            operator,
            control,
            _control_server: control_server,
            agents,
            agent_servers,
            client: HttpClient::default(),
            trigger,
            task,
        };
        entry.wait_in_force(1).await;
        entry
    }

    /// Waits until a revision is in force and confirmed. The entry sends a ping only after the
    /// previous one was answered, so a second ping with the revision shows that the first one was.
    pub async fn wait_in_force(&self, revision: u64) {
        let count = |pings: &[oriolecrank_schema::control::PingRequest]| {
            let current = pings.iter().filter(|ping| ping.revision >= revision);
            current.count()
        };
        let waited = self.control.wait_for(|log| count(&log.pings) >= 2);
        timeout(TEST_TIMEOUT, waited)
            .await
            .expect("the revision is in force and confirmed");
    }

    /// Sends a GET request with the cluster secret to the operator listener.
    pub async fn get_from_operator(&self, path: &str) -> CallerReply {
        let request = Request::get(path)
            .header("host", "entry")
            .header("authorization", secret().header())
            .body(Full::new(Bytes::new()))
            .unwrap();
        let response = self.client.send(self.operator, request, TEST_TIMEOUT).await;
        collect(response.expect("the operator listener answers")).await
    }

    /// Waits until the metric `name`, which has no labels, has the given value.
    pub async fn wait_for_metric(&self, name: &str, value: f64) {
        let wait = async {
            loop {
                let text = self.get_from_operator("/metrics").await.body;
                let mut lines = text.lines().filter_map(|line| line.split_once(' '));
                if lines.any(|(found, shown)| found == name && shown.parse() == Ok(value)) {
                    return;
                }
                tokio::task::yield_now().await;
            }
        };
        timeout(TEST_TIMEOUT, wait)
            .await
            .expect("the metric reaches the expected value");
    }

    /// Starts the graceful shutdown of the entry.
    pub fn stop(&self) {
        self.trigger.trigger();
    }

    /// Sends a request and collects the answer.
    pub async fn send(&self, request: CallerRequest) -> CallerReply {
        let response = self.open(request).await;
        timeout(TEST_TIMEOUT, collect(response))
            .await
            .expect("the answer ends in time")
    }

    /// Sends a request and returns the open answer.
    pub async fn open(&self, request: CallerRequest) -> ClientResponse {
        let sent = self
            .client
            .send(self.address, request.build(self.address), TEST_TIMEOUT);
        sent.await.expect("the entry answers")
    }

    /// Sends a completion request with the key of `grove`.
    pub async fn complete(&self, stream: bool) -> CallerReply {
        self.send(completion(GROVE_KEY, stream)).await
    }
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    pub method: Method,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
}

impl CallerRequest {
    pub fn new(method: Method, target: &str) -> Self {
        Self {
            method,
            target: target.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    pub fn build(self, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut builder = Request::builder().method(self.method).uri(self.target);
        builder = builder.header("host", address.to_string());
        for (name, value) in self.headers {
            builder = builder.header(name, value);
        }
        builder.body(Full::new(self.body)).unwrap()
    }
}

/// Answer that a caller received.
#[derive(Debug, Clone)]
pub struct CallerReply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
    /// The connection was closed before the answer was complete.
    pub broken: bool,
}

impl CallerReply {
    /// A field of the error in a JSON body or in the last event; empty if there is none.
    pub fn error(&self, field: &str) -> String {
        let text = self.body.rsplit("data: ").next().unwrap_or_default();
        let json: Value = serde_json::from_str(text).unwrap_or_default();
        let value = &json["error"][field];
        value.as_str().unwrap_or_default().to_owned()
    }

    /// Status of the answer, and code and verdict of its error; both are empty without an error.
    pub fn refusal(&self) -> (u16, String, String) {
        (
            self.status.as_u16(),
            self.error("code"),
            self.error("verdict"),
        )
    }
}

/// Reads an answer until it ends or its connection breaks.
pub async fn collect(mut response: ClientResponse) -> CallerReply {
    let (status, headers) = (response.status(), response.headers().clone());
    let mut body = BytesMut::new();
    let mut broken = false;
    while let Some(frame) = response.body_mut().frame().await {
        match frame {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    body.extend_from_slice(&data);
                }
            }
            Err(_) => {
                broken = true;
                break;
            }
        }
    }
    if !broken {
        response.recycle();
    }
    CallerReply {
        status,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
        broken,
    }
}

/// A completion request to the service `assistant`.
pub fn completion(key: &str, stream: bool) -> CallerRequest {
    completion_of("olive-7b", key, stream)
}

/// A completion request for a model.
pub fn completion_of(model: &str, key: &str, stream: bool) -> CallerRequest {
    let body = json!({
        "model": model,
        "stream": stream,
        "max_tokens": 16,
        "messages": [{ "role": "user", "content": "is room 7 vacant?" }],
    });
    CallerRequest::new(Method::POST, "/v1/chat/completions")
        .key(key)
        .header("content-type", "application/json")
        .body(body.to_string())
}

/// A non-idempotent call that books a room at the service `desk`, with or without an idempotency
/// key.
pub fn booking(idempotency_key: Option<&str>) -> CallerRequest {
    let request = CallerRequest::new(Method::POST, "/services/desk/bookings").key(GROVE_KEY);
    let request = match idempotency_key {
        Some(key) => request.header("idempotency-key", key),
        None => request,
    };
    request.body("{\"room\":7}")
}

/// An agent that answers every request with `body`.
pub fn answering(content_type: &'static str, body: &'static str) -> FakeAgent {
    FakeAgent::new(move |_| oriolecrank_fakes::whole_answer(200, content_type, body))
}

/// An agent with one script for runs and one for resumptions. Each script is given the number of
/// the run or resumption, starting at 0.
pub fn scripted(
    run: impl Fn(usize) -> Vec<AgentStep> + Send + Sync + 'static,
    resume: impl Fn(usize) -> Vec<AgentStep> + Send + Sync + 'static,
) -> FakeAgent {
    FakeAgent::new(move |call| match call {
        AgentCall::Run { number, .. } => run(*number),
        AgentCall::Resume { number, .. } => resume(*number),
    })
}

pub fn secret() -> ClusterSecret {
    ClusterSecret::new("entry-test-secret-0001").unwrap()
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Record of a ready upstream with incarnation 11.
pub fn upstream(name: &str, service: &str, address: SocketAddr) -> UpstreamRecord {
    UpstreamRecord {
        address: address.to_string(),
        capacity_blocks: 64,
        checks_fencing: false,
        failure_domain: "piedmont-1".to_owned().into(),
        incarnation: 11,
        model: None,
        phase: UpstreamPhase::Ready,
        region: "piedmont".to_owned().into(),
        role: UpstreamRole::Mixed,
        service: service.to_owned().into(),
        upstream: name.to_owned().into(),
        version: None,
    }
}

/// Document with the organisations `grove` and `press`, the engine services `assistant` and
/// `draft`, and the plain service `desk`, which takes bookings of rooms.
pub fn document() -> ConfigDocument {
    let assistant = ServiceConfig {
        budget: None,
        class: PriorityClass::Standard,
        deadline_ms: 15_000,
        kind: ServiceKind::Engine,
        models: vec!["olive-7b".to_owned()],
        name: "assistant".to_owned().into(),
        routes: Vec::new(),
    };
    let draft = ServiceConfig {
        models: vec!["draft-1".to_owned()],
        name: "draft".to_owned().into(),
        ..assistant.clone()
    };
    let desk = ServiceConfig {
        kind: ServiceKind::Plain,
        models: Vec::new(),
        name: "desk".to_owned().into(),
        routes: vec![
            route("/bookings", "POST"),
            RouteConfig {
                coalesce: true,
                idempotent: true,
                ..route("/status", "GET")
            },
            RouteConfig {
                idempotent: true,
                ..route("/notes", "PUT")
            },
            RouteConfig {
                open: true,
                ..route("/public", "GET")
            },
        ],
        ..assistant.clone()
    };
    ConfigDocument {
        budget: None,
        organisations: vec![
            organisation("grove", GROVE_KEY, &[]),
            organisation("press", PRESS_KEY, &["assistant"]),
        ],
        regions: vec![RegionConfig {
            failure_domains: vec!["piedmont-1".to_owned().into()],
            name: "piedmont".to_owned().into(),
        }],
        services: vec![assistant, draft, desk],
        usage_window_s: 60,
    }
}

/// The same document, in which one organisation has a limit.
pub fn document_with_limit(organisation: &str, limit: &LimitConfig) -> ConfigDocument {
    let mut document = document();
    let organisations = document.organisations.iter_mut();
    for found in organisations.filter(|found| found.name.0 == organisation) {
        found.limits = vec![limit.clone()];
    }
    document
}

pub fn organisation(name: &str, key: &str, services: &[&str]) -> OrganisationConfig {
    let services = services.iter().map(|name| (*name).to_owned().into());
    OrganisationConfig {
        keys: vec![KeyConfig {
            digest: key_digest(key),
            name: "main".to_owned(),
        }],
        limits: Vec::new(),
        name: name.to_owned().into(),
        services: services.collect(),
        weight: 1,
    }
}

fn route(path: &str, method: &str) -> RouteConfig {
    RouteConfig {
        class: PriorityClass::Standard,
        coalesce: false,
        deadline_ms: None,
        idempotent: false,
        methods: vec![method.to_owned()],
        open: false,
        path: path.to_owned(),
    }
}
