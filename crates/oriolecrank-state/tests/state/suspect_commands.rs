//! Crash reports, reruns and refused fingerprints.

use oriolecrank_schema::control::{Command, CommandOutcome, SuspectState};
use oriolecrank_state::cluster::{
    MAX_RUNNING_REQUESTS, MAX_SUSPECTS_PER_ORGANISATION, SUSPECT_LIFETIME_MS,
};

use crate::cluster_fixture::{
    CaseStep, TestCluster, announce, clear_suspect, refused, release_rerun, remove_upstreams,
    report_crash, rerun_suspect,
};

/// A cluster with the additional member `engine-2`.
fn cluster_with_two_engines() -> TestCluster {
    let mut cluster = TestCluster::ready();
    cluster.send(announce("engine-2", 1, 1));
    cluster
}

/// Fingerprints with their states.
fn suspect_states(cluster: &TestCluster) -> Vec<(String, SuspectState)> {
    let records = cluster.suspects().into_iter();
    records
        .map(|record| (record.fingerprint, record.state))
        .collect()
}

/// Guards against a request that crashes a third engine, and against harmless requests that stay
/// refused.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn suspects_are_rerun_once_then_cleared_or_refused() {
    let (accepted, unchanged) = (CommandOutcome::Accepted, CommandOutcome::Unchanged);
    let crashed_two = refused("the request has crashed two upstreams");
    let cases: Vec<(&str, Vec<CaseStep>)> = vec![
        (
            "request that crashes two engines",
            vec![
                (
                    report_crash("engine-1", 1, &[("grove", "f")]),
                    accepted.clone(),
                ),
                (rerun_suspect("f", "engine-2", "r-1"), accepted.clone()),
                (
                    report_crash("engine-2", 1, &[("grove", "f")]),
                    accepted.clone(),
                ),
                (rerun_suspect("f", "desk-1", "r-2"), crashed_two.clone()),
                // A delayed report that an earlier run succeeded does not clear it.
                (clear_suspect("grove", "f"), crashed_two.clone()),
            ],
        ),
        (
            "harmless request",
            vec![
                (
                    report_crash("engine-1", 1, &[("grove", "f")]),
                    accepted.clone(),
                ),
                (rerun_suspect("f", "engine-2", "r-1"), accepted.clone()),
                (clear_suspect("grove", "f"), accepted.clone()),
                (clear_suspect("grove", "f"), unchanged.clone()),
                (rerun_suspect("f", "engine-2", "r-2"), unchanged.clone()),
            ],
        ),
        (
            "one rerun for two entry processes, and a repeated command",
            vec![
                (
                    report_crash("engine-1", 1, &[("grove", "f")]),
                    accepted.clone(),
                ),
                (rerun_suspect("f", "engine-2", "r-1"), accepted.clone()),
                (rerun_suspect("f", "engine-2", "r-1"), accepted.clone()),
                (
                    rerun_suspect("f", "engine-2", "r-2"),
                    refused("the suspect was rerun before"),
                ),
                (
                    rerun_suspect("f", "desk-1", "r-1"),
                    refused("the suspect was rerun before"),
                ),
            ],
        ),
        (
            "rerun released by its own request and by others",
            vec![
                (
                    report_crash("engine-1", 1, &[("grove", "f"), ("grove", "g")]),
                    accepted.clone(),
                ),
                (rerun_suspect("f", "engine-2", "r-1"), accepted.clone()),
                (release_rerun("f", "engine-2", "r-2"), unchanged.clone()),
                (release_rerun("f", "desk-1", "r-1"), unchanged.clone()),
                (
                    rerun_suspect("f", "desk-1", "r-3"),
                    refused("the suspect was rerun before"),
                ),
                (release_rerun("f", "engine-2", "r-1"), accepted.clone()),
                // Now the upstream can rerun another suspect, and another upstream can rerun this
                // one.
                (rerun_suspect("g", "engine-2", "r-4"), accepted.clone()),
                (rerun_suspect("f", "desk-1", "r-3"), accepted.clone()),
                // A delayed repetition of the release does not release the second grant.
                (release_rerun("f", "engine-2", "r-1"), unchanged.clone()),
                (
                    report_crash("desk-1", 1, &[("grove", "f")]),
                    accepted.clone(),
                ),
                (release_rerun("f", "desk-1", "r-3"), unchanged.clone()),
                (rerun_suspect("f", "engine-2", "r-5"), crashed_two.clone()),
            ],
        ),
        (
            "two suspects on one upstream",
            vec![
                (
                    report_crash("engine-1", 1, &[("grove", "f"), ("grove", "g")]),
                    accepted.clone(),
                ),
                (rerun_suspect("f", "engine-2", "r-1"), accepted.clone()),
                (
                    rerun_suspect("g", "engine-2", "r-2"),
                    refused("the upstream reruns another suspect"),
                ),
                (rerun_suspect("g", "desk-1", "r-2"), accepted.clone()),
                (clear_suspect("grove", "f"), accepted.clone()),
            ],
        ),
        (
            "repeated crash report",
            vec![
                (
                    report_crash("engine-1", 1, &[("grove", "f")]),
                    accepted.clone(),
                ),
                (
                    report_crash("engine-1", 1, &[("grove", "f")]),
                    unchanged.clone(),
                ),
                (rerun_suspect("f", "engine-2", "r-1"), accepted.clone()),
            ],
        ),
        (
            "two copies of a request in one crash",
            vec![
                (
                    report_crash("engine-1", 1, &[("grove", "f"), ("grove", "f")]),
                    accepted.clone(),
                ),
                (rerun_suspect("f", "engine-2", "r-1"), accepted.clone()),
            ],
        ),
        (
            "harmless request that is running at both crashes",
            vec![
                (
                    report_crash("engine-1", 1, &[("grove", "f"), ("grove", "g")]),
                    accepted.clone(),
                ),
                (rerun_suspect("f", "engine-2", "r-1"), accepted.clone()),
                (
                    report_crash(
                        "engine-2",
                        1,
                        &[("grove", "f"), ("grove", "g"), ("press", "h")],
                    ),
                    accepted.clone(),
                ),
                (rerun_suspect("f", "desk-1", "r-2"), crashed_two.clone()),
                (rerun_suspect("g", "desk-1", "r-3"), accepted.clone()),
                (clear_suspect("grove", "g"), accepted.clone()),
                (clear_suspect("press", "h"), unchanged.clone()),
            ],
        ),
        (
            "second crash before the entry processes know of the first one",
            vec![
                (
                    report_crash("engine-1", 1, &[("grove", "f")]),
                    accepted.clone(),
                ),
                (
                    report_crash("engine-2", 1, &[("grove", "f")]),
                    accepted.clone(),
                ),
                (rerun_suspect("f", "desk-1", "r-1"), crashed_two.clone()),
            ],
        ),
        (
            "crash of an upstream other than that of the rerun",
            vec![
                (
                    report_crash("engine-1", 1, &[("grove", "f"), ("grove", "g")]),
                    accepted.clone(),
                ),
                (rerun_suspect("f", "engine-2", "r-1"), accepted.clone()),
                (
                    report_crash("desk-1", 1, &[("grove", "f"), ("grove", "g")]),
                    accepted.clone(),
                ),
                (rerun_suspect("g", "engine-2", "r-2"), crashed_two.clone()),
            ],
        ),
        (
            "rerun on a removed upstream",
            vec![
                (
                    report_crash("engine-1", 1, &[("grove", "f")]),
                    accepted.clone(),
                ),
                (remove_upstreams(&[("engine-2", 1)]), accepted),
                (
                    rerun_suspect("f", "engine-2", "r-1"),
                    refused("the upstream incarnation is not a member"),
                ),
            ],
        ),
    ];
    for (name, steps) in cases {
        cluster_with_two_engines().check_steps(name, steps);
    }
}

