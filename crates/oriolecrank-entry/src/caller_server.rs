//! HTTP handler for requests of callers.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::{AnswerBody, BootClock, HttpHandler};
use oriolecrank_policy::header_cleaning::HeaderLimits;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::digest::key_digest;
use serde_json::json;
use tokio::time::Instant;

use crate::answer_delivery::deliver;
use crate::attempt_stream::CallSafety;
use crate::call_plan::{CallPlan, CallPlanner};
use crate::call_runner::CallRunner;
use crate::caller_answer::{CallerError, json_answer};
use crate::caller_body::read_caller_body;
use crate::caller_head::CleanHead;
use crate::caller_request_id::CallerRequestId;
use crate::claim_runner::ClaimRunner;
use crate::entry_context::EntryContext;
use crate::entry_state::StateView;
use crate::read_coalescer::deliver_shared;
use crate::request_tracker::RequestTracker;

/// Path of the list of models.
const MODELS_PATH: &str = "/v1/models";

/// Checks, admits and runs the requests of callers.
#[derive(Debug)]
pub struct CallerServer {
    context: Arc<EntryContext>,
    limits: HeaderLimits,
}

impl CallerServer {
    /// Creates a handler with default limits for header fields.
    pub fn new(context: Arc<EntryContext>) -> Self {
        Self {
            context,
            limits: HeaderLimits::default(),
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        request_id: &str,
    ) -> Result<Response<AnswerBody>, CallerError> {
        let started_at = Instant::now();
        let (parts, body) = request.into_parts();
        let view = self.context.state.view();
        let is_key = |text: &str| {
            view.document()
                .organisation_of_key(&key_digest(text))
                .is_some()
        };
        let head = CleanHead::read(&parts, &self.limits, is_key)?;
        if head.route_path == MODELS_PATH && parts.method == Method::GET {
            return self.list_models(&head, request_id);
        }
        let state = self.state_snapshot();
        state.planner(&head, request_id).check_access()?;
        let limit = self.context.options.max_body_bytes;
        let budget = &self.context.client_budget;
        let body = read_caller_body(&parts, body, limit, budget).await?;
        // `plan` checks the key again, because it may have been removed while the body arrived.
        let plan = self
            .state_snapshot()
            .planner(&head, request_id)
            .plan(body)?;
        let permit = self.context.admission.admit(&self.context, &plan)?;
        let metrics = Arc::clone(&self.context.metrics);
        let tracker = RequestTracker::new(metrics, &plan, started_at, permit);
        self.run(Arc::new(plan), tracker).await
    }

    async fn run(
        &self,
        plan: Arc<CallPlan>,
        tracker: RequestTracker,
    ) -> Result<Response<AnswerBody>, CallerError> {
        let context = Arc::clone(&self.context);
        if let Some(idempotency_digest) = plan.idempotency_digest.clone() {
            let runner = ClaimRunner::new(context, plan, idempotency_digest);
            return run_detached(runner.deliver(tracker)).await;
        }
        if plan.safety == CallSafety::Once {
            return run_detached(deliver(CallRunner::new(context, plan), tracker)).await;
        }
        if plan.coalesce {
            return deliver_shared(context, plan, tracker).await;
        }
        deliver(CallRunner::new(context, plan), tracker).await
    }

    fn state_snapshot(&self) -> StateSnapshot {
        let now = BootClock.now();
        StateSnapshot {
            view: self.context.state.view(),
            fresh: self.context.state.is_fresh(now),
            now,
        }
    }

    fn list_models(
        &self,
        head: &CleanHead,
        request_id: &str,
    ) -> Result<Response<AnswerBody>, CallerError> {
        let state = self.state_snapshot();
        let organisation = state.planner(head, request_id).authenticate()?;
        let services = state.view.services_of(organisation);
        let models = services.flat_map(|service| &service.models);
        let data: Vec<_> = models
            .map(|id| json!({ "id": id, "object": "model" }))
            .collect();
        let body = json!({ "object": "list", "data": data });
        Ok(json_answer(StatusCode::OK, body.to_string()))
    }
}

/// State of the entry at one time, by which a request is checked.
#[derive(Debug)]
struct StateSnapshot {
    view: Arc<StateView>,
    fresh: bool,
    now: TimePoint,
}

impl StateSnapshot {
    fn planner<'a>(&'a self, head: &'a CleanHead, request_id: &'a str) -> CallPlanner<'a> {
        CallPlanner {
            view: &self.view,
            fresh: self.fresh,
            head,
            request_id,
            now: self.now,
        }
    }
}

/// Runs a non-idempotent call in a task of its own, so that it continues when its caller
/// disconnects. If it were cancelled, it would be unknown whether it ran.
async fn run_detached(
    call: impl Future<Output = Result<Response<AnswerBody>, CallerError>> + Send + 'static,
) -> Result<Response<AnswerBody>, CallerError> {
    tokio::spawn(call).await.unwrap_or_else(|_| {
        let message = "an internal error of the entry interrupted the call, which may have run";
        Err(CallerError::may_have_run("internal_error", message))
    })
}

impl HttpHandler for CallerServer {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let request_id = CallerRequestId::read(request.headers());
        let mut response = match self.respond(request, request_id.unique()).await {
            Ok(response) => response,
            Err(error) => {
                self.context.metrics.count_refusal(&error.code);
                error.answer(request_id.unique())
            }
        };
        request_id.set_header(&mut response);
        response
    }
}
