//! Requests that may have crashed an upstream.

use oriolecrank_fakes::{FakeAgent, accepted, failed, whole_answer};
use oriolecrank_schema::control::{
    Command, CommandOutcome, SubscriptionFrame, SuspectRecord, SuspectState,
};
use oriolecrank_schema::data_path::RunVerdict;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::time::timeout;

use crate::harness::{EntrySetup, TEST_TIMEOUT, TestEntry, answering, scripted};

const JSON: &str = "application/json";

async fn start(
    agent: FakeAgent,
    commands: impl Fn(&Command) -> CommandOutcome + Send + Sync + 'static,
) -> TestEntry {
    TestEntry::start(EntrySetup {
        agents: vec![(agent.clone(), "assistant"), (agent, "assistant")],
        commands: Box::new(commands),
        ..EntrySetup::default()
    })
    .await
}

/// Runs a completion once to learn its fingerprint, then publishes it as a suspect with `state`.
///
/// The entry may not have applied the frame yet when this returns, so tests repeat the request
/// until it has.
async fn make_suspect(entry: &TestEntry, state: SuspectState) -> String {
    assert_eq!(entry.complete(false).await.status, 200);
    let fingerprint = entry.agents[0].log().runs[0].0.fingerprint.clone();
    entry.control.publish(&suspects(&fingerprint, state));
    entry.control.publish(&SubscriptionFrame::Heartbeat);
    fingerprint
}

fn suspects(fingerprint: &str, state: SuspectState) -> SubscriptionFrame {
    SubscriptionFrame::Suspects {
        records: vec![SuspectRecord {
            crashes: 1,
            fingerprint: fingerprint.to_owned(),
            organisation: "grove".to_owned(),
            state,
            until_ms: u64::MAX / 2,
        }],
    }
}

/// Repeats a completion until its answer fulfils `condition`, because the entry applies frames with
/// a delay.
async fn complete_until(
    entry: &TestEntry,
    condition: impl Fn(&crate::harness::CallerReply) -> bool,
) -> crate::harness::CallerReply {
    let wait = async {
        loop {
            let reply = entry.complete(false).await;
            if condition(&reply) {
                return reply;
            }
        }
    };
    timeout(TEST_TIMEOUT, wait)
        .await
        .expect("an answer fulfils the condition")
}

/// Guards against a request that runs again although its fingerprint is refused.
#[tokio::test]
async fn a_refused_fingerprint_is_not_run() {
    let entry = start(answering(JSON, "{}"), |_| CommandOutcome::Accepted).await;
    make_suspect(&entry, SuspectState::Refused).await;
    let reply = complete_until(&entry, |reply| reply.status != 200).await;
    let expected = (422, "fingerprint_refused".to_owned(), "not_run".to_owned());
    assert_eq!(reply.refusal(), expected);
    let runs = entry.agents[0].log().runs.len();
    entry.complete(false).await;
    assert_eq!(entry.agents[0].log().runs.len(), runs);
}

/// Guards against a suspect that runs without permission, and against a harmless request that stays
/// a suspect after it ran without a crash.
#[tokio::test]
async fn a_suspect_runs_with_permission_and_is_cleared() {
    let entry = start(answering(JSON, "{}"), |_| CommandOutcome::Accepted).await;
    let fingerprint = make_suspect(&entry, SuspectState::Suspect).await;
    let asked = |command: &Command| matches!(command, Command::RerunSuspect { .. });
    let cleared = |command: &Command| matches!(command, Command::ClearSuspect { fingerprint: found, .. } if *found == fingerprint);
    let wait = async {
        while !entry.control.log().commands.iter().any(asked) {
            assert_eq!(entry.complete(false).await.status, 200);
        }
    };
    timeout(TEST_TIMEOUT, wait)
        .await
        .expect("the entry asks for permission");
    let done = entry
        .control
        .wait_for(|log| log.commands.iter().any(cleared));
    timeout(TEST_TIMEOUT, done)
        .await
        .expect("the suspect is cleared");
}

