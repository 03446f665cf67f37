//! Members, their incarnations and the orders sent to them.

use std::collections::BTreeMap;

use oriolecrank_schema::codec;
use oriolecrank_schema::control::{
    EngineOrder, FencingNumber, OrderAction, OrderResult, UpstreamRecord, UpstreamRemoval,
};
use oriolecrank_schema::document::{ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Lease of a member, in milliseconds.
pub const LEASE_MS: u64 = 3_000;

/// Lifetime of an order, in milliseconds; an agent that restarts waits this long.
pub const ORDER_LIFETIME_MS: u64 = 2_000;

/// Largest number of members; five times the design size of 1,600 servers.
pub const MAX_MEMBERS: usize = 8_192;

/// Number of departed upstreams whose incarnation and fencing floor are kept; those that left first
/// are forgotten first.
pub const MAX_DEPARTED: usize = 10_000;

/// Largest encoded action of an order, in bytes; bounds what is kept for each upstream.
pub const MAX_ACTION_BYTES: usize = 1_024;

/// Longest text of an announcement, in bytes.
const MAX_RECORD_TEXT_BYTES: usize = 256;

const NO_FENCE: FencingNumber = FencingNumber {
    sequence: 0,
    term: 0,
};

/// Members and departed upstreams by name.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct UpstreamTable {
    places: BTreeMap<UpstreamId, UpstreamPlace>,
    /// Departed upstreams by their departure number.
    departed: BTreeMap<u64, UpstreamId>,
    /// Number of departures so far.
    departures: u64,
    /// Sequence of the newest order; it rises over all upstreams and terms.
    sequence: u64,
}

/// What is known about an upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct UpstreamPlace {
    /// Newest announcement; its incarnation never falls.
    pub(crate) record: UpstreamRecord,
    /// Number of that announcement.
    number: u64,
    /// Departure number, absent for a member.
    departure: Option<u64>,
    /// Highest fencing number of an order for this upstream; it never falls.
    pub(crate) fence: FencingNumber,
    /// The order that is not settled; its fencing number equals `fence`.
    pub(crate) order: Option<EngineOrder>,
}

impl UpstreamPlace {
    /// Whether the upstream is a member.
    pub(crate) fn is_member(&self) -> bool {
        self.departure.is_none()
    }
}

/// Result of an announcement.
#[derive(Debug, PartialEq)]
pub(crate) enum AnnounceEffect {
    /// A new upstream, or a new incarnation of a departed one, is a member.
    Joined,
    /// A member, or an incarnation that had lost its lease, has a new record.
    Changed,
    /// The announcement equals the newest one.
    Renewed,
    /// A later announcement of the same incarnation was applied before.
    Late,
    /// A newer incarnation is known.
    Superseded(u64),
    /// The announcement is not acceptable.
    Refused(&'static str),
}

/// Result of a request for an order.
#[derive(Debug, PartialEq)]
pub(crate) enum OrderEffect {
    Placed(EngineOrder),
    /// The order with this number is not settled.
    Pending(FencingNumber),
    Refused(&'static str),
}

/// Result of settling an order.
#[derive(Debug, PartialEq)]
pub(crate) enum SettleEffect {
    Settled,
    /// The order is settled already, or its outcome is still unknown.
    Unchanged,
    Refused(&'static str),
}

impl UpstreamTable {
    pub(crate) fn announce(&mut self, record: &UpstreamRecord, number: u64) -> AnnounceEffect {
        if !has_short_texts(record) {
            return AnnounceEffect::Refused("a text of the announcement is too long");
        }
        let room = self.member_count() < MAX_MEMBERS;
        let Some(place) = self.places.get_mut(&record.upstream) else {
            if !room {
                return AnnounceEffect::Refused("there are too many members");
            }
            self.places
                .insert(record.upstream.clone(), UpstreamPlace::new(record, number));
            return AnnounceEffect::Joined;
        };
        let known = place.record.incarnation;
        if record.incarnation < known {
            return AnnounceEffect::Superseded(known);
        }
        let same = record.incarnation == known;
        if same && place.is_late(number) {
            return AnnounceEffect::Late;
        }
        let Some(departure) = place.departure else {
            place.number = number;
            if place.record == *record {
                return AnnounceEffect::Renewed;
            }
            place.record = record.clone();
            return AnnounceEffect::Changed;
        };
        if !room {
            return AnnounceEffect::Refused("there are too many members");
        }
        place.record = record.clone();
        place.number = number;
        place.departure = None;
        self.departed.remove(&departure);
        if same {
            AnnounceEffect::Changed
        } else {
            AnnounceEffect::Joined
        }
    }

