//! Counts the requests of callers in the metrics.

use std::sync::Arc;

use oriolecrank_schema::document::{PriorityClass, ServiceId};
use tokio::time::Instant;

use crate::admission::AdmissionPermit;
use crate::call_plan::CallPlan;
use crate::entry_metrics::{EntryMetrics, RequestOutcome};

/// Counts an admitted request with its outcome when it is dropped, and holds its admission permit
/// until then.
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
    /// Tracks an admitted request. Unless [`Self::finish`] is called, it is counted as
    /// [`RequestOutcome::CallerDisconnected`].
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
            outcome: RequestOutcome::CallerDisconnected,
            _permit: permit,
        }
    }

    /// Records the time to the first byte of the answer. Only the first call has an effect.
    pub fn record_first_byte(&mut self) {
        if self.first_byte_seen {
            return;
        }
        self.first_byte_seen = true;
        let time = self.started_at.elapsed();
        self.metrics
            .observe_first_byte(&self.service, self.class, time);
    }

    /// Sets the outcome under which the request is counted.
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
