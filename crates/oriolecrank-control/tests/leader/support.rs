//! In-memory control group, manual clock, listeners and test data.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriolecrank_consensus::{LeaderAuthority, Term};
use oriolecrank_control::{CommandReplica, SharedState, TimeSource};
use oriolecrank_net::shutdown::{ShutdownTrigger, shutdown_channel};
use oriolecrank_net::{ClusterSecret, HttpHandler, serve};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::UsageRecord;
use oriolecrank_schema::control::{
    Command, CommandOutcome, ControlMember, LoggedCommand, OrderAction, UpstreamPhase,
    UpstreamRecord, UpstreamRole,
};
use oriolecrank_schema::data_path::TokenUsage;
use oriolecrank_schema::document::{
    ConfigDocument, FailureDomainId, KeyConfig, KeyDigest, OrganisationConfig, PriorityClass,
    RegionConfig, RegionId, ServiceConfig, ServiceId, ServiceKind, UpstreamId,
};
use oriolecrank_state::LogIndex;
use tokio::net::TcpListener;

/// Log time at the origin of the manual clock.
const LOG_EPOCH_MS: u64 = 1_700_000_000_000;

/// A clock that advances only when a test calls [`advance`](Self::advance).
#[derive(Debug, Clone, Default)]
pub struct ManualTime(Arc<AtomicU64>);

impl ManualTime {
    /// Moves the clock forward.
    pub fn advance(&self, duration: Duration) {
        self.0
            .fetch_add(duration.as_millis() as u64, Ordering::SeqCst);
    }
}

impl TimeSource for ManualTime {
    fn now(&self) -> TimePoint {
        TimePoint::from_millis(self.0.load(Ordering::SeqCst))
    }
}

/// Log that all replicas of a group share.
#[derive(Debug, Default)]
struct TestLog {
    entries: Vec<LoggedCommand>,
    term: u64,
}

/// A control group without a network: its replicas share one log and apply its entries.
#[derive(Debug, Clone, Default)]
pub struct TestGroup {
    pub time: ManualTime,
    log: Arc<Mutex<TestLog>>,
}

/// A simulated pause of the process after a number of checks of the authority.
#[derive(Debug, Clone, Copy)]
struct PlannedPause {
    after_checks: u64,
    length: Duration,
}

/// One control instance whose authority is set by the test.
#[derive(Debug)]
pub struct TestReplica {
    group: TestGroup,
    pub state: Arc<SharedState>,
    authority: Mutex<Option<LeaderAuthority>>,
    checks: AtomicU64,
    pause: Mutex<Option<PlannedPause>>,
}

impl TestGroup {
    /// Creates an instance of the group, without authority.
    pub fn replica(&self) -> Arc<TestReplica> {
        Arc::new(TestReplica {
            group: self.clone(),
            state: Arc::new(SharedState::default()),
            authority: Mutex::new(None),
            checks: AtomicU64::new(0),
            pause: Mutex::new(None),
        })
    }

    /// Current time of the manual clock, in milliseconds.
    pub fn time_ms(&self) -> u64 {
        self.time.now().as_millis()
    }

    /// Committed entries.
    pub fn entries(&self) -> Vec<LoggedCommand> {
        self.log.lock().unwrap().entries.clone()
    }

    /// Creates an instance of the group that leads the next term with a lease of 10 h.
    pub fn leader(&self) -> Arc<TestReplica> {
        let replica = self.replica();
        replica.lead(Duration::from_hours(10));
        replica
    }
}

impl TestReplica {
    /// Makes this instance the leader of the next term.
    pub fn lead(&self, lease: Duration) {
        let term = {
            let mut log = self.group.log.lock().unwrap();
            log.term += 1;
            log.term
        };
        self.renew(Term(term), lease);
        self.catch_up();
    }

    /// Replaces the lease by one that begins now.
    pub fn renew(&self, term: Term, lease: Duration) {
        let until = self.group.time.now() + lease;
        *self.authority.lock().unwrap() = Some(LeaderAuthority { term, until });
    }

    /// Ends the authority.
    pub fn resign(&self) {
        *self.authority.lock().unwrap() = None;
    }

    /// Number of checks of the authority so far.
    pub fn checks(&self) -> u64 {
        self.checks.load(Ordering::SeqCst)
    }

    /// Advances the clock by `length` right after the authority was checked `more_checks` times
    /// more, as if the process paused there.
    pub fn pause_after_checks(&self, more_checks: u64, length: Duration) {
        let after_checks = self.checks() + more_checks;
        *self.pause.lock().unwrap() = Some(PlannedPause {
            after_checks,
            length,
        });
    }

    /// Proposes a command and panics if it is refused or not known to be applied.
    pub async fn commit(&self, command: Command) -> CommandOutcome {
        let outcome = self.propose(command).await;
        assert!(
            !matches!(
                outcome,
                CommandOutcome::Refused { .. }
                    | CommandOutcome::NotLeader { .. }
                    | CommandOutcome::DocumentInvalid { .. }
                    | CommandOutcome::Unavailable
            ),
            "{outcome:?}"
        );
        outcome
    }

    /// Proposes an order to an upstream and returns the outcome, which may be a refusal.
    pub async fn propose_order(&self, name: &str, action: OrderAction) -> CommandOutcome {
        let command = Command::PlaceOrder {
            upstream: upstream(name),
            action,
            reason: "test".to_owned(),
        };
        self.propose(command).await
    }

