//! Compares committed starts and stops with the instances that the platform runs and the upstreams
//! that have announced themselves.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::{FailureDomainId, ServiceId, UpstreamId};

/// Identifier of a committed start or stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IntentId(pub u64);

/// A committed start or stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformIntent {
    /// Start one upstream.
    Start {
        /// Service of the upstream.
        service: ServiceId,
        /// Failure domain to start it in.
        failure_domain: FailureDomainId,
    },
    /// Stop an upstream.
    Stop {
        /// Upstream to stop.
        upstream: UpstreamId,
    },
}

/// An upstream that the platform reports as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformInstance {
    /// Identifier of the upstream.
    pub upstream: UpstreamId,
    /// Service that the upstream belongs to.
    pub service: ServiceId,
    /// Failure domain that the upstream runs in.
    pub failure_domain: FailureDomainId,
}

/// Next action for an intent, or its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformStep {
    /// Send the order to the platform, after checking the remaining leader lease.
    Send(IntentId),
    /// List the running instances again before anything else is sent for this intent.
    ReadBack(IntentId),
    /// The start or stop has taken effect.
    Settled(IntentId),
    /// The upstream was started but then ended or never announced itself; the start counts as
    /// crashed.
    Crashed(IntentId),
}

/// Settings of [`PlatformReconciler`].
#[derive(Debug, Clone, PartialEq)]
pub struct ReconcilerSettings {
    /// Longest time until an order takes effect. A list of instances that is requested within this
    /// time after the order may not show its effect.
    pub flight_time: Duration,
    /// A started upstream that has not announced itself within this time counts as crashed.
    pub announce_within: Duration,
}

