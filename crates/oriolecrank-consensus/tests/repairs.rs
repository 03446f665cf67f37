//! Membership changes, repairs after a lost disk, and reads and leases in chosen situations.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

#[expect(dead_code, reason = "this test uses some of the parts")]
#[path = "support/group.rs"]
mod group;
#[expect(
    dead_code,
    reason = "faults of the disk are tested with the storage alone"
)]
#[path = "support/memory_files.rs"]
mod memory_files;
#[path = "support/oracle.rs"]
mod oracle;

use group::{Group, member};
use oriolecrank_consensus::{
    FoundingProgress, InstanceId, Member, MemberRole, MembershipError, MembershipRequest,
    MembershipVersion,
};

/// Seeds of each situation; they vary clocks, delays and who leads.
const SEEDS: std::ops::Range<u64> = 0..30;

/// A group of three that has a leader and some committed entries.
fn working_group(seed: u64) -> (Group, InstanceId) {
    let mut group = Group::new(seed, 3);
    let leader = wait_for_leader(&mut group);
    for _ in 0..20 {
        group.propose(&leader);
    }
    group.run(500);
    (group, leader)
}

/// A leader that can commit.
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
    panic!("no leader within 30 s");
}

fn followers(group: &Group, leader: &InstanceId) -> Vec<InstanceId> {
    let ids = group.instances.keys();
    ids.filter(|id| *id != leader).cloned().collect()
}

fn request(group: &Group, leader: &InstanceId, members: Vec<Member>) -> MembershipRequest {
    MembershipRequest {
        base_version: group.membership(leader).version,
        members,
        forced: false,
    }
}

fn change(
    group: &mut Group,
    leader: &InstanceId,
    edit: impl FnOnce(&mut Vec<Member>),
) -> Result<(), MembershipError> {
    let mut members = group.membership(leader).members;
    edit(&mut members);
    let request = request(group, leader, members);
    group.change(leader, &request)?;
    group.run(600);
    Ok(())
}

fn without(members: &mut Vec<Member>, id: &InstanceId) {
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
        let (mut group, leader) = working_group(seed);
        let lost = followers(&group, &leader)[0].clone();
        group.replace_disk(&lost);
        group.run(500);
        let refused = change(&mut group, &leader, |members| without(members, &lost));
        let expected = MembershipError::TooFewLive { live: 2, quorum: 2 };
        assert_eq!(
            refused,
            Err(expected),
            "seed {seed}: removed before the replacement is in"
        );

        let joined = group.add_instance("n1", Vec::new());
        let learner = member(joined.as_str(), MemberRole::Learner);
        change(&mut group, &leader, |members| members.push(learner)).unwrap();
        change(&mut group, &leader, |members| promote(members, &joined)).unwrap();
        let mut members = group.membership(&leader).members;
        without(&mut members, &lost);
        let removal = request(&group, &leader, members);
        let position = group.change(&leader, &removal).unwrap();
        // The second loss comes as soon as the removal is committed.
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

/// Guards against a repair that silently gives up the ability to lose one more instance, and against
/// requests based on an outdated list.
#[test]
fn doubtful_membership_requests_are_refused() {
    let (mut group, leader) = working_group(1);
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
            MembershipError::SeveralVoters,
        ),
        (
            "one voter exchanged at once",
            version,
            edit(&|members| members[0] = member("n1", MemberRole::Voter)),
            MembershipError::SeveralVoters,
        ),
        (
            "no voter left",
            version,
            Vec::new(),
            MembershipError::WrongSize,
        ),
        (
            "voter that was no learner",
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
            edit(&|members| without(members, &others[0])),
            MembershipError::TooFewLive { live: 2, quorum: 2 },
        ),
    ];
    for (name, base_version, members, expected) in cases {
        let request = MembershipRequest {
            base_version,
            members,
            forced: false,
        };
        let result = group.change(&leader, &request);
        assert_eq!(result, Err(expected), "{name}");
    }
    let not_leader = group.change(&others[0], &request(&group, &leader, known.members.clone()));
    let leader_hint = Some(leader.clone());
    assert_eq!(
        not_leader,
        Err(MembershipError::ChangeNotLeader {
            leader: leader_hint
        })
    );
}

