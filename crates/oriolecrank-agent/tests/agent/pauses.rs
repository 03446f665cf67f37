//! Upstreams that answer 503 with `Retry-After`: their agent sends them nothing for that time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::{AnswerBody, BodyAborted, HttpHandler, read_body, text_answer};
use oriolecrank_schema::control::Command;
use oriolecrank_schema::data_path::{ClaimTicket, RunEvent, RunRequest, RunVerdict};
use tokio::time::{Instant, sleep};

use crate::support::{ReceivedAnswer, TestAgent, eventually, failure_code, read_answer};

/// Pause that the upstream asks for, in seconds.
const PAUSE_SECONDS: u64 = 2;

/// Prompt that takes over half of the memory of the upstream, so that a second one waits.
const LARGE_PROMPT: u64 = 40_000;

/// What the upstream does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpstreamMode {
    /// Answers 200.
    Serves,
    /// Answers 503 with `Retry-After` after some time.
    Refuses(Duration),
    /// Breaks the connection of the request after some time.
    Crashes(Duration),
}

/// An upstream whose mode tests set.
#[derive(Debug, Clone)]
struct PausingUpstream {
    mode: Arc<Mutex<UpstreamMode>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl PausingUpstream {
    fn new(mode: UpstreamMode) -> Self {
        Self {
            mode: Arc::new(Mutex::new(mode)),
            arrivals: Arc::default(),
        }
    }

    fn set_mode(&self, mode: UpstreamMode) {
        *self.mode.lock().unwrap() = mode;
    }

    fn arrivals(&self) -> usize {
        self.arrivals.lock().unwrap().len()
    }
}

impl HttpHandler for PausingUpstream {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        self.arrivals.lock().unwrap().push(Instant::now());
        let mode = *self.mode.lock().unwrap();
        read_body(request.into_body(), 1 << 20).await.unwrap();
        match mode {
            UpstreamMode::Serves => text_answer(StatusCode::OK, "served".to_owned()),
            UpstreamMode::Refuses(delay) => {
                sleep(delay).await;
                let unavailable = StatusCode::SERVICE_UNAVAILABLE;
                let mut answer = text_answer(unavailable, "unavailable".to_owned());
                let fields = answer.headers_mut();
                fields.insert(RETRY_AFTER, HeaderValue::from(PAUSE_SECONDS));
                answer
            }
            UpstreamMode::Crashes(delay) => {
                sleep(delay).await;
                let (sender, body) = AnswerBody::stream();
                tokio::spawn(async move { sender.send(Err(BodyAborted)).await });
                Response::new(body)
            }
        }
    }
}

fn request(agent: &TestAgent, id: &str, prompt_tokens: u64) -> RunRequest {
    RunRequest {
        stream: false,
        prompt_tokens,
        ..agent.request(id)
    }
}

async fn run(agent: &TestAgent, id: &str, prompt_tokens: u64) -> ReceivedAnswer {
    let request = request(agent, id, prompt_tokens);
    let mut reader = agent.run(&request, b"{}").await;
    read_answer(&mut reader, 0).await
}

/// Checks that a request was refused without running, with which code, and until when.
fn assert_refused(answer: &ReceivedAnswer, expected_code: &str) {
    let RunEvent::Failed {
        code,
        verdict,
        retry_after_ms,
        ..
    } = &answer.last
    else {
        panic!("{answer:?}")
    };
    assert_eq!(
        (code.as_str(), *verdict),
        (expected_code, RunVerdict::NotRun)
    );
    let wait = retry_after_ms.expect("a time to come back");
    assert!((1..=PAUSE_SECONDS * 1_000).contains(&wait), "{wait} ms");
}

fn assert_paused(answer: &ReceivedAnswer) {
    assert_refused(answer, "upstream_paused");
}

