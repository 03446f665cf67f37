//! Crash reports, reruns and refused fingerprints.

use oriolecrank_schema::control::{Command, CommandOutcome, SuspectState};
use oriolecrank_state::cluster::{
    MAX_RUNNING_REQUESTS, MAX_SUSPECTS_PER_ORGANISATION, SUSPECT_LIFETIME_MS,
};

use crate::cluster_fixture::{
    CaseStep, TestCluster, announce, clear, crash, refused, release_rerun, remove, rerun,
};

/// A cluster with the additional member `engine-2`.
fn cluster() -> TestCluster {
    let mut cluster = TestCluster::ready();
    cluster.send(announce("engine-2", 1, 1));
    cluster
}

/// States by fingerprint.
fn states(cluster: &TestCluster) -> Vec<(String, SuspectState)> {
    let records = cluster.suspects().into_iter();
    records
        .map(|record| (record.fingerprint, record.state))
        .collect()
}

/// Guards against a request that takes down a third engine, and innocent requests that stay refused.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn suspects_are_rerun_once_and_decided() {
    let (accepted, unchanged) = (CommandOutcome::Accepted, CommandOutcome::Unchanged);
    let culprit = refused("the request has crashed two upstreams");
    let cases: Vec<(&str, Vec<CaseStep>)> = vec![
        (
            "culprit",
            vec![
                (crash("engine-1", 1, &[("grove", "f")]), accepted.clone()),
                (rerun("f", "engine-2", "r-1"), accepted.clone()),
                (crash("engine-2", 1, &[("grove", "f")]), accepted.clone()),
                (rerun("f", "desk-1", "r-2"), culprit.clone()),
                // A late report that the first run ended well does not clear it.
                (clear("grove", "f"), culprit.clone()),
            ],
        ),
        (
            "innocent",
            vec![
                (crash("engine-1", 1, &[("grove", "f")]), accepted.clone()),
                (rerun("f", "engine-2", "r-1"), accepted.clone()),
                (clear("grove", "f"), accepted.clone()),
                (clear("grove", "f"), unchanged.clone()),
                (rerun("f", "engine-2", "r-2"), unchanged.clone()),
            ],
        ),
        (
            "one rerun for two entries, and a repeated command",
            vec![
                (crash("engine-1", 1, &[("grove", "f")]), accepted.clone()),
                (rerun("f", "engine-2", "r-1"), accepted.clone()),
                (rerun("f", "engine-2", "r-1"), accepted.clone()),
                (
                    rerun("f", "engine-2", "r-2"),
                    refused("the suspect was rerun before"),
                ),
                (
                    rerun("f", "desk-1", "r-1"),
                    refused("the suspect was rerun before"),
                ),
            ],
        ),
        (
            "permission given back by its holder, and by others",
            vec![
                (
                    crash("engine-1", 1, &[("grove", "f"), ("grove", "g")]),
                    accepted.clone(),
                ),
                (rerun("f", "engine-2", "r-1"), accepted.clone()),
                (release_rerun("f", "engine-2", "r-2"), unchanged.clone()),
                (release_rerun("f", "desk-1", "r-1"), unchanged.clone()),
                (
                    rerun("f", "desk-1", "r-3"),
                    refused("the suspect was rerun before"),
                ),
                (release_rerun("f", "engine-2", "r-1"), accepted.clone()),
                // The upstream is free for another suspect, and the suspect for another upstream.
                (rerun("g", "engine-2", "r-4"), accepted.clone()),
                (rerun("f", "desk-1", "r-3"), accepted.clone()),
                // A late repetition does not end the second permission.
                (release_rerun("f", "engine-2", "r-1"), unchanged.clone()),
                (crash("desk-1", 1, &[("grove", "f")]), accepted.clone()),
                (release_rerun("f", "desk-1", "r-3"), unchanged.clone()),
                (rerun("f", "engine-2", "r-5"), culprit.clone()),
            ],
        ),
        (
            "two suspects on one upstream",
            vec![
                (
                    crash("engine-1", 1, &[("grove", "f"), ("grove", "g")]),
                    accepted.clone(),
                ),
                (rerun("f", "engine-2", "r-1"), accepted.clone()),
                (
                    rerun("g", "engine-2", "r-2"),
                    refused("the upstream reruns another suspect"),
                ),
                (rerun("g", "desk-1", "r-2"), accepted.clone()),
                (clear("grove", "f"), accepted.clone()),
            ],
        ),
        (
            "repeated crash report",
            vec![
                (crash("engine-1", 1, &[("grove", "f")]), accepted.clone()),
                (crash("engine-1", 1, &[("grove", "f")]), unchanged.clone()),
                (rerun("f", "engine-2", "r-1"), accepted.clone()),
            ],
        ),
        (
            "two copies of a request in one crash",
            vec![
                (
                    crash("engine-1", 1, &[("grove", "f"), ("grove", "f")]),
                    accepted.clone(),
                ),
                (rerun("f", "engine-2", "r-1"), accepted.clone()),
            ],
        ),
        (
            "innocent body that runs beside the culprit twice",
            vec![
                (
                    crash("engine-1", 1, &[("grove", "f"), ("grove", "g")]),
                    accepted.clone(),
                ),
                (rerun("f", "engine-2", "r-1"), accepted.clone()),
                (
                    crash(
                        "engine-2",
                        1,
                        &[("grove", "f"), ("grove", "g"), ("press", "h")],
                    ),
                    accepted.clone(),
                ),
                (rerun("f", "desk-1", "r-2"), culprit.clone()),
                (rerun("g", "desk-1", "r-3"), accepted.clone()),
                (clear("grove", "g"), accepted.clone()),
                (clear("press", "h"), unchanged.clone()),
            ],
        ),
        (
            "second crash before entries knew of the first one",
            vec![
                (crash("engine-1", 1, &[("grove", "f")]), accepted.clone()),
                (crash("engine-2", 1, &[("grove", "f")]), accepted.clone()),
                (rerun("f", "desk-1", "r-1"), culprit.clone()),
            ],
        ),
        (
            "crash of another upstream than that of the rerun",
            vec![
                (
                    crash("engine-1", 1, &[("grove", "f"), ("grove", "g")]),
                    accepted.clone(),
                ),
                (rerun("f", "engine-2", "r-1"), accepted.clone()),
                (
                    crash("desk-1", 1, &[("grove", "f"), ("grove", "g")]),
                    accepted.clone(),
                ),
                (rerun("g", "engine-2", "r-2"), culprit.clone()),
            ],
        ),
        (
            "rerun on an agent that is gone",
            vec![
                (crash("engine-1", 1, &[("grove", "f")]), accepted.clone()),
                (remove(&[("engine-2", 1)]), accepted),
                (
                    rerun("f", "engine-2", "r-1"),
                    refused("the upstream incarnation is not a member"),
                ),
            ],
        ),
    ];
    for (name, steps) in cases {
        cluster().expect_all(name, steps);
    }
}

