//! State that only the leader has: leases of upstreams, subscribers and shares of limits.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use oriolecrank_consensus::Term;
use oriolecrank_net::BootClock;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{
    Command, CommandOutcome, DemandEntry, PingAnswer, PingRequest, UpstreamRecord,
};
use oriolecrank_schema::data_path::UpstreamLoad;
use oriolecrank_schema::event::LogEvent;
use oriolecrank_state::Revision;
use oriolecrank_state::cluster::LEASE_MS;
use tokio::time::{interval, sleep};

use crate::capacity_inputs::CapacityInputs;
use crate::command_replica::CommandReplica;
use crate::lease_table::{LeaseSettings, LeaseTable};
use crate::share_table::{ShareGrant, ShareReport, ShareTable};
use crate::shared_state::SharedState;
use crate::subscriber_table::{InForceReport, SubscriberTable};

/// Interval at which the leases of upstreams are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Tables of one term; a new leader begins with empty ones.
#[derive(Debug)]
struct TermTables {
    term: Term,
    leases: LeaseTable,
    subscribers: SubscriberTable,
    shares: ShareTable,
}

/// State that a control instance keeps in memory while it leads, and that is not replicated.
#[derive(Debug)]
pub struct LeaderTables<R> {
    replica: Arc<R>,
    state: Arc<SharedState>,
    inputs: CapacityInputs,
    /// `None` while this instance has no authority.
    ///
    /// Lock order: locked before the shared state; never held across an await.
    tables: Mutex<Option<TermTables>>,
}

impl<R: CommandReplica> LeaderTables<R> {
    /// Creates tables that are empty until `replica` leads.
    pub fn new(replica: Arc<R>, state: Arc<SharedState>) -> Self {
        Self {
            replica,
            state,
            inputs: CapacityInputs::default(),
            tables: Mutex::new(None),
        }
    }

    /// Reported demand and load, shared with the capacity executor.
    pub fn inputs(&self) -> CapacityInputs {
        self.inputs.clone()
    }

    /// Handles an announcement. One with an unchanged record only renews the lease; any other is
    /// committed. Other commands are proposed unchanged.
    pub async fn announce(&self, command: Command) -> CommandOutcome {
        let Command::Announce {
            record,
            number,
            load,
        } = &command
        else {
            return self.replica.propose(command).await;
        };
        let now = BootClock.now();
        let (number, load) = (*number, load.clone());
        if self.renew_unchanged(record, now) {
            self.record_load(record, number, load.as_ref(), now);
            let fence = self
                .state
                .read(|state| state.fence(&record.upstream).cloned());
            if let Some(fence) = fence {
                return CommandOutcome::Announced {
                    fence,
                    lease_ms: LEASE_MS,
                };
            }
        }
        let record = record.clone();
        let outcome = self.replica.propose(command).await;
        if matches!(outcome, CommandOutcome::Announced { .. })
            && let Some(tables) = self.tables(now).as_mut()
        {
            tables
                .leases
                .renew(&record.upstream, record.incarnation, now);
            self.record_load(&record, number, load.as_ref(), now);
        }
        outcome
    }

    fn record_load(
        &self,
        record: &UpstreamRecord,
        number: u64,
        load: Option<&UpstreamLoad>,
        now: TimePoint,
    ) {
        if let Some(load) = load {
            self.inputs.record_load(record, number, load, now);
        }
    }

    /// Renews the lease if the announced record is unchanged, and returns whether it is. `false` if
    /// this instance does not lead.
    fn renew_unchanged(&self, record: &UpstreamRecord, now: TimePoint) -> bool {
        let mut tables = self.tables(now);
        let Some(tables) = tables.as_mut() else {
            return false;
        };
        let is_unchanged = self
            .state
            .read(|state| state.member(&record.upstream) == Some(record));
        if is_unchanged {
            tables
                .leases
                .renew(&record.upstream, record.incarnation, now);
        }
        is_unchanged
    }

