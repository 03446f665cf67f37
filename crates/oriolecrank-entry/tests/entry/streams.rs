//! Streamed answers, with faults of agents, engines and connections.

use bytes::Bytes;
use http_body_util::BodyExt;
use oriolecrank_fakes::{
    AgentCall, AgentStep, FakeAgent, accepted, chunk, end, failed, head, whole_answer,
};
use oriolecrank_schema::data_path::RunVerdict;
use tokio::time::timeout;

use crate::harness::{EntrySetup, GROVE_KEY, TEST_TIMEOUT, TestEntry, completion, scripted};

const EVENTS: &str = "text/event-stream";
const DONE: &str = "data: [DONE]\n\n";

fn event(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
}

/// Events of the tokens `first..last`.
fn tokens(first: usize, last: usize) -> String {
    (first..last)
        .map(|number| event(&format!("t{number} ")))
        .collect()
}

/// The complete answer of six tokens.
fn whole() -> String {
    tokens(0, 6) + DONE
}

fn stream_of(body: &str) -> Vec<AgentStep> {
    whole_answer(200, EVENTS, body)
}

/// An agent whose first run takes the steps `first`. Further runs leave out the tokens that the
/// caller already has, as engines do.
fn continuing(first: Vec<AgentStep>, resumed: Vec<AgentStep>) -> FakeAgent {
    FakeAgent::new(move |call| match call {
        AgentCall::Run { number: 0, .. } => first.clone(),
        AgentCall::Run { request, .. } => {
            stream_of(&(tokens(request.resume_tokens as usize, 6) + DONE))
        }
        AgentCall::Resume { .. } => resumed.clone(),
    })
}

async fn start(agent: FakeAgent) -> TestEntry {
    TestEntry::start(EntrySetup {
        agents: vec![(agent.clone(), "assistant"), (agent, "assistant")],
        ..EntrySetup::default()
    })
    .await
}

/// A fault during the first run.
struct StreamCase {
    name: &'static str,
    /// Steps of the first run.
    first: Vec<AgentStep>,
    /// Steps of the answers to resumptions.
    resumed: Vec<AgentStep>,
    /// Tokens that a second run must leave out; `None` if there must be no second run.
    resume_tokens: Option<u64>,
}

/// Steps until `text` has arrived.
fn begin_with(text: &str) -> Vec<AgentStep> {
    vec![accepted(), head(200, EVENTS), chunk(0, text)]
}

/// Steps until `text` has arrived, and one more.
fn begin_with_then(text: &str, step: AgentStep) -> Vec<AgentStep> {
    let mut steps = begin_with(text);
    steps.push(step);
    steps
}

/// Steps of a resumption after `received`.
fn rest(received: &str) -> Vec<AgentStep> {
    let body = whole();
    vec![
        accepted(),
        head(200, EVENTS),
        chunk(received.len(), &body[received.len()..]),
        end(body.len(), 6),
    ]
}

/// Faults of the connection. The agent still has the answer.
fn connection_faults() -> Vec<StreamCase> {
    let three = tokens(0, 3);
    let cut = &whole()[..three.len() + 20];
    let case = |name, first, resumed| StreamCase {
        name,
        first,
        resumed,
        resume_tokens: None,
    };
    let mut duplicates = begin_with(&three);
    duplicates.extend([
        chunk(0, &three),
        chunk(0, &three[..30]),
        chunk(three.len(), &whole()[three.len()..]),
        end(whole().len(), 6),
    ]);
    vec![
        case("nothing fails", stream_of(&whole()), Vec::new()),
        case(
            "the connection breaks",
            begin_with_then(&three, AgentStep::Break),
            rest(&three),
        ),
        case(
            "the connection goes silent, a new one works",
            begin_with_then(&three, AgentStep::Silence),
            rest(&three),
        ),
        case(
            "the connection breaks within an event",
            begin_with_then(cut, AgentStep::Break),
            rest(cut),
        ),
        case("late duplicate chunks arrive", duplicates, Vec::new()),
    ]
}