/// Guards against a crash that refuses another organisation's requests with the same fingerprint.
#[test]
fn organisations_do_not_share_fingerprints() {
    let mut cluster = cluster_with_two_engines();
    cluster.send(report_crash("engine-1", 1, &[("press", "f")]));
    cluster.send(report_crash("engine-1", 2, &[("press", "f")]));
    assert_eq!(
        cluster.send(rerun_suspect("f", "engine-2", "r")),
        CommandOutcome::Unchanged
    );
    assert_eq!(
        cluster.send(clear_suspect("grove", "f")),
        CommandOutcome::Unchanged
    );
    let records = cluster.suspects();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].organisation, "press");
}

/// Guards against a refusal that ends early or never, or whose end is not sent to subscribers.
#[test]
fn culprit_is_refused_for_ten_minutes() {
    let mut cluster = cluster_with_two_engines();
    cluster.send(report_crash("engine-1", 1, &[("grove", "f")]));
    cluster.send_after(1_000, report_crash("engine-2", 1, &[("grove", "f")]));
    cluster.send_after(SUSPECT_LIFETIME_MS - 1, remove_upstreams(&[]));
    assert_eq!(
        suspect_states(&cluster),
        [("f".to_owned(), SuspectState::Refused)]
    );
    let before = cluster.state.applied_index();
    cluster.send_after(1, remove_upstreams(&[]));
    assert!(cluster.suspects().is_empty());
    let mut changes = cluster
        .state
        .changes_since(before)
        .expect("the feed contains the changes");
    assert_eq!(
        changes.next().expect("the expiry is a change").suspects,
        Some(Vec::new())
    );
}

