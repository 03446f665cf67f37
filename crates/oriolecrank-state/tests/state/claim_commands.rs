//! Claims of non-idempotent calls.

use oriolecrank_schema::control::{CommandOutcome, Query, QueryResult};
use oriolecrank_state::cluster::{
    CLAIM_LIFETIME_MS, MAX_ANSWER_BYTES, MAX_CLAIMS_PER_ORGANISATION, MAX_ORGANISATION_ANSWER_BYTES,
};

use crate::cluster_fixture::{
    CaseStep, TestCluster, announce, answer, complete, granted, open_claim, open_claim_at, refused,
    release, remove, submit, ticket,
};
use crate::fixtures::document;

fn running(claim_id: u64) -> CommandOutcome {
    CommandOutcome::ClaimRunning {
        ticket: ticket(claim_id, "desk-1", 1),
    }
}

fn completed(bytes: usize) -> CommandOutcome {
    CommandOutcome::ClaimCompleted {
        answer: Some(answer(bytes)),
    }
}

/// Guards against calls that run twice, answers that go astray and untrue verdicts.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn a_call_runs_at_most_once() {
    let (accepted, unchanged) = (CommandOutcome::Accepted, CommandOutcome::Unchanged);
    let mismatch = CommandOutcome::ClaimMismatch;
    let other_agent = refused("the claim is bound to another agent");
    let gone = refused("the claim is released or expired");
    let cases: Vec<(&str, Vec<CaseStep>)> = vec![
        (
            "own command repeated after a lost answer",
            vec![
                (open_claim("k", "b", "r-1"), granted(1)),
                (open_claim("k", "b", "r-1"), granted(1)),
            ],
        ),
        (
            "resend on another entry while the call runs",
            vec![
                (open_claim("k", "b", "r-1"), granted(1)),
                (open_claim("k", "b", "r-2"), running(1)),
                (
                    open_claim_at("grove", "k", "b", "r-1", ("engine-1", 1)),
                    running(1),
                ),
            ],
        ),
        (
            "resend after the completion gets the stored answer",
            vec![
                (open_claim("k", "b", "r-1"), granted(1)),
                (complete(1, 1, Some(answer(30))), accepted.clone()),
                (open_claim("k", "b", "r-2"), completed(30)),
                (open_claim("k", "b", "r-1"), completed(30)),
            ],
        ),
        (
            "same key with another body",
            vec![
                (open_claim("k", "b", "r-1"), granted(1)),
                (open_claim("k", "c", "r-2"), mismatch.clone()),
                (complete(1, 1, None), accepted.clone()),
                (open_claim("k", "c", "r-1"), mismatch),
            ],
        ),
        (
            "same key of another organisation",
            vec![
                (open_claim("k", "b", "r-1"), granted(1)),
                (
                    open_claim_at("press", "k", "c", "r-2", ("desk-1", 1)),
                    granted(2),
                ),
            ],
        ),
        (
            "completion repeated with another answer",
            vec![
                (open_claim("k", "b", "r-1"), granted(1)),
                (complete(1, 1, Some(answer(30))), accepted.clone()),
                (complete(1, 1, Some(answer(60))), unchanged.clone()),
                (open_claim("k", "b", "r-2"), completed(30)),
            ],
        ),
        (
            "completion by another incarnation",
            vec![
                (open_claim("k", "b", "r-1"), granted(1)),
                (complete(1, 2, Some(answer(30))), other_agent.clone()),
                (open_claim("k", "b", "r-2"), running(1)),
            ],
        ),
        (
            "release, repeated, and a second attempt",
            vec![
                (open_claim("k", "b", "r-1"), granted(1)),
                (release(1, 1), accepted.clone()),
                (release(1, 1), unchanged.clone()),
                (open_claim("k", "b", "r-1"), granted(2)),
                // Late messages about the first claim do not touch the second one.
                (release(1, 1), unchanged),
                (complete(1, 1, Some(answer(30))), gone),
                (open_claim("k", "b", "r-2"), running(2)),
            ],
        ),
        (
            "release by an agent that restarted without memory",
            vec![
                (open_claim("k", "b", "r-1"), granted(1)),
                (release(1, 2), other_agent),
                (
                    announce("desk-1", 2, 1),
                    crate::cluster_fixture::announced(0, 0),
                ),
                (open_claim("k", "b", "r-2"), CommandOutcome::ClaimMayHaveRun),
                (open_claim("k", "b", "r-1"), CommandOutcome::ClaimMayHaveRun),
            ],
        ),
        (
            "release after the completion",
            vec![
                (open_claim("k", "b", "r-1"), granted(1)),
                (complete(1, 1, Some(answer(30))), accepted.clone()),
                (release(1, 1), refused("the claim is completed")),
            ],
        ),
        (
            "agent removed while the call ran, and its late completion",
            vec![
                (open_claim("k", "b", "r-1"), granted(1)),
                (remove(&[("desk-1", 1)]), accepted.clone()),
                (open_claim("k", "b", "r-2"), CommandOutcome::ClaimMayHaveRun),
                (complete(1, 1, Some(answer(30))), accepted),
                (open_claim("k", "b", "r-2"), completed(30)),
            ],
        ),
        (
            "numbers that were never given",
            vec![
                (release(0, 1), refused("no claim has this number")),
                (release(7, 1), refused("no claim has this number")),
                (
                    complete(7, 1, None),
                    refused("the claim is released or expired"),
                ),
            ],
        ),
    ];
    for (name, steps) in cases {
        TestCluster::ready().expect_all(name, steps);
    }
}

