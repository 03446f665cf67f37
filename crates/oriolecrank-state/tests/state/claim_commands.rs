//! Claims for non-idempotent calls.

use oriolecrank_schema::control::{CommandOutcome, Query, QueryResult};
use oriolecrank_state::cluster::{
    CLAIM_LIFETIME_MS, MAX_ANSWER_BYTES, MAX_CLAIMS_PER_ORGANISATION, MAX_ORGANISATION_ANSWER_BYTES,
};

use crate::cluster_fixture::{
    CaseStep, TestCluster, announce, claim_granted, claim_ticket, complete_claim, open_claim,
    open_claim_for, refused, release_claim, remove_upstreams, stored_answer, submit,
};
use crate::fixtures::document;

fn claim_running(claim_id: u64) -> CommandOutcome {
    CommandOutcome::ClaimRunning {
        ticket: claim_ticket(claim_id, "desk-1", 1),
    }
}

fn claim_completed(bytes: usize) -> CommandOutcome {
    CommandOutcome::ClaimCompleted {
        answer: Some(stored_answer(bytes)),
    }
}

/// Guards against calls that run twice, stored answers that reach another call, and wrong outcomes
/// for resent calls.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn a_call_runs_at_most_once() {
    let (accepted, unchanged) = (CommandOutcome::Accepted, CommandOutcome::Unchanged);
    let mismatch = CommandOutcome::ClaimMismatch;
    let other_agent = refused("the claim is bound to another agent");
    let no_claim = refused("the claim is released or expired");
    let cases: Vec<(&str, Vec<CaseStep>)> = vec![
        (
            "same request repeats its command after a lost answer",
            vec![
                (open_claim("k", "b", "r-1"), claim_granted(1)),
                (open_claim("k", "b", "r-1"), claim_granted(1)),
            ],
        ),
        (
            "resend through another entry process or to another agent while the call runs",
            vec![
                (open_claim("k", "b", "r-1"), claim_granted(1)),
                (open_claim("k", "b", "r-2"), claim_running(1)),
                (
                    open_claim_for("grove", "k", "b", "r-1", ("engine-1", 1)),
                    claim_running(1),
                ),
            ],
        ),
        (
            "resend after the completion gets the stored answer",
            vec![
                (open_claim("k", "b", "r-1"), claim_granted(1)),
                (
                    complete_claim(1, 1, Some(stored_answer(30))),
                    accepted.clone(),
                ),
                (open_claim("k", "b", "r-2"), claim_completed(30)),
                (open_claim("k", "b", "r-1"), claim_completed(30)),
            ],
        ),
        (
            "same key with another body",
            vec![
                (open_claim("k", "b", "r-1"), claim_granted(1)),
                (open_claim("k", "c", "r-2"), mismatch.clone()),
                (complete_claim(1, 1, None), accepted.clone()),
                (open_claim("k", "c", "r-1"), mismatch),
            ],
        ),
        (
            "same key of another organisation",
            vec![
                (open_claim("k", "b", "r-1"), claim_granted(1)),
                (
                    open_claim_for("press", "k", "c", "r-2", ("desk-1", 1)),
                    claim_granted(2),
                ),
            ],
        ),
        (
            "completion repeated with another answer",
            vec![
                (open_claim("k", "b", "r-1"), claim_granted(1)),
                (
                    complete_claim(1, 1, Some(stored_answer(30))),
                    accepted.clone(),
                ),
                (
                    complete_claim(1, 1, Some(stored_answer(60))),
                    unchanged.clone(),
                ),
                (open_claim("k", "b", "r-2"), claim_completed(30)),
            ],
        ),
        (
            "completion by another incarnation",
            vec![
                (open_claim("k", "b", "r-1"), claim_granted(1)),
                (
                    complete_claim(1, 2, Some(stored_answer(30))),
                    other_agent.clone(),
                ),
                (open_claim("k", "b", "r-2"), claim_running(1)),
            ],
        ),
        (
            "repeated release, then a second attempt",
            vec![
                (open_claim("k", "b", "r-1"), claim_granted(1)),
                (release_claim(1, 1), accepted.clone()),
                (release_claim(1, 1), unchanged.clone()),
                (open_claim("k", "b", "r-1"), claim_granted(2)),
                // Delayed messages about the first claim do not affect the second one.
                (release_claim(1, 1), unchanged),
                (complete_claim(1, 1, Some(stored_answer(30))), no_claim),
                (open_claim("k", "b", "r-2"), claim_running(2)),
            ],
        ),
        (
            "release by an agent that restarted and lost its claims",
            vec![
                (open_claim("k", "b", "r-1"), claim_granted(1)),
                (release_claim(1, 2), other_agent),
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
                (open_claim("k", "b", "r-1"), claim_granted(1)),
                (
                    complete_claim(1, 1, Some(stored_answer(30))),
                    accepted.clone(),
                ),
                (release_claim(1, 1), refused("the claim is completed")),
            ],
        ),
        (
            "agent removed while the call runs, then its delayed completion",
            vec![
                (open_claim("k", "b", "r-1"), claim_granted(1)),
                (remove_upstreams(&[("desk-1", 1)]), accepted.clone()),
                (open_claim("k", "b", "r-2"), CommandOutcome::ClaimMayHaveRun),
                (complete_claim(1, 1, Some(stored_answer(30))), accepted),
                (open_claim("k", "b", "r-2"), claim_completed(30)),
            ],
        ),
        (
            "claim ids that were never assigned",
            vec![
                (release_claim(0, 1), refused("no claim has this number")),
                (release_claim(7, 1), refused("no claim has this number")),
                (
                    complete_claim(7, 1, None),
                    refused("the claim is released or expired"),
                ),
            ],
        ),
    ];
    for (name, steps) in cases {
        TestCluster::ready().check_steps(name, steps);
    }
}

