//! Non-idempotent calls with an idempotency key, which run under a claim.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use oriolecrank_fakes::{AgentStep, FakeAgent, accepted, failed, whole_answer};
use oriolecrank_schema::control::{Command, CommandOutcome, StoredAnswer};
use oriolecrank_schema::data_path::{ClaimTicket, HeaderField, RunVerdict};

use crate::harness::{EntrySetup, TestEntry, answering, booking, scripted};

const JSON: &str = "application/json";
const BOOKED: &str = "{\"booking\":1}";

fn ticket(upstream: &str, incarnation: u64) -> ClaimTicket {
    ClaimTicket {
        claim_id: 5,
        incarnation,
        upstream: upstream.to_owned().into(),
    }
}

/// Starts an entry with two agents of the service `desk`. `outcomes` is given each `OpenClaim`
/// command and its number, starting at 0; other commands are accepted.
async fn start(
    agents: [FakeAgent; 2],
    outcomes: impl Fn(usize, &Command) -> CommandOutcome + Send + Sync + 'static,
) -> TestEntry {
    let opened = Arc::new(AtomicUsize::new(0));
    let [one, two] = agents;
    TestEntry::start(EntrySetup {
        agents: vec![(one, "desk"), (two, "desk")],
        commands: Box::new(move |command| match command {
            Command::OpenClaim { .. } => outcomes(opened.fetch_add(1, Ordering::SeqCst), command),
            _ => CommandOutcome::Accepted,
        }),
        ..EntrySetup::default()
    })
    .await
}

/// Grants a claim to the agent for which it is opened; accepts other commands.
fn grant(command: &Command) -> CommandOutcome {
    let Command::OpenClaim {
        upstream,
        incarnation,
        ..
    } = command
    else {
        return CommandOutcome::Accepted;
    };
    CommandOutcome::ClaimGranted {
        ticket: ticket(upstream, *incarnation),
    }
}

/// Guards against a call that is sent before its claim is committed, and against a call that is
/// sent without its ticket.
#[tokio::test]
async fn a_granted_claim_runs_with_its_ticket_after_it_is_committed() {
    let agent = answering(JSON, BOOKED);
    let watched = agent.clone();
    let entry = start([agent.clone(), agent.clone()], move |_, command| {
        assert!(watched.log().runs.is_empty());
        grant(command)
    })
    .await;
    let reply = entry.send(booking(Some("booking-1"))).await;
    assert_eq!((reply.status.as_u16(), &*reply.body), (200, BOOKED));
    let runs = agent.log().runs;
    assert_eq!(runs.len(), 1);
    let claim = runs[0]
        .0
        .claim
        .as_ref()
        .expect("the call carries its ticket");
    assert_eq!(claim.claim_id, 5);
    let commands = entry.control.log().commands;
    let opened = commands
        .iter()
        .find(|command| matches!(command, Command::OpenClaim { .. }));
    let Some(Command::OpenClaim {
        key_digest,
        upstream,
        ..
    }) = opened
    else {
        panic!("the entry has sent no OpenClaim command");
    };
    assert_eq!(*upstream, claim.upstream);
    assert!(!key_digest.contains("booking-1"));
}

/// Status, error code and verdict; code and verdict are empty for an answer without an error.
type ExpectedReply = (u16, &'static str, &'static str);

