//! Serves callers: reads requests, finds their route and organisation, and runs them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::request::Parts as RequestParts;
use http::{Request, Response};
use hyper::body::Incoming;
use oriolecrank_net::intake::{BodyAwaited, BodyError, BodyLimits, read_body_within};
use oriolecrank_net::{AnswerBody, HttpHandler, with_close};
use oriolecrank_routing::{
    CallKind, CallerOrganisation, RequestContent, RequestFingerprint, RouteTable,
};
use oriolecrank_schema::event::LogEvent;
use rand::Rng as _;

use crate::call_runner::{CallRunner, CallerRequest, refusal};
use crate::control_link::ControlLink;
use crate::dialect::{CallFailure, CallHead, CallerDialect};
use crate::entry_shared::EntryShared;
use crate::quota::QuotaTicket;
use crate::running_attempt::current_time;

/// Time since the first attempt from which on a caller counts as one that comes back. Timeouts that
/// callers state for first attempts vary less.
const MIN_RETURN_AGE: Duration = Duration::from_millis(200);

/// Time after which a client may return that found no room for a body. Stalled bodies are given up
/// after a few seconds; ordinary ones end within one.
pub(crate) const NO_ROOM_DELAY: Duration = Duration::from_secs(1);

/// HTTP handler of the callers' address.
#[derive(Debug)]
pub(crate) struct CallerServer<D> {
    pub(crate) shared: Arc<EntryShared<D>>,
    /// Asks control instances where streams began.
    pub(crate) link: ControlLink,
}

impl<D: CallerDialect> CallerServer<D> {
    async fn answer(
        &self,
        parts: RequestParts,
        body: Incoming,
    ) -> Result<Response<AnswerBody>, CallFailure> {
        let head = self.shared.dialect.decode_call(&parts)?;
        let mut request = self.accept(parts, head, body).await?;
        let is_stream = request.route.kind == CallKind::Stream;
        if is_stream && request.head.resume_after.is_some() {
            let (link, head, route) = (&self.link, &request.head, &request.route);
            let point = self.shared.find_resume_point(link, head, route).await?;
            request.service = point.service;
            request.resume_version = Some(point.version);
        }
        let runner = CallRunner::new(Arc::clone(&self.shared), Arc::new(request));
        if is_stream {
            runner.run_stream().await
        } else {
            runner.run_plain().await
        }
    }

    /// Checks a request against the document in force and reads its body. Fails if the entry is
    /// stopping or has no document yet, or if the route, the key or the size of the body is not
    /// accepted.
    async fn accept(
        &self,
        parts: RequestParts,
        head: CallHead,
        body: Incoming,
    ) -> Result<CallerRequest, CallFailure> {
        let arrived_at = current_time();
        if !self.shared.accepts_requests(arrived_at) {
            return Err(refusal(Duration::ZERO));
        }
        let waiting = self
            .shared
            .await_route_table(head.caller_timeout, arrived_at);
        let Some(table) = waiting.await else {
            return Err(refusal(Duration::ZERO));
        };
        let route = table.find(&head.host, parts.uri.path());
        let route = Arc::clone(route.ok_or(CallFailure::UnknownRoute)?);
        let organisation = find_organisation(&table, &route, &head)?.cloned();
        let quota_ticket = match &organisation {
            Some(organisation) => {
                self.charge_quota(organisation, &head, table.version())
                    .await?
            }
            None => None,
        };
        let caller_timeout = head.caller_timeout.unwrap_or(route.timeout);
        let body_limits = BodyLimits {
            time_limit: Some(caller_timeout.min(route.timeout)),
            ..BodyLimits::of_bytes(table.limits().body_bytes)
        };
        let awaited = BodyAwaited::new(&parts.extensions);
        let body = read_body_within(body, body_limits, &self.shared.client_budget).await;
        drop(awaited);
        let body = body.map_err(body_failure)?;
        let service = route.draw_service(rand::rng().random()).clone();
        self.shared
            .with_service(&service, |state| state.budget.count_request(arrived_at));
        let time_since_first =
            self.shared
                .time_since_first_attempt(&route.name, caller_timeout, arrived_at);
        let target_time = arrived_at + route.answer_target.saturating_sub(time_since_first);
        let priority = organisation
            .as_ref()
            .and_then(|organisation| organisation.priority);
        let organisation = organisation.map(|organisation| organisation.name);
        let fingerprint = RequestFingerprint::from(&RequestContent {
            organisation: organisation.as_ref(),
            method: parts.method.as_str(),
            host: &head.host,
            target: parts
                .uri
                .path_and_query()
                .map_or("", |target| target.as_str()),
            prompt: head.prompt.as_ref(),
            body: &body,
        });
        let timeout = caller_timeout.min(route.timeout);
        let deadline = arrived_at + timeout;
        if !self.shared.can_finish_by(deadline) {
            tracing::info!(
                event = LogEvent::RequestRefused.number(),
                request = head.request_id,
                time_left_ms = timeout.as_millis() as u64,
                "the entry is stopping and ends before the deadline of a request"
            );
            return Err(refusal(Duration::ZERO));
        }
        Ok(CallerRequest {
            fingerprint,
            method: parts.method,
            uri: parts.uri,
            header_fields: parts.headers,
            body,
            service,
            resume_version: None,
            returning: time_since_first >= MIN_RETURN_AGE,
            priority: priority.unwrap_or(route.priority),
            organisation,
            quota_ticket,
            deadline,
            target_time,
            patience_end: arrived_at + timeout.min(route.patience),
            route,
            head,
        })
    }
}