/// Faults after which another upstream has to continue the answer.
fn upstream_faults() -> Vec<StreamCase> {
    let three = tokens(0, 3);
    let cut = &whole()[..three.len() + 20];
    let lost = || failed(RunVerdict::MayHaveRun, "upstream_failed");
    let case = |name, first, resume_tokens| StreamCase {
        name,
        first,
        resumed: vec![failed(RunVerdict::MayHaveRun, "answer_unknown")],
        resume_tokens: Some(resume_tokens),
    };
    vec![
        case(
            "the engine crashes between two events",
            begin_with_then(&three, lost()),
            3,
        ),
        case(
            "the engine crashes within an event",
            begin_with_then(cut, lost()),
            3,
        ),
        case(
            "the agent has forgotten the answer",
            begin_with_then(&three, AgentStep::Break),
            3,
        ),
        case(
            "the end marker of the engine is missing",
            begin_with_then(&three, end(three.len(), 3)),
            3,
        ),
        case(
            "the end states fewer bytes than arrived",
            begin_with_then(&three, end(10, 3)),
            3,
        ),
        case(
            "the upstream fails before the first token",
            vec![accepted(), head(200, EVENTS), lost()],
            0,
        ),
    ]
}

/// Guards against answers that end early, or repeat or lose tokens, when something fails in the
/// middle of a stream.
#[tokio::test]
async fn a_stream_arrives_complete_despite_one_fault() {
    for case in connection_faults().into_iter().chain(upstream_faults()) {
        let StreamCase {
            name,
            first,
            resumed,
            resume_tokens,
        } = case;
        let agent = continuing(first, resumed);
        let entry = start(agent.clone()).await;
        let reply = entry.complete(true).await;
        assert_eq!(reply.body, whole(), "{name}");
        assert!(!reply.broken, "{name}");
        let runs = agent.log().runs;
        let second = runs.get(1).map(|(request, _)| request.resume_tokens);
        assert_eq!(second, resume_tokens, "{name}");
        let attempts: Vec<u32> = runs.iter().map(|(request, _)| request.attempt).collect();
        let expected: Vec<u32> = (1..=runs.len() as u32).collect();
        assert_eq!(attempts, expected, "{name}");
    }
}

/// Guards against an incomplete answer without an error when no upstream can send the rest.
#[tokio::test]
async fn a_stream_that_cannot_continue_ends_with_an_error_and_a_broken_connection() {
    let lost = failed(RunVerdict::MayHaveRun, "upstream_failed");
    // Steps of the second and further runs, and the error code that the caller receives.
    let cases: Vec<(&str, Vec<AgentStep>, &str)> = vec![
        (
            "every upstream fails",
            vec![accepted(), lost.clone()],
            "upstream_failed",
        ),
        (
            "the engine cannot resume",
            vec![failed(RunVerdict::NotRun, "resume_unsupported")],
            "resume_unsupported",
        ),
        (
            "the second answer is an error",
            whole_answer(500, "application/json", "{}"),
            "answer_incomplete",
        ),
    ];
    for (name, later, code) in cases {
        let lost = lost.clone();
        let script = move |number: usize| {
            if number == 0 {
                let text = tokens(0, 2);
                vec![accepted(), head(200, EVENTS), chunk(0, &text), lost.clone()]
            } else {
                later.clone()
            }
        };
        let entry = start(scripted(script.clone(), |_| vec![])).await;
        let reply = entry.complete(true).await;
        assert!(reply.body.starts_with(&tokens(0, 2)), "{name}");
        assert!(!reply.body.contains("[DONE]"), "{name}");
        assert_eq!(reply.error("code"), code, "{name}");
        assert_eq!(reply.error("verdict"), "may_have_run", "{name}");
        assert!(reply.broken, "{name}");
    }
}

