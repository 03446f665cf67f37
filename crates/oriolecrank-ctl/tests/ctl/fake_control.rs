//! A fake control instance that runs the real state machine and injects faults.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_ctl::{CtlEnvironment, CtlOutput, run};
use oriolecrank_net::shutdown::{ShutdownTrigger, shutdown_channel};
use oriolecrank_net::{
    AnswerBody, BodyAborted, ClusterSecret, HttpHandler, PeerGuard, empty_answer, message_answer,
    read_body, serve,
};
use oriolecrank_schema::codec;
use oriolecrank_schema::control::{
    Command, CommandOutcome, ControlMember, JoiningInstance, LoggedCommand, MembersOutcome,
    MembersRequest, Query, QueryResult,
};
use oriolecrank_schema::document::ConfigDocument;
use oriolecrank_state::document::{DocumentFormat, parse_document};
use oriolecrank_state::{ClusterState, LogIndex};
use tempfile::TempDir;
use tokio::net::TcpListener;

const SECRET: &str = "a-secret-for-tests-only";

/// A valid document with the organisations `grove` and `press`.
pub const DOCUMENT: &str = r#"
usage_window_s = 60

[[regions]]
name = "piedmont"
failure_domains = ["piedmont-1"]

[[organisations]]
name = "grove"

[[organisations]]
name = "press"

[[services]]
name = "desk"
kind = "plain"
"#;

/// Fault that is injected into the next command.
#[derive(Debug, Clone)]
pub enum CommandFault {
    /// The command is committed, but its answer breaks off.
    LoseAnswer,
    /// The command is not committed, because this instance is not the leader; with the address of
    /// the leader if it is known.
    NotLeader(Option<String>),
    /// The command is not committed, and the answer is that there is no quorum.
    Unavailable,
    /// Another command is committed just before this one.
    CommitOtherFirst(Box<Command>),
}

/// State, faults and answers of a [`FakeControl`].
#[derive(Debug, Default)]
pub struct ControlScript {
    pub state: ClusterState,
    pub faults: VecDeque<CommandFault>,
    /// Names of lagging subscribers in the next answers about a revision; the last list is
    /// repeated.
    pub lagging: VecDeque<Vec<String>>,
    /// Instances that wait to be added.
    pub joining: Vec<JoiningInstance>,
    /// Answers to the next changes of the membership; the last one is repeated.
    pub members_outcomes: VecDeque<MembersOutcome>,
    /// Changes of the membership that were requested.
    pub members_requests: Vec<MembersRequest>,
    /// Number of next queries that are answered with status 503, as without a leader.
    pub leaderless_queries: u64,
}

impl ControlScript {
    /// Applies a command to the state at the next log index.
    pub fn commit(&mut self, command: Command) -> CommandOutcome {
        let index = LogIndex(self.state.applied_index().0 + 1);
        let entry = LoggedCommand {
            time_ms: 1_000 * index.0,
            term: 3,
            command,
        };
        self.state.apply(index, entry)
    }

    fn answer_query(&mut self, query: &Query) -> QueryResult {
        match query {
            Query::Members => QueryResult::Members {
                joining: self.joining.clone(),
                version: 3,
                members: vec![ControlMember {
                    address: "10.0.0.2:7100".to_owned(),
                    failure_domain: "piedmont-1".to_owned(),
                    instance: "control-1".to_owned(),
                    leader: true,
                    live: true,
                    matched_index: 17,
                    voter: true,
                }],
            },
            Query::InForce { .. } => {
                let lagging = self.lagging.front().cloned().unwrap_or_default();
                if self.lagging.len() > 1 {
                    self.lagging.pop_front();
                }
                QueryResult::InForce {
                    lagging,
                    lowest_revision: 0,
                    subscribers: 4,
                }
            }
            other => self.state.query(other),
        }
    }
}

/// A control instance that listens on loopback until it is dropped.
#[derive(Debug)]
pub struct FakeControl {
    pub address: SocketAddr,
    script: Arc<Mutex<ControlScript>>,
    folder: TempDir,
    _trigger: ShutdownTrigger,
}

struct ControlHandler {
    script: Arc<Mutex<ControlScript>>,
    guard: PeerGuard,
}

