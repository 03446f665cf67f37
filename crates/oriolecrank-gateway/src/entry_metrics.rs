//! Metrics of an entry of a site.

use std::time::Duration;

use oriolecrank_policy::upstream_state::UpstreamDistance;
use oriolecrank_routing::{CallKind, CallPlan, CrashSuspect, NoUpstream};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::dialect::CallFailure;
use crate::fair_share::OrganisationMetrics;

/// Upper bound of the first bucket of durations, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.002;

/// Number of buckets of durations. Each upper bound is twice the one before; the last one is about
/// 16 s, above the longest timeout of the deployments.
const BUCKET_COUNT: u16 = 14;

/// Label with an outcome out of a fixed set.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// Label with the kind of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

/// Label with the distance of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DistanceLabel {
    distance: &'static str,
}

impl From<UpstreamDistance> for DistanceLabel {
    fn from(distance: UpstreamDistance) -> Self {
        let distance = match distance {
            UpstreamDistance::SameDomain => "same_domain",
            UpstreamDistance::SameRegion => "same_region",
            UpstreamDistance::OtherRegion => "other_region",
        };
        Self { distance }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// The head of an answer to this request arrived.
    Answered,
    /// No connection could be established, or it closed before the request was sent.
    NotConnected,
    /// The upstream asked for a pause or stated that it leaves before the request was sent.
    Withheld,
    /// The upstream states that it did not run the request, or a prefill gave no usable result.
    Refused,
    /// No usable answer arrived, and the request may have run.
    Lost,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamOutcome {
    /// All of it was sent to the caller.
    Complete,
    /// The caller closed its connection.
    CallerLeft,
    /// It failed and could not be resumed.
    Broken,
    /// It was resumed on another upstream; its final outcome is counted as well.
    Resumed,
}

/// Metrics of the process; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct EntryMetrics {
    requests: Family<OutcomeLabel, Counter>,
    refusals: Family<OutcomeLabel, Counter>,
    attempts: Family<OutcomeLabel, Counter>,
    extra_attempts: Family<OutcomeLabel, Counter>,
    distances: Family<DistanceLabel, Counter>,
    sent_bytes: Family<DistanceLabel, Counter>,
    kept_in_region: Counter,
    streams: Family<OutcomeLabel, Counter>,
    quota_asks: Family<OutcomeLabel, Counter>,
    ejections: Counter,
    pauses: Counter,
    paused_streams: Counter,
    first_answer: Family<KindLabel, Histogram>,
    document_version: Gauge,
    document_bytes: Counter,
    upstreams: Gauge,
    entries: Gauge,
    last_sync: Gauge,
    /// Requests of each organisation.
    pub(crate) organisations: OrganisationMetrics,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            extra_attempts: Family::default(),
            distances: Family::default(),
            sent_bytes: Family::default(),
            kept_in_region: Counter::default(),
            streams: Family::default(),
            quota_asks: Family::default(),
            ejections: Counter::default(),
            pauses: Counter::default(),
            paused_streams: Counter::default(),
            first_answer: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
            }),
            document_version: Gauge::default(),
            document_bytes: Counter::default(),
            upstreams: Gauge::default(),
            entries: Gauge::default(),
            last_sync: Gauge::default(),
            organisations: OrganisationMetrics::default(),
        }
    }
}

