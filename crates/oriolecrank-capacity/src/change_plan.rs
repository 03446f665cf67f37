//! A plan of steps that survives the loss of the leader and crashes of engines.

use oriolecrank_schema::control::{Command, FencingNumber, OrderAction, OrderResult, UpstreamRole};
use oriolecrank_schema::document::UpstreamId;
use snafu::Snafu;

use crate::RoleChange;

/// Identifier of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PlanId(pub u64);

/// State of one step.
#[derive(Debug, Clone, PartialEq)]
pub enum StepState {
    /// No order was committed.
    Pending,
    /// The order is committed and may have reached the engine.
    Committed(FencingNumber),
    /// The answer was lost; the order has to be settled before anything else is sent.
    Unsettled(FencingNumber),
    /// The engine did it.
    Done,
    /// The engine refused it, or it is no longer needed.
    Skipped,
}

/// One order of a plan.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanStep {
    /// Upstream that gets the order.
    pub upstream: UpstreamId,
    /// The order.
    pub action: OrderAction,
    /// How far it is.
    pub state: StepState,
}

/// What has to be done next for a plan.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanAction {
    /// Commit this command, then send the order.
    Place(Command),
    /// Find out what became of the order, by reading the engine's state or repeating the number.
    Settle {
        /// Upstream that got the order.
        upstream: UpstreamId,
        /// Number of the order.
        fence: FencingNumber,
    },
    /// Wait for the result of the order in flight.
    Wait,
    /// Nothing is left to do.
    Finished,
}

/// A report that does not belong to the step in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum PlanError {
    /// No order with this number is in flight, so the report is old or repeated.
    #[snafu(display("no order with this number is in flight"))]
    NotInFlight,
}

/// Steps for one upstream, run one after the other.
///
/// Invariant: at most one step is committed or unsettled, and all steps before it are done or
/// skipped. A plan is committed before its first order, so that a successor resumes it from the
/// recorded states.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangePlan {
    /// Identifier.
    pub id: PlanId,
    /// Reason stated with each order.
    pub reason: String,
    /// Role to restore if the change has to be undone.
    pub original_role: Option<UpstreamRole>,
    /// Steps in order.
    pub steps: Vec<PlanStep>,
}

impl ChangePlan {
    /// A role change: move the cache if there is an export, drain, change, take work again.
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

    /// A drain before a stop: move the cache if there is an export, then drain.
    pub fn drain(id: PlanId, upstream: &UpstreamId, export: Option<OrderAction>) -> Self {
        let actions = export.into_iter().chain([OrderAction::Drain]);
        Self {
            id,
            reason: "the upstream is drained before it stops".to_owned(),
            original_role: None,
            steps: pending_steps(upstream, actions),
        }
    }

    /// What has to be done next.
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

    /// Records that the order of the current step is committed.
    pub fn record_commit(&mut self, fence: FencingNumber) -> Result<(), PlanError> {
        let step = self.current_mut().ok_or(PlanError::NotInFlight)?;
        if step.state != StepState::Pending {
            return Err(PlanError::NotInFlight);
        }
        step.state = StepState::Committed(fence);
        Ok(())
    }

    /// Records the result of the order in flight. A failed or refused order ends the change.
    pub fn record_result(
        &mut self,
        fence: &FencingNumber,
        result: OrderResult,
    ) -> Result<(), PlanError> {
        let step = self.current_mut().ok_or(PlanError::NotInFlight)?;
        if in_flight(step) != Some(fence) {
            return Err(PlanError::NotInFlight);
        }
        match result {
            OrderResult::Done => step.state = StepState::Done,
            OrderResult::Unknown => step.state = StepState::Unsettled(fence.clone()),
            OrderResult::Refused | OrderResult::Failed => {
                step.state = StepState::Skipped;
                let is_export = matches!(step.action, OrderAction::ExportCache { .. });
                // A change without the cache is slower but complete.
                if !is_export {
                    self.abandon();
                }
            }
        }
        Ok(())
    }

    /// Prepares the plan for a new leader: an order in flight has to be settled, because its answer
    /// went to the old leader.
    #[must_use]
    pub fn resumed(mut self) -> Self {
        if let Some(step) = self.current_mut()
            && let Some(fence) = in_flight(step).cloned()
        {
            step.state = StepState::Unsettled(fence);
        }
        self
    }

    /// Adjusts the plan after the engine of `upstream` crashed and announced itself again with
    /// `role`.
    ///
    /// A crashed engine comes back empty: it needs no drain and has no cache to export. The change is
    /// complete if it has the wanted role; otherwise it is undone by letting it work as it is.
    pub fn record_engine_crash(&mut self, upstream: &UpstreamId, role: UpstreamRole) {
        if self.exports_to(upstream) {
            self.skip_exports();
            return;
        }
        if !self.steps.iter().any(|step| step.upstream == *upstream) {
            return;
        }
        let drained = self.was_sent(&OrderAction::Drain);
        let wanted = self.wanted_role();
        for step in &mut self.steps {
            if step.state == StepState::Done {
                continue;
            }
            let is_undrain = step.action == OrderAction::Undrain;
            let in_flight = in_flight(step).is_some();
            step.state = match (&step.action, wanted) {
                (OrderAction::ChangeRole { .. }, Some(wanted)) if wanted == role => StepState::Done,
                // An order that may still reach the engine is settled, never forgotten.
                _ if in_flight => unsettled(step),
                _ if is_undrain && drained => StepState::Pending,
                _ => StepState::Skipped,
            };
        }
    }

    /// Whether all steps are over and the engine has the wanted role.
    pub fn is_complete(&self) -> bool {
        self.current().is_none()
            && self.steps.iter().all(|step| {
                step.state == StepState::Done
                    || matches!(step.action, OrderAction::ExportCache { .. })
            })
    }

    /// Whether all steps are over.
    pub fn is_finished(&self) -> bool {
        self.current().is_none()
    }

    fn current(&self) -> Option<&PlanStep> {
        self.steps.iter().find(|step| !is_over(step))
    }

    fn current_mut(&mut self) -> Option<&mut PlanStep> {
        self.steps.iter_mut().find(|step| !is_over(step))
    }

    /// Skips the rest, except that a drained engine takes work again.
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

    fn wanted_role(&self) -> Option<UpstreamRole> {
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
            } else if is_export && in_flight(step).is_some() {
                step.state = unsettled(step);
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

const fn in_flight(step: &PlanStep) -> Option<&FencingNumber> {
    match &step.state {
        StepState::Committed(fence) | StepState::Unsettled(fence) => Some(fence),
        StepState::Pending | StepState::Done | StepState::Skipped => None,
    }
}

fn unsettled(step: &PlanStep) -> StepState {
    in_flight(step).map_or(StepState::Pending, |fence| {
        StepState::Unsettled(fence.clone())
    })
}