impl Default for ReconcilerSettings {
    fn default() -> Self {
        Self {
            flight_time: Duration::from_secs(2),
            announce_within: Duration::from_mins(10),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum IntentState {
    /// Not sent, or known to have had no effect.
    Unsent,
    /// Sent; the platform's answer is outstanding or lost.
    Unknown { sent_at: TimePoint },
    /// The platform started this upstream for the intent.
    Started {
        upstream: UpstreamId,
        seen_at: TimePoint,
    },
}

#[derive(Debug, Clone)]
struct OpenIntent {
    intent: PlatformIntent,
    state: IntentState,
}

/// Tracks open starts and stops and the upstreams that belong to them.
///
/// The platform does not know intents, so a previously unknown upstream is taken as the effect of
/// the oldest open start with its service and failure domain that may have been sent. A start is
/// sent again only after a list of instances has shown that it had no effect, so a lost answer
/// never leads to a second upstream.
#[derive(Debug, Clone, Default)]
pub struct PlatformReconciler {
    settings: ReconcilerSettings,
    open_intents: IndexMap<IntentId, OpenIntent>,
    /// Upstreams that cannot be the effect of a start whose answer is outstanding: they ran before,
    /// or already belong to a start.
    known_upstreams: IndexSet<UpstreamId>,
    /// Whether [`Self::set_known_upstreams`] was called.
    has_baseline: bool,
}

impl PlatformReconciler {
    /// Creates a reconciler without a baseline. It sends nothing before
    /// [`Self::set_known_upstreams`] is called.
    pub fn new(settings: ReconcilerSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds an intent that was committed by this leader and is not sent yet.
    pub fn add(&mut self, id: IntentId, intent: PlatformIntent) {
        let state = IntentState::Unsent;
        self.open_intents
            .entry(id)
            .or_insert(OpenIntent { intent, state });
    }

    /// Adds an intent of an earlier leader, which that leader may have sent.
    pub fn add_possibly_sent(&mut self, id: IntentId, intent: PlatformIntent, now: TimePoint) {
        let state = IntentState::Unknown { sent_at: now };
        self.open_intents
            .entry(id)
            .or_insert(OpenIntent { intent, state });
    }

    /// Removes an intent whose result is known from another source.
    pub fn forget(&mut self, id: IntentId) {
        self.open_intents.shift_remove(&id);
    }

    /// Sets the baseline: upstreams that cannot be the effect of an open start, because they were
    /// members before the oldest open start was committed.
    pub fn set_known_upstreams(&mut self, members: impl IntoIterator<Item = UpstreamId>) {
        self.known_upstreams.extend(members);
        self.has_baseline = true;
    }

    /// Records that the order of an intent is about to be sent.
    pub fn record_sent(&mut self, id: IntentId, now: TimePoint) {
        if let Some(open) = self.open_intents.get_mut(&id) {
            open.state = IntentState::Unknown { sent_at: now };
        }
    }

    /// Records the platform's answer to a start, which names the new upstream.
    pub fn record_answer(&mut self, id: IntentId, upstream: UpstreamId, now: TimePoint) {
        let Some(open) = self.open_intents.get_mut(&id) else {
            return;
        };
        self.known_upstreams.insert(upstream.clone());
        open.state = IntentState::Started {
            upstream,
            seen_at: now,
        };
    }

    /// Returns the next steps, given the `running` instances from a list requested at
    /// `read_started_at` and the upstreams that have `announced` themselves. Settled and crashed
    /// intents are removed.
    pub fn reconcile(
        &mut self,
        running: &[PlatformInstance],
        announced: &[UpstreamId],
        read_started_at: TimePoint,
    ) -> Vec<PlatformStep> {
        if !self.has_baseline {
            return self
                .open_intents
                .keys()
                .copied()
                .map(PlatformStep::ReadBack)
                .collect();
        }
        self.match_new_instances(running, read_started_at);
        let ids: Vec<IntentId> = self.open_intents.keys().copied().collect();
        let mut steps = Vec::new();
        for id in ids {
            let step = self.next_step(id, running, announced, read_started_at);
            if let Some(PlatformStep::Settled(_) | PlatformStep::Crashed(_)) = &step {
                self.open_intents.shift_remove(&id);
            }
            steps.extend(step);
        }
        let is_running = |upstream: &UpstreamId| {
            running
                .iter()
                .any(|instance| instance.upstream == *upstream)
        };
        self.known_upstreams
            .retain(|upstream| is_running(upstream) || announced.contains(upstream));
        steps
    }

    /// Whether a start for this service and failure domain is open.
    pub fn is_starting(&self, service: &ServiceId, domain: &FailureDomainId) -> bool {
        self.open_intents.values().any(|open| {
            matches!(&open.intent, PlatformIntent::Start { service: intended, failure_domain }
                if intended == service && failure_domain == domain)
        })
    }

    /// Assigns each previously unknown upstream to the oldest open start with its service and
    /// failure domain, if there is one whose answer is outstanding.
    fn match_new_instances(&mut self, running: &[PlatformInstance], read_started_at: TimePoint) {
        for instance in running {
            if self.known_upstreams.contains(&instance.upstream) {
                continue;
            }
            let start = self.open_intents.values_mut().find(|open| {
                matches!(open.state, IntentState::Unknown { .. })
                    && matches!(&open.intent, PlatformIntent::Start { service, failure_domain }
                        if *service == instance.service && *failure_domain == instance.failure_domain)
            });
            if let Some(open) = start {
                open.state = IntentState::Started {
                    upstream: instance.upstream.clone(),
                    seen_at: read_started_at,
                };
            }
            // Without a matching start, the upstream was started outside this reconciler.
            self.known_upstreams.insert(instance.upstream.clone());
        }
    }

    fn next_step(
        &mut self,
        id: IntentId,
        running: &[PlatformInstance],
        announced: &[UpstreamId],
        read_started_at: TimePoint,
    ) -> Option<PlatformStep> {
        let open = self.open_intents.get_mut(&id)?;
        let is_running = |upstream: &UpstreamId| {
            running
                .iter()
                .any(|instance| instance.upstream == *upstream)
        };
        if let PlatformIntent::Stop { upstream } = &open.intent
            && !is_running(upstream)
        {
            return Some(PlatformStep::Settled(id));
        }
        match &open.state {
            IntentState::Unsent => Some(PlatformStep::Send(id)),
            IntentState::Unknown { sent_at } => {
                let effective_by = *sent_at + self.settings.flight_time;
                if read_started_at <= effective_by {
                    return Some(PlatformStep::ReadBack(id));
                }
                // The list was requested after the order must have taken effect and does not show
                // its effect, so the order was lost.
                open.state = IntentState::Unsent;
                Some(PlatformStep::Send(id))
            }
            IntentState::Started { upstream, seen_at } => {
                if announced.contains(upstream) {
                    return Some(PlatformStep::Settled(id));
                }
                let overdue = read_started_at.since(*seen_at) > self.settings.announce_within;
                let has_exited =
                    !is_running(upstream) && read_started_at > *seen_at + self.settings.flight_time;
                (overdue || has_exited).then_some(PlatformStep::Crashed(id))
            }
        }
    }
}
