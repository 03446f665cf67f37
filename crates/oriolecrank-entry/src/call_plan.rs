//! Turns a caller's request into a call that can be sent to an upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use oriolecrank_policy::TokenCount;
use oriolecrank_policy::limit_key::RequestSize;
use oriolecrank_policy::prefix_map::{PrefixHash, hash_prompt};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::RunRequest;
use oriolecrank_schema::digest;
use oriolecrank_schema::document::{
    OrganisationConfig, OrganisationId, PriorityClass, RequestId, RouteConfig, ServiceConfig,
    ServiceId, ServiceKind,
};

use crate::admission::ServedTokens;
use crate::attempt_stream::CallSafety;
use crate::caller_answer::CallerError;
use crate::caller_head::CleanHead;
use crate::entry_state::StateView;
use crate::request_parser::{CompletionRequest, estimate_tokens};

/// Organisation name of calls to open routes, which need no key; no organisation can have this
/// name.
pub const OPEN_ORGANISATION: &str = "-";

/// Prefix of the paths of plain services: `/services/<service>/<path below the service>`.
const SERVICE_PREFIX: &str = "/services/";

/// Methods without side effects by definition (RFC 9110, section 9.2.1).
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// A call whose path, key and body have been checked.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// Message to the agent. Each attempt sets its number, the incarnation of the agent, the time
    /// left until the deadline and, if need be, the claim and the tokens to skip.
    pub template: RunRequest,
    /// Body of the request.
    pub body: Bytes,
    /// Requested model; `None` for plain services.
    pub model: Option<String>,
    /// Hashes of the prompt for the choice of an upstream with a matching cache; empty for plain
    /// services.
    pub prefixes: Vec<PrefixHash>,
    /// Organisation that the API key belongs to; `None` on open routes.
    pub organisation: Option<OrganisationId>,
    /// Whether the call may be sent again.
    pub safety: CallSafety,
    /// Digest of the idempotency key, if `safety` is [`CallSafety::Claimed`].
    pub idempotency_digest: Option<String>,
    /// Whether concurrent equal reads may share one upstream call.
    pub coalesce: bool,
    /// Time at which the answer must be complete.
    pub deadline: TimePoint,
    /// Tokens that all attempts have used so far.
    pub served: Arc<ServedTokens>,
}

impl CallPlan {
    /// Called service.
    pub fn service(&self) -> &ServiceId {
        &self.template.service
    }

    /// Unique id under which the call runs.
    pub fn request_id(&self) -> &str {
        self.template.request_id.as_str()
    }

    /// Estimated prompt tokens and largest number of output tokens.
    pub fn size(&self) -> RequestSize {
        RequestSize {
            prompt: TokenCount::new(self.template.prompt_tokens),
            output: TokenCount::new(self.template.max_output_tokens),
        }
    }

    /// Time left before the deadline; zero after it.
    pub fn time_left(&self, now: TimePoint) -> Duration {
        self.deadline.since(now)
    }
}

/// Finds the service and route of a request and checks that its key may use them.
#[derive(Debug)]
pub struct CallPlanner<'a> {
    /// Configuration by which the call is planned.
    pub view: &'a StateView,
    /// Whether the configuration is within its freshness lease. If not, requests that need a key
    /// are refused.
    pub fresh: bool,
    /// Cleaned head of the request.
    pub head: &'a CleanHead,
    /// Unique id of the request.
    pub request_id: &'a str,
    /// Current time.
    pub now: TimePoint,
}

impl<'a> CallPlanner<'a> {
    /// Plans the call that a request with this body asks for.
    pub fn plan(&self, body: Bytes) -> Result<CallPlan, CallerError> {
        match self.head.route_path.strip_prefix(SERVICE_PREFIX) {
            Some(rest) => self.plan_plain(rest, body),
            None => self.plan_completion(&body),
        }
    }

