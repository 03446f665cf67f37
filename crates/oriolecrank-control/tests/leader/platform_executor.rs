//! Tests of starts and stops through the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use oriolecrank_consensus::Term;
use oriolecrank_control::{
    ClusterLabel, ControlMetrics, HttpPlatform, PlatformExecutor, PlatformSettings, StartOutcome,
};
use oriolecrank_fakes::{AnswerFault, FakePlatform, RunningUpstream};
use oriolecrank_net::HttpClient;
use oriolecrank_schema::control::{Command, CommandOutcome};

use crate::support::{
    ManualTime, TestGroup, TestReplica, announce, document, domain, engine_record, listen, service,
    submit, upstream,
};

type TestExecutor = PlatformExecutor<TestReplica, ManualTime, HttpPlatform>;

/// Wait of a new leader: a lease of 400 ms, and 2 s in which messages may be in flight.
const LEADER_WAIT: Duration = Duration::from_millis(2_400);

/// One millisecond less than [`LEADER_WAIT`].
const ALMOST_LEADER_WAIT: Duration = Duration::from_millis(2_399);

fn executor(replica: &Arc<TestReplica>, time: &ManualTime, platform: SocketAddr) -> TestExecutor {
    PlatformExecutor::new(
        Arc::clone(replica),
        Arc::clone(&replica.state),
        time.clone(),
        HttpPlatform::new(platform, HttpClient::default()),
        ClusterLabel::new("grove"),
        ControlMetrics::default(),
        PlatformSettings::default(),
    )
}

async fn place_start(replica: &TestReplica) -> u64 {
    let command = Command::PlaceStart {
        service: service("assistant"),
        failure_domain: domain("piedmont"),
        reason: "test".to_owned(),
    };
    match replica.commit(command).await {
        CommandOutcome::IntentPlaced { intent_id } => intent_id,
        outcome => panic!("{outcome:?}"),
    }
}

fn open_intents(replica: &TestReplica) -> usize {
    replica.state.read(|state| state.intents().count())
}

/// Lets the wait of a new leader pass.
async fn pass_leader_wait(executor: &mut TestExecutor, time: &ManualTime) {
    executor.round().await;
    time.advance(LEADER_WAIT);
    executor.round().await;
}

async fn run_rounds(executor: &mut TestExecutor, time: &ManualTime, count: u32) {
    for _ in 0..count {
        time.advance(Duration::from_secs(1));
        executor.round().await;
    }
}

/// Announces every running upstream.
async fn announce_running(replica: &TestReplica, platform: &FakePlatform) {
    for running in platform.running() {
        let mut record = engine_record(&running.upstream, &running.failure_domain, "127.0.0.1:1");
        record.service = service(&running.service);
        announce(replica, record, 1).await;
    }
}

/// Guards against a second upstream for one start, and against a start that is lost, whichever
/// fault its request or answer has.
#[tokio::test]
async fn one_start_runs_one_upstream_whatever_happens_to_its_answer() {
    use AnswerFault::{DelayEffect, LoseAnswer, LoseRequest, None, Refuse};
    let unavailable = Refuse(StatusCode::SERVICE_UNAVAILABLE);
    let late = DelayEffect(Duration::from_millis(20));
    let cases: &[(&str, &[AnswerFault], usize)] = &[
        ("answered", &[None], 1),
        ("lost answer", &[LoseAnswer], 1),
        ("lost request", &[LoseRequest], 2),
        ("two lost requests", &[LoseRequest, LoseRequest], 3),
        (
            "lost request, then lost answer",
            &[LoseRequest, LoseAnswer],
            2,
        ),
        ("unavailable", &[unavailable], 2),
        ("late effect", &[late], 1),
    ];
    for (name, faults, writes) in cases {
        let group = TestGroup::default();
        let replica = group.leader();
        submit(&replica, document()).await;
        let platform = FakePlatform::default();
        platform.faults().push(faults.iter().copied());
        let (address, _trigger) = listen(platform.clone()).await;
        let mut executor = executor(&replica, &group.time, address);
        pass_leader_wait(&mut executor, &group.time).await;
        let intent = place_start(&replica).await;
        run_rounds(&mut executor, &group.time, 30).await;
        assert_eq!(platform.started(), 1, "{name}");
        assert_eq!(
            open_intents(&replica),
            1,
            "{name}: the start is not pending until its upstream is announced"
        );
        announce_running(&replica, &platform).await;
        run_rounds(&mut executor, &group.time, 3).await;
        assert_eq!(open_intents(&replica), 0, "{name}");
        let ids: Vec<_> = platform
            .writes()
            .into_iter()
            .map(|write| write.request_id)
            .collect();
        assert_eq!(
            ids,
            vec![format!("grove-intent-{intent}"); *writes],
            "{name}"
        );
        let outcomes = executor.outcomes().take();
        assert_eq!(outcomes.len(), 1, "{name}");
        assert!(outcomes[0].succeeded, "{name}");
    }
}

