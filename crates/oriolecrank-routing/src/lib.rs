//! Decisions of a gateway: an entry that calls upstreams directly, without an agent beside them.
//!
//! Nothing here does I/O or reads a clock. A guided tour:
//!
//! - [`RouteDocument`] is what operators put in force; [`RouteTable`] answers look-ups in it.
//! - [`UpstreamDirectory`] merges what upstreams say of themselves.
//! - [`DirectChooser`] takes an upstream for a request, by expected time to the first answer.
//! - [`PlacementLog`] and [`PartPlacements`] tell each entry which engine keeps a shared prompt part.
//! - [`LoadTable`] tells each entry what the others have sent.
//! - [`CallerTimeoutRange`] tells callers that come back after a refusal from new ones.
//! - [`SharedRetryBudget`] bounds attempts beyond the first over all entries.
//! - [`UsageCounter`] and [`UsageCollector`] count requests by organisation and window;
//!   [`UsageSchedule`] says when the leader reports them.
//! - [`SyncCursor`] is the position of an entry in its exchange with a control instance.
//! - [`SiteState`] is the replicated state of the control group; [`next_members`] repairs the group.

mod caller_timeout_range;
mod choice_search;
mod direct_chooser;
mod direct_upstream;
mod load_table;
mod member_repair;
mod names;
mod part_cache;
mod part_placement;
mod prompt_shape;
mod route_document;
mod route_table;
mod shared_retry_budget;
mod site_state;
mod sync_cursor;
mod sync_targets;
mod upstream_directory;
mod usage_schedule;
mod usage_window;

pub use caller_timeout_range::CallerTimeoutRange;
pub use direct_chooser::{
    CallPlan, ChoiceRequest, ChooserSettings, ChosenUpstream, DirectChooser, NoUpstream,
};
pub use direct_upstream::{CallTiming, DirectUpstream, DispatchTicket, UpstreamLoad};
pub use load_table::{LoadTable, UpstreamLoads};
pub use member_repair::{JoiningMember, MemberHealth, RepairSettings, next_members};
pub use names::{DomainName, EntryName, OrganisationName, ServiceName, UpstreamName};
pub use part_cache::PartCache;
pub use part_placement::{PartPlacements, PlacedParts, PlacementLog};
pub use prompt_shape::{PartId, PromptPart, PromptShape};
pub use route_document::{
    CallKind, CallerLimits, DocumentError, EngineSpec, OrganisationKey, OrganisationSpec,
    RouteDocument, RouteSpec, ServiceShare, ServiceSpec,
};
pub use route_table::{CallerOrganisation, RouteTable};
pub use shared_retry_budget::{RetryGrant, SharedRetryBudget};
pub use site_state::{ClosedWindow, SiteCommand, SiteOutcome, SiteState, StoredDocument};
pub use sync_cursor::SyncCursor;
pub use sync_targets::{KnownGroup, MAX_SYNC_TARGETS, sync_targets};
pub use upstream_directory::{
    DirectorySettings, EngineRole, MergeEffect, UpstreamAnnouncement, UpstreamDirectory,
    UpstreamReadiness, UpstreamRecord,
};
pub use usage_schedule::{ScheduleSettings, UsageSchedule};
pub use usage_window::{
    EntryRun, OrganisationCounts, UsageCollector, UsageCounter, WindowCounts, WindowNumber,
    unacknowledged_counts,
};
