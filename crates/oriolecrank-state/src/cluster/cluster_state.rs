//! The state machine that every control instance runs.

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{
    CapacityPlan, CommandOutcome, EngineOrder, FencingNumber, LoggedCommand, PlatformIntent,
    SubscriptionFrame, UpstreamRecord, UsageWindow,
};
use oriolecrank_schema::document::UpstreamId;
use serde::{Deserialize, Serialize};

use super::audit_trail::AuditTrail;
use super::change_feed::{ChangeFeed, StateChange};
use super::claim_table::ClaimTable;
use super::intent_table::IntentTable;
use super::plan_table::PlanTable;
use super::request_history::RequestHistory;
use super::snapshot::{deserialize_document, serialize_document};
use super::suspect_table::SuspectTable;
use super::upstream_table::UpstreamTable;
use super::usage_table::UsageTable;
use crate::document::{CheckedDocument, Revision};

/// Index of a log entry; 0 stands for the time before the first entry.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

/// Replicated state of the cluster.
#[derive(Debug, Clone, Default)]
pub struct ClusterState {
    tables: StateTables,
    /// Not replicated; two instances may keep different parts of it.
    feed: ChangeFeed,
}

/// Everything that a snapshot contains.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct StateTables {
    /// Index of the last applied entry.
    pub(crate) applied: LogIndex,
    /// Log time of the last applied entry; it never falls.
    pub(crate) time_ms: u64,
    pub(crate) revision: Revision,
    #[serde(
        serialize_with = "serialize_document",
        deserialize_with = "deserialize_document"
    )]
    pub(crate) document: CheckedDocument,
    pub(crate) history: RequestHistory,
    pub(crate) audit: AuditTrail,
    pub(crate) upstreams: UpstreamTable,
    pub(crate) intents: IntentTable,
    pub(crate) plans: PlanTable,
    pub(crate) claims: ClaimTable,
    pub(crate) suspects: SuspectTable,
    pub(crate) usage: UsageTable,
}

/// One log entry while it is applied.
#[derive(Debug)]
pub(crate) struct EntryContext {
    pub(crate) index: LogIndex,
    pub(crate) term: u64,
    /// Log time in milliseconds, not before that of any earlier entry.
    pub(crate) now_ms: u64,
    /// What subscribers are told.
    pub(crate) change: StateChange,
}

impl ClusterState {
    /// Applies a committed log entry and returns the answer to its sender.
    ///
    /// The outcome depends only on the earlier entries and on this one. An entry whose index was
    /// applied before has no effect. A time before that of an earlier entry is raised to it.
    pub fn apply(&mut self, index: LogIndex, entry: LoggedCommand) -> CommandOutcome {
        if index <= self.tables.applied {
            return CommandOutcome::Unchanged;
        }
        let tables = &mut self.tables;
        let mut context = EntryContext {
            index,
            term: entry.term,
            now_ms: entry.time_ms.max(tables.time_ms),
            change: StateChange {
                index,
                ..StateChange::default()
            },
        };
        tables.applied = index;
        tables.time_ms = context.now_ms;
        tables.expire(&mut context);
        let outcome = tables.run(entry.command, &mut context);
        self.feed.push(context.change);
        outcome
    }

    /// Index of the last applied entry.
    pub fn applied_index(&self) -> LogIndex {
        self.tables.applied
    }

    /// Log time of the last applied entry.
    pub fn log_time(&self) -> TimePoint {
        TimePoint::from_millis(self.tables.time_ms)
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.tables.revision
    }

    /// Document in force.
    pub fn document(&self) -> &CheckedDocument {
        &self.tables.document
    }

    /// Members in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.tables.upstreams.members().map(|place| &place.record)
    }

    /// Record of a member.
    pub fn member(&self, upstream: &UpstreamId) -> Option<&UpstreamRecord> {
        let place = self.tables.upstreams.place(upstream);
        place
            .filter(|place| place.is_member())
            .map(|place| &place.record)
    }

    /// Highest fencing number committed for an upstream, also for a departed one.
    pub fn fence(&self, upstream: &UpstreamId) -> Option<&FencingNumber> {
        let place = self.tables.upstreams.place(upstream);
        place.map(|place| &place.fence)
    }

    /// Orders that are not settled; a new leader settles them before it places others.
    pub fn orders_in_flight(&self) -> impl Iterator<Item = &EngineOrder> {
        self.tables.upstreams.orders()
    }

    /// Starts and stops that are not finished, in the order in which they were committed.
    pub fn intents(&self) -> impl Iterator<Item = &PlatformIntent> {
        self.tables.intents.iter()
    }

    /// Whether a member was attributed to this start. Such a start has taken effect and must not be
    /// sent again, even if its answer was lost.
    pub fn start_has_joined(&self, intent_id: u64) -> bool {
        self.tables.intents.has_joined(intent_id)
    }

    /// The newest capacity plan.
    pub fn plan(&self) -> Option<&CapacityPlan> {
        self.tables.plans.plan()
    }

    /// Closed windows that the usage interface has not accepted, in ascending order.
    pub fn unreported_windows(&self) -> impl Iterator<Item = &UsageWindow> {
        let windows = self.tables.usage.windows();
        windows.filter(|window| !window.reported)
    }

    /// First frame of a subscription.
    pub fn snapshot_frame(&self) -> SubscriptionFrame {
        SubscriptionFrame::Snapshot {
            document: self.document().as_document().clone(),
            revision: self.revision().0,
            suspects: self.tables.suspects.records(),
            upstreams: self.members().cloned().collect(),
        }
    }

    /// Changes after a log index in ascending order, or `None` if some of them are no longer kept
    /// and the subscriber needs a snapshot.
    pub fn changes_since(&self, index: LogIndex) -> Option<impl Iterator<Item = &StateChange>> {
        self.feed.since(index)
    }

    pub(crate) fn tables(&self) -> &StateTables {
        &self.tables
    }

    pub(crate) fn from_tables(mut tables: StateTables) -> Self {
        tables.claims.rebuild();
        tables.usage.rebuild();
        let feed = ChangeFeed::starting_at(tables.applied);
        Self { tables, feed }
    }
}

impl StateTables {
    /// Forgets what has expired at the log time of the entry.
    fn expire(&mut self, context: &mut EntryContext) {
        let now_ms = context.now_ms;
        self.usage.advance(now_ms);
        self.intents.expire(now_ms);
        let upstreams = &self.upstreams;
        self.claims.expire(now_ms, |name, incarnation| {
            upstreams.is_live(name, incarnation)
        });
        if self.suspects.expire(now_ms) {
            context.change.suspects = Some(self.suspects.records());
        }
    }
}
