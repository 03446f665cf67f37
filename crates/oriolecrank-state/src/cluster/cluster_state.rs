//! The state machine: applies log entries and exposes the replicated state to readers.

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

/// Index of a log entry; 0 means that no entry has been applied.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

/// Replicated state of the cluster.
#[derive(Debug, Clone, Default)]
pub struct ClusterState {
    tables: StateTables,
    /// Not replicated; two replicas may hold different ranges of changes.
    feed: ChangeFeed,
}

/// The replicated tables; a snapshot contains exactly these.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct StateTables {
    /// Index of the last applied entry.
    #[serde(rename = "applied")]
    pub(crate) applied_index: LogIndex,
    /// Log time of the last applied entry in milliseconds; it never decreases.
    pub(crate) time_ms: u64,
    /// Revision of `document`.
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

/// Context of the log entry that is being applied.
#[derive(Debug)]
pub(crate) struct EntryContext {
    pub(crate) index: LogIndex,
    pub(crate) term: u64,
    /// Log time in milliseconds, never before that of an earlier entry.
    pub(crate) now_ms: u64,
    /// Changes of this entry, to be sent to subscribers.
    pub(crate) change: StateChange,
}

impl ClusterState {
    /// Applies a committed log entry and returns the outcome for its sender.
    ///
    /// The outcome depends only on this entry and the earlier ones. An entry at or below the
    /// applied index has no effect. A time before that of an earlier entry is raised to that time.
    pub fn apply(&mut self, index: LogIndex, entry: LoggedCommand) -> CommandOutcome {
        if index <= self.tables.applied_index {
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
        tables.applied_index = index;
        tables.time_ms = context.now_ms;
        tables.expire(&mut context);
        let outcome = tables.apply_command(entry.command, &mut context);
        self.feed.push(context.change);
        outcome
    }

    /// Index of the last applied entry.
    pub fn applied_index(&self) -> LogIndex {
        self.tables.applied_index
    }

    /// Log time of the last applied entry.
    pub fn log_time(&self) -> TimePoint {
        TimePoint::from_millis(self.tables.time_ms)
    }

    /// Revision of the current document; 0 before the first submission.
    pub fn revision(&self) -> Revision {
        self.tables.revision
    }

    /// The current document; empty before the first submission.
    pub fn document(&self) -> &CheckedDocument {
        &self.tables.document
    }

    /// Records of the members, sorted by name.
    pub fn members(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.tables
            .upstreams
            .members()
            .map(|tracked| &tracked.record)
    }

    /// Record of a member, or `None` if the upstream is unknown or departed.
    pub fn member(&self, upstream: &UpstreamId) -> Option<&UpstreamRecord> {
        let tracked = self.tables.upstreams.get(upstream);
        tracked
            .filter(|tracked| tracked.is_member())
            .map(|tracked| &tracked.record)
    }

    /// Highest fencing number committed for a member or a departed upstream; sequence and term are
    /// 0 before its first order. `None` if the upstream is unknown.
    pub fn fence(&self, upstream: &UpstreamId) -> Option<&FencingNumber> {
        let tracked = self.tables.upstreams.get(upstream);
        tracked.map(|tracked| &tracked.fence)
    }

    /// Orders that are not settled; a new leader settles them before it places new ones.
    pub fn orders_in_flight(&self) -> impl Iterator<Item = &EngineOrder> {
        self.tables.upstreams.orders()
    }

    /// Unfinished starts and stops, in commit order.
    pub fn intents(&self) -> impl Iterator<Item = &PlatformIntent> {
        self.tables.intents.iter()
    }

    /// Whether an upstream that joined was attributed to this start. Such a start has taken effect
    /// and must not be sent again, even if the platform's answer was lost. False once the start is
    /// settled.
    pub fn start_has_joined(&self, intent_id: u64) -> bool {
        self.tables.intents.has_joined(intent_id)
    }

    /// The newest capacity plan, if any was committed.
    pub fn plan(&self) -> Option<&CapacityPlan> {
        self.tables.plans.plan()
    }

    /// Closed windows that the usage interface has not accepted yet, oldest first.
    pub fn unreported_windows(&self) -> impl Iterator<Item = &UsageWindow> {
        let windows = self.tables.usage.windows();
        windows.filter(|window| !window.reported)
    }

    /// First frame of a subscription: the current document, suspects and members.
    pub fn snapshot_frame(&self) -> SubscriptionFrame {
        SubscriptionFrame::Snapshot {
            document: self.document().as_document().clone(),
            revision: self.revision().0,
            suspects: self.tables.suspects.records(),
            upstreams: self.members().cloned().collect(),
        }
    }

    /// Changes after a log index in ascending order, or `None` if some of them have been evicted
    /// and the subscriber needs a snapshot.
    pub fn changes_since(&self, index: LogIndex) -> Option<impl Iterator<Item = &StateChange>> {
        self.feed.since(index)
    }

    pub(crate) fn tables(&self) -> &StateTables {
        &self.tables
    }

    /// Restores the state from decoded tables and rebuilds the lookups that are not stored.
    pub(crate) fn from_tables(mut tables: StateTables) -> Self {
        tables.claims.rebuild();
        tables.usage.rebuild();
        let feed = ChangeFeed::starting_at(tables.applied_index);
        Self { tables, feed }
    }
}

impl StateTables {
    /// Removes everything that has expired by the log time of the entry.
    fn expire(&mut self, context: &mut EntryContext) {
        let now_ms = context.now_ms;
        self.usage.advance_to(now_ms);
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
