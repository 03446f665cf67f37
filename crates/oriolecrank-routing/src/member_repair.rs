//! Which change of the control group comes next.
//!
//! The platform gives no operator who adds and removes control instances. The leader therefore adds
//! instances that announce themselves, and removes voters that a new instance replaces. One change
//! is made at a time and each keeps the rules of `oriolecrank-consensus`.

use std::time::Duration;

use oriolecrank_consensus::{InstanceId, Member, MemberRole, Membership};

/// Rules of the repair.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepairSettings {
    /// Voters that the group should have.
    pub voters: usize,
    /// A voter that was silent for longer may be replaced by an instance that waits.
    pub replace_after: Duration,
    /// A learner that was silent for longer is removed.
    pub forget_after: Duration,
}

impl RepairSettings {
    /// Settings of a group that survives the loss of `losses` instances at the same time.
    pub fn tolerating_losses(losses: usize) -> Self {
        Self {
            voters: 2 * losses + 1,
            ..Self::default()
        }
    }
}

impl Default for RepairSettings {
    fn default() -> Self {
        Self {
            voters: 3,
            // Longer than a restart of the process, which takes about a second.
            replace_after: Duration::from_secs(4),
            forget_after: Duration::from_secs(20),
        }
    }
}

/// What the leader knows of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberHealth {
    /// Identity.
    pub id: InstanceId,
    /// Time since its last answer.
    pub silent_for: Duration,
    /// It lacks few entries.
    pub caught_up: bool,
}

/// An instance that waits to be added.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JoiningMember {
    /// Identity.
    pub id: InstanceId,
    /// Address for peer messages.
    pub address: String,
}

/// Members after the next change; `None` if nothing is to be changed.
pub fn next_members(
    settings: &RepairSettings,
    membership: &Membership,
    own: &InstanceId,
    health: &[MemberHealth],
    joining: &[JoiningMember],
) -> Option<Vec<Member>> {
    let view = GroupView {
        settings,
        membership,
        own,
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
    own: &'a InstanceId,
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

    /// A learner becomes a voter if voters are missing, or if it replaces a voter.
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

    /// A voter is removed once there is one voter too many.
    fn remove_replaced(&self) -> Option<Vec<Member>> {
        if self.membership.voters().count() <= self.settings.voters {
            return None;
        }
        let replaced = self.replaced_voter()?;
        Some(self.without(&replaced.id))
    }

    fn remove_silent_learner(&self) -> Option<Vec<Member>> {
        let learner = self.members().find(|member| {
            let health = self.health_of(&member.id);
            member.role == MemberRole::Learner
                && health.is_some_and(|health| health.silent_for > self.settings.forget_after)
        })?;
        Some(self.without(&learner.id))
    }

    /// A voter that will not return, because another identity has its address, or that is silent
    /// while there is a learner that could take its place.
    fn replaced_voter(&self) -> Option<&Member> {
        let others = || {
            self.members()
                .filter(|member| member.role == MemberRole::Voter && member.id != *self.own)
        };
        let gone = others().find(|voter| {
            let mut same_address = self
                .members()
                .filter(|member| member.address == voter.address);
            let silent = self
                .health_of(&voter.id)
                .is_none_or(|health| self.is_silent(health));
            silent && same_address.any(|member| member.id != voter.id)
        });
        gone.or_else(|| {
            others().find(|voter| {
                let health = self.health_of(&voter.id);
                health.is_none_or(|health| health.silent_for > self.settings.replace_after)
            })
        })
    }

    /// A member that has just been replaced at its address does not answer any more.
    fn is_silent(&self, health: &MemberHealth) -> bool {
        health.silent_for > self.settings.replace_after / 4
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

    fn without(&self, id: &InstanceId) -> Vec<Member> {
        let members = self.members().filter(|member| member.id != *id);
        members.cloned().collect()
    }
}
