//! Turns demand, load and the replicated state into the steps of a plan.

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

/// Steps that one role change or one stop takes.
const CHAIN_STEPS: usize = 3;

/// The part of the replicated state that plans depend on.
#[derive(Debug, Clone)]
pub struct PlannerView {
    members: Vec<UpstreamRecord>,
    intents: Vec<PlatformIntent>,
    /// Upstreams with an order in flight.
    ordered: Vec<UpstreamId>,
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
            ordered: orders.map(|order| order.upstream.clone()).collect(),
            services: document.services.clone(),
            domains: regions
                .flat_map(|region| region.failure_domains.clone())
                .collect(),
            budget: document.budget.clone(),
        }
    }
}

impl PlannerView {
    /// Whether an upstream is a member.
    pub fn has_member(&self, upstream: &UpstreamId) -> bool {
        self.members.iter().any(|one| one.upstream == *upstream)
    }
}

/// What one round of planning decided.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlannedChanges {
    /// Role changes.
    pub roles: Vec<RoleChange>,
    /// Upstreams to start.
    pub starts: Vec<StartRequest>,
    /// Upstreams to drain and stop.
    pub stops: Vec<StopRequest>,
    /// Services whose reports are stale or missing.
    pub frozen: Vec<ServiceId>,
}

impl PlannedChanges {
    /// Steps of a plan, as many as fit into one.
    pub fn steps(&self) -> Vec<PlanStep> {
        let mut steps = Vec::new();
        for change in &self.roles {
            if steps.len() + CHAIN_STEPS > MAX_PLAN_STEPS {
                break;
            }
            let plan = ChangePlan::role_change(PlanId(0), change, None);
            let actions = plan.steps.into_iter();
            let actions = actions.map(|step| order_step(&change.upstream, step.action));
            push_steps(&mut steps, &plan.reason, actions);
        }
        for stop in &self.stops {
            if steps.len() + CHAIN_STEPS > MAX_PLAN_STEPS {
                break;
            }
            let upstream = &stop.upstream;
            let actions = [
                order_step(upstream, OrderAction::Drain),
                PlanAction::Stop {
                    upstream: upstream.clone(),
                },
                // Only needed if the upstream is not stopped.
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
    /// Role changes.
    pub roles: RoleSettings,
    /// Starts and stops.
    pub fleet: FleetSettings,
}

/// Planners of all services and their memory; one term long.
#[derive(Debug)]
pub struct CapacityPlanner {
    settings: PlannerSettings,
    roles: IndexMap<ServiceId, RolePlanner>,
    fleet: FleetPlanner,
    /// Role of each upstream and since when it has it.
    role_since: IndexMap<UpstreamId, (UpstreamRole, TimePoint)>,
    /// Time and service of each role change of the newest plan of the leader before.
    restored: Vec<(ServiceId, TimePoint)>,
}

impl CapacityPlanner {
    /// A planner without memory.
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            fleet: FleetPlanner::new(settings.fleet.clone()),
            settings,
            roles: IndexMap::new(),
            role_since: IndexMap::new(),
            restored: Vec::new(),
        }
    }

    /// Begins a new term. The role changes of the newest plan still count against the bounds; its
    /// age in log time is taken as its age by the own clock.
    pub fn reset(&mut self, state: &ClusterState, now: TimePoint) {
        *self = Self::new(self.settings.clone());
        let Some(plan) = state.plan() else {
            return;
        };
        let age = state
            .log_time()
            .since(TimePoint::from_millis(plan.placed_ms));
        let at = now.as_millis().saturating_sub(age.as_millis() as u64);
        let at = TimePoint::from_millis(at);
        for (upstream, role) in changed_roles(plan) {
            if let Some(record) = state.member(upstream) {
                self.role_since.insert(upstream.clone(), (role, at));
                self.restored.push((record.service.clone(), at));
            }
        }
    }

    /// Takes the end of a start.
    pub fn record_start(&mut self, outcome: &StartOutcome, now: TimePoint) {
        let (service, domain) = (&outcome.service, &outcome.failure_domain);
        if outcome.succeeded {
            self.fleet.record_start_success(service, domain);
        } else {
            self.fleet.record_start_crash(service, domain, now);
        }
    }

    /// Decides on changes. Without a platform only roles change.
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
            // Plain services report no tokens, so that their need is not known.
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
            let input = FleetSource {
                view,
                service,
                upstreams: &upstreams,
                inputs,
                freshness,
            };
            let fleet = self.plan_fleet(&input, now);
            changes.starts.extend(fleet.0);
            // One upstream of the whole cluster is drained for a stop at a time, and none of a
            // service whose roles change, so that the bounds of both planners hold together.
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
            pending: &view.ordered,
            demand: inputs.demand(service).short,
            urgent: inputs.class_demand(service, PriorityClass::Urgent).short,
            freshness,
            capability: inputs.capability(),
        };
        let planner = self.roles.entry(service.clone()).or_insert_with(|| {
            let mut planner = RolePlanner::new(self.settings.roles.clone());
            let restored = self.restored.iter();
            let restored = restored.filter(|(known, _)| known == service);
            planner.restore(restored.map(|(_, at)| *at));
            planner
        });
        planner.plan(&pool, now)
    }

    fn plan_fleet(
        &mut self,
        source: &FleetSource<'_>,
        now: TimePoint,
    ) -> (Vec<StartRequest>, Vec<StopRequest>) {
        let (view, inputs) = (source.view, source.inputs);
        let service = &source.service.name;
        let starts = view.intents.iter();
        let starts = starts.filter(|intent| intent.upstream.is_none());
        let starting: Vec<_> = starts
            .map(|intent| (intent.service.clone(), intent.failure_domain.clone()))
            .collect();
        let stops = view.intents.iter();
        let stopping: Vec<_> = stops.filter_map(|intent| intent.upstream.clone()).collect();
        let input = FleetInput {
            service,
            upstreams: source.upstreams,
            starting: &starting,
            stopping: &stopping,
            domains: &view.domains,
            protected: &view.ordered,
            demand: inputs.demand(service),
            urgent: inputs.class_demand(service, PriorityClass::Urgent).short,
            freshness: source.freshness,
            demand_settings: inputs.demand_settings(),
            capability: inputs.capability(),
            service_budget: budget_limit(source.service.budget.as_ref()),
            total_budget: budget_limit(view.budget.as_ref()),
        };
        let decision = self.fleet.plan(&input, now);
        (decision.starts, decision.stops)
    }

    /// Views of the members. A role that was there when this leader first saw the upstream counts as
    /// old.
    fn upstream_views(&mut self, view: &PlannerView, now: TimePoint) -> Vec<UpstreamView> {
        let is_member =
            |upstream: &UpstreamId| view.members.iter().any(|one| one.upstream == *upstream);
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

/// What the starts and stops of one service depend on.
#[derive(Debug, Clone, Copy)]
struct FleetSource<'a> {
    view: &'a PlannerView,
    service: &'a ServiceConfig,
    upstreams: &'a [UpstreamView],
    inputs: &'a InputTables,
    freshness: Freshness,
}

