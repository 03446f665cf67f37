//! Makes capacity plans and carries them out.
//!
//! A plan is committed first. Each step is committed as running before its order, start or stop is
//! committed, and the executors of orders and of the platform act on those. A successor resumes the
//! plan: orders set a state and are placed again if their result is not known; a start whose intent
//! is not found counts as failed, because placing it again could start a second upstream.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_capacity::{Freshness, PlanAction as NextAction, StepState as ChangeState};
use oriolecrank_consensus::Term;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{
    CapacityPlan, Command, CommandOutcome, EngineOrder, OrderAction, PlanAction, PlanStep,
    StepState, UpstreamPhase, UpstreamRecord,
};
use oriolecrank_schema::document::ServiceId;
use oriolecrank_schema::event::LogEvent;
use oriolecrank_state::cluster::MAX_REASON_BYTES;
use tokio::time::{MissedTickBehavior, interval};

use crate::action_authority::{TermGuard, TimeSource};
use crate::capacity_inputs::CapacityInputs;
use crate::capacity_planner::{CapacityPlanner, PlannedChanges, PlannerView, is_last_capable};
use crate::capacity_settings::{CapacitySettings, CapacitySources};
use crate::command_replica::CommandReplica;
use crate::control_metrics::ControlMetrics;
use crate::order_executor::OrderOutcomes;
use crate::plan_chain::{PlanChain, is_plan_over};
use crate::platform_executor::StartOutcomes;
use crate::shared_state::SharedState;

/// Interval at which a plan is continued.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Progress of one term.
#[derive(Debug)]
struct TermProgress {
    term: Term,
    plan_id: u64,
    /// When this leader first saw the plan.
    plan_seen: TimePoint,
    chains: Vec<PlanChain>,
    next_plan_at: TimePoint,
    frozen: Vec<ServiceId>,
}

/// Whether a step may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepGate {
    Go,
    Wait,
    /// Drop the step.
    Skip,
    /// Drop the whole change.
    SkipAll,
}

/// Plans and carries out capacity changes while this instance leads.
#[derive(Debug)]
pub struct CapacityExecutor<R, T> {
    guard: TermGuard<R, T>,
    replica: Arc<R>,
    state: Arc<SharedState>,
    time: T,
    inputs: CapacityInputs,
    orders: OrderOutcomes,
    /// Ended starts; `None` without a platform, when only roles change.
    starts: Option<StartOutcomes>,
    metrics: ControlMetrics,
    settings: CapacitySettings,
    planner: CapacityPlanner,
    progress: Option<TermProgress>,
}

impl<R: CommandReplica, T: TimeSource> CapacityExecutor<R, T> {
    /// An executor without a plan.
    pub fn new(
        replica: Arc<R>,
        state: Arc<SharedState>,
        time: T,
        sources: CapacitySources,
        metrics: ControlMetrics,
        settings: CapacitySettings,
    ) -> Self {
        let CapacitySources {
            inputs,
            orders,
            starts,
        } = sources;
        Self {
            guard: TermGuard::new(Arc::clone(&replica), time.clone()),
            replica,
            state,
            time,
            inputs,
            orders,
            starts,
            metrics,
            planner: CapacityPlanner::new(settings.planner.clone()),
            settings,
            progress: None,
        }
    }

    /// Plans for ever.
    pub async fn run(&mut self) {
        let mut ticks = interval(ROUND_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.round().await;
        }
    }

    /// Continues the present plan, or makes a new one if it is over and the time has come.
    pub async fn round(&mut self) {
        let Some(permit) = self.guard.permit().await else {
            return;
        };
        self.enter_term(permit.term());
        self.take_outcomes();
        let plan = self.state.read(|state| state.plan().cloned());
        if let Some(plan) = plan {
            self.follow_plan(&plan);
            let chains = self.progress.as_mut();
            let mut chains = chains.map_or_else(Vec::new, |one| std::mem::take(&mut one.chains));
            for chain in &mut chains {
                self.continue_chain(plan.plan_id, chain).await;
            }
            if let Some(progress) = &mut self.progress {
                progress.chains = chains;
            }
            self.continue_starts(plan.plan_id).await;
        }
        let is_over = |plan: Option<&CapacityPlan>| plan.is_none_or(is_plan_over);
        if self.state.read(|state| is_over(state.plan())) {
            self.make_plan().await;
        }
    }

