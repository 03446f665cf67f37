//! Requests of callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE};
use http::request::Parts;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::{
    AnswerBody, BodyAborted, BodySender, BootClock, ClusterSecret, HttpClient, HttpHandler,
    read_body,
};
use oriolecrank_schema::control::UpstreamRecord;
use oriolecrank_schema::data_path::{HeaderField, RunRequest, RunVerdict};
use oriolecrank_schema::digest;
use oriolecrank_schema::document::{
    OrganisationId, PriorityClass, RequestId, RouteConfig, ServiceConfig,
};
use oriolecrank_schema::event::LogEvent;
use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::attempt_stream::{AttemptError, AttemptEvent, AttemptStream};
use crate::caller_answer::{CallerError, REQUEST_ID_HEADER, json_answer};
use crate::entry_state::{EntryState, StateView};
use crate::options::EntryOptions;
use crate::request_parser::{CompletionRequest, estimate_tokens};

/// Name under which calls of open routes run.
const OPEN_ORGANISATION: &str = "-";

/// Attempts of one request at most.
const MAX_ATTEMPTS: u32 = 4;

/// Delay before the first retry; it doubles with each further one.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Header fields of callers that are passed on.
const PASSED_HEADERS: [HeaderName; 3] =
    [http::header::ACCEPT, CONTENT_TYPE, http::header::USER_AGENT];

/// A checked request that can be sent to an upstream.
#[derive(Debug)]
struct PreparedCall {
    request: RunRequest,
    body: Bytes,
    candidates: Vec<UpstreamRecord>,
    deadline: Instant,
}

/// Takes callers' requests.
#[derive(Debug)]
pub struct CallerServer {
    options: EntryOptions,
    state: Arc<EntryState>,
    client: HttpClient,
    secret: ClusterSecret,
}

