//! Upstreams whose answers never end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use oriolecrank_net::{AnswerBody, HttpHandler};
use oriolecrank_schema::data_path::{ClaimTicket, RunEvent, RunRequest, RunVerdict};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::time::timeout;

use crate::support::{
    TestAgent, bind_listener, completion_body, eventually, next_frame, read_answer,
};

/// Most bytes that an agent may accept of an answer that nobody reads: the 4 MiB that it buffers
/// for one answer, and those in the buffers of the sockets.
const MAX_ACCEPTED_BYTES: usize = 24 * 1024 * 1024;

/// An upstream that sends a body until its connection is closed.
#[derive(Debug, Clone, Default)]
struct EndlessUpstream {
    sent_bytes: Arc<AtomicUsize>,
    closed: Arc<AtomicBool>,
}

impl HttpHandler for EndlessUpstream {
    async fn handle(&self, _request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let (sender, body) = AnswerBody::stream();
        let upstream = self.clone();
        tokio::spawn(async move {
            let piece = Bytes::from(vec![b'x'; 16 * 1024]);
            while sender.send(Ok(piece.clone())).await.is_ok() {
                upstream.sent_bytes.fetch_add(piece.len(), Ordering::SeqCst);
            }
            upstream.closed.store(true, Ordering::SeqCst);
        });
        Response::new(body)
    }
}

/// Guards against an upstream that sends an answer without end and keeps a place, and the memory of
/// the agent, after the entry has left.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_end_is_cancelled_after_the_entry_has_left() {
    let upstream = EndlessUpstream::default();
    let agent = TestAgent::start(upstream.clone()).await;
    let request = RunRequest {
        deadline_ms: 500,
        ..agent.request("a")
    };
    let mut reader = agent.run(&request, &completion_body("x", 16)).await;
    next_frame(&mut reader).await;
    drop(reader);
    eventually(|| upstream.closed.load(Ordering::SeqCst).then_some(())).await;
    let sent = upstream.sent_bytes.load(Ordering::SeqCst);
    assert!(sent <= MAX_ACCEPTED_BYTES, "{sent} bytes");
}

/// Guards against a claimed call that occupies a place for good because its answer is longer than
/// the agent can buffer: no entry may free a part of it, and the call is never cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn a_claimed_call_with_an_answer_without_end_fails() {
    let upstream = EndlessUpstream::default();
    let agent = TestAgent::start(upstream.clone()).await;
    let ticket = ClaimTicket {
        claim_id: 1,
        incarnation: agent.incarnation,
        upstream: "upstream-1".to_owned().into(),
    };
    let request = RunRequest {
        claim: Some(ticket),
        stream: false,
        target: "/entries".to_owned(),
        ..agent.request("a")
    };
    let mut reader = agent.run(&request, b"drain").await;
    let answer = timeout(Duration::from_secs(5), read_answer(&mut reader, 0)).await;
    let answer = answer.expect("the call ends");
    let RunEvent::Failed { verdict, .. } = &answer.last else {
        panic!("{:?}", answer.last);
    };
    assert_eq!(*verdict, RunVerdict::MayHaveRun);
    eventually(|| upstream.closed.load(Ordering::SeqCst).then_some(())).await;
}

/// Guards against a request that waits for good, and a connection that stays open, because the
/// upstream sends a head without end.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_end_fails_the_request() {
    let (listener, address) = bind_listener().await;
    let closed = Arc::new(AtomicBool::new(false));
    let server_closed = Arc::clone(&closed);
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4_096];
        let count = connection.read(&mut request).await.unwrap();
        assert!(count > 0, "the agent sends a request");
        let mut head = b"HTTP/1.1 200 OK\r\n".to_vec();
        while connection.write_all(&head).await.is_ok() {
            head = b"x-more: more\r\n".to_vec();
        }
        server_closed.store(true, Ordering::SeqCst);
    });
    let agent = TestAgent::start_beside_listener(address).await;
    let request = RunRequest {
        deadline_ms: 500,
        ..agent.request("a")
    };
    let mut reader = agent.run(&request, &completion_body("x", 16)).await;
    let answer = read_answer(&mut reader, 0).await;
    let RunEvent::Failed { verdict, .. } = &answer.last else {
        panic!("{:?}", answer.last);
    };
    assert_eq!(*verdict, RunVerdict::MayHaveRun);
    eventually(|| closed.load(Ordering::SeqCst).then_some(())).await;
}
