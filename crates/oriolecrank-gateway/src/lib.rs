//! Processes of a gateway site: entries, which send requests straight to upstreams, and the control
//! instances that coordinate them.
//!
//! - [`run_entry_site`] serves callers. Its [`CallerDialect`] translates requests and answers.
//! - [`run_control_site`] replicates the route document, maintains the directory of upstreams, reports
//!   usage and gives orders to engines. Its [`SiteDialect`] translates calls of operators and
//!   upstreams, its [`UsageDialect`] reports to the usage interface and its [`OrderDialect`] orders.
//!
//! Routing decisions are made in `oriolecrank-routing`; the replicated log comes from
//! `oriolecrank-control`.

mod answer_relay;
mod call_runner;
mod caller_server;
mod control_link;
mod control_metrics;
mod control_session;
mod control_site;
mod crash;
mod dialect;
mod document_fetcher;
mod document_queue;
mod document_transfer;
mod entry_metrics;
mod entry_shared;
mod entry_site;
mod entry_sync;
mod event_stream;
mod fair_share;
mod group_repair;
mod internal_server;
mod memory_report;
mod plain_body;
mod prefilled_prompt;
mod quota;
mod role_orders;
mod running_attempt;
mod site_clock;
mod site_gossip;
mod site_machine;
mod site_messages;
mod site_publisher;
mod site_server;
mod site_tables;
mod stream_records;
mod stream_resumption;
mod stream_upload;
mod suspect_records;
mod suspect_upload;
mod usage_reporter;

pub use control_site::{ControlSiteError, ControlSiteOptions, run_control_site};
pub use dialect::{
    AnswerHead, AttemptHead, AttemptStage, CallFailure, CallHead, CallerDialect, DocumentDialect,
    OrderDialect, PromptHandle, SiteCall, SiteDialect, SiteReply, UsageDialect, UsageReply,
};
pub use entry_shared::EntrySiteOptions;
pub use entry_site::{EntrySiteError, run_entry_site};
pub use event_stream::{EventBatch, EventTooLong, NumberedEventSplitter};
pub use oriolecrank_policy::fair_share::{FairShareSettings, SettingFault};
pub use role_orders::RoleOrderSettings;
pub use usage_reporter::UsageReportSettings;
