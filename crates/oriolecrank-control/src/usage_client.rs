//! Client for the usage interface, which receives the reports of usage windows.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{Request, StatusCode};
use http_body_util::Full;
use oriolecrank_schema::control::UsageWindow;
use oriolecrank_schema::document::{OrganisationId, ServiceId};
use serde::Serialize;

use crate::action_authority::WritePermit;
use crate::cluster_label::ClusterLabel;
use crate::guarded_client::{GuardedError, VerdictError, send_guarded};

/// Longest wait for the answer to a report. The remaining leader authority also limits it.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Id of a report; the same for each attempt to report a window.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReportId(pub String);

/// Report of one closed window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// Idempotency key of the report.
    pub id: ReportId,
    /// JSON body. It depends only on the cluster and the committed window, so that every leader
    /// sends the same bytes.
    pub body: Bytes,
}

/// Body of a report. Its fields and their order must not change between versions, because the next
/// leader may run another version and has to send the same bytes again.
#[derive(Debug, Serialize)]
struct ReportBody<'a> {
    report_id: &'a str,
    window_id: u64,
    opened_ms: u64,
    closed_ms: u64,
    lines: Vec<ReportLine<'a>>,
}

#[derive(Debug, Serialize)]
struct ReportLine<'a> {
    organisation: &'a OrganisationId,
    service: &'a ServiceId,
    attempts: u64,
    prompt_tokens: u64,
    output_tokens: u64,
    late: bool,
}

impl UsageReport {
    /// Creates the report of a closed window of `cluster`.
    pub fn new(cluster: &ClusterLabel, window: &UsageWindow) -> Self {
        let id = format!("{cluster}/window/{}", window.window_id);
        let lines = window.lines.iter().map(|line| ReportLine {
            organisation: &line.organisation,
            service: &line.service,
            attempts: line.attempts,
            prompt_tokens: line.prompt_tokens,
            output_tokens: line.output_tokens,
            late: line.late,
        });
        let body = ReportBody {
            report_id: &id,
            window_id: window.window_id,
            opened_ms: window.opened_ms,
            closed_ms: window.closed_ms,
            lines: lines.collect(),
        };
        let body = serde_json::to_vec(&body).expect("figures and names always encode into memory");
        Self {
            id: ReportId(id),
            body: body.into(),
        }
    }
}

/// Answer to a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportAnswer {
    /// The usage interface has stored the report.
    Accepted,
    /// The usage interface answered with a status other than 2xx; the report does not count as
    /// stored.
    Refused {
        /// Status and body of the answer.
        reason: String,
    },
}

/// Access of the control leader to the usage interface.
pub trait UsageClient: Send + Sync + 'static {
    /// Failed request; its verdict says whether the report may have been received.
    type Error: VerdictError;

    /// Sends a report. Nothing is written once the permit has ended, and the wait for the answer
    /// ends with it.
    fn report<P: WritePermit>(
        &self,
        report: &UsageReport,
        permit: &P,
    ) -> impl Future<Output = Result<ReportAnswer, Self::Error>> + Send;
}

/// Client for a usage interface over HTTP: `POST /v1/usage` with a JSON body and the report id as
/// idempotency key.
#[derive(Debug, Clone)]
pub struct HttpUsage {
    address: SocketAddr,
}

impl HttpUsage {
    /// Creates a client for the usage interface at `address`.
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl UsageClient for HttpUsage {
    type Error = GuardedError;

    async fn report<P: WritePermit>(
        &self,
        report: &UsageReport,
        permit: &P,
    ) -> Result<ReportAnswer, GuardedError> {
        let time_limit = permit.remaining().unwrap_or_default().min(REPORT_TIMEOUT);
        let request = Request::post("/v1/usage")
            .header(HOST, "usage")
            .header(CONTENT_TYPE, "application/json")
            .header("idempotency-key", &report.id.0)
            .body(Full::from(report.body.clone()))
            .expect("path and headers are valid");
        let answer = send_guarded(self.address, request, permit, time_limit).await?;
        Ok(report_answer(answer.status, &answer.body))
    }
}

fn report_answer(status: StatusCode, body: &[u8]) -> ReportAnswer {
    if status.is_success() {
        return ReportAnswer::Accepted;
    }
    let text = String::from_utf8_lossy(body);
    ReportAnswer::Refused {
        reason: format!("{status}: {text}"),
    }
}
