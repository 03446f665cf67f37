//! HTTP server for the requests of other processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::intake::{BodyError, BodyLimits, read_body_within};
use oriolecrank_net::{
    AnswerBody, ClusterSecret, HttpClient, HttpHandler, PeerGuard, empty_answer, message_answer,
    peer_request, text_answer, with_close,
};
use oriolecrank_schema::codec::{self, CodecError};
use oriolecrank_schema::control::{Command, CommandOutcome, PingRequest, Query, QueryResult};

use crate::group_membership::GroupMembership;
use crate::join_announcer::JOIN_PATH;
use crate::leader_tables::LeaderTables;
use crate::membership_service::MembershipService;
use crate::peer_ingress::PeerIngress;
use crate::peer_transport::PEER_PATH;
use crate::shared_state::SharedState;

/// Largest request body, in bytes.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Time limit for the head of the leader's response to a forwarded request, and again for its body.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest body of the response to a forwarded request, in bytes.
const MAX_FORWARDED_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Header that marks a forwarded request. Such a request is not forwarded again, so that two
/// instances with outdated information about the leader do not send it back and forth.
const FORWARDED_HEADER: &str = "x-oriolecrank-forwarded";

/// Answers peer messages, commands, queries, subscriptions, pings, membership changes and requests
/// to join.
#[derive(Debug)]
pub struct RequestServer<R> {
    ingress: PeerIngress<CommandOutcome>,
    guard: PeerGuard,
    secret: ClusterSecret,
    client: HttpClient,
    replica: Arc<R>,
    state: Arc<SharedState>,
    tables: Arc<LeaderTables<R>>,
    members: MembershipService<R>,
}

impl<R: GroupMembership> RequestServer<R> {
    /// Creates a server that submits commands to `replica` and reads from `state`, which `replica`
    /// changes.
    pub fn new(
        ingress: PeerIngress<CommandOutcome>,
        secret: ClusterSecret,
        client: HttpClient,
        replica: Arc<R>,
        state: Arc<SharedState>,
        tables: Arc<LeaderTables<R>>,
        members: MembershipService<R>,
    ) -> Self {
        Self {
            ingress,
            guard: PeerGuard::new(secret.clone()),
            secret,
            client,
            replica,
            state,
            tables,
            members,
        }
    }

    /// Commits a command. If this instance is not the leader, the outcome holds the leader's
    /// address where it is known.
    async fn command(&self, command: Command, peer: SocketAddr) -> CommandOutcome {
        if !is_open_to_peers(&command) {
            let reason = "only the leader itself issues this command".to_owned();
            return CommandOutcome::Refused { reason };
        }
        let command = with_origin(command, peer);
        let outcome = match command {
            Command::Announce { .. } => self.tables.announce(command).await,
            _ => self.replica.propose(command).await,
        };
        match outcome {
            CommandOutcome::NotLeader { leader } => {
                let known = self
                    .replica
                    .leader_address()
                    .map(|address| address.to_string());
                CommandOutcome::NotLeader {
                    leader: leader.or(known),
                }
            }
            outcome => outcome,
        }
    }

    /// Answers a query from the current state; `None` if this instance cannot confirm that its
    /// state is current, or lacks data that only the leader has.
    async fn query(&self, query: Query) -> Option<QueryResult> {
        if !self.replica.read_barrier().await {
            return None;
        }
        match query {
            Query::Members => self.members.list(),
            Query::InForce { revision } => {
                let report = self.tables.in_force(revision)?;
                Some(QueryResult::InForce {
                    lagging: report.lagging,
                    lowest_revision: report.lowest.unwrap_or(revision),
                    subscribers: report.live as u64,
                })
            }
            query => Some(self.state.read(|state| state.query(&query))),
        }
    }