/// Guards against a second upstream for one start: its answer was lost, and the upstream announced
/// itself, or announced itself and crashed, before the next list of running upstreams is read.
#[tokio::test]
async fn an_upstream_that_joined_before_the_read_back_counts_as_started() {
    for leaves in [false, true] {
        let group = TestGroup::default();
        let replica = group.leader();
        submit(&replica, document()).await;
        let platform = FakePlatform::default();
        platform.faults().push([AnswerFault::LoseAnswer]);
        let (address, _trigger) = listen(platform.clone()).await;
        let mut executor = executor(&replica, &group.time, address);
        pass_leader_wait(&mut executor, &group.time).await;
        place_start(&replica).await;
        executor.round().await;
        assert_eq!(platform.started(), 1);
        announce_running(&replica, &platform).await;
        if leaves {
            platform.crash("assistant-new-1");
        }
        run_rounds(&mut executor, &group.time, 20).await;
        assert_eq!(platform.started(), 1, "leaves: {leaves}");
        assert_eq!(open_intents(&replica), 0, "leaves: {leaves}");
    }
}

/// Guards against two upstreams for one start when the leader changes, at every stage of the start.
#[tokio::test]
async fn a_successor_waits_and_reads_back_before_it_sends() {
    #[derive(Debug, Clone, Copy, PartialEq)]
    enum Stage {
        Unsent,
        Answered,
        AnswerLost,
        RequestLost,
        Announced,
    }
    for stage in [
        Stage::Unsent,
        Stage::Answered,
        Stage::AnswerLost,
        Stage::RequestLost,
        Stage::Announced,
    ] {
        let group = TestGroup::default();
        let first = group.leader();
        submit(&first, document()).await;
        let platform = FakePlatform::default();
        // An upstream that belongs to no start.
        platform.add_running(RunningUpstream {
            upstream: "old".to_owned(),
            service: "assistant".to_owned(),
            failure_domain: "piedmont".to_owned(),
        });
        announce(&first, engine_record("old", "piedmont", "127.0.0.1:1"), 1).await;
        let (address, _trigger) = listen(platform.clone()).await;
        let mut first_executor = executor(&first, &group.time, address);
        pass_leader_wait(&mut first_executor, &group.time).await;
        place_start(&first).await;
        match stage {
            Stage::AnswerLost => platform.faults().push([AnswerFault::LoseAnswer]),
            Stage::RequestLost => platform.faults().push([AnswerFault::LoseRequest]),
            _ => {}
        }
        if stage != Stage::Unsent {
            first_executor.round().await;
        }
        if stage == Stage::Announced {
            announce_running(&first, &platform).await;
        }
        let second = group.leader();
        first.resign();
        let mut second_executor = executor(&second, &group.time, address);
        let before = platform.requests().len();
        second_executor.round().await;
        group.time.advance(ALMOST_LEADER_WAIT);
        second_executor.round().await;
        assert_eq!(
            platform.requests().len(),
            before,
            "{stage:?}: the successor does not wait"
        );
        group.time.advance(Duration::from_millis(1));
        second_executor.round().await;
        let requests = platform.requests();
        assert!(
            !requests[before].is_write(),
            "{stage:?}: the successor writes before it reads the running upstreams"
        );
        run_rounds(&mut second_executor, &group.time, 20).await;
        first_executor.round().await;
        assert_eq!(platform.started(), 1, "{stage:?}");
        announce_running(&second, &platform).await;
        run_rounds(&mut second_executor, &group.time, 3).await;
        assert_eq!(open_intents(&second), 0, "{stage:?}");
        assert_eq!(platform.running().len(), 2, "{stage:?}");
    }
}

/// Guards against a start that is sent without authority: after each check of the authority but the
/// last, the process pauses for longer than its lease.
#[tokio::test]
async fn no_start_is_sent_after_a_pause() {
    let checks = start_with_pause(None).await.unwrap_err();
    assert!(
        checks > 3,
        "the authority is not checked again immediately before the write"
    );
    for pause_at in 1..checks {
        let result = start_with_pause(Some(pause_at)).await;
        assert_eq!(result, Ok(()), "pause after check {pause_at}");
    }
}

