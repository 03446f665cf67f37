//! HTTP endpoints for operators: health, readiness and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use crate::answer_body::AnswerBody;
use crate::http_server::{HttpHandler, PeerGuard, empty_answer, text_answer};

/// Whether a process accepts new requests; initially false. Clones share the value, so that the
/// [`OperatorListener`] reports what the process sets.
#[derive(Debug, Clone, Default)]
pub struct ReadyFlag(Arc<AtomicBool>);

impl ReadyFlag {
    /// Sets the readiness that `/readyz` reports.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }

    /// Whether the process accepts new requests.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Serves `/healthz` and `/readyz` without authentication, and `/metrics` to clients that send the
/// cluster secret.
#[derive(Debug)]
pub struct OperatorListener {
    registry: Registry,
    ready: ReadyFlag,
    guard: PeerGuard,
}

impl OperatorListener {
    /// Creates a handler that serves the metrics of `registry`.
    pub const fn new(registry: Registry, ready: ReadyFlag, guard: PeerGuard) -> Self {
        Self {
            registry,
            ready,
            guard,
        }
    }
}

/// Serves `/metrics` without authentication. Only for an address that callers cannot reach.
#[derive(Debug)]
pub struct MetricsListener(Registry);

impl MetricsListener {
    /// Creates a handler that serves the metrics of `registry`.
    pub const fn new(registry: Registry) -> Self {
        Self(registry)
    }
}

fn metrics_answer(registry: &Registry) -> Response<AnswerBody> {
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => text_answer(StatusCode::OK, text),
        Err(_) => empty_answer(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

impl HttpHandler for MetricsListener {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        match request.uri().path() {
            "/metrics" => metrics_answer(&self.0),
            _ => empty_answer(StatusCode::NOT_FOUND),
        }
    }
}

impl HttpHandler for OperatorListener {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        match request.uri().path() {
            "/healthz" => text_answer(StatusCode::OK, "ok\n".to_owned()),
            "/readyz" if self.ready.get() => text_answer(StatusCode::OK, "ready\n".to_owned()),
            "/readyz" => text_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
            "/metrics" => match self.guard.refusal(request.headers()) {
                Some(refusal) => refusal,
                None => metrics_answer(&self.registry),
            },
            _ => empty_answer(StatusCode::NOT_FOUND),
        }
    }
}
