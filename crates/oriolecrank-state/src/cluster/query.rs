//! Answers read queries from the applied state.

use oriolecrank_schema::control::{Query, QueryResult, StateSummary, UpstreamStatus};
use oriolecrank_schema::document::OrganisationId;

use super::cluster_state::ClusterState;
use super::upstream_table::TrackedUpstream;

/// Maximum number of audit records or claims in one answer; a larger requested limit is reduced to
/// it.
pub const MAX_QUERY_RECORDS: u32 = 1_000;

/// Maximum number of windows in one answer; at the design size a window has a few thousand lines.
pub const MAX_QUERY_WINDOWS: u32 = 16;

/// One page of an ordered sequence.
struct RecordPage<T> {
    records: Vec<T>,
    /// Whether more records follow the last one of this page.
    more: bool,
}

impl<T> RecordPage<T> {
    /// Takes the first `limit` records, but at most [`MAX_QUERY_RECORDS`].
    fn from_records(mut records: impl Iterator<Item = T>, limit: u32) -> Self {
        let limit = limit.min(MAX_QUERY_RECORDS) as usize;
        let page: Vec<T> = records.by_ref().take(limit).collect();
        Self {
            records: page,
            more: records.next().is_some(),
        }
    }
}

impl ClusterState {
    /// Answers a query from the applied state.
    ///
    /// Queries about the control group itself are refused, because only the control process can
    /// answer them.
    pub fn query(&self, query: &Query) -> QueryResult {
        match query {
            Query::Summary => QueryResult::Summary {
                summary: self.summary(),
            },
            Query::Document => QueryResult::Document {
                document: self.document().as_document().clone(),
                revision: self.revision().0,
            },
            Query::Audit { first_index, limit } => self.audit_page(*first_index, *limit),
            Query::Upstreams => self.upstream_list(),
            Query::Intents => QueryResult::Intents {
                intents: self.tables().intents.iter().cloned().collect(),
            },
            Query::Windows {
                unreported,
                after_window_id,
                limit,
            } => self.window_page(*unreported, *after_window_id, *limit),
            Query::Claims {
                organisation,
                after_claim_id,
                limit,
            } => self.claim_page(organisation.as_ref(), *after_claim_id, *limit),
            Query::Suspects => QueryResult::Suspects {
                records: self.tables().suspects.records(),
            },
            Query::Plan => QueryResult::Plan {
                plan: self.plan().cloned(),
            },
            Query::Members | Query::InForce { .. } => QueryResult::Refused {
                reason: "only a control process can answer this query".to_owned(),
            },
        }
    }

    /// Sizes of the tables, newest ids, and index and log time of the last applied entry.
    pub fn summary(&self) -> StateSummary {
        let tables = self.tables();
        StateSummary {
            answer_bytes: tables.claims.answer_bytes() as u64,
            applied_index: self.applied_index().0,
            audit_records: tables.audit.len() as u64,
            claims: tables.claims.len() as u64,
            intents: tables.intents.len() as u64,
            open_window_id: tables.usage.open_id(),
            orders_in_flight: tables.upstreams.orders().count() as u64,
            plan_id: tables.plans.newest_id(),
            revision: self.revision().0,
            stale_usage_records: tables.usage.stale_records(),
            suspects: tables.suspects.len() as u64,
            time_ms: self.log_time().as_millis(),
            unreported_windows: tables.usage.unreported_count() as u64,
            upstreams: tables.upstreams.member_count() as u64,
            usage_ids: tables.usage.id_count() as u64,
        }
    }

    fn audit_page(&self, first_index: u64, limit: u32) -> QueryResult {
        let records = self.tables().audit.starting_at(first_index);
        let page = RecordPage::from_records(records.cloned(), limit);
        QueryResult::Audit {
            more: page.more,
            records: page.records,
        }
    }

    fn upstream_list(&self) -> QueryResult {
        let tables = self.tables();
        let status = |tracked: &TrackedUpstream| UpstreamStatus {
            fence: tracked.fence.clone(),
            order: tracked.order.clone(),
            record: tracked.record.clone(),
            stopping: tables.intents.stop_of(&tracked.record.upstream).is_some(),
        };
        QueryResult::Upstreams {
            upstreams: tables.upstreams.members().map(status).collect(),
        }
    }

    fn window_page(&self, unreported: bool, after_window_id: u64, limit: u32) -> QueryResult {
        let windows = self.tables().usage.windows();
        let windows = windows
            .filter(|window| window.window_id > after_window_id)
            .filter(|window| !(unreported && window.reported));
        let page = RecordPage::from_records(windows.cloned(), limit.min(MAX_QUERY_WINDOWS));
        QueryResult::Windows {
            more: page.more,
            windows: page.records,
        }
    }

    fn claim_page(
        &self,
        organisation: Option<&OrganisationId>,
        after_claim_id: u64,
        limit: u32,
    ) -> QueryResult {
        let tables = self.tables();
        let claims = tables.claims.claims_after(after_claim_id);
        let claims = claims
            .filter(|claim| organisation.is_none_or(|name| claim.organisation() == name))
            .map(|claim| {
                claim.summary(|name, incarnation| tables.upstreams.is_live(name, incarnation))
            });
        let page = RecordPage::from_records(claims, limit);
        QueryResult::Claims {
            claims: page.records,
            more: page.more,
        }
    }
}
