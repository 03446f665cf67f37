//! Makes capacity plans and carries them out.
//!
//! A plan is committed first. Each step is committed as running before its order, start or stop is
//! committed; the order executor and the platform executor then carry these out. A new leader
//! resumes an unfinished plan. An order whose result is unknown is placed again, which is safe
//! because orders are idempotent. A committed start or stop is recorded as an intent. A start step
//! that is running but has no intent counts as failed, because placing the start again could start
//! a second upstream.

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
use crate::platform_executor::StartOutcomes;
use crate::shared_state::SharedState;
use crate::upstream_change::{UpstreamChange, is_plan_finished};

/// Interval at which the plan is continued or a new one is made.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Progress of the plan in one term.
#[derive(Debug)]
struct TermProgress {
    term: Term,
    /// Plan that `changes` belong to; 0 if no plan was loaded in this term.
    plan_id: u64,
    /// When this leader first saw the plan, by its own clock.
    plan_seen_at: TimePoint,
    changes: Vec<UpstreamChange>,
    next_plan_at: TimePoint,
    /// Services whose reports were stale or missing when a plan was last made.
    frozen: Vec<ServiceId>,
}

/// What to do with the next order of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepDecision {
    Place,
    Wait,
    /// Skip this step only.
    SkipStep,
    /// Skip all remaining steps of the change.
    SkipChange,
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
    /// Outcomes of starts; `None` without a platform, in which case only roles change.
    starts: Option<StartOutcomes>,
    metrics: ControlMetrics,
    settings: CapacitySettings,
    planner: CapacityPlanner,
    progress: Option<TermProgress>,
}

impl<R: CommandReplica, T: TimeSource> CapacityExecutor<R, T> {
    /// Creates an executor. It takes over the committed plan in its first round as leader.
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

    /// Runs a round at a fixed interval; never returns.
    pub async fn run(&mut self) {
        let mut ticks = interval(ROUND_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.round().await;
        }
    }

    /// Continues the current plan, or makes a new one if the current one is finished and the plan
    /// interval has passed. Does nothing while this instance does not lead.
    pub async fn round(&mut self) {
        let Some(permit) = self.guard.permit().await else {
            return;
        };
        self.enter_term(permit.term());
        self.apply_outcomes();
        let plan = self.state.read(|state| state.plan().cloned());
        if let Some(plan) = plan {
            self.load_plan(&plan);
            let progress = self.progress.as_mut();
            let mut changes =
                progress.map_or_else(Vec::new, |progress| std::mem::take(&mut progress.changes));
            for change in &mut changes {
                self.continue_change(plan.plan_id, change).await;
            }
            if let Some(progress) = &mut self.progress {
                progress.changes = changes;
            }
            self.continue_starts(plan.plan_id).await;
        }
        let is_finished = |plan: Option<&CapacityPlan>| plan.is_none_or(is_plan_finished);
        if self.state.read(|state| is_finished(state.plan())) {
            self.make_plan().await;
        }
    }

    fn enter_term(&mut self, term: Term) {
        if self
            .progress
            .as_ref()
            .is_some_and(|progress| progress.term == term)
        {
            return;
        }
        let now = self.time.now();
        let planner = &mut self.planner;
        let unfinished = self.state.read(|state| {
            planner.reset(state, now);
            let plan = state.plan().filter(|plan| !is_plan_finished(plan));
            plan.map(|plan| plan.plan_id)
        });
        if let Some(plan) = unfinished {
            let event = LogEvent::PlanResumed.number();
            tracing::info!(
                event,
                plan,
                "new leader resumes the unfinished capacity plan"
            );
        }
        self.progress = Some(TermProgress {
            term,
            plan_id: 0,
            plan_seen_at: now,
            changes: Vec::new(),
            next_plan_at: now + self.settings.warm_up,
            frozen: Vec::new(),
        });
    }

