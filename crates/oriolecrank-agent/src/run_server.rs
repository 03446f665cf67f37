//! HTTP interface for entries and the control group.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::frame::decode_whole_frame;
use oriolecrank_net::intake::{BodyError, BodyLimits, ByteBudget, read_body_within};
use oriolecrank_net::{
    AnswerBody, BootClock, HttpHandler, PeerGuard, empty_answer, message_answer, text_answer,
    with_close,
};
use oriolecrank_policy::AttemptId;
use oriolecrank_schema::codec;
use oriolecrank_schema::data_path::{
    AckRequest, CancelRequest, ResumeRequest, RunEvent, RunRequest,
};
use oriolecrank_schema::event::LogEvent;

use crate::agent_core::AgentCore;
use crate::answer_stream::{AnswerStream, encode_event};
use crate::failure_events::{may_have_run, not_run, paused};
use crate::order_runner::OrderRunner;
use crate::request_table::AdmissionResult;
use crate::running_answer::RunningAnswer;
use crate::upstream_client::UpstreamClient;

/// Largest accepted request body, in bytes.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Handles requests of entries and orders of the control group.
#[derive(Debug)]
pub struct RunServer<U> {
    guard: PeerGuard,
    core: Arc<AgentCore<U>>,
    runner: Arc<OrderRunner<U>>,
    /// Memory for the bodies of requests.
    budget: ByteBudget,
}

impl<U: UpstreamClient> RunServer<U> {
    /// Creates a server that passes requests to `core` and orders to `runner`. The bodies of all
    /// requests that the agent holds count in `budget`.
    pub const fn new(
        guard: PeerGuard,
        core: Arc<AgentCore<U>>,
        runner: Arc<OrderRunner<U>>,
        budget: ByteBudget,
    ) -> Self {
        Self {
            guard,
            core,
            runner,
            budget,
        }
    }

    fn run(&self, bytes: &Bytes) -> Response<AnswerBody> {
        let frame = match decode_whole_frame::<RunRequest>(bytes) {
            Ok(Some(frame)) => frame,
            Ok(None) => return bad_request("the request body ends in the middle of a frame"),
            Err(error) => return bad_request(&error.to_string()),
        };
        let request = frame.header;
        let id = AttemptId::from(&request);
        // A repeated attempt may already be running; it is found even while new requests are
        // refused.
        let existing = self.core.table().answer(&id);
        if let Some(answer) = existing {
            return self.open_stream(id, answer, 0);
        }
        if let Some(event) = self.refusal(&request) {
            return single_event(&id, event);
        }
        match self.core.admit(request, frame.payload) {
            AdmissionResult::Answer(answer) => self.open_stream(id, answer, 0),
            AdmissionResult::Refused { code, message } => {
                single_event(&id, not_run(code, &message))
            }
            AdmissionResult::Paused { code, time_left } => {
                single_event(&id, paused(code, time_left))
            }
            AdmissionResult::OutcomeUnknown => {
                let message =
                    "the agent no longer has the result of the claimed call, which may have run";
                single_event(&id, may_have_run("claim_forgotten", message))
            }
        }
    }

    /// Refuses a request that this incarnation of the agent must not run; `None` if it may run.
    fn refusal(&self, request: &RunRequest) -> Option<RunEvent> {
        if self.runner.is_superseded() {
            return Some(not_run(
                "agent_superseded",
                "this agent was replaced by a newer one for the same upstream",
            ));
        }
        let own_incarnation = self.core.incarnation();
        let claim_incarnation = request
            .claim
            .as_ref()
            .map_or(own_incarnation, |ticket| ticket.incarnation);
        if request.incarnation.unwrap_or(own_incarnation) != own_incarnation
            || claim_incarnation != own_incarnation
        {
            // An earlier incarnation may have run a claimed call. An unclaimed one has certainly
            // not run here.
            if request.claim.is_some() {
                return Some(may_have_run(
                    "agent_restarted",
                    "the agent that holds the claim has restarted; the call may have run",
                ));
            }
            return Some(not_run(
                "agent_restarted",
                "the agent has restarted since the entry chose this upstream",
            ));
        }
        None
    }