/// Starts an entry with upstreams of these versions.
async fn start_with_versions(upstreams: &[(&FakeAgent, &'static str)]) -> TestEntry {
    let agents = upstreams.iter();
    let agents = agents.map(|(agent, _)| ((*agent).clone(), "assistant"));
    let versions: Vec<_> = upstreams.iter().map(|(_, version)| *version).collect();
    TestEntry::start(EntrySetup {
        agents: agents.collect(),
        control: Box::new(move |script| {
            for (upstream, version) in script.upstreams.iter_mut().zip(versions) {
                upstream.version = Some(version.to_owned());
            }
        }),
        ..EntrySetup::default()
    })
    .await
}

/// Guards against an answer that goes on at an upstream of another version than the one that began
/// it, and against one that does not go on although an upstream of its version is left.
#[tokio::test]
async fn an_answer_continues_at_its_version_only() {
    let lost = failed(RunVerdict::MayHaveRun, "upstream_failed");
    let interrupted = begin_with_then(&tokens(0, 3), lost);
    // Each upstream loses an answer that begins, and goes on with one that was lost.
    let agent = || {
        let interrupted = interrupted.clone();
        FakeAgent::new(move |call| match call {
            AgentCall::Run { request, .. } if request.resume_tokens > 0 => {
                stream_of(&(tokens(request.resume_tokens as usize, 6) + DONE))
            }
            AgentCall::Run { .. } => interrupted.clone(),
            AgentCall::Resume { .. } => vec![failed(RunVerdict::MayHaveRun, "answer_unknown")],
        })
    };
    for _ in 0..4 {
        let (old, new, newer) = (agent(), agent(), agent());
        let entry = start_with_versions(&[(&old, "v1"), (&new, "v2"), (&newer, "v2")]).await;
        let reply = entry.complete(true).await;
        assert_eq!(reply.body, whole());
        let at_old = !old.log().runs.is_empty();
        let at_new = !new.log().runs.is_empty() || !newer.log().runs.is_empty();
        assert!(at_old != at_new, "one answer ran at two versions");
    }
}

/// Guards against a continued answer that repeats the event that opens the message.
#[tokio::test]
async fn a_continued_stream_opens_its_message_once() {
    let open = "data: {\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\"}}]}\n\n";
    let agent = FakeAgent::new(move |call| match call {
        AgentCall::Run { number: 0, .. } => vec![
            accepted(),
            head(200, EVENTS),
            chunk(0, &(open.to_owned() + &tokens(0, 2))),
            failed(RunVerdict::MayHaveRun, "upstream_failed"),
        ],
        AgentCall::Run { .. } => stream_of(&(open.to_owned() + &tokens(2, 6) + DONE)),
        AgentCall::Resume { .. } => vec![],
    });
    let entry = start(agent).await;
    let reply = entry.complete(true).await;
    assert_eq!(reply.body, open.to_owned() + &whole());
}

/// Guards against an answer that fills the memory of the entry when its caller reads slowly: the
/// entry must then stop reading from the agent.
#[tokio::test]
async fn backpressure_of_a_caller_reaches_the_agent() {
    const CHUNK: usize = 256 * 1024;
    const CHUNKS: usize = 256;
    let line = format!(
        "data: {{\"choices\":[{{\"delta\":{{\"content\":\"{}\"}}}}]}}\n\n",
        "x".repeat(CHUNK)
    );
    let length = line.len();
    let agent = scripted(
        move |_| {
            let mut steps = vec![accepted(), head(200, EVENTS)];
            steps.extend((0..CHUNKS).map(|number| chunk(number * length, &line)));
            steps.push(chunk(CHUNKS * length, DONE));
            steps.push(end(CHUNKS * length + DONE.len(), CHUNKS as u64));
            steps
        },
        |_| vec![],
    );
    let entry = TestEntry::start(EntrySetup {
        agents: vec![(agent.clone(), "assistant")],
        ..EntrySetup::default()
    })
    .await;
    let mut response = entry.open(completion(GROVE_KEY, true)).await;
    // Acknowledgements show how much the entry has read; while the caller reads nothing, they stop
    // far below the length of the answer.
    let early = agent.wait_for(|log| log.acks.iter().any(|ack| ack.offset > 1024 * 1024));
    timeout(TEST_TIMEOUT, early)
        .await
        .expect("the entry acknowledges what it has read");
    let acknowledged = |agent: &FakeAgent| {
        let acks = agent.log().acks;
        acks.iter().map(|ack| ack.offset).max().unwrap_or_default()
    };
    assert!(acknowledged(&agent) < (CHUNKS * length) as u64 / 2);
    let mut received = 0;
    while let Some(frame) = response.body_mut().frame().await {
        received += frame
            .unwrap()
            .into_data()
            .map_or(0, |data: Bytes| data.len());
    }
    assert_eq!(received, CHUNKS * length + DONE.len());
}

/// Guards against an engine that keeps generating after the caller has closed the stream.
#[tokio::test]
async fn a_caller_that_closes_a_stream_cancels_its_call() {
    let agent = scripted(
        |_| {
            let text = tokens(0, 1);
            vec![
                accepted(),
                head(200, EVENTS),
                chunk(0, &text),
                AgentStep::Gate,
            ]
        },
        |_| vec![],
    );
    let entry = TestEntry::start(EntrySetup {
        agents: vec![(agent.clone(), "assistant")],
        ..EntrySetup::default()
    })
    .await;
    let mut response = entry.open(completion(GROVE_KEY, true)).await;
    response.body_mut().frame().await.unwrap().unwrap();
    drop(response);
    let cancelled = agent.wait_for(|log| log.cancels.len() == 1);
    timeout(TEST_TIMEOUT, cancelled)
        .await
        .expect("the call is cancelled");
}