impl CallerServer {
    /// A server over the given state.
    pub fn new(options: EntryOptions, state: Arc<EntryState>, client: HttpClient) -> Self {
        let secret = options.secret.clone();
        Self {
            options,
            state,
            client,
            secret,
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        request_id: &str,
    ) -> Result<Response<AnswerBody>, CallerError> {
        let (head, body) = request.into_parts();
        let Some(body) = read_body(body, self.options.max_body_bytes).await else {
            let message = format!("the body exceeds {} bytes", self.options.max_body_bytes);
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(CallerError::not_run(status, "body_too_large", message));
        };
        let view = self.state.view();
        let path = head.uri.path().to_owned();
        if path == "/v1/models" && head.method == Method::GET {
            self.authenticate(&view, &head)?;
            return Ok(models_answer(&view, request_id));
        }
        let call = match path.strip_prefix("/services/") {
            Some(rest) => self.prepare_plain(&view, &head, body, rest, request_id)?,
            None => self.prepare_completion(&view, &head, body, request_id)?,
        };
        self.run(call, request_id).await
    }

    fn authenticate(&self, view: &StateView, head: &Parts) -> Result<OrganisationId, CallerError> {
        if !view.is_fresh(self.options.freshness_lease, BootClock.now()) {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let message = "this instance has no current configuration";
            return Err(CallerError::not_run(status, "state_stale", message).with_retry_after(1));
        }
        let key = head
            .headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        let key = key
            .and_then(|value| value.strip_prefix("Bearer "))
            .map(str::trim);
        let organisation = key.and_then(|key| view.organisation(&digest::key_digest(key)));
        organisation.cloned().ok_or_else(|| {
            let message = "the key is missing or not valid";
            CallerError::not_run(StatusCode::UNAUTHORIZED, "key_invalid", message)
        })
    }

    fn prepare_completion(
        &self,
        view: &StateView,
        head: &Parts,
        body: Bytes,
        request_id: &str,
    ) -> Result<PreparedCall, CallerError> {
        let path = head.uri.path();
        if path != "/v1/chat/completions" && path != "/v1/completions" {
            return Err(not_found(format!("there is no path {path}")));
        }
        if head.method != Method::POST {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(CallerError::not_run(
                status,
                "method_not_allowed",
                "use POST",
            ));
        }
        let organisation = self.authenticate(view, head)?;
        let completion = CompletionRequest::parse(&body).map_err(|message| {
            CallerError::not_run(StatusCode::BAD_REQUEST, "body_invalid", message)
        })?;
        let Some(service) = view.service_of_model(&completion.model) else {
            return Err(not_found(format!(
                "there is no model {:?}",
                completion.model
            )));
        };
        let class = match completion.priority.as_deref() {
            None => service.class,
            Some(text) => text.parse::<PriorityClass>().map_err(|_| {
                let message = "priority is one of urgent, standard, bulk";
                CallerError::not_run(StatusCode::BAD_REQUEST, "body_invalid", message)
            })?,
        };
        let draft = CallDraft {
            organisation: organisation.to_string(),
            class,
            deadline_ms: service.deadline_ms,
            target: path.to_owned(),
            stream: completion.stream,
            max_output_tokens: completion.max_output_tokens(),
        };
        prepare(view, service, head, body, draft, request_id)
    }

    fn prepare_plain(
        &self,
        view: &StateView,
        head: &Parts,
        body: Bytes,
        rest: &str,
        request_id: &str,
    ) -> Result<PreparedCall, CallerError> {
        let (name, _) = rest.split_once('/').unwrap_or((rest, ""));
        let path = &rest[name.len()..];
        let Some(service) = view.service(name) else {
            return Err(not_found(format!("there is no service {name:?}")));
        };
        let route = matching_route(service, path, &head.method);
        let Some(route) = route else {
            return Err(not_found(format!("service {name:?} has no route {path:?}")));
        };
        let organisation = if route.open {
            OPEN_ORGANISATION.to_owned()
        } else {
            self.authenticate(view, head)?.to_string()
        };
        let query = head
            .uri
            .query()
            .map(|query| format!("?{query}"))
            .unwrap_or_default();
        let draft = CallDraft {
            organisation,
            class: route.class,
            deadline_ms: route.deadline_ms.unwrap_or(service.deadline_ms),
            target: format!("{path}{query}"),
            stream: false,
            max_output_tokens: 0,
        };
        prepare(view, service, head, body, draft, request_id)
    }

    /// Runs a call, trying another upstream when an attempt has not run.
    async fn run(
        &self,
        mut call: PreparedCall,
        request_id: &str,
    ) -> Result<Response<AnswerBody>, CallerError> {
        loop {
            let error = match self.attempt(&mut call).await {
                Ok((stream, status, headers)) => {
                    return self
                        .deliver(&call, stream, status, &headers, request_id)
                        .await;
                }
                Err(error) => error,
            };
            let event = LogEvent::RequestFailed.number();
            let (code, verdict) = (error.code.as_str(), error.verdict.to_string());
            tracing::warn!(event, request_id, code, verdict, "attempt failed");
            let delay = RETRY_DELAY * 2_u32.pow(call.request.attempt - 1);
            let late = Instant::now() + delay >= call.deadline;
            if error.verdict == RunVerdict::MayHaveRun
                || call.request.attempt >= MAX_ATTEMPTS
                || late
            {
                return Err(caller_error(error));
            }
            sleep(delay).await;
            call.request.attempt += 1;
        }
    }

    async fn attempt(
        &self,
        call: &mut PreparedCall,
    ) -> Result<(AttemptStream, u16, Vec<HeaderField>), AttemptError> {
        let chosen = call.candidates.choose(&mut rand::rng());
        let target = chosen.and_then(|record| Some((record, record.address.parse().ok()?)));
        let Some((record, address)) = target else {
            return Err(AttemptError {
                verdict: RunVerdict::NotRun,
                code: "no_upstream".to_owned(),
                message: "no upstream of the service is available".to_owned(),
            });
        };
        call.request.incarnation = Some(record.incarnation);
        let left = call.deadline.saturating_duration_since(Instant::now());
        call.request.deadline_ms = left.as_millis() as u64;
        let (client, secret) = (self.client.clone(), self.secret.clone());
        let mut stream =
            AttemptStream::open(client, secret, address, &call.request, &call.body).await?;
        loop {
            if let AttemptEvent::Head { status, headers } = stream.next().await? {
                return Ok((stream, status, headers));
            }
        }
    }

    async fn deliver(
        &self,
        call: &PreparedCall,
        mut stream: AttemptStream,
        status: u16,
        headers: &[HeaderField],
        request_id: &str,
    ) -> Result<Response<AnswerBody>, CallerError> {
        let (sender, body) = AnswerBody::stream();
        let body = if call.request.stream {
            tokio::spawn(forward_events(stream, sender, request_id.to_owned()));
            body
        } else {
            AnswerBody::full(collect_answer(&mut stream).await.map_err(caller_error)?)
        };
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        for field in headers {
            copy_header(&mut response, field);
        }
        if let Ok(value) = HeaderValue::from_str(request_id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        Ok(response)
    }
}

impl HttpHandler for CallerServer {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let request_id = request_id(request.headers());
        match self.respond(request, &request_id).await {
            Ok(response) => response,
            Err(error) => error.answer(&request_id),
        }
    }
}

/// Parts of a call that depend on the kind of the service.
#[derive(Debug)]
struct CallDraft {
    organisation: String,
    class: PriorityClass,
    deadline_ms: u64,
    target: String,
    stream: bool,
    max_output_tokens: u64,
}

fn prepare(
    view: &StateView,
    service: &ServiceConfig,
    head: &Parts,
    body: Bytes,
    draft: CallDraft,
    request_id: &str,
) -> Result<PreparedCall, CallerError> {
    let candidates: Vec<_> = view.upstreams(&service.name).cloned().collect();
    if candidates.is_empty() {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let message = "no upstream of the service is available";
        return Err(CallerError::not_run(status, "no_upstream", message).with_retry_after(1));
    }
    let headers = PASSED_HEADERS.iter().filter_map(|name| {
        let value = head.headers.get(name)?.to_str().ok()?.to_owned();
        Some(HeaderField {
            name: name.as_str().to_owned(),
            value,
        })
    });
    let request = RunRequest {
        attempt: 1,
        claim: None,
        class: draft.class,
        deadline_ms: draft.deadline_ms,
        fingerprint: digest::body_digest(&draft.organisation, &body),
        headers: headers.collect(),
        incarnation: None,
        max_output_tokens: draft.max_output_tokens,
        method: head.method.to_string(),
        organisation: draft.organisation,
        prompt_tokens: estimate_tokens(body.len()),
        request_id: RequestId(request_id.to_owned()),
        resume_tokens: 0,
        service: service.name.clone(),
        stream: draft.stream,
        target: draft.target,
    };
    let deadline = Instant::now() + Duration::from_millis(draft.deadline_ms);
    Ok(PreparedCall {
        request,
        body,
        candidates,
        deadline,
    })
}

fn matching_route<'a>(
    service: &'a ServiceConfig,
    path: &str,
    method: &Method,
) -> Option<&'a RouteConfig> {
    let allows = |route: &&RouteConfig| {
        route.methods.is_empty() || route.methods.iter().any(|name| name == method.as_str())
    };
    let matching = service
        .routes
        .iter()
        .filter(|route| path.starts_with(&route.path));
    matching.filter(allows).max_by_key(|route| route.path.len())
}

