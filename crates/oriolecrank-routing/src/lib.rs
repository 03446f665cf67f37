//! Routing decisions of a gateway whose entries call upstreams directly, without agents.
//!
//! The crate does no I/O and reads no clock. Main types:
//!
//! - [`RouteDocument`] is the configuration set by operators; [`RouteTable`] looks up routes in it.
//! - [`UpstreamDirectory`] merges the announcements of upstreams.
//! - [`DirectChooser`] chooses the upstream of a request by the expected time to the first answer.
//! - [`PlacementLog`], at the leader, and [`PartPlacements`], at an entry, record which engine
//!   caches a shared prompt part.
//! - [`SuspectQuarantine`], in the replicated state, decides which [`CrashSuspect`]s crash upstreams, from what
//!   the [`SuspectWatch`] of each entry reports; [`SilentAttempts`] recognises crashes that break no
//!   connection.
//! - [`RequestFingerprint`] recognises a request that comes again under another id.
//! - [`LoadTable`] sums the load that entries put on upstreams.
//! - [`LimitTable`], at the leader, collects the limits of requests that upstreams state and the
//!   demands by which the entries divide them.
//! - [`CallerTimeoutRange`] distinguishes callers that retry after a refusal from new ones.
//! - [`SharedRetryBudget`] limits the extra attempts, beyond the first, of all entries together.
//! - [`UsageCounter`] and [`UsageCollector`] count requests by organisation and usage window;
//!   [`UsageSchedule`] decides when the leader reports them.
//! - [`DocumentFetch`] chooses the control instance from which an entry fetches a document.
//! - [`SyncCursor`] tracks what an entry and a control instance have already sent to each other.
//! - [`SiteState`] is the replicated state of the control group; [`RepairPlanner`] plans the changes
//!   of its membership.

mod acting_term;
mod announcement_check;
mod caller_timeout_range;
mod choice_search;
mod crash_suspect;
mod departure_table;
mod direct_chooser;
mod direct_upstream;
mod document_fetch;
mod domain_distance;
mod engine;
mod entry_counter;
mod entry_start;
mod limit_report;
mod limit_share;
mod load_table;
mod member_repair;
mod names;
mod origin_keeper;
mod part_cache;
mod part_placement;
mod prompt_shape;
mod reading_speed;
mod region_spill;
mod request_fingerprint;
mod request_rate;
mod role_repair;
mod route_document;
mod route_table;
mod service_backlog;
mod service_time;
mod shared_retry_budget;
mod silent_attempts;
mod site_state;
mod stream_log;
mod stream_origin;
mod suspect_inbox;
mod suspect_quarantine;
mod suspect_report;
mod suspect_watch;
mod sync_cursor;
mod sync_targets;
mod upstream_directory;
mod upstream_limit;
mod usage_schedule;
mod usage_window;

pub use acting_term::ActingTerm;
pub use announcement_check::AnnouncementError;
pub use caller_timeout_range::CallerTimeoutRange;
pub use crash_suspect::CrashSuspect;
pub use departure_table::{DepartureTable, UpstreamDeparture};
pub use direct_chooser::{
    CallPlan, ChoiceRequest, ChooserSettings, ChosenUpstream, DirectChooser, NoUpstream,
    UpstreamCensus, VersionFilter,
};
pub use direct_upstream::{CallTiming, DirectUpstream, DispatchTicket, UpstreamLoad};
pub use document_fetch::{DocumentFetch, PlannedFetch};
pub use engine::engine_status::EngineStatus;
pub use engine::event_pace::{EventPace, PauseCollector, PauseSample, ServicePauses};
pub use entry_counter::EntryCounter;
pub use entry_start::EntryStart;
pub use limit_report::{LimitReport, LimitTable};
pub use load_table::{LoadTable, UpstreamLoads};
pub use member_repair::{JoiningMember, MemberHealth, RepairPlanner, RepairSettings, next_members};
pub use names::{
    DomainName, EntryName, OrganisationName, ServiceName, SoftwareVersion, UpstreamName,
};
pub use origin_keeper::{OriginKeeper, OriginSettings};
pub use part_cache::PartCache;
pub use part_placement::{PartPlacements, PlacedParts, PlacementLog};
pub use prompt_shape::{PartId, PromptPart, PromptShape};
pub use reading_speed::{EngineFactor, ServiceReading};
pub use request_fingerprint::{RequestContent, RequestFingerprint};
pub use request_rate::{LimitStatement, RequestRate};
pub use role_repair::{OrderOutcome, RoleOrder, RoleRepair, RoleRepairSettings};
pub use route_document::{
    CallKind, CallerLimits, DocumentError, EngineSpec, OrganisationKey, OrganisationSpec,
    RouteDocument, RouteSpec, ServiceShare, ServiceSpec,
};
pub use route_table::{CallerOrganisation, RouteTable};
pub use shared_retry_budget::{RetryGrant, SharedRetryBudget};
pub use silent_attempts::{SilentAttempts, SilentCrash, UpstreamSigns};
pub use site_state::{ClosedWindow, SiteCommand, SiteOutcome, SiteState, StoredDocument};
pub use stream_log::{STREAM_LIFETIME, StreamLog};
pub use stream_origin::{
    AdmittedOrigins, OriginNumber, RecordedStream, StreamKey, StreamOrigin, StreamOrigins,
};
pub use suspect_inbox::{DueReports, SuspectInbox};
pub use suspect_quarantine::{QuarantineSettings, SuspectQuarantine};
pub use suspect_report::{
    CrashId, HeldRefusal, RunningSuspect, SuspectEvent, SuspectReport, SuspectVerdicts,
};
pub use suspect_watch::{SuspectRefusal, SuspectWatch};
pub use sync_cursor::{SentState, SyncCursor};
pub use sync_targets::{KnownGroup, MAX_SYNC_TARGETS, sync_targets};
pub use upstream_directory::{
    DirectorySettings, EngineRole, LeavingUpstream, MergeEffect, UpstreamAnnouncement,
    UpstreamDirectory, UpstreamReadiness, UpstreamRecord,
};
pub use usage_schedule::{ScheduleSettings, UsageSchedule};
pub use usage_window::{
    EntryRun, OrganisationCounts, UsageCollector, UsageCounter, WindowCounts, WindowNumber,
    unacknowledged_counts,
};