impl HttpHandler for ControlHandler {
    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<AnswerBody> {
        if let Some(refusal) = self.guard.refusal(request.headers()) {
            return refusal;
        }
        let path = request.uri().path().to_owned();
        let body = read_body(request.into_body(), 1 << 24)
            .await
            .expect("the body arrives completely");
        if path == "/v1/query" {
            let query: Query = codec::decode(&body).expect("the body is a query");
            let mut script = lock(&self.script);
            if script.leaderless_queries > 0 {
                script.leaderless_queries -= 1;
                return empty_answer(StatusCode::SERVICE_UNAVAILABLE);
            }
            return message_answer(&script.answer_query(&query));
        }
        if path == "/v1/members" {
            let mut script = lock(&self.script);
            let request = codec::decode(&body).expect("the body is a membership change");
            script.members_requests.push(request);
            let outcome = script
                .members_outcomes
                .front()
                .cloned()
                .expect("the test has set an outcome");
            if script.members_outcomes.len() > 1 {
                script.members_outcomes.pop_front();
            }
            return message_answer(&outcome);
        }
        if path != "/v1/command" {
            return empty_answer(StatusCode::NOT_FOUND);
        }
        let command: Command = codec::decode(&body).expect("the body is a command");
        let fault = lock(&self.script).faults.pop_front();
        match fault {
            Some(CommandFault::NotLeader(leader)) => {
                return message_answer(&CommandOutcome::NotLeader { leader });
            }
            Some(CommandFault::Unavailable) => {
                return message_answer(&CommandOutcome::Unavailable);
            }
            Some(CommandFault::CommitOtherFirst(other)) => {
                lock(&self.script).commit(*other);
            }
            Some(CommandFault::LoseAnswer) => {
                lock(&self.script).commit(command);
                return aborted_answer().await;
            }
            None => {}
        }
        let outcome = lock(&self.script).commit(command);
        message_answer(&outcome)
    }
}

/// An answer whose body is aborted before its first byte.
async fn aborted_answer() -> Response<AnswerBody> {
    let (sender, body) = AnswerBody::stream();
    sender
        .send(Err(BodyAborted))
        .await
        .expect("the body has room");
    Response::new(body)
}

fn lock(script: &Mutex<ControlScript>) -> MutexGuard<'_, ControlScript> {
    script
        .lock()
        .expect("no test panics while it holds the lock")
}

impl FakeControl {
    /// Starts an instance in which no document was committed.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (trigger, signal) = shutdown_channel();
        let script = Arc::<Mutex<ControlScript>>::default();
        let handler = ControlHandler {
            script: Arc::clone(&script),
            guard: PeerGuard::new(ClusterSecret::new(SECRET).expect("the secret is valid")),
        };
        tokio::spawn(serve(listener, Arc::new(handler), signal));
        let folder = TempDir::new().expect("the folder can be created");
        std::fs::write(folder.path().join("secret"), SECRET).expect("the folder is writable");
        Self {
            address,
            script,
            folder,
            _trigger: trigger,
        }
    }

    /// Starts an instance with [`DOCUMENT`] in force as revision 1.
    pub async fn with_document() -> Self {
        let fake = Self::start().await;
        let command = submit("setup", 0, document(DOCUMENT));
        fake.script().commit(command);
        fake
    }

    pub fn script(&self) -> MutexGuard<'_, ControlScript> {
        lock(&self.script)
    }

    /// Writes a file in the folder of this instance and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).expect("the folder is writable");
        path.to_str().expect("the path is valid UTF-8").to_owned()
    }

    /// Environment with the address and the secret file of this instance.
    pub fn environment(&self) -> CtlEnvironment {
        CtlEnvironment {
            control: Some(self.address.to_string()),
            secret_file: Some(
                self.path("secret")
                    .to_str()
                    .expect("the path is valid UTF-8")
                    .to_owned(),
            ),
            operator: Some("alma".to_owned()),
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Runs the tool against this instance.
    pub async fn ctl(&self, arguments: &[&str]) -> CtlOutput {
        run(parser(arguments), &self.environment()).await
    }

    /// Runs the tool with `--json` and returns the object that it prints.
    pub async fn ctl_json(&self, arguments: &[&str]) -> serde_json::Value {
        let mut arguments = arguments.to_vec();
        arguments.push("--json");
        let output = self.ctl(&arguments).await;
        assert_eq!(output.stdout.lines().count(), 1, "one object on one line");
        serde_json::from_str(&output.stdout).expect("the output is valid JSON")
    }
}

pub fn parser(arguments: &[&str]) -> lexopt::Parser {
    lexopt::Parser::from_args(arguments)
}

pub fn document(text: &str) -> ConfigDocument {
    parse_document(text, DocumentFormat::Toml).expect("the document can be parsed")
}

pub fn submit(request_id: &str, base_revision: u64, document: ConfigDocument) -> Command {
    Command::Submit {
        base_revision,
        document,
        operator: "bruno".to_owned(),
        origin: "10.0.0.9".to_owned(),
        request_id: request_id.to_owned(),
    }
}
