//! Programs that are killed, paused or stopped gracefully while requests run.

use std::time::Duration;

use http::{Method, StatusCode};
use http_body_util::BodyExt as _;
use oriolecrank_fakes::{CALLS_PATH, COUNT_PATH, CRASH_MARKER, CRASHES_PATH};

use oriolecrank_net::ClientResponse;

use crate::cluster::{ClusterPlan, KEY, TestCluster, ask_fake, completion, read_answer, wait_for};

/// Longer than the freshness lease of 3 s and the 4 s within which a withdrawn key stops working.
const PAUSE_BEYOND_LEASE: Duration = Duration::from_millis(4_200);

/// Guards against an entry that accepts a withdrawn key after it was paused during the withdrawal.
/// The time of the pause must count towards the freshness lease.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_entry_does_not_serve_a_withdrawn_key() {
    let cluster = TestCluster::start(ClusterPlan {
        entries: 2,
        ..ClusterPlan::default()
    })
    .await;
    cluster.entries[0].signal("STOP");
    let output = cluster.ctl(&["keys", "withdraw", "vat-watch", "first", "--wait"]);
    assert!(output.status.success(), "{output:?}");
    let other = cluster.complete(1, KEY, "x").await;
    assert_eq!(other.status, StatusCode::UNAUTHORIZED, "{other:?}");
    tokio::time::sleep(PAUSE_BEYOND_LEASE).await;
    cluster.entries[0].signal("CONT");
    let paused = cluster.complete(0, KEY, "x").await;
    let refused = [StatusCode::UNAUTHORIZED, StatusCode::SERVICE_UNAVAILABLE];
    assert!(refused.contains(&paused.status), "{paused:?}");
}

/// Guards against an entry that accepts keys although it can no longer learn of withdrawn ones, and
/// against one that refuses open routes then or does not recover when the control instance resumes.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_control_refuses_keyed_work_and_serves_open_routes() {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    cluster.control[0].signal("STOP");
    wait_for(async || {
        cluster.complete(0, KEY, "x").await.status == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    let refusal = cluster.complete(0, KEY, "x").await;
    assert!(
        refusal.body.contains("\"verdict\":\"not_run\""),
        "{refusal:?}"
    );
    let path = "/services/ledger/opening-hours";
    let open = cluster.send(0, "", Method::GET, path, String::new()).await;
    assert_eq!(open.status(), StatusCode::OK);
    cluster.control[0].signal("CONT");
    cluster.wait_ready(0).await;
}

/// Guards against a control group of three that loses accepted changes or accepts no more when one
/// instance is killed. Each run kills a different instance.
#[tokio::test(flavor = "multi_thread")]
async fn the_control_group_survives_the_loss_of_any_instance() {
    for lost in 0..3 {
        let mut cluster = TestCluster::start(ClusterPlan {
            control: 3,
            ..ClusterPlan::default()
        })
        .await;
        cluster.control[lost].kill();
        let output = cluster.ctl(&["keys", "issue", "vat-watch", "second", "--wait"]);
        assert!(output.status.success(), "{output:?}");
        cluster.wait_ready(0).await;
        let shown = cluster.ctl(&["show"]);
        let text = String::from_utf8_lossy(&shown.stdout).into_owned();
        assert!(text.contains("first") && text.contains("second"), "{text}");
    }
}

/// Guards against a control instance that confirms an outdated configuration when it resumes from a
/// pause, which matters most if it led the group before.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_control_instance_never_reverts_the_configuration() {
    for paused in 0..3 {
        let cluster = TestCluster::start(ClusterPlan {
            control: 3,
            ..ClusterPlan::default()
        })
        .await;
        cluster.control[paused].signal("STOP");
        let output = cluster.ctl(&["keys", "withdraw", "vat-watch", "first", "--wait"]);
        assert!(output.status.success(), "{output:?}");
        wait_for(async || cluster.complete(0, KEY, "x").await.status == StatusCode::UNAUTHORIZED)
            .await;
        cluster.control[paused].signal("CONT");
        for _ in 0..20 {
            let status = cluster.complete(0, KEY, "x").await.status;
            assert_ne!(status, StatusCode::OK);
        }
    }
}

