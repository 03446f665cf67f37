//! Requests of other processes.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::{
    AnswerBody, HttpHandler, PeerGuard, empty_answer, message_answer, read_body, text_answer,
};
use oriolecrank_schema::codec;
use oriolecrank_schema::control::{
    Command, CommandOutcome, LoggedCommand, PingAnswer, PingRequest, SubscriptionFrame,
};
use oriolecrank_schema::event::LogEvent;
use serde::de::DeserializeOwned;

use crate::local_log::LocalLog;
use crate::local_state::LocalState;
use crate::subscription_hub::SubscriptionHub;

/// Largest request body, in bytes.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Log and state, changed together.
#[derive(Debug)]
pub struct CommandStore {
    /// Durable log.
    pub log: LocalLog,
    /// State that results from the log.
    pub state: LocalState,
}

/// Answers commands, subscriptions and pings.
#[derive(Debug)]
pub struct RequestServer {
    guard: PeerGuard,
    /// Lock order: the store is locked before the hub publishes, so that all subscribers see the
    /// changes in the order of the log.
    store: Mutex<CommandStore>,
    hub: SubscriptionHub,
}

impl RequestServer {
    /// A server over the given store.
    pub fn new(guard: PeerGuard, store: CommandStore) -> Self {
        Self {
            guard,
            store: Mutex::new(store),
            hub: SubscriptionHub::default(),
        }
    }

    fn command(&self, command: Command) -> CommandOutcome {
        let mut store = self
            .store
            .lock()
            .expect("no holder of the store lock panics");
        if let Command::Announce { record, .. } = &command
            && store.state.upstreams.get(&record.upstream) == Some(record)
        {
            return store.state.apply(&command);
        }
        let time_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64);
        let logged = LoggedCommand {
            command,
            term: 0,
            time_ms,
        };
        if let Err(error) = store.log.append(&logged) {
            tracing::error!(event = LogEvent::StorageFailed.number(), %error, "log write failed");
            return CommandOutcome::Unavailable;
        }
        let outcome = store.state.apply(&logged.command);
        self.publish(&store.state, &logged.command, &outcome);
        outcome
    }

    fn publish(&self, state: &LocalState, command: &Command, outcome: &CommandOutcome) {
        match (command, outcome) {
            (Command::Submit { .. }, CommandOutcome::DocumentAccepted { revision }) => {
                tracing::info!(
                    event = LogEvent::DocumentAccepted.number(),
                    revision,
                    "accepted"
                );
                self.hub.publish(&snapshot(state));
            }
            (Command::Announce { record, .. }, CommandOutcome::Announced { .. }) => {
                let updated = vec![record.clone()];
                self.hub.publish(&SubscriptionFrame::Upstreams {
                    removed: Vec::new(),
                    updated,
                });
            }
            _ => {}
        }
    }

    fn ping(&self, request: &PingRequest) -> PingAnswer {
        let store = self
            .store
            .lock()
            .expect("no holder of the store lock panics");
        PingAnswer {
            ping: request.ping,
            revision: store.state.revision,
            entries: 1,
            shares_lifetime_ms: 0,
            shares: Vec::new(),
        }
    }

    fn subscribe(&self) -> Response<AnswerBody> {
        let store = self
            .store
            .lock()
            .expect("no holder of the store lock panics");
        Response::new(self.hub.open(&snapshot(&store.state)))
    }
}

fn snapshot(state: &LocalState) -> SubscriptionFrame {
    SubscriptionFrame::Snapshot {
        document: state.document.clone(),
        revision: state.revision,
        suspects: Vec::new(),
        upstreams: state.upstreams.values().cloned().collect(),
    }
}

impl HttpHandler for RequestServer {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        if let Some(refusal) = self.guard.refusal(request.headers()) {
            return refusal;
        }
        if request.method() != Method::POST {
            return empty_answer(StatusCode::METHOD_NOT_ALLOWED);
        }
        let (head, body) = request.into_parts();
        let Some(bytes) = read_body(body, MAX_REQUEST_BYTES).await else {
            return empty_answer(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match head.uri.path() {
            "/v1/command" => answer(&bytes, |command| message_answer(&self.command(command))),
            "/v1/ping" => answer(&bytes, |ping| message_answer(&self.ping(&ping))),
            "/v1/subscribe" => self.subscribe(),
            _ => empty_answer(StatusCode::NOT_FOUND),
        }
    }
}

fn answer<M: DeserializeOwned>(
    bytes: &[u8],
    respond: impl FnOnce(M) -> Response<AnswerBody>,
) -> Response<AnswerBody> {
    match codec::decode(bytes) {
        Ok(message) => respond(message),
        Err(error) => text_answer(StatusCode::BAD_REQUEST, error.to_string()),
    }
}
