//! The replicated state machine and its tables.

mod audit_trail;
mod change_feed;
mod claim_table;
mod cluster_state;
mod command;
mod intent_table;
mod operator_command;
mod plan_table;
mod query;
mod request_history;
mod snapshot;
mod suspect_table;
mod upstream_table;
mod usage_id;
mod usage_table;

pub use audit_trail::{MAX_AUDIT_CHANGES, MAX_AUDIT_RECORDS, MAX_AUDIT_TEXT_BYTES};
pub use change_feed::{DocumentChange, MAX_FEED_BYTES, MAX_FEED_CHANGES, StateChange};
pub use claim_table::{
    CLAIM_LIFETIME_MS, GUARANTEED_CLAIMS, MAX_ANSWER_BYTES, MAX_CLAIMS,
    MAX_CLAIMS_PER_ORGANISATION, MAX_ORGANISATION_ANSWER_BYTES, MAX_TOTAL_ANSWER_BYTES,
};
pub use cluster_state::{ClusterState, LogIndex};
pub use command::{MAX_DIGEST_BYTES, MAX_REASON_BYTES};
pub use intent_table::{MAX_INTENTS, START_ANNOUNCE_MS};
pub use plan_table::MAX_PLAN_STEPS;
pub use query::{MAX_QUERY_RECORDS, MAX_QUERY_WINDOWS};
pub use request_history::{MAX_HISTORY_BYTES, MAX_HISTORY_IDS, MAX_REQUEST_ID_BYTES};
pub use snapshot::{SNAPSHOT_VERSION, SnapshotError};
pub use suspect_table::{
    CRASH_ID_LIFETIME_MS, MAX_CRASH_IDS, MAX_RUNNING_REQUESTS, MAX_SUSPECTS,
    MAX_SUSPECTS_PER_ORGANISATION, SUSPECT_LIFETIME_MS,
};
pub use upstream_table::{
    LEASE_MS, MAX_ACTION_BYTES, MAX_DEPARTED, MAX_MEMBERS, ORDER_LIFETIME_MS,
};
pub use usage_table::{
    MAX_REPORTED_WINDOWS, MAX_UNREPORTED_LINES, MAX_UNREPORTED_WINDOWS, MAX_USAGE_BATCH,
    MAX_USAGE_IDS, MAX_USAGE_LINES, USAGE_ID_LIFETIME_MS,
};