/// Guards against a rerun whose crash counts as the first one because the suspect has expired.
#[test]
fn rerun_extends_the_lifetime_of_a_suspect() {
    let mut cluster = cluster_with_two_engines();
    cluster.send(report_crash("engine-1", 1, &[("grove", "f")]));
    cluster.send_after(SUSPECT_LIFETIME_MS - 1, rerun_suspect("f", "engine-2", "r"));
    cluster.send_after(
        SUSPECT_LIFETIME_MS - 1,
        report_crash("engine-2", 1, &[("grove", "f")]),
    );
    assert_eq!(
        suspect_states(&cluster),
        [("f".to_owned(), SuspectState::Refused)]
    );
}

/// Guards against an upstream that can never rerun a suspect again after its agent restarted.
#[test]
fn new_incarnation_may_rerun_another_suspect() {
    let mut cluster = cluster_with_two_engines();
    cluster.send(report_crash(
        "engine-1",
        1,
        &[("grove", "f"), ("grove", "g")],
    ));
    cluster.send(rerun_suspect("f", "engine-2", "r-1"));
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

/// Guards against one organisation whose crashes fill the table or evict the refusals of others.
#[test]
fn fingerprints_are_bounded_per_organisation() {
    let mut cluster = cluster_with_two_engines();
    cluster.send(report_crash("engine-1", 1, &[("press", "p")]));
    cluster.send(report_crash("engine-1", 2, &[("grove", "culprit")]));
    cluster.send(report_crash("engine-1", 3, &[("grove", "culprit")]));
    for number in 0..2 * MAX_SUSPECTS_PER_ORGANISATION as u64 {
        let fingerprint = format!("f-{number}");
        cluster.send_after(
            1,
            report_crash("engine-2", number, &[("grove", &fingerprint)]),
        );
    }
    let records = cluster.suspects();
    assert_eq!(records.len(), MAX_SUSPECTS_PER_ORGANISATION + 1);
    assert!(records.iter().any(|record| record.organisation == "press"));
    assert!(records.iter().any(|record| record.fingerprint == "culprit"));
}

/// Guards against a large crash report whose log entry takes too long to apply.
#[test]
fn fingerprints_of_one_report_are_bounded() {
    let mut cluster = cluster_with_two_engines();
    let organisations: Vec<String> = (0..2_000).map(|number| format!("org-{number}")).collect();
    let running: Vec<(&str, &str)> = organisations
        .iter()
        .map(|organisation| (organisation.as_str(), "f"))
        .collect();
    cluster.send(report_crash("engine-1", 1, &running));
    assert_eq!(cluster.suspects().len(), MAX_RUNNING_REQUESTS);
}
