//! Members of the cluster, their incarnations and the orders sent to them.

use std::collections::BTreeMap;

use oriolecrank_schema::codec;
use oriolecrank_schema::control::{
    EngineOrder, FencingNumber, OrderAction, OrderResult, UpstreamRecord, UpstreamRemoval,
};
use oriolecrank_schema::document::{ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Duration of a member's lease, in milliseconds; each announcement renews it.
pub const LEASE_MS: u64 = 3_000;

/// Lifetime of an order, in milliseconds. A restarted agent refuses orders for this long, because
/// its predecessor may still carry one out.
pub const ORDER_LIFETIME_MS: u64 = 2_000;

/// Maximum number of members; about five times the design size of 1,600 servers.
pub const MAX_MEMBERS: usize = 8_192;

/// Maximum number of departed upstreams whose incarnation and highest fencing number are stored;
/// those that departed first are removed first.
pub const MAX_DEPARTED: usize = 10_000;

/// Maximum size of the encoded action of an order, in bytes; bounds the state of each upstream.
pub const MAX_ACTION_BYTES: usize = 1_024;

/// Maximum length of each text in an announcement, in bytes.
const MAX_RECORD_TEXT_BYTES: usize = 256;

/// Fencing number of an upstream that has not had an order; lower than that of any order.
const NO_FENCE: FencingNumber = FencingNumber {
    sequence: 0,
    term: 0,
};

/// Members and departed upstreams by name.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct UpstreamTable {
    #[serde(rename = "places")]
    upstreams: BTreeMap<UpstreamId, TrackedUpstream>,
    /// Departed upstreams by departure number, in the order in which they departed.
    departed: BTreeMap<u64, UpstreamId>,
    /// Number of departures so far; also the newest departure number.
    departures: u64,
    /// Fencing sequence of the newest order; it increases across all upstreams and terms.
    #[serde(rename = "sequence")]
    newest_sequence: u64,
}

/// State of a member or a departed upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TrackedUpstream {
    /// Newest announced record; its incarnation never decreases.
    pub(crate) record: UpstreamRecord,
    /// Number of that announcement within the incarnation. Announcements that the
    /// leader commits itself have the number 0, which is never outdated.
    #[serde(rename = "number")]
    announcement_number: u64,
    /// Departure number; absent for a member.
    departure: Option<u64>,
    /// Highest fencing number of an order for this upstream; it never decreases.
    pub(crate) fence: FencingNumber,
    /// The order in flight; its fencing number equals `fence`.
    pub(crate) order: Option<EngineOrder>,
}

impl TrackedUpstream {
    /// Whether the upstream is a member.
    pub(crate) fn is_member(&self) -> bool {
        self.departure.is_none()
    }
}

/// Result of an announcement.
#[derive(Debug, PartialEq)]
pub(crate) enum AnnounceEffect {
    /// A new upstream, or a new incarnation of a departed one, has become a member.
    Joined,
    /// The record of a member has changed, or a removed incarnation has become a member again.
    Changed,
    /// The member announced the same record again.
    Renewed,
    /// A newer announcement of the same incarnation was already applied, or this one was applied
    /// before the incarnation was removed.
    Outdated,
    /// The upstream already has this newer incarnation.
    Superseded(u64),
    /// A text of the announcement is too long, or there are too many members.
    Refused(&'static str),
}

/// Result of a request for an order.
#[derive(Debug, PartialEq)]
pub(crate) enum OrderEffect {
    Placed(EngineOrder),
    /// The order with this fencing number is still in flight.
    Pending(FencingNumber),
    Refused(&'static str),
}

/// Result of settling an order or an intent, or of advancing a plan step.
#[derive(Debug, PartialEq)]
pub(crate) enum SettleEffect {
    Settled,
    /// The order, intent or step was settled before, or the result is unknown.
    Unchanged,
    Refused(&'static str),
}

impl UpstreamTable {
    /// Applies an announcement. `announcement_number` is its number within the incarnation, so that
    /// announcements that arrive out of order are recognised.
    pub(crate) fn announce(
        &mut self,
        record: &UpstreamRecord,
        announcement_number: u64,
    ) -> AnnounceEffect {
        if !has_short_texts(record) {
            return AnnounceEffect::Refused("a text of the announcement is too long");
        }
        let has_room = self.member_count() < MAX_MEMBERS;
        let Some(tracked) = self.upstreams.get_mut(&record.upstream) else {
            if !has_room {
                return AnnounceEffect::Refused("there are too many members");
            }
            self.upstreams.insert(
                record.upstream.clone(),
                TrackedUpstream::new(record, announcement_number),
            );
            return AnnounceEffect::Joined;
        };
        let current = tracked.record.incarnation;
        if record.incarnation < current {
            return AnnounceEffect::Superseded(current);
        }
        let same_incarnation = record.incarnation == current;
        if same_incarnation && tracked.is_outdated(announcement_number) {
            return AnnounceEffect::Outdated;
        }
        let Some(departure) = tracked.departure else {
            tracked.announcement_number = announcement_number;
            if tracked.record == *record {
                return AnnounceEffect::Renewed;
            }
            tracked.record = record.clone();
            return AnnounceEffect::Changed;
        };
        if !has_room {
            return AnnounceEffect::Refused("there are too many members");
        }
        tracked.record = record.clone();
        tracked.announcement_number = announcement_number;
        tracked.departure = None;
        self.departed.remove(&departure);
        if same_incarnation {
            AnnounceEffect::Changed
        } else {
            AnnounceEffect::Joined
        }
    }

