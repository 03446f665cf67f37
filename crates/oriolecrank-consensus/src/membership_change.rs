//! Checks of a requested membership change.
//!
//! A request names the version it is based on and carries the full list of members, so that two
//! operators who act at the same time cannot combine into a membership that neither asked for.
//! Only one voter is added or removed at a time, because then every quorum of the old membership
//! overlaps every quorum of the new one.

use indexmap::IndexSet;
use snafu::{OptionExt, Snafu, ensure};

use crate::instance_id::InstanceId;
use crate::membership::{Member, MemberRole, Membership};
use crate::numbers::MembershipVersion;

/// Most members of a group, voters and learners together.
pub const MAX_MEMBERS: usize = 24;

/// Most voters: five, and a sixth while one of them is being replaced.
pub const MAX_VOTERS: usize = 6;

/// A requested membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipRequest {
    /// Version that the request is based on.
    pub base_version: MembershipVersion,
    /// Full list of the members after the change.
    pub members: Vec<Member>,
    /// Skips the check that the result could lose one more instance. The caller audits this.
    pub forced: bool,
}

/// A refused membership change; nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MembershipError {
    /// This instance is not the leader.
    #[snafu(display("this instance is not the leader"))]
    ChangeNotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// The leader has not committed an entry of its term yet; try again.
    #[snafu(display("the leader has not committed an entry of its own term yet"))]
    LeaderNotReady,
    /// The previous change is not committed yet; try again.
    #[snafu(display("another membership change is in progress"))]
    ChangeInProgress,
    /// The request is based on another version.
    #[snafu(display("the membership has version {current}"))]
    StaleVersion {
        /// Present version.
        current: MembershipVersion,
    },
    /// An identity appears twice.
    #[snafu(display("{id} is listed twice"))]
    DuplicateMember {
        /// The identity.
        id: InstanceId,
    },
    /// A removed identity cannot return.
    #[snafu(display("{id} was removed; an instance that returns needs a new identity"))]
    RetiredIdentity {
        /// The identity.
        id: InstanceId,
    },
    /// More than one voter would change.
    #[snafu(display("only one voter may be added or removed at a time"))]
    SeveralVoters,
    /// No voter or too many members would remain.
    #[snafu(display("a group has 1 to {MAX_VOTERS} voters and at most {MAX_MEMBERS} members"))]
    WrongSize,
    /// A new voter must be a learner that has caught up.
    #[snafu(display("{id} must be a learner that has caught up before it becomes a voter"))]
    NotCaughtUp {
        /// The identity.
        id: InstanceId,
    },
    /// The result could not lose one more instance.
    #[snafu(display(
        "{live} of the remaining voters are live and caught up and {quorum} are needed for a \
         quorum, so the result could not lose one more instance"
    ))]
    TooFewLive {
        /// Remaining voters that are live and have caught up.
        live: usize,
        /// Quorum of the result.
        quorum: usize,
    },
}

/// Checks a request against the present membership and returns the new one.
///
/// `ready` tells whether a member is live and has caught up with the log.
pub fn check_change(
    current: &Membership,
    request: &MembershipRequest,
    ready: impl Fn(&InstanceId) -> bool,
) -> Result<Membership, MembershipError> {
    ensure!(
        request.base_version == current.version,
        StaleVersionSnafu {
            current: current.version
        }
    );
    let mut seen = IndexSet::new();
    for member in &request.members {
        let id = &member.id;
        ensure!(seen.insert(id), DuplicateMemberSnafu { id: id.clone() });
        ensure!(
            !current.is_retired(id),
            RetiredIdentitySnafu { id: id.clone() }
        );
    }
    let result = next_membership(current, request);
    let voters = result.voters().count();
    ensure!(
        (1..=MAX_VOTERS).contains(&voters) && result.members.len() <= MAX_MEMBERS,
        WrongSizeSnafu
    );
    check_voters(current, &result, request.forced, ready)?;
    Ok(result)
}

fn check_voters(
    current: &Membership,
    result: &Membership,
    forced: bool,
    ready: impl Fn(&InstanceId) -> bool,
) -> Result<(), MembershipError> {
    let added: Vec<&InstanceId> = result.voters().filter(|id| !current.is_voter(id)).collect();
    let removed = current.voters().filter(|id| !result.is_voter(id)).count();
    ensure!(added.len() + removed <= 1, SeveralVotersSnafu);
    if let Some(&id) = added.first() {
        let learner = current
            .member(id)
            .is_some_and(|member| member.role == MemberRole::Learner);
        (learner && ready(id))
            .then_some(())
            .context(NotCaughtUpSnafu { id: id.clone() })?;
    }
    if removed == 0 || forced {
        return Ok(());
    }
    let live = result.voters().filter(|id| ready(id)).count();
    let quorum = result.quorum();
    ensure!(live > quorum, TooFewLiveSnafu { live, quorum });
    Ok(())
}

fn next_membership(current: &Membership, request: &MembershipRequest) -> Membership {
    let kept = |id: &InstanceId| request.members.iter().any(|member| member.id == *id);
    let mut retired = current.retired.clone();
    retired.extend(
        current
            .members
            .iter()
            .map(|member| &member.id)
            .filter(|id| !kept(id))
            .cloned(),
    );
    Membership {
        version: MembershipVersion(current.version.0 + 1),
        members: request.members.clone(),
        retired,
    }
}
