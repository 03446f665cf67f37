//! Membership changes, repairs after a lost disk, reads and leases in fixed scenarios.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

#[expect(dead_code, reason = "this test uses only part of the test support")]
#[path = "support/group.rs"]
mod group;
#[expect(dead_code, reason = "disk faults are tested on the storage alone")]
#[path = "support/memory_files.rs"]
mod memory_files;
#[path = "support/oracle.rs"]
mod oracle;

use group::{Group, member};
use oriolecrank_consensus::{
    FoundingProgress, InstanceId, Member, MemberRole, MembershipError, MembershipRequest,
    MembershipVersion,
};

/// Seeds of each scenario; they vary clocks, delays and which instance leads.
const SEEDS: std::ops::Range<u64> = 0..30;

/// A group of three voters that has a leader and some committed entries.
fn group_with_leader(seed: u64) -> (Group, InstanceId) {
    let mut group = Group::new(seed, 3);
    let leader = wait_for_leader(&mut group);
    for _ in 0..20 {
        group.propose(&leader);
    }
    group.run(500);
    (group, leader)
}

/// Runs the group until a leader has committed a proposal, and returns the leader.
fn wait_for_leader(group: &mut Group) -> InstanceId {
    for _ in 0..100 {
        group.run(100);
        let leaders = group.leaders();
        let newest = leaders.into_iter().max_by_key(|id| group.node(id).term());
        let Some(leader) = newest else {
            continue;
        };
        let Some(position) = group.propose(&leader) else {
            continue;
        };
        group.run(200);
        if group.oracle.acknowledged() >= position.index {
            return leader;
        }
    }
    panic!("no leader has committed an entry within 30 s");
}

fn followers(group: &Group, leader: &InstanceId) -> Vec<InstanceId> {
    let ids = group.instances.keys();
    ids.filter(|id| *id != leader).cloned().collect()
}

fn membership_request(
    group: &Group,
    leader: &InstanceId,
    members: Vec<Member>,
) -> MembershipRequest {
    MembershipRequest {
        base_version: group.membership(leader).version,
        members,
        forced: false,
    }
}

fn apply_change(
    group: &mut Group,
    leader: &InstanceId,
    edit: impl FnOnce(&mut Vec<Member>),
) -> Result<(), MembershipError> {
    let mut members = group.membership(leader).members;
    edit(&mut members);
    let request = membership_request(group, leader, members);
    group.change_membership(leader, &request)?;
    group.run(600);
    Ok(())
}

fn remove_member(members: &mut Vec<Member>, id: &InstanceId) {
    members.retain(|member| member.id != *id);
}

fn promote(members: &mut [Member], id: &InstanceId) {
    for member in members {
        if member.id == *id {
            member.role = MemberRole::Voter;
        }
    }
}

/// Guards against a group that stops, or loses acknowledged entries, when a second instance is lost
/// right after the first loss was repaired.
#[test]
fn a_second_loss_right_after_a_repair_is_survived() {
    for seed in SEEDS {
        let (mut group, leader) = group_with_leader(seed);
        let lost = followers(&group, &leader)[0].clone();
        group.replace_disk(&lost);
        group.run(500);
        let refused = apply_change(&mut group, &leader, |members| remove_member(members, &lost));
        let expected = MembershipError::TooFewLive { live: 2, quorum: 2 };
        assert_eq!(
            refused,
            Err(expected),
            "seed {seed}: removed before the replacement has joined"
        );

        let joined = group.add_instance("n1", Vec::new());
        let learner = member(joined.as_str(), MemberRole::Learner);
        apply_change(&mut group, &leader, |members| members.push(learner)).unwrap();
        apply_change(&mut group, &leader, |members| promote(members, &joined)).unwrap();
        let mut members = group.membership(&leader).members;
        remove_member(&mut members, &lost);
        let removal = membership_request(&group, &leader, members);
        let position = group.change_membership(&leader, &removal).unwrap();
        // The second instance is lost as soon as the removal is committed.
        let repaired = group.run_until(2_000, |group| group.oracle.committed() >= position.index);
        assert!(repaired, "seed {seed}");
        let acknowledged = group.oracle.acknowledged();
        group.discard(&leader);

        let successor = wait_for_leader(&mut group);
        assert!(
            group.applied(&successor) > Some(acknowledged),
            "seed {seed}"
        );
        let status = group.node(&lost).status();
        assert_eq!(status.founding, FoundingProgress::Refused, "seed {seed}");
        assert_eq!(status.term.0, 0, "seed {seed}: the old identity has voted");
        group.check_logs();
    }
}

