//! A fake control instance whose state and faults a test sets.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::frame::encode_frame;
use oriolecrank_net::{
    AnswerBody, BodySender, HttpHandler, empty_answer, message_answer, read_body,
};
use oriolecrank_schema::codec;
use oriolecrank_schema::control::{
    Command, CommandOutcome, LimitShare, PingAnswer, PingRequest, SubscriptionFrame, SuspectRecord,
    UpstreamRecord, UsageRecord,
};
use oriolecrank_schema::document::ConfigDocument;
use tokio::sync::{broadcast, watch};
use tokio::time::{Duration, timeout};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Number of frames by which a subscriber may fall behind before its subscription ends.
const FRAME_BACKLOG: usize = 1_024;

/// Interval of heartbeats on an idle subscription.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// State and answers of a [`FakeControl`].
#[derive(Debug, Clone)]
pub struct ControlScript {
    /// Document in the snapshots that subscribers receive.
    pub document: ConfigDocument,
    /// Revision of the snapshots.
    pub revision: u64,
    /// Upstreams in the snapshots.
    pub upstreams: Vec<UpstreamRecord>,
    /// Requests in the snapshots that are suspected of crashing engines.
    pub suspects: Vec<SuspectRecord>,
    /// Committed revision in the answers to pings; may be higher than `revision`.
    pub committed: u64,
    /// Whether pings are answered; otherwise they fail with status 503.
    pub answers_pings: bool,
    /// Limit shares in the answers to pings.
    pub shares: Vec<LimitShare>,
    /// Lifetime of the shares, in milliseconds.
    pub shares_lifetime_ms: u64,
    /// Number of entries in the answers to pings.
    pub entries: u32,
    /// Whether commands are answered; otherwise they are logged but never get an answer.
    pub answers_commands: bool,
}

/// All requests that a control instance has received, each kind in order.
#[derive(Debug, Clone, Default)]
pub struct ControlLog {
    /// Pings of subscribers, answered or not.
    pub pings: Vec<PingRequest>,
    /// Commands, answered or not.
    pub commands: Vec<Command>,
    /// Number of subscriptions.
    pub subscriptions: usize,
}

impl ControlLog {
    /// Usage records of all [`Command::ReportUsage`], in order.
    pub fn usage(&self) -> Vec<UsageRecord> {
        let reports = self.commands.iter().filter_map(|command| match command {
            Command::ReportUsage { records, .. } => Some(records.clone()),
            _ => None,
        });
        reports.flatten().collect()
    }
}

type CommandScript = dyn Fn(&Command) -> CommandOutcome + Send + Sync;

/// A control instance that answers as its script says. Clones share one state and one log.
#[derive(Clone)]
pub struct FakeControl {
    script: Arc<Mutex<ControlScript>>,
    commands: Arc<CommandScript>,
    log: Arc<watch::Sender<ControlLog>>,
    frames: broadcast::Sender<Bytes>,
}

impl fmt::Debug for FakeControl {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("FakeControl")
            .finish_non_exhaustive()
    }
}

impl FakeControl {
    /// Creates an instance. `commands` returns the outcome of a command.
    pub fn new(
        script: ControlScript,
        commands: impl Fn(&Command) -> CommandOutcome + Send + Sync + 'static,
    ) -> Self {
        Self {
            script: Arc::new(Mutex::new(script)),
            commands: Arc::new(commands),
            log: Arc::new(watch::channel(ControlLog::default()).0),
            frames: broadcast::channel(FRAME_BACKLOG).0,
        }
    }

    /// Changes the script. Subscribers see a changed snapshot only after
    /// [`Self::publish_snapshot`].
    pub fn change(&self, change: impl FnOnce(&mut ControlScript)) {
        change(&mut self.script());
    }

    /// Sends a frame to all subscribers.
    pub fn publish(&self, frame: &SubscriptionFrame) {
        // An error means that there is no subscriber.
        let _ = self.frames.send(encode_frame(frame, &[]));
    }

    /// Sends a snapshot of the current script to all subscribers.
    pub fn publish_snapshot(&self) {
        let snapshot = self.snapshot();
        self.publish(&snapshot);
    }

    /// Requests that the instance has received so far.
    pub fn log(&self) -> ControlLog {
        self.log.borrow().clone()
    }

    /// Waits until the log fulfils a condition and returns it.
    pub async fn wait_for(&self, condition: impl Fn(&ControlLog) -> bool) -> ControlLog {
        let mut receiver = self.log.subscribe();
        let log = receiver.wait_for(condition).await;
        log.expect("the instance keeps the sender").clone()
    }

    fn script(&self) -> MutexGuard<'_, ControlScript> {
        self.script
            .lock()
            .expect("no holder of the script lock panics")
    }

    fn snapshot(&self) -> SubscriptionFrame {
        let script = self.script();
        SubscriptionFrame::Snapshot {
            document: script.document.clone(),
            revision: script.revision,
            suspects: script.suspects.clone(),
            upstreams: script.upstreams.clone(),
        }
    }

    fn subscribe(&self) -> Response<AnswerBody> {
        let frames = self.frames.subscribe();
        let first = encode_frame(&self.snapshot(), &[]);
        let (sender, body) = AnswerBody::stream();
        tokio::spawn(forward(first, frames, sender));
        self.log.send_modify(|log| log.subscriptions += 1);
        Response::new(body)
    }

    fn ping(&self, request: PingRequest) -> Response<AnswerBody> {
        let script = self.script().clone();
        let ping = request.ping;
        self.log.send_modify(|log| log.pings.push(request));
        if !script.answers_pings {
            return empty_answer(StatusCode::SERVICE_UNAVAILABLE);
        }
        message_answer(&PingAnswer {
            entries: script.entries,
            ping,
            revision: script.committed,
            shares: script.shares,
            shares_lifetime_ms: script.shares_lifetime_ms,
        })
    }

    async fn command(&self, command: Command) -> Response<AnswerBody> {
        let outcome = (self.commands)(&command);
        self.log.send_modify(|log| log.commands.push(command));
        if !self.script().answers_commands {
            std::future::pending::<()>().await;
        }
        message_answer(&outcome)
    }
}

/// Sends frames to one subscriber, with heartbeats in between, until it disconnects or falls too
/// far behind.
async fn forward(first: Bytes, mut frames: broadcast::Receiver<Bytes>, sender: BodySender) {
    let heartbeat = encode_frame(&SubscriptionFrame::Heartbeat, &[]);
    let mut next = first;
    while sender.send(Ok(next)).await.is_ok() {
        next = match timeout(HEARTBEAT_INTERVAL, frames.recv()).await {
            Ok(Ok(frame)) => frame,
            Ok(Err(_)) => return,
            Err(_) => heartbeat.clone(),
        };
    }
}

impl HttpHandler for FakeControl {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        let Some(bytes) = read_body(body, MAX_BODY_BYTES).await else {
            return empty_answer(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match head.uri.path() {
            "/v1/subscribe" => self.subscribe(),
            "/v1/ping" => match codec::decode(&bytes) {
                Ok(request) => self.ping(request),
                Err(_) => empty_answer(StatusCode::BAD_REQUEST),
            },
            "/v1/command" => match codec::decode(&bytes) {
                Ok(command) => self.command(command).await,
                Err(_) => empty_answer(StatusCode::BAD_REQUEST),
            },
            _ => empty_answer(StatusCode::NOT_FOUND),
        }
    }
}