/// Guards against a claim for an agent that cannot run it or an organisation that does not exist.
#[test]
fn claim_needs_a_live_agent_and_known_names() {
    let mut cluster = TestCluster::ready();
    let not_member = refused("the upstream incarnation is not a member");
    let cases = [
        (
            open_claim_for("grove", "k", "b", "r", ("desk-1", 2)),
            not_member.clone(),
        ),
        (
            open_claim_for("grove", "k", "b", "r", ("desk-9", 1)),
            not_member,
        ),
        (
            open_claim_for("mill", "k", "b", "r", ("desk-1", 1)),
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
/// never expire.
#[test]
fn completed_claim_expires_a_day_after_its_completion() {
    let mut cluster = TestCluster::ready();
    cluster.send(open_claim("k", "b", "r-1"));
    cluster.send_after(1_000, complete_claim(1, 1, Some(stored_answer(30))));
    let outcome = cluster.send_after(CLAIM_LIFETIME_MS - 1, open_claim("k", "b", "r-2"));
    assert_eq!(outcome, claim_completed(30));
    assert_eq!(
        cluster.send_after(1, open_claim("k", "b", "r-3")),
        claim_granted(2)
    );
    assert_eq!(cluster.state.summary().answer_bytes, 0);
}

/// Guards against a call that runs a second time because its agent took longer than 24 h, and
/// against claims of departed agents that never expire.
#[test]
fn open_claim_expires_only_when_its_agent_is_gone() {
    let mut cluster = TestCluster::ready();
    cluster.send(open_claim("k", "b", "r-1"));
    let outcome = cluster.send_after(CLAIM_LIFETIME_MS + 1, open_claim("k", "b", "r-2"));
    assert_eq!(outcome, claim_running(1));
    cluster.send(remove_upstreams(&[("desk-1", 1)]));
    let outcome = cluster.send_after(CLAIM_LIFETIME_MS - 1, open_claim("k", "b", "r-3"));
    assert_eq!(outcome, CommandOutcome::ClaimMayHaveRun);
    // The agent rejoins and is removed again, which does not extend the claim.
    cluster.send(announce("desk-1", 1, 2));
    cluster.send(remove_upstreams(&[("desk-1", 1)]));
    cluster.send_after(1, remove_upstreams(&[]));
    assert_eq!(cluster.state.summary().claims, 0);
}

/// Guards against one organisation that fills the claim table, or the memory with stored answers.
#[test]
fn claims_and_answers_are_bounded_per_organisation() {
    let mut cluster = TestCluster::ready();
    for number in 0..MAX_CLAIMS_PER_ORGANISATION {
        cluster.send(open_claim(&format!("k-{number}"), "b", "r"));
    }
    let limit = CommandOutcome::ClaimLimit;
    assert_eq!(cluster.send(open_claim("k", "b", "r")), limit);
    let other = open_claim_for("press", "k", "b", "r", ("desk-1", 1));
    assert!(matches!(
        cluster.send(other),
        CommandOutcome::ClaimGranted { .. }
    ));

    cluster.send(complete_claim(
        1,
        1,
        Some(stored_answer(MAX_ANSWER_BYTES + 3)),
    ));
    let outcome = cluster.send(open_claim("k-0", "b", "r"));
    assert_eq!(outcome, CommandOutcome::ClaimCompleted { answer: None });
    for claim_id in 2..=200 {
        cluster.send(complete_claim(
            claim_id,
            1,
            Some(stored_answer(MAX_ANSWER_BYTES)),
        ));
    }
    let bytes = cluster.state.summary().answer_bytes as usize;
    assert!(bytes <= MAX_ORGANISATION_ANSWER_BYTES);
    assert!(bytes > MAX_ORGANISATION_ANSWER_BYTES - MAX_ANSWER_BYTES);
    // The last call is completed, but its answer exceeds the limit and is not stored.
    let outcome = cluster.send(open_claim("k-199", "b", "r"));
    assert_eq!(outcome, CommandOutcome::ClaimCompleted { answer: None });
    // Once the stored answers have expired, new ones are stored again.
    cluster.send_after(CLAIM_LIFETIME_MS, remove_upstreams(&[]));
    assert_eq!(cluster.state.summary().answer_bytes, 0);
    cluster.send(complete_claim(
        300,
        1,
        Some(stored_answer(MAX_ANSWER_BYTES)),
    ));
    let outcome = cluster.send(open_claim("k-299", "b", "r"));
    assert_eq!(outcome, claim_completed(MAX_ANSWER_BYTES));
}

/// Guards against resends that run again after their organisation was removed from the document.
#[test]
fn claim_remains_after_its_organisation_is_removed() {
    let mut cluster = TestCluster::ready();
    cluster.send(open_claim("k", "b", "r-1"));
    cluster.send(complete_claim(1, 1, Some(stored_answer(30))));
    let mut changed = document();
    changed.organisations.remove(0);
    cluster.send(submit("b", 1, changed));
    assert_eq!(
        cluster.send(open_claim("k", "b", "r-2")),
        claim_completed(30)
    );
    let unknown_organisation = refused("the organisation is not in the document");
    assert_eq!(
        cluster.send(open_claim("k-2", "b", "r-2")),
        unknown_organisation
    );
}

/// Guards against a list of claims that does not show operators which calls may have run.
#[test]
fn claims_are_listed_with_their_state() {
    let mut cluster = TestCluster::ready();
    for key in ["a", "b", "c"] {
        cluster.send(open_claim(key, "b", "r"));
    }
    cluster.send(complete_claim(2, 1, Some(stored_answer(30))));
    cluster.send(announce("desk-1", 2, 1));
    let query = Query::Claims {
        organisation: Some("grove".to_owned().into()),
        after_claim_id: 1,
        limit: 1,
    };
    let QueryResult::Claims { claims, more } = cluster.state.query(&query) else {
        panic!("expected QueryResult::Claims");
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
        panic!("expected QueryResult::Claims");
    };
    assert!(!more);
    let state = oriolecrank_schema::control::ClaimState::MayHaveRun;
    assert_eq!(claims[0].state, state);
}
