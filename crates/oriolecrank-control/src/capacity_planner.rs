//! Derives the steps of a plan from demand, load and the replicated state.

use indexmap::IndexMap;
use oriolecrank_capacity::{
    ChangePlan, FleetInput, FleetPlanner, FleetSettings, Freshness, PlanId, PoolInput, RoleChange,
    RoleDecision, RolePlanner, RoleSettings, StartRequest, StopRequest, UpstreamView,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{
    CapacityPlan, OrderAction, PlanAction, PlanStep, PlatformIntent, StepState, UpstreamPhase,
    UpstreamRecord, UpstreamRole,
};
use oriolecrank_schema::document::{
    BudgetConfig, FailureDomainId, PriorityClass, ServiceConfig, ServiceId, ServiceKind, UpstreamId,
};
use oriolecrank_state::ClusterState;
use oriolecrank_state::cluster::MAX_PLAN_STEPS;

use crate::capacity_inputs::InputTables;
use crate::platform_executor::StartOutcome;

/// Steps of one role change (drain, change, undrain) or one stop (drain, stop, undrain).
const STEPS_PER_CHANGE: usize = 3;

/// Copy of the part of the replicated state that plans depend on.
#[derive(Debug, Clone)]
pub struct PlannerView {
    members: Vec<UpstreamRecord>,
    intents: Vec<PlatformIntent>,
    /// Upstreams with an order in flight.
    upstreams_with_order: Vec<UpstreamId>,
    services: Vec<ServiceConfig>,
    domains: Vec<FailureDomainId>,
    budget: Option<BudgetConfig>,
}

impl From<&ClusterState> for PlannerView {
    fn from(state: &ClusterState) -> Self {
        let document = state.document().as_document();
        let regions = document.regions.iter();
        let orders = state.orders_in_flight();
        Self {
            members: state.members().cloned().collect(),
            intents: state.intents().cloned().collect(),
            upstreams_with_order: orders.map(|order| order.upstream.clone()).collect(),
            services: document.services.clone(),
            domains: regions
                .flat_map(|region| region.failure_domains.clone())
                .collect(),
            budget: document.budget.clone(),
        }
    }
}

impl PlannerView {
    /// Whether the upstream was a member when the view was taken.
    pub fn has_member(&self, upstream: &UpstreamId) -> bool {
        self.members
            .iter()
            .any(|record| record.upstream == *upstream)
    }
}

/// Decisions of one planning round.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlannedChanges {
    /// Role changes of running upstreams.
    pub roles: Vec<RoleChange>,
    /// Upstreams to start.
    pub starts: Vec<StartRequest>,
    /// Upstreams to drain and stop.
    pub stops: Vec<StopRequest>,
    /// Services that are not changed, because their reports are stale or missing.
    pub frozen: Vec<ServiceId>,
}

impl PlannedChanges {
    /// Converts the changes into pending plan steps. Changes that would exceed [`MAX_PLAN_STEPS`]
    /// are left out.
    pub fn steps(&self) -> Vec<PlanStep> {
        let mut steps = Vec::new();
        for change in &self.roles {
            if steps.len() + STEPS_PER_CHANGE > MAX_PLAN_STEPS {
                break;
            }
            let plan = ChangePlan::role_change(PlanId(0), change, None);
            let actions = plan.steps.into_iter();
            let actions = actions.map(|step| order_step(&change.upstream, step.action));
            push_steps(&mut steps, &plan.reason, actions);
        }
        for stop in &self.stops {
            if steps.len() + STEPS_PER_CHANGE > MAX_PLAN_STEPS {
                break;
            }
            let upstream = &stop.upstream;
            let actions = [
                order_step(upstream, OrderAction::Drain),
                PlanAction::Stop {
                    upstream: upstream.clone(),
                },
                // Carried out only if the upstream is not stopped.
                order_step(upstream, OrderAction::Undrain),
            ];
            push_steps(&mut steps, &stop.reason, actions);
        }
        for start in &self.starts {
            if steps.len() >= MAX_PLAN_STEPS {
                break;
            }
            let action = PlanAction::Start {
                failure_domain: start.failure_domain.clone(),
                service: start.service.clone(),
            };
            push_steps(&mut steps, &start.reason, [action]);
        }
        steps
    }
}

fn order_step(upstream: &UpstreamId, action: OrderAction) -> PlanAction {
    PlanAction::Order {
        action,
        upstream: upstream.clone(),
    }
}

fn push_steps(
    steps: &mut Vec<PlanStep>,
    reason: &str,
    actions: impl IntoIterator<Item = PlanAction>,
) {
    for action in actions {
        steps.push(PlanStep {
            action,
            reason: reason.to_owned(),
            state: StepState::Pending,
            step: steps.len() as u32 + 1,
        });
    }
}

