//! A fake platform that starts and stops upstreams.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use oriolecrank_net::{AnswerBody, BootClock, HttpHandler, empty_answer, read_body, text_answer};
use oriolecrank_schema::TimePoint;
use serde::{Deserialize, Serialize};

use crate::answer_faults::{AnswerFault, FaultQueue, answer_with_fault};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// A running upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RunningUpstream {
    /// Name of the upstream.
    pub upstream: String,
    /// Service that it serves.
    pub service: String,
    /// Failure domain in which it runs.
    pub failure_domain: String,
}

/// A received request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformRequest {
    /// Time of arrival on the boot-time clock.
    pub arrived_at: TimePoint,
    /// Path of the request.
    pub path: String,
    /// Value of the `idempotency-key` header; empty if there is none.
    pub request_id: String,
    /// Body of the request.
    pub body: Bytes,
}

impl PlatformRequest {
    /// Whether the request starts or stops an upstream.
    pub fn is_write(&self) -> bool {
        self.path != LIST_PATH
    }
}

const LIST_PATH: &str = "/v1/upstreams";

/// A platform that starts and stops upstreams in memory. It ignores idempotency keys, so that a
/// repeated start becomes visible as a second upstream. Clones share one state.
#[derive(Debug, Clone, Default)]
pub struct FakePlatform {
    shared: Arc<PlatformState>,
    faults: FaultQueue,
}

#[derive(Debug, Default)]
struct PlatformState {
    /// No thread holds this lock and that of `fleet` at the same time.
    requests: Mutex<Vec<PlatformRequest>>,
    fleet: Mutex<PlatformFleet>,
}

#[derive(Debug, Default)]
struct PlatformFleet {
    running: IndexMap<String, RunningUpstream>,
    started: u64,
    /// Number of further starts whose upstream ends immediately.
    crashing_starts: u32,
}

#[derive(Debug, Deserialize)]
struct StartBody {
    service: String,
    failure_domain: String,
}

#[derive(Debug, Deserialize)]
struct StopBody {
    upstream: String,
}

#[derive(Debug, Serialize)]
struct RunningList {
    upstreams: Vec<RunningUpstream>,
}

#[derive(Debug, Serialize)]
struct StartedBody {
    upstream: String,
}

impl FakePlatform {
    /// All requests, in the order of their arrival.
    pub fn requests(&self) -> Vec<PlatformRequest> {
        self.lock_requests().clone()
    }

    /// Requests that start or stop upstreams, in the order of their arrival.
    pub fn writes(&self) -> Vec<PlatformRequest> {
        let requests = self.requests();
        let writes = requests.into_iter();
        writes.filter(PlatformRequest::is_write).collect()
    }

    /// Upstreams that run now.
    pub fn running(&self) -> Vec<RunningUpstream> {
        self.fleet().running.values().cloned().collect()
    }

    /// Number of starts so far, including those whose upstream ended immediately.
    pub fn started(&self) -> u64 {
        self.fleet().started
    }

    /// Adds a running upstream without a start request.
    pub fn add_running(&self, upstream: RunningUpstream) {
        let name = upstream.upstream.clone();
        self.fleet().running.insert(name, upstream);
    }

    /// Ends an upstream, as a crash does; without effect if it does not run.
    pub fn crash(&self, upstream: &str) {
        self.fleet().running.shift_remove(upstream);
    }

    /// Makes the upstreams of the next `count` starts end immediately.
    pub fn crash_next_starts(&self, count: u32) {
        self.fleet().crashing_starts = count;
    }

    /// Injected faults of the next starts and stops.
    pub fn faults(&self) -> &FaultQueue {
        &self.faults
    }

    fn start(&self, body: &StartBody) -> StartedBody {
        let mut fleet = self.fleet();
        fleet.started += 1;
        let upstream = format!("{}-new-{}", body.service, fleet.started);
        if fleet.crashing_starts > 0 {
            fleet.crashing_starts -= 1;
        } else {
            let running = RunningUpstream {
                upstream: upstream.clone(),
                service: body.service.clone(),
                failure_domain: body.failure_domain.clone(),
            };
            fleet.running.insert(upstream.clone(), running);
        }
        StartedBody { upstream }
    }

    /// Carries out a start or stop and returns its answer.
    fn write(&self, path: &str, body: &[u8]) -> Response<AnswerBody> {
        match path {
            "/v1/starts" => match serde_json::from_slice(body) {
                Ok(body) => json_answer(&self.start(&body)),
                Err(error) => text_answer(StatusCode::BAD_REQUEST, error.to_string()),
            },
            "/v1/stops" => match serde_json::from_slice::<StopBody>(body) {
                Ok(body) => match self.fleet().running.shift_remove(&body.upstream) {
                    Some(_) => empty_answer(StatusCode::OK),
                    None => empty_answer(StatusCode::NOT_FOUND),
                },
                Err(error) => text_answer(StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => empty_answer(StatusCode::NOT_FOUND),
        }
    }

    fn fleet(&self) -> MutexGuard<'_, PlatformFleet> {
        let fleet = self.shared.fleet.lock();
        fleet.expect("no holder of the fleet lock panics")
    }

    fn lock_requests(&self) -> MutexGuard<'_, Vec<PlatformRequest>> {
        let requests = self.shared.requests.lock();
        requests.expect("no holder of the request lock panics")
    }
}

impl HttpHandler for FakePlatform {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        let Some(body) = read_body(body, MAX_BODY_BYTES).await else {
            return empty_answer(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let path = head.uri.path().to_owned();
        let request_id = head.headers.get("idempotency-key");
        let request_id = request_id.and_then(|id| id.to_str().ok());
        self.lock_requests().push(PlatformRequest {
            arrived_at: BootClock.now(),
            path: path.clone(),
            request_id: request_id.unwrap_or_default().to_owned(),
            body: body.clone(),
        });
        if head.method == Method::GET && path == LIST_PATH {
            return json_answer(&RunningList {
                upstreams: self.running(),
            });
        }
        let fault: AnswerFault = self.faults.next();
        let platform = self.clone();
        answer_with_fault(fault, move || platform.write(&path, &body)).await
    }
}

fn json_answer<T: Serialize>(message: &T) -> Response<AnswerBody> {
    let body = serde_json::to_vec(message).expect("names always encode into memory");
    Response::new(AnswerBody::full(body))
}