/// Guards against a suspect that runs although control refuses the permission for every upstream.
#[tokio::test]
async fn a_suspect_without_permission_is_not_run() {
    let entry = start(answering(JSON, "{}"), |command| match command {
        Command::RerunSuspect { .. } => CommandOutcome::Refused {
            reason: "the upstream reruns another suspect".to_owned(),
        },
        _ => CommandOutcome::Accepted,
    })
    .await;
    make_suspect(&entry, SuspectState::Suspect).await;
    let reply = complete_until(&entry, |reply| reply.status != 200).await;
    assert_eq!(reply.error("verdict"), "not_run");
    assert!(reply.headers.contains_key("retry-after"));
    let runs = entry.agents[0].log().runs.len();
    entry.complete(false).await;
    assert_eq!(entry.agents[0].log().runs.len(), runs);
}

/// Guards against a request that is retried on several upstreams and crashes each of them, because
/// it is not known as a suspect yet.
#[tokio::test]
async fn a_request_that_crashed_an_upstream_is_not_retried_before_it_is_a_suspect() {
    let crash = || {
        vec![
            accepted(),
            failed(RunVerdict::MayHaveRun, "upstream_crashed"),
        ]
    };
    let entry = start(scripted(move |_| crash(), |_| vec![]), |_| {
        CommandOutcome::Accepted
    })
    .await;
    let reply = entry.complete(false).await;
    assert_eq!(reply.error("verdict"), "may_have_run");
    assert_eq!(entry.agents[0].log().runs.len(), 1);
}

/// Guards against a request that crashes a third upstream within one call: the one permitted rerun
/// must be the last attempt.
#[tokio::test]
async fn a_request_crashes_at_most_two_upstreams() {
    let crash = || {
        vec![
            accepted(),
            failed(RunVerdict::MayHaveRun, "upstream_crashed"),
        ]
    };
    let agent = scripted(
        move |number| {
            if number == 0 {
                whole_answer(200, JSON, "{}")
            } else {
                crash()
            }
        },
        |_| vec![],
    );
    let granted = std::sync::atomic::AtomicBool::new(false);
    let entry = start(agent, move |command| match command {
        Command::RerunSuspect { .. } if granted.swap(true, std::sync::atomic::Ordering::SeqCst) => {
            CommandOutcome::Refused {
                reason: "the suspect was rerun before".to_owned(),
            }
        }
        _ => CommandOutcome::Accepted,
    })
    .await;
    make_suspect(&entry, SuspectState::Suspect).await;
    let reply = complete_until(&entry, |reply| reply.status != 200).await;
    assert_eq!(reply.error("verdict"), "may_have_run");
    let crashes = entry.agents[0].log().runs.len() - 1;
    assert!(crashes <= 2, "{crashes} crashes");
}

/// Guards against a suspect that cannot run anywhere for ten minutes, because its permission was
/// used up by an agent that refused the request.
#[tokio::test]
async fn the_permission_of_a_refused_rerun_is_given_back() {
    let refusing = Arc::new(AtomicBool::new(false));
    let refuse = Arc::clone(&refusing);
    let run = move |_| {
        if refuse.load(Ordering::SeqCst) {
            return vec![failed(RunVerdict::NotRun, "draining")];
        }
        whole_answer(200, JSON, "{}")
    };
    let entry = start(scripted(run, |_| vec![]), |_| CommandOutcome::Accepted).await;
    make_suspect(&entry, SuspectState::Suspect).await;
    refusing.store(true, Ordering::SeqCst);
    let released = |command: &Command| matches!(command, Command::ReleaseRerun { .. });
    let wait = async {
        while !entry.control.log().commands.iter().any(released) {
            assert_eq!(entry.complete(false).await.error("verdict"), "not_run");
        }
    };
    timeout(TEST_TIMEOUT, wait)
        .await
        .expect("the permission is returned");
}
