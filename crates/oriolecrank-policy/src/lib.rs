//! Decisions of the request path, as functions of state, time and seeded randomness.
//!
//! Nothing here does I/O or reads a clock; the processes pass in the present time and a random
//! number generator. A request passes these modules:
//!
//! - At the entry, [`header_cleaning`] refuses unsafe heads and finds the key, [`freshness`] says
//!   whether the key table may be trusted, and [`admission`] refuses early what exceeds a limit
//!   ([`rate_limiter`]) or cannot meet its deadline. The control leader splits the limits over the
//!   entries ([`limit_shares`]).
//! - [`upstream_chooser`] takes one upstream of the entry's [`subset`], by distance, by cached
//!   prefix ([`prefix_map`]) and by estimated load ([`load_estimate`]). [`outlier_ejection`] sets
//!   the weight of failing upstreams, [`suspect_placement`] keeps requests apart that may crash an
//!   engine, and [`read_coalescing`] lets equal reads share one call.
//! - At the agent, [`request_queue`] says which request runs next, and [`answer_buffer`] keeps the
//!   answer until it is acknowledged.
//! - Back at the entry, [`answer_assembly`] checks each frame, and [`retry_budget`] says whether a
//!   failed attempt is repeated, and [`hedge`] when a slow one gets a second attempt beside it.

pub mod admission;
pub mod answer_assembly;
pub mod answer_buffer;
mod caller_key;
mod counts;
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
pub mod rate_limiter;
pub mod read_coalescing;
pub mod recent_count;
pub mod request_queue;
pub mod retry_budget;
pub mod subset;
pub mod suspect_placement;
mod upstream_choice;
pub mod upstream_chooser;
pub mod upstream_state;
mod work_class;

pub use counts::{AttemptId, BlockCount, TOKENS_PER_BLOCK, TokenCount};
pub use work_class::WorkClass;