    /// Removes the members whose incarnation is still the stated one and returns their names.
    pub(crate) fn remove(&mut self, removals: &[UpstreamRemoval]) -> Vec<UpstreamId> {
        let mut removed = Vec::new();
        for removal in removals {
            if !self.is_live(&removal.upstream, removal.incarnation) {
                continue;
            }
            let Some(place) = self.places.get_mut(&removal.upstream) else {
                continue;
            };
            self.departures += 1;
            place.departure = Some(self.departures);
            self.departed
                .insert(self.departures, removal.upstream.clone());
            removed.push(removal.upstream.clone());
        }
        while self.departed.len() > MAX_DEPARTED {
            let Some((_, oldest)) = self.departed.pop_first() else {
                break;
            };
            self.places.remove(&oldest);
        }
        removed
    }

    /// Commits an order if none is in flight for the upstream.
    pub(crate) fn place_order(
        &mut self,
        upstream: &UpstreamId,
        action: &OrderAction,
        term: u64,
    ) -> OrderEffect {
        let Some(place) = self.places.get_mut(upstream) else {
            return OrderEffect::Refused("the upstream is not known");
        };
        if let Some(order) = &place.order {
            return OrderEffect::Pending(order.fence.clone());
        }
        if !place.is_member() {
            return OrderEffect::Refused("the upstream is not a member");
        }
        if codec::encode(action).len() > MAX_ACTION_BYTES {
            return OrderEffect::Refused("the action is too long");
        }
        if term < place.fence.term {
            return OrderEffect::Refused("the term is older than that of the last order");
        }
        self.sequence += 1;
        let order = EngineOrder {
            action: action.clone(),
            fence: FencingNumber {
                sequence: self.sequence,
                term,
            },
            lifetime_ms: ORDER_LIFETIME_MS,
            upstream: upstream.clone(),
        };
        place.fence = order.fence.clone();
        place.order = Some(order.clone());
        OrderEffect::Placed(order)
    }

    /// Ends the order with this number; an unknown result leaves it in flight.
    pub(crate) fn settle_order(
        &mut self,
        upstream: &UpstreamId,
        fence: &FencingNumber,
        result: OrderResult,
    ) -> SettleEffect {
        let Some(place) = self.places.get_mut(upstream) else {
            return SettleEffect::Refused("the upstream is not known");
        };
        if (fence.term, fence.sequence) > (place.fence.term, place.fence.sequence) {
            return SettleEffect::Refused("no order has this number");
        }
        let in_flight = place.order.as_ref().map(|order| &order.fence);
        if in_flight != Some(fence) || result == OrderResult::Unknown {
            return SettleEffect::Unchanged;
        }
        place.order = None;
        SettleEffect::Settled
    }

    /// Whether this incarnation is a member.
    pub(crate) fn is_live(&self, upstream: &UpstreamId, incarnation: u64) -> bool {
        let place = self.places.get(upstream);
        place.is_some_and(|place| place.is_member() && place.record.incarnation == incarnation)
    }

    /// A member or a departed upstream.
    pub(crate) fn place(&self, upstream: &UpstreamId) -> Option<&UpstreamPlace> {
        self.places.get(upstream)
    }

    /// Members in the order of their names.
    pub(crate) fn members(&self) -> impl Iterator<Item = &UpstreamPlace> {
        self.places.values().filter(|place| place.is_member())
    }

    pub(crate) fn member_count(&self) -> usize {
        self.places.len() - self.departed.len()
    }

    pub(crate) fn members_of(&self, service: &ServiceId) -> usize {
        let members = self.members();
        members
            .filter(|place| place.record.service == *service)
            .count()
    }

    /// Orders that are not settled, also those of departed upstreams.
    pub(crate) fn orders(&self) -> impl Iterator<Item = &EngineOrder> {
        self.places
            .values()
            .filter_map(|place| place.order.as_ref())
    }
}

impl UpstreamPlace {
    fn new(record: &UpstreamRecord, number: u64) -> Self {
        Self {
            record: record.clone(),
            number,
            departure: None,
            fence: NO_FENCE,
            order: None,
        }
    }

    /// Whether an announcement of the known incarnation is older than the newest one.
    ///
    /// After a removal, the announcement that was repeated in the network is late as well; the agent
    /// rejoins with the next number.
    fn is_late(&self, number: u64) -> bool {
        if number == 0 {
            return false;
        }
        number < self.number || (number == self.number && !self.is_member())
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
