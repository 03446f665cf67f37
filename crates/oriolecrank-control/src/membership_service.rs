//! Membership requests of operators and announcements of instances that join.

use std::sync::{Arc, Mutex, MutexGuard};

use oriolecrank_consensus::{
    InstanceId, Member, MemberRole, Membership, MembershipError, MembershipRequest,
    MembershipVersion,
};
use oriolecrank_net::BootClock;
use oriolecrank_schema::control::{
    Command, CommandOutcome, GroupMember, JoinRequest, MembersOutcome, MembersRequest, QueryResult,
};
use oriolecrank_schema::event::LogEvent;
use oriolecrank_state::cluster::MAX_REQUEST_ID_BYTES;

use crate::group_membership::GroupMembership;
use crate::join_table::JoinTable;
use crate::replica_error::ChangeError;

/// Longest request id of an operator, in bytes; the audit record appends the base version to it.
const MAX_OPERATOR_ID_BYTES: usize = MAX_REQUEST_ID_BYTES - 24;

/// Answers what concerns the control group itself; only the leader does.
#[derive(Debug)]
pub struct MembershipService<R> {
    cluster: String,
    replica: Arc<R>,
    /// No other lock is held while this one is; never held across an await.
    joins: Mutex<JoinTable>,
}

impl<R: GroupMembership> MembershipService<R> {
    /// A service for the group of the given replica.
    pub fn new(cluster: String, replica: Arc<R>) -> Self {
        Self {
            cluster,
            replica,
            joins: Mutex::default(),
        }
    }

    /// Notes an instance that wants to join; false if this instance is not the leader or the
    /// instance belongs to another cluster.
    pub fn join(&self, request: &JoinRequest) -> bool {
        let accepted = self.replica.leads() && request.cluster == self.cluster;
        if accepted {
            self.joins()
                .record(request.instance.clone(), BootClock.now());
        }
        accepted
    }

    /// Lists members with their progress, and instances that wait; `None` if this instance is not
    /// the leader. The caller has passed a read barrier.
    pub fn list(&self) -> Option<QueryResult> {
        if !self.replica.leads() {
            return None;
        }
        let membership = self.replica.membership();
        let is_member = |id: &str| membership.member(&InstanceId::new(id)).is_some();
        Some(QueryResult::Members {
            joining: self.joins().waiting(is_member, BootClock.now()),
            members: self.replica.members(),
            version: membership.version.0,
        })
    }

    /// Changes the membership and audits it. A forced change is audited before it is made, so that
    /// no loss of an instance leaves it unaudited.
    ///
    /// A request that is already in effect is answered as changed, which settles a request whose
    /// answer was lost; its audit record is then written if it was not.
    pub async fn change(&self, request: MembersRequest, origin: String) -> MembersOutcome {
        if !self.replica.leads() {
            return self.not_leader();
        }
        if let Some(reason) = bad_request(&request) {
            return refused(reason);
        }
        let before = self.replica.membership();
        let members: Vec<Member> = request.members.iter().map(consensus_member).collect();
        let version = MembershipVersion(request.base_version + 1);
        if before.version == version && before.members == members {
            return self.settle(&request, origin).await;
        }
        if before.version.0 != request.base_version {
            return MembersOutcome::StaleVersion {
                current_version: before.version.0,
            };
        }
        let record = audit_command(&request, changes(&before, &members), origin);
        if request.forced
            && let Err(outcome) = self.audit(record.clone()).await
        {
            return outcome;
        }
        let change = MembershipRequest {
            base_version: before.version,
            members,
            forced: request.forced,
        };
        if let Err(error) = self.replica.change_membership(change).await {
            return self.failed(error);
        }
        tracing::info!(
            event = LogEvent::MembershipChanged.number(),
            version = version.0,
            forced = request.forced,
            "the control group has changed"
        );
        if !request.forced && self.audit(record).await.is_err() {
            return MembersOutcome::Unknown;
        }
        MembersOutcome::Changed { version: version.0 }
    }

