//! One attempt of a call, including its deadline, the usage that it records and the outcome that it
//! reports for its upstream.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use oriolecrank_net::BootClock;
use oriolecrank_policy::answer_assembly::AnswerHead;
use oriolecrank_schema::data_path::{ClaimTicket, RunVerdict};
use oriolecrank_schema::document::{PriorityClass, UpstreamId};
use oriolecrank_schema::failure_code::{CLAIM_REFUSED, UPSTREAM_PAUSED};
use tokio::time::{Instant, timeout_at};

use crate::attempt_stream::{AttemptError, AttemptEvent, AttemptStream};
use crate::call_plan::CallPlan;
use crate::entry_context::EntryContext;
use crate::upstream_pool::{Dispatch, DispatchOutcome};
use crate::usage_reporter::AttemptUsage;

/// Error code of an answer that was not complete at its deadline.
pub const DEADLINE_EXCEEDED: &str = "deadline_exceeded";

/// Error codes that show a fault of the upstream or its agent even if the request has not run.
const FAULT_CODES: [&str; 3] = ["agent_unreachable", "agent_refused", "upstream_unreachable"];

/// Parameters of an attempt: where and how it runs.
#[derive(Debug)]
pub struct AttemptParams {
    /// Number of the attempt within the call, starting at 1.
    pub attempt: u32,
    /// Address of the agent.
    pub address: SocketAddr,
    /// Incarnation of the agent to which the attempt is addressed.
    pub incarnation: u64,
    /// Upstream that is to run the attempt.
    pub upstream: UpstreamId,
    /// Dispatch that the chooser counts; `None` if the attempt joins a call that already runs under
    /// its claim.
    pub dispatch: Option<Dispatch>,
    /// Output tokens that the caller already has; the answer continues after them.
    pub resume_tokens: u64,
    /// Claim under which the attempt runs; `None` for calls without one.
    pub claim: Option<ClaimTicket>,
}

impl AttemptParams {
    /// An attempt at a chosen upstream, from the start of the answer and without a claim.
    pub fn from_dispatch(attempt: u32, dispatch: Dispatch) -> Self {
        Self {
            attempt,
            address: dispatch.address(),
            incarnation: dispatch.incarnation(),
            upstream: dispatch.upstream().clone(),
            dispatch: Some(dispatch),
            resume_tokens: 0,
            claim: None,
        }
    }
}

/// A part of an answer's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPart {
    /// The next bytes.
    Bytes(Bytes),
    /// The answer is complete.
    End,
}

/// An attempt whose answer has begun.
#[derive(Debug)]
pub struct RunningAttempt {
    stream: AttemptStream,
    dispatch: Option<Dispatch>,
    usage: AttemptUsage,
    upstream: UpstreamId,
    deadline: Instant,
    /// Whether the attempt continues the answer of an earlier one.
    continued: bool,
    head: AnswerHead,
    /// First part of the body, until [`Self::next`] returns it. The attempt counts as running only
    /// when it has arrived, because it shows that the upstream works on the request.
    first: Option<BodyPart>,
}

impl RunningAttempt {
    /// Sends the request and waits for the first part of the answer's body.
    pub async fn start(
        context: Arc<EntryContext>,
        plan: Arc<CallPlan>,
        params: AttemptParams,
    ) -> Result<Self, AttemptError> {
        let now = BootClock.now();
        let left = plan.time_left(now);
        let mut request = plan.template.clone();
        request.attempt = params.attempt;
        request.claim = params.claim;
        request.deadline_ms = left.as_millis() as u64;
        request.incarnation = Some(params.incarnation);
        request.resume_tokens = params.resume_tokens;
        let continued = params.resume_tokens > 0;
        let reporter = Arc::clone(&context.usage);
        let mut starting = StartingAttempt {
            dispatch: params.dispatch,
            usage: AttemptUsage::new(reporter, &plan, params.attempt, continued),
            deadline: Instant::now() + left,
            continued,
        };
        let opened = AttemptStream::open(
            context.transport.clone(),
            params.address,
            request,
            plan.body.clone(),
            plan.safety,
        );
        let mut stream = match opened.await {
            Ok(stream) => stream,
            Err(error) => {
                starting.record_failure(&error);
                return Err(error);
            }
        };
        let mut head = None;
        loop {
            let first = match starting.next(&mut stream).await? {
                AttemptEvent::Accepted(_) => continue,
                AttemptEvent::Head(received) => {
                    head = Some(received);
                    continue;
                }
                AttemptEvent::Body(bytes) => BodyPart::Bytes(bytes),
                AttemptEvent::End { .. } => BodyPart::End,
            };
            let head = head.expect("assembly passes a body on only after the head");
            starting.record_status(head.status);
            if let Some(dispatch) = &starting.dispatch {
                dispatch.record_answer(now);
            }
            if let Some(dispatch) = &starting.dispatch
                && plan.template.class == PriorityClass::Urgent
            {
                dispatch.record_first_byte(BootClock.now().since(now));
            }
            return Ok(Self {
                stream,
                dispatch: starting.dispatch.take(),
                usage: starting.usage,
                upstream: params.upstream,
                deadline: starting.deadline,
                continued,
                head,
                first: Some(first),
            });
        }
    }

