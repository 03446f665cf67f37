//! Configuration in force, the subscription that updates it, and its freshness lease.

use std::time::Duration;

use http::Method;
use http_body_util::Full;
use hyper_util::rt::TokioIo;
use oriolecrank_schema::control::{DocumentDelta, SubscriptionFrame};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::harness::{
    CallerRequest, EntrySetup, GROVE_KEY, PRESS_KEY, TEST_TIMEOUT, TestEntry, answering,
    completion, organisation,
};

const JSON: &str = "application/json";

async fn start(lease: Duration) -> TestEntry {
    let agent = answering(JSON, "{}");
    TestEntry::start(EntrySetup {
        agents: vec![(agent.clone(), "assistant"), (agent, "desk")],
        lease,
        ..EntrySetup::default()
    })
    .await
}

/// A delta that replaces the key of `grove`, so that the old one is withdrawn.
fn withdrawal(base_revision: u64) -> SubscriptionFrame {
    SubscriptionFrame::Document {
        base_revision,
        delta: DocumentDelta {
            organisations: vec![organisation("grove", "a-new-key-9c1d", &[])],
            ..DocumentDelta::default()
        },
        revision: base_revision + 1,
    }
}

/// Guards against a withdrawn key that still works on a connection that was opened before.
#[tokio::test]
async fn a_withdrawn_key_stops_working_on_an_open_connection() {
    let entry = start(Duration::from_secs(3)).await;
    let stream = TcpStream::connect(entry.address).await.unwrap();
    let opened =
        hyper::client::conn::http1::handshake::<_, Full<bytes::Bytes>>(TokioIo::new(stream));
    let (mut connection, driver) = opened.await.unwrap();
    tokio::spawn(driver);
    let request = || completion(GROVE_KEY, false).build(entry.address);
    let answer = connection.send_request(request()).await.unwrap();
    assert_eq!(answer.status(), 200);
    drop(answer);
    entry.control.publish(&withdrawal(1));
    entry.wait_in_force(2).await;
    connection.ready().await.unwrap();
    let answer = connection.send_request(request()).await.unwrap();
    assert_eq!(answer.status(), 401);
    // The key of another organisation still works, and so does the new key.
    assert_eq!(entry.send(completion(PRESS_KEY, false)).await.status, 200);
    let new_key = entry.send(completion("a-new-key-9c1d", false)).await;
    assert_eq!(new_key.status, 200);
}

/// Guards against a withdrawn key that works again after a lagging control instance has sent an old
/// snapshot.
#[tokio::test]
async fn an_old_snapshot_does_not_revert_the_revision() {
    let entry = start(Duration::from_secs(3)).await;
    entry.control.publish(&withdrawal(1));
    entry.wait_in_force(2).await;
    let before = entry.control.log().subscriptions;
    // The snapshot of the fake control instance still has revision 1.
    entry.control.publish_snapshot();
    let resubscribed = entry.control.wait_for(|log| log.subscriptions > before + 1);
    timeout(TEST_TIMEOUT, resubscribed)
        .await
        .expect("the entry subscribes again");
    assert_eq!(entry.complete(false).await.status, 401);
    assert_eq!(entry.send(completion(PRESS_KEY, false)).await.status, 200);
}

/// Guards against a delta that is applied to another revision than the one on which it is based.
#[tokio::test]
async fn a_delta_with_a_gap_leads_to_a_new_subscription() {
    let entry = start(Duration::from_secs(3)).await;
    let before = entry.control.log().subscriptions;
    entry.control.publish(&withdrawal(5));
    let resubscribed = entry.control.wait_for(|log| log.subscriptions > before);
    timeout(TEST_TIMEOUT, resubscribed)
        .await
        .expect("the entry subscribes again");
    assert_eq!(entry.complete(false).await.status, 200);
}

/// Guards against requests with an API key that are accepted although the state may be out of date,
/// and against open routes that are refused too.
#[tokio::test]
async fn a_stale_state_refuses_keyed_work_only() {
    type Fault = fn(&mut oriolecrank_fakes::ControlScript);
    let faults: Vec<(&str, Fault)> = vec![
        ("pings are not answered", |script| {
            script.answers_pings = false;
        }),
        ("a newer revision is committed", |script| {
            script.committed = 2;
        }),
    ];
    for (name, fault) in faults {
        let entry = start(Duration::from_millis(900)).await;
        assert_eq!(entry.complete(false).await.status, 200, "{name}");
        entry.control.change(fault);
        let wait = async {
            loop {
                let reply = entry.complete(false).await;
                if reply.status != 200 {
                    return reply;
                }
            }
        };
        let reply = timeout(TEST_TIMEOUT, wait)
            .await
            .expect("the state becomes stale");
        let expected = (503, "state_stale".to_owned(), "not_run".to_owned());
        assert_eq!(reply.refusal(), expected, "{name}");
        assert!(reply.headers.contains_key("retry-after"), "{name}");
        let open = CallerRequest::new(Method::GET, "/services/desk/public");
        assert_eq!(entry.send(open).await.status, 200, "{name}");
    }
}

/// Guards against requests to an upstream that has left, and against an old record that replaces
/// the current incarnation of an upstream.
#[tokio::test]
async fn upstreams_follow_the_subscription() {
    let entry = start(Duration::from_secs(3)).await;
    let address = entry.agent_servers[0].address();
    let mut older = crate::harness::upstream("assistant-1", "assistant", address);
    older.incarnation = 3;
    entry.control.publish(&SubscriptionFrame::Upstreams {
        removed: Vec::new(),
        updated: vec![older],
    });
    assert_eq!(entry.complete(false).await.status, 200);
    let runs = entry.agents[0].log().runs;
    assert!(
        runs.iter()
            .all(|(request, _)| request.incarnation == Some(11))
    );
    entry.control.publish(&SubscriptionFrame::Upstreams {
        removed: vec!["assistant-1".to_owned().into()],
        updated: Vec::new(),
    });
    let wait = async { while entry.complete(false).await.status == 200 {} };
    timeout(TEST_TIMEOUT, wait)
        .await
        .expect("the upstream leaves");
    let reply = entry.complete(false).await;
    let expected = (503, "no_upstream".to_owned(), "not_run".to_owned());
    assert_eq!(reply.refusal(), expected);
}
