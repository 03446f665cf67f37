//! Announcements and removals of upstreams.

use oriolecrank_schema::control::{Command, CommandOutcome, OrderResult, UpstreamPhase};
use oriolecrank_state::cluster::{MAX_DEPARTED, MAX_MEMBERS};

use crate::cluster_fixture::{
    CaseStep, TestCluster, announce, announced, place_order, refused, remove_upstreams,
    settle_order, upstream_record,
};

fn announce_leaving(upstream: &str, incarnation: u64, number: u64) -> Command {
    let mut record = upstream_record(upstream, incarnation);
    record.phase = UpstreamPhase::Leaving;
    Command::Announce {
        load: None,
        number,
        record,
    }
}

const fn superseded(incarnation: u64) -> CommandOutcome {
    CommandOutcome::Superseded { incarnation }
}

/// Guards against repeated, delayed and outdated announcements that bring an upstream back or
/// change it.
#[test]
fn only_newer_announcements_have_an_effect() {
    let (accepted, unchanged) = (CommandOutcome::Accepted, CommandOutcome::Unchanged);
    let cases: Vec<(&str, Vec<CaseStep>)> = vec![
        (
            "repetition",
            vec![
                (announce("desk-1", 1, 1), announced(0, 0)),
                (announce("desk-1", 1, 1), announced(0, 0)),
            ],
        ),
        (
            "old incarnation of a member",
            vec![
                (announce("desk-1", 2, 1), announced(0, 0)),
                (announce("desk-1", 1, 9), superseded(2)),
            ],
        ),
        (
            "old incarnation of a departed upstream",
            vec![
                (announce("desk-1", 2, 1), announced(0, 0)),
                (remove_upstreams(&[("desk-1", 2)]), accepted.clone()),
                (announce("desk-1", 1, 9), superseded(2)),
            ],
        ),
        (
            "delayed announcement after leaving",
            vec![
                (announce("desk-1", 1, 1), announced(0, 0)),
                (announce_leaving("desk-1", 1, 3), announced(0, 0)),
                (announce("desk-1", 1, 2), unchanged.clone()),
            ],
        ),
        (
            "repeated announcement after the removal",
            vec![
                (announce("desk-1", 1, 1), announced(0, 0)),
                (announce_leaving("desk-1", 1, 2), announced(0, 0)),
                (remove_upstreams(&[("desk-1", 1)]), accepted.clone()),
                (announce_leaving("desk-1", 1, 2), unchanged.clone()),
                (announce("desk-1", 1, 1), unchanged.clone()),
            ],
        ),
        (
            "removal of an old incarnation",
            vec![
                (announce("desk-1", 1, 1), announced(0, 0)),
                (announce("desk-1", 2, 1), announced(0, 0)),
                (remove_upstreams(&[("desk-1", 1)]), unchanged.clone()),
            ],
        ),
        (
            "repeated removal and removal of an unknown upstream",
            vec![
                (announce("desk-1", 1, 1), announced(0, 0)),
                (remove_upstreams(&[("desk-1", 1)]), accepted),
                (remove_upstreams(&[("desk-1", 1)]), unchanged.clone()),
                (remove_upstreams(&[("desk-9", 1)]), unchanged),
            ],
        ),
    ];
    for (name, steps) in cases {
        TestCluster::empty().check_steps(name, steps);
    }
}

/// Guards against an upstream that stays removed after a partition although its agent is alive.
#[test]
fn agent_rejoins_with_its_next_number() {
    let mut cluster = TestCluster::empty();
    cluster.send(announce("desk-1", 1, 1));
    cluster.send(remove_upstreams(&[("desk-1", 1)]));
    assert!(cluster.upstream_names().is_empty());
    assert_eq!(cluster.send(announce("desk-1", 1, 2)), announced(0, 0));
    assert_eq!(cluster.upstream_names(), ["desk-1"]);
}

/// Guards against late or missing removals when a whole failure domain is lost.
#[test]
fn many_members_are_removed_by_one_entry() {
    let mut cluster = TestCluster::empty();
    for number in 1..=4 {
        cluster.send(announce(&format!("desk-{number}"), 1, 1));
    }
    cluster.send(announce("desk-3", 2, 1));
    let removal = remove_upstreams(&[("desk-1", 1), ("desk-2", 1), ("desk-3", 1), ("desk-9", 1)]);
    assert_eq!(cluster.send(removal), CommandOutcome::Accepted);
    assert_eq!(cluster.upstream_names(), ["desk-3", "desk-4"]);
    let changes = cluster.state.changes_since(oriolecrank_state::LogIndex(5));
    let removed: Vec<String> = changes
        .expect("the feed contains the changes")
        .flat_map(|change| change.removed.iter().map(|name| name.0.clone()))
        .collect();
    assert_eq!(removed, ["desk-1", "desk-2"]);
}

/// Guards against an agent that accepts outdated orders after a restart because its highest fencing
/// number is lost.
#[test]
fn highest_fencing_number_survives_restart_and_removal() {
    let mut cluster = TestCluster::ready();
    cluster.send(place_order("desk-1"));
    cluster.send(settle_order("desk-1", 1, 1, OrderResult::Done));
    assert_eq!(cluster.send(announce("desk-1", 2, 1)), announced(1, 1));
    cluster.send(remove_upstreams(&[("desk-1", 2)]));
    cluster.restore();
    assert_eq!(cluster.send(announce("desk-1", 3, 1)), announced(1, 1));
}

/// Guards against tables that grow without bound with the number of announced names.
#[test]
fn members_and_departed_upstreams_are_bounded() {
    let mut cluster = TestCluster::empty();
    for number in 0..MAX_MEMBERS {
        cluster.send(announce(&format!("desk-{number}"), 1, 1));
    }
    let full = refused("there are too many members");
    assert_eq!(cluster.send(announce("desk-x", 1, 1)), full);
    assert_eq!(cluster.send(announce("desk-0", 1, 2)), announced(0, 0));
    cluster.send(remove_upstreams(&[("desk-0", 1)]));
    assert_eq!(cluster.send(announce("desk-x", 1, 1)), announced(0, 0));
    assert_eq!(cluster.send(announce("desk-0", 1, 3)), full);
    let long_name = "x".repeat(257);
    let outcome = cluster.send(announce(&long_name, 1, 1));
    assert_eq!(outcome, refused("a text of the announcement is too long"));

    let mut cluster = TestCluster::empty();
    for number in 0..=MAX_DEPARTED {
        let name = format!("desk-{number}");
        cluster.send(announce(&name, 5, 1));
        cluster.send(remove_upstreams(&[(&name, 5)]));
    }
    // The record of the upstream that departed first has been removed, the second one is stored.
    assert_eq!(cluster.send(announce("desk-1", 4, 1)), superseded(5));
    assert_eq!(cluster.send(announce("desk-0", 4, 1)), announced(0, 0));
}
