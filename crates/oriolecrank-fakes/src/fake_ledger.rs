//! A fake plain service that stores entries.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::{AnswerBody, BodyAborted, HttpHandler, empty_answer, read_body, text_answer};

/// Query of the requests whose answers are long; they are not counted and write nothing.
const LONG_QUERY: &str = "long";

/// Size of a long answer, in bytes.
const LONG_ANSWER_BYTES: usize = 1024 * 1024;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Path that returns the number of entries as text.
pub const COUNT_PATH: &str = "/admin/count";

/// One stored entry, created by a POST request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerEntry {
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: Bytes,
}

/// A ledger that stores every entry it receives, repeated ones included, so that a test can count
/// how often a call ran. Clones share one state.
#[derive(Debug, Clone, Default)]
pub struct FakeLedger {
    shared: Arc<LedgerState>,
}

#[derive(Debug, Default)]
struct LedgerState {
    entries: Mutex<Vec<LedgerEntry>>,
    headers: Mutex<Vec<HeaderMap>>,
    targets: Mutex<Vec<String>>,
    reads: AtomicU32,
    lose_answers: AtomicBool,
}

impl FakeLedger {
    /// Entries in the order of their arrival.
    pub fn entries(&self) -> Vec<LedgerEntry> {
        self.shared
            .entries
            .lock()
            .expect("no holder of the entry lock panics")
            .clone()
    }

    /// Header fields of all requests, in the order of their arrival.
    pub fn seen_headers(&self) -> Vec<HeaderMap> {
        self.shared
            .headers
            .lock()
            .expect("no holder of the header lock panics")
            .clone()
    }

    /// Request targets (path and query) of all requests, in the order of their arrival.
    pub fn seen_targets(&self) -> Vec<String> {
        self.shared
            .targets
            .lock()
            .expect("no holder of the target lock panics")
            .clone()
    }

    /// Number of requests other than POST; those to [`COUNT_PATH`] are not counted.
    pub fn reads(&self) -> u32 {
        self.shared.reads.load(Ordering::SeqCst)
    }

    /// Sets whether the answers to writes are lost, although the writes take effect.
    pub fn lose_answers(&self, lose: bool) {
        self.shared.lose_answers.store(lose, Ordering::SeqCst);
    }
}

impl HttpHandler for FakeLedger {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        let state = &self.shared;
        state
            .headers
            .lock()
            .expect("no holder of the header lock panics")
            .push(head.headers);
        let target = head.uri.to_string();
        state
            .targets
            .lock()
            .expect("no holder of the target lock panics")
            .push(target);
        let path = head.uri.path().to_owned();
        if path == COUNT_PATH {
            return text_answer(StatusCode::OK, self.entries().len().to_string());
        }
        if head.uri.query() == Some(LONG_QUERY) {
            return text_answer(StatusCode::OK, "x".repeat(LONG_ANSWER_BYTES));
        }
        if head.method != Method::POST {
            state.reads.fetch_add(1, Ordering::SeqCst);
            return text_answer(StatusCode::OK, format!("status of {path}"));
        }
        let Some(body) = read_body(body, MAX_BODY_BYTES).await else {
            return empty_answer(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let count = {
            let mut entries = state
                .entries
                .lock()
                .expect("no holder of the entry lock panics");
            entries.push(LedgerEntry { path, body });
            entries.len()
        };
        if state.lose_answers.load(Ordering::SeqCst) {
            let (sender, body) = AnswerBody::stream();
            // The receiver may already be dropped.
            let _ = sender.send(Err(BodyAborted)).await;
            return Response::new(body);
        }
        text_answer(StatusCode::CREATED, format!("entry {count}"))
    }
}
