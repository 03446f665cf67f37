//! Client for the platform that starts and stops upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{Request, StatusCode};
use http_body_util::Full;
use oriolecrank_capacity::PlatformInstance;
use oriolecrank_net::{HttpClient, SendError};
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::document::{FailureDomainId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::action_authority::WritePermit;
use crate::guarded_client::{GuardedAnswer, GuardedError, VerdictError, send_guarded};

/// Longest wait for the list of running upstreams.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for the answer to a start or stop. The remaining leader authority also limits it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest list of running upstreams, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Header with the [`PlatformRequestId`], for platforms that check idempotency keys.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Idempotency key of a start or stop; the same for each attempt to carry out an intent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PlatformRequestId(pub String);

/// Request to the platform to start or stop an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformRequest {
    /// Start one upstream.
    Start {
        /// Service of the upstream.
        service: ServiceId,
        /// Failure domain to start it in.
        failure_domain: FailureDomainId,
    },
    /// Stop an upstream.
    Stop {
        /// Upstream to stop.
        upstream: UpstreamId,
    },
}

/// Answer of the platform to a start or stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformAnswer {
    /// The upstream is starting under this name.
    Started(UpstreamId),
    /// The upstream is stopping or is not running.
    Stopped,
    /// The platform answered with a client error (4xx); the request has no effect.
    Refused {
        /// Body of the answer, as text.
        reason: String,
    },
}

/// Access of the control leader to the platform.
pub trait PlatformClient: Send + Sync + 'static {
    /// Failed request; its verdict says whether the request may have taken effect.
    type Error: VerdictError;

    /// Lists the upstreams that are running or starting.
    fn running(&self) -> impl Future<Output = Result<Vec<PlatformInstance>, Self::Error>> + Send;

    /// Sends a start or stop. Nothing is written once the permit has ended, and the wait for the
    /// answer ends with it.
    fn send<P: WritePermit>(
        &self,
        id: &PlatformRequestId,
        request: &PlatformRequest,
        permit: &P,
    ) -> impl Future<Output = Result<PlatformAnswer, Self::Error>> + Send;
}

/// Failed request to the platform.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// A start or stop was not sent or got no answer.
    #[snafu(transparent)]
    Write {
        /// Cause.
        source: GuardedError,
    },
    /// The list of running upstreams was not received.
    #[snafu(transparent)]
    Read {
        /// Cause.
        source: SendError,
    },
    /// The answer has an unexpected status, or its body cannot be decoded.
    #[snafu(display(
        "unusable answer from the platform: status {status} is unexpected, or the body is not the \
         expected JSON"
    ))]
    BadAnswer {
        /// Status of the answer.
        status: StatusCode,
    },
}

impl VerdictError for PlatformError {
    fn verdict(&self) -> RunVerdict {
        match self {
            Self::Write { source } => source.verdict(),
            Self::Read { source } => source.verdict(),
            Self::BadAnswer { .. } => RunVerdict::MayHaveRun,
        }
    }
}

/// Client for a platform over HTTP with JSON bodies: `GET /v1/upstreams`, `POST /v1/starts` and
/// `POST /v1/stops`.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    address: SocketAddr,
    client: HttpClient,
}

impl HttpPlatform {
    /// Creates a client for the platform at `address`. `client` reads the list of running
    /// upstreams; each start or stop uses a connection of its own.
    pub const fn new(address: SocketAddr, client: HttpClient) -> Self {
        Self { address, client }
    }
}

#[derive(Debug, Deserialize)]
struct RunningList {
    upstreams: Vec<RunningUpstream>,
}

#[derive(Debug, Deserialize)]
struct RunningUpstream {
    upstream: UpstreamId,
    service: ServiceId,
    failure_domain: FailureDomainId,
}

impl From<RunningUpstream> for PlatformInstance {
    fn from(running: RunningUpstream) -> Self {
        Self {
            upstream: running.upstream,
            service: running.service,
            failure_domain: running.failure_domain,
        }
    }
}

#[derive(Debug, Serialize)]
struct StartBody<'a> {
    service: &'a ServiceId,
    failure_domain: &'a FailureDomainId,
}

#[derive(Debug, Deserialize)]
struct StartedBody {
    upstream: UpstreamId,
}

#[derive(Debug, Serialize)]
struct StopBody<'a> {
    upstream: &'a UpstreamId,
}

impl PlatformClient for HttpPlatform {
    type Error = PlatformError;

    async fn running(&self) -> Result<Vec<PlatformInstance>, PlatformError> {
        let request = Request::get("/v1/upstreams")
            .header(HOST, "platform")
            .body(Full::default())
            .expect("path and headers are valid");
        let response = self
            .client
            .send(self.address, request, LIST_TIMEOUT)
            .await?;
        let status = response.status();
        let body = response.collect(MAX_LIST_BYTES, LIST_TIMEOUT).await?;
        if status != StatusCode::OK {
            return BadAnswerSnafu { status }.fail();
        }
        let list: RunningList =
            serde_json::from_slice(&body).map_err(|_| BadAnswerSnafu { status }.build())?;
        Ok(list.upstreams.into_iter().map(Into::into).collect())
    }

    async fn send<P: WritePermit>(
        &self,
        id: &PlatformRequestId,
        request: &PlatformRequest,
        permit: &P,
    ) -> Result<PlatformAnswer, PlatformError> {
        let time_limit = permit.remaining().unwrap_or_default().min(WRITE_TIMEOUT);
        let http_request = build_request(id, request);
        let answer = send_guarded(self.address, http_request, permit, time_limit).await?;
        decode_answer(request, &answer)
    }
}

fn build_request(id: &PlatformRequestId, request: &PlatformRequest) -> Request<Full<Bytes>> {
    let (path, body) = match request {
        PlatformRequest::Start {
            service,
            failure_domain,
        } => {
            let body = StartBody {
                service,
                failure_domain,
            };
            ("/v1/starts", serde_json::to_vec(&body))
        }
        PlatformRequest::Stop { upstream } => {
            ("/v1/stops", serde_json::to_vec(&StopBody { upstream }))
        }
    };
    let body = body.expect("names always encode into memory");
    Request::post(path)
        .header(HOST, "platform")
        .header(CONTENT_TYPE, "application/json")
        .header(IDEMPOTENCY_HEADER, &id.0)
        .body(Full::from(body))
        .expect("path and headers are valid")
}

fn decode_answer(
    request: &PlatformRequest,
    answer: &GuardedAnswer,
) -> Result<PlatformAnswer, PlatformError> {
    let status = answer.status;
    let is_start = matches!(request, PlatformRequest::Start { .. });
    if status.is_success() && is_start {
        let started: StartedBody =
            serde_json::from_slice(&answer.body).map_err(|_| BadAnswerSnafu { status }.build())?;
        return Ok(PlatformAnswer::Started(started.upstream));
    }
    // An upstream that is not running needs no stop.
    if !is_start && (status.is_success() || status == StatusCode::NOT_FOUND) {
        return Ok(PlatformAnswer::Stopped);
    }
    if status.is_client_error() {
        let reason = String::from_utf8_lossy(&answer.body).into_owned();
        return Ok(PlatformAnswer::Refused { reason });
    }
    BadAnswerSnafu { status }.fail()
}
