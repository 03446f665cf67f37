//! Step-by-step plan of a change, which can be resumed after a leader change or an engine crash.

use oriolecrank_schema::control::{Command, FencingNumber, OrderAction, OrderResult, UpstreamRole};
use oriolecrank_schema::document::UpstreamId;
use snafu::Snafu;

use crate::RoleChange;

/// Identifier of a [`ChangePlan`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PlanId(pub u64);

/// State of a [`PlanStep`].
#[derive(Debug, Clone, PartialEq)]
pub enum StepState {
    /// The order is not committed yet.
    Pending,
    /// The order is committed and may have reached the engine.
    Committed(FencingNumber),
    /// The result of the order is unknown; it must be determined before anything else is sent.
    Unsettled(FencingNumber),
    /// The engine carried out the order.
    Done,
    /// The order was refused, failed or is no longer needed.
    Skipped,
}

/// One step of a plan, which is carried out by one order.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanStep {
    /// Upstream that receives the order.
    pub upstream: UpstreamId,
    /// Action that the order requests.
    pub action: OrderAction,
    /// Progress of the step.
    pub state: StepState,
}

/// Next action for a plan.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanAction {
    /// Commit this command, then send the order.
    Place(Command),
    /// Determine the result of the order, by reading the engine's state or by sending the order
    /// again with the same fencing number.
    Settle {
        /// Upstream that the order was sent to.
        upstream: UpstreamId,
        /// Fencing number of the order.
        fence: FencingNumber,
    },
    /// Wait for the result of the order in flight.
    Wait,
    /// Nothing is left to do.
    Finished,
}

/// Error of a commit or result that does not match the current step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum PlanError {
    /// No order with this fencing number is in flight, so the result is old or repeated; or the
    /// current step is not pending, so no order can be committed for it.
    #[snafu(display("no order with this fencing number is in flight, or the step is not pending"))]
    NotInFlight,
}

/// Steps for one upstream, carried out in order.
///
/// Invariant: at most one step is committed or unsettled, and all steps before it are done or
/// skipped. A plan is committed before its first order, so that a new leader can resume it from the
/// recorded states.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangePlan {
    /// Identifier of the plan.
    pub id: PlanId,
    /// Reason recorded with each order.
    pub reason: String,
    /// Role before the change; `None` if unknown or if the plan changes no role.
    pub original_role: Option<UpstreamRole>,
    /// Steps in the order in which they are carried out.
    pub steps: Vec<PlanStep>,
}

impl ChangePlan {
    /// Creates a plan for a role change: export the cache if `export` is given, drain, change the
    /// role, undrain.
    pub fn role_change(id: PlanId, change: &RoleChange, export: Option<OrderAction>) -> Self {
        let role = OrderAction::ChangeRole { role: change.to };
        let actions = export
            .into_iter()
            .chain([OrderAction::Drain, role, OrderAction::Undrain]);
        Self {
            id,
            reason: format!("role {} replaces {}", change.to, change.from),
            original_role: Some(change.from),
            steps: pending_steps(&change.upstream, actions),
        }
    }

    /// Creates a plan for the drain before a stop: export the cache if `export` is given, then
    /// drain.
    pub fn drain(id: PlanId, upstream: &UpstreamId, export: Option<OrderAction>) -> Self {
        let actions = export.into_iter().chain([OrderAction::Drain]);
        Self {
            id,
            reason: "the upstream is drained before it stops".to_owned(),
            original_role: None,
            steps: pending_steps(upstream, actions),
        }
    }

    /// Returns the next action.
    pub fn next_action(&self) -> PlanAction {
        let Some(step) = self.current() else {
            return PlanAction::Finished;
        };
        match &step.state {
            StepState::Pending => PlanAction::Place(Command::PlaceOrder {
                upstream: step.upstream.clone(),
                action: step.action.clone(),
                reason: self.reason.clone(),
            }),
            StepState::Unsettled(fence) => PlanAction::Settle {
                upstream: step.upstream.clone(),
                fence: fence.clone(),
            },
            StepState::Committed(_) => PlanAction::Wait,
            StepState::Done | StepState::Skipped => PlanAction::Finished,
        }
    }

    /// Records that the order of the current step is committed. Fails unless the step is pending.
    pub fn record_commit(&mut self, fence: FencingNumber) -> Result<(), PlanError> {
        let step = self.current_mut().ok_or(PlanError::NotInFlight)?;
        if step.state != StepState::Pending {
            return Err(PlanError::NotInFlight);
        }
        step.state = StepState::Committed(fence);
        Ok(())
    }

    /// Records the result of the order in flight. A failed or refused order ends the change, unless
    /// it is an export; a drained engine is then still undrained.
    pub fn record_result(
        &mut self,
        fence: &FencingNumber,
        result: OrderResult,
    ) -> Result<(), PlanError> {
        let step = self.current_mut().ok_or(PlanError::NotInFlight)?;
        if in_flight_fence(step) != Some(fence) {
            return Err(PlanError::NotInFlight);
        }
        match result {
            OrderResult::Done => step.state = StepState::Done,
            OrderResult::Unknown => step.state = StepState::Unsettled(fence.clone()),
            OrderResult::Refused | OrderResult::Failed => {
                step.state = StepState::Skipped;
                let is_export = matches!(step.action, OrderAction::ExportCache { .. });
                // Without the export the change is still correct, only the cache starts cold.
                if !is_export {
                    self.abandon();
                }
            }
        }
        Ok(())
    }

