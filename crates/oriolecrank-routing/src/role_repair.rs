//! Orders to engines when no engine of a service has the role that serves requests.
//!
//! Upstreams start in a role that the platform gives them, and leave or are lost whatever their role
//! is. If only prefill engines are left, no request of the service can be served, and nothing that
//! requests do changes that.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_policy::upstream_pause::UpstreamPause;
use oriolecrank_schema::TimePoint;

use crate::names::{ServiceName, UpstreamName};
use crate::upstream_directory::{
    EngineRole, SILENT_AFTER, UpstreamAnnouncement, UpstreamDirectory, UpstreamReadiness,
    UpstreamRecord,
};

/// Settings of a [`RoleRepair`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleRepairSettings {
    /// Time without an announcement after which an engine is taken for lost. A control instance that
    /// has just started, or was cut off, does not know all engines before this time.
    pub silent_after: Duration,
    /// Time without an announcement of any upstream after which this instance counts as cut off from
    /// them. Announcements that another control instance receives are passed on every 2 s.
    pub cut_off_after: Duration,
    /// Time after an accepted order before the engine gets another one. It must exceed the time that
    /// a change takes, 3 s in the deployments, and that of two heartbeats.
    pub repeat_after: Duration,
    /// Time after an order that was refused or not answered before it is given again.
    pub retry_after: Duration,
}

impl Default for RoleRepairSettings {
    fn default() -> Self {
        Self {
            silent_after: SILENT_AFTER,
            cut_off_after: Duration::from_secs(4),
            repeat_after: Duration::from_secs(8),
            retry_after: Duration::from_secs(2),
        }
    }
}

/// One of this many engines keeps the prefill role when the others are ordered to decode. The
/// deployments start about a third of their engines as prefill engines.
const ENGINES_PER_PREFILL: usize = 3;

/// Order to an engine to decode.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleOrder {
    /// Service of the engine.
    pub service: ServiceName,
    /// The engine.
    pub upstream: UpstreamName,
    /// Start of its incarnation, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Its address.
    pub address: SocketAddr,
}

impl From<&UpstreamAnnouncement> for RoleOrder {
    fn from(announcement: &UpstreamAnnouncement) -> Self {
        Self {
            service: announcement.service.clone(),
            upstream: announcement.name.clone(),
            started_ms: announcement.started_ms,
            address: announcement.address,
        }
    }
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine changes its role or has the role already.
    Accepted,
    /// The engine has seen the fencing number of a later leader.
    Fenced,
    /// The engine did not take the order.
    Refused,
    /// The engine did not take the order and asks for a pause of this length.
    Paused(Duration),
    /// There was no answer; the order may be carried out later.
    Unanswered,
}

/// Last order to an engine.
#[derive(Debug, Clone, Copy)]
struct OrderRecord {
    started_ms: u64,
    /// Before this time the engine gets no other order.
    next_at: TimePoint,
    /// Pause that the engine asks of this control instance.
    pause: UpstreamPause,
}

/// Decides which engines are ordered to decode. Orders to prefill are never given, so that an order
/// that is carried out late does no harm.
#[derive(Debug)]
pub struct RoleRepair {
    settings: RoleRepairSettings,
    /// Since when announcements are received without a long pause.
    listening_since: TimePoint,
    orders: IndexMap<UpstreamName, OrderRecord>,
}

impl RoleRepair {
    /// Without orders; announcements are received from `now` on.
    pub fn new(settings: RoleRepairSettings, now: TimePoint) -> Self {
        Self {
            settings,
            listening_since: now,
            orders: IndexMap::new(),
        }
    }

    /// Notes whether upstreams can be heard; called at least once a second, also by followers.
    pub fn observe(&mut self, directory: &UpstreamDirectory, now: TimePoint) {
        let newest = directory.records().map(|record| record.received_at).max();
        if newest.is_none_or(|newest| now.since(newest) > self.settings.cut_off_after) {
            self.listening_since = now;
        }
    }

    /// Orders that are due.
    pub fn due_orders(&mut self, directory: &UpstreamDirectory, now: TimePoint) -> Vec<RoleOrder> {
        self.orders.retain(|name, order| {
            let record = directory.get(name.as_str());
            record.is_some_and(|record| record.announcement.started_ms == order.started_ms)
        });
        if now.since(self.listening_since) < self.settings.silent_after {
            return Vec::new();
        }
        let mut services: IndexMap<&ServiceName, Vec<&UpstreamAnnouncement>> = IndexMap::new();
        for record in directory
            .records()
            .filter(|record| self.is_usable(record, now))
        {
            let announcement = &record.announcement;
            let engines = services.entry(&announcement.service).or_default();
            engines.push(announcement);
        }
        let unserved = services.into_values().filter(|engines| {
            let mut roles = engines.iter().map(|engine| engine.role);
            roles.all(|role| role == Some(EngineRole::Prefill))
        });
        let ordered = unserved.flat_map(|engines| {
            let count = engines.len() - engines.len() / ENGINES_PER_PREFILL;
            engines.into_iter().take(count)
        });
        let due = ordered.filter(|engine| {
            let order = self.orders.get(&engine.name);
            order.is_none_or(|order| now >= order.next_at && order.pause.allows(now))
        });
        due.map(RoleOrder::from).collect()
    }

    fn is_usable(&self, record: &UpstreamRecord, now: TimePoint) -> bool {
        record.announcement.state == UpstreamReadiness::Ready
            && now.since(record.received_at) <= self.settings.silent_after
    }

    /// Records what became of an order.
    pub fn record_outcome(&mut self, order: &RoleOrder, outcome: OrderOutcome, now: TimePoint) {
        let delay = match outcome {
            OrderOutcome::Accepted => self.settings.repeat_after,
            OrderOutcome::Fenced
            | OrderOutcome::Refused
            | OrderOutcome::Paused(_)
            | OrderOutcome::Unanswered => self.settings.retry_after,
        };
        let earlier = self.orders.get(&order.upstream);
        let mut pause = earlier.map(|earlier| earlier.pause).unwrap_or_default();
        if let OrderOutcome::Paused(length) = outcome {
            pause.record(length, now);
        }
        let record = OrderRecord {
            started_ms: order.started_ms,
            next_at: now + delay,
            pause,
        };
        self.orders.insert(order.upstream.clone(), record);
    }
}
