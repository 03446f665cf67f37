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

/// Upper bound of the first bucket of the time to the first byte, in seconds.
const FIRST_BUCKET_S: f64 = 0.001;

/// Number of buckets of the time to the first byte. Each has twice the upper bound of the one
/// before; the last one ends at about 130 s.
const BUCKET_COUNT: u16 = 18;

/// Value of the state age before the first ping is confirmed, in seconds.
const UNKNOWN_AGE_S: f64 = f64::INFINITY;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    service: String,
    class: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
    class: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabels {
    service: String,
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    code: String,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller was sent the whole answer.
    Answered,
    /// The caller was sent an error or a broken answer.
    Failed,
    /// The caller disconnected before the end of the answer.
    CallerDisconnected,
}

impl RequestOutcome {
    const fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::CallerDisconnected => "caller_left",
        }
    }
}

/// Why a further attempt was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryKind {
    /// The previous attempt failed before the caller was sent output tokens.
    Retry,
    /// The previous attempt is slow and still runs.
    Hedge,
    /// A stream broke after the caller was sent output tokens. The new attempt continues it.
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

/// Metrics of an entry; [`Self::register`] adds them to the registry that is served.
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
        let buckets = || Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT));
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
    /// Adds the metrics to a registry, with the prefix `oriolecrank_entry`.
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

    /// Records the time from receiving a request to the first byte of its answer.
    pub fn observe_first_byte(&self, service: &ServiceId, class: PriorityClass, time: Duration) {
        let labels = ServiceLabels {
            service: service.to_string(),
            class: class.to_string(),
        };
        let histogram = self.first_byte.get_or_create(&labels);
        histogram.observe(time.as_secs_f64());
    }

    /// Counts an attempt after the first one of a request.
    pub fn count_retry(&self, service: &ServiceId, kind: RetryKind) {
        let labels = RetryLabels {
            service: service.to_string(),
            kind: kind.label(),
        };
        self.retries.get_or_create(&labels).inc();
    }

    /// Counts an error that a caller was sent. `code` must come from a fixed set and never from
    /// callers, because each code is a time series of its own.
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

    /// Sets the age of the state; `None` if no ping has been confirmed.
    pub fn set_state_age(&self, age: Option<Duration>) {
        let seconds = age.map_or(UNKNOWN_AGE_S, |age| age.as_secs_f64());
        self.state_age.set(seconds);
    }

    /// Sets the revision in force.
    pub fn set_revision(&self, revision: Revision) {
        self.revision
            .set(i64::try_from(revision.0).unwrap_or(i64::MAX));
    }

    /// Sets the number of usage records that control has not acknowledged.
    pub fn set_pending_usage(&self, records: usize) {
        self.pending_usage
            .set(i64::try_from(records).unwrap_or(i64::MAX));
    }

    /// Counts a usage record that was dropped because too many were pending.
    pub fn count_lost_usage(&self) {
        self.lost_usage.inc();
    }
}
