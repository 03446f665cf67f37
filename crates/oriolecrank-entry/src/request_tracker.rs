//! What is counted for one request of a caller.

use std::sync::Arc;

use oriolecrank_schema::document::{PriorityClass, ServiceId};
use tokio::time::Instant;

use crate::admission::AdmissionPermit;
use crate::call_plan::CallPlan;
use crate::entry_metrics::{EntryMetrics, RequestOutcome};

/// Counts a request when it is dropped and holds its share of the concurrency limit until then.
#[derive(Debug)]
pub struct RequestTracker {
    metrics: Arc<EntryMetrics>,
    service: ServiceId,
    class: PriorityClass,
    started_at: Instant,
    first_byte_seen: bool,
    outcome: RequestOutcome,
    _permit: AdmissionPermit,
}

impl RequestTracker {
    /// Tracks an admitted request. Unless it finishes, its caller has left.
    pub fn new(
        metrics: Arc<EntryMetrics>,
        plan: &CallPlan,
        started_at: Instant,
        permit: AdmissionPermit,
    ) -> Self {
        Self {
            metrics,
            service: plan.service().clone(),
            class: plan.template.class,
            started_at,
            first_byte_seen: false,
            outcome: RequestOutcome::Left,
            _permit: permit,
        }
    }

    /// The answer begins.
    pub fn note_first_byte(&mut self) {
        if self.first_byte_seen {
            return;
        }
        self.first_byte_seen = true;
        let time = self.started_at.elapsed();
        self.metrics
            .observe_first_byte(&self.service, self.class, time);
    }

    /// The answer has ended.
    pub fn finish(&mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        self.metrics
            .count_request(&self.service, self.class, self.outcome);
    }
}
