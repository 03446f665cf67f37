//! Answers that are not streamed, with faults of agents and connections.

use http::Method;
use oriolecrank_fakes::{AgentStep, FakeAgent, accepted, chunk, end, failed, head, whole_answer};
use oriolecrank_schema::data_path::{RunEvent, RunFrame, RunVerdict};

use crate::harness::{
    CallerRequest, EntrySetup, GROVE_KEY, TestEntry, answering, booking, scripted,
};

const JSON: &str = "application/json";
const COMPLETE_BODY: &str = "{\"answer\":\"yes\"}";

/// An entry with two upstreams of `assistant` that share one agent.
async fn start(agent: FakeAgent) -> TestEntry {
    TestEntry::start(EntrySetup {
        agents: vec![(agent.clone(), "assistant"), (agent, "assistant")],
        ..EntrySetup::default()
    })
    .await
}

/// A chunk that belongs to the given request and attempt.
fn foreign(request_id: &str, attempt: u32) -> AgentStep {
    let frame = RunFrame {
        attempt,
        event: RunEvent::Chunk { offset: 0 },
        request_id: request_id.to_owned().into(),
    };
    AgentStep::ForeignFrame(frame, "{\"answer\":\"no!\"}".into())
}

/// A fault during the first run.
struct FaultCase {
    name: &'static str,
    /// Steps of the first run; further runs answer without a fault.
    first: Vec<AgentStep>,
    /// Steps of the answers to resumptions.
    resumed: Vec<AgentStep>,
}

/// Steps until the first half of the body has arrived.
fn half() -> Vec<AgentStep> {
    vec![accepted(), head(200, JSON), chunk(0, &COMPLETE_BODY[..5])]
}

fn half_then(step: AgentStep) -> Vec<AgentStep> {
    let mut steps = half();
    steps.push(step);
    steps
}

/// The rest of the body after a resumption.
fn rest() -> Vec<AgentStep> {
    vec![
        accepted(),
        head(200, JSON),
        chunk(5, &COMPLETE_BODY[5..]),
        end(COMPLETE_BODY.len(), 3),
    ]
}

fn faults_before_the_body() -> Vec<FaultCase> {
    let case = |name, first| FaultCase {
        name,
        first,
        resumed: Vec::new(),
    };
    let lost = failed(RunVerdict::MayHaveRun, "upstream_failed");
    vec![
        case(
            "refused before it ran",
            vec![failed(RunVerdict::NotRun, "queue_full")],
        ),
        case(
            "the upstream is draining",
            vec![failed(RunVerdict::NotRun, "upstream_leaving")],
        ),
        case(
            "the agent answers with an error status",
            vec![AgentStep::Status(http::StatusCode::INTERNAL_SERVER_ERROR)],
        ),
        case("failed after it ran", vec![accepted(), lost]),
        case(
            "the connection breaks before the request was accepted",
            vec![AgentStep::Break],
        ),
        case(
            "the connection stays silent before the request was accepted",
            vec![AgentStep::Silence],
        ),
    ]
}

fn faults_in_the_body() -> Vec<FaultCase> {
    let case = |name, first, resumed| FaultCase {
        name,
        first,
        resumed,
    };
    vec![
        case(
            "the connection breaks and the rest is lost",
            half_then(AgentStep::Break),
            vec![failed(RunVerdict::MayHaveRun, "answer_unknown")],
        ),
        case(
            "the connection breaks and the rest can be resumed",
            half_then(AgentStep::Break),
            rest(),
        ),
        case(
            "the end states more bytes than arrived",
            half_then(end(COMPLETE_BODY.len(), 3)),
            rest(),
        ),
        case(
            "the end states fewer bytes than arrived",
            half_then(end(3, 3)),
            Vec::new(),
        ),
        case(
            "the body begins with a gap",
            vec![
                accepted(),
                head(200, JSON),
                chunk(5, &COMPLETE_BODY[5..]),
                end(COMPLETE_BODY.len(), 3),
            ],
            whole_answer(200, JSON, COMPLETE_BODY),
        ),
        case(
            "a chunk of another request arrives",
            vec![accepted(), head(200, JSON), foreign("other", 1)],
            whole_answer(200, JSON, COMPLETE_BODY),
        ),
        case(
            "the head changes after a resumption",
            half_then(AgentStep::Break),
            vec![accepted(), head(201, JSON)],
        ),
    ]
}

/// Guards against a call that fails although another upstream or a new connection could answer it,
/// and against an incomplete answer, or one of another request, that is sent as complete.
#[tokio::test]
async fn an_idempotent_call_is_answered_despite_one_fault() {
    let cases = faults_before_the_body()
        .into_iter()
        .chain(faults_in_the_body());
    for case in cases {
        let name = case.name;
        let agent = scripted(
            move |number| {
                if number == 0 {
                    case.first.clone()
                } else {
                    whole_answer(200, JSON, COMPLETE_BODY)
                }
            },
            move |_| case.resumed.clone(),
        );
        let entry = start(agent).await;
        let reply = entry.complete(false).await;
        assert_eq!(reply.status, 200, "{name}: {}", reply.body);
        assert_eq!(reply.body, COMPLETE_BODY, "{name}");
        assert!(!reply.broken, "{name}");
    }
}