    /// Removes the members that still have the incarnation of the removal, and returns their names.
    pub(crate) fn remove(&mut self, removals: &[UpstreamRemoval]) -> Vec<UpstreamId> {
        let mut removed = Vec::new();
        for removal in removals {
            if !self.is_live(&removal.upstream, removal.incarnation) {
                continue;
            }
            let Some(tracked) = self.upstreams.get_mut(&removal.upstream) else {
                continue;
            };
            self.departures += 1;
            tracked.departure = Some(self.departures);
            self.departed
                .insert(self.departures, removal.upstream.clone());
            removed.push(removal.upstream.clone());
        }
        while self.departed.len() > MAX_DEPARTED {
            let Some((_, oldest)) = self.departed.pop_first() else {
                break;
            };
            self.upstreams.remove(&oldest);
        }
        removed
    }

    /// Commits an order for a member, unless one is in flight for it.
    pub(crate) fn place_order(
        &mut self,
        upstream: &UpstreamId,
        action: &OrderAction,
        term: u64,
    ) -> OrderEffect {
        let Some(tracked) = self.upstreams.get_mut(upstream) else {
            return OrderEffect::Refused("the upstream is not known");
        };
        if let Some(order) = &tracked.order {
            return OrderEffect::Pending(order.fence.clone());
        }
        if !tracked.is_member() {
            return OrderEffect::Refused("the upstream is not a member");
        }
        if codec::encode(action).len() > MAX_ACTION_BYTES {
            return OrderEffect::Refused("the action is too long");
        }
        if term < tracked.fence.term {
            return OrderEffect::Refused("the term is older than that of the last order");
        }
        self.newest_sequence += 1;
        let order = EngineOrder {
            action: action.clone(),
            fence: FencingNumber {
                sequence: self.newest_sequence,
                term,
            },
            lifetime_ms: ORDER_LIFETIME_MS,
            upstream: upstream.clone(),
        };
        tracked.fence = order.fence.clone();
        tracked.order = Some(order.clone());
        OrderEffect::Placed(order)
    }

    /// Settles the order with this fencing number; an unknown result leaves it in flight.
    pub(crate) fn settle_order(
        &mut self,
        upstream: &UpstreamId,
        fence: &FencingNumber,
        result: OrderResult,
    ) -> SettleEffect {
        let Some(tracked) = self.upstreams.get_mut(upstream) else {
            return SettleEffect::Refused("the upstream is not known");
        };
        if (fence.term, fence.sequence) > (tracked.fence.term, tracked.fence.sequence) {
            return SettleEffect::Refused("no order has this number");
        }
        let in_flight = tracked.order.as_ref().map(|order| &order.fence);
        if in_flight != Some(fence) || result == OrderResult::Unknown {
            return SettleEffect::Unchanged;
        }
        tracked.order = None;
        SettleEffect::Settled
    }

    /// Whether this incarnation is a member.
    pub(crate) fn is_live(&self, upstream: &UpstreamId, incarnation: u64) -> bool {
        let tracked = self.upstreams.get(upstream);
        tracked
            .is_some_and(|tracked| tracked.is_member() && tracked.record.incarnation == incarnation)
    }

    /// State of a member or a departed upstream.
    pub(crate) fn get(&self, upstream: &UpstreamId) -> Option<&TrackedUpstream> {
        self.upstreams.get(upstream)
    }

    /// Members, sorted by name.
    pub(crate) fn members(&self) -> impl Iterator<Item = &TrackedUpstream> {
        self.upstreams
            .values()
            .filter(|tracked| tracked.is_member())
    }

    pub(crate) fn member_count(&self) -> usize {
        self.upstreams.len() - self.departed.len()
    }

    /// Number of members that serve a service.
    pub(crate) fn member_count_of(&self, service: &ServiceId) -> usize {
        let members = self.members();
        members
            .filter(|tracked| tracked.record.service == *service)
            .count()
    }

    /// Orders that are not settled, including those for departed upstreams.
    pub(crate) fn orders(&self) -> impl Iterator<Item = &EngineOrder> {
        self.upstreams
            .values()
            .filter_map(|tracked| tracked.order.as_ref())
    }
}

impl TrackedUpstream {
    fn new(record: &UpstreamRecord, announcement_number: u64) -> Self {
        Self {
            record: record.clone(),
            announcement_number,
            departure: None,
            fence: NO_FENCE,
            order: None,
        }
    }

    /// Whether an announcement of the current incarnation is older than the newest one.
    ///
    /// After a removal, a duplicate of the newest announcement that the network delivers late is
    /// outdated too; the agent rejoins with the next number.
    fn is_outdated(&self, announcement_number: u64) -> bool {
        if announcement_number == 0 {
            return false;
        }
        announcement_number < self.announcement_number
            || (announcement_number == self.announcement_number && !self.is_member())
    }
}

fn has_short_texts(record: &UpstreamRecord) -> bool {
    let texts = [
        Some(record.upstream.0.as_str()),
        Some(record.service.0.as_str()),
        Some(record.failure_domain.0.as_str()),
        Some(record.region.0.as_str()),
        Some(record.address.as_str()),
        record.model.as_deref(),
        record.version.as_deref(),
    ];
    let mut texts = texts.into_iter().flatten();
    texts.all(|text| text.len() <= MAX_RECORD_TEXT_BYTES)
}
