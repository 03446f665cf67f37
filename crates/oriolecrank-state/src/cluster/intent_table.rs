//! Committed intents: starts and stops of upstreams that the platform has to carry out.

use std::collections::BTreeMap;

use oriolecrank_schema::control::{IntentState, OrderResult, PlatformIntent, UpstreamRecord};
use oriolecrank_schema::document::{FailureDomainId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

use super::upstream_table::SettleEffect;

/// Maximum number of unfinished starts and stops.
pub const MAX_INTENTS: usize = 1_024;

/// Time that a started upstream has to announce itself, in milliseconds (10 min). Until it joins or
/// this time has passed, the start counts against the budget.
pub const START_ANNOUNCE_MS: u64 = 600_000;

/// Unfinished starts and stops by id.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct IntentTable {
    intents: BTreeMap<u64, TrackedIntent>,
    /// Id of the newest intent, 0 before the first.
    newest_id: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct TrackedIntent {
    intent: PlatformIntent,
    /// Whether the started upstream joined before the start was settled. It then counts as a
    /// member, and the start no longer counts against the budget.
    joined: bool,
    /// Log time at which a start is removed if its upstream has not joined; `u64::MAX` until the
    /// platform has confirmed the start.
    #[serde(rename = "give_up_ms")]
    announce_deadline_ms: u64,
}

impl TrackedIntent {
    fn is_start(&self) -> bool {
        self.intent.upstream.is_none()
    }
}

/// Use of an upstream budget, either of one service or of all services.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BudgetUse {
    /// Number of members and of starts whose upstream has not joined.
    pub(crate) used: usize,
    /// Maximum number of upstreams; `None` without a budget.
    pub(crate) limit: Option<u32>,
}

impl BudgetUse {
    /// Whether another upstream would exceed the budget.
    pub(crate) fn is_exhausted(self) -> bool {
        self.limit.is_some_and(|limit| self.used >= limit as usize)
    }
}

impl IntentTable {
    /// Commits a start and returns its id, or `None` if there are too many intents.
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

    /// Commits a stop and returns its id, or `None` if there are too many intents. If the upstream
    /// already has an unfinished stop, the id of that stop is returned.
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

    /// Stores an intent under the next id, which replaces its `intent_id`.
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
            announce_deadline_ms: u64::MAX,
        };
        self.intents.insert(self.newest_id, tracked);
        Some(self.newest_id)
    }

    /// Records the platform's result for a start or stop; an unknown result leaves it pending.
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
            tracked.announce_deadline_ms = now_ms.saturating_add(START_ANNOUNCE_MS);
        } else {
            self.intents.remove(&intent_id);
        }
        SettleEffect::Settled
    }

    /// Attributes a new member to the oldest start of its service and failure domain that has no
    /// member yet.
    pub(crate) fn record_join(&mut self, record: &UpstreamRecord) {
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

    /// Whether a member was attributed to this start, which is not settled yet.
    pub(crate) fn has_joined(&self, intent_id: u64) -> bool {
        let tracked = self.intents.get(&intent_id);
        tracked.is_some_and(|tracked| tracked.joined)
    }

    /// Removes starts whose upstream did not announce itself in time.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.intents
            .retain(|_, tracked| tracked.announce_deadline_ms > now_ms);
    }

    /// Number of starts whose upstream has not joined, of one service or of all services.
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

    /// Intents in commit order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PlatformIntent> {
        self.intents.values().map(|tracked| &tracked.intent)
    }

    pub(crate) fn len(&self) -> usize {
        self.intents.len()
    }
}
