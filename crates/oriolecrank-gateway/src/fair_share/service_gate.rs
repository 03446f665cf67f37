//! Fair shares of one service at an entry.

use std::time::Duration;

use oriolecrank_policy::fair_share::{
    FairGate, FairRefusal, FairRequest, FairShareSettings, FlowShare, WorkFlow,
};
use oriolecrank_routing::{DirectChooser, PromptShape, ServiceName};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::event::LogEvent;

use super::share_messages::{ServiceDemand, ServiceShares};
use crate::call_runner::CallerRequest;

/// [`FairGate`] of a service whose upstreams are model engines.
#[derive(Debug)]
pub(crate) struct ServiceGate {
    service: ServiceName,
    gate: FairGate,
    /// Whether the log says that the engines are overloaded.
    logged_overload: bool,
}

impl ServiceGate {
    pub(crate) fn new(service: &ServiceName, settings: FairShareSettings) -> Self {
        Self {
            service: service.clone(),
            gate: FairGate::new(settings),
            logged_overload: false,
        }
    }

    /// Admits or refuses a first attempt. Plain requests are always admitted.
    pub(crate) fn ask(
        &mut self,
        request: &CallerRequest,
        chooser: &DirectChooser,
        entries: u32,
        now: TimePoint,
    ) -> Result<(), FairRefusal> {
        let backlog = chooser.engine_backlog(now);
        let Some((backlog, prompt)) = backlog.zip(request.head.prompt.as_ref()) else {
            return Ok(());
        };
        let flow = work_flow(request);
        let asked = fair_request(request, prompt, &flow, entries, now);
        let answer = self.gate.ask(&asked, &backlog, now);
        self.log_overload(backlog.wait(), now);
        answer
    }

    /// Time after which a caller may come back to whom no engine can answer in time; `None` for a
    /// plain request.
    pub(crate) fn return_after(
        &mut self,
        request: &CallerRequest,
        chooser: &DirectChooser,
        entries: u32,
        now: TimePoint,
    ) -> Option<Duration> {
        let backlog = chooser.engine_backlog(now)?;
        let prompt = request.head.prompt.as_ref()?;
        let flow = work_flow(request);
        let asked = fair_request(request, prompt, &flow, entries, now);
        Some(self.gate.return_after(&asked, &backlog, now))
    }

    /// Records how many tokens of a prompt the chosen engines have to read.
    pub(crate) fn record_chosen(&mut self, prompt: Option<&PromptShape>, read_tokens: u64) {
        if let Some(prompt) = prompt {
            self.gate.record_chosen(prompt.input_tokens, read_tokens);
        }
    }

    /// Demand for the leader; `None` while the engines are not overloaded.
    pub(crate) fn demand(
        &mut self,
        chooser: &DirectChooser,
        now: TimePoint,
    ) -> Option<ServiceDemand> {
        let backlog = chooser.engine_backlog(now)?;
        let demand = self.gate.demand(&backlog, now);
        self.log_overload(backlog.wait(), now);
        demand.map(|demand| ServiceDemand::new(&self.service, demand))
    }

    /// Applies the leader's shares.
    pub(crate) fn set_shares(&mut self, shares: ServiceShares, now: TimePoint) {
        let shares: Vec<FlowShare> = shares.exceeding.into_iter().map(FlowShare::from).collect();
        self.gate.set_shares(&shares, now);
    }

    fn log_overload(&mut self, wait: Duration, now: TimePoint) {
        let is_overloaded = self.gate.is_overloaded(now);
        if std::mem::replace(&mut self.logged_overload, is_overloaded) == is_overloaded {
            return;
        }
        tracing::info!(
            event = LogEvent::OverloadChanged.number(),
            service = %self.service,
            is_overloaded,
            wait_ms = wait.as_millis() as u64,
            "the engines of a service have become overloaded, or are so no longer"
        );
    }
}

fn work_flow(request: &CallerRequest) -> WorkFlow {
    let organisation = request.organisation.as_ref();
    WorkFlow {
        organisation: organisation.map_or("", |name| name.as_str()).into(),
        kind: request.route.name.as_str().into(),
    }
}

fn fair_request<'a>(
    request: &CallerRequest,
    prompt: &PromptShape,
    flow: &'a WorkFlow,
    entries: u32,
    now: TimePoint,
) -> FairRequest<'a> {
    FairRequest {
        flow,
        priority: request.priority,
        input_tokens: prompt.input_tokens,
        target: request.route.answer_target,
        time_left: request.deadline.since(now),
        returning: request.returning,
        entries,
    }
}
