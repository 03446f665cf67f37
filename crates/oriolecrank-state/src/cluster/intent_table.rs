//! Committed starts and stops of upstreams.

use std::collections::BTreeMap;

use oriolecrank_schema::control::{IntentState, OrderResult, PlatformIntent, UpstreamRecord};
use oriolecrank_schema::document::{FailureDomainId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

use super::upstream_table::SettleEffect;

/// Largest number of starts and stops that are not finished.
pub const MAX_INTENTS: usize = 1_024;

/// Time within which a started upstream is expected to announce itself, in milliseconds (10 min).
/// Until then it counts against the budget.
pub const START_ANNOUNCE_MS: u64 = 600_000;

/// Starts and stops by their numbers.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct IntentTable {
    intents: BTreeMap<u64, TrackedIntent>,
    /// Number of the newest intent.
    newest_id: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct TrackedIntent {
    intent: PlatformIntent,
    /// The started upstream has joined before the start was settled; it counts as a member.
    joined: bool,
    /// Log time at which an upstream that was started and never joined is given up.
    give_up_ms: u64,
}

impl TrackedIntent {
    fn is_start(&self) -> bool {
        self.intent.upstream.is_none()
    }
}

/// Figures that decide whether a start stays within the budgets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BudgetUse {
    /// Running upstreams and unfinished starts.
    pub(crate) used: usize,
    /// Budget, if there is one.
    pub(crate) limit: Option<u32>,
}

impl BudgetUse {
    /// Whether another upstream would exceed the budget.
    pub(crate) fn is_exhausted(self) -> bool {
        self.limit.is_some_and(|limit| self.used >= limit as usize)
    }
}

impl IntentTable {
    /// Commits a start, or returns `None` if there are too many intents.
    pub(crate) fn place_start(
        &mut self,
        service: &ServiceId,
        failure_domain: &FailureDomainId,
        reason: &str,
        now_ms: u64,
    ) -> Option<u64> {
        self.place(PlatformIntent {
            failure_domain: failure_domain.clone(),
            intent_id: 0,
            placed_ms: now_ms,
            reason: reason.to_owned(),
            service: service.clone(),
            state: IntentState::Pending,
            upstream: None,
        })
    }

    /// Commits a stop, or returns the stop that is already committed for the upstream.
    pub(crate) fn place_stop(
        &mut self,
        record: &UpstreamRecord,
        reason: &str,
        now_ms: u64,
    ) -> Option<u64> {
        if let Some(stop) = self.stop_of(&record.upstream) {
            return Some(stop.intent_id);
        }
        self.place(PlatformIntent {
            failure_domain: record.failure_domain.clone(),
            intent_id: 0,
            placed_ms: now_ms,
            reason: reason.to_owned(),
            service: record.service.clone(),
            state: IntentState::Pending,
            upstream: Some(record.upstream.clone()),
        })
    }

    fn place(&mut self, intent: PlatformIntent) -> Option<u64> {
        if self.intents.len() >= MAX_INTENTS {
            return None;
        }
        self.newest_id += 1;
        let tracked = TrackedIntent {
            intent: PlatformIntent {
                intent_id: self.newest_id,
                ..intent
            },
            joined: false,
            give_up_ms: u64::MAX,
        };
        self.intents.insert(self.newest_id, tracked);
        Some(self.newest_id)
    }

    /// Records the result of a start or stop; an unknown result leaves it pending.
    pub(crate) fn settle(
        &mut self,
        intent_id: u64,
        result: OrderResult,
        now_ms: u64,
    ) -> SettleEffect {
        if intent_id == 0 || intent_id > self.newest_id {
            return SettleEffect::Refused("no start or stop has this number");
        }
        let Some(tracked) = self.intents.get_mut(&intent_id) else {
            return SettleEffect::Unchanged;
        };
        if result == OrderResult::Unknown || tracked.intent.state != IntentState::Pending {
            return SettleEffect::Unchanged;
        }
        if result == OrderResult::Done && tracked.is_start() && !tracked.joined {
            tracked.intent.state = IntentState::AwaitingAnnouncement;
            tracked.give_up_ms = now_ms.saturating_add(START_ANNOUNCE_MS);
        } else {
            self.intents.remove(&intent_id);
        }
        SettleEffect::Settled
    }

    /// Attributes a new member to the oldest start of its service and failure domain.
    pub(crate) fn note_join(&mut self, record: &UpstreamRecord) {
        let matches = |tracked: &&mut TrackedIntent| {
            tracked.is_start()
                && !tracked.joined
                && tracked.intent.service == record.service
                && tracked.intent.failure_domain == record.failure_domain
        };
        let Some(tracked) = self.intents.values_mut().find(matches) else {
            return;
        };
        tracked.joined = true;
        if tracked.intent.state == IntentState::AwaitingAnnouncement {
            let intent_id = tracked.intent.intent_id;
            self.intents.remove(&intent_id);
        }
    }

    /// Whether a member was attributed to this start, also before the start was settled.
    pub(crate) fn has_joined(&self, intent_id: u64) -> bool {
        let tracked = self.intents.get(&intent_id);
        tracked.is_some_and(|tracked| tracked.joined)
    }

    /// Gives up started upstreams that never announced themselves.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.intents
            .retain(|_, tracked| tracked.give_up_ms > now_ms);
    }

    /// Starts whose upstream has not joined, of one service or of all.
    pub(crate) fn open_starts(&self, service: Option<&ServiceId>) -> usize {
        let open = |tracked: &&TrackedIntent| {
            tracked.is_start()
                && !tracked.joined
                && service.is_none_or(|service| tracked.intent.service == *service)
        };
        self.intents.values().filter(open).count()
    }

    /// The unfinished stop of an upstream.
    pub(crate) fn stop_of(&self, upstream: &UpstreamId) -> Option<&PlatformIntent> {
        let mut intents = self.iter();
        intents.find(|intent| intent.upstream.as_ref() == Some(upstream))
    }

    /// Intents in the order in which they were committed.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PlatformIntent> {
        self.intents.values().map(|tracked| &tracked.intent)
    }

    pub(crate) fn len(&self) -> usize {
        self.intents.len()
    }
}
