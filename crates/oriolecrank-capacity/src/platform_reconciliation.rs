//! Compares wanted starts and stops with what the platform runs and what announces itself.

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
    /// Stable name.
    pub upstream: UpstreamId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomainId,
}

/// What has to be done for an intent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformStep {
    /// Send the order, after a check of the remaining lease.
    Send(IntentId),
    /// Read back what runs before anything else is sent for this intent.
    ReadBack(IntentId),
    /// The start or stop took effect.
    Settled(IntentId),
    /// The upstream was started and ended or never announced itself; the start counts as crashed.
    Crashed(IntentId),
}

/// Settings of [`PlatformReconciler`].
#[derive(Debug, Clone, PartialEq)]
pub struct ReconcilerSettings {
    /// Longest time that an order is in flight. A read-back that began earlier after the order may
    /// miss its effect.
    pub flight_time: Duration,
    /// A started upstream that has not announced itself for this long is considered crashed.
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
    /// Not sent, or known not to have had an effect.
    Unsent,
    /// Sent; the answer is outstanding or lost.
    Unknown { sent_at: TimePoint },
    /// The platform runs this upstream for the start.
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

/// Open starts and stops, and which upstreams belong to them.
///
/// The platform knows nothing of intents, so an upstream that was not known before is taken as the
/// effect of the oldest open start of its service and failure domain. Because every such start is
/// accounted for before another order is sent, a lost answer never leads to a second upstream.
#[derive(Debug, Clone, Default)]
pub struct PlatformReconciler {
    settings: ReconcilerSettings,
    open: IndexMap<IntentId, OpenIntent>,
    /// Upstreams that ran before, or that belong to a settled start.
    known: IndexSet<UpstreamId>,
    /// Whether the upstreams that ran before are stated.
    has_baseline: bool,
}

impl PlatformReconciler {
    /// A reconciler without a baseline. It sends nothing until [`Self::set_known_upstreams`] has stated one.
    pub fn new(settings: ReconcilerSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds an intent that this leader committed and has not sent.
    pub fn add(&mut self, id: IntentId, intent: PlatformIntent) {
        let state = IntentState::Unsent;
        self.open.entry(id).or_insert(OpenIntent { intent, state });
    }

    /// Adds an intent of an earlier leader, which that leader may have sent.
    pub fn add_possibly_sent(&mut self, id: IntentId, intent: PlatformIntent, now: TimePoint) {
        let state = IntentState::Unknown { sent_at: now };
        self.open.entry(id).or_insert(OpenIntent { intent, state });
    }

    /// Drops an intent that was settled elsewhere.
    pub fn forget(&mut self, id: IntentId) {
        self.open.shift_remove(&id);
    }

    /// States the upstreams that cannot be the effect of an open start, because they were members
    /// before the oldest of them was committed.
    pub fn set_known_upstreams(&mut self, members: impl IntoIterator<Item = UpstreamId>) {
        self.known.extend(members);
        self.has_baseline = true;
    }

    /// Records that the order of an intent is about to be sent.
    pub fn record_sent(&mut self, id: IntentId, now: TimePoint) {
        if let Some(open) = self.open.get_mut(&id) {
            open.state = IntentState::Unknown { sent_at: now };
        }
    }

    /// Records the platform's answer to a start that names the new upstream.
    pub fn record_answer(&mut self, id: IntentId, upstream: UpstreamId, now: TimePoint) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        self.known.insert(upstream.clone());
        open.state = IntentState::Started {
            upstream,
            seen_at: now,
        };
    }

    /// Applies a read-back that began at `began`, and the upstreams that have announced themselves.
    /// Settled and crashed intents are removed.
    pub fn reconcile(
        &mut self,
        running: &[PlatformInstance],
        announced: &[UpstreamId],
        began: TimePoint,
    ) -> Vec<PlatformStep> {
        if !self.has_baseline {
            return self
                .open
                .keys()
                .copied()
                .map(PlatformStep::ReadBack)
                .collect();
        }
        self.adopt(running, began);
        let ids: Vec<IntentId> = self.open.keys().copied().collect();
        let mut steps = Vec::new();
        for id in ids {
            let step = self.step(id, running, announced, began);
            if let Some(PlatformStep::Settled(_) | PlatformStep::Crashed(_)) = &step {
                self.open.shift_remove(&id);
            }
            steps.extend(step);
        }
        let runs = |upstream: &UpstreamId| running.iter().any(|one| one.upstream == *upstream);
        self.known
            .retain(|upstream| runs(upstream) || announced.contains(upstream));
        steps
    }

    /// Whether a start of this service and failure domain is open.
    pub fn is_starting(&self, service: &ServiceId, domain: &FailureDomainId) -> bool {
        self.open.values().any(|open| {
            matches!(&open.intent, PlatformIntent::Start { service: one, failure_domain }
                if one == service && failure_domain == domain)
        })
    }

    /// Gives each upstream that was not known before to the oldest open start that it fits.
    fn adopt(&mut self, running: &[PlatformInstance], began: TimePoint) {
        for instance in running {
            if self.known.contains(&instance.upstream) {
                continue;
            }
            let start = self.open.values_mut().find(|open| {
                matches!(open.state, IntentState::Unknown { .. })
                    && matches!(&open.intent, PlatformIntent::Start { service, failure_domain }
                        if *service == instance.service && *failure_domain == instance.failure_domain)
            });
            if let Some(open) = start {
                open.state = IntentState::Started {
                    upstream: instance.upstream.clone(),
                    seen_at: began,
                };
            }
            // Without a start that it fits, it was started by somebody else.
            self.known.insert(instance.upstream.clone());
        }
    }

    fn step(
        &mut self,
        id: IntentId,
        running: &[PlatformInstance],
        announced: &[UpstreamId],
        began: TimePoint,
    ) -> Option<PlatformStep> {
        let open = self.open.get_mut(&id)?;
        let runs = |upstream: &UpstreamId| running.iter().any(|one| one.upstream == *upstream);
        if let PlatformIntent::Stop { upstream } = &open.intent
            && !runs(upstream)
        {
            return Some(PlatformStep::Settled(id));
        }
        match &open.state {
            IntentState::Unsent => Some(PlatformStep::Send(id)),
            IntentState::Unknown { sent_at } => {
                let settled_at = *sent_at + self.settings.flight_time;
                if began <= settled_at {
                    return Some(PlatformStep::ReadBack(id));
                }
                // The read-back began after the order must have taken effect, so it had none.
                open.state = IntentState::Unsent;
                Some(PlatformStep::Send(id))
            }
            IntentState::Started { upstream, seen_at } => {
                if announced.contains(upstream) {
                    return Some(PlatformStep::Settled(id));
                }
                let overdue = began.since(*seen_at) > self.settings.announce_within;
                let ended = !runs(upstream) && began > *seen_at + self.settings.flight_time;
                (overdue || ended).then_some(PlatformStep::Crashed(id))
            }
        }
    }
}