/// Guards against a booking that the service runs twice: its answer is lost, the agent is killed
/// and the caller repeats the booking through several entries.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_runs_at_most_once_when_its_agent_is_killed() {
    let plan = ClusterPlan {
        entries: 2,
        ledger: &["--lose-answers"],
        ..ClusterPlan::default()
    };
    let mut cluster = TestCluster::start(plan).await;
    let first = cluster.book(0).await;
    assert!(first.body.contains("may_have_run"), "{first:?}");
    cluster.agents.last_mut().unwrap().kill();
    let upstream = cluster.fakes.last().unwrap().address;
    cluster.start_agent("ledger", 0, upstream);
    for entry in [1, 0, 1] {
        let again = cluster.book(entry).await;
        assert!(again.body.contains("may_have_run"), "{again:?}");
    }
    assert_eq!(ask_fake(cluster.fakes.last().unwrap(), COUNT_PATH).await, 1);
}

/// Guards against a stored answer that is available only at the entry that received the first call.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_booking_gets_the_stored_answer_at_another_entry() {
    let mut cluster = TestCluster::start(ClusterPlan {
        entries: 2,
        ..ClusterPlan::default()
    })
    .await;
    let first = cluster.book(0).await;
    assert_eq!(first.status, StatusCode::CREATED, "{first:?}");
    cluster.entries[0].kill();
    let again = cluster.book(1).await;
    assert_eq!((again.status, &again.body), (first.status, &first.body));
    assert_eq!(ask_fake(cluster.fakes.last().unwrap(), COUNT_PATH).await, 1);
}

/// Guards against a request that crashes one engine after another while its caller repeats it
/// through several entries.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_takes_down_at_most_two_engines() {
    let crashing: &[&str] = &["--crash-on-marker"];
    let plan = ClusterPlan {
        entries: 2,
        engines: &[crashing, crashing, crashing, crashing],
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::start(plan).await;
    for round in 0..10 {
        let answer = cluster.complete(round % 2, KEY, CRASH_MARKER).await;
        assert_ne!(answer.status, StatusCode::OK);
    }
    let mut crashes = 0;
    for engine in &cluster.fakes[..4] {
        crashes += ask_fake(engine, CRASHES_PATH).await;
    }
    assert!((1..=2).contains(&crashes), "{crashes} crashes");
    let harmless = cluster.complete(0, KEY, "harmless").await;
    assert_eq!(harmless.status, StatusCode::OK, "{harmless:?}");
}

/// Starts a long streamed completion and returns its first chunk and the rest of the response.
async fn open_stream(cluster: &TestCluster) -> (String, ClientResponse) {
    let body = completion("long", 60, true);
    let path = "/v1/chat/completions";
    let mut response = cluster.send(0, KEY, Method::POST, path, body).await;
    let first = response
        .body_mut()
        .frame()
        .await
        .unwrap()
        .unwrap()
        .into_data()
        .unwrap();
    (String::from_utf8_lossy(&first).into_owned(), response)
}

/// Guards against an answer that is cut off when its entry and agent receive SIGTERM.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_cuts_off_no_answer() {
    let plan = ClusterPlan {
        engines: &[&["--between-tokens-ms", "20"]],
        ..ClusterPlan::default()
    };
    let mut cluster = TestCluster::start(plan).await;
    let (_first, response) = open_stream(&cluster).await;
    cluster.entries[0].signal("TERM");
    cluster.agents[0].signal("TERM");
    let rest = read_answer(response).await;
    assert!(rest.body.trim_end().ends_with("data: [DONE]"), "{rest:?}");
    assert_eq!(cluster.entries[0].wait(), Some(0));
    assert_eq!(cluster.agents[0].wait(), Some(0));
}

/// Guards against an answer that is incomplete or wrong after its agent is killed. The answer must
/// continue on another upstream.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_continues_elsewhere_when_its_agent_is_killed() {
    let slow: &[&str] = &["--between-tokens-ms", "20"];
    let plan = ClusterPlan {
        engines: &[slow, slow],
        ..ClusterPlan::default()
    };
    let mut cluster = TestCluster::start(plan).await;
    let calls = ask_fake(&cluster.fakes[0], CALLS_PATH).await;
    let (first, response) = open_stream(&cluster).await;
    let runs_on_first_engine = ask_fake(&cluster.fakes[0], CALLS_PATH).await > calls;
    cluster.agents[usize::from(!runs_on_first_engine)].kill();
    let text = first + &read_answer(response).await.body;
    let events = text.lines().filter_map(|line| line.strip_prefix("data: {"));
    let parts = events.filter_map(|event| {
        let value: serde_json::Value = serde_json::from_str(&format!("{{{event}")).ok()?;
        Some(value["choices"][0]["delta"]["content"].as_str()?.to_owned())
    });
    assert_eq!(
        parts.collect::<String>(),
        oriolecrank_fakes::expected_text("long", 60)
    );
    assert!(text.trim_end().ends_with("data: [DONE]"), "{text}");
}