/// Guards against requests that an agent sends to an upstream that rests, and against a pause that
/// does not end.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_upstream_gets_no_requests_until_the_pause_ends() {
    let upstream = PausingUpstream::new(UpstreamMode::Refuses(Duration::ZERO));
    let agent = TestAgent::start(upstream.clone()).await;
    let answer = run(&agent, "first", 4).await;
    assert!(matches!(answer.last, RunEvent::End { .. }), "{answer:?}");
    assert_eq!(answer.body, b"unavailable");
    let asked_at = Instant::now();
    upstream.set_mode(UpstreamMode::Serves);
    for number in 0..10 {
        assert_paused(&run(&agent, &format!("paused-{number}"), 4).await);
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(upstream.arrivals(), 1, "only the first request was sent");
    sleep(Duration::from_secs(PAUSE_SECONDS).saturating_sub(asked_at.elapsed())).await;
    let answer = run(&agent, "later", 4).await;
    assert_eq!(answer.body, b"served");
}

/// Guards against requests that wait in the queue until their deadline although other upstreams could
/// take them.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_are_given_back_when_a_pause_begins() {
    let delay = Duration::from_millis(200);
    let upstream = PausingUpstream::new(UpstreamMode::Refuses(delay));
    let agent = TestAgent::start(upstream.clone()).await;
    let first = request(&agent, "first", LARGE_PROMPT);
    let mut first = agent.run(&first, b"{}").await;
    let upstream_arrivals = || (upstream.arrivals() == 1).then_some(());
    eventually(upstream_arrivals).await;
    let sent_at = Instant::now();
    assert_paused(&run(&agent, "waiting", LARGE_PROMPT).await);
    assert!(sent_at.elapsed() < Duration::from_secs(1));
    assert_eq!(read_answer(&mut first, 0).await.body, b"unavailable");
    assert_eq!(upstream.arrivals(), 1, "only the first request was sent");
}

/// Guards against a pause that outlives the incarnation of the upstream that asked for it.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_has_crashed_asks_for_no_pause() {
    let upstream = PausingUpstream::new(UpstreamMode::Crashes(Duration::from_millis(300)));
    let agent = TestAgent::start(upstream.clone()).await;
    let crashing = request(&agent, "crashing", 4);
    let mut crashing = agent.run(&crashing, b"{}").await;
    eventually(|| (upstream.arrivals() == 1).then_some(())).await;
    upstream.set_mode(UpstreamMode::Refuses(Duration::ZERO));
    run(&agent, "refused", 4).await;
    upstream.set_mode(UpstreamMode::Serves);
    assert_paused(&run(&agent, "paused", 4).await);
    let crashed = read_answer(&mut crashing, 0).await;
    assert_eq!(failure_code(&crashed.last), Some("upstream_crashed"));
    let answer = run(&agent, "later", 4).await;
    assert_eq!(answer.body, b"served");
}

/// Guards against a claimed call that stays with an agent whose upstream rests, so that no other may
/// run it.
#[tokio::test(flavor = "multi_thread")]
async fn a_claimed_call_is_given_back_during_a_pause() {
    let upstream = PausingUpstream::new(UpstreamMode::Refuses(Duration::ZERO));
    let agent = TestAgent::start(upstream.clone()).await;
    run(&agent, "first", 4).await;
    let claim = ClaimTicket {
        claim_id: 9,
        incarnation: agent.incarnation,
        upstream: "upstream-1".to_owned().into(),
    };
    let claimed = RunRequest {
        claim: Some(claim),
        ..request(&agent, "claimed", 4)
    };
    let mut reader = agent.run(&claimed, b"{}").await;
    assert_refused(&read_answer(&mut reader, 0).await, "claim_refused");
    let is_release =
        |command: &Command| matches!(command, Command::ReleaseClaim { claim_id: 9, .. });
    let released = || {
        agent
            .control
            .commands()
            .iter()
            .any(is_release)
            .then_some(())
    };
    eventually(released).await;
    assert_eq!(upstream.arrivals(), 1, "only the first request was sent");
}
