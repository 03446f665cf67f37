//! Capacity decisions: which upstreams run, what each is set up for, and how changes are carried
//! out.
//!
//! - [`DemandEstimator`] turns late and incomplete reports into prefill and decode rates on a short
//!   and a long time scale.
//! - [`CapabilityEstimator`] learns what each upstream is able to do in each role.
//! - [`RolePlanner`] meets swings within minutes by role changes; [`FleetPlanner`] meets trends by
//!   starts and stops.
//! - [`PlacementPlanner`] and [`WeightLoadQueue`] decide which models are loaded where, and in what
//!   order; [`TransferPlanner`] decides whether cached prefixes are moved or recomputed.
//! - [`ChangePlan`] holds the steps of a change, from commit to completion; [`PlatformReconciler`]
//!   compares starts and stops with what the platform runs.
//!
//! The crate performs no I/O and reads no clock. Every decision function takes the present time as
//! an argument, and its results convert into [`Command`]s that the control leader commits before
//! it acts on them.
//!
//! [`Command`]: oriolecrank_schema::control::Command

mod cache_transfer;
mod capability_estimate;
mod change_plan;
mod demand_estimate;
mod fleet_planner;
mod model_placement;
mod platform_reconciliation;
mod role_planner;
mod token_rate;
mod upstream_view;

pub use cache_transfer::{
    HotPrefix, TransferDecision, TransferLink, TransferPlanner, TransferSettings,
};
pub use capability_estimate::{CapabilityEstimator, CapabilitySettings, EngineCounts, RoleAbility};
pub use change_plan::{ChangePlan, PlanAction, PlanError, PlanId, PlanStep, StepState};
pub use demand_estimate::{
    CallShape, DemandEstimator, DemandKey, DemandRate, DemandReport, DemandSettings, DemandSummary,
    Freshness, ReportResult, ReporterId, ShapedDemand,
};
pub use fleet_planner::{
    FleetDecision, FleetInput, FleetPlanner, FleetSettings, StartRequest, StopRequest,
};
pub use model_placement::{
    LoadArtefact, LoadRequest, LoadUrgency, ModelDemand, PlacementPlanner, PlacementSettings,
    WeightLoadQueue, WeightStoreSettings,
};
pub use platform_reconciliation::{
    IntentId, PlatformInstance, PlatformIntent, PlatformReconciler, PlatformStep,
    ReconcilerSettings,
};
pub use role_planner::{
    EngineUtilisation, FreezeReason, PoolInput, RoleChange, RoleDecision, RolePlanner,
    RoleSettings, capacity_loss,
};
pub use token_rate::TokenRate;
pub use upstream_view::UpstreamView;