    fn enter_term(&mut self, term: Term) {
        if self.progress.as_ref().is_some_and(|one| one.term == term) {
            return;
        }
        let now = self.time.now();
        let planner = &mut self.planner;
        let inherited = self.state.read(|state| {
            planner.reset(state, now);
            let plan = state.plan().filter(|plan| !is_plan_over(plan));
            plan.map(|plan| plan.plan_id)
        });
        if let Some(plan) = inherited {
            let event = LogEvent::PlanResumed.number();
            tracing::info!(event, plan, "unfinished capacity plan is resumed");
        }
        self.progress = Some(TermProgress {
            term,
            plan_id: 0,
            plan_seen: now,
            chains: Vec::new(),
            next_plan_at: now + self.settings.warm_up,
            frozen: Vec::new(),
        });
    }

    /// Passes on the results of orders and starts.
    fn take_outcomes(&mut self) {
        let now = self.time.now();
        if let Some(starts) = &self.starts {
            for outcome in starts.take() {
                self.planner.record_start(&outcome, now);
            }
        }
        let Some(progress) = &mut self.progress else {
            return;
        };
        for outcome in self.orders.take() {
            let chains = progress.chains.iter_mut();
            for chain in chains.filter(|chain| chain.upstream == outcome.upstream) {
                // An order of an operator or of an earlier plan is not part of the change.
                let _ = chain.change.record_result(&outcome.fence, outcome.result);
            }
        }
    }

    /// Prepares the chains of a plan that this leader has not seen before.
    fn follow_plan(&mut self, plan: &CapacityPlan) {
        let now = self.time.now();
        let Some(progress) = &mut self.progress else {
            return;
        };
        if progress.plan_id == plan.plan_id {
            return;
        }
        let in_flight: Vec<EngineOrder> = self
            .state
            .read(|state| state.orders_in_flight().cloned().collect());
        progress.plan_id = plan.plan_id;
        progress.plan_seen = now;
        progress.chains = PlanChain::of_plan(plan, &in_flight);
    }

    async fn continue_chain(&self, plan_id: u64, chain: &mut PlanChain) {
        let upstream = chain.upstream.clone();
        let now = self.time.now();
        let (record, order) = self.state.read(|state| {
            let mut orders = state.orders_in_flight();
            let order = orders.find(|order| order.upstream == upstream);
            (state.member(&upstream).cloned(), order.cloned())
        });
        self.note_membership(chain, record.as_ref(), now);
        if !self.continue_stop(plan_id, chain, record.as_ref()).await {
            self.continue_order(plan_id, chain, record.as_ref(), order.as_ref())
                .await;
        }
        self.commit_advances(plan_id, chain).await;
    }

    /// Adjusts a chain to a crashed or departed upstream.
    fn note_membership(
        &self,
        chain: &mut PlanChain,
        record: Option<&UpstreamRecord>,
        now: TimePoint,
    ) {
        let Some(record) = record else {
            let since = *chain.absent_since.get_or_insert(now);
            let in_flight = chain.current().is_some_and(is_in_flight);
            if now.since(since) >= self.settings.rejoin_timeout && !in_flight {
                chain.skip_all();
            }
            return;
        };
        chain.absent_since = None;
        let known = chain.incarnation.replace(record.incarnation);
        if known.is_some_and(|known| known < record.incarnation) {
            chain
                .change
                .record_engine_crash(&record.upstream, record.role);
        }
    }

