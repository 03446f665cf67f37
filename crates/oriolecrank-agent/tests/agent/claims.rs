//! Claimed, non-idempotent calls to a whole agent process over TCP.

use std::time::Duration;

use oriolecrank_fakes::FakeLedger;
use oriolecrank_schema::control::Command;
use oriolecrank_schema::data_path::{ClaimTicket, RunEvent, RunRequest, RunVerdict};

use crate::support::{RecordingControl, TestAgent, eventually, read_answer};

fn booking(agent: &TestAgent, id: &str, claim_id: u64) -> RunRequest {
    let ticket = ClaimTicket {
        claim_id,
        incarnation: agent.incarnation,
        upstream: "upstream-1".to_owned().into(),
    };
    let target = "/entries".to_owned();
    RunRequest {
        claim: Some(ticket),
        stream: false,
        target,
        ..agent.request(id)
    }
}

/// Guards against writing a booking twice when two entries send the same claim.
#[tokio::test(flavor = "multi_thread")]
async fn two_requests_with_one_claim_write_one_booking() {
    let ledger = FakeLedger::default();
    let agent = TestAgent::start(ledger.clone()).await;
    let mut first = agent.run(&booking(&agent, "a", 1), b"drain").await;
    let mut second = agent.run(&booking(&agent, "b", 1), b"drain").await;
    let first = read_answer(&mut first, 0).await;
    let second = read_answer(&mut second, 0).await;
    assert_eq!(first.body, second.body);
    assert!(
        matches!(second.last, RunEvent::End { .. }),
        "{:?}",
        second.last
    );
    assert_eq!(ledger.entries().len(), 1);
}

/// Guards against a booking that is repeated on another upstream because its answer was not stored.
#[tokio::test(flavor = "multi_thread")]
async fn the_answer_of_a_claim_is_stored() {
    let agent = TestAgent::start(FakeLedger::default()).await;
    read_answer(&mut agent.run(&booking(&agent, "a", 7), b"drain").await, 0).await;
    let control = agent.control.clone();
    let stored = eventually(|| {
        control
            .commands()
            .into_iter()
            .find_map(|command| match command {
                Command::CompleteClaim {
                    claim_id: 7,
                    answer,
                    ..
                } => answer,
                _ => None,
            })
    });
    let stored = stored.await;
    assert_eq!((stored.status, stored.body.as_str()), (201, "ZW50cnkgMQ=="));
}

/// Guards against reporting a booking as not run when it was written but its answer was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_with_a_lost_answer_may_have_run_even_when_repeated() {
    let ledger = FakeLedger::default();
    ledger.lose_answers(true);
    let agent = TestAgent::start(ledger.clone()).await;
    for id in ["a", "b"] {
        let answer = read_answer(&mut agent.run(&booking(&agent, id, 1), b"drain").await, 0).await;
        let RunEvent::Failed { verdict, .. } = answer.last else {
            panic!("{:?}", answer.last)
        };
        assert_eq!(verdict, RunVerdict::MayHaveRun, "{id}");
    }
    assert_eq!(ledger.entries().len(), 1);
}

/// Guards against running a claim that was opened for an earlier incarnation of the agent.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_of_an_earlier_incarnation_may_have_run() {
    let ledger = FakeLedger::default();
    let agent = TestAgent::start(ledger.clone()).await;
    let mut request = booking(&agent, "a", 1);
    request.claim.as_mut().unwrap().incarnation -= 1;
    let answer = read_answer(&mut agent.run(&request, b"drain").await, 0).await;
    let RunEvent::Failed { verdict, .. } = answer.last else {
        panic!("{:?}", answer.last)
    };
    assert_eq!(verdict, RunVerdict::MayHaveRun);
    assert!(ledger.entries().is_empty());
}

/// Guards against a graceful shutdown that loses the answer of a booking while no control instance
/// accepts commands: the agent delivers it before it exits.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_agent_delivers_the_answer_of_a_claim() {
    let agent = TestAgent::start(FakeLedger::default()).await;
    let control = agent.control.clone();
    control.set_refusing(true);
    let request = booking(&agent, "a", 9);
    let mut reader = agent.run(&request, b"drain").await;
    read_answer(&mut reader, 0).await;
    agent.trigger_shutdown();
    control.set_refusing(false);
    agent.shut_down().await;
    assert!(claim_completion_was_reported(&control, 9));
}

/// Guards against a graceful shutdown that ends while the completion of a booking is in flight and
/// no connected caller keeps the agent running.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_agent_waits_for_a_completion_in_flight() {
    let ledger = FakeLedger::default();
    let agent = TestAgent::start(ledger.clone()).await;
    let control = agent.control.clone();
    // Shorter than the commit timeout, so that the completion is never queued.
    control.delay_claim_completions(Duration::from_millis(600));
    let reader = agent.run(&booking(&agent, "a", 9), b"drain").await;
    eventually(|| (ledger.entries().len() == 1).then_some(())).await;
    drop(reader);
    agent.shut_down().await;
    assert!(claim_completion_was_reported(&control, 9));
}

fn claim_completion_was_reported(control: &RecordingControl, claim: u64) -> bool {
    control.commands().iter().any(
        |command| matches!(command, Command::CompleteClaim { claim_id, .. } if *claim_id == claim),
    )
}
