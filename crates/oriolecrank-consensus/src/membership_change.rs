//! Validation of membership changes.
//!
//! A request names the version it is based on and carries the full list of members, so that two
//! concurrent requests cannot combine into a membership that neither operator asked for. Only one
//! voter is added or removed at a time, because then every quorum of the old membership overlaps
//! every quorum of the new one.

use indexmap::IndexSet;
use snafu::{OptionExt, Snafu, ensure};

use crate::instance_id::InstanceId;
use crate::membership::{Member, MemberRole, Membership};
use crate::numbers::MembershipVersion;

/// Largest number of members, voters and learners together.
pub const MAX_MEMBERS: usize = 24;

/// Largest number of voters: five, and a sixth while one of them is being replaced.
pub const MAX_VOTERS: usize = 6;

/// A requested membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipRequest {
    /// Version that the request is based on.
    pub base_version: MembershipVersion,
    /// Full list of the members after the change.
    pub members: Vec<Member>,
    /// Skips the check that the new membership tolerates the loss of another voter. The caller
    /// must write an audit record of the change.
    pub forced: bool,
}

/// A rejected membership change; nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MembershipError {
    /// This instance is not the leader.
    #[snafu(display("this instance is not the leader"))]
    ChangeNotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// The leader has not committed an entry of its own term yet; the caller may retry.
    #[snafu(display("the leader has not committed an entry of its own term yet"))]
    LeaderNotReady,
    /// The previous change is not committed yet; the caller may retry.
    #[snafu(display("another membership change is in progress"))]
    ChangeInProgress,
    /// The request is based on a version other than the current one.
    #[snafu(display("the request is not based on the current membership version {current}"))]
    StaleVersion {
        /// Current version.
        current: MembershipVersion,
    },
    /// An identity appears twice.
    #[snafu(display("{id} is listed twice"))]
    DuplicateMember {
        /// The duplicate identity.
        id: InstanceId,
    },
    /// A removed identity cannot be added again.
    #[snafu(display(
        "{id} was removed from the group; an instance that rejoins needs a new identity"
    ))]
    RetiredIdentity {
        /// The removed identity.
        id: InstanceId,
    },
    /// More than one voter would be added or removed.
    #[snafu(display("only one voter may be added or removed at a time"))]
    MultipleVoterChanges,
    /// The new membership would have no voters, or too many voters or members.
    #[snafu(display("a group has 1 to {MAX_VOTERS} voters and at most {MAX_MEMBERS} members"))]
    WrongSize,
    /// A new voter must be a learner that has caught up.
    #[snafu(display("{id} must be a learner that has caught up before it becomes a voter"))]
    NotCaughtUp {
        /// The instance that was to become a voter.
        id: InstanceId,
    },
    /// The new membership would lose its quorum with the next lost voter.
    #[snafu(display(
        "{live} of the remaining voters are live and caught up and {quorum} are needed for a \
         quorum, so the result could not lose one more instance"
    ))]
    TooFewLive {
        /// Remaining voters that are live and have caught up.
        live: usize,
        /// Quorum of the new membership.
        quorum: usize,
    },
}

/// Validates a request against the current membership and returns the new one.
///
/// `is_ready` returns whether a member is live and has caught up with the log.
pub fn check_change(
    current: &Membership,
    request: &MembershipRequest,
    is_ready: impl Fn(&InstanceId) -> bool,
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
    let requested = next_membership(current, request);
    let voters = requested.voters().count();
    ensure!(
        (1..=MAX_VOTERS).contains(&voters) && requested.members.len() <= MAX_MEMBERS,
        WrongSizeSnafu
    );
    check_voters(current, &requested, request.forced, is_ready)?;
    Ok(requested)
}

fn check_voters(
    current: &Membership,
    requested: &Membership,
    forced: bool,
    is_ready: impl Fn(&InstanceId) -> bool,
) -> Result<(), MembershipError> {
    let added: Vec<&InstanceId> = requested
        .voters()
        .filter(|id| !current.is_voter(id))
        .collect();
    let removed = current
        .voters()
        .filter(|id| !requested.is_voter(id))
        .count();
    ensure!(added.len() + removed <= 1, MultipleVoterChangesSnafu);
    if let Some(&id) = added.first() {
        let is_learner = current
            .member(id)
            .is_some_and(|member| member.role == MemberRole::Learner);
        (is_learner && is_ready(id))
            .then_some(())
            .context(NotCaughtUpSnafu { id: id.clone() })?;
    }
    if removed == 0 || forced {
        return Ok(());
    }
    let live = requested.voters().filter(|id| is_ready(id)).count();
    let quorum = requested.quorum();
    ensure!(live > quorum, TooFewLiveSnafu { live, quorum });
    Ok(())
}

fn next_membership(current: &Membership, request: &MembershipRequest) -> Membership {
    let is_kept = |id: &InstanceId| request.members.iter().any(|member| member.id == *id);
    let mut retired = current.retired.clone();
    retired.extend(
        current
            .members
            .iter()
            .map(|member| &member.id)
            .filter(|id| !is_kept(id))
            .cloned(),
    );
    Membership {
        version: MembershipVersion(current.version.0 + 1),
        members: request.members.clone(),
        retired,
    }
}