    /// Stops a drained upstream. `true` if the chain waits for it.
    async fn continue_stop(
        &self,
        plan_id: u64,
        chain: &mut PlanChain,
        record: Option<&UpstreamRecord>,
    ) -> bool {
        let Some(step) = chain.stop else {
            return false;
        };
        let Some(state) = self.step_state(plan_id, step) else {
            return false;
        };
        match state {
            StepState::Done => {
                chain.skip_all();
                return false;
            }
            StepState::Pending | StepState::Running => {}
            StepState::Failed | StepState::Undone | StepState::Cancelled => return false,
        }
        if !chain.is_drained() {
            // Without a drain there is no stop; the drain may still be under way.
            if state == StepState::Pending && chain.current().is_none() {
                self.advance(plan_id, step, StepState::Cancelled).await;
            }
            return false;
        }
        let now = self.time.now();
        let drained_for = chain.drained_for(now);
        let is_idle = record.is_none_or(|record| self.is_idle(chain, record));
        let limit = self.settings.stop_drain_limit;
        let limit = record.map_or(limit, |record| self.drain_limit(record, limit));
        let gives_up = self.starts.is_none() || drained_for >= limit;
        if state == StepState::Pending && gives_up && !(is_idle && self.starts.is_some()) {
            self.advance(plan_id, step, StepState::Cancelled).await;
            return false;
        }
        if state == StepState::Pending && !is_idle {
            return true;
        }
        if state == StepState::Pending && !self.advance(plan_id, step, StepState::Running).await {
            return true;
        }
        let command = Command::PlaceStop {
            reason: chain.change.reason.clone(),
            upstream: chain.upstream.clone(),
        };
        match self.replica.propose(command).await {
            CommandOutcome::IntentPlaced { .. } => {
                self.metrics.count_plan_change("stop");
                self.advance(plan_id, step, StepState::Done).await;
                chain.skip_all();
            }
            CommandOutcome::Refused { reason } => {
                note_refusal(&reason);
                self.advance(plan_id, step, StepState::Failed).await;
            }
            _ => {}
        }
        true
    }

    async fn continue_order(
        &self,
        plan_id: u64,
        chain: &mut PlanChain,
        record: Option<&UpstreamRecord>,
        order: Option<&EngineOrder>,
    ) {
        match chain.change.next_action() {
            NextAction::Finished => {}
            NextAction::Wait | NextAction::Settle { .. } => {
                let now = self.time.now();
                let fence = chain.current().and_then(step_fence);
                if order.map(|order| &order.fence) == fence.as_ref() {
                    chain.settled_since = None;
                    return;
                }
                let since = *chain.settled_since.get_or_insert(now);
                if now.since(since) >= self.settings.result_timeout {
                    chain.settled_since = None;
                    chain.repeat_current(record.map(|record| record.role));
                }
            }
            NextAction::Place(command) => {
                let Some(record) = record else {
                    return;
                };
                match self.gate(chain, record) {
                    StepGate::Go => self.place(plan_id, chain, command).await,
                    StepGate::Wait => {}
                    StepGate::Skip => chain.skip_current(),
                    StepGate::SkipAll => chain.skip_all(),
                }
            }
        }
    }

    /// Whether the next order may be placed.
    fn gate(&self, chain: &mut PlanChain, record: &UpstreamRecord) -> StepGate {
        let now = self.time.now();
        let Some(action) = chain.current().map(|step| step.action.clone()) else {
            return StepGate::Wait;
        };
        match action {
            OrderAction::Drain => {
                let seen = self.progress.as_ref().map(|one| one.plan_seen);
                let too_late =
                    seen.is_none_or(|seen| now.since(seen) >= self.settings.begin_timeout);
                let no_platform = chain.stop.is_some() && self.starts.is_none();
                let is_last = self.state.read(|state| is_last_capable(record, state));
                if too_late || no_platform || is_last {
                    return StepGate::SkipAll;
                }
                if self.is_stale(&record.service, now) {
                    return StepGate::Wait;
                }
                StepGate::Go
            }
            OrderAction::ChangeRole { .. } | OrderAction::LoadModel { .. } => {
                let drained_for = chain.drained_for(now);
                let limit = self.drain_limit(record, self.settings.role_drain_limit);
                if self.is_idle(chain, record) {
                    StepGate::Go
                } else if drained_for >= limit {
                    StepGate::Skip
                } else {
                    StepGate::Wait
                }
            }
            OrderAction::Undrain
            | OrderAction::LoadAdapter { .. }
            | OrderAction::ExportCache { .. } => StepGate::Go,
        }
    }

