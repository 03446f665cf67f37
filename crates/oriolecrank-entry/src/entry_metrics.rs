//! Metrics of an entry.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use oriolecrank_schema::document::{PriorityClass, ServiceId};
use oriolecrank_state::Revision;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Shortest time to the first byte that is told apart, in seconds.
const FIRST_BUCKET_S: f64 = 0.001;

/// Buckets of the time to the first byte; the last one ends at about 130 s.
const BUCKETS: u16 = 18;

/// State age that is shown before the first confirmation, in seconds.
const UNKNOWN_AGE_S: f64 = f64::INFINITY;

/// Labels of finished requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    service: String,
    class: String,
    outcome: &'static str,
}

/// Labels of times.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
    class: String,
}

/// Labels of further attempts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabels {
    service: String,
    kind: &'static str,
}

/// Labels of refusals.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    code: String,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer was passed on.
    Answered,
    /// The caller got an error.
    Failed,
    /// The caller went away.
    Left,
}

impl RequestOutcome {
    const fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Left => "caller_left",
        }
    }
}

/// Why a further attempt was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryKind {
    /// The previous attempt failed before anything was passed on.
    Retry,
    /// The previous attempt is slow.
    Hedge,
    /// An answer that has begun continues on another upstream.
    Continue,
}

impl RetryKind {
    const fn label(self) -> &'static str {
        match self {
            Self::Retry => "retry",
            Self::Hedge => "hedge",
            Self::Continue => "continue",
        }
    }
}

/// Metrics of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    requests: Family<RequestLabels, Counter>,
    first_byte: Family<ServiceLabels, Histogram>,
    retries: Family<RetryLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    coalesced: Counter,
    state_age: Gauge<f64, AtomicU64>,
    revision: Gauge,
    pending_usage: Gauge,
    lost_usage: Counter,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let buckets = || Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS));
        let state_age = Gauge::<f64, AtomicU64>::default();
        state_age.set(UNKNOWN_AGE_S);
        Self {
            requests: Family::default(),
            first_byte: Family::new_with_constructor(buckets),
            retries: Family::default(),
            refusals: Family::default(),
            coalesced: Counter::default(),
            state_age,
            revision: Gauge::default(),
            pending_usage: Gauge::default(),
            lost_usage: Counter::default(),
        }
    }
}

impl EntryMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("oriolecrank_entry");
        registry.register("requests", "Finished requests", self.requests.clone());
        registry.register_with_unit(
            "first_byte",
            "Time from the request to the first byte of the answer",
            Unit::Seconds,
            self.first_byte.clone(),
        );
        registry.register("retries", "Further attempts", self.retries.clone());
        registry.register("refusals", "Errors to callers", self.refusals.clone());
        registry.register(
            "coalesced",
            "Reads that joined a running read",
            self.coalesced.clone(),
        );
        registry.register_with_unit(
            "state_age",
            "Age of the newest confirmation of the state",
            Unit::Seconds,
            self.state_age.clone(),
        );
        registry.register("revision", "Revision in force", self.revision.clone());
        registry.register(
            "usage_pending",
            "Usage records that are not acknowledged",
            self.pending_usage.clone(),
        );
        registry.register(
            "usage_lost",
            "Usage records that were dropped because too many waited",
            self.lost_usage.clone(),
        );
    }

    /// Counts a finished request.
    pub fn count_request(
        &self,
        service: &ServiceId,
        class: PriorityClass,
        outcome: RequestOutcome,
    ) {
        let labels = RequestLabels {
            service: service.to_string(),
            class: class.to_string(),
            outcome: outcome.label(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Notes the time to the first byte of an answer.
    pub fn observe_first_byte(&self, service: &ServiceId, class: PriorityClass, time: Duration) {
        let labels = ServiceLabels {
            service: service.to_string(),
            class: class.to_string(),
        };
        let histogram = self.first_byte.get_or_create(&labels);
        histogram.observe(time.as_secs_f64());
    }

    /// Counts a further attempt.
    pub fn count_retry(&self, service: &ServiceId, kind: RetryKind) {
        let labels = RetryLabels {
            service: service.to_string(),
            kind: kind.label(),
        };
        self.retries.get_or_create(&labels).inc();
    }

    /// Counts an error to a caller. Codes come from a fixed set, never from callers.
    pub fn count_refusal(&self, code: &str) {
        let labels = RefusalLabels {
            code: code.to_owned(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts a read that joined a running read.
    pub fn count_coalesced(&self) {
        self.coalesced.inc();
    }

    /// Shows the age of the state.
    pub fn set_state_age(&self, age: Option<Duration>) {
        let seconds = age.map_or(UNKNOWN_AGE_S, |age| age.as_secs_f64());
        self.state_age.set(seconds);
    }

    /// Shows the revision in force.
    pub fn set_revision(&self, revision: Revision) {
        self.revision
            .set(i64::try_from(revision.0).unwrap_or(i64::MAX));
    }

    /// Shows the number of usage records that wait.
    pub fn set_pending_usage(&self, records: usize) {
        self.pending_usage
            .set(i64::try_from(records).unwrap_or(i64::MAX));
    }

    /// Counts a usage record that was dropped.
    pub fn count_lost_usage(&self) {
        self.lost_usage.inc();
    }
}
