//! Automatic membership changes of the control group.
//!
//! The platform has no operator who adds and removes control instances. The leader therefore adds
//! instances that announce themselves, and removes voters that a new instance replaces. One change
//! is made at a time, within the membership rules of `oriolecrank-consensus`.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_consensus::{
    InstanceId, Member, MemberRole, Membership, MembershipRequest, NodeStatus, RoleName,
};
use oriolecrank_schema::TimePoint;

/// A member that lacks at most this many log entries has caught up; the same limit as in the
/// consensus core.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// Shortest silence after which a voter is replaced; longer than an election.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// Settings of the automatic repair.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepairSettings {
    /// Number of voters that the group should have.
    pub voters: usize,
    /// A voter that was silent for longer may be replaced by a joining instance.
    pub replace_voter_after: Duration,
    /// A learner that was silent for longer is removed.
    pub remove_learner_after: Duration,
}

impl RepairSettings {
    /// Settings of a group that survives the loss of `losses` instances at the same time, and the
    /// next loss as soon as the successor of a lost instance has had `catch_up` to join.
    pub fn tolerating_losses(losses: usize, catch_up: Duration) -> Self {
        Self {
            voters: 2 * losses + 1,
            // The rest is for the two changes of the membership.
            replace_voter_after: catch_up.mul_f64(0.75).max(MIN_SILENCE),
            ..Self::default()
        }
    }
}

impl Default for RepairSettings {
    fn default() -> Self {
        Self {
            voters: 3,
            // Longer than a restart of the process, which takes about a second.
            replace_voter_after: Duration::from_secs(3),
            remove_learner_after: Duration::from_secs(20),
        }
    }
}

/// State of a member as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberHealth {
    /// Instance id of the member.
    pub id: InstanceId,
    /// Time since its last answer to the leader.
    pub silent_for: Duration,
    /// Whether its log is close enough to the leader's to become a voter.
    pub caught_up: bool,
}

/// An instance that waits to be added to the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JoiningMember {
    /// Instance id of the joining instance.
    pub id: InstanceId,
    /// Address for peer messages.
    pub address: String,
}

/// Plans the membership changes that an instance proposes while it leads.
#[derive(Debug)]
pub struct RepairPlanner {
    settings: RepairSettings,
    /// When this instance, as the leader, first expected each member to reply: the start of its
    /// leadership, or the addition of the member. Empty while it does not lead.
    expected_since: IndexMap<InstanceId, TimePoint>,
}

impl RepairPlanner {
    /// A planner for an instance that does not lead yet.
    pub fn new(settings: RepairSettings) -> Self {
        Self {
            settings,
            expected_since: IndexMap::new(),
        }
    }

    /// Next change, if this instance leads and one is due. Must be called regularly, also while the
    /// instance does not lead.
    pub fn next_change(
        &mut self,
        status: &NodeStatus,
        joining: &[JoiningMember],
        now: TimePoint,
    ) -> Option<MembershipRequest> {
        if status.role != RoleName::Leader {
            self.expected_since.clear();
            return None;
        }
        let membership = &status.membership;
        self.expected_since
            .retain(|id, _| membership.member(id).is_some());
        for member in &membership.members {
            self.expected_since
                .entry(member.id.clone())
                .or_insert_with(|| expected_since(status, &member.id, now));
        }
        let health = self.member_health(status, now);
        let joining: Vec<JoiningMember> = joining
            .iter()
            .filter(|joining| !membership.is_retired(&joining.id))
            .cloned()
            .collect();
        let members = next_members(&self.settings, membership, &status.id, &health, &joining)?;
        Some(MembershipRequest {
            base_version: membership.version,
            members,
            forced: false,
        })
    }

    /// Health of the members as the leader sees it.
    fn member_health(&self, status: &NodeStatus, now: TimePoint) -> Vec<MemberHealth> {
        let health = status.progress.iter().map(|member| {
            let expected_since = self.expected_since.get(&member.id).copied();
            let last_contact = member.last_contact.max(expected_since);
            let is_self = member.id == status.id;
            MemberHealth {
                id: member.id.clone(),
                silent_for: match last_contact {
                    Some(contact) if !is_self => now.since(contact),
                    _ => Duration::ZERO,
                },
                caught_up: status.last_index.0 <= member.match_index.0 + CAUGHT_UP_ENTRIES,
            }
        });
        health.collect()
    }
}

