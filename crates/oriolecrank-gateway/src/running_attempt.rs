//! One running attempt and its effect on load, usage counts, metrics and ejection.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::BootClock;
use oriolecrank_policy::outlier_ejection::UpstreamOutcome;
use oriolecrank_routing::{
    CallKind, ChosenUpstream, CrashSuspect, LimitStatement, OrganisationName, PauseCollector,
    PauseSample, ServiceName,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::event::LogEvent;

use crate::entry_shared::EntryShared;

/// An attempt that counts as load of its upstream until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningAttempt<D> {
    shared: Arc<EntryShared<D>>,
    service: ServiceName,
    kind: CallKind,
    pub(crate) chosen: ChosenUpstream,
    organisation: Option<OrganisationName>,
    sent_at: TimePoint,
    /// What may be the cause if the upstream crashes while it runs the request.
    suspects: Vec<CrashSuspect>,
    /// Time of the last sign of the upstream on this attempt, or of sending; `None` while nothing is
    /// awaited from it.
    awaiting_since: Option<TimePoint>,
    /// The upstream has started to run the request, or is assumed to have run it.
    started: bool,
    /// Time from sending the request to its complete answer; `None` until then and for streams.
    service_time: Option<Duration>,
    /// Pauses of the answer's events that are not recorded yet.
    pauses: PauseCollector,
    /// A pause of this stream was longer than its target, which is logged once.
    paused_late: bool,
}

impl<D> RunningAttempt<D> {
    pub(crate) const fn new(
        shared: Arc<EntryShared<D>>,
        service: ServiceName,
        kind: CallKind,
        chosen: ChosenUpstream,
        organisation: Option<OrganisationName>,
        suspects: Vec<CrashSuspect>,
        sent_at: TimePoint,
    ) -> Self {
        Self {
            shared,
            service,
            kind,
            chosen,
            organisation,
            sent_at,
            suspects,
            awaiting_since: None,
            started: false,
            service_time: None,
            pauses: PauseCollector::new(),
            paused_late: false,
        }
    }

    /// Sets the time of sending, which is later than that of the choice if another engine had to
    /// prefill the prompt first.
    pub(crate) fn mark_sent(&mut self, now: TimePoint) {
        self.sent_at = now;
        let chosen = &self.chosen;
        self.shared
            .with_service(&self.service, |state| state.chooser.mark_sent(chosen, now));
    }

    /// Records that the upstream is expected to send something from now on.
    pub(crate) const fn expect_data(&mut self, now: TimePoint) {
        self.awaiting_since = Some(now);
    }

    /// Records that nothing more is expected from the upstream, or that its connection broke.
    pub(crate) const fn expect_nothing(&mut self) {
        self.awaiting_since = None;
    }