    /// Audits a change that is in effect, unless its record was written before.
    async fn settle(&self, request: &MembersRequest, origin: String) -> MembersOutcome {
        let version = request.base_version + 1;
        let change = vec!["the change was in effect when it was sent again".to_owned()];
        let record = audit_command(request, change, origin);
        // The membership is in effect before it is committed. An entry that is committed after it
        // shows that it is committed too, unless another leader has replaced it meanwhile.
        match self.replica.propose(record).await {
            // The first attempt has written the record, with other text.
            CommandOutcome::Accepted | CommandOutcome::RequestIdReused => {}
            _ => return MembersOutcome::Unknown,
        }
        if self.replica.membership().version.0 < version {
            return MembersOutcome::Unknown;
        }
        MembersOutcome::Changed { version }
    }

    /// Commits an audit record.
    async fn audit(&self, record: Command) -> Result<(), MembersOutcome> {
        match self.replica.propose(record).await {
            CommandOutcome::Accepted => Ok(()),
            CommandOutcome::RequestIdReused => {
                Err(refused("the request id was used for another change"))
            }
            CommandOutcome::Refused { reason } => Err(refused(reason)),
            CommandOutcome::NotLeader { .. } => Err(self.not_leader()),
            _ => Err(MembersOutcome::Unknown),
        }
    }

    fn failed(&self, error: ChangeError) -> MembersOutcome {
        match error {
            ChangeError::ChangeStopped
            | ChangeError::ChangeRefused {
                source: MembershipError::ChangeNotLeader { .. },
            } => self.not_leader(),
            ChangeError::ChangeRefused {
                source: MembershipError::StaleVersion { current },
            } => MembersOutcome::StaleVersion {
                current_version: current.0,
            },
            ChangeError::ChangeRefused { source } => refused(source.to_string()),
            ChangeError::ChangeUnknown => MembersOutcome::Unknown,
        }
    }

    fn not_leader(&self) -> MembersOutcome {
        let leader = self.replica.leader_address();
        MembersOutcome::NotLeader {
            leader: leader.map(|address| address.to_string()),
        }
    }

    fn joins(&self) -> MutexGuard<'_, JoinTable> {
        self.joins
            .lock()
            .expect("no holder of the join table lock panics")
    }
}

fn refused(reason: impl Into<String>) -> MembersOutcome {
    MembersOutcome::Refused {
        reason: reason.into(),
    }
}

/// Why a request cannot be audited. Checked first, because an ordinary change is audited after it
/// is made.
fn bad_request(request: &MembersRequest) -> Option<&'static str> {
    let operator = request.operator.len();
    let id = request.request_id.len();
    if operator == 0 || operator > MAX_REQUEST_ID_BYTES {
        return Some("the operator is empty or too long");
    }
    if id == 0 || id > MAX_OPERATOR_ID_BYTES {
        return Some("the request id is empty or too long");
    }
    let address = |member: &GroupMember| member.address.parse::<std::net::SocketAddr>().is_err();
    let bad_address = request.members.iter().any(address);
    bad_address.then_some("an address does not have the form IP:port")
}

fn consensus_member(member: &GroupMember) -> Member {
    Member {
        id: InstanceId::new(&member.instance),
        address: member.address.clone(),
        role: if member.voter {
            MemberRole::Voter
        } else {
            MemberRole::Learner
        },
    }
}

/// The record names the base version in its id, because an id may be used again for another version.
fn audit_command(request: &MembersRequest, changes: Vec<String>, origin: String) -> Command {
    let base = request.base_version;
    let forced = if request.forced { " forced" } else { "" };
    Command::RecordAudit {
        action: format!("members {base}->{}{forced}", base + 1),
        changes,
        operator: request.operator.clone(),
        origin,
        request_id: format!("{}.v{base}", request.request_id),
    }
}

/// What differs between a membership and a list of members.
fn changes(before: &Membership, after: &[Member]) -> Vec<String> {
    let role = |member: &Member| match member.role {
        MemberRole::Voter => "voter",
        MemberRole::Learner => "learner",
    };
    let mut changes = Vec::new();
    for member in after {
        match before.member(&member.id) {
            Some(known) if known == member => {}
            Some(known) => changes.push(format!(
                "change {} from {} {} to {} {}",
                member.id,
                role(known),
                known.address,
                role(member),
                member.address
            )),
            None => changes.push(format!(
                "add {} {} {}",
                role(member),
                member.id,
                member.address
            )),
        }
    }
    let removed = before
        .members
        .iter()
        .filter(|known| after.iter().all(|member| member.id != known.id));
    changes.extend(removed.map(|member| format!("remove {} {}", role(member), member.id)));
    changes
}