impl<D> CallerServer<D> {
    /// Charges the quota of an organisation; `None` if it has none.
    async fn charge_quota(
        &self,
        organisation: &CallerOrganisation,
        head: &CallHead,
        version: u64,
    ) -> Result<Option<QuotaTicket>, CallFailure> {
        let Some(spec) = organisation.quota else {
            return Ok(None);
        };
        let prompt = head.prompt.as_ref();
        let stated = prompt.map(|prompt| (prompt.input_tokens, prompt.output_tokens));
        let cost = spec.unit.cost(stated);
        let entries = self.shared.entry_count();
        let gate = &self.shared.quota;
        let ticket = gate.charge(&organisation.name, spec, version, cost, entries);
        ticket.await.map(Some)
    }
}

/// Organisation of a request; `None` on a route that needs no key. Fails if the key is missing or
/// unknown.
fn find_organisation<'a>(
    table: &'a RouteTable,
    route: &oriolecrank_routing::RouteSpec,
    head: &CallHead,
) -> Result<Option<&'a CallerOrganisation>, CallFailure> {
    if !table.needs_key(route) {
        return Ok(None);
    }
    let key = head.key.as_deref().ok_or(CallFailure::UnknownKey)?;
    let organisation = table.organisation(key).ok_or(CallFailure::UnknownKey)?;
    Ok(Some(organisation))
}

/// Why a request whose body could not be read is refused.
fn body_failure(error: BodyError) -> CallFailure {
    match error {
        BodyError::TooLarge | BodyError::Incomplete => CallFailure::TooLarge,
        BodyError::Full { .. } | BodyError::TooSlow => CallFailure::NoRoom {
            retry_after: NO_ROOM_DELAY,
        },
    }
}

impl<D: CallerDialect> HttpHandler for CallerServer<D> {
    async fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<AnswerBody> {
        let (parts, body) = request.into_parts();
        let (dialect, path) = (&self.shared.dialect, parts.uri.path().to_owned());
        let request_id = dialect
            .decode_call(&parts)
            .ok()
            .and_then(|head| head.request_id);
        let mut answer = match self.answer(parts, body).await {
            Ok(answer) => {
                self.shared.metrics.count_request(None);
                answer
            }
            Err(failure) => {
                self.shared.metrics.count_request(Some(failure));
                let event = LogEvent::RequestFailed.number();
                let version = self.shared.document_version();
                tracing::info!(
                    event,
                    request = request_id,
                    path,
                    %peer,
                    ?failure,
                    version,
                    "a request failed"
                );
                let answer = dialect.failure(request_id.as_deref(), failure);
                match failure {
                    CallFailure::TooLarge | CallFailure::NoRoom { .. } => with_close(answer),
                    _ => answer,
                }
            }
        };
        if self.shared.is_stopping() {
            // Makes callers open their next connection to another entry.
            answer = with_close(answer);
        }
        answer
    }
}
