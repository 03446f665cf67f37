//! Members of the group.

use crate::instance_id::InstanceId;
use crate::numbers::{LogIndex, MembershipVersion};

/// Role of a member in the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberRole {
    /// Votes in elections and counts towards the quorum.
    Voter,
    /// Receives the log and does not count towards the quorum.
    Learner,
}

/// A member of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identity of the instance.
    pub id: InstanceId,
    /// Address at which other members reach it, as IP and port.
    pub address: String,
    /// Whether it is a voter or a learner.
    pub role: MemberRole,
}

/// The members of the group and the identities that were removed from it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Membership {
    /// Version of this membership; a change request names the version it is based on.
    pub version: MembershipVersion,
    /// All members; each identity appears once.
    pub members: Vec<Member>,
    /// Removed identities. They never vote and are never added again.
    pub retired: Vec<InstanceId>,
}

impl Membership {
    /// The initial membership of a group, with version 1.
    pub fn founding(members: Vec<Member>) -> Self {
        Self {
            version: MembershipVersion(1),
            members,
            retired: Vec::new(),
        }
    }

    /// Whether there are no members, as on an instance that has not joined a group yet.
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

    /// Largest value that at least a quorum of voters has reached; `None` if there are no voters.
    ///
    /// `value` returns the value of one voter.
    pub fn quorum_value<V: Ord>(&self, value: impl FnMut(&InstanceId) -> V) -> Option<V> {
        let mut values: Vec<V> = self.voters().map(value).collect();
        if values.is_empty() {
            return None;
        }
        values.sort_unstable();
        let quorum_position = values.len() - self.quorum();
        values.into_iter().nth(quorum_position)
    }
}

/// A membership and the log entry that holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggedMembership {
    /// Index of the entry; 0 for a founding membership. Once the entry has been compacted away,
    /// index of the last compacted entry.
    pub index: LogIndex,
    /// The membership.
    pub membership: Membership,
}
