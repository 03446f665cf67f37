//! Crashes of the engine behind a whole agent process.

use oriolecrank_fakes::{EngineOptions, FakeEngine};
use oriolecrank_schema::control::Command;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::support::{TestAgent, completion_body, eventually, failure_code, read_answer};

fn slow_engine() -> FakeEngine {
    let between_tokens = Duration::from_millis(30);
    FakeEngine::new(EngineOptions {
        between_tokens,
        ..EngineOptions::default()
    })
}

/// Guards against a request that crashes one engine after another because it is retried before the
/// crash is reported: the report must be committed before the attempts fail.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_is_reported_with_all_running_requests_before_they_fail() {
    let engine = slow_engine();
    let agent = TestAgent::start(engine.clone()).await;
    let mut first = agent
        .run(&agent.request("a"), &completion_body("x", 200))
        .await;
    let mut second = agent
        .run(&agent.request("b"), &completion_body("y", 200))
        .await;
    eventually(|| (engine.calls() == 2).then_some(())).await;
    engine.crash();
    for reader in [&mut first, &mut second] {
        let answer = read_answer(reader, 0).await;
        assert_eq!(failure_code(&answer.last), Some("upstream_crashed"));
    }
    let reports: Vec<_> = agent
        .control
        .commands()
        .into_iter()
        .filter_map(crash_report)
        .collect();
    assert_eq!(reports.len(), 1);
    let mut fingerprints = reports[0].clone();
    fingerprints.sort();
    assert_eq!(fingerprints, ["fingerprint-a", "fingerprint-b"]);
}

fn crash_report(command: Command) -> Option<Vec<String>> {
    match command {
        Command::ReportCrash { running, .. } => Some(
            running
                .into_iter()
                .map(|request| request.fingerprint)
                .collect(),
        ),
        _ => None,
    }
}

/// Guards against a crash report for a single lost connection while the engine keeps running.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_answer_while_another_runs_is_no_crash() {
    let engine = slow_engine();
    let agent = TestAgent::start(engine.clone()).await;
    let mut long_answer = agent
        .run(&agent.request("a"), &completion_body("x", 60))
        .await;
    eventually(|| (engine.calls() == 1).then_some(())).await;
    engine
        .faults()
        .omit_end_marker
        .store(true, Ordering::SeqCst);
    let short_answer = agent.complete("b", "y", 1).await;
    assert_eq!(failure_code(&short_answer.last), Some("upstream_failed"));
    engine
        .faults()
        .omit_end_marker
        .store(false, Ordering::SeqCst);
    read_answer(&mut long_answer, 0).await;
    assert!(
        agent
            .control
            .commands()
            .into_iter()
            .find_map(crash_report)
            .is_none()
    );
}