/// Guards against a repair after which the group silently tolerates no further loss, and against
/// requests based on an outdated membership.
#[test]
fn invalid_membership_requests_are_rejected() {
    let (mut group, leader) = group_with_leader(1);
    let others = followers(&group, &leader);
    let joined = group.add_instance("n1", Vec::new());
    let learner = member(joined.as_str(), MemberRole::Learner);
    let known = group.membership(&leader);
    let version = known.version;
    let edit = |edit: &dyn Fn(&mut Vec<Member>)| {
        let mut members = known.members.clone();
        edit(&mut members);
        members
    };
    let cases = [
        (
            "outdated version",
            MembershipVersion(version.0 - 1),
            edit(&|members| members.push(learner.clone())),
            MembershipError::StaleVersion { current: version },
        ),
        (
            "later version",
            MembershipVersion(version.0 + 1),
            edit(&|members| members.push(learner.clone())),
            MembershipError::StaleVersion { current: version },
        ),
        (
            "two voters removed",
            version,
            edit(&|members| members.truncate(1)),
            MembershipError::MultipleVoterChanges,
        ),
        (
            "one voter replaced in one step",
            version,
            edit(&|members| members[0] = member("n1", MemberRole::Voter)),
            MembershipError::MultipleVoterChanges,
        ),
        (
            "no voter left",
            version,
            Vec::new(),
            MembershipError::WrongSize,
        ),
        (
            "voter that was not a learner before",
            version,
            edit(&|members| members.push(member(joined.as_str(), MemberRole::Voter))),
            MembershipError::NotCaughtUp { id: joined.clone() },
        ),
        (
            "listed twice",
            version,
            edit(&|members| members.push(members[0].clone())),
            MembershipError::DuplicateMember {
                id: known.members[0].id.clone(),
            },
        ),
        (
            "three voters to two",
            version,
            edit(&|members| remove_member(members, &others[0])),
            MembershipError::TooFewLive { live: 2, quorum: 2 },
        ),
    ];
    for (name, base_version, members, expected) in cases {
        let request = MembershipRequest {
            base_version,
            members,
            forced: false,
        };
        let result = group.change_membership(&leader, &request);
        assert_eq!(result, Err(expected), "{name}");
    }
    let not_leader = group.change_membership(
        &others[0],
        &membership_request(&group, &leader, known.members.clone()),
    );
    let leader_hint = Some(leader.clone());
    assert_eq!(
        not_leader,
        Err(MembershipError::ChangeNotLeader {
            leader: leader_hint
        })
    );
}

/// Guards against a removed identity that is added again, and against overlapping changes.
#[test]
fn a_forced_removal_is_final() {
    let (mut group, leader) = group_with_leader(1);
    let removed = followers(&group, &leader)[0].clone();
    let joined = group.add_instance("n1", Vec::new());
    let learner = member(joined.as_str(), MemberRole::Learner);
    let mut members = group.membership(&leader).members;
    remove_member(&mut members, &removed);
    let removal = MembershipRequest {
        forced: true,
        ..membership_request(&group, &leader, members)
    };
    group.change_membership(&leader, &removal).unwrap();
    let early = apply_change(&mut group, &leader, |members| members.push(learner.clone()));
    assert_eq!(early, Err(MembershipError::ChangeInProgress));
    group.run(600);
    let readded = apply_change(&mut group, &leader, |members| {
        members.push(member(removed.as_str(), MemberRole::Learner));
    });
    assert_eq!(
        readded,
        Err(MembershipError::RetiredIdentity { id: removed })
    );
}

/// Guards against a learner that never catches up because the entries it needs are compacted. The
/// snapshot is sent in several chunks.
#[test]
fn a_learner_behind_the_compacted_log_joins_by_snapshot() {
    for seed in SEEDS {
        let (mut group, leader) = group_with_leader(seed);
        group.compact(&leader);
        assert!(group.node(&leader).snapshot_index().0 > 0);
        let joined = group.add_instance("n1", Vec::new());
        let learner = member(joined.as_str(), MemberRole::Learner);
        apply_change(&mut group, &leader, |members| members.push(learner)).unwrap();
        let target = group.oracle.acknowledged();
        let caught_up = group.run_until(5_000, |group| group.applied(&joined) >= Some(target));
        assert!(caught_up, "seed {seed}");
        assert!(
            group.node(&joined).snapshot_index().0 > 0,
            "seed {seed}: no snapshot was sent"
        );
        apply_change(&mut group, &leader, |members| promote(members, &joined)).unwrap();
    }
}