    /// Returns the plan for a new leader: an order in flight becomes unsettled, because its result
    /// was sent to the old leader.
    #[must_use]
    pub fn resumed(mut self) -> Self {
        if let Some(step) = self.current_mut()
            && let Some(fence) = in_flight_fence(step).cloned()
        {
            step.state = StepState::Unsettled(fence);
        }
        self
    }

    /// Adjusts the plan after the engine of `upstream` crashed and announced itself again with
    /// `role`.
    ///
    /// A restarted engine has no requests and no cache, so it needs no drain and no export. The
    /// role change is done if the engine has the target role; otherwise it is abandoned, and a
    /// drained engine is undrained with the role that it has.
    pub fn record_engine_crash(&mut self, upstream: &UpstreamId, role: UpstreamRole) {
        if self.exports_to(upstream) {
            self.skip_exports();
            return;
        }
        if !self.steps.iter().any(|step| step.upstream == *upstream) {
            return;
        }
        let drained = self.was_sent(&OrderAction::Drain);
        let target_role = self.target_role();
        for step in &mut self.steps {
            if step.state == StepState::Done {
                continue;
            }
            let is_undrain = step.action == OrderAction::Undrain;
            let has_order_in_flight = in_flight_fence(step).is_some();
            step.state = match (&step.action, target_role) {
                (OrderAction::ChangeRole { .. }, Some(target_role)) if target_role == role => {
                    StepState::Done
                }
                // The order may still reach the engine, so its result must be determined first.
                _ if has_order_in_flight => unsettled_state(step),
                _ if is_undrain && drained => StepState::Pending,
                _ => StepState::Skipped,
            };
        }
    }

    /// Whether all steps are done; exports may also be skipped.
    pub fn is_complete(&self) -> bool {
        self.current().is_none()
            && self.steps.iter().all(|step| {
                step.state == StepState::Done
                    || matches!(step.action, OrderAction::ExportCache { .. })
            })
    }

    /// Whether all steps are done or skipped.
    pub fn is_finished(&self) -> bool {
        self.current().is_none()
    }

    fn current(&self) -> Option<&PlanStep> {
        self.steps.iter().find(|step| !is_over(step))
    }

    fn current_mut(&mut self) -> Option<&mut PlanStep> {
        self.steps.iter_mut().find(|step| !is_over(step))
    }

    /// Skips the remaining steps, except the undrain of an engine that was or may have been
    /// drained.
    fn abandon(&mut self) {
        let drained = self.was_sent(&OrderAction::Drain);
        for step in self.steps.iter_mut().filter(|step| !is_over(step)) {
            if step.action != OrderAction::Undrain || !drained {
                step.state = StepState::Skipped;
            }
        }
    }

    fn was_sent(&self, action: &OrderAction) -> bool {
        let sent =
            |step: &&PlanStep| !matches!(step.state, StepState::Pending | StepState::Skipped);
        let mut steps = self.steps.iter().filter(sent);
        steps.any(|step| step.action == *action)
    }

    fn target_role(&self) -> Option<UpstreamRole> {
        self.steps.iter().find_map(|step| match step.action {
            OrderAction::ChangeRole { role } => Some(role),
            _ => None,
        })
    }

    fn exports_to(&self, upstream: &UpstreamId) -> bool {
        self.steps.iter().any(|step| {
            matches!(&step.action, OrderAction::ExportCache { target, .. } if target == upstream)
        })
    }

    fn skip_exports(&mut self) {
        for step in &mut self.steps {
            let is_export = matches!(step.action, OrderAction::ExportCache { .. });
            if is_export && step.state == StepState::Pending {
                step.state = StepState::Skipped;
            } else if is_export && in_flight_fence(step).is_some() {
                step.state = unsettled_state(step);
            }
        }
    }
}

fn pending_steps(
    upstream: &UpstreamId,
    actions: impl Iterator<Item = OrderAction>,
) -> Vec<PlanStep> {
    actions
        .map(|action| PlanStep {
            upstream: upstream.clone(),
            action,
            state: StepState::Pending,
        })
        .collect()
}

const fn is_over(step: &PlanStep) -> bool {
    matches!(step.state, StepState::Done | StepState::Skipped)
}

const fn in_flight_fence(step: &PlanStep) -> Option<&FencingNumber> {
    match &step.state {
        StepState::Committed(fence) | StepState::Unsettled(fence) => Some(fence),
        StepState::Pending | StepState::Done | StepState::Skipped => None,
    }
}

fn unsettled_state(step: &PlanStep) -> StepState {
    in_flight_fence(step).map_or(StepState::Pending, |fence| {
        StepState::Unsettled(fence.clone())
    })
}
