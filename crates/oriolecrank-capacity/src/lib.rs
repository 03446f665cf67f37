//! Capacity planning: which upstreams run, which role each one has, and how changes are carried
//! out.
//!
//! - [`DemandEstimator`] turns late and incomplete reports into prefill and decode rates on a short
//!   and a long time scale.
//! - [`CapabilityEstimator`] measures the throughput of each upstream.
//! - [`RolePlanner`] reacts to demand shifts within minutes by changing roles; [`FleetPlanner`]
//!   follows longer trends by starting and stopping upstreams.
//! - [`PlacementPlanner`] and [`WeightLoadQueue`] decide which models are loaded where, and in what
//!   order; [`TransferPlanner`] decides whether cached prefixes are transferred or recomputed.
//! - [`ChangePlan`] tracks the steps of a change from commit to completion; [`PlatformReconciler`]
//!   compares committed starts and stops with what the platform actually runs.
//!
//! The crate performs no I/O and reads no clock. Every decision function takes the current time as
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
pub use capability_estimate::{
    CapabilityEstimator, CapabilitySettings, EngineCounts, RoleThroughput,
};
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
    RoleSettings, engine_shortfall,
};
pub use token_rate::TokenRate;
pub use upstream_view::UpstreamView;
