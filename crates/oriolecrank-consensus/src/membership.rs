//! Members of the group.

use crate::instance_id::InstanceId;
use crate::numbers::{LogIndex, MembershipVersion};

/// Part that a member takes in the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberRole {
    /// Votes and counts for the quorum.
    Voter,
    /// Receives the log only.
    Learner,
}

/// A member of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identity.
    pub id: InstanceId,
    /// Address for other members, IP and port.
    pub address: String,
    /// Part in the group.
    pub role: MemberRole,
}

/// Full list of the members.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Membership {
    /// Number of this membership; a change states the version it is based on.
    pub version: MembershipVersion,
    /// All members; each identity appears once.
    pub members: Vec<Member>,
    /// Removed identities. They never vote and are never added again.
    pub retired: Vec<InstanceId>,
}

impl Membership {
    /// The first membership of a group.
    pub fn founding(members: Vec<Member>) -> Self {
        Self {
            version: MembershipVersion(1),
            members,
            retired: Vec::new(),
        }
    }

    /// Whether there is no member; an instance that has not joined knows no one.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The member with the given identity.
    pub fn member(&self, id: &InstanceId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == *id)
    }

    /// Whether `id` is a voter.
    pub fn is_voter(&self, id: &InstanceId) -> bool {
        self.member(id)
            .is_some_and(|member| member.role == MemberRole::Voter)
    }

    /// Whether `id` was removed.
    pub fn is_retired(&self, id: &InstanceId) -> bool {
        self.retired.contains(id)
    }

    /// Identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = &InstanceId> {
        self.members
            .iter()
            .filter(|member| member.role == MemberRole::Voter)
            .map(|member| &member.id)
    }

    /// Number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Largest value that a quorum of voters has reached.
    ///
    /// `None` if there is no voter. `value` gives what one voter has reached.
    pub fn quorum_value<V: Ord>(&self, value: impl FnMut(&InstanceId) -> V) -> Option<V> {
        let mut values: Vec<V> = self.voters().map(value).collect();
        if values.is_empty() {
            return None;
        }
        values.sort_unstable();
        let position = values.len() - self.quorum();
        values.into_iter().nth(position)
    }
}

/// A membership and the entry that brought it; index 0 for a founding membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggedMembership {
    /// Index of the entry.
    pub index: LogIndex,
    /// The membership.
    pub membership: Membership,
}
