//! Agents that refuse requests because their upstream has asked for a pause.

use std::time::{Duration, Instant};

use bytes::Bytes;
use oriolecrank_fakes::{AgentCall, AgentStep, FakeAgent, whole_answer};
use oriolecrank_schema::data_path::{RunEvent, RunVerdict};

use crate::harness::{EntrySetup, GROVE_KEY, TestEntry, completion};

/// Pause that the upstreams ask for; longer than each test.
const PAUSE: Duration = Duration::from_mins(1);

/// Calls of each test, one after the other.
const CALLS: usize = 20;

/// Longest time to a refusal that needs no agent.
const REFUSAL_LIMIT: Duration = Duration::from_millis(500);

/// An agent that refuses all calls because of a pause.
fn paused_agent() -> FakeAgent {
    FakeAgent::new(|_: &AgentCall| {
        let event = RunEvent::Failed {
            code: "upstream_paused".to_owned(),
            message: "the upstream asks for a pause".to_owned(),
            output_tokens: 0,
            retry_after_ms: Some(PAUSE.as_millis() as u64),
            verdict: RunVerdict::NotRun,
        };
        vec![AgentStep::Frame(event, Bytes::new())]
    })
}

fn serving_agent() -> FakeAgent {
    FakeAgent::new(|_: &AgentCall| whole_answer(200, "application/json", "{}"))
}

/// Guards against calls to an agent whose upstream rests, and against calls that fail although
/// another upstream has room.
#[tokio::test]
async fn calls_go_to_another_upstream_during_a_pause() {
    let entry = TestEntry::start(EntrySetup {
        agents: vec![
            (paused_agent(), "assistant"),
            (serving_agent(), "assistant"),
        ],
        ..EntrySetup::default()
    })
    .await;
    for number in 0..CALLS {
        let reply = entry.complete(false).await;
        assert_eq!(reply.status, 200, "call {number}: {}", reply.body);
    }
    let runs = entry.agents[0].log().runs.len();
    assert!(runs <= 1, "the paused agent got {runs} calls");
}

/// Guards against calls that are sent, or that wait, although all upstreams rest, and against callers
/// that are told too early a time.
#[tokio::test]
async fn calls_are_refused_at_once_if_all_upstreams_pause() {
    let entry = TestEntry::start(EntrySetup {
        agents: vec![(paused_agent(), "assistant"), (paused_agent(), "assistant")],
        ..EntrySetup::default()
    })
    .await;
    for number in 0..CALLS {
        let asked_at = Instant::now();
        let reply = entry.complete(false).await;
        let elapsed = asked_at.elapsed();
        assert_eq!(reply.status, 503, "call {number}: {}", reply.body);
        assert_eq!(reply.error("verdict"), "not_run");
        assert!(elapsed < REFUSAL_LIMIT, "refused after {elapsed:?}");
        let wait = reply.headers["retry-after"].to_str().expect("a number");
        let wait: u64 = wait.parse().expect("a number of seconds");
        assert!(wait >= 40, "call {number}: {wait} s were told");
    }
    for agent in &entry.agents {
        let runs = agent.log().runs.len();
        assert!(runs <= 1, "a paused agent got {runs} calls");
    }
}

/// Guards against a hedge of a slow call that is sent to an agent whose upstream rests.
#[tokio::test]
async fn a_slow_call_is_not_hedged_at_a_paused_upstream() {
    /// Answers after which the hedging policy has enough samples of first-byte times.
    const SAMPLES: usize = 40;
    let slow = FakeAgent::new(|call: &AgentCall| {
        let mut steps = whole_answer(200, "application/json", "{}");
        if matches!(call, AgentCall::Run { number, .. } if *number == SAMPLES) {
            steps.insert(1, AgentStep::Gate);
        }
        steps
    });
    let entry = TestEntry::start(EntrySetup {
        agents: vec![(slow.clone(), "assistant"), (paused_agent(), "assistant")],
        ..EntrySetup::default()
    })
    .await;
    let urgent = || {
        let body = "{\"model\":\"olive-7b\",\"priority\":\"urgent\",\"messages\":[]}";
        completion(GROVE_KEY, false).body(body)
    };
    for _ in 0..SAMPLES {
        assert_eq!(entry.send(urgent()).await.status, 200);
    }
    let paused = &entry.agents[1];
    assert_eq!(paused.log().runs.len(), 1, "the pause is known");
    let open_gate = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        slow.open_gate();
    };
    let (reply, ()) = tokio::join!(entry.send(urgent()), open_gate);
    assert_eq!(reply.status, 200);
    assert_eq!(paused.log().runs.len(), 1, "a hedge was sent");
}