    /// Applies the outcomes of orders and starts that have arrived since the last round.
    fn apply_outcomes(&mut self) {
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
            let changes = progress.changes.iter_mut();
            for change in changes.filter(|change| change.upstream == outcome.upstream) {
                // Fails for orders of operators or of earlier plans, which are not part of the
                // change.
                let _ = change
                    .order_plan
                    .record_result(&outcome.fence, outcome.result);
            }
        }
    }

    /// Builds the changes of a plan that this leader has not seen before.
    fn load_plan(&mut self, plan: &CapacityPlan) {
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
        progress.plan_seen_at = now;
        progress.changes = UpstreamChange::from_plan(plan, &in_flight);
    }

    async fn continue_change(&self, plan_id: u64, change: &mut UpstreamChange) {
        let upstream = change.upstream.clone();
        let now = self.time.now();
        let (record, order) = self.state.read(|state| {
            let mut orders = state.orders_in_flight();
            let order = orders.find(|order| order.upstream == upstream);
            (state.member(&upstream).cloned(), order.cloned())
        });
        self.apply_membership(change, record.as_ref(), now);
        if !self.continue_stop(plan_id, change, record.as_ref()).await {
            self.continue_order(plan_id, change, record.as_ref(), order.as_ref())
                .await;
        }
        self.commit_progress(plan_id, change).await;
    }

    /// Adapts a change to an upstream that has crashed or left.
    fn apply_membership(
        &self,
        change: &mut UpstreamChange,
        record: Option<&UpstreamRecord>,
        now: TimePoint,
    ) {
        let Some(record) = record else {
            let since = *change.absent_since.get_or_insert(now);
            let in_flight = change.current().is_some_and(is_in_flight);
            if now.since(since) >= self.settings.rejoin_timeout && !in_flight {
                change.skip_all();
            }
            return;
        };
        change.absent_since = None;
        let known = change.incarnation.replace(record.incarnation);
        if known.is_some_and(|known| known < record.incarnation) {
            change
                .order_plan
                .record_engine_crash(&record.upstream, record.role);
        }
    }

    /// Commits the stop of an upstream that is drained and idle. Returns `true` if no order of the
    /// change may be placed in this round, because the drained upstream is not idle yet or the stop
    /// was just attempted.
    async fn continue_stop(
        &self,
        plan_id: u64,
        change: &mut UpstreamChange,
        record: Option<&UpstreamRecord>,
    ) -> bool {
        let Some(step) = change.stop_step else {
            return false;
        };
        let Some(state) = self.step_state(plan_id, step) else {
            return false;
        };
        match state {
            StepState::Done => {
                change.skip_all();
                return false;
            }
            StepState::Pending | StepState::Running => {}
            StepState::Failed | StepState::Undone | StepState::Cancelled => return false,
        }
        if !change.is_drained() {
            // An upstream is not stopped without a drain. The drain may still be in progress.
            if state == StepState::Pending && change.current().is_none() {
                self.commit_step_state(plan_id, step, StepState::Cancelled)
                    .await;
            }
            return false;
        }
        let now = self.time.now();
        let drained_for = change.drained_for(now);
        let is_idle = record.is_none_or(|record| self.is_idle(change, record));
        let timeout = self.settings.stop_drain_timeout;
        let timeout = record.map_or(timeout, |record| self.drain_timeout(record, timeout));
        let is_abandoned = self.starts.is_none() || drained_for >= timeout;
        if state == StepState::Pending && is_abandoned && !(is_idle && self.starts.is_some()) {
            self.commit_step_state(plan_id, step, StepState::Cancelled)
                .await;
            return false;
        }
        if state == StepState::Pending && !is_idle {
            return true;
        }
        if state == StepState::Pending
            && !self
                .commit_step_state(plan_id, step, StepState::Running)
                .await
        {
            return true;
        }
        let command = Command::PlaceStop {
            reason: change.order_plan.reason.clone(),
            upstream: change.upstream.clone(),
        };
        match self.replica.propose(command).await {
            CommandOutcome::IntentPlaced { .. } => {
                self.metrics.count_plan_change("stop");
                self.commit_step_state(plan_id, step, StepState::Done).await;
                change.skip_all();
            }
            CommandOutcome::Refused { reason } => {
                log_refusal(&reason);
                self.commit_step_state(plan_id, step, StepState::Failed)
                    .await;
            }
            _ => {}
        }
        true
    }

    async fn continue_order(
        &self,
        plan_id: u64,
        change: &mut UpstreamChange,
        record: Option<&UpstreamRecord>,
        order: Option<&EngineOrder>,
    ) {
        match change.order_plan.next_action() {
            NextAction::Finished => {}
            NextAction::Wait | NextAction::Settle { .. } => {
                let now = self.time.now();
                let fence = change.current().and_then(step_fence);
                if order.map(|order| &order.fence) == fence.as_ref() {
                    change.result_missing_since = None;
                    return;
                }
                let since = *change.result_missing_since.get_or_insert(now);
                if now.since(since) >= self.settings.result_timeout {
                    change.result_missing_since = None;
                    change.retry_current(record.map(|record| record.role));
                }
            }
            NextAction::Place(command) => {
                let Some(record) = record else {
                    return;
                };
                match self.decide_step(change, record) {
                    StepDecision::Place => self.place(plan_id, change, command).await,
                    StepDecision::Wait => {}
                    StepDecision::SkipStep => change.skip_current(),
                    StepDecision::SkipChange => change.skip_all(),
                }
            }
        }
    }

    /// Decides whether the next order may be placed now.
    fn decide_step(&self, change: &mut UpstreamChange, record: &UpstreamRecord) -> StepDecision {
        let now = self.time.now();
        let Some(action) = change.current().map(|step| step.action.clone()) else {
            return StepDecision::Wait;
        };
        match action {
            OrderAction::Drain => {
                let seen = self.progress.as_ref().map(|progress| progress.plan_seen_at);
                let too_late =
                    seen.is_none_or(|seen| now.since(seen) >= self.settings.begin_timeout);
                let lacks_platform = change.stop_step.is_some() && self.starts.is_none();
                let is_last = self.state.read(|state| is_last_capable(record, state));
                if too_late || lacks_platform || is_last {
                    return StepDecision::SkipChange;
                }
                if self.is_stale(&record.service, now) {
                    return StepDecision::Wait;
                }
                StepDecision::Place
            }
            OrderAction::ChangeRole { .. } | OrderAction::LoadModel { .. } => {
                let drained_for = change.drained_for(now);
                let timeout = self.drain_timeout(record, self.settings.role_drain_timeout);
                if self.is_idle(change, record) {
                    StepDecision::Place
                } else if drained_for >= timeout {
                    StepDecision::SkipStep
                } else {
                    StepDecision::Wait
                }
            }
            OrderAction::Undrain
            | OrderAction::LoadAdapter { .. }
            | OrderAction::ExportCache { .. } => StepDecision::Place,
        }
    }

    async fn place(&self, plan_id: u64, change: &mut UpstreamChange, command: Command) {
        let position = change
            .order_plan
            .steps
            .iter()
            .position(|step| step.state == ChangeState::Pending);
        let step = position.and_then(|position| change.step_numbers.get(position));
        let Some(step) = step.copied() else {
            return;
        };
        let is_pending = self.step_state(plan_id, step) == Some(StepState::Pending);
        if is_pending
            && !self
                .commit_step_state(plan_id, step, StepState::Running)
                .await
        {
            return;
        }
        match self.replica.propose(command).await {
            CommandOutcome::OrderPlaced { order } => {
                if matches!(order.action, OrderAction::ChangeRole { .. }) {
                    self.metrics.count_plan_change("role");
                }
                // Cannot fail, because the step is pending.
                let _ = change.order_plan.record_commit(order.fence);
            }
            CommandOutcome::Refused { reason } => log_refusal(&reason),
            // Another order is in flight, or this instance no longer leads. The next round retries.
            _ => {}
        }
    }

    /// Timeout of a drain: [`CapacitySettings::drain_visible_timeout`] for an upstream that is
    /// still announced as ready, otherwise `timeout`.
    fn drain_timeout(&self, record: &UpstreamRecord, timeout: Duration) -> Duration {
        if record.phase == UpstreamPhase::Ready {
            return self.settings.drain_visible_timeout;
        }
        timeout
    }

    /// Whether a drained upstream accepts no work and has reported, since the drain, that it has no
    /// queued or running requests.
    fn is_idle(&self, change: &UpstreamChange, record: &UpstreamRecord) -> bool {
        let Some(drained_at) = change.drained_at else {
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

    /// Commits the step states that differ from the committed plan.
    async fn commit_progress(&self, plan_id: u64, change: &UpstreamChange) {
        let states = self.state.read(|state| {
            let plan = state.plan().filter(|plan| plan.plan_id == plan_id);
            plan.map_or_else(Vec::new, |plan| change.uncommitted_states(plan))
        });
        for (step, state) in states {
            if !self.commit_step_state(plan_id, step, state).await {
                return;
            }
        }
        let undone = self.state.read(|state| {
            let plan = state.plan().filter(|plan| plan.plan_id == plan_id);
            plan.map_or_else(Vec::new, |plan| change.undone_steps(plan))
        });
        for step in undone {
            self.commit_step_state(plan_id, step, StepState::Undone)
                .await;
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
            let reason_prefix = format!("plan {plan_id} step {}: ", step.step);
            if step.state == StepState::Running {
                // An earlier leader ended, or a commit was interrupted, before the result was
                // committed.
                let is_placed = self.state.read(|state| {
                    let mut intents = state.intents();
                    intents.any(|intent| intent.reason.starts_with(&reason_prefix))
                });
                let state = if is_placed {
                    StepState::Done
                } else {
                    StepState::Failed
                };
                self.commit_step_state(plan_id, step.step, state).await;
                continue;
            }
            if self.starts.is_none() {
                self.commit_step_state(plan_id, step.step, StepState::Cancelled)
                    .await;
                continue;
            }
            if !self
                .commit_step_state(plan_id, step.step, StepState::Running)
                .await
            {
                return;
            }
            let mut reason = format!("{reason_prefix}{}", step.reason);
            reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
            let command = Command::PlaceStart {
                failure_domain,
                reason,
                service,
            };
            match self.replica.propose(command).await {
                CommandOutcome::IntentPlaced { .. } => {
                    self.metrics.count_plan_change("start");
                    self.commit_step_state(plan_id, step.step, StepState::Done)
                        .await;
                }
                CommandOutcome::Refused { reason } => {
                    log_refusal(&reason);
                    self.commit_step_state(plan_id, step.step, StepState::Failed)
                        .await;
                }
                // The start may have been committed. The next round, or a new leader, looks for its
                // intent.
                _ => return,
            }
        }
    }

    /// Commits a new plan if the plan interval has passed and something has to change.
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
        log_frozen(&mut progress.frozen, &changes);
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
            CommandOutcome::Refused { reason } => log_refusal(&reason),
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

    /// Commits the state of a step. Returns `false` if it was refused or may not be committed.
    async fn commit_step_state(&self, plan_id: u64, step: u32, state: StepState) -> bool {
        let command = Command::AdvanceStep {
            plan_id,
            state,
            step,
        };
        match self.replica.propose(command).await {
            CommandOutcome::Accepted => {
                if !matches!(state, StepState::Pending | StepState::Running) {
                    let event = LogEvent::PlanStepFinished.number();
                    tracing::info!(
                        event,
                        plan = plan_id,
                        step,
                        state = %state,
                        "step of the capacity plan has ended"
                    );
                }
                true
            }
            CommandOutcome::Unchanged => true,
            CommandOutcome::Refused { reason } => {
                log_refusal(&reason);
                false
            }
            _ => false,
        }
    }
}

fn log_refusal(reason: &str) {
    let event = LogEvent::CapacityRefused.number();
    tracing::warn!(
        event,
        reason,
        "capacity change refused by the replicated state"
    );
}

/// Logs services whose reports have become stale since the last plan.
fn log_frozen(known: &mut Vec<ServiceId>, changes: &PlannedChanges) {
    for service in changes
        .frozen
        .iter()
        .filter(|service| !known.contains(service))
    {
        let event = LogEvent::PlanFrozen.number();
        tracing::warn!(
            event,
            service = %**service,
            "demand or load reports are stale or missing; no changes are planned for the service"
        );
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
