//! Answers of a whole agent process over TCP.

use oriolecrank_fakes::{EngineOptions, FakeEngine};
use oriolecrank_schema::codec;
use oriolecrank_schema::data_path::{AckRequest, ResumeRequest, RunEvent, RunVerdict};
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::support::{
    TestAgent, completion_body, eventually, failure_code, next_frame, read_answer,
};

fn resume_request(id: &str, offset: u64) -> bytes::Bytes {
    let request = ResumeRequest {
        attempt: 1,
        offset,
        request_id: id.to_owned().into(),
    };
    codec::encode(&request).into()
}

/// Guards against an agent that loses bytes or tokens of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn forwards_the_whole_answer_with_its_usage() {
    let agent = TestAgent::start(FakeEngine::default()).await;
    let mut reader = agent
        .run(&agent.request("a"), &completion_body("hello", 5))
        .await;
    let answer = read_answer(&mut reader, 0).await;
    let RunEvent::End { length, usage, .. } = answer.last else {
        panic!("{:?}", answer.last)
    };
    assert_eq!(length, answer.body.len() as u64);
    assert_eq!(usage.output_tokens, 5);
    assert!(answer.body.ends_with(b"data: [DONE]\n\n"));
}

/// Guards against an answer that cannot be resumed after its connection stalled.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_connection_resumes_at_its_offset() {
    let agent = TestAgent::start(FakeEngine::default()).await;
    let whole = agent.complete("a", "x", 8).await;
    let resumed = read_answer(
        &mut agent.send("/v1/resume", resume_request("a", 40)).await,
        40,
    )
    .await;
    assert_eq!(resumed.body, whole.body[40..]);
    assert_eq!(resumed.last, whole.last);
}

/// Guards against losing an answer while the entry reconnects in the middle of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_connection_does_not_stop_the_answer() {
    let options = EngineOptions {
        between_tokens: Duration::from_millis(20),
        ..EngineOptions::default()
    };
    let agent = TestAgent::start(FakeEngine::new(options)).await;
    let mut reader = agent
        .run(&agent.request("a"), &completion_body("x", 10))
        .await;
    next_frame(&mut reader).await;
    drop(reader);
    let answer = read_answer(
        &mut agent.send("/v1/resume", resume_request("a", 0)).await,
        0,
    )
    .await;
    assert!(
        matches!(answer.last, RunEvent::End { .. }),
        "{:?}",
        answer.last
    );
}

/// Guards against returning wrong bytes for an offset that the entry has acknowledged and the agent
/// has freed.
#[tokio::test(flavor = "multi_thread")]
async fn an_acknowledged_offset_is_not_available() {
    let agent = TestAgent::start(FakeEngine::default()).await;
    agent.complete("a", "x", 8).await;
    let ack = AckRequest {
        attempt: 1,
        complete: false,
        offset: 30,
        request_id: "a".to_owned().into(),
    };
    send_expecting_empty_answer(&agent, "/v1/ack", codec::encode(&ack)).await;
    let answer = read_answer(
        &mut agent.send("/v1/resume", resume_request("a", 10)).await,
        10,
    )
    .await;
    assert_eq!(failure_code(&answer.last), Some("offset_unavailable"));
}

async fn send_expecting_empty_answer(agent: &TestAgent, path: &str, body: Vec<u8>) {
    let mut reader = agent.send(path, body.into()).await;
    assert!(next_frame(&mut reader).await.is_none());
}

/// Guards against an answer that is truncated without an error: the engine ends the stream without
/// its end marker.
#[tokio::test(flavor = "multi_thread")]
async fn a_missing_end_marker_fails_the_attempt() {
    let engine = FakeEngine::default();
    engine
        .faults()
        .omit_end_marker
        .store(true, Ordering::SeqCst);
    let agent = TestAgent::start(engine).await;
    let answer = agent.complete("a", "x", 3).await;
    let RunEvent::Failed {
        verdict,
        output_tokens,
        ..
    } = answer.last
    else {
        panic!()
    };
    assert_eq!((verdict, output_tokens), (RunVerdict::MayHaveRun, 3));
}

/// Guards against a graceful shutdown that cuts off a running answer or accepts new requests.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_finishes_running_answers_and_refuses_new_ones() {
    let options = EngineOptions {
        between_tokens: Duration::from_millis(30),
        ..EngineOptions::default()
    };
    let engine = FakeEngine::new(options);
    let agent = TestAgent::start(engine.clone()).await;
    let mut reader = agent
        .run(&agent.request("a"), &completion_body("x", 20))
        .await;
    eventually(|| (engine.calls() == 1).then_some(())).await;
    agent.trigger_shutdown();
    let control = agent.control.clone();
    eventually(|| announced_leaving(&control).then_some(())).await;
    let refused = agent.complete("b", "x", 1).await;
    let RunEvent::Failed { verdict, code, .. } = refused.last else {
        panic!()
    };
    assert_eq!(
        (verdict, code.as_str()),
        (RunVerdict::NotRun, "upstream_leaving")
    );
    let answer = read_answer(&mut reader, 0).await;
    assert!(
        matches!(answer.last, RunEvent::End { .. }),
        "{:?}",
        answer.last
    );
    agent.shut_down().await;
    assert_eq!(engine.calls(), 1);
}

fn announced_leaving(control: &crate::support::RecordingControl) -> bool {
    use oriolecrank_schema::control::{Command, UpstreamPhase};
    control.commands().iter().any(|command| {
        matches!(command, Command::Announce { record, .. } if record.phase == UpstreamPhase::Leaving)
    })
}

/// Guards against an answer that waits forever because its connection to the engine stalled in the
/// middle, while new connections work.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_engine_connection_fails_the_attempt() {
    let engine = FakeEngine::default();
    engine
        .faults()
        .silent_after_tokens
        .store(3, Ordering::SeqCst);
    let agent = TestAgent::start(engine.clone()).await;
    let answer = agent.complete("a", "x", 8).await;
    let RunEvent::Failed {
        verdict,
        output_tokens,
        ..
    } = answer.last
    else {
        panic!()
    };
    assert_eq!((verdict, output_tokens), (RunVerdict::MayHaveRun, 3));
    engine
        .faults()
        .silent_after_tokens
        .store(0, Ordering::SeqCst);
    let second = agent.complete("b", "x", 8).await;
    assert!(
        matches!(second.last, RunEvent::End { .. }),
        "{:?}",
        second.last
    );
}

/// Guards against mistaking a long prefill for a stalled connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_prefill_does_not_fail_the_attempt() {
    let first_token = Duration::from_millis(2_500);
    let agent = TestAgent::start(FakeEngine::new(EngineOptions {
        first_token,
        ..EngineOptions::default()
    }))
    .await;
    let answer = agent.complete("a", "x", 3).await;
    assert!(
        matches!(answer.last, RunEvent::End { .. }),
        "{:?}",
        answer.last
    );
}