    /// Checks the key before the body is read, unless the route is open.
    pub fn check_access(&self) -> Result<(), CallerError> {
        let path = self.head.route_path.strip_prefix(SERVICE_PREFIX);
        let route = path.and_then(|rest| {
            let (service, path) = split_service(rest);
            let document = self.view.document();
            document.route(&service, path, &self.head.method)
        });
        if route.is_some_and(|route| route.open) {
            return Ok(());
        }
        self.authenticate().map(|_| ())
    }

    /// Organisation that the API key of the request belongs to. Refuses the request if the key is
    /// missing or unknown, or if the configuration is out of date.
    pub fn authenticate(&self) -> Result<&'a OrganisationConfig, CallerError> {
        if !self.fresh {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let message =
                "this instance has no up-to-date configuration to check keys against; retry later";
            return Err(CallerError::not_run(status, "state_stale", message).with_retry_after(1));
        }
        let key = self.head.key_digest.as_ref();
        let document = self.view.document();
        let organisation = key.and_then(|key| document.organisation_of_key(key));
        organisation.ok_or_else(|| {
            let message = "the API key is missing or not valid";
            CallerError::not_run(StatusCode::UNAUTHORIZED, "key_invalid", message)
        })
    }

    fn plan_completion(&self, body: &Bytes) -> Result<CallPlan, CallerError> {
        let path = self.head.route_path.as_str();
        if path != "/v1/chat/completions" && path != "/v1/completions" {
            return Err(not_found(
                "unknown path; expected /v1/chat/completions, /v1/completions or /services/...",
            ));
        }
        if self.head.method != "POST" {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            let code = "method_not_allowed";
            return Err(CallerError::not_run(
                status,
                code,
                "completions accept the POST method only",
            ));
        }
        let organisation = self.authenticate()?;
        let invalid = |message: String| {
            CallerError::not_run(StatusCode::BAD_REQUEST, "body_invalid", message)
        };
        let completion = CompletionRequest::parse(body).map_err(invalid)?;
        let service = self.view.service_of_model(organisation, &completion.model);
        let service = service.ok_or_else(|| {
            not_found("the model does not exist or the organisation may not use it")
        })?;
        let class = match completion.priority.as_deref() {
            None => service.class,
            Some(text) => text.parse::<PriorityClass>().map_err(|_| {
                invalid("unknown priority; expected urgent, standard or bulk".to_owned())
            })?,
        };
        let draft = CallDraft {
            organisation: Some(&organisation.name),
            class,
            deadline_ms: service.deadline_ms,
            target: path.to_owned(),
            stream: completion.stream,
            max_output_tokens: completion.max_output_tokens(),
        };
        let prefixes = hash_prompt(&organisation.name, completion.prompt_text());
        let model = completion.model.clone();
        let mut plan = self.assemble(service, draft, body.clone());
        plan.model = Some(model);
        plan.prefixes = prefixes;
        // The entry cannot split a compressed event stream into events.
        plan.template
            .headers
            .retain(|field| !field.name.eq_ignore_ascii_case("accept-encoding"));
        Ok(plan)
    }

    fn plan_plain(&self, rest: &str, body: Bytes) -> Result<CallPlan, CallerError> {
        let (id, route_path) = split_service(rest);
        let method = self.head.method.as_str();
        let route = self.view.document().route(&id, route_path, method);
        let open = route.is_some_and(|route| route.open);
        let organisation = if open {
            None
        } else {
            // Checked first, so that callers without a valid key cannot find out which services
            // exist.
            let organisation = self.authenticate()?;
            let mut services = self.view.services_of(organisation);
            if !services.any(|service| service.name == id) {
                return Err(not_found(
                    "the service does not exist or the organisation may not use it",
                ));
            }
            Some(&organisation.name)
        };
        let service = self.view.document().service(&id);
        let service = service.ok_or_else(|| {
            not_found("the service does not exist or the organisation may not use it")
        })?;
        let route =
            route.ok_or_else(|| not_found("the service has no route for this path and method"))?;
        let draft = CallDraft {
            organisation,
            class: route.class,
            deadline_ms: route.deadline_ms.unwrap_or(service.deadline_ms),
            target: self.plain_target(&id)?,
            stream: false,
            max_output_tokens: 0,
        };
        let mut plan = self.assemble(service, draft, body);
        self.set_safety(&mut plan, route);
        Ok(plan)
    }

    /// Path and query below the service, in the encoding of the caller.
    fn plain_target(&self, name: &str) -> Result<String, CallerError> {
        let invalid_path = || {
            let message =
                "the path must not contain an encoded slash (%2F) or an encoded service name";
            CallerError::not_run(StatusCode::BAD_REQUEST, "bad_target", message)
        };
        let target = self.head.target.strip_prefix(SERVICE_PREFIX);
        let rest = target.and_then(|target| target.strip_prefix(name));
        let rest = rest.ok_or_else(invalid_path)?;
        let path = rest.split('?').next().unwrap_or_default();
        // The route was matched after decoding slashes. A service that does not decode them would
        // see another path.
        if path.to_ascii_lowercase().contains("%2f") {
            return Err(invalid_path());
        }
        match rest.chars().next() {
            Some('/') => Ok(rest.to_owned()),
            None | Some('?') => Ok(format!("/{rest}")),
            Some(_) => Err(invalid_path()),
        }
    }

    /// Sets whether a call to a plain service may be sent again and whether it may be coalesced.
    fn set_safety(&self, plan: &mut CallPlan, route: &RouteConfig) {
        let method = self.head.method.as_str();
        if SAFE_METHODS.contains(&method) || route.idempotent {
            plan.coalesce = route.coalesce && method == "GET";
            return;
        }
        plan.safety = CallSafety::Once;
        // Claims belong to an organisation, so calls to open routes cannot have one.
        if plan.organisation.is_some() && self.head.idempotency_digest.is_some() {
            plan.safety = CallSafety::Claimed;
            plan.idempotency_digest
                .clone_from(&self.head.idempotency_digest);
        }
    }

    fn assemble(&self, service: &ServiceConfig, draft: CallDraft<'_>, body: Bytes) -> CallPlan {
        let organisation = draft.organisation.map_or(OPEN_ORGANISATION, |name| name);
        let method = self.head.method.clone();
        // Includes the service, because equal targets of two services are different calls.
        let service_target = format!("{}{}", service.name.0, draft.target);
        let template = RunRequest {
            attempt: 0,
            claim: None,
            class: draft.class,
            deadline_ms: draft.deadline_ms,
            fingerprint: digest::call_digest(organisation, &method, &service_target, &body),
            headers: self.head.fields.clone(),
            incarnation: None,
            max_output_tokens: draft.max_output_tokens,
            method,
            organisation: organisation.to_owned(),
            prompt_tokens: match service.kind {
                ServiceKind::Engine => estimate_tokens(body.len()),
                ServiceKind::Plain => 0,
            },
            request_id: RequestId(self.request_id.to_owned()),
            resume_tokens: 0,
            service: service.name.clone(),
            stream: draft.stream,
            target: draft.target,
        };
        CallPlan {
            template,
            body,
            model: None,
            prefixes: Vec::new(),
            organisation: draft.organisation.cloned(),
            safety: CallSafety::Repeatable,
            idempotency_digest: None,
            coalesce: false,
            served: Arc::default(),
            deadline: self.now + Duration::from_millis(draft.deadline_ms),
        }
    }
}

/// Properties of a call that are determined differently for completions and for plain services.
#[derive(Debug)]
struct CallDraft<'a> {
    organisation: Option<&'a OrganisationId>,
    class: PriorityClass,
    deadline_ms: u64,
    target: String,
    stream: bool,
    max_output_tokens: u64,
}

/// Splits a path below [`SERVICE_PREFIX`] into the service and the path below the service.
fn split_service(rest: &str) -> (ServiceId, &str) {
    let name = rest.split('/').next().unwrap_or_default();
    let path = match &rest[name.len()..] {
        "" => "/",
        path => path,
    };
    (ServiceId(name.to_owned()), path)
}

fn not_found(message: &str) -> CallerError {
    CallerError::not_run(StatusCode::NOT_FOUND, "not_found", message)
}
