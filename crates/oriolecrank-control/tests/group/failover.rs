//! Loss of the leader of the control group.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::Full;
use oriolecrank_entry::{EntryOptions, EntryProcess};
use oriolecrank_net::HttpClient;
use oriolecrank_net::intake::IntakeSettings;
use oriolecrank_net::logging::LogFormat;
use oriolecrank_net::shutdown::shutdown_channel;
use oriolecrank_schema::control::{CommandOutcome, Query};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::harness::{EVENT_TIMEOUT, Group, document, loopback, secret, submission};

const FIRST_ACCEPTED: CommandOutcome = CommandOutcome::DocumentAccepted { revision: 1 };

const SECOND_ACCEPTED: CommandOutcome = CommandOutcome::DocumentAccepted { revision: 2 };

/// Starts an entry that subscribes to one of the given control instances; returns its address for
/// callers.
async fn start_entry(control: Vec<SocketAddr>) -> SocketAddr {
    let options = EntryOptions {
        name: "entry-1".to_owned(),
        region: "piedmont".to_owned(),
        failure_domain: "piedmont-1".to_owned(),
        caller_listen: loopback(),
        operator_listen: loopback(),
        secret: secret(),
        control,
        freshness_lease: Duration::from_secs(3),
        max_body_bytes: 1_024,
        drain_notice: Duration::ZERO,
        shutdown_limit: Duration::from_secs(10),
        intake: IntakeSettings::default(),
        log_format: LogFormat::Text,
    };
    let process = EntryProcess::bind(options).await.unwrap();
    let address = process.address();
    tokio::spawn(async move {
        let (_trigger, signal) = shutdown_channel();
        process.run(signal).await.unwrap();
    });
    address
}

/// Status of a call that requires a key but no upstream.
async fn call_with_key(client: &HttpClient, entry: SocketAddr, key: &str) -> StatusCode {
    let request = Request::get("/v1/models")
        .header(http::header::HOST, "entry")
        .header(http::header::AUTHORIZATION, format!("Bearer {key}"))
        .body(Full::default())
        .unwrap();
    let response = client.send(entry, request, EVENT_TIMEOUT).await.unwrap();
    let status = response.status();
    response.collect(1 << 16, EVENT_TIMEOUT).await.unwrap();
    status
}

async fn wait_for_key(entry: SocketAddr, key: &str) {
    let client = HttpClient::default();
    let accepted = async {
        while call_with_key(&client, entry, key).await != StatusCode::OK {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(EVENT_TIMEOUT, accepted).await.unwrap();
}

/// How the leader is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderLoss {
    Killed,
    /// Its process runs on, but all its connections drop the traffic.
    Isolated,
}

/// Kills or isolates the leader that an entry is subscribed to, and checks that the entry refuses
/// no call with a key until it has a revision from the new leader in force.
async fn check_entry_during_loss(loss: LeaderLoss) {
    let group = Group::start().await;
    let old_leader = group.leader(None).await;
    let first = submission("r1", 0, document(&["first"]));
    assert_eq!(group.submit(old_leader, &first).await, FIRST_ACCEPTED);
    let entry = start_entry(group.entry_addresses(old_leader)).await;
    wait_for_key(entry, "first").await;
    let (stop, mut stopped) = watch::channel(());
    let caller = tokio::spawn(async move {
        let client = HttpClient::default();
        let mut statuses = Vec::new();
        loop {
            statuses.push(call_with_key(&client, entry, "first").await);
            tokio::select! {
                _ = stopped.changed() => return statuses,
                () = sleep(Duration::from_millis(20)) => {}
            }
        }
    });
    match loss {
        LeaderLoss::Killed => group.instances[old_leader].kill().await,
        LeaderLoss::Isolated => group.isolate(old_leader),
    }
    let new_leader = group.leader(Some(old_leader)).await;
    let second = submission("r2", 1, document(&["first", "second"]));
    assert_eq!(group.submit(new_leader, &second).await, SECOND_ACCEPTED);
    wait_for_key(entry, "second").await;
    drop(stop);
    let statuses = caller.await.unwrap();
    let refused = statuses.iter().filter(|status| **status != StatusCode::OK);
    assert_eq!(refused.count(), 0, "refused, of {} calls", statuses.len());
}

/// Guards against a change of leader that takes longer than the freshness lease of the entries, and
/// against an entry that does not move to the new leader. In both cases the entry would refuse
/// calls with keys.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_stays_fresh_when_its_leader_is_killed() {
    check_entry_during_loss(LeaderLoss::Killed).await;
}

/// Guards against an entry that stays with an unresponsive leader because the connection is still
/// open, or that waits for it until its own freshness lease ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_stays_fresh_when_its_leader_is_isolated() {
    check_entry_during_loss(LeaderLoss::Isolated).await;
}

/// Guards against an isolated leader that does not notice its isolation. It would confirm an
/// outdated state as current, or hold its lease at the same time as its successor.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_isolated_leader_confirms_nothing() {
    let group = Group::start().await;
    let old_leader = group.leader(None).await;
    let first = submission("r1", 0, document(&["first"]));
    assert_eq!(group.submit(old_leader, &first).await, FIRST_ACCEPTED);
    group.isolate(old_leader);
    let early = group.instances[old_leader].ping("early");
    let successor = async {
        let new_leader = group.leader(Some(old_leader)).await;
        // Checked after the successor was seen with authority, so that an overlap is detected.
        assert!(!group.instances[old_leader].has_authority());
        new_leader
    };
    let (early, new_leader) = tokio::join!(early, successor);
    assert_eq!(early, None);
    let second = submission("r2", 1, document(&["first", "second"]));
    assert_eq!(group.submit(new_leader, &second).await, SECOND_ACCEPTED);
    assert!(!group.instances[old_leader].has_authority());
    assert_eq!(group.instances[old_leader].ping("late").await, None);
    assert!(group.query(old_leader, &Query::Summary).await.is_err());
    let confirmed = group.instances[new_leader].ping("late").await.unwrap();
    assert_eq!(confirmed.revision, 2);
}
