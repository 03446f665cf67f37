//! Tests of the permits to act outside the replicated log.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use oriolecrank_consensus::{LeaderAuthority, Term};
use oriolecrank_control::{
    AuthorityWait, GuardedError, TermGuard, VerdictError as _, WaitSettings, WaitState,
    WritePermit as _, send_guarded,
};
use oriolecrank_net::{AnswerBody, HttpHandler, empty_answer};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::RunVerdict;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::support::{TestGroup, listen};

fn authority(term: u64, until: u64) -> LeaderAuthority {
    LeaderAuthority {
        term: Term(term),
        until: TimePoint::from_millis(until),
    }
}

/// Guards against a new leader that writes while messages of its predecessor are in flight, and
/// against a leader that waits again after its lease lapsed within its term.
#[test]
fn a_new_term_waits_one_lease_and_one_flight() {
    let open_at = |since: u64| since + 400 + 2_000;
    let waiting = |at: u64| WaitState::Waiting(TimePoint::from_millis(at));
    let open = |term: u64| WaitState::Open(Term(term));
    // Time in ms, authority (term and end of the lease), expected state.
    let cases = [
        (1_000, None, WaitState::NoAuthority),
        (1_100, Some((5, 1_400)), waiting(open_at(1_100))),
        (2_000, Some((5, 1_400)), WaitState::NoAuthority),
        (3_499, Some((5, 3_800)), waiting(3_500)),
        (3_500, Some((5, 3_800)), open(5)),
        // The lease lapsed and was renewed in the same term.
        (9_000, None, WaitState::NoAuthority),
        (9_100, Some((5, 9_400)), open(5)),
        // Another leader may have led between two terms of the same instance.
        (9_200, Some((7, 9_500)), waiting(open_at(9_200))),
        (11_600, Some((7, 11_900)), open(7)),
    ];
    let mut wait = AuthorityWait::new(WaitSettings::default());
    for (now, lease, expected) in cases {
        let authority = lease.map(|(term, until)| authority(term, until));
        let state = wait.observe(authority, TimePoint::from_millis(now));
        assert_eq!(state, expected, "at {now} ms");
    }
}

#[derive(Debug, Clone, Default)]
struct CountingServer(Arc<AtomicU64>);

impl HttpHandler for CountingServer {
    async fn handle(&self, _: Request<Incoming>, _: SocketAddr) -> Response<AnswerBody> {
        self.0.fetch_add(1, Ordering::SeqCst);
        empty_answer(StatusCode::OK)
    }
}

fn post() -> Request<Full<Bytes>> {
    let request = Request::post("/").header(http::header::HOST, "test");
    request.body(Full::from("x")).unwrap()
}

/// Guards against a write after a pause: the process stops after a successful check, and the lease
/// ends before it continues. A pause between the last check and the write cannot be detected, so it
/// is not tested.
#[tokio::test]
async fn nothing_is_written_after_a_pause_at_any_earlier_check() {
    let checks = {
        let group = TestGroup::default();
        let replica = group.leader();
        let server = CountingServer::default();
        let (address, _trigger) = listen(server.clone()).await;
        let mut guard = TermGuard::new(Arc::clone(&replica), group.time.clone());
        let permit = guard.permit().await.unwrap();
        let before = replica.checks();
        let time_limit = Duration::from_secs(5);
        let answer = send_guarded(address, post(), &permit, time_limit)
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(server.0.load(Ordering::SeqCst), 1);
        replica.checks() - before
    };
    assert!(
        checks >= 2,
        "the permit is not checked both before and after the connect"
    );
    for pause_at in 1..checks {
        let group = TestGroup::default();
        let replica = group.replica();
        replica.lead(Duration::from_millis(400));
        let server = CountingServer::default();
        let (address, _trigger) = listen(server.clone()).await;
        let mut guard = TermGuard::new(Arc::clone(&replica), group.time.clone());
        let permit = guard.permit().await.unwrap();
        replica.pause_after_checks(pause_at, Duration::from_secs(1));
        let time_limit = Duration::from_secs(5);
        let error = send_guarded(address, post(), &permit, time_limit)
            .await
            .unwrap_err();
        assert!(matches!(error, GuardedError::NoAuthority), "{error}");
        assert_eq!(error.verdict(), RunVerdict::NotRun);
        assert_eq!(
            server.0.load(Ordering::SeqCst),
            0,
            "pause after check {pause_at}"
        );
    }
}

/// Guards against a permit of an earlier term that becomes valid again when the same instance is
/// elected once more.
#[tokio::test]
async fn a_permit_ends_with_its_term() {
    let group = TestGroup::default();
    let replica = group.leader();
    let mut guard = TermGuard::new(Arc::clone(&replica), group.time.clone());
    let permit = guard.permit().await.unwrap();
    assert!(permit.remaining().is_some());
    replica.resign();
    assert!(permit.remaining().is_none());
    assert!(guard.permit().await.is_none());
    replica.lead(Duration::from_secs(10));
    assert!(permit.remaining().is_none());
    assert!(guard.permit().await.unwrap().remaining().is_some());
}
