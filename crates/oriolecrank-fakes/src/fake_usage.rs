//! A fake receiver of usage reports.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::{AnswerBody, BootClock, HttpHandler, empty_answer, read_body};
use oriolecrank_schema::TimePoint;

use crate::answer_faults::{FaultQueue, answer_with_fault};

/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024 * 1024;

/// A received report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedReport {
    /// Time of arrival on the boot-time clock.
    pub arrived_at: TimePoint,
    /// Value of the `idempotency-key` header; empty if there is none.
    pub report_id: String,
    /// Unparsed body.
    pub body: Bytes,
    /// Whether the report took effect; false if a fault refused or lost the request.
    pub stored: bool,
}

/// A receiver that records every report, repeated and refused ones included. Clones share one
/// state.
#[derive(Debug, Clone, Default)]
pub struct FakeUsage {
    reports: Arc<Mutex<Vec<ReceivedReport>>>,
    faults: FaultQueue,
}

impl FakeUsage {
    /// All reports, in the order of their arrival.
    pub fn reports(&self) -> Vec<ReceivedReport> {
        self.lock().clone()
    }

    /// Injected faults of the next reports.
    pub fn faults(&self) -> &FaultQueue {
        &self.faults
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ReceivedReport>> {
        let reports = self.reports.lock();
        reports.expect("no holder of the report lock panics")
    }
}

impl HttpHandler for FakeUsage {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        if head.method != Method::POST || head.uri.path() != "/v1/usage" {
            return empty_answer(StatusCode::NOT_FOUND);
        }
        let Some(body) = read_body(body, MAX_REPORT_BYTES).await else {
            return empty_answer(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let report_id = head.headers.get("idempotency-key");
        let report_id = report_id.and_then(|id| id.to_str().ok());
        let index = {
            let mut reports = self.lock();
            reports.push(ReceivedReport {
                arrived_at: BootClock.now(),
                report_id: report_id.unwrap_or_default().to_owned(),
                body,
                stored: false,
            });
            reports.len() - 1
        };
        let usage = self.clone();
        let store = move || {
            usage.lock()[index].stored = true;
            empty_answer(StatusCode::NO_CONTENT)
        };
        answer_with_fault(self.faults.next(), store).await
    }
}