/// Settings of a [`CapacityPlanner`].
#[derive(Debug, Clone, Default)]
pub struct PlannerSettings {
    /// Settings for role changes.
    pub roles: RoleSettings,
    /// Settings for starts and stops.
    pub fleet: FleetSettings,
}

/// Planners of all services, with the history of changes that they need. Valid for one term.
#[derive(Debug)]
pub struct CapacityPlanner {
    settings: PlannerSettings,
    roles: IndexMap<ServiceId, RolePlanner>,
    fleet: FleetPlanner,
    /// Role of each upstream and the time since which it has had this role.
    role_since: IndexMap<UpstreamId, (UpstreamRole, TimePoint)>,
    /// Service and estimated time of each completed role change of the newest plan before this
    /// term.
    restored_changes: Vec<(ServiceId, TimePoint)>,
}

impl CapacityPlanner {
    /// Creates a planner without a history of changes.
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            fleet: FleetPlanner::new(settings.fleet.clone()),
            settings,
            roles: IndexMap::new(),
            role_since: IndexMap::new(),
            restored_changes: Vec::new(),
        }
    }

    /// Begins a new term. The completed role changes of the newest plan still count against the
    /// limits on role changes. Their time is estimated as `now` minus the plan's age in log time,
    /// because log time and the local clock differ.
    pub fn reset(&mut self, state: &ClusterState, now: TimePoint) {
        *self = Self::new(self.settings.clone());
        let Some(plan) = state.plan() else {
            return;
        };
        let age = state
            .log_time()
            .since(TimePoint::from_millis(plan.placed_ms));
        let placed_at = now.as_millis().saturating_sub(age.as_millis() as u64);
        let placed_at = TimePoint::from_millis(placed_at);
        for (upstream, role) in changed_roles(plan) {
            if let Some(record) = state.member(upstream) {
                self.role_since.insert(upstream.clone(), (role, placed_at));
                self.restored_changes
                    .push((record.service.clone(), placed_at));
            }
        }
    }

    /// Records how a start ended; failed starts delay further ones of the service in this domain.
    pub fn record_start(&mut self, outcome: &StartOutcome, now: TimePoint) {
        let (service, domain) = (&outcome.service, &outcome.failure_domain);
        if outcome.succeeded {
            self.fleet.record_start_success(service, domain);
        } else {
            self.fleet.record_start_crash(service, domain, now);
        }
    }

    /// Decides on changes at `now`. Without a platform, only roles are changed.
    pub fn plan(
        &mut self,
        view: &PlannerView,
        inputs: &InputTables,
        has_platform: bool,
        now: TimePoint,
    ) -> PlannedChanges {
        let upstreams = self.upstream_views(view, now);
        let mut changes = PlannedChanges::default();
        for service in &view.services {
            // Plain services report no tokens, so their demand is unknown.
            if service.kind == ServiceKind::Plain {
                continue;
            }
            let members = view.members.iter();
            let members = members.filter(|record| record.service == service.name);
            let freshness = inputs.freshness(members, now);
            if freshness == Freshness::Stale {
                changes.frozen.push(service.name.clone());
            }
            let decision = self.plan_roles(&service.name, view, &upstreams, inputs, freshness, now);
            let keeps_roles = !matches!(decision, RoleDecision::Change(_));
            if let RoleDecision::Change(roles) = decision {
                changes.roles.extend(roles);
            }
            if !has_platform {
                continue;
            }
            let input = FleetContext {
                view,
                service,
                upstreams: &upstreams,
                inputs,
                freshness,
            };
            let fleet = self.plan_fleet(&input, now);
            changes.starts.extend(fleet.0);
            // A plan stops at most one upstream in the whole cluster, and none of a service whose
            // roles change, so that the limits of both planners hold together.
            if keeps_roles && changes.stops.is_empty() {
                changes.stops.extend(fleet.1.into_iter().take(1));
            }
        }
        changes
    }

    fn plan_roles(
        &mut self,
        service: &ServiceId,
        view: &PlannerView,
        upstreams: &[UpstreamView],
        inputs: &InputTables,
        freshness: Freshness,
        now: TimePoint,
    ) -> RoleDecision {
        let pool = PoolInput {
            service,
            upstreams,
            pending: &view.upstreams_with_order,
            demand: inputs.demand(service).short,
            urgent: inputs.class_demand(service, PriorityClass::Urgent).short,
            freshness,
            capability: inputs.capability(),
        };
        let planner = self.roles.entry(service.clone()).or_insert_with(|| {
            let mut planner = RolePlanner::new(self.settings.roles.clone());
            let restored = self.restored_changes.iter();
            let restored = restored.filter(|(known, _)| known == service);
            planner.restore(restored.map(|(_, at)| *at));
            planner
        });
        planner.plan(&pool, now)
    }

    fn plan_fleet(
        &mut self,
        context: &FleetContext<'_>,
        now: TimePoint,
    ) -> (Vec<StartRequest>, Vec<StopRequest>) {
        let (view, inputs) = (context.view, context.inputs);
        let service = &context.service.name;
        let starts = view.intents.iter();
        let starts = starts.filter(|intent| intent.upstream.is_none());
        let starting: Vec<_> = starts
            .map(|intent| (intent.service.clone(), intent.failure_domain.clone()))
            .collect();
        let stops = view.intents.iter();
        let stopping: Vec<_> = stops.filter_map(|intent| intent.upstream.clone()).collect();
        let input = FleetInput {
            service,
            upstreams: context.upstreams,
            starting: &starting,
            stopping: &stopping,
            domains: &view.domains,
            protected: &view.upstreams_with_order,
            demand: inputs.demand(service),
            urgent: inputs.class_demand(service, PriorityClass::Urgent).short,
            freshness: context.freshness,
            demand_settings: inputs.demand_settings(),
            capability: inputs.capability(),
            service_budget: budget_limit(context.service.budget.as_ref()),
            total_budget: budget_limit(view.budget.as_ref()),
        };
        let decision = self.fleet.plan(&input, now);
        (decision.starts, decision.stops)
    }

    /// Views of the members. A role that an upstream had when this leader first saw it counts as
    /// old, unless the newest plan before this term changed it.
    fn upstream_views(&mut self, view: &PlannerView, now: TimePoint) -> Vec<UpstreamView> {
        let is_member = |upstream: &UpstreamId| {
            view.members
                .iter()
                .any(|record| record.upstream == *upstream)
        };
        self.role_since.retain(|upstream, _| is_member(upstream));
        let mut views = Vec::with_capacity(view.members.len());
        for record in &view.members {
            let known = self.role_since.get(&record.upstream);
            let since = match known {
                Some((role, since)) if *role == record.role => *since,
                Some(_) => now,
                None => TimePoint::default(),
            };
            self.role_since
                .insert(record.upstream.clone(), (record.role, since));
            views.push(UpstreamView::from(record).with_role_since(since));
        }
        views
    }
}