impl EntryMetrics {
    /// Registers all metrics under the names that operators use.
    pub(crate) fn register(&self, registry: &mut Registry) {
        self.organisations.register(registry);
        let families = [
            (
                "requests",
                "Requests of callers, by outcome",
                &self.requests,
            ),
            (
                "refusals",
                "Choices that found no upstream, by reason",
                &self.refusals,
            ),
            ("attempts", "Attempts at upstreams, by end", &self.attempts),
            (
                "extra_attempts",
                "Attempts beyond the first that were wanted, by decision of the budget",
                &self.extra_attempts,
            ),
            ("streams", "Streams that had begun, by end", &self.streams),
            (
                "quota_asks",
                "Asks of the leader for tokens of quotas, by outcome",
                &self.quota_asks,
            ),
        ];
        for (name, help, family) in families {
            registry.register(name, help, family.clone());
        }
        let help = "Requests by the distance of the upstream that was chosen to serve them";
        registry.register("choices", help, self.distances.clone());
        let help = "Bytes of request bodies by the distance of the upstream that was chosen";
        registry.register("chosen_body_bytes", help, self.sent_bytes.clone());
        let help = "Requests kept in the region because this entry has used its part of the room elsewhere";
        registry.register("kept_in_region", help, self.kept_in_region.clone());
        let help = "Upstreams that were ejected because of failed attempts";
        registry.register("ejections", help, self.ejections.clone());
        let help = "Pauses that upstreams have asked this entry for";
        registry.register("pauses", help, self.pauses.clone());
        let help = "Streams with a pause between two events above the limit of their route";
        registry.register("paused_streams", help, self.paused_streams.clone());
        let help = "Bytes of documents received from control instances";
        registry.register("document_bytes", help, self.document_bytes.clone());
        let help = "Time from sending an attempt to its first event or the head of its answer";
        let histogram = self.first_answer.clone();
        registry.register_with_unit("first_answer", help, Unit::Seconds, histogram);
        let gauges = [
            (
                "document_version",
                "Version of the document in force, 0 before the first one",
                &self.document_version,
            ),
            ("upstreams", "Upstreams that are known", &self.upstreams),
            (
                "entries",
                "Entries that share the budget, as the last answer of control told",
                &self.entries,
            ),
            (
                "last_sync_timestamp_seconds",
                "Unix time of the last answer of a control instance",
                &self.last_sync,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Counts an ask of the leader for tokens of quotas.
    pub(crate) fn count_quota_ask(&self, answered: bool) {
        let outcome = if answered { "answered" } else { "failed" };
        self.quota_asks
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }

    /// Counts the bytes of a received document.
    pub(crate) fn count_document_bytes(&self, bytes: usize) {
        self.document_bytes.inc_by(bytes as u64);
    }

    /// Counts an answered request; `failure` is set if the entry itself had to answer.
    pub(crate) fn count_request(&self, failure: Option<CallFailure>) {
        let outcome = match failure {
            None => "answered",
            Some(CallFailure::Malformed) => "malformed",
            Some(CallFailure::TooLarge) => "too_large",
            Some(CallFailure::NoRoom { .. }) => "no_room",
            Some(CallFailure::UnknownRoute) => "unknown_route",
            Some(CallFailure::UnknownKey) => "unknown_key",
            Some(CallFailure::NotRun { .. } | CallFailure::CannotResume { .. }) => "not_run",
            Some(CallFailure::OverQuota { .. }) => "over_quota",
            Some(CallFailure::MayHaveRun) => "may_have_run",
            Some(CallFailure::TimedOut) => "timed_out",
        };
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a request for which no upstream could be chosen.
    pub(crate) fn count_refusal(&self, reason: NoUpstream) {
        let outcome = match reason {
            NoUpstream::None => "no_upstream",
            NoUpstream::NoServingRole => "no_serving_role",
            NoUpstream::NoVersion => "no_version",
            NoUpstream::Full(_) => "full",
            NoUpstream::Limited(_) => "limited",
            NoUpstream::Paused { .. } => "paused",
        };
        self.refusals.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a request that was refused because its flow exceeds its share.
    pub(crate) fn count_over_share(&self) {
        let outcome = "over_share";
        self.refusals.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a request that resumes a stream of which nothing tells where it began.
    pub(crate) fn count_unresumable(&self) {
        let outcome = "unresumable";
        self.refusals.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a request that was refused because a part of its prompt crashes upstreams.
    pub(crate) fn count_refused_suspect(&self, suspect: CrashSuspect) {
        let outcome = match suspect {
            CrashSuspect::Part(_) => "crashing_part",
            CrashSuspect::Request(_) => "crashing_request",
        };
        self.refusals.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts an attempt that has received an answer or has failed.
    pub(crate) fn count_attempt(&self, outcome: AttemptOutcome) {
        let outcome = match outcome {
            AttemptOutcome::Answered => "answered",
            AttemptOutcome::NotConnected => "not_connected",
            AttemptOutcome::Withheld => "withheld",
            AttemptOutcome::Refused => "refused",
            AttemptOutcome::Lost => "lost",
        };
        self.attempts.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts the decision of the retry budget about an attempt beyond the first.
    pub(crate) fn count_extra_attempt(&self, granted: bool) {
        let outcome = if granted { "granted" } else { "denied" };
        let counter = self.extra_attempts.get_or_create(&OutcomeLabel { outcome });
        counter.inc();
    }

    /// Counts a stream that has ended or was resumed on another upstream.
    pub(crate) fn count_stream(&self, outcome: StreamOutcome) {
        let outcome = match outcome {
            StreamOutcome::Complete => "complete",
            StreamOutcome::CallerLeft => "caller_left",
            StreamOutcome::Broken => "broken",
            StreamOutcome::Resumed => "resumed",
        };
        self.streams.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts the choice of an upstream for a request with a body of `body_bytes`.
    pub(crate) fn count_choice(&self, plan: &CallPlan, body_bytes: usize) {
        let label = DistanceLabel::from(plan.serving_upstream.distance);
        self.sent_bytes
            .get_or_create(&label)
            .inc_by(body_bytes as u64);
        self.distances.get_or_create(&label).inc();
        if plan.kept_in_region {
            self.kept_in_region.inc();
        }
    }

    /// Counts an ejected upstream.
    pub(crate) fn count_ejection(&self) {
        self.ejections.inc();
    }

    /// Counts a pause that an upstream asks for.
    pub(crate) fn count_pause(&self) {
        self.pauses.inc();
    }

    /// Counts a stream with a pause above the limit of its route.
    pub(crate) fn count_paused_stream(&self) {
        self.paused_streams.inc();
    }

    /// Records the time from sending an attempt to its first event or the head of its answer.
    pub(crate) fn observe_first_answer(&self, kind: CallKind, elapsed: Duration) {
        let kind = match kind {
            CallKind::Stream => "stream",
            CallKind::Idempotent => "idempotent",
            CallKind::NonIdempotent => "non_idempotent",
        };
        let histogram = self.first_answer.get_or_create(&KindLabel { kind });
        histogram.observe(elapsed.as_secs_f64());
    }

    /// Records the answer of a control instance: its Unix time, the number of entries in the site
    /// and the number of known upstreams.
    pub(crate) fn record_sync(&self, unix_ms: u64, entries: u32, upstreams: usize) {
        self.last_sync.set((unix_ms / 1_000).cast_signed());
        self.entries.set(i64::from(entries));
        self.upstreams.set(upstreams.cast_signed() as i64);
    }

    /// Sets the version of the document in force.
    pub(crate) fn set_document(&self, version: u64) {
        self.document_version.set(version.cast_signed());
    }
}
