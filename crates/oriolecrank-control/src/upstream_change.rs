//! Progress of the steps of a committed plan that change one upstream.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_capacity::{ChangePlan, PlanId, PlanStep as ChangeStep, StepState as ChangeState};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{
    CapacityPlan, EngineOrder, OrderAction, PlanAction, StepState, UpstreamRole,
};
use oriolecrank_schema::document::UpstreamId;

/// The orders of a plan for one upstream and, if the plan stops it, the stop.
#[derive(Debug, Clone)]
pub struct UpstreamChange {
    /// Upstream that is changed.
    pub upstream: UpstreamId,
    /// Progress of the orders.
    pub order_plan: ChangePlan,
    /// Numbers of these orders in the committed plan, parallel to `order_plan.steps`.
    pub step_numbers: Vec<u32>,
    /// Number of the stop in the committed plan; `None` if the upstream is not to be stopped.
    pub stop_step: Option<u32>,
    /// Incarnation of the agent when the change was last continued; a newer one means a crash.
    pub incarnation: Option<u64>,
    /// When this leader first saw that the drain was done.
    pub drained_at: Option<TimePoint>,
    /// Since when the upstream has not been a member; `None` while it is one.
    pub absent_since: Option<TimePoint>,
    /// Since when the placed order of the current step is not in flight, although its result is not
    /// known; `None` otherwise.
    pub result_missing_since: Option<TimePoint>,
}

impl UpstreamChange {
    /// Returns the changes of a committed plan, in the order of their first steps. Orders of an
    /// earlier leader are resumed: the result of one in flight must be determined, and one that is
    /// no longer in flight and has no result is placed again.
    pub fn from_plan(plan: &CapacityPlan, in_flight: &[EngineOrder]) -> Vec<Self> {
        let mut changes: IndexMap<&UpstreamId, Self> = IndexMap::new();
        for step in &plan.steps {
            let (upstream, action) = match &step.action {
                PlanAction::Order { action, upstream } => (upstream, Some(action)),
                PlanAction::Stop { upstream } => (upstream, None),
                PlanAction::Start { .. } => continue,
            };
            let change = changes.entry(upstream).or_insert_with(|| Self {
                upstream: upstream.clone(),
                order_plan: ChangePlan {
                    id: PlanId(plan.plan_id),
                    reason: step.reason.clone(),
                    original_role: None,
                    steps: Vec::new(),
                },
                step_numbers: Vec::new(),
                stop_step: None,
                incarnation: None,
                drained_at: None,
                absent_since: None,
                result_missing_since: None,
            });
            let Some(action) = action else {
                change.stop_step = Some(step.step);
                continue;
            };
            change.step_numbers.push(step.step);
            change.order_plan.steps.push(ChangeStep {
                upstream: upstream.clone(),
                action: action.clone(),
                state: resumed_state(step.state, upstream, action, in_flight),
            });
        }
        changes.into_values().collect()
    }

    /// The step that is next or running; `None` if all steps have ended.
    pub fn current(&self) -> Option<&ChangeStep> {
        let is_open =
            |step: &&ChangeStep| !matches!(step.state, ChangeState::Done | ChangeState::Skipped);
        self.order_plan.steps.iter().find(is_open)
    }

    /// Skips the step that is next or running.
    pub fn skip_current(&mut self) {
        let has_ended =
            |step: &ChangeStep| matches!(step.state, ChangeState::Done | ChangeState::Skipped);
        let current = self
            .order_plan
            .steps
            .iter_mut()
            .find(|step| !has_ended(step));
        if let Some(step) = current {
            step.state = ChangeState::Skipped;
        }
    }

    /// Skips all steps that have not ended.
    pub fn skip_all(&mut self) {
        while self.current().is_some() {
            self.skip_current();
        }
    }