/// Guards against a second run of a call that is running, has run or may have run, and against a
/// verdict "not run" for such a call.
#[tokio::test]
async fn a_call_is_not_sent_if_its_claim_is_not_granted() {
    let stored = StoredAnswer {
        body: "eyJib29raW5nIjoxfQ==".to_owned(),
        headers: vec![HeaderField {
            name: "x-room".to_owned(),
            value: "4".to_owned(),
        }],
        status: 201,
    };
    let cases: Vec<(CommandOutcome, ExpectedReply)> = vec![
        (
            CommandOutcome::ClaimCompleted {
                answer: Some(stored),
            },
            (201, "", ""),
        ),
        (
            CommandOutcome::ClaimCompleted { answer: None },
            (502, "answer_not_kept", "may_have_run"),
        ),
        (
            CommandOutcome::ClaimMayHaveRun,
            (502, "claim_may_have_run", "may_have_run"),
        ),
        (
            CommandOutcome::ClaimMismatch,
            (422, "claim_mismatch", "not_run"),
        ),
        (CommandOutcome::ClaimLimit, (429, "claim_limit", "not_run")),
        (
            CommandOutcome::ClaimRunning {
                ticket: ticket("desk-1", 10),
            },
            (502, "claim_upstream_unknown", "may_have_run"),
        ),
        (
            CommandOutcome::Refused {
                reason: "unknown upstream".to_owned(),
            },
            (503, "claim_unavailable", "not_run"),
        ),
    ];
    for (outcome, expected) in cases {
        let agent = answering(JSON, "{}");
        let name = format!("{outcome:?}");
        let entry = start([agent.clone(), agent.clone()], move |_, _| outcome.clone()).await;
        let reply = entry.send(booking(Some("booking-1"))).await;
        let (status, code, verdict) = expected;
        let refusal = (status, code.to_owned(), verdict.to_owned());
        assert_eq!(reply.refusal(), refusal, "{name}: {}", reply.body);
        assert!(agent.log().runs.is_empty(), "{name}");
        if status == 201 {
            assert_eq!(reply.body, BOOKED);
            assert_eq!(reply.headers["x-room"], "4");
        }
    }
}

/// Guards against a call that is sent, or gets the verdict "may have run", when it is unknown
/// whether its claim was committed.
#[tokio::test]
async fn an_unknown_outcome_of_the_claim_sends_nothing() {
    let agent = answering(JSON, "{}");
    let entry = start([agent.clone(), agent.clone()], |_, command| grant(command)).await;
    entry
        .control
        .change(|script| script.answers_commands = false);
    let reply = entry.send(booking(Some("booking-1"))).await;
    let expected = (503, "claim_unavailable".to_owned(), "not_run".to_owned());
    assert_eq!(reply.refusal(), expected);
    assert!(agent.log().runs.is_empty());
}

/// Guards against a resent call that runs on another agent than the one that holds the claim.
#[tokio::test]
async fn a_running_claim_is_awaited_at_its_agent() {
    for holder in ["desk-1", "desk-2"] {
        let agents = [answering(JSON, BOOKED), answering(JSON, BOOKED)];
        let entry = start(agents.clone(), move |_, _| CommandOutcome::ClaimRunning {
            ticket: ticket(holder, 11),
        })
        .await;
        let reply = entry.send(booking(Some("booking-1"))).await;
        assert_eq!((reply.status.as_u16(), &*reply.body), (200, BOOKED));
        let runs = agents.map(|agent| agent.log().runs.len());
        let expected = if holder == "desk-1" { [1, 0] } else { [0, 1] };
        assert_eq!(runs, expected);
    }
}

/// Guards against a call that fails although only its first agent refuses the claim, and against a
/// call that is sent to a second agent without a claim for that agent.
#[tokio::test]
async fn a_refused_claim_is_opened_again_for_another_agent() {
    let refusing = scripted(
        |_| vec![failed(RunVerdict::NotRun, "claim_refused")],
        |_| vec![],
    );
    // Both upstreams share this agent, so the first run is refused on whichever is chosen.
    let runs = Arc::new(AtomicUsize::new(0));
    let agent = FakeAgent::new(move |_| {
        if runs.fetch_add(1, Ordering::SeqCst) == 0 {
            vec![failed(RunVerdict::NotRun, "claim_refused")]
        } else {
            whole_answer(200, JSON, BOOKED)
        }
    });
    let entry = start([agent.clone(), agent.clone()], |_, command| grant(command)).await;
    let reply = entry.send(booking(Some("booking-1"))).await;
    assert_eq!((reply.status.as_u16(), &*reply.body), (200, BOOKED));
    let claims: Vec<_> = agent
        .log()
        .runs
        .iter()
        .map(|(request, _)| request.claim.as_ref().unwrap().upstream.clone())
        .collect();
    assert_eq!(claims.len(), 2);
    assert_ne!(claims[0], claims[1]);

    let entry = start([refusing.clone(), refusing], |_, command| grant(command)).await;
    let reply = entry.send(booking(Some("booking-2"))).await;
    let expected = (503, "claim_refused".to_owned(), "not_run".to_owned());
    assert_eq!(reply.refusal(), expected);
}

