//! Quotas of organisations, shared by all entries.
//!
//! The leader of the control group keeps one [`QuotaLedger`] an organisation and grants tokens to
//! the entries; each entry keeps them in a [`QuotaShare`] and charges requests to it. Tokens that an
//! entry has not used lapse unless the leader renews them.

mod quota_ledger;
mod quota_share;
mod quota_spec;
mod quota_table;

pub use quota_ledger::{LedgerAnswer, LedgerAsk, QuotaLedger, RATE_HOLD_TIME};
pub use quota_share::{ChargeEpoch, QuotaShare, ShareAsk};
pub use quota_spec::{QuotaBounds, QuotaCapacity, QuotaSpec, QuotaUnit, TokenRate};
pub use quota_table::{QuotaTable, VersionedSpec};