    /// Sets the current step back to pending, because its order is no longer in flight and this
    /// leader does not know the result. Orders are idempotent, so repeating one does no harm. A
    /// role change is done if `role`, the announced role, is already the wanted one.
    pub fn retry_current(&mut self, role: Option<UpstreamRole>) {
        let has_ended =
            |step: &ChangeStep| matches!(step.state, ChangeState::Done | ChangeState::Skipped);
        let Some(step) = self
            .order_plan
            .steps
            .iter_mut()
            .find(|step| !has_ended(step))
        else {
            return;
        };
        step.state = match &step.action {
            OrderAction::ChangeRole { role: wanted } if role == Some(*wanted) => ChangeState::Done,
            _ => ChangeState::Pending,
        };
    }

    /// Whether the drain of this change was carried out.
    pub fn is_drained(&self) -> bool {
        let mut steps = self.order_plan.steps.iter();
        steps.any(|step| step.action == OrderAction::Drain && step.state == ChangeState::Done)
    }

    /// How long the upstream has been drained, counted from the first call by this leader.
    pub fn drained_for(&mut self, now: TimePoint) -> Duration {
        now.since(*self.drained_at.get_or_insert(now))
    }

    /// Step numbers and states that have to be committed, in this order, to bring `plan` up to
    /// date.
    pub fn uncommitted_states(&self, plan: &CapacityPlan) -> Vec<(u32, StepState)> {
        let mut uncommitted = Vec::new();
        for (number, step) in self.step_numbers.iter().zip(&self.order_plan.steps) {
            let committed = plan.steps.iter().find(|other| other.step == *number);
            let Some(committed) = committed.map(|step| step.state) else {
                continue;
            };
            let states = states_between(committed, &step.state);
            uncommitted.extend(states.iter().map(|state| (*number, *state)));
        }
        uncommitted
    }

    /// Numbers of the failed steps, if an undrain is done and the upstream takes work again;
    /// otherwise none.
    pub fn undone_steps(&self, plan: &CapacityPlan) -> Vec<u32> {
        let is_undrained = self
            .order_plan
            .steps
            .iter()
            .any(|step| step.action == OrderAction::Undrain && step.state == ChangeState::Done);
        let failed = |number: &&u32| {
            let mut steps = plan.steps.iter();
            steps.any(|step| step.step == **number && step.state == StepState::Failed)
        };
        let failed = self.step_numbers.iter().filter(failed);
        failed.filter(|_| is_undrained).copied().collect()
    }
}

/// Whether all steps of a plan have ended.
pub fn is_plan_finished(plan: &CapacityPlan) -> bool {
    let is_open = |state| matches!(state, StepState::Pending | StepState::Running);
    !plan.steps.iter().any(|step| is_open(step.state))
}

fn resumed_state(
    committed: StepState,
    upstream: &UpstreamId,
    action: &OrderAction,
    in_flight: &[EngineOrder],
) -> ChangeState {
    match committed {
        StepState::Pending => ChangeState::Pending,
        StepState::Running => {
            let order = in_flight
                .iter()
                .find(|order| order.upstream == *upstream && order.action == *action);
            order.map_or(ChangeState::Pending, |order| {
                ChangeState::Unsettled(order.fence.clone())
            })
        }
        StepState::Done => ChangeState::Done,
        StepState::Failed | StepState::Undone | StepState::Cancelled => ChangeState::Skipped,
    }
}

/// States to commit, in this order, so that the committed state reaches the current one. A step is
/// committed as running before it is committed as done.
const fn states_between(committed: StepState, current: &ChangeState) -> &'static [StepState] {
    match (committed, current) {
        (StepState::Pending, ChangeState::Committed(_) | ChangeState::Unsettled(_)) => {
            &[StepState::Running]
        }
        (StepState::Pending, ChangeState::Done) => &[StepState::Running, StepState::Done],
        (StepState::Pending, ChangeState::Skipped) => &[StepState::Cancelled],
        (StepState::Running, ChangeState::Done) => &[StepState::Done],
        (StepState::Running, ChangeState::Skipped) => &[StepState::Failed],
        _ => &[],
    }
}