    fn resume(&self, request: &ResumeRequest) -> Response<AnswerBody> {
        let id = AttemptId::from(request);
        match self.core.table().answer(&id) {
            Some(answer) => self.open_stream(id, answer, request.offset),
            None => {
                let message = "the agent has no answer for this attempt";
                single_event(&id, may_have_run("answer_unknown", message))
            }
        }
    }

    fn open_stream(
        &self,
        id: AttemptId,
        answer: Arc<RunningAnswer>,
        offset: u64,
    ) -> Response<AnswerBody> {
        let (sender, body) = AnswerBody::stream();
        let core = Arc::clone(&self.core);
        tokio::spawn(AnswerStream::new(id, answer, offset, sender).run(move || core.load()));
        Response::new(body)
    }

    fn acknowledge(&self, request: &AckRequest) {
        let id = AttemptId::from(request);
        let mut table = self.core.table();
        if let Some(answer) = table.answer(&id) {
            answer.acknowledge(request.offset, request.complete);
        }
        if request.complete {
            table.remove_answer(&id);
        }
    }

    fn cancel(&self, request: &CancelRequest) {
        self.core
            .table()
            .cancel(&AttemptId::from(request), BootClock.now());
        self.core.start_waiting();
    }
}

impl<U: UpstreamClient> HttpHandler for RunServer<U> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let received_at = BootClock.now();
        if let Some(refusal) = self.guard.refusal(request.headers()) {
            return refusal;
        }
        if request.method() != Method::POST {
            return empty_answer(StatusCode::METHOD_NOT_ALLOWED);
        }
        let (head, body) = request.into_parts();
        let limits = BodyLimits::of_bytes(MAX_REQUEST_BYTES);
        let bytes = match read_body_within(body, limits, &self.budget).await {
            Ok(bytes) => bytes,
            Err(error) => return body_refusal(error),
        };
        match head.uri.path() {
            "/v1/run" => self.run(&bytes),
            "/v1/resume" => match codec::decode(&bytes) {
                Ok(message) => self.resume(&message),
                Err(error) => bad_request(&error.to_string()),
            },
            "/v1/ack" => match codec::decode(&bytes) {
                Ok(message) => {
                    self.acknowledge(&message);
                    empty_answer(StatusCode::OK)
                }
                Err(error) => bad_request(&error.to_string()),
            },
            "/v1/cancel" => match codec::decode(&bytes) {
                Ok(message) => {
                    self.cancel(&message);
                    empty_answer(StatusCode::OK)
                }
                Err(error) => bad_request(&error.to_string()),
            },
            "/v1/order" => match codec::decode(&bytes) {
                Ok(order) => message_answer(&self.runner.execute(&order, received_at).await),
                Err(error) => bad_request(&error.to_string()),
            },
            _ => empty_answer(StatusCode::NOT_FOUND),
        }
    }
}

/// Refuses a request whose body was not read; it has not run.
fn body_refusal(error: BodyError) -> Response<AnswerBody> {
    tracing::warn!(
        event = LogEvent::BodyNotRead.number(),
        %error,
        "the body of a message was not read"
    );
    let status = match error {
        BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Full { .. } => StatusCode::SERVICE_UNAVAILABLE,
        BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
        BodyError::Incomplete => StatusCode::BAD_REQUEST,
    };
    with_close(empty_answer(status))
}

fn bad_request(message: &str) -> Response<AnswerBody> {
    text_answer(StatusCode::BAD_REQUEST, message.to_owned())
}

fn single_event(id: &AttemptId, event: RunEvent) -> Response<AnswerBody> {
    Response::new(AnswerBody::full(encode_event(id, event, &[])))
}
