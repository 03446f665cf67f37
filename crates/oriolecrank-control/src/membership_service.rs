//! Membership changes by operators, and announcements of instances that want to join.

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

/// Longest request id of a membership change, in bytes. The audit record appends `.v` and the base
/// version to it, which takes up to 22 bytes.
const MAX_CHANGE_ID_BYTES: usize = MAX_REQUEST_ID_BYTES - 24;

/// Lists and changes the members of the control group and records instances that want to join. Only
/// the leader does so.
#[derive(Debug)]
pub struct MembershipService<R> {
    cluster: String,
    replica: Arc<R>,
    /// Never held across an await. `list` reads the status of the replica while it holds this lock.
    joins: Mutex<JoinTable>,
}

impl<R: GroupMembership> MembershipService<R> {
    /// Creates a service for the group of `replica`, in the cluster named `cluster`.
    pub fn new(cluster: String, replica: Arc<R>) -> Self {
        Self {
            cluster,
            replica,
            joins: Mutex::default(),
        }
    }

    /// Records an instance that wants to join. Returns false if this instance is not the leader or
    /// the joining instance belongs to another cluster.
    pub fn join(&self, request: &JoinRequest) -> bool {
        let accepted = self.replica.leads() && request.cluster == self.cluster;
        if accepted {
            self.joins()
                .record(request.instance.clone(), BootClock.now());
        }
        accepted
    }

    /// Lists the members with their progress and the instances that wait; `None` if this instance
    /// is not the leader. The caller must have passed a read barrier.
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

    /// Changes the membership and commits an audit record. For a forced change the record comes
    /// first, so that it exists even if an instance is lost during the change.
    ///
    /// A request whose change is already in effect is answered as changed, so that a client whose
    /// answer was lost can repeat it. The audit record is then written if it is missing.
    pub async fn change(&self, request: MembersRequest, origin: String) -> MembersOutcome {
        if !self.replica.leads() {
            return self.not_leader();
        }
        if let Some(reason) = invalid_reason(&request) {
            return refused(reason);
        }
        let before = self.replica.membership();
        let members: Vec<Member> = request.members.iter().map(consensus_member).collect();
        let version = MembershipVersion(request.base_version + 1);
        if before.version == version && before.members == members {
            return self.confirm(&request, origin).await;
        }
        if before.version.0 != request.base_version {
            return MembersOutcome::StaleVersion {
                current_version: before.version.0,
            };
        }
        let record = audit_command(&request, describe_changes(&before, &members), origin);
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
            return self.failure_outcome(error);
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

    /// Confirms a change that is already in effect, and writes its audit record if it is missing.
    async fn confirm(&self, request: &MembersRequest, origin: String) -> MembersOutcome {
        let version = request.base_version + 1;
        let change = vec!["the change was in effect when it was sent again".to_owned()];
        let record = audit_command(request, change, origin);
        // A membership is in effect before it is committed. When the audit record is committed, the
        // membership is committed too, unless another leader has replaced it. The version check
        // below detects that.
        match self.replica.propose(record).await {
            // The first request has written the record, with another description of the change.
            CommandOutcome::Accepted | CommandOutcome::RequestIdReused => {}
            _ => return MembersOutcome::Unknown,
        }
        if self.replica.membership().version.0 < version {
            return MembersOutcome::Unknown;
        }
        MembersOutcome::Changed { version }
    }

    async fn audit(&self, record: Command) -> Result<(), MembersOutcome> {
        match self.replica.propose(record).await {
            CommandOutcome::Accepted => Ok(()),
            CommandOutcome::RequestIdReused => Err(refused(
                "the request id was used for another change; use a new one",
            )),
            CommandOutcome::Refused { reason } => Err(refused(reason)),
            CommandOutcome::NotLeader { .. } => Err(self.not_leader()),
            _ => Err(MembersOutcome::Unknown),
        }
    }

    fn failure_outcome(&self, error: ChangeError) -> MembersOutcome {
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

/// Why a request is invalid, if it is. This is checked before the change, because the audit record
/// of a change that is not forced is only written after it.
fn invalid_reason(request: &MembersRequest) -> Option<&'static str> {
    let operator = request.operator.len();
    let id = request.request_id.len();
    if operator == 0 || operator > MAX_REQUEST_ID_BYTES {
        return Some("the name of the operator is empty or too long");
    }
    if id == 0 || id > MAX_CHANGE_ID_BYTES {
        return Some("the request id is empty or too long");
    }
    let is_invalid = |member: &GroupMember| member.address.parse::<std::net::SocketAddr>().is_err();
    let invalid_address = request.members.iter().any(is_invalid);
    invalid_address.then_some("the address of a member does not have the form IP:port")
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

/// The request id of the record contains the base version, because an operator may use the same id
/// for changes of several versions.
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

/// Describes the differences between a membership and a new list of members, for the audit record.
fn describe_changes(before: &Membership, after: &[Member]) -> Vec<String> {
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
