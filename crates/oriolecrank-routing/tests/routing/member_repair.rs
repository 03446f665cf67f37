//! Guards against a control group that stays short of a voter after a disk was lost, and against
//! changes that remove a voter which only restarts.

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

fn step(
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

/// Makes changes until nothing is left to change.
fn settle(
    mut members: Vec<Member>,
    silent: &[(&str, u64)],
    joining: &[(&str, &str)],
) -> Vec<Member> {
    for _ in 0..20 {
        match step(&members, silent, joining) {
            Some(next) => members = next,
            None => return members,
        }
    }
    panic!("the group does not settle: {members:?}");
}

#[test]
fn nothing_changes_in_a_complete_group() {
    assert_eq!(step(&group(), &[], &[]), None);
}

#[test]
fn an_instance_with_a_new_disk_takes_the_place_of_its_old_identity_at_once() {
    let members = settle(group(), &[("c", 1_500)], &[("c-2", "c")]);
    let ids: Vec<&str> = members.iter().map(|member| member.id.as_str()).collect();
    assert_eq!(ids, ["a", "b", "c-2"]);
    assert!(
        members
            .iter()
            .all(|member| member.role == MemberRole::Voter)
    );
}

#[test]
fn a_voter_that_restarts_keeps_its_place_beside_a_waiting_instance() {
    let members = settle(group(), &[("c", 3_000)], &[("d", "d")]);
    let voters = members
        .iter()
        .filter(|member| member.role == MemberRole::Voter);
    let ids: Vec<&str> = voters.map(|member| member.id.as_str()).collect();
    assert_eq!(ids, ["a", "b", "c"]);
}

#[test]
fn a_voter_that_is_gone_is_replaced_by_an_instance_at_another_address() {
    let members = settle(group(), &[("c", 5_000)], &[("d", "d")]);
    let ids: Vec<&str> = members.iter().map(|member| member.id.as_str()).collect();
    assert_eq!(ids, ["a", "b", "d"]);
}

#[test]
fn the_leader_never_removes_itself() {
    let members = settle(group(), &[("a", 60_000)], &[("d", "d")]);
    assert!(members.iter().any(|member| member.id.as_str() == "a"));
}
