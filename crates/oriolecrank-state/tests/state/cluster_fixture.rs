//! A state machine with log index and log time, and constructors of commands and outcomes.

use oriolecrank_schema::control::{
    Command, CommandOutcome, FencingNumber, LoggedCommand, OrderAction, OrderResult, Query,
    QueryResult, RunningRequest, StoredAnswer, UpstreamPhase, UpstreamRecord, UpstreamRemoval,
    UpstreamRole, UsageRecord,
};
use oriolecrank_schema::data_path::{ClaimTicket, TokenUsage};
use oriolecrank_schema::document::{ConfigDocument, OrganisationId, ServiceId, UpstreamId};
use oriolecrank_state::{ClusterState, LogIndex};

use crate::fixtures::document;

/// Log time at the start of a test, in milliseconds.
pub const START_MS: u64 = 1_000_000;

/// A command and its expected outcome.
pub type CaseStep = (Command, CommandOutcome);

/// A state machine with the index of its last entry, and the log time and term of the next one.
#[derive(Debug, Clone)]
pub struct TestCluster {
    pub state: ClusterState,
    pub index: u64,
    pub time_ms: u64,
    pub term: u64,
}

impl TestCluster {
    /// An empty cluster.
    pub fn empty() -> Self {
        Self {
            state: ClusterState::default(),
            index: 0,
            time_ms: START_MS,
            term: 1,
        }
    }

    /// A cluster with the document of the fixtures and the members `desk-1` and `engine-1`.
    pub fn ready() -> Self {
        let mut cluster = Self::empty();
        cluster.send(submit("setup", 0, document()));
        cluster.send(announce("desk-1", 1, 1));
        cluster.send(announce("engine-1", 1, 1));
        cluster
    }

    /// Applies a command at the current log time.
    pub fn send(&mut self, command: Command) -> CommandOutcome {
        self.index += 1;
        let entry = LoggedCommand {
            time_ms: self.time_ms,
            term: self.term,
            command,
        };
        self.state.apply(LogIndex(self.index), entry)
    }

    /// Advances the log time by `millis` and applies a command.
    pub fn send_after(&mut self, millis: u64, command: Command) -> CommandOutcome {
        self.time_ms += millis;
        self.send(command)
    }

    /// Applies the commands of a test case and compares each outcome with the expected one.
    pub fn check_steps(&mut self, name: &str, steps: Vec<CaseStep>) {
        for (number, (command, expected)) in steps.into_iter().enumerate() {
            let text = format!("{command:?}");
            let outcome = self.send(command);
            assert_eq!(outcome, expected, "{name}, step {number}: {text}");
        }
    }

    pub fn upstream_names(&self) -> Vec<&str> {
        let members = self.state.members();
        members.map(|record| record.upstream.0.as_str()).collect()
    }

    /// Restores the state from its own snapshot.
    pub fn restore(&mut self) {
        let bytes = self.state.encode_snapshot();
        self.state = ClusterState::decode_snapshot(&bytes).expect("the snapshot is valid");
    }

    pub fn suspects(&self) -> Vec<oriolecrank_schema::control::SuspectRecord> {
        match self.state.query(&Query::Suspects) {
            QueryResult::Suspects { records } => records,
            other => panic!("expected QueryResult::Suspects, found {other:?}"),
        }
    }
}

pub fn refused(reason: &str) -> CommandOutcome {
    CommandOutcome::Refused {
        reason: reason.to_owned(),
    }
}

pub fn submit(request_id: &str, base_revision: u64, document: ConfigDocument) -> Command {
    Command::Submit {
        base_revision,
        document,
        operator: "alma".to_owned(),
        origin: "10.0.0.9".to_owned(),
        request_id: request_id.to_owned(),
    }
}

/// Record of a ready upstream. It belongs to service `desk` if its name starts with `desk`,
/// otherwise to `assistant`.
pub fn upstream_record(upstream: &str, incarnation: u64) -> UpstreamRecord {
    let is_desk = upstream.starts_with("desk");
    UpstreamRecord {
        address: "10.0.0.1:7000".to_owned(),
        capacity_blocks: 64,
        checks_fencing: false,
        failure_domain: "piedmont-1".to_owned().into(),
        incarnation,
        model: None,
        phase: UpstreamPhase::Ready,
        region: "piedmont".to_owned().into(),
        role: if is_desk {
            UpstreamRole::Plain
        } else {
            UpstreamRole::Mixed
        },
        service: ServiceId(if is_desk { "desk" } else { "assistant" }.to_owned()),
        upstream: UpstreamId(upstream.to_owned()),
        version: None,
    }
}

/// Announces a ready upstream; `number` increases with each announcement of an incarnation.
pub fn announce(upstream: &str, incarnation: u64, number: u64) -> Command {
    Command::Announce {
        load: None,
        number,
        record: upstream_record(upstream, incarnation),
    }
}

/// Outcome of an announcement, with the highest fencing number of the upstream.
pub fn announced(term: u64, sequence: u64) -> CommandOutcome {
    CommandOutcome::Announced {
        fence: FencingNumber { sequence, term },
        lease_ms: 3_000,
    }
}