/// Guards against a claim for an agent that cannot run it or an organisation that does not exist.
#[test]
fn claim_needs_a_live_agent_and_known_names() {
    let mut cluster = TestCluster::ready();
    let no_member = refused("the upstream incarnation is not a member");
    let cases = [
        (
            open_claim_at("grove", "k", "b", "r", ("desk-1", 2)),
            no_member.clone(),
        ),
        (
            open_claim_at("grove", "k", "b", "r", ("desk-9", 1)),
            no_member,
        ),
        (
            open_claim_at("mill", "k", "b", "r", ("desk-1", 1)),
            refused("the organisation is not in the document"),
        ),
        (
            open_claim(&"k".repeat(129), "b", "r"),
            refused("a digest or the request id is too long"),
        ),
    ];
    for (command, expected) in cases {
        assert_eq!(cluster.send(command), expected);
    }
    assert_eq!(cluster.state.summary().claims, 0);
}

/// Guards against a resend within 24 h of the completion that runs again, and against claims that
/// are kept for ever.
#[test]
fn completed_claim_expires_a_day_after_its_completion() {
    let mut cluster = TestCluster::ready();
    cluster.send(open_claim("k", "b", "r-1"));
    cluster.send_after(1_000, complete(1, 1, Some(answer(30))));
    let outcome = cluster.send_after(CLAIM_LIFETIME_MS - 1, open_claim("k", "b", "r-2"));
    assert_eq!(outcome, completed(30));
    assert_eq!(
        cluster.send_after(1, open_claim("k", "b", "r-3")),
        granted(2)
    );
    assert_eq!(cluster.state.summary().answer_bytes, 0);
}

/// Guards against a call that runs a second time because its agent took longer than a day, and
/// against claims of lost agents that are kept for ever.
#[test]
fn open_claim_expires_only_when_its_agent_is_gone() {
    let mut cluster = TestCluster::ready();
    cluster.send(open_claim("k", "b", "r-1"));
    let outcome = cluster.send_after(CLAIM_LIFETIME_MS + 1, open_claim("k", "b", "r-2"));
    assert_eq!(outcome, running(1));
    cluster.send(remove(&[("desk-1", 1)]));
    let outcome = cluster.send_after(CLAIM_LIFETIME_MS - 1, open_claim("k", "b", "r-3"));
    assert_eq!(outcome, CommandOutcome::ClaimMayHaveRun);
    cluster.send(announce("desk-1", 1, 2));
    cluster.send(remove(&[("desk-1", 1)]));
    cluster.send_after(1, remove(&[]));
    assert_eq!(cluster.state.summary().claims, 0);
}