/// Guards against equal fingerprints that refuse another organisation's requests.
#[test]
fn organisations_do_not_share_fingerprints() {
    let mut cluster = cluster();
    cluster.send(crash("engine-1", 1, &[("press", "f")]));
    cluster.send(crash("engine-1", 2, &[("press", "f")]));
    assert_eq!(
        cluster.send(rerun("f", "engine-2", "r")),
        CommandOutcome::Unchanged
    );
    assert_eq!(cluster.send(clear("grove", "f")), CommandOutcome::Unchanged);
    let records = cluster.suspects();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].organisation, "press");
}

/// Guards against a refusal that ends early, that never ends, or of which entries are not told.
#[test]
fn culprit_is_refused_for_ten_minutes() {
    let mut cluster = cluster();
    cluster.send(crash("engine-1", 1, &[("grove", "f")]));
    cluster.send_after(1_000, crash("engine-2", 1, &[("grove", "f")]));
    cluster.send_after(SUSPECT_LIFETIME_MS - 1, remove(&[]));
    assert_eq!(states(&cluster), [("f".to_owned(), SuspectState::Refused)]);
    let before = cluster.state.applied_index();
    cluster.send_after(1, remove(&[]));
    assert!(cluster.suspects().is_empty());
    let mut changes = cluster
        .state
        .changes_since(before)
        .expect("the feed reaches back");
    assert_eq!(
        changes.next().expect("subscribers are told").suspects,
        Some(Vec::new())
    );
}

/// Guards against a rerun whose crash counts as the first one because the suspect has expired.
#[test]
fn rerun_keeps_the_suspect() {
    let mut cluster = cluster();
    cluster.send(crash("engine-1", 1, &[("grove", "f")]));
    cluster.send_after(SUSPECT_LIFETIME_MS - 1, rerun("f", "engine-2", "r"));
    cluster.send_after(
        SUSPECT_LIFETIME_MS - 1,
        crash("engine-2", 1, &[("grove", "f")]),
    );
    assert_eq!(states(&cluster), [("f".to_owned(), SuspectState::Refused)]);
}

/// Guards against an upstream that can never rerun a suspect again after its agent was lost.
#[test]
fn new_incarnation_may_rerun_another_suspect() {
    let mut cluster = cluster();
    cluster.send(crash("engine-1", 1, &[("grove", "f"), ("grove", "g")]));
    cluster.send(rerun("f", "engine-2", "r-1"));
    cluster.send(announce("engine-2", 2, 1));
    let command = Command::RerunSuspect {
        fingerprint: "g".to_owned(),
        incarnation: 2,
        organisation: "grove".to_owned(),
        request_id: "r-2".to_owned().into(),
        upstream: "engine-2".to_owned().into(),
    };
    assert_eq!(cluster.send(command), CommandOutcome::Accepted);
}

/// Guards against one organisation whose crashes fill the table or push out the refusals of others.
#[test]
fn fingerprints_are_bounded_per_organisation() {
    let mut cluster = cluster();
    cluster.send(crash("engine-1", 1, &[("press", "p")]));
    cluster.send(crash("engine-1", 2, &[("grove", "culprit")]));
    cluster.send(crash("engine-1", 3, &[("grove", "culprit")]));
    for number in 0..2 * MAX_SUSPECTS_PER_ORGANISATION as u64 {
        let fingerprint = format!("f-{number}");
        cluster.send_after(1, crash("engine-2", number, &[("grove", &fingerprint)]));
    }
    let records = cluster.suspects();
    assert_eq!(records.len(), MAX_SUSPECTS_PER_ORGANISATION + 1);
    assert!(records.iter().any(|record| record.organisation == "press"));
    assert!(records.iter().any(|record| record.fingerprint == "culprit"));
}

/// Guards against a crash report whose size decides how long one log entry takes.
#[test]
fn fingerprints_of_one_report_are_bounded() {
    let mut cluster = cluster();
    let organisations: Vec<String> = (0..2_000).map(|number| format!("org-{number}")).collect();
    let running: Vec<(&str, &str)> = organisations
        .iter()
        .map(|organisation| (organisation.as_str(), "f"))
        .collect();
    cluster.send(crash("engine-1", 1, &running));
    assert_eq!(cluster.suspects().len(), MAX_RUNNING_REQUESTS);
}