/// Guards against a removed identity that comes back, and against changes that overlap.
#[test]
fn a_forced_removal_is_final() {
    let (mut group, leader) = working_group(1);
    let removed = followers(&group, &leader)[0].clone();
    let joined = group.add_instance("n1", Vec::new());
    let learner = member(joined.as_str(), MemberRole::Learner);
    let mut members = group.membership(&leader).members;
    without(&mut members, &removed);
    let removal = MembershipRequest {
        forced: true,
        ..request(&group, &leader, members)
    };
    group.change(&leader, &removal).unwrap();
    let early = change(&mut group, &leader, |members| members.push(learner.clone()));
    assert_eq!(early, Err(MembershipError::ChangeInProgress));
    group.run(600);
    let back = change(&mut group, &leader, |members| {
        members.push(member(removed.as_str(), MemberRole::Learner));
    });
    assert_eq!(back, Err(MembershipError::RetiredIdentity { id: removed }));
}

/// Guards against a learner that lags behind the truncated log for ever.
#[test]
fn a_learner_joins_by_snapshot_in_parts() {
    for seed in SEEDS {
        let (mut group, leader) = working_group(seed);
        group.compact(&leader);
        assert!(group.node(&leader).snapshot_index().0 > 0);
        let joined = group.add_instance("n1", Vec::new());
        let learner = member(joined.as_str(), MemberRole::Learner);
        change(&mut group, &leader, |members| members.push(learner)).unwrap();
        let target = group.oracle.acknowledged();
        let current = group.run_until(5_000, |group| group.applied(&joined) >= Some(target));
        assert!(current, "seed {seed}");
        assert!(
            group.node(&joined).snapshot_index().0 > 0,
            "seed {seed}: no snapshot was sent"
        );
        change(&mut group, &leader, |members| promote(members, &joined)).unwrap();
    }
}

/// Guards against a leader that acts after its quorum is cut off, and reads from it.
#[test]
fn a_leader_that_is_cut_off_loses_its_lease_before_a_successor_is_elected() {
    for seed in SEEDS {
        let (mut group, leader) = working_group(seed);
        for other in followers(&group, &leader) {
            let links = [(leader.clone(), other.clone()), (other, leader.clone())];
            group.network.blocked.extend(links);
        }
        let before = group.oracle.answered_reads;
        group.read(&leader);
        // `Group` checks after each event that no two instances hold a lease.
        let cut = leader.clone();
        let replaced = group.run_until(5_000, |group| group.leaders().iter().any(|id| *id != cut));
        assert!(replaced, "seed {seed}");
        assert_eq!(
            group.oracle.answered_reads, before,
            "seed {seed}: read without a quorum"
        );
        let resigned = group.run_until(2_000, |group| !group.leaders().contains(&cut));
        assert!(
            resigned,
            "seed {seed}: a leader without a quorum must resign"
        );
    }
}

/// Cuts the links between two instances.
fn cut(group: &mut Group, one: &InstanceId, other: &InstanceId) {
    let links = [(one.clone(), other.clone()), (other.clone(), one.clone())];
    group.network.blocked.extend(links);
}

/// Guards against a follower that hears its leader and still votes for an instance that does not.
#[test]
fn a_follower_that_hears_the_leader_withholds_its_vote() {
    for seed in SEEDS {
        let (mut group, leader) = working_group(seed);
        let term = group.node(&leader).term();
        let apart = followers(&group, &leader)[0].clone();
        cut(&mut group, &leader, &apart);
        group.run(10_000);
        assert_eq!(
            group.leaders(),
            std::slice::from_ref(&leader),
            "seed {seed}"
        );
        assert_eq!(group.node(&leader).term(), term, "seed {seed}");
    }
}

/// Guards against a follower that confirms a lease, restarts, has forgotten it and votes for another
/// leader while the lease runs. `Group` checks the leases.
#[test]
fn a_restart_does_not_end_the_promise_of_a_lease() {
    let mut elected = 0;
    for seed in 0..100 {
        let (mut group, leader) = working_group(seed);
        let others = followers(&group, &leader);
        cut(&mut group, &leader, &others[0]);
        // The cut-off follower now asks for votes again and again.
        let wait = 1_000 + seed * 21;
        group.run(wait);
        cut(&mut group, &leader, &others[1]);
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
        "a leader was elected within the lease of another one"
    );
}

/// Guards against a returning instance that unseats a working leader.
#[test]
fn an_instance_that_was_cut_off_does_not_unseat_the_leader() {
    for seed in SEEDS {
        let (mut group, leader) = working_group(seed);
        let term = group.node(&leader).term();
        let cut = followers(&group, &leader)[0].clone();
        for other in group.instances.keys().cloned().collect::<Vec<_>>() {
            let links = [(cut.clone(), other.clone()), (other, cut.clone())];
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
        assert_eq!(group.applied(&cut), group.applied(&leader), "seed {seed}");
    }
}