    /// Records the first event or the head of the answer, which show that the upstream runs the
    /// request, and counts the request as usage. Later calls have no effect.
    pub(crate) fn record_start(&mut self, now: TimePoint) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        let elapsed = now.since(self.sent_at);
        self.shared.metrics.observe_first_answer(self.kind, elapsed);
        let chosen = &mut self.chosen;
        let started_at = self.shared.with_service(&self.service, |state| {
            state.chooser.record_first_answer(chosen, elapsed, now);
            state.chooser.start_time(chosen, self.sent_at, now)
        });
        self.count_usage(started_at);
    }

    /// Records `events` of a stream that have arrived together.
    pub(crate) fn record_events(&mut self, events: u32, target: Duration, now: TimePoint) {
        let pause = self.pauses.record(events, now);
        if let Some(pause) = pause.filter(|pause| *pause > target) {
            self.record_late_pause(pause, now);
        }
        if let Some(sample) = self.pauses.take_full() {
            self.record_pauses(sample, now);
        }
    }

    /// Leaves out the pause before the next event, because the caller has delayed it.
    pub(crate) const fn skip_pause(&mut self) {
        self.pauses.skip_pause();
    }

    fn record_pauses(&self, sample: PauseSample, now: TimePoint) {
        let upstream = &self.chosen.announcement;
        self.shared.with_service(&self.service, |state| {
            state.chooser.record_pauses(upstream, sample, now);
        });
    }

    fn record_late_pause(&mut self, pause: Duration, now: TimePoint) {
        if std::mem::replace(&mut self.paused_late, true) {
            return;
        }
        self.shared.metrics.count_paused_stream();
        let upstream = &self.chosen.announcement.name;
        let status = self.shared.with_service(&self.service, |state| {
            state.chooser.engine_status(upstream.as_str(), now)
        });
        tracing::info!(
            event = LogEvent::StreamPaused.number(),
            %upstream,
            pause_ms = pause.as_millis() as u64,
            ?status,
            "a stream paused for longer than its route allows"
        );
    }

    /// Records that the answer was lost. A request that was sent has most probably run and counts
    /// as usage, except for one to a model engine.
    pub(crate) fn record_lost(&mut self) {
        if self.started || self.chosen.announcement.role.is_some() {
            return;
        }
        self.started = true;
        self.count_usage(self.sent_at + self.chosen.round_trip / 2);
    }

    /// Counts the run in the usage window in which it started.
    fn count_usage(&self, started_at: TimePoint) {
        if let Some(organisation) = &self.organisation {
            self.shared.count_usage(organisation, started_at);
        }
    }

    /// Records that the answer, which is not a stream, is complete.
    pub(crate) fn record_completion(&mut self, now: TimePoint) {
        self.service_time = Some(now.since(self.sent_at));
    }

    /// Records that the upstream refused the request without running it. The chooser takes that as
    /// a sign that the upstream is full.
    pub(crate) fn record_refusal(&self, now: TimePoint) {
        let name = self.chosen.announcement.name.as_str();
        self.shared.with_service(&self.service, |state| {
            state.chooser.record_refusal(name, now);
        });
    }

    /// Whether the upstream wants no more requests by now.
    pub(crate) fn must_be_withheld(&self, now: TimePoint) -> bool {
        let chosen = &self.chosen;
        self.shared.with_service(&self.service, |state| {
            state.chooser.must_withhold(chosen, now)
        })
    }

    /// Records that the machine of the upstream refuses connections, as after a crash.
    pub(crate) fn record_refused_connection(&self, now: TimePoint) {
        let upstream = &self.chosen.announcement;
        self.shared.record_refused_connection(upstream, now);
    }

    /// Records what the answer says about the upstream's limit, and logs a change.
    pub(crate) fn record_limit(&self, statement: LimitStatement, now: TimePoint) {
        let name = &self.chosen.announcement.name;
        let changed = self.shared.with_service(&self.service, |state| {
            let chooser = &mut state.chooser;
            chooser.record_limit(
                name.as_str(),
                statement,
                self.sent_at,
                now,
                &mut rand::rng(),
            )
        });
        if changed {
            tracing::info!(
                event = LogEvent::LimitChanged.number(),
                upstream = %name,
                service = %self.service,
                ?statement,
                "an upstream states another limit than before"
            );
        }
    }

    /// Whether the upstream has answered other requests of this entry since this one was sent. Such
    /// an upstream is slow or full, but has not failed.
    pub(crate) fn has_upstream_answered(&self) -> bool {
        self.has_upstream_answered_since(self.sent_at)
    }

    /// Whether the upstream has answered other requests of this entry since a time.
    pub(crate) fn has_upstream_answered_since(&self, since: TimePoint) -> bool {
        let name = self.chosen.announcement.name.as_str();
        self.shared.with_service(&self.service, |state| {
            state.chooser.has_answered(name, since)
        })
    }

    /// Records the outcome of the attempt for outlier ejection and logs if the upstream is ejected.
    pub(crate) fn record_outcome(&self, outcome: UpstreamOutcome, now: TimePoint) {
        let name = &self.chosen.announcement.name;
        let ejected = self.shared.with_service(&self.service, |state| {
            state.chooser.record(name, outcome, now)
        });
        if ejected {
            self.shared.metrics.count_ejection();
            let event = LogEvent::UpstreamEjected.number();
            tracing::warn!(event, upstream = %name, "an upstream is ejected");
        }
    }
}

impl<D> Drop for RunningAttempt<D> {
    fn drop(&mut self) {
        if let Some(since) = self.awaiting_since {
            let upstream = &self.chosen.announcement;
            self.shared
                .record_silent_attempt(upstream, &self.suspects, since, current_time());
        }
        if let Some(rest) = self.pauses.take_rest() {
            self.record_pauses(rest, current_time());
        }
        let name = self.chosen.announcement.name.as_str();
        let (ticket, service_time) = (&self.chosen.ticket, self.service_time);
        self.shared.with_service(&self.service, |state| {
            state
                .chooser
                .finish(name, ticket, service_time, current_time());
        });
    }
}

/// Present time by the boot-time clock.
pub(crate) fn current_time() -> TimePoint {
    BootClock.now()
}
