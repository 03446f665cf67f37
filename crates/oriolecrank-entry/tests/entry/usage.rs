//! Usage records, metrics and shutdown.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use oriolecrank_fakes::{AgentStep, accepted, chunk, end, failed, head, whole_answer};
use oriolecrank_schema::control::{Command, CommandOutcome};
use oriolecrank_schema::data_path::RunVerdict;
use tokio::time::timeout;

use crate::harness::{
    CallerReply, EntrySetup, GROVE_KEY, TEST_TIMEOUT, TestEntry, answering, completion, scripted,
};

const EVENTS: &str = "text/event-stream";
const TOKEN: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";

async fn start(agent: oriolecrank_fakes::FakeAgent) -> TestEntry {
    TestEntry::start(EntrySetup {
        agents: vec![(agent.clone(), "assistant"), (agent, "assistant")],
        ..EntrySetup::default()
    })
    .await
}

/// Guards against tokens that are billed twice or not at all when an answer is continued on another
/// upstream: each attempt must have one record.
#[tokio::test]
async fn each_attempt_has_one_usage_record() {
    let first_tokens = TOKEN.repeat(2);
    let rest = TOKEN.to_owned() + "data: [DONE]\n\n";
    let agent = scripted(
        move |number| {
            if number == 0 {
                vec![
                    accepted(),
                    head(200, EVENTS),
                    chunk(0, &first_tokens),
                    failed(RunVerdict::MayHaveRun, "upstream_failed"),
                ]
            } else {
                whole_answer(200, EVENTS, &rest)
            }
        },
        |_| vec![],
    );
    let entry = start(agent).await;
    let reply = entry.complete(true).await;
    assert_eq!(reply.body.matches("content").count(), 3);
    let reported = entry.control.wait_for(|log| log.usage().len() >= 2);
    let usage = timeout(TEST_TIMEOUT, reported)
        .await
        .expect("the usage is reported")
        .usage();
    let attempts: Vec<_> = usage.iter().map(|record| record.attempt).collect();
    let output: Vec<_> = usage
        .iter()
        .map(|record| record.usage.output_tokens)
        .collect();
    assert_eq!((attempts, output), (vec![1, 2], vec![2, 1]));
    assert!(usage[0].usage.prompt_tokens > 0);
    assert_eq!(usage[1].usage.prompt_tokens, 0);
    assert!(usage.iter().all(|record| record.organisation.0 == "grove"));
}

/// Guards against usage records of attempts that have not run.
#[tokio::test]
async fn an_attempt_that_has_not_run_has_no_record() {
    let agent = scripted(
        |number| {
            if number == 0 {
                vec![failed(RunVerdict::NotRun, "queue_full")]
            } else {
                whole_answer(200, "application/json", "{}")
            }
        },
        |_| vec![],
    );
    let entry = start(agent).await;
    assert_eq!(entry.complete(false).await.status, 200);
    let reported = entry.control.wait_for(|log| !log.usage().is_empty());
    let usage = timeout(TEST_TIMEOUT, reported)
        .await
        .expect("the usage is reported")
        .usage();
    assert_eq!(usage.len(), 1);
    assert_eq!((usage[0].attempt, usage[0].usage.output_tokens), (2, 3));
}

/// Guards against usage that is lost while control refuses to commit it.
#[tokio::test]
async fn usage_is_kept_until_it_is_acknowledged() {
    let available = Arc::new(AtomicBool::new(false));
    let committing = Arc::clone(&available);
    let agent = answering("application/json", "{}");
    let entry = TestEntry::start(EntrySetup {
        agents: vec![(agent, "assistant")],
        commands: Box::new(move |command| match command {
            Command::ReportUsage { .. } if !committing.load(Ordering::SeqCst) => {
                CommandOutcome::Refused {
                    reason: "too many attempts".to_owned(),
                }
            }
            _ => CommandOutcome::Accepted,
        }),
        ..EntrySetup::default()
    })
    .await;
    entry.complete(false).await;
    let tried = entry.control.wait_for(|log| log.usage().len() >= 2);
    timeout(TEST_TIMEOUT, tried)
        .await
        .expect("the usage is sent again");
    available.store(true, Ordering::SeqCst);
    entry
        .wait_for_metric("oriolecrank_entry_usage_pending", 0.0)
        .await;
    let usage = entry.control.log().usage();
    assert!(
        usage
            .iter()
            .all(|record| record.request_id == usage[0].request_id)
    );
}

/// Guards against a graceful shutdown that cuts off an answer or loses its usage, and against a
/// load balancer that still sends requests to an entry that is shutting down.
#[tokio::test]
async fn a_shutdown_finishes_answers_and_delivers_usage() {
    let agent = scripted(
        |_| {
            let rest = "data: [DONE]\n\n";
            vec![
                accepted(),
                head(200, EVENTS),
                chunk(0, TOKEN),
                AgentStep::Gate,
                chunk(TOKEN.len(), rest),
                end(TOKEN.len() + rest.len(), 1),
            ]
        },
        |_| vec![],
    );
    let entry = start(agent).await;
    assert_eq!(entry.get_from_operator("/readyz").await.status, 200);
    let response = entry.open(completion(GROVE_KEY, true)).await;
    entry.stop();
    let wait = async {
        while entry.get_from_operator("/readyz").await.status == 200 {
            tokio::task::yield_now().await;
        }
    };
    timeout(TEST_TIMEOUT, wait)
        .await
        .expect("the entry is no longer ready");
    entry.agents[0].open_gate();
    let reply: CallerReply = timeout(TEST_TIMEOUT, crate::harness::collect(response))
        .await
        .expect("the answer ends");
    assert!(reply.body.ends_with("data: [DONE]\n\n") && !reply.broken);
    let TestEntry { task, control, .. } = entry;
    timeout(TEST_TIMEOUT, task)
        .await
        .expect("the entry stops")
        .unwrap();
    assert_eq!(control.log().usage().len(), 1);
}

/// Guards against missing metrics, and against prompts or keys in metrics.
#[tokio::test]
async fn metrics_show_requests_without_their_contents() {
    let entry = start(answering("application/json", "{}")).await;
    entry.complete(false).await;
    entry.send(completion("nobody", false)).await;
    let text = entry.get_from_operator("/metrics").await.body;
    let expected = [
        "oriolecrank_entry_requests_total{service=\"assistant\",class=\"standard\",outcome=\"answered\"} 1",
        "oriolecrank_entry_first_byte_seconds_count{service=\"assistant\",class=\"standard\"} 1",
        "oriolecrank_entry_refusals_total{code=\"key_invalid\"} 1",
        "oriolecrank_entry_revision 1",
        "oriolecrank_entry_state_age_seconds ",
    ];
    for line in expected {
        assert!(text.contains(line), "{line} is missing in {text}");
    }
    assert!(!text.contains(GROVE_KEY) && !text.contains("vacant"));
}