    async fn place(&self, plan_id: u64, chain: &mut PlanChain, command: Command) {
        let position = chain
            .change
            .steps
            .iter()
            .position(|step| step.state == ChangeState::Pending);
        let step = position.and_then(|position| chain.numbers.get(position));
        let Some(step) = step.copied() else {
            return;
        };
        let is_pending = self.step_state(plan_id, step) == Some(StepState::Pending);
        if is_pending && !self.advance(plan_id, step, StepState::Running).await {
            return;
        }
        match self.replica.propose(command).await {
            CommandOutcome::OrderPlaced { order } => {
                if matches!(order.action, OrderAction::ChangeRole { .. }) {
                    self.metrics.count_plan_change("role");
                }
                // The step is pending, so it takes the number.
                let _ = chain.change.record_commit(order.fence);
            }
            CommandOutcome::Refused { reason } => note_refusal(&reason),
            // Another order is in flight, or this instance no longer leads; it is tried again.
            _ => {}
        }
    }

    /// How long a drain may take; short for an upstream that takes work in spite of it.
    fn drain_limit(&self, record: &UpstreamRecord, limit: Duration) -> Duration {
        if record.phase == UpstreamPhase::Ready {
            return self.settings.drain_visible_timeout;
        }
        limit
    }

    /// Whether a drained upstream takes no work and has reported since that it has none.
    fn is_idle(&self, chain: &PlanChain, record: &UpstreamRecord) -> bool {
        let Some(drained_at) = chain.drained_at else {
            return false;
        };
        if !matches!(
            record.phase,
            UpstreamPhase::Changing | UpstreamPhase::Leaving
        ) {
            return false;
        }
        self.inputs.with(|inputs| {
            inputs.load(&record.upstream).is_some_and(|report| {
                report.incarnation == record.incarnation
                    && report.at > drained_at
                    && report.load.queued == 0
                    && report.load.running == 0
            })
        })
    }

    fn is_stale(&self, service: &ServiceId, now: TimePoint) -> bool {
        self.state.read(|state| {
            let members = state.members().filter(|record| record.service == *service);
            let freshness = self.inputs.with(|inputs| inputs.freshness(members, now));
            freshness == Freshness::Stale
        })
    }

    /// Commits what has changed in a chain.
    async fn commit_advances(&self, plan_id: u64, chain: &PlanChain) {
        let advances = self.state.read(|state| {
            let plan = state.plan().filter(|plan| plan.plan_id == plan_id);
            plan.map_or_else(Vec::new, |plan| chain.advances(plan))
        });
        for (step, state) in advances {
            if !self.advance(plan_id, step, state).await {
                return;
            }
        }
        let undone = self.state.read(|state| {
            let plan = state.plan().filter(|plan| plan.plan_id == plan_id);
            plan.map_or_else(Vec::new, |plan| chain.undone(plan))
        });
        for step in undone {
            self.advance(plan_id, step, StepState::Undone).await;
        }
    }

    /// Commits the starts of the plan; the platform executor carries them out.
    async fn continue_starts(&self, plan_id: u64) {
        let steps: Vec<PlanStep> = self.state.read(|state| {
            let plan = state.plan().filter(|plan| plan.plan_id == plan_id);
            let steps = plan.into_iter().flat_map(|plan| plan.steps.clone());
            steps.filter(is_open_start).collect()
        });
        for step in steps {
            let PlanAction::Start {
                failure_domain,
                service,
            } = step.action
            else {
                continue;
            };
            let marker = format!("plan {plan_id} step {}: ", step.step);
            if step.state == StepState::Running {
                // Its result was lost with an earlier leader or an interrupted commit.
                let is_placed = self.state.read(|state| {
                    let mut intents = state.intents();
                    intents.any(|intent| intent.reason.starts_with(&marker))
                });
                let state = if is_placed {
                    StepState::Done
                } else {
                    StepState::Failed
                };
                self.advance(plan_id, step.step, state).await;
                continue;
            }
            if self.starts.is_none() {
                self.advance(plan_id, step.step, StepState::Cancelled).await;
                continue;
            }
            if !self.advance(plan_id, step.step, StepState::Running).await {
                return;
            }
            let mut reason = format!("{marker}{}", step.reason);
            reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
            let command = Command::PlaceStart {
                failure_domain,
                reason,
                service,
            };
            match self.replica.propose(command).await {
                CommandOutcome::IntentPlaced { .. } => {
                    self.metrics.count_plan_change("start");
                    self.advance(plan_id, step.step, StepState::Done).await;
                }
                CommandOutcome::Refused { reason } => {
                    note_refusal(&reason);
                    self.advance(plan_id, step.step, StepState::Failed).await;
                }
                // The next round, or a successor, looks for the intent.
                _ => return,
            }
        }
    }