/// Role changes of a plan that were carried out.
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

/// Whether no other ready upstream is set up for a kind of work that `record` does. Others with an
/// order in flight or in the middle of a planned change do not count.
///
/// Checked again right before a drain, because upstreams may have left since the plan was made.
pub fn is_last_capable(record: &UpstreamRecord, state: &ClusterState) -> bool {
    let is_changing = |upstream: &UpstreamId| {
        let mut orders = state.orders_in_flight();
        let plan = state.plan();
        orders.any(|order| order.upstream == *upstream)
            || plan.is_some_and(|plan| is_changed_by(plan, upstream))
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

/// Whether a plan has begun to change an upstream and has not finished.
fn is_changed_by(plan: &CapacityPlan, upstream: &UpstreamId) -> bool {
    let steps = || {
        plan.steps.iter().filter(|step| match &step.action {
            PlanAction::Order { upstream: one, .. } | PlanAction::Stop { upstream: one } => {
                one == upstream
            }
            PlanAction::Start { .. } => false,
        })
    };
    let is_open = |state| matches!(state, StepState::Pending | StepState::Running);
    let has_begun = |state| !matches!(state, StepState::Pending | StepState::Cancelled);
    steps().any(|step| is_open(step.state)) && steps().any(|step| has_begun(step.state))
}