/// Guards against mixed answers of two attempts of one request: frames of the first attempt that
/// arrive during the second one must not reach the caller.
#[tokio::test]
async fn late_frames_of_an_earlier_attempt_do_not_reach_the_caller() {
    let agent = FakeAgent::new(|call| match call {
        oriolecrank_fakes::AgentCall::Run { number: 0, .. } => {
            vec![
                accepted(),
                failed(RunVerdict::MayHaveRun, "upstream_failed"),
            ]
        }
        oriolecrank_fakes::AgentCall::Run { request, .. } => {
            vec![accepted(), head(200, JSON), foreign(&request.request_id, 1)]
        }
        oriolecrank_fakes::AgentCall::Resume { .. } => whole_answer(200, JSON, COMPLETE_BODY),
    });
    let entry = start(agent).await;
    let reply = entry.complete(false).await;
    assert_eq!((reply.status.as_u16(), &*reply.body), (200, COMPLETE_BODY));
}

/// Guards against a call that fails because one agent is down while another one is running.
#[tokio::test]
async fn a_dead_agent_is_passed_over() {
    let entry = start(answering(JSON, COMPLETE_BODY)).await;
    entry.agent_servers[0].kill();
    for _ in 0..4 {
        let reply = entry.complete(false).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
}

/// Guards against a caller that waits forever, or is told "not run", when an answer is lost.
#[tokio::test]
async fn a_call_whose_attempts_all_fail_after_running_may_have_run() {
    let lost = || {
        vec![
            accepted(),
            failed(RunVerdict::MayHaveRun, "upstream_failed"),
        ]
    };
    let entry = start(scripted(move |_| lost(), |_| vec![])).await;
    let reply = entry.complete(false).await;
    let expected = (502, "upstream_failed".to_owned(), "may_have_run".to_owned());
    assert_eq!(reply.refusal(), expected);
}

/// Guards against a verdict "not run" although an earlier attempt may have run.
#[tokio::test]
async fn a_refusal_after_a_lost_attempt_does_not_say_not_run() {
    let script = |number: usize| {
        if number == 0 {
            vec![
                accepted(),
                failed(RunVerdict::MayHaveRun, "upstream_failed"),
            ]
        } else {
            vec![failed(RunVerdict::NotRun, "queue_full")]
        }
    };
    let entry = start(scripted(script, |_| vec![])).await;
    let reply = entry.complete(false).await;
    assert_eq!(reply.error("verdict"), "may_have_run");
}

/// Guards against a refusal without a retry-after header.
#[tokio::test]
async fn a_call_that_no_agent_ran_is_refused_with_not_run_and_a_retry_delay() {
    let refusal = || vec![failed(RunVerdict::NotRun, "queue_full")];
    let entry = start(scripted(move |_| refusal(), |_| vec![])).await;
    let reply = entry.complete(false).await;
    let expected = (503, "queue_full".to_owned(), "not_run".to_owned());
    assert_eq!(reply.refusal(), expected);
    assert!(reply.headers.contains_key("retry-after"));
}

/// Guards against a second run of a non-idempotent call without an idempotency key.
#[tokio::test]
async fn a_call_without_idempotency_key_is_not_sent_again_once_it_may_have_run() {
    let cases: Vec<(&str, Vec<AgentStep>)> = vec![
        (
            "failed after it was accepted",
            vec![
                accepted(),
                failed(RunVerdict::MayHaveRun, "upstream_failed"),
            ],
        ),
        ("the connection breaks", vec![AgentStep::Break]),
        ("the connection stays silent", vec![AgentStep::Silence]),
        (
            "the answer breaks off",
            vec![accepted(), head(201, JSON), chunk(0, "{"), AgentStep::Break],
        ),
    ];
    for (name, steps) in cases {
        let agent = scripted(
            move |_| steps.clone(),
            |_| vec![failed(RunVerdict::MayHaveRun, "answer_unknown")],
        );
        let entry = TestEntry::start(EntrySetup {
            agents: vec![(agent.clone(), "desk"), (agent.clone(), "desk")],
            ..EntrySetup::default()
        })
        .await;
        let reply = entry.send(booking(None)).await;
        assert_eq!(reply.status, 502, "{name}: {}", reply.body);
        assert_eq!(reply.error("verdict"), "may_have_run", "{name}");
        assert_eq!(agent.log().runs.len(), 1, "{name}");
    }
}

/// Guards against a booking that fails although the agent refused it before running it.
#[tokio::test]
async fn a_call_without_idempotency_key_is_sent_to_another_upstream_if_it_has_not_run() {
    let script = |number: usize| {
        if number == 0 {
            vec![failed(RunVerdict::NotRun, "upstream_leaving")]
        } else {
            whole_answer(201, JSON, COMPLETE_BODY)
        }
    };
    let agent = scripted(script, |_| vec![]);
    let entry = TestEntry::start(EntrySetup {
        agents: vec![(agent.clone(), "desk"), (agent.clone(), "desk")],
        ..EntrySetup::default()
    })
    .await;
    let reply = entry.send(booking(None)).await;
    assert_eq!((reply.status.as_u16(), &*reply.body), (201, COMPLETE_BODY));
    assert_eq!(agent.log().runs.len(), 2);
}

/// Guards against an attempt that continues after its caller has disconnected.
#[tokio::test]
async fn a_caller_that_disconnects_cancels_its_call() {
    let agent = scripted(|_| vec![accepted(), AgentStep::Gate], |_| vec![]);
    let entry = TestEntry::start(EntrySetup {
        agents: vec![(agent.clone(), "assistant")],
        ..EntrySetup::default()
    })
    .await;
    let request = crate::harness::completion(GROVE_KEY, false).build(entry.address);
    let client = entry.client.clone();
    let address = entry.address;
    let call = tokio::spawn(async move {
        let _ = client
            .send(address, request, crate::harness::TEST_TIMEOUT)
            .await;
    });
    agent.wait_for(|log| log.runs.len() == 1).await;
    call.abort();
    let cancelled = agent.wait_for(|log| log.cancels.len() == 1);
    let log = tokio::time::timeout(crate::harness::TEST_TIMEOUT, cancelled)
        .await
        .expect("the call is cancelled");
    assert_eq!(log.cancels[0].request_id, log.runs[0].0.request_id);
}

/// Guards against equal reads that are each sent to the service, and against an organisation that
/// receives the answer to a read of another one.
#[tokio::test]
async fn equal_reads_of_one_organisation_share_a_call() {
    let agent = scripted(
        |_| {
            let mut steps = vec![accepted(), AgentStep::Gate];
            steps.extend(whole_answer(200, "text/plain", "room 7 is vacant"));
            steps
        },
        |_| vec![],
    );
    let mut document = crate::harness::document();
    document.organisations[1].services.clear();
    let entry = TestEntry::start(EntrySetup {
        document,
        agents: vec![(agent.clone(), "desk")],
        ..EntrySetup::default()
    })
    .await;
    let read = |key: &str| CallerRequest::new(Method::GET, "/services/desk/status?room=7").key(key);
    let open_gate = async {
        agent.wait_for(|log| log.runs.len() >= 2).await;
        entry
            .wait_for_metric("oriolecrank_entry_coalesced_total", 1.0)
            .await;
        agent.open_gate();
    };
    let (one, two, other, ()) = tokio::join!(
        entry.send(read(GROVE_KEY)),
        entry.send(read(GROVE_KEY)),
        entry.send(read(crate::harness::PRESS_KEY)),
        open_gate
    );
    for reply in [one, two, other] {
        assert_eq!(
            (reply.status.as_u16(), &*reply.body),
            (200, "room 7 is vacant")
        );
    }
    let mut organisations: Vec<_> = agent
        .log()
        .runs
        .iter()
        .map(|(request, _)| request.organisation.clone())
        .collect();
    organisations.sort();
    assert_eq!(organisations, ["grove", "press"]);
}

/// Guards against an urgent call that waits for one slow upstream, and against a slower attempt
/// that continues after the other attempt has answered.
#[tokio::test]
async fn a_slow_urgent_call_is_hedged_and_the_slower_attempt_cancelled() {
    /// Answers after which the hedging policy has enough samples of first-byte times.
    const SAMPLES: usize = 25;
    let agent = scripted(
        |number| {
            let mut steps = whole_answer(200, JSON, COMPLETE_BODY);
            if number == SAMPLES {
                steps.insert(1, AgentStep::Gate);
            }
            steps
        },
        |_| vec![],
    );
    let entry = start(agent.clone()).await;
    let urgent = || {
        let body = "{\"model\":\"olive-7b\",\"priority\":\"urgent\",\"messages\":[]}";
        crate::harness::completion(GROVE_KEY, false).body(body)
    };
    for _ in 0..=SAMPLES {
        let reply = entry.send(urgent()).await;
        assert_eq!((reply.status.as_u16(), &*reply.body), (200, COMPLETE_BODY));
    }
    let cancelled = agent.wait_for(|log| !log.cancels.is_empty());
    let log = tokio::time::timeout(crate::harness::TEST_TIMEOUT, cancelled)
        .await
        .expect("the slower attempt is cancelled");
    let (slow, hedge) = (&log.runs[SAMPLES].0, &log.runs[SAMPLES + 1].0);
    assert_eq!(slow.request_id, hedge.request_id);
    assert_eq!((slow.attempt, hedge.attempt), (1, 2));
    assert_eq!(log.cancels[0].request_id, slow.request_id);
    assert_eq!(log.cancels[0].attempt, 1);
}