    /// Makes a new plan if the time has come and something has to change.
    async fn make_plan(&mut self) {
        let now = self.time.now();
        let Some(progress) = &mut self.progress else {
            return;
        };
        if now < progress.next_plan_at {
            return;
        }
        progress.next_plan_at = now + self.settings.plan_interval;
        let (view, base_plan_id) = self.state.read(|state| {
            let plan_id = state.plan().map_or(0, |plan| plan.plan_id);
            (PlannerView::from(state), plan_id)
        });
        let planner = &mut self.planner;
        let has_platform = self.starts.is_some();
        let changes = self.inputs.with(|inputs| {
            inputs.expire(|upstream| view.has_member(upstream), now);
            planner.plan(&view, inputs, has_platform, now)
        });
        note_frozen(&mut progress.frozen, &changes);
        let steps = changes.steps();
        if steps.is_empty() {
            return;
        }
        let count = steps.len();
        let command = Command::PlacePlan {
            base_plan_id,
            steps,
        };
        match self.replica.propose(command).await {
            CommandOutcome::PlanPlaced { plan_id } => {
                let event = LogEvent::PlanCommitted.number();
                tracing::info!(
                    event,
                    plan = plan_id,
                    steps = count,
                    "capacity plan committed"
                );
            }
            CommandOutcome::Refused { reason } => note_refusal(&reason),
            _ => {}
        }
    }

    fn step_state(&self, plan_id: u64, step: u32) -> Option<StepState> {
        self.state.read(|state| {
            let plan = state.plan().filter(|plan| plan.plan_id == plan_id)?;
            let step = plan.steps.iter().find(|other| other.step == step)?;
            Some(step.state)
        })
    }

    /// Commits the state of a step; `false` if it is not committed.
    async fn advance(&self, plan_id: u64, step: u32, state: StepState) -> bool {
        let command = Command::AdvanceStep {
            plan_id,
            state,
            step,
        };
        match self.replica.propose(command).await {
            CommandOutcome::Accepted => {
                if !matches!(state, StepState::Pending | StepState::Running) {
                    let event = LogEvent::PlanStepFinished.number();
                    tracing::info!(event, plan = plan_id, step, state = %state, "step has ended");
                }
                true
            }
            CommandOutcome::Unchanged => true,
            CommandOutcome::Refused { reason } => {
                note_refusal(&reason);
                false
            }
            _ => false,
        }
    }
}

fn note_refusal(reason: &str) {
    let event = LogEvent::CapacityRefused.number();
    tracing::warn!(event, reason, "capacity change refused");
}

/// Logs services that became frozen.
fn note_frozen(known: &mut Vec<ServiceId>, changes: &PlannedChanges) {
    for service in changes.frozen.iter().filter(|one| !known.contains(one)) {
        let event = LogEvent::PlanFrozen.number();
        tracing::warn!(event, service = %**service, "reports are stale or missing");
    }
    known.clone_from(&changes.frozen);
}

fn is_open_start(step: &PlanStep) -> bool {
    let is_start = matches!(step.action, PlanAction::Start { .. });
    is_start && matches!(step.state, StepState::Pending | StepState::Running)
}

const fn is_in_flight(step: &oriolecrank_capacity::PlanStep) -> bool {
    matches!(
        step.state,
        ChangeState::Committed(_) | ChangeState::Unsettled(_)
    )
}

fn step_fence(
    step: &oriolecrank_capacity::PlanStep,
) -> Option<oriolecrank_schema::control::FencingNumber> {
    match &step.state {
        ChangeState::Committed(fence) | ChangeState::Unsettled(fence) => Some(fence.clone()),
        ChangeState::Pending | ChangeState::Done | ChangeState::Skipped => None,
    }
}