/// Removes upstreams, given by name and incarnation.
pub fn remove_upstreams(upstreams: &[(&str, u64)]) -> Command {
    let removal = |(upstream, incarnation): &(&str, u64)| UpstreamRemoval {
        incarnation: *incarnation,
        upstream: UpstreamId((*upstream).to_owned()),
    };
    Command::RemoveUpstreams {
        reason: "lease ended".to_owned(),
        upstreams: upstreams.iter().map(removal).collect(),
    }
}

/// Opens a claim of organisation `grove` at service `desk` for incarnation 1 of `desk-1`.
pub fn open_claim(key: &str, body: &str, request: &str) -> Command {
    open_claim_for("grove", key, body, request, ("desk-1", 1))
}

/// Opens a claim at service `desk`; `agent` is the name and incarnation of an upstream.
pub fn open_claim_for(
    organisation: &str,
    key: &str,
    body: &str,
    request: &str,
    agent: (&str, u64),
) -> Command {
    Command::OpenClaim {
        body_digest: body.to_owned(),
        incarnation: agent.1,
        key_digest: key.to_owned(),
        organisation: OrganisationId(organisation.to_owned()),
        request_id: request.to_owned().into(),
        service: ServiceId("desk".to_owned()),
        upstream: UpstreamId(agent.0.to_owned()),
    }
}

pub fn claim_ticket(claim_id: u64, upstream: &str, incarnation: u64) -> ClaimTicket {
    ClaimTicket {
        claim_id,
        incarnation,
        upstream: UpstreamId(upstream.to_owned()),
    }
}

pub fn claim_granted(claim_id: u64) -> CommandOutcome {
    CommandOutcome::ClaimGranted {
        ticket: claim_ticket(claim_id, "desk-1", 1),
    }
}

pub fn complete_claim(claim_id: u64, incarnation: u64, answer: Option<StoredAnswer>) -> Command {
    Command::CompleteClaim {
        answer,
        claim_id,
        incarnation,
        upstream: UpstreamId("desk-1".to_owned()),
    }
}

pub fn release_claim(claim_id: u64, incarnation: u64) -> Command {
    Command::ReleaseClaim {
        claim_id,
        incarnation,
        upstream: UpstreamId("desk-1".to_owned()),
    }
}

/// An answer whose decoded body has about `bytes` bytes.
pub fn stored_answer(bytes: usize) -> StoredAnswer {
    StoredAnswer {
        body: "A".repeat(bytes / 3 * 4),
        headers: Vec::new(),
        status: 201,
    }
}

/// Usage of one attempt of a request of organisation `grove`, with 10 prompt tokens for each output
/// token.
pub fn usage_record(request: &str, attempt: u32, tokens: u64, age_ms: u64) -> UsageRecord {
    UsageRecord {
        age_ms,
        attempt,
        organisation: OrganisationId("grove".to_owned()),
        request_id: request.to_owned().into(),
        service: ServiceId("assistant".to_owned()),
        usage: TokenUsage {
            output_tokens: tokens,
            prompt_tokens: 10 * tokens,
        },
    }
}

pub fn report_usage(records: Vec<UsageRecord>) -> Command {
    Command::ReportUsage {
        records,
        source: "entry-1".to_owned(),
    }
}

/// Crash report of incarnation 1; `running` lists the organisation and fingerprint of each request.
pub fn report_crash(upstream: &str, crash_id: u64, running: &[(&str, &str)]) -> Command {
    let request = |(organisation, fingerprint): &(&str, &str)| RunningRequest {
        fingerprint: (*fingerprint).to_owned(),
        organisation: (*organisation).to_owned(),
        request_id: "r".to_owned().into(),
    };
    Command::ReportCrash {
        crash_id,
        incarnation: 1,
        running: running.iter().map(request).collect(),
        upstream: UpstreamId(upstream.to_owned()),
    }
}

pub fn rerun_suspect(fingerprint: &str, upstream: &str, request: &str) -> Command {
    Command::RerunSuspect {
        fingerprint: fingerprint.to_owned(),
        incarnation: 1,
        organisation: "grove".to_owned(),
        request_id: request.to_owned().into(),
        upstream: UpstreamId(upstream.to_owned()),
    }
}

pub fn release_rerun(fingerprint: &str, upstream: &str, request: &str) -> Command {
    Command::ReleaseRerun {
        fingerprint: fingerprint.to_owned(),
        incarnation: 1,
        organisation: "grove".to_owned(),
        request_id: request.to_owned().into(),
        upstream: UpstreamId(upstream.to_owned()),
    }
}

pub fn clear_suspect(organisation: &str, fingerprint: &str) -> Command {
    Command::ClearSuspect {
        fingerprint: fingerprint.to_owned(),
        organisation: organisation.to_owned(),
    }
}

pub fn place_order(upstream: &str) -> Command {
    Command::PlaceOrder {
        action: OrderAction::Drain,
        reason: "test".to_owned(),
        upstream: UpstreamId(upstream.to_owned()),
    }
}

pub fn settle_order(upstream: &str, term: u64, sequence: u64, result: OrderResult) -> Command {
    Command::SettleOrder {
        fence: FencingNumber { sequence, term },
        result,
        upstream: UpstreamId(upstream.to_owned()),
    }
}