    /// Applies the log entries that this replica has not applied yet.
    pub fn catch_up(&self) {
        let log = self.group.log.lock().unwrap();
        for (position, entry) in log.entries.iter().enumerate() {
            let index = LogIndex(position as u64 + 1);
            if index
                > self
                    .state
                    .read(oriolecrank_state::ClusterState::applied_index)
            {
                self.state.apply(index, entry.clone());
            }
        }
    }
}

impl CommandReplica for TestReplica {
    async fn propose(&self, command: Command) -> CommandOutcome {
        self.catch_up();
        let authority = *self.authority.lock().unwrap();
        let mut log = self.group.log.lock().unwrap();
        let now = self.group.time.now();
        let valid = authority.filter(|held| held.term.0 == log.term && now < held.until);
        let Some(authority) = valid else {
            return CommandOutcome::NotLeader { leader: None };
        };
        let entry = LoggedCommand {
            command,
            term: authority.term.0,
            time_ms: LOG_EPOCH_MS + now.as_millis(),
        };
        log.entries.push(entry.clone());
        self.state.apply(LogIndex(log.entries.len() as u64), entry)
    }

    async fn read_barrier(&self) -> bool {
        let authority = *self.authority.lock().unwrap();
        if authority.is_none() {
            return false;
        }
        self.catch_up();
        true
    }

    fn authority(&self, now: TimePoint) -> Option<LeaderAuthority> {
        let checks = self.checks.fetch_add(1, Ordering::SeqCst) + 1;
        let authority = *self.authority.lock().unwrap();
        let authority = authority.filter(|authority| now < authority.until);
        let mut pause = self.pause.lock().unwrap();
        if let Some(planned) = pause.filter(|planned| planned.after_checks == checks) {
            self.group.time.advance(planned.length);
            *pause = None;
        }
        authority
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        None
    }

    fn members(&self) -> Vec<ControlMember> {
        Vec::new()
    }
}

/// Serves `handler` on a free port until the trigger is dropped.
pub async fn listen<H: HttpHandler>(handler: H) -> (SocketAddr, ShutdownTrigger) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (trigger, signal) = shutdown_channel();
    tokio::spawn(serve(listener, Arc::new(handler), signal));
    (address, trigger)
}

pub fn secret() -> ClusterSecret {
    ClusterSecret::new("0123456789abcdef0123456789abcdef").unwrap()
}

pub fn service(name: &str) -> ServiceId {
    ServiceId(name.to_owned())
}

pub fn domain(name: &str) -> FailureDomainId {
    FailureDomainId(name.to_owned())
}

pub fn upstream(name: &str) -> UpstreamId {
    UpstreamId(name.to_owned())
}

/// A document with an engine service and a plain service in three failure domains.
pub fn document() -> ConfigDocument {
    let engine = ServiceConfig {
        name: service("assistant"),
        kind: ServiceKind::Engine,
        models: vec!["olive-7b".to_owned()],
        class: PriorityClass::Standard,
        deadline_ms: 30_000,
        routes: Vec::new(),
        budget: None,
    };
    let plain = ServiceConfig {
        name: service("desk"),
        kind: ServiceKind::Plain,
        models: Vec::new(),
        ..engine.clone()
    };
    let organisation = OrganisationConfig {
        name: "grove".to_owned().into(),
        keys: vec![KeyConfig {
            name: "main".to_owned(),
            digest: KeyDigest(format!("{:064x}", 1)),
        }],
        limits: Vec::new(),
        services: Vec::new(),
        weight: 1,
    };
    let region = |name: &str| RegionConfig {
        name: RegionId(name.to_owned()),
        failure_domains: vec![domain(name)],
    };
    ConfigDocument {
        budget: None,
        organisations: vec![organisation],
        regions: ["piedmont", "black-belt", "gulf-coast"].map(region).into(),
        services: vec![engine, plain],
        usage_window_s: 60,
    }
}

/// Commits a document, which is then in force.
pub async fn submit(replica: &TestReplica, document: ConfigDocument) {
    let base_revision = replica.state.read(|state| state.revision().0);
    let command = Command::Submit {
        base_revision,
        document,
        operator: "test".to_owned(),
        origin: "127.0.0.1".to_owned(),
        request_id: format!("document-{base_revision}"),
    };
    replica.commit(command).await;
}

/// Record of a ready upstream of the service `assistant`.
pub fn engine_record(name: &str, failure_domain: &str, address: &str) -> UpstreamRecord {
    UpstreamRecord {
        address: address.to_owned(),
        capacity_blocks: 256,
        checks_fencing: false,
        failure_domain: domain(failure_domain),
        incarnation: 1,
        model: Some("olive-7b".to_owned()),
        phase: UpstreamPhase::Ready,
        region: RegionId(failure_domain.to_owned()),
        role: UpstreamRole::Mixed,
        service: service("assistant"),
        upstream: upstream(name),
        version: Some("1".to_owned()),
    }
}

/// Announces an upstream, which becomes a member, with the given announcement number.
pub async fn announce(replica: &TestReplica, record: UpstreamRecord, number: u64) {
    let command = Command::Announce {
        load: None,
        number,
        record,
    };
    replica.commit(command).await;
}

/// Usage record of an attempt that ended `age_ms` milliseconds ago.
pub fn usage_record(request: &str, prompt_tokens: u64, age_ms: u64) -> UsageRecord {
    UsageRecord {
        age_ms,
        attempt: 1,
        organisation: "grove".to_owned().into(),
        request_id: request.to_owned().into(),
        service: service("assistant"),
        usage: TokenUsage {
            prompt_tokens,
            output_tokens: 10,
        },
    }
}
