//! The steps of a committed plan that belong to one upstream.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_capacity::{ChangePlan, PlanId, PlanStep as ChangeStep, StepState as ChangeState};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{
    CapacityPlan, EngineOrder, OrderAction, PlanAction, StepState, UpstreamRole,
};
use oriolecrank_schema::document::UpstreamId;

/// Orders for one upstream, and its stop if it is drained for one.
#[derive(Debug, Clone)]
pub struct PlanChain {
    /// Upstream that changes.
    pub upstream: UpstreamId,
    /// Progress of the orders.
    pub change: ChangePlan,
    /// Numbers of the orders in the committed plan, in the order of the steps of `change`.
    pub numbers: Vec<u32>,
    /// Number of the stop in the committed plan.
    pub stop: Option<u32>,
    /// Incarnation of the agent when the chain was last continued; a newer one means a crash.
    pub incarnation: Option<u64>,
    /// When the drain was first seen as done by this leader.
    pub drained_at: Option<TimePoint>,
    /// Since when the upstream is not a member.
    pub absent_since: Option<TimePoint>,
    /// Since when the order of the current step is no longer in flight while its result is missing.
    pub settled_since: Option<TimePoint>,
}

impl PlanChain {
    /// Chains of a committed plan, in the order of their first steps. Orders of an earlier leader are
    /// resumed: one in flight has to be settled, one that was not committed is placed.
    pub fn of_plan(plan: &CapacityPlan, in_flight: &[EngineOrder]) -> Vec<Self> {
        let mut chains: IndexMap<&UpstreamId, Self> = IndexMap::new();
        for step in &plan.steps {
            let (upstream, action) = match &step.action {
                PlanAction::Order { action, upstream } => (upstream, Some(action)),
                PlanAction::Stop { upstream } => (upstream, None),
                PlanAction::Start { .. } => continue,
            };
            let chain = chains.entry(upstream).or_insert_with(|| Self {
                upstream: upstream.clone(),
                change: ChangePlan {
                    id: PlanId(plan.plan_id),
                    reason: step.reason.clone(),
                    original_role: None,
                    steps: Vec::new(),
                },
                numbers: Vec::new(),
                stop: None,
                incarnation: None,
                drained_at: None,
                absent_since: None,
                settled_since: None,
            });
            let Some(action) = action else {
                chain.stop = Some(step.step);
                continue;
            };
            chain.numbers.push(step.step);
            chain.change.steps.push(ChangeStep {
                upstream: upstream.clone(),
                action: action.clone(),
                state: resumed_state(step.state, upstream, action, in_flight),
            });
        }
        chains.into_values().collect()
    }

    /// The step that is next or running.
    pub fn current(&self) -> Option<&ChangeStep> {
        let is_over =
            |step: &&ChangeStep| !matches!(step.state, ChangeState::Done | ChangeState::Skipped);
        self.change.steps.iter().find(is_over)
    }

    /// Skips the step that is next or running.
    pub fn skip_current(&mut self) {
        let is_over =
            |step: &ChangeStep| matches!(step.state, ChangeState::Done | ChangeState::Skipped);
        let current = self.change.steps.iter_mut().find(|step| !is_over(step));
        if let Some(step) = current {
            step.state = ChangeState::Skipped;
        }
    }

    /// Skips all steps that are not over.
    pub fn skip_all(&mut self) {
        while self.current().is_some() {
            self.skip_current();
        }
    }

    /// Places the step in flight again, because its result is not known to this leader and the order
    /// is no longer in flight. Each order sets a state, so that a repetition does no harm; a role
    /// that is announced already counts as done.
    pub fn repeat_current(&mut self, role: Option<UpstreamRole>) {
        let is_over =
            |step: &ChangeStep| matches!(step.state, ChangeState::Done | ChangeState::Skipped);
        let Some(step) = self.change.steps.iter_mut().find(|step| !is_over(step)) else {
            return;
        };
        step.state = match &step.action {
            OrderAction::ChangeRole { role: wanted } if role == Some(*wanted) => ChangeState::Done,
            _ => ChangeState::Pending,
        };
    }

    /// Whether the upstream was drained by this chain and is to take work again.
    pub fn is_drained(&self) -> bool {
        let mut steps = self.change.steps.iter();
        steps.any(|step| step.action == OrderAction::Drain && step.state == ChangeState::Done)
    }

    /// How long the upstream has been drained, by the clock of this leader.
    pub fn drained_for(&mut self, now: TimePoint) -> Duration {
        now.since(*self.drained_at.get_or_insert(now))
    }

    /// Step states that have to be committed, in order: step numbers and states.
    pub fn advances(&self, plan: &CapacityPlan) -> Vec<(u32, StepState)> {
        let mut advances = Vec::new();
        for (number, step) in self.numbers.iter().zip(&self.change.steps) {
            let committed = plan.steps.iter().find(|other| other.step == *number);
            let Some(committed) = committed.map(|step| step.state) else {
                continue;
            };
            let states = advance(committed, &step.state);
            advances.extend(states.iter().map(|state| (*number, *state)));
        }
        advances
    }

    /// Steps that failed and whose change was undone by the last step.
    pub fn undone(&self, plan: &CapacityPlan) -> Vec<u32> {
        let is_undrained = self
            .change
            .steps
            .iter()
            .any(|step| step.action == OrderAction::Undrain && step.state == ChangeState::Done);
        let failed = |number: &&u32| {
            let mut steps = plan.steps.iter();
            steps.any(|step| step.step == **number && step.state == StepState::Failed)
        };
        let failed = self.numbers.iter().filter(failed);
        failed.filter(|_| is_undrained).copied().collect()
    }
}

/// Whether every step of a plan has ended.
pub fn is_plan_over(plan: &CapacityPlan) -> bool {
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

/// States that lead from the committed one to the present one.
const fn advance(committed: StepState, present: &ChangeState) -> &'static [StepState] {
    match (committed, present) {
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