/// Inputs for the starts and stops of one service.
#[derive(Debug, Clone, Copy)]
struct FleetContext<'a> {
    view: &'a PlannerView,
    service: &'a ServiceConfig,
    upstreams: &'a [UpstreamView],
    inputs: &'a InputTables,
    freshness: Freshness,
}

/// Completed role changes of a plan.
fn changed_roles(plan: &CapacityPlan) -> impl Iterator<Item = (&UpstreamId, UpstreamRole)> {
    plan.steps.iter().filter_map(|step| match &step.action {
        PlanAction::Order {
            action: OrderAction::ChangeRole { role },
            upstream,
        } if step.state == StepState::Done => Some((upstream, *role)),
        _ => None,
    })
}

fn budget_limit(budget: Option<&BudgetConfig>) -> Option<usize> {
    let limit = budget.and_then(|budget| budget.max_upstreams);
    limit.map(|limit| limit as usize)
}

/// Whether no other ready upstream of the service can take over the prefill or decode work of
/// `record`. Upstreams with an order in flight or an unfinished planned change do not count.
///
/// Checked immediately before a drain, because upstreams may have left since the plan was made.
pub fn is_last_capable(record: &UpstreamRecord, state: &ClusterState) -> bool {
    let is_changing = |upstream: &UpstreamId| {
        let mut orders = state.orders_in_flight();
        let plan = state.plan();
        orders.any(|order| order.upstream == *upstream)
            || plan.is_some_and(|plan| is_being_changed(plan, upstream))
    };
    let others: Vec<UpstreamRole> = state
        .members()
        .filter(|other| other.service == record.service && other.upstream != record.upstream)
        .filter(|other| other.phase == UpstreamPhase::Ready && !is_changing(&other.upstream))
        .map(|other| other.role)
        .collect();
    let does_prefill = |role: UpstreamRole| role != UpstreamRole::Decode;
    let does_decode = |role: UpstreamRole| role != UpstreamRole::Prefill;
    does_prefill(record.role) && !others.iter().copied().any(does_prefill)
        || does_decode(record.role) && !others.iter().copied().any(does_decode)
}

/// Whether a plan has begun, but not finished, to change an upstream.
fn is_being_changed(plan: &CapacityPlan, upstream: &UpstreamId) -> bool {
    let steps = || {
        plan.steps.iter().filter(|step| match &step.action {
            PlanAction::Order {
                upstream: other, ..
            }
            | PlanAction::Stop { upstream: other } => other == upstream,
            PlanAction::Start { .. } => false,
        })
    };
    let is_open = |state| matches!(state, StepState::Pending | StepState::Running);
    let has_begun = |state| !matches!(state, StepState::Pending | StepState::Cancelled);
    steps().any(|step| is_open(step.state)) && steps().any(|step| has_begun(step.state))
}
