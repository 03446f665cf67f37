//! Guards against entries that never send their counts to the leader: with six control instances
//! and three targets, half of all usage was missing.

use std::net::SocketAddr;

use oriolecrank_routing::{KnownGroup, MAX_SYNC_TARGETS, sync_targets};

fn addresses(count: u8) -> Vec<SocketAddr> {
    let address = |last| SocketAddr::from(([10, 0, 0, last], 80));
    (1..=count).map(address).collect()
}

#[test]
fn every_entry_syncs_with_the_leader_wherever_it_is() {
    for leader in addresses(6) {
        let group = KnownGroup {
            members: addresses(6),
            leader: Some(leader),
            ..KnownGroup::default()
        };
        for run in 0..12 {
            let targets = sync_targets(&group, &[], run);
            assert_eq!(targets.len(), MAX_SYNC_TARGETS);
            assert!(targets.contains(&leader), "{targets:?}");
        }
    }
}

#[test]
fn entries_are_spread_over_the_members_of_a_large_group() {
    let group = KnownGroup {
        members: addresses(6),
        ..KnownGroup::default()
    };
    let mut used: Vec<SocketAddr> = (0..6)
        .flat_map(|run| sync_targets(&group, &[], run))
        .collect();
    used.sort_unstable();
    used.dedup();
    assert_eq!(used, addresses(6));
}

#[test]
fn seeds_are_used_only_while_no_member_is_known() {
    let seeds = addresses(3);
    assert_eq!(sync_targets(&KnownGroup::default(), &seeds, 5), seeds);
    let member: SocketAddr = "10.0.0.9:80".parse().unwrap();
    let group = KnownGroup {
        members: vec![member],
        ..KnownGroup::default()
    };
    assert_eq!(sync_targets(&group, &seeds, 5), [member]);
}

/// Guards against an entry that leaves the leader, and drops its running syncs, each time an
/// instance that is cut off or was removed answers.
#[test]
fn an_outdated_instance_does_not_change_the_followed_group() {
    let known = KnownGroup {
        term: 4,
        membership_version: 7,
        members: addresses(5),
        leader: addresses(5).first().copied(),
    };
    let without_leader = KnownGroup {
        leader: None,
        ..known.clone()
    };
    assert!(!known.accepts(&without_leader));
    let older_members = KnownGroup {
        membership_version: 6,
        members: addresses(6),
        ..known.clone()
    };
    assert!(!known.accepts(&older_members));
    let older_term = KnownGroup {
        term: 3,
        membership_version: 9,
        ..known.clone()
    };
    assert!(!known.accepts(&older_term));
    let empty = KnownGroup {
        term: 9,
        ..KnownGroup::default()
    };
    assert!(!known.accepts(&empty));
    assert!(without_leader.accepts(&known));
    let newer_term = KnownGroup {
        term: 5,
        membership_version: 6,
        leader: None,
        ..known.clone()
    };
    assert!(known.accepts(&newer_term));
}