    /// Answers a ping with the committed revision and the shares of the entry. `None` if this
    /// instance does not lead or cannot reach a quorum.
    pub async fn ping(&self, ping: &PingRequest) -> Option<PingAnswer> {
        if !self.replica.read_barrier().await {
            return None;
        }
        let (term, revision, report) = self.record_ping(ping)?;
        let grant = self.wait_for_grant(term, &report).await?;
        Some(PingAnswer {
            entries: grant.entries,
            ping: ping.ping,
            revision: revision.0,
            shares: grant.shares,
            shares_lifetime_ms: grant.lifetime.as_millis() as u64,
        })
    }

    fn record_ping(&self, ping: &PingRequest) -> Option<(Term, Revision, ShareReport)> {
        let now = BootClock.now();
        let mut tables = self.tables(now);
        let tables = tables.as_mut()?;
        tables.subscribers.record(ping, now);
        self.state.read(|state| {
            self.inputs.record_ping(ping, state.document(), now);
            let report = tables.shares.report(ping, state, now);
            Some((tables.term, state.revision(), report))
        })
    }

    /// Waits for the first allocation that takes the report into account; `None` if the term has
    /// ended meanwhile.
    async fn wait_for_grant(&self, term: Term, report: &ShareReport) -> Option<ShareGrant> {
        loop {
            let wait = {
                let now = BootClock.now();
                let mut tables = self.tables(now);
                let tables = tables.as_mut().filter(|tables| tables.term == term)?;
                match tables.shares.grant_for(report, now) {
                    Ok(grant) => return Some(grant),
                    Err(wait) => wait,
                }
            };
            sleep(wait).await;
        }
    }

    /// Which live subscribers have a revision in force; `None` if this instance does not lead.
    pub fn in_force(&self, revision: u64) -> Option<InForceReport> {
        let now = BootClock.now();
        Some(
            self.tables(now)
                .as_ref()?
                .subscribers
                .in_force(revision, now),
        )
    }

    /// Newest demand that each live subscriber has reported; empty if this instance does not lead.
    pub fn demand(&self) -> Vec<DemandEntry> {
        let now = BootClock.now();
        let tables = self.tables(now);
        let Some(tables) = tables.as_ref() else {
            return Vec::new();
        };
        tables
            .subscribers
            .live(now)
            .flat_map(|(_, record)| record.demand.clone())
            .collect()
    }

    /// Checks the leases at a fixed interval; never returns.
    pub async fn run(&self) {
        let mut ticks = interval(CHECK_INTERVAL);
        loop {
            ticks.tick().await;
            self.check_leases().await;
        }
    }

    async fn check_leases(&self) {
        let report = {
            let now = BootClock.now();
            let mut tables = self.tables(now);
            let Some(tables) = tables.as_mut() else {
                return;
            };
            self.state
                .read(|state| tables.leases.check(state.members(), now))
        };
        for record in report.suspects {
            tracing::warn!(
                event = LogEvent::UpstreamSuspected.number(),
                upstream = %*record.upstream,
                "no announcement from upstream; it gets no new work when others can take it"
            );
            // The number 0 is never outdated, and never makes announcements of the agent outdated.
            let command = Command::Announce {
                load: None,
                number: 0,
                record,
            };
            self.replica.propose(command).await;
        }
        if report.removals.is_empty() {
            return;
        }
        tracing::warn!(
            event = LogEvent::UpstreamsRemoved.number(),
            count = report.removals.len(),
            "upstreams without announcements are removed"
        );
        let reason = "the lease has ended".to_owned();
        let command = Command::RemoveUpstreams {
            reason,
            upstreams: report.removals,
        };
        self.replica.propose(command).await;
    }

    /// Locks the tables and replaces them if the term has changed or the authority has ended.
    fn tables(&self, now: TimePoint) -> MutexGuard<'_, Option<TermTables>> {
        let mut tables = self
            .tables
            .lock()
            .expect("no holder of the table lock panics");
        let term = self.replica.authority(now).map(|authority| authority.term);
        let known = tables.as_ref().map(|tables| tables.term);
        if term != known {
            self.inputs.reset();
            *tables = term.map(|term| TermTables {
                term,
                leases: LeaseTable::new(LeaseSettings::default(), now),
                subscribers: SubscriberTable::default(),
                shares: self.state.read(|state| ShareTable::new(state, now)),
            });
        }
        tables
    }
}