/// Guards against one organisation that fills the table or the memory with answers.
#[test]
fn claims_and_answers_are_bounded_per_organisation() {
    let mut cluster = TestCluster::ready();
    for number in 0..MAX_CLAIMS_PER_ORGANISATION {
        cluster.send(open_claim(&format!("k-{number}"), "b", "r"));
    }
    let limit = CommandOutcome::ClaimLimit;
    assert_eq!(cluster.send(open_claim("k", "b", "r")), limit);
    let other = open_claim_at("press", "k", "b", "r", ("desk-1", 1));
    assert!(matches!(
        cluster.send(other),
        CommandOutcome::ClaimGranted { .. }
    ));

    cluster.send(complete(1, 1, Some(answer(MAX_ANSWER_BYTES + 3))));
    let outcome = cluster.send(open_claim("k-0", "b", "r"));
    assert_eq!(outcome, CommandOutcome::ClaimCompleted { answer: None });
    for claim_id in 2..=200 {
        cluster.send(complete(claim_id, 1, Some(answer(MAX_ANSWER_BYTES))));
    }
    let bytes = cluster.state.summary().answer_bytes as usize;
    assert!(bytes <= MAX_ORGANISATION_ANSWER_BYTES);
    assert!(bytes > MAX_ORGANISATION_ANSWER_BYTES - MAX_ANSWER_BYTES);
    // The last one has run, but its answer is not kept.
    let outcome = cluster.send(open_claim("k-199", "b", "r"));
    assert_eq!(outcome, CommandOutcome::ClaimCompleted { answer: None });
    // Once the answers have expired, there is room for new ones.
    cluster.send_after(CLAIM_LIFETIME_MS, remove(&[]));
    assert_eq!(cluster.state.summary().answer_bytes, 0);
    cluster.send(complete(300, 1, Some(answer(MAX_ANSWER_BYTES))));
    let outcome = cluster.send(open_claim("k-299", "b", "r"));
    assert_eq!(outcome, completed(MAX_ANSWER_BYTES));
}

/// Guards against resends that run again after the organisation or service was reconfigured.
#[test]
fn claim_outlives_a_document_without_its_organisation() {
    let mut cluster = TestCluster::ready();
    cluster.send(open_claim("k", "b", "r-1"));
    cluster.send(complete(1, 1, Some(answer(30))));
    let mut changed = document();
    changed.organisations.remove(0);
    cluster.send(submit("b", 1, changed));
    assert_eq!(cluster.send(open_claim("k", "b", "r-2")), completed(30));
    let unknown = refused("the organisation is not in the document");
    assert_eq!(cluster.send(open_claim("k-2", "b", "r-2")), unknown);
}

/// Guards against operators who cannot see which calls are in doubt.
#[test]
fn claims_are_listed_with_their_state() {
    let mut cluster = TestCluster::ready();
    for key in ["a", "b", "c"] {
        cluster.send(open_claim(key, "b", "r"));
    }
    cluster.send(complete(2, 1, Some(answer(30))));
    cluster.send(announce("desk-1", 2, 1));
    let query = Query::Claims {
        organisation: Some("grove".to_owned().into()),
        after_claim_id: 1,
        limit: 1,
    };
    let QueryResult::Claims { claims, more } = cluster.state.query(&query) else {
        panic!("not a list of claims");
    };
    assert!(more);
    assert_eq!(claims[0].ticket.claim_id, 2);
    assert!(claims[0].answer_stored);
    let query = Query::Claims {
        organisation: None,
        after_claim_id: 2,
        limit: 10,
    };
    let QueryResult::Claims { claims, more } = cluster.state.query(&query) else {
        panic!("not a list of claims");
    };
    assert!(!more);
    let state = oriolecrank_schema::control::ClaimState::MayHaveRun;
    assert_eq!(claims[0].state, state);
}
