//! Decisions of the request path, as deterministic functions of state, time and a random generator.
//!
//! Nothing here does I/O or reads a clock; the processes pass in the current time and a random
//! number generator. An entry is a process that serves callers; an agent is the process next to an
//! upstream that runs requests on it; the control leader distributes configuration and limits. A
//! request passes through these modules:
//!
//! - At the entry, [`header_cleaning`] rejects unsafe request heads and extracts the API key,
//!   [`freshness`] decides whether the key table is recent enough to trust, and [`admission`]
//!   rejects requests that exceed a limit ([`rate_limiter`]) or cannot meet their deadline. The
//!   control leader splits the limits over the entries ([`limit_shares`]), and grants them the tokens of
//!   the organisations' quotas ([`quota`]). While engines are overloaded, [`fair_share`] divides them
//!   among organisations.
//! - [`upstream_chooser`] picks one upstream of the entry's [`subset`], by distance, by cached
//!   prefix ([`prefix_map`]) and by estimated load ([`load_estimate`]). [`outlier_ejection`]
//!   reduces the weight of failing upstreams, [`upstream_pause`] keeps requests from those that ask
//!   for a pause, [`suspect_placement`] isolates requests that may
//!   crash an engine, and [`read_coalescing`] lets identical reads share one call.
//! - At the agent, [`request_queue`] decides which request runs next, and [`answer_buffer`] retains
//!   the answer until it is acknowledged.
//! - Back at the entry, [`answer_assembly`] checks each frame, [`retry_budget`] decides whether a
//!   failed attempt is retried, and [`hedge`] when a slow attempt gets a parallel second one.

pub mod admission;
pub mod answer_assembly;
pub mod answer_buffer;
mod caller_key;
mod counts;
pub mod domain_spill;
pub mod fair_share;
pub mod freshness;
mod grant_history;
pub mod header_cleaning;
pub mod hedge;
pub mod limit_key;
mod limit_ledger;
pub mod limit_shares;
pub mod load_estimate;
pub mod outlier_ejection;
mod percent_encoding;
pub mod prefix_map;
mod queue_lane;
mod queued_request;
pub mod quota;
pub mod rate_limiter;
pub mod read_coalescing;
pub mod recent_count;
pub mod recent_maximum;
pub mod request_queue;
pub mod retry_budget;
pub mod subset;
pub mod suspect_placement;
mod upstream_choice;
pub mod upstream_chooser;
pub mod upstream_pause;
pub mod upstream_state;
mod work_class;

pub use counts::{AttemptId, BlockCount, TOKENS_PER_BLOCK, TokenCount};
pub use work_class::WorkClass;