/// Guards against a leader that is cut off from its quorum and still acts or serves reads.
#[test]
fn a_leader_that_is_cut_off_loses_its_lease_before_a_successor_is_elected() {
    for seed in SEEDS {
        let (mut group, leader) = group_with_leader(seed);
        for other in followers(&group, &leader) {
            let links = [(leader.clone(), other.clone()), (other, leader.clone())];
            group.network.blocked.extend(links);
        }
        let before = group.oracle.answered_reads;
        group.read(&leader);
        // `Group` checks after each event that at most one instance holds a lease.
        let isolated = leader.clone();
        let replaced = group.run_until(5_000, |group| {
            group.leaders().iter().any(|id| *id != isolated)
        });
        assert!(replaced, "seed {seed}");
        assert_eq!(
            group.oracle.answered_reads, before,
            "seed {seed}: read without a quorum"
        );
        let stepped_down = group.run_until(2_000, |group| !group.leaders().contains(&isolated));
        assert!(
            stepped_down,
            "seed {seed}: a leader without a quorum must step down"
        );
    }
}

/// Cuts the links between two instances in both directions.
fn cut_links(group: &mut Group, one: &InstanceId, other: &InstanceId) {
    let links = [(one.clone(), other.clone()), (other.clone(), one.clone())];
    group.network.blocked.extend(links);
}

/// Guards against a follower that receives messages from its leader and still votes for an instance
/// that does not.
#[test]
fn a_follower_in_contact_with_the_leader_withholds_its_vote() {
    for seed in SEEDS {
        let (mut group, leader) = group_with_leader(seed);
        let term = group.node(&leader).term();
        let isolated = followers(&group, &leader)[0].clone();
        cut_links(&mut group, &leader, &isolated);
        group.run(10_000);
        assert_eq!(
            group.leaders(),
            std::slice::from_ref(&leader),
            "seed {seed}"
        );
        assert_eq!(group.node(&leader).term(), term, "seed {seed}");
    }
}

/// Guards against a follower that acknowledges a lease, forgets it in a restart and votes for
/// another leader while the lease is valid. `Group` checks the leases.
#[test]
fn a_restarted_follower_still_respects_the_lease() {
    let mut elected = 0;
    for seed in 0..100 {
        let (mut group, leader) = group_with_leader(seed);
        let others = followers(&group, &leader);
        cut_links(&mut group, &leader, &others[0]);
        // The follower that is cut off now asks for votes repeatedly.
        let wait = 1_000 + seed * 21;
        group.run(wait);
        cut_links(&mut group, &leader, &others[1]);
        let restart = group.now + 1;
        group.crash(&others[1], Some(restart));
        group.run(400);
        elected += usize::from(group.leaders().iter().any(|id| *id != leader));
        group.run(3_000);
        assert!(
            group.leaders().iter().any(|id| *id != leader),
            "seed {seed}"
        );
    }
    assert_eq!(
        elected, 0,
        "a leader was elected during the lease of another one"
    );
}

/// Guards against an instance that raises its term while it is cut off and then deposes the leader.
#[test]
fn a_reconnected_instance_does_not_depose_the_leader() {
    for seed in SEEDS {
        let (mut group, leader) = group_with_leader(seed);
        let term = group.node(&leader).term();
        let isolated = followers(&group, &leader)[0].clone();
        for other in group.instances.keys().cloned().collect::<Vec<_>>() {
            let links = [(isolated.clone(), other.clone()), (other, isolated.clone())];
            group.network.blocked.extend(links);
        }
        group.run(5_000);
        group.heal();
        group.run(3_000);
        assert_eq!(
            group.leaders(),
            std::slice::from_ref(&leader),
            "seed {seed}"
        );
        assert_eq!(group.node(&leader).term(), term, "seed {seed}");
        assert_eq!(
            group.applied(&isolated),
            group.applied(&leader),
            "seed {seed}"
        );
    }
}