    /// Forwards a request to the leader and returns its response. 503 if the leader is unknown,
    /// cannot be reached or does not respond in time, or if the request was already `forwarded`.
    async fn forward(&self, path: &str, body: Bytes, forwarded: bool) -> Response<AnswerBody> {
        let leader = self.replica.leader_address().filter(|_| !forwarded);
        let Some(leader) = leader else {
            return empty_answer(StatusCode::SERVICE_UNAVAILABLE);
        };
        let mut request = peer_request(&self.secret, path, body);
        let value = http::HeaderValue::from_static("1");
        request.headers_mut().insert(FORWARDED_HEADER, value);
        let Ok(response) = self.client.send(leader, request, FORWARD_TIMEOUT).await else {
            return empty_answer(StatusCode::SERVICE_UNAVAILABLE);
        };
        let status = response.status();
        match response
            .collect(MAX_FORWARDED_RESPONSE_BYTES, FORWARD_TIMEOUT)
            .await
        {
            Ok(bytes) => {
                let mut answer = Response::new(AnswerBody::full(bytes));
                *answer.status_mut() = status;
                answer
            }
            Err(_) => empty_answer(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

impl<R: GroupMembership> HttpHandler for RequestServer<R> {
    async fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<AnswerBody> {
        if request.uri().path() == PEER_PATH {
            return self.ingress.answer(request).await;
        }
        if let Some(refusal) = self.guard.refusal(request.headers()) {
            return refusal;
        }
        if request.method() != Method::POST {
            return empty_answer(StatusCode::METHOD_NOT_ALLOWED);
        }
        let (head, body) = request.into_parts();
        let limits = BodyLimits::of_bytes(MAX_REQUEST_BYTES);
        let bytes = match read_body_within(body, limits, self.ingress.received_budget()).await {
            Ok(bytes) => bytes,
            Err(BodyError::Full { .. }) => {
                return with_close(empty_answer(StatusCode::SERVICE_UNAVAILABLE));
            }
            Err(_) => return with_close(empty_answer(StatusCode::PAYLOAD_TOO_LARGE)),
        };
        let forwarded = head.headers.contains_key(FORWARDED_HEADER);
        let path = head.uri.path();
        match path {
            "/v1/command" => match codec::decode(&bytes) {
                Ok(command) => message_answer(&self.command(command, peer).await),
                Err(error) => bad_request(&error),
            },
            "/v1/query" => match codec::decode(&bytes) {
                Ok(query) => match self.query(query).await {
                    Some(result) => message_answer(&result),
                    None => self.forward(path, bytes, forwarded).await,
                },
                Err(error) => bad_request(&error),
            },
            "/v1/members" => match codec::decode(&bytes) {
                Ok(change) => {
                    let origin = peer.ip().to_string();
                    message_answer(&self.members.change(change, origin).await)
                }
                Err(error) => bad_request(&error),
            },
            JOIN_PATH => match codec::decode(&bytes) {
                Ok(request) if self.members.join(&request) => empty_answer(StatusCode::NO_CONTENT),
                Ok(_) => self.forward(path, bytes, forwarded).await,
                Err(error) => bad_request(&error),
            },
            "/v1/ping" => match codec::decode::<PingRequest>(&bytes) {
                Ok(ping) => match self.tables.ping(&ping).await {
                    Some(answer) => message_answer(&answer),
                    None => self.forward(path, bytes, forwarded).await,
                },
                Err(error) => bad_request(&error),
            },
            "/v1/subscribe" => Response::new(self.state.subscribe()),
            _ => empty_answer(StatusCode::NOT_FOUND),
        }
    }
}

fn bad_request(error: &CodecError) -> Response<AnswerBody> {
    text_answer(StatusCode::BAD_REQUEST, error.to_string())
}

/// Whether other processes may send a command; the rest are issued by the leader itself.
const fn is_open_to_peers(command: &Command) -> bool {
    matches!(
        command,
        Command::Submit { .. }
            | Command::Announce { .. }
            | Command::OpenClaim { .. }
            | Command::CompleteClaim { .. }
            | Command::ReleaseClaim { .. }
            | Command::ReportUsage { .. }
            | Command::ReportCrash { .. }
            | Command::ClearSuspect { .. }
            | Command::RerunSuspect { .. }
            | Command::ReleaseRerun { .. }
            | Command::PlaceOperatorOrder { .. }
    )
}

/// Sets the origin of an operator's command to the address of its sender, for the audit trail. A
/// value chosen by the sender is overwritten.
fn with_origin(mut command: Command, peer: SocketAddr) -> Command {
    if let Command::Submit { origin, .. } | Command::PlaceOperatorOrder { origin, .. } =
        &mut command
    {
        *origin = peer.ip().to_string();
    }
    command
}