/// When the leader starts to expect replies of a member: now, or at the last message of the leader
/// before it.
fn expected_since(status: &NodeStatus, id: &InstanceId, now: TimePoint) -> TimePoint {
    match &status.previous_leader {
        Some(previous) if previous.id == *id => previous.last_contact,
        _ => now,
    }
}

/// Members after the next change; `None` if no change is needed. `own_id` is the leader, which
/// never removes itself.
pub fn next_members(
    settings: &RepairSettings,
    membership: &Membership,
    own_id: &InstanceId,
    health: &[MemberHealth],
    joining: &[JoiningMember],
) -> Option<Vec<Member>> {
    let view = GroupView {
        settings,
        membership,
        own_id,
        health,
        joining,
    };
    view.add_learner()
        .or_else(|| view.promote_learner())
        .or_else(|| view.remove_replaced())
        .or_else(|| view.remove_silent_learner())
}

struct GroupView<'a> {
    settings: &'a RepairSettings,
    membership: &'a Membership,
    own_id: &'a InstanceId,
    health: &'a [MemberHealth],
    joining: &'a [JoiningMember],
}

impl GroupView<'_> {
    fn add_learner(&self) -> Option<Vec<Member>> {
        let joining = self
            .joining
            .iter()
            .find(|joining| self.membership.member(&joining.id).is_none())?;
        let mut members = self.membership.members.clone();
        // An earlier learner at this address has lost its disk and will not return.
        members
            .retain(|member| member.role == MemberRole::Voter || member.address != joining.address);
        members.push(Member {
            id: joining.id.clone(),
            address: joining.address.clone(),
            role: MemberRole::Learner,
        });
        Some(members)
    }

    /// Promotes a learner if voters are missing, or if it replaces a voter.
    fn promote_learner(&self) -> Option<Vec<Member>> {
        let voters = self.membership.voters().count();
        let replaced = self.replaced_voter().is_some();
        if voters > self.settings.voters || (voters == self.settings.voters && !replaced) {
            return None;
        }
        let learner = self.members().find(|member| {
            let health = self.health_of(&member.id);
            member.role == MemberRole::Learner
                && health.is_some_and(|health| health.caught_up && !self.is_silent(health))
        })?;
        Some(self.with_role(&learner.id, MemberRole::Voter))
    }

    /// Removes the replaced voter once there is one voter too many.
    fn remove_replaced(&self) -> Option<Vec<Member>> {
        if self.membership.voters().count() <= self.settings.voters {
            return None;
        }
        let replaced = self.replaced_voter()?;
        Some(self.without_member(&replaced.id))
    }

    fn remove_silent_learner(&self) -> Option<Vec<Member>> {
        let learner = self.members().find(|member| {
            let health = self.health_of(&member.id);
            member.role == MemberRole::Learner
                && health
                    .is_some_and(|health| health.silent_for > self.settings.remove_learner_after)
        })?;
        Some(self.without_member(&learner.id))
    }

    /// A voter to replace: one that will not return, because another identity has its address, or
    /// one that is silent beyond the limit.
    fn replaced_voter(&self) -> Option<&Member> {
        let other_voters = || {
            self.members()
                .filter(|member| member.role == MemberRole::Voter && member.id != *self.own_id)
        };
        let replaced = other_voters().find(|voter| {
            let mut same_address = self
                .members()
                .filter(|member| member.address == voter.address);
            let silent = self
                .health_of(&voter.id)
                .is_none_or(|health| self.is_silent(health));
            silent && same_address.any(|member| member.id != voter.id)
        });
        replaced.or_else(|| {
            other_voters().find(|voter| {
                let health = self.health_of(&voter.id);
                health.is_none_or(|health| health.silent_for > self.settings.replace_voter_after)
            })
        })
    }

    /// Whether a member no longer answers. A quarter of the replacement time is enough where
    /// another identity has its address, and for a learner that is to be promoted.
    fn is_silent(&self, health: &MemberHealth) -> bool {
        health.silent_for > self.settings.replace_voter_after / 4
    }

    fn members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members.iter()
    }

    fn health_of(&self, id: &InstanceId) -> Option<&MemberHealth> {
        self.health.iter().find(|health| health.id == *id)
    }

    fn with_role(&self, id: &InstanceId, role: MemberRole) -> Vec<Member> {
        let mut members = self.membership.members.clone();
        for member in &mut members {
            if member.id == *id {
                member.role = role;
            }
        }
        members
    }

    fn without_member(&self, id: &InstanceId) -> Vec<Member> {
        let members = self.members().filter(|member| member.id != *id);
        members.cloned().collect()
    }
}
