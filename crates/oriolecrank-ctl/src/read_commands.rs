//! `upstreams`, `status` and `audit`.

use oriolecrank_schema::control::{AuditRecord, Query, QueryResult, UpstreamPhase, UpstreamStatus};
use serde_json::{Value, json};

use crate::arguments::CtlArguments;
use crate::control_session::ControlSession;
use crate::ctl_error::CtlError;
use crate::ctl_report::CtlReport;

/// Largest number of audit records in one query.
const AUDIT_PAGE_RECORDS: u32 = 500;

/// Lists the upstreams.
pub(crate) async fn upstreams(arguments: &CtlArguments) -> Result<CtlReport, CtlError> {
    let session = ControlSession::open(arguments)?;
    let QueryResult::Upstreams { upstreams } = session.query(&Query::Upstreams).await? else {
        return Err(CtlError::UnexpectedAnswer);
    };
    Ok(list_report(
        "upstream incarnation service failure_domain address phase blocks order",
        upstreams.iter().map(upstream_line),
        json!({ "upstreams": upstreams }),
    ))
}

fn upstream_line(status: &UpstreamStatus) -> String {
    let record = &status.record;
    let order = match &status.order {
        Some(order) => format!("{}.{}", order.fence.term, order.fence.sequence),
        None => "-".to_owned(),
    };
    format!(
        "{} {} {} {} {} {} {} {order}",
        record.upstream.0,
        record.incarnation,
        record.service.0,
        record.failure_domain.0,
        record.address,
        phase_name(record.phase),
        record.capacity_blocks,
    )
}

fn phase_name(phase: UpstreamPhase) -> &'static str {
    match phase {
        UpstreamPhase::Ready => "ready",
        UpstreamPhase::Cold => "cold",
        UpstreamPhase::Changing => "changing",
        UpstreamPhase::Leaving => "leaving",
        UpstreamPhase::Suspect => "suspect",
    }
}

/// Prints sizes and positions of the replicated state, one per line.
pub(crate) async fn status(arguments: &CtlArguments) -> Result<CtlReport, CtlError> {
    let session = ControlSession::open(arguments)?;
    let QueryResult::Summary { summary } = session.query(&Query::Summary).await? else {
        return Err(CtlError::UnexpectedAnswer);
    };
    let json = json!(summary);
    let fields = json.as_object().into_iter().flatten();
    let lines: Vec<String> = fields
        .map(|(name, value)| format!("{name} {value}"))
        .collect();
    Ok(CtlReport::new(lines.join("\n"), json))
}

/// Prints up to `limit` audit records with a log index of at least `first_index`.
pub(crate) async fn audit(
    arguments: &CtlArguments,
    first_index: u64,
    limit: usize,
) -> Result<CtlReport, CtlError> {
    let session = ControlSession::open(arguments)?;
    let mut found: Vec<AuditRecord> = Vec::new();
    let mut next = first_index;
    let mut has_more = true;
    while has_more && found.len() < limit {
        let page_limit = (limit - found.len()).min(AUDIT_PAGE_RECORDS as usize);
        let query = Query::Audit {
            first_index: next,
            limit: page_limit as u32,
        };
        let QueryResult::Audit { records, more } = session.query(&query).await? else {
            return Err(CtlError::UnexpectedAnswer);
        };
        has_more = more;
        let Some(last) = records.last() else {
            break;
        };
        next = last.index + 1;
        found.extend(records);
    }
    Ok(list_report(
        "index time_ms operator origin request_id revisions action changes",
        found.iter().map(audit_line),
        json!({ "records": found, "more": has_more }),
    ))
}

fn audit_line(record: &AuditRecord) -> String {
    format!(
        "{} {} {} {} {} {}->{} {:?} [{}]",
        record.index,
        record.time_ms,
        record.operator,
        record.origin,
        record.request_id,
        record.before_revision,
        record.after_revision,
        record.action,
        record.changes.join(", "),
    )
}

/// A report whose text is a header and one line for each item.
pub(crate) fn list_report(
    header: &str,
    lines: impl Iterator<Item = String>,
    json: Value,
) -> CtlReport {
    let lines: Vec<String> = std::iter::once(header.to_owned()).chain(lines).collect();
    CtlReport::new(lines.join("\n"), json)
}