    /// Status and header fields of the answer.
    pub fn head(&self) -> &AnswerHead {
        &self.head
    }

    /// Upstream that runs the attempt.
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// Counts output tokens that were sent to the caller, for the usage of the attempt.
    pub fn count_delivered(&mut self, output_tokens: u64) {
        self.usage.count_delivered(output_tokens);
    }

    /// Discards the usage of the attempt, because another request records it.
    pub fn discard_usage(&mut self) {
        self.usage.discard();
    }

    /// Waits for the next part of the body, at most until the deadline of the call.
    pub async fn next(&mut self) -> Result<BodyPart, AttemptError> {
        if let Some(first) = self.first.take() {
            return Ok(first);
        }
        loop {
            let next = timeout_at(self.deadline, self.stream.next()).await;
            let event = next.unwrap_or_else(|_| Err(deadline_error()));
            match event {
                Ok(AttemptEvent::Body(bytes)) => return Ok(BodyPart::Bytes(bytes)),
                Ok(AttemptEvent::End { usage, load }) => {
                    self.usage.complete(usage, self.continued);
                    if let Some(dispatch) = &mut self.dispatch {
                        dispatch.record_load(&load);
                        set_outcome_of_status(dispatch, self.head.status);
                    }
                    return Ok(BodyPart::End);
                }
                Ok(AttemptEvent::Accepted(_) | AttemptEvent::Head(_)) => {}
                Err(error) => {
                    record_failure(self.dispatch.as_mut(), &mut self.usage, &error);
                    return Err(error);
                }
            }
        }
    }
}

/// An attempt before its answer has begun.
#[derive(Debug)]
struct StartingAttempt {
    dispatch: Option<Dispatch>,
    usage: AttemptUsage,
    deadline: Instant,
    continued: bool,
}

impl StartingAttempt {
    async fn next(&mut self, stream: &mut AttemptStream) -> Result<AttemptEvent, AttemptError> {
        let next = timeout_at(self.deadline, stream.next()).await;
        let event = next.unwrap_or_else(|_| Err(deadline_error()));
        match &event {
            Ok(AttemptEvent::Accepted(load)) => {
                if let Some(dispatch) = &self.dispatch {
                    dispatch.record_load(load);
                }
            }
            Ok(AttemptEvent::End { usage, load }) => {
                self.usage.complete(usage.clone(), self.continued);
                if let Some(dispatch) = &self.dispatch {
                    dispatch.record_load(load);
                }
            }
            Ok(_) => {}
            Err(error) => record_failure(self.dispatch.as_mut(), &mut self.usage, error),
        }
        event
    }

    fn record_status(&mut self, status: u16) {
        if let Some(dispatch) = &mut self.dispatch {
            set_outcome_of_status(dispatch, status);
        }
    }

    fn record_failure(&mut self, error: &AttemptError) {
        record_failure(self.dispatch.as_mut(), &mut self.usage, error);
    }
}

fn set_outcome_of_status(dispatch: &mut Dispatch, status: u16) {
    let outcome = if status >= 500 {
        DispatchOutcome::Failed
    } else {
        DispatchOutcome::Served
    };
    dispatch.set_outcome(outcome);
}

/// Sets the outcome of a failed attempt for its upstream. A request that has not run has no usage.
fn record_failure(dispatch: Option<&mut Dispatch>, usage: &mut AttemptUsage, error: &AttemptError) {
    if error.verdict == RunVerdict::NotRun {
        usage.discard();
    }
    let Some(dispatch) = dispatch else {
        return;
    };
    let codes = [UPSTREAM_PAUSED, CLAIM_REFUSED];
    if codes.contains(&&*error.code)
        && let Some(length) = error.retry_after
    {
        dispatch.record_pause(length);
    }
    let fault = error.verdict == RunVerdict::MayHaveRun || FAULT_CODES.contains(&&*error.code);
    // A request can exceed its deadline without a fault of the upstream, which must not be
    // ejected for that.
    let outcome = if fault && error.code != DEADLINE_EXCEEDED {
        DispatchOutcome::Failed
    } else {
        DispatchOutcome::Neutral
    };
    dispatch.set_outcome(outcome);
}

fn deadline_error() -> AttemptError {
    let message = "the answer was not complete at its deadline";
    AttemptError::new(RunVerdict::MayHaveRun, DEADLINE_EXCEEDED, message)
}
