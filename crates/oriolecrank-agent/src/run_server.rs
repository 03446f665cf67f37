//! Requests of entries and orders of the control group.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::frame::decode_frame;
use oriolecrank_net::{
    AnswerBody, BootClock, HttpHandler, PeerGuard, empty_answer, message_answer, read_body,
    text_answer,
};
use oriolecrank_policy::AttemptId;
use oriolecrank_schema::codec;
use oriolecrank_schema::data_path::{
    AckRequest, CancelRequest, ResumeRequest, RunEvent, RunRequest,
};

use crate::agent_core::AgentCore;
use crate::answer_stream::{AnswerStream, frame};
use crate::failure_events::{may_have_run, not_run};
use crate::order_runner::OrderRunner;
use crate::running_answer::RunningAnswer;
use crate::upstream_client::UpstreamClient;
use crate::work_table::AdmittedCall;

/// Largest request, in bytes.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Answers the requests of entries and of the control group.
#[derive(Debug)]
pub struct RunServer<U> {
    guard: PeerGuard,
    core: Arc<AgentCore<U>>,
    runner: Arc<OrderRunner<U>>,
}

impl<U: UpstreamClient> RunServer<U> {
    /// A server over the given work and orders.
    pub const fn new(
        guard: PeerGuard,
        core: Arc<AgentCore<U>>,
        runner: Arc<OrderRunner<U>>,
    ) -> Self {
        Self {
            guard,
            core,
            runner,
        }
    }

    fn run(&self, bytes: &Bytes) -> Response<AnswerBody> {
        let mut buffer = BytesMut::from(&bytes[..]);
        let frame = match decode_frame::<RunRequest>(&mut buffer) {
            Ok(Some(frame)) => frame,
            Ok(None) => return bad_request("incomplete frame"),
            Err(error) => return bad_request(&error.to_string()),
        };
        let request = frame.header;
        let id = AttemptId::from(&request);
        // A repeated attempt may already run, also while new work is refused.
        let known = self.core.table().answer(&id);
        if let Some(answer) = known {
            return self.open_stream(id, answer, 0);
        }
        if let Some(event) = self.refusal(&request) {
            return single_frame(&id, event);
        }
        match self.core.admit(request, frame.payload) {
            AdmittedCall::Answer(answer) => self.open_stream(id, answer, 0),
            AdmittedCall::Refused { code, message } => single_frame(&id, not_run(code, &message)),
            AdmittedCall::Forgotten => {
                let message = "the agent no longer knows whether the call has run";
                single_frame(&id, may_have_run("claim_forgotten", message))
            }
        }
    }

    fn refusal(&self, request: &RunRequest) -> Option<RunEvent> {
        if self.runner.is_superseded() {
            return Some(not_run(
                "agent_superseded",
                "a newer agent for the upstream exists",
            ));
        }
        let own = self.core.incarnation();
        let ticket = request
            .claim
            .as_ref()
            .map_or(own, |ticket| ticket.incarnation);
        if request.incarnation.unwrap_or(own) != own || ticket != own {
            // An earlier incarnation may have run a claimed call; only an unclaimed one has
            // certainly not run here.
            if request.claim.is_some() {
                return Some(may_have_run(
                    "agent_restarted",
                    "the bound agent has restarted",
                ));
            }
            return Some(not_run(
                "agent_restarted",
                "the agent of the upstream has restarted",
            ));
        }
        None
    }

    fn resume(&self, request: &ResumeRequest) -> Response<AnswerBody> {
        let id = AttemptId::from(request);
        match self.core.table().answer(&id) {
            Some(answer) => self.open_stream(id, answer, request.offset),
            None => {
                let message = "the agent does not know the answer";
                single_frame(&id, may_have_run("answer_unknown", message))
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
            table.forget(&id);
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
        let Some(bytes) = read_body(body, MAX_REQUEST_BYTES).await else {
            return empty_answer(StatusCode::PAYLOAD_TOO_LARGE);
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

fn bad_request(message: &str) -> Response<AnswerBody> {
    text_answer(StatusCode::BAD_REQUEST, message.to_owned())
}

fn single_frame(id: &AttemptId, event: RunEvent) -> Response<AnswerBody> {
    Response::new(AnswerBody::full(frame(id, event, &[])))
}
