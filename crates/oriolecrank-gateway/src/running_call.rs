//! One attempt as the loads count it.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::BootClock;
use oriolecrank_policy::outlier_ejection::UpstreamOutcome;
use oriolecrank_routing::{CallKind, ChosenUpstream, OrganisationName, ServiceName};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::event::LogEvent;

use crate::entry_shared::EntryShared;

/// An attempt that counts as load of its upstream until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningCall<D> {
    shared: Arc<EntryShared<D>>,
    service: ServiceName,
    kind: CallKind,
    pub(crate) chosen: ChosenUpstream,
    organisation: Option<OrganisationName>,
    sent: TimePoint,
    begun: bool,
    call_time: Option<Duration>,
}

impl<D> RunningCall<D> {
    pub(crate) const fn new(
        shared: Arc<EntryShared<D>>,
        service: ServiceName,
        kind: CallKind,
        chosen: ChosenUpstream,
        organisation: Option<OrganisationName>,
        sent: TimePoint,
    ) -> Self {
        Self {
            shared,
            service,
            kind,
            chosen,
            organisation,
            sent,
            begun: false,
            call_time: None,
        }
    }

    /// The request is sent only now, because another engine had to read its prompt.
    pub(crate) fn restart(&mut self, now: TimePoint) {
        self.sent = now;
        let chosen = &self.chosen;
        self.shared
            .with_lane(&self.service, |lane| lane.chooser.mark_sent(chosen, now));
    }

    /// The upstream has shown that it runs the request, by a first event or the head of an answer.
    pub(crate) fn begin(&mut self, now: TimePoint) {
        if std::mem::replace(&mut self.begun, true) {
            return;
        }
        let elapsed = now.since(self.sent);
        self.shared.metrics.observe_first_answer(self.kind, elapsed);
        let chosen = &mut self.chosen;
        let begun = self.shared.with_lane(&self.service, |lane| {
            lane.chooser.record_first_answer(chosen, elapsed, now);
            lane.chooser.start_time(chosen, self.sent, now)
        });
        self.count(begun);
    }

    /// The answer was lost. A plain call that was sent has most probably run.
    pub(crate) fn lost(&mut self) {
        if self.begun || self.chosen.announcement.role.is_some() {
            return;
        }
        self.begun = true;
        self.count(self.sent + self.chosen.round_trip / 2);
    }

    /// Counts the run in the usage window of its begin.
    fn count(&self, begun: TimePoint) {
        if let Some(organisation) = &self.organisation {
            self.shared.count_usage(organisation, begun);
        }
    }

    /// A plain call was answered.
    pub(crate) fn answered(&mut self, now: TimePoint) {
        self.call_time = Some(now.since(self.sent));
    }

    /// The upstream has refused the request because it is full.
    pub(crate) fn refused(&self, now: TimePoint) {
        let name = self.chosen.announcement.name.as_str();
        self.shared
            .with_lane(&self.service, |lane| lane.chooser.record_refusal(name, now));
    }

    /// Whether the upstream has answered other requests since this one was sent.
    pub(crate) fn upstream_answers(&self) -> bool {
        self.upstream_answers_since(self.sent)
    }

    /// Whether the upstream has answered other requests since a time.
    pub(crate) fn upstream_answers_since(&self, since: TimePoint) -> bool {
        let name = self.chosen.announcement.name.as_str();
        self.shared
            .with_lane(&self.service, |lane| lane.chooser.has_answered(name, since))
    }

    /// Takes what the end of the attempt says about the upstream.
    pub(crate) fn record(&self, outcome: UpstreamOutcome, now: TimePoint) {
        let name = &self.chosen.announcement.name;
        let ejected = self.shared.with_lane(&self.service, |lane| {
            lane.chooser.record(name, outcome, now)
        });
        if ejected {
            self.shared.metrics.count_ejection();
            let event = LogEvent::UpstreamEjected.number();
            tracing::warn!(event, upstream = %name, "an upstream is ejected");
        }
    }
}

impl<D> Drop for RunningCall<D> {
    fn drop(&mut self) {
        let name = self.chosen.announcement.name.as_str();
        let (ticket, call_time) = (&self.chosen.ticket, self.call_time);
        self.shared.with_lane(&self.service, |lane| {
            lane.chooser.finish(name, ticket, call_time, now());
        });
    }
}

/// Present time, for callers of the methods above.
pub(crate) fn now() -> TimePoint {
    BootClock.now()
}
