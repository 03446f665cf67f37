//! The newest capacity plan and the progress of its steps.

use oriolecrank_schema::control::{CapacityPlan, PlanStep, StepState};
use serde::{Deserialize, Serialize};

use super::upstream_table::SettleEffect;

/// Maximum number of steps of a plan.
pub const MAX_PLAN_STEPS: usize = 256;

/// The newest plan; earlier plans are not stored.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct PlanTable {
    plan: Option<CapacityPlan>,
}

impl PlanTable {
    pub(crate) fn plan(&self) -> Option<&CapacityPlan> {
        self.plan.as_ref()
    }

    /// Id of the newest plan, 0 if there is none.
    pub(crate) fn newest_id(&self) -> u64 {
        self.plan.as_ref().map_or(0, |plan| plan.plan_id)
    }

    /// Replaces the plan `base_plan_id`, unless a step of that plan is running, and returns the id
    /// of the new plan.
    pub(crate) fn place(
        &mut self,
        base_plan_id: u64,
        steps: &[PlanStep],
        now_ms: u64,
    ) -> Result<u64, &'static str> {
        if base_plan_id != self.newest_id() {
            return Err("a newer plan is committed");
        }
        if steps.len() > MAX_PLAN_STEPS {
            return Err("the plan has too many steps");
        }
        if self.has_running_step() {
            return Err("a step of the current plan is running");
        }
        let is_valid = |(position, step): (usize, &PlanStep)| {
            step.step as usize == position + 1 && step.state == StepState::Pending
        };
        if !steps.iter().enumerate().all(is_valid) {
            return Err("steps are numbered from 1 and pending");
        }
        let plan_id = base_plan_id + 1;
        self.plan = Some(CapacityPlan {
            placed_ms: now_ms,
            plan_id,
            steps: steps.to_vec(),
        });
        Ok(plan_id)
    }

    /// Records the state of a step; a step of an earlier plan is ignored.
    pub(crate) fn advance(&mut self, plan_id: u64, step: u32, state: StepState) -> SettleEffect {
        if plan_id > self.newest_id() {
            return SettleEffect::Refused("no plan has this number");
        }
        let plan = self.plan.as_mut().filter(|plan| plan.plan_id == plan_id);
        let Some(plan) = plan else {
            return SettleEffect::Unchanged;
        };
        let Some(step) = plan.steps.iter_mut().find(|other| other.step == step) else {
            return SettleEffect::Refused("the plan has no such step");
        };
        if step.state == state {
            return SettleEffect::Unchanged;
        }
        if !may_follow(step.state, state) {
            return SettleEffect::Refused("the step cannot change to this state");
        }
        step.state = state;
        SettleEffect::Settled
    }

    fn has_running_step(&self) -> bool {
        let mut steps = self.plan.iter().flat_map(|plan| &plan.steps);
        steps.any(|step| step.state == StepState::Running)
    }
}

/// Whether a step may change from one state to another.
///
/// A failed step can still be undone; done, undone and cancelled are final states.
fn may_follow(before: StepState, after: StepState) -> bool {
    match before {
        StepState::Pending => matches!(after, StepState::Running | StepState::Cancelled),
        StepState::Running => {
            matches!(
                after,
                StepState::Done | StepState::Failed | StepState::Undone
            )
        }
        StepState::Failed => after == StepState::Undone,
        StepState::Done | StepState::Undone | StepState::Cancelled => false,
    }
}
