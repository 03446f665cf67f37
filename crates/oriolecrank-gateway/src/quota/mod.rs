//! Quotas of organisations: entries charge requests to tokens that the leader grants them.

mod quota_gate;
mod quota_granter;
mod quota_link;
mod quota_messages;

pub(crate) use quota_gate::{QuotaGate, QuotaTicket};
pub(crate) use quota_granter::QuotaGranter;
pub(crate) use quota_link::QuotaLink;
pub(crate) use quota_messages::{QUOTA_PATH, QuotaRequest};