/// Guards against an error for a call whose answer was lost although it is stored with the claim.
#[tokio::test]
async fn a_lost_answer_is_taken_from_the_claim() {
    let lost_answers: Vec<Vec<AgentStep>> = vec![
        vec![accepted(), AgentStep::Break],
        vec![
            accepted(),
            failed(RunVerdict::MayHaveRun, "upstream_failed"),
        ],
    ];
    for steps in lost_answers {
        let agent = scripted(
            move |_| steps.clone(),
            |_| vec![failed(RunVerdict::MayHaveRun, "answer_unknown")],
        );
        let entry = start([agent.clone(), agent.clone()], |number, command| {
            if number == 0 {
                return grant(command);
            }
            CommandOutcome::ClaimCompleted {
                answer: Some(StoredAnswer {
                    body: "eyJib29raW5nIjoxfQ==".to_owned(),
                    headers: Vec::new(),
                    status: 201,
                }),
            }
        })
        .await;
        let reply = entry.send(booking(Some("booking-1"))).await;
        assert_eq!((reply.status.as_u16(), &*reply.body), (201, BOOKED));
        assert_eq!(agent.log().runs.len(), 1);
    }
}

/// Guards against a claimed call that is sent to a second agent, or gets the verdict "not run",
/// when its agent crashes while it may be running.
#[tokio::test]
async fn a_claim_whose_agent_dies_may_have_run() {
    let agent = scripted(
        |_| vec![accepted(), AgentStep::Break],
        |_| vec![failed(RunVerdict::MayHaveRun, "answer_unknown")],
    );
    let entry = start([agent.clone(), agent.clone()], |number, command| {
        if number == 0 {
            return grant(command);
        }
        CommandOutcome::ClaimMayHaveRun
    })
    .await;
    let reply = entry.send(booking(Some("booking-1"))).await;
    let expected = (
        502,
        "claim_may_have_run".to_owned(),
        "may_have_run".to_owned(),
    );
    assert_eq!(reply.refusal(), expected);
    assert_eq!(agent.log().runs.len(), 1);
}

/// Guards against a claimed call that is cancelled when its caller disconnects. A resent call could
/// then only get the verdict that the first call may have run.
#[tokio::test]
async fn a_claimed_call_continues_when_its_caller_disconnects() {
    let agent = scripted(
        |_| {
            let mut steps = vec![accepted(), AgentStep::Gate];
            steps.extend(whole_answer(200, JSON, BOOKED));
            steps
        },
        |_| vec![],
    );
    let entry = start([agent.clone(), agent.clone()], |_, command| grant(command)).await;
    let request = booking(Some("booking-1")).build(entry.address);
    let (client, address) = (entry.client.clone(), entry.address);
    let call = tokio::spawn(async move {
        let _ = client
            .send(address, request, crate::harness::TEST_TIMEOUT)
            .await;
    });
    agent.wait_for(|log| log.runs.len() == 1).await;
    call.abort();
    agent.open_gate();
    let finished = agent.wait_for(|log| log.acks.iter().any(|ack| ack.complete));
    let log = tokio::time::timeout(crate::harness::TEST_TIMEOUT, finished)
        .await
        .expect("the answer is read to its end");
    assert!(log.cancels.is_empty());
}