/// Sends one start, with a pause after the given number of checks. Returns `Err` with the number of
/// checks if the start reached the platform.
async fn start_with_pause(pause_at: Option<u64>) -> Result<(), u64> {
    let group = TestGroup::default();
    let replica = group.leader();
    submit(&replica, document()).await;
    let platform = FakePlatform::default();
    let (address, _trigger) = listen(platform.clone()).await;
    let mut executor = executor(&replica, &group.time, address);
    pass_leader_wait(&mut executor, &group.time).await;
    place_start(&replica).await;
    let before = replica.checks();
    if let Some(pause_at) = pause_at {
        replica.pause_after_checks(pause_at, Duration::from_hours(11));
    }
    executor.round().await;
    if platform.writes().is_empty() {
        return Ok(());
    }
    Err(replica.checks() - before)
}

/// Guards against waiting for an answer for longer than the lease under which the request was sent,
/// and against a second upstream after such a request.
#[tokio::test]
async fn an_answer_is_not_awaited_beyond_the_authority() {
    let group = TestGroup::default();
    let replica = group.leader();
    submit(&replica, document()).await;
    let platform = FakePlatform::default();
    let delay = Duration::from_mins(1);
    platform.faults().push([AnswerFault::DelayAnswer(delay)]);
    let (address, _trigger) = listen(platform.clone()).await;
    let mut executor = executor(&replica, &group.time, address);
    pass_leader_wait(&mut executor, &group.time).await;
    place_start(&replica).await;
    replica.renew(Term(1), Duration::from_millis(200));
    // The lease ends the wait after 200 ms; without it, the request times out after 2 s.
    let sent_at = Instant::now();
    executor.round().await;
    assert!(sent_at.elapsed() < Duration::from_millis(1_900));
    assert_eq!(platform.started(), 1);
    replica.renew(Term(1), Duration::from_hours(10));
    run_rounds(&mut executor, &group.time, 20).await;
    assert_eq!(platform.started(), 1);
    announce_running(&replica, &platform).await;
    run_rounds(&mut executor, &group.time, 3).await;
    assert_eq!(open_intents(&replica), 0);
}

/// Guards against a crashed start that is sent again without the backoff of the planner, or that
/// stays open and so still counts as a start in progress.
#[tokio::test]
async fn a_crashed_start_ends_and_is_reported_to_the_planner() {
    let group = TestGroup::default();
    let replica = group.leader();
    submit(&replica, document()).await;
    let platform = FakePlatform::default();
    platform.crash_next_starts(1);
    let (address, _trigger) = listen(platform.clone()).await;
    let mut executor = executor(&replica, &group.time, address);
    pass_leader_wait(&mut executor, &group.time).await;
    place_start(&replica).await;
    run_rounds(&mut executor, &group.time, 60).await;
    assert_eq!(platform.started(), 1);
    assert_eq!(open_intents(&replica), 0);
    let crashed = StartOutcome {
        service: service("assistant"),
        failure_domain: domain("piedmont"),
        succeeded: false,
    };
    assert_eq!(executor.outcomes().take(), [crashed]);
}

/// Guards against a stop that is lost, or sent again without backoff while the upstream still runs.
#[tokio::test]
async fn a_stop_is_repeated_with_backoff_until_the_upstream_is_gone() {
    use AnswerFault::{LoseAnswer, LoseRequest, None, Refuse};
    let unavailable = Refuse(StatusCode::BAD_GATEWAY);
    let cases: &[(&str, &[AnswerFault], usize)] = &[
        ("answered", &[None], 1),
        ("lost answer", &[LoseAnswer], 1),
        ("lost request", &[LoseRequest], 2),
        // The retries come after 2, 4, 8, 16 and 32 s.
        ("unavailable", &[unavailable; 5], 6),
    ];
    for (name, faults, writes) in cases {
        let group = TestGroup::default();
        let replica = group.leader();
        submit(&replica, document()).await;
        let platform = FakePlatform::default();
        platform.add_running(RunningUpstream {
            upstream: "old".to_owned(),
            service: "assistant".to_owned(),
            failure_domain: "piedmont".to_owned(),
        });
        announce(&replica, engine_record("old", "piedmont", "127.0.0.1:1"), 1).await;
        let (address, _trigger) = listen(platform.clone()).await;
        let mut executor = executor(&replica, &group.time, address);
        pass_leader_wait(&mut executor, &group.time).await;
        platform.faults().push(faults.iter().copied());
        let command = Command::PlaceStop {
            upstream: upstream("old"),
            reason: "test".to_owned(),
        };
        replica.commit(command).await;
        run_rounds(&mut executor, &group.time, 75).await;
        assert_eq!(platform.writes().len(), *writes, "{name}");
        assert_eq!(open_intents(&replica), 0, "{name}");
        assert!(platform.running().is_empty(), "{name}");
    }
}