/// The caller's request id, if it is usable, or a new one.
fn request_id(headers: &http::HeaderMap) -> String {
    let given = headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok());
    let own = format!("{:032x}", rand::rng().random::<u128>());
    match given {
        // The random part keeps two callers that send the same id apart.
        Some(given) if !given.is_empty() && given.len() <= 64 => format!("{given}.{}", &own[..16]),
        _ => own,
    }
}

fn models_answer(view: &StateView, request_id: &str) -> Response<AnswerBody> {
    let models = view
        .models()
        .map(|id| json!({ "id": id, "object": "model" }));
    let body = json!({ "object": "list", "data": models.collect::<Vec<_>>() });
    json_answer(StatusCode::OK, body.to_string(), request_id)
}

fn not_found(message: String) -> CallerError {
    CallerError::not_run(StatusCode::NOT_FOUND, "not_found", message)
}

fn caller_error(error: AttemptError) -> CallerError {
    let status = match error.verdict {
        RunVerdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        RunVerdict::MayHaveRun => StatusCode::BAD_GATEWAY,
    };
    let retry_after_s = (error.verdict == RunVerdict::NotRun).then_some(1);
    let AttemptError {
        verdict,
        code,
        message,
    } = error;
    CallerError {
        status,
        code,
        verdict,
        message,
        retry_after_s,
    }
}

/// Copies a header field of the upstream, unless the connection to the caller sets its own.
fn copy_header(response: &mut Response<AnswerBody>, field: &HeaderField) {
    let own = [
        CONTENT_LENGTH,
        http::header::TRANSFER_ENCODING,
        http::header::CONNECTION,
    ];
    let name = HeaderName::try_from(&field.name);
    let value = HeaderValue::try_from(&field.value);
    if let (Ok(name), Ok(value)) = (name, value)
        && !own.contains(&name)
    {
        response.headers_mut().append(name, value);
    }
}

async fn collect_answer(stream: &mut AttemptStream) -> Result<Bytes, AttemptError> {
    let mut body = BytesMut::new();
    loop {
        match stream.next().await? {
            AttemptEvent::Body(bytes) => body.extend_from_slice(&bytes),
            AttemptEvent::End(_) => return Ok(body.freeze()),
            AttemptEvent::Head { .. } => {}
        }
    }
}

async fn forward_events(mut stream: AttemptStream, sender: BodySender, request_id: String) {
    loop {
        let event = tokio::select! {
            event = stream.next() => event,
            () = sender.closed() => {
                stream.cancel().await;
                return;
            }
        };
        match event {
            Ok(AttemptEvent::Body(bytes)) => {
                if sender.send(Ok(bytes)).await.is_err() {
                    stream.cancel().await;
                    return;
                }
            }
            Ok(AttemptEvent::Head { .. }) => {}
            Ok(AttemptEvent::End(_)) => return,
            Err(error) => {
                let text = caller_error(error).event(&request_id);
                // Errors mean that the caller has gone away.
                let _ = sender.send(Ok(text.into())).await;
                let _ = sender.send(Err(BodyAborted)).await;
                return;
            }
        }
    }
}
