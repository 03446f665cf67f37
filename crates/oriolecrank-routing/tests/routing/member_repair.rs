//! Guards against a control group that stays short of a voter after a disk loss, and against the
//! removal of a voter that only restarts.

use std::time::Duration;

use oriolecrank_consensus::{InstanceId, Member, MemberRole, Membership};
use oriolecrank_routing::{JoiningMember, MemberHealth, RepairSettings, next_members};

fn member(id: &str, address: &str, role: MemberRole) -> Member {
    Member {
        id: InstanceId::new(id),
        address: address.to_owned(),
        role,
    }
}

fn group() -> Vec<Member> {
    ["a", "b", "c"]
        .map(|id| member(id, id, MemberRole::Voter))
        .to_vec()
}

fn health(members: &[Member], silent: &[(&str, u64)]) -> Vec<MemberHealth> {
    let health = members.iter().map(|member| {
        let silent = silent.iter().find(|(id, _)| *id == member.id.as_str());
        MemberHealth {
            id: member.id.clone(),
            silent_for: Duration::from_millis(silent.map_or(0, |(_, millis)| *millis)),
            caught_up: true,
        }
    });
    health.collect()
}

fn next_change(
    members: &[Member],
    silent: &[(&str, u64)],
    joining: &[(&str, &str)],
) -> Option<Vec<Member>> {
    let joining: Vec<JoiningMember> = joining
        .iter()
        .map(|(id, address)| JoiningMember {
            id: InstanceId::new(id),
            address: (*address).to_owned(),
        })
        .collect();
    let settings = RepairSettings::default();
    let membership = Membership::founding(members.to_vec());
    let health = health(members, silent);
    next_members(
        &settings,
        &membership,
        &InstanceId::new("a"),
        &health,
        &joining,
    )
}

/// Applies changes until none is left.
fn apply_all_changes(
    mut members: Vec<Member>,
    silent: &[(&str, u64)],
    joining: &[(&str, &str)],
) -> Vec<Member> {
    for _ in 0..20 {
        match next_change(&members, silent, joining) {
            Some(next) => members = next,
            None => return members,
        }
    }
    panic!("the group does not settle: {members:?}");
}

#[test]
fn nothing_changes_in_a_complete_group() {
    assert_eq!(next_change(&group(), &[], &[]), None);
}

#[test]
fn an_instance_with_a_new_disk_replaces_its_old_identity_at_once() {
    let members = apply_all_changes(group(), &[("c", 1_500)], &[("c-2", "c")]);
    let ids: Vec<&str> = members.iter().map(|member| member.id.as_str()).collect();
    assert_eq!(ids, ["a", "b", "c-2"]);
    assert!(
        members
            .iter()
            .all(|member| member.role == MemberRole::Voter)
    );
}

#[test]
fn a_restarting_voter_is_not_replaced_by_a_joining_instance() {
    let members = apply_all_changes(group(), &[("c", 3_000)], &[("d", "d")]);
    let voters = members
        .iter()
        .filter(|member| member.role == MemberRole::Voter);
    let ids: Vec<&str> = voters.map(|member| member.id.as_str()).collect();
    assert_eq!(ids, ["a", "b", "c"]);
}

#[test]
fn a_lost_voter_is_replaced_by_an_instance_at_another_address() {
    let members = apply_all_changes(group(), &[("c", 5_000)], &[("d", "d")]);
    let ids: Vec<&str> = members.iter().map(|member| member.id.as_str()).collect();
    assert_eq!(ids, ["a", "b", "d"]);
}

#[test]
fn the_leader_never_removes_itself() {
    let members = apply_all_changes(group(), &[("a", 60_000)], &[("d", "d")]);
    assert!(members.iter().any(|member| member.id.as_str() == "a"));
}
