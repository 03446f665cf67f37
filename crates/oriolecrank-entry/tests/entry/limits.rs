//! Limits of organisations.

use http::Method;
use oriolecrank_fakes::{AgentStep, accepted, whole_answer};
use oriolecrank_schema::control::LimitShare;
use oriolecrank_schema::document::LimitConfig;
use tokio::time::timeout;

use crate::harness::{
    CallerRequest, EntrySetup, GROVE_KEY, PRESS_KEY, TEST_TIMEOUT, TestEntry, answering,
    completion, document_with_limit, scripted,
};

const JSON: &str = "application/json";

fn concurrent(limit: u64) -> LimitConfig {
    LimitConfig {
        concurrent: Some(limit),
        requests_per_s: None,
        service: None,
        tokens_per_s: None,
    }
}

fn share(organisation: &str, concurrent: f64) -> LimitShare {
    LimitShare {
        concurrent,
        organisation: organisation.to_owned().into(),
        requests_per_s: f64::MAX,
        service: None,
        tokens_per_s: f64::MAX,
    }
}

/// An agent that answers only after [`oriolecrank_fakes::FakeAgent::open_gate`].
fn gated() -> oriolecrank_fakes::FakeAgent {
    scripted(
        |_| {
            let mut steps = vec![accepted(), AgentStep::Gate];
            steps.extend(whole_answer(200, JSON, "{}"));
            steps
        },
        |_| vec![],
    )
}

/// Guards against one organisation whose excess calls keep another one's from running, and against
/// refusals without a retry-after header.
#[tokio::test]
async fn excess_calls_of_one_organisation_do_not_block_another() {
    let agent = gated();
    let entry = TestEntry::start(EntrySetup {
        document: document_with_limit("grove", &concurrent(2)),
        agents: vec![(agent.clone(), "assistant")],
        control: Box::new(|script| script.shares = vec![share("grove", 2.0)]),
        ..EntrySetup::default()
    })
    .await;
    let excess = send_many(&entry, 20);
    let other = async {
        agent.wait_for(|log| log.runs.len() == 2).await;
        let reply = entry.send(completion(PRESS_KEY, false));
        let opened = async {
            agent
                .wait_for(|log| {
                    let mut runs = log.runs.iter();
                    runs.any(|(request, _)| request.organisation == "press")
                })
                .await;
            agent.open_gate();
        };
        let (reply, ()) = tokio::join!(reply, opened);
        reply
    };
    let (excess, other) = tokio::join!(excess, other);
    assert_eq!(other.status, 200);
    let refused: Vec<_> = excess.iter().filter(|reply| reply.status == 429).collect();
    assert_eq!(refused.len(), 18);
    for reply in refused {
        assert_eq!(reply.error("code"), "concurrency_limit");
        assert_eq!(reply.error("verdict"), "not_run");
        assert!(reply.headers.contains_key("retry-after"));
    }
}

/// Sends `count` completions of `grove` at the same time and collects the answers.
async fn send_many(entry: &TestEntry, count: usize) -> Vec<crate::harness::CallerReply> {
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..count {
        let request = completion(GROVE_KEY, false).build(entry.address);
        let (client, address) = (entry.client.clone(), entry.address);
        tasks.spawn(async move {
            let response = client.send(address, request, TEST_TIMEOUT).await;
            crate::harness::collect(response.unwrap()).await
        });
    }
    tasks.join_all().await
}

/// Guards against a concurrency limit that still counts the call of a caller that has disconnected.
#[tokio::test]
async fn the_call_of_a_caller_that_disconnects_no_longer_counts() {
    let agent = gated();
    let entry = TestEntry::start(EntrySetup {
        document: document_with_limit("grove", &concurrent(1)),
        agents: vec![(agent.clone(), "assistant")],
        control: Box::new(|script| script.shares = vec![share("grove", 1.0)]),
        ..EntrySetup::default()
    })
    .await;
    let request = completion(GROVE_KEY, false).build(entry.address);
    let (client, address) = (entry.client.clone(), entry.address);
    let call = tokio::spawn(async move {
        let _ = client.send(address, request, TEST_TIMEOUT).await;
    });
    agent.wait_for(|log| log.runs.len() == 1).await;
    assert_eq!(entry.complete(false).await.status, 429);
    call.abort();
    let cancelled = agent.wait_for(|log| !log.cancels.is_empty());
    timeout(TEST_TIMEOUT, cancelled)
        .await
        .expect("the call is cancelled");
    agent.open_gate();
    let wait = async { while entry.complete(false).await.status == 429 {} };
    timeout(TEST_TIMEOUT, wait)
        .await
        .expect("the limit admits a call again");
}

/// Guards against limits that are not enforced while the entry has no shares: it may then use only
/// its part of the reserve, which is a quarter of the limit, divided among the entries.
#[tokio::test]
async fn without_shares_only_the_reserve_is_used() {
    let agent = gated();
    let entry = TestEntry::start(EntrySetup {
        document: document_with_limit("grove", &concurrent(8)),
        agents: vec![(agent.clone(), "assistant")],
        control: Box::new(|script| script.entries = 2),
        ..EntrySetup::default()
    })
    .await;
    let calls = send_many(&entry, 6);
    let open = async {
        // This entry's part of the reserve is 8 / (4 x 2 entries) = 1 request.
        let refused = "oriolecrank_entry_refusals_total{code=\"concurrency_limit\"}";
        entry.wait_for_metric(refused, 5.0).await;
        agent.open_gate();
    };
    let (replies, ()) = tokio::join!(calls, open);
    let answered = replies.iter().filter(|reply| reply.status == 200).count();
    assert_eq!(answered, 1);
}

/// Guards against demand that is not reported to the control leader, which divides the limits by
/// it.
#[tokio::test]
async fn pings_carry_the_demand() {
    let entry = TestEntry::start(EntrySetup {
        agents: vec![(answering(JSON, "{}"), "assistant")],
        ..EntrySetup::default()
    })
    .await;
    for _ in 0..3 {
        assert_eq!(entry.complete(false).await.status, 200);
    }
    // `desk` has no upstream, so its demand is refused.
    let refused = CallerRequest::new(Method::GET, "/services/desk/status").key(GROVE_KEY);
    assert_eq!(entry.send(refused).await.status, 503);
    let sum = |log: &oriolecrank_fakes::ControlLog, service: &str| {
        let entries = log.pings.iter().flat_map(|ping| &ping.demand);
        let entries = entries.filter(|entry| entry.service.0 == service);
        entries.fold((0, 0), |(requests, refused), entry| {
            (requests + entry.requests, refused + entry.refused)
        })
    };
    let reported = entry
        .control
        .wait_for(|log| sum(log, "assistant") == (3, 0) && sum(log, "desk") == (1, 1));
    timeout(TEST_TIMEOUT, reported)
        .await
        .expect("the demand is reported");
}
