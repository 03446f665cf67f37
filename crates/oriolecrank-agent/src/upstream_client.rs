//! Interface to the upstream and its implementation over HTTP.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request};
use http_body_util::{BodyExt, Full};
use oriolecrank_net::{ClientResponse, HttpClient, SendError, requested_pause};
use oriolecrank_schema::control::{EngineOrder, OrderResult};
use oriolecrank_schema::data_path::{HeaderField, RunVerdict};
use oriolecrank_schema::document::PriorityClass;
use snafu::Snafu;
use tokio::time::timeout;

/// Request header with the priority for the engine; 0 is the most urgent.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");

/// Request header with the number of output tokens that were already delivered.
const RESUME_HEADER: HeaderName = HeaderName::from_static("x-resume-tokens");

/// Path to which orders for an engine are posted.
const ORDER_PATH: &str = "/admin/orders";

/// Longest time without data in the middle of an answer. It is far above 61 ms, the longest gap
/// between two tokens that is not counted as slow. The time to the first byte is limited by the
/// deadline instead, because the engine sends nothing during a long prefill.
const UPSTREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to the upstream, without its body.
#[derive(Debug, Clone)]
pub struct UpstreamCall {
    /// HTTP method.
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    /// Header fields to forward, already cleaned of the caller's key and of hop-by-hop and internal
    /// fields.
    pub headers: Vec<HeaderField>,
    /// Priority class of the request.
    pub class: PriorityClass,
    /// Output tokens that an earlier attempt has already delivered.
    pub resume_tokens: u64,
    /// Longest wait for the head of the answer, and then for the first byte of its body.
    pub first_byte_timeout: Duration,
}

/// Why a call to the upstream failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The request has an invalid method, path or header.
    #[snafu(display(
        "the request has an invalid method, path or header and cannot be sent over HTTP"
    ))]
    BadRequest,
    /// The request could not be sent, or the head of the answer did not arrive.
    #[snafu(transparent)]
    Send {
        /// Error of the HTTP client.
        source: SendError,
    },
    /// The connection was lost in the middle of the answer, or a streamed answer ended without its
    /// end marker.
    #[snafu(display("the upstream closed the connection before the end of the answer"))]
    Disconnected,
    /// The answer to a claimed call is longer than the agent can buffer.
    #[snafu(display("the answer to the claimed call is longer than the agent can buffer"))]
    TooLong,
    /// The upstream sent no data within the time limit.
    #[snafu(display("the upstream sent no data for {} ms", time_limit.as_millis()))]
    IdleTimeout {
        /// Time limit that was exceeded.
        time_limit: Duration,
    },
}

impl CallError {
    /// Whether the call may have run.
    pub const fn verdict(&self) -> RunVerdict {
        match self {
            Self::BadRequest => RunVerdict::NotRun,
            Self::Send { source } => source.verdict(),
            Self::Disconnected | Self::TooLong | Self::IdleTimeout { .. } => RunVerdict::MayHaveRun,
        }
    }
}

impl CallError {
    /// Whether the connection to the upstream was lost, which may be due to a crash of the
    /// upstream.
    pub const fn is_disconnect(&self) -> bool {
        matches!(
            self,
            Self::Disconnected
                | Self::Send {
                    source: SendError::Broken { .. }
                }
        )
    }
}

/// Answer of an upstream, read while it arrives.
pub trait UpstreamAnswer: Send + 'static {
    /// HTTP status code.
    fn status(&self) -> u16;

    /// Header fields of the answer.
    fn headers(&self) -> Vec<HeaderField>;

    /// Time for which the upstream wants no further requests; `None` if it asks for no pause.
    fn pause(&self) -> Option<Duration>;

    /// Waits for the next bytes of the body; `None` at its end.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, CallError>> + Send;
}

/// Interface to an upstream. Engines with another protocol are supported by another implementation.
pub trait UpstreamClient: Send + Sync + 'static {
    /// Answer of a call, whose body is still arriving.
    type Answer: UpstreamAnswer;

    /// Sends a call and waits for the head of its answer.
    fn call(
        &self,
        call: &UpstreamCall,
        body: Bytes,
    ) -> impl Future<Output = Result<Self::Answer, CallError>> + Send;

    /// Sends an order and waits for its result, for at most `time_limit`. The result is `Unknown`
    /// if the order may have been executed but no answer arrived.
    fn order(
        &self,
        order: &EngineOrder,
        time_limit: Duration,
    ) -> impl Future<Output = OrderResult> + Send;
}

/// An upstream that speaks HTTP/1.1.
#[derive(Debug, Clone)]
pub struct HttpUpstream {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpUpstream {
    /// Creates a client of the upstream at `address`.
    pub const fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self { client, address }
    }
}

impl UpstreamClient for HttpUpstream {
    type Answer = HttpAnswer;

    async fn call(&self, call: &UpstreamCall, body: Bytes) -> Result<HttpAnswer, CallError> {
        let Some(request) = http_request(call, self.address, body) else {
            return BadRequestSnafu.fail();
        };
        let response = self
            .client
            .send(self.address, request, call.first_byte_timeout)
            .await?;
        Ok(HttpAnswer {
            response,
            idle_timeout: call.first_byte_timeout,
        })
    }

    async fn order(&self, order: &EngineOrder, time_limit: Duration) -> OrderResult {
        let body = serde_json::to_vec(order).expect("encoding an order as JSON cannot fail");
        let request = Request::post(ORDER_PATH)
            .header(http::header::HOST, self.address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("the path and the headers are always valid");
        match self.client.send(self.address, request, time_limit).await {
            Ok(response) if response.status().is_success() => OrderResult::Done,
            // An engine that checks fencing numbers refuses an outdated one with this status.
            Ok(response) if response.status() == http::StatusCode::CONFLICT => OrderResult::Refused,
            Ok(_) => OrderResult::Failed,
            Err(error) if error.verdict() == RunVerdict::NotRun => OrderResult::Failed,
            Err(_) => OrderResult::Unknown,
        }
    }
}

fn http_request(
    call: &UpstreamCall,
    address: SocketAddr,
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method.as_str())
        .uri(call.target.as_str())
        .header(http::header::HOST, address.to_string())
        .header(PRIORITY_HEADER, priority_number(call.class));
    if call.resume_tokens > 0 {
        builder = builder.header(RESUME_HEADER, call.resume_tokens);
    }
    for field in &call.headers {
        builder = builder.header(
            field.name.as_str(),
            HeaderValue::from_str(&field.value).ok()?,
        );
    }
    builder.body(Full::new(body)).ok()
}

const fn priority_number(class: PriorityClass) -> u16 {
    match class {
        PriorityClass::Urgent => 0,
        PriorityClass::Standard => 1,
        PriorityClass::Bulk => 2,
    }
}

/// Answer of an [`HttpUpstream`].
#[derive(Debug)]
pub struct HttpAnswer {
    response: ClientResponse,
    /// Longest wait for the next bytes: the time limit of the call before the first ones, then
    /// [`UPSTREAM_IDLE_TIMEOUT`].
    idle_timeout: Duration,
}

impl UpstreamAnswer for HttpAnswer {
    fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    fn headers(&self) -> Vec<HeaderField> {
        let fields = self.response.headers().iter().filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(HeaderField {
                name: name.as_str().to_owned(),
                value,
            })
        });
        fields.collect()
    }

    fn pause(&self) -> Option<Duration> {
        let response = &self.response;
        requested_pause(response.status(), response.headers(), SystemTime::now())
    }

    async fn next(&mut self) -> Result<Option<Bytes>, CallError> {
        loop {
            let Ok(frame) = timeout(self.idle_timeout, self.response.body_mut().frame()).await
            else {
                return IdleTimeoutSnafu {
                    time_limit: self.idle_timeout,
                }
                .fail();
            };
            match frame {
                None => return Ok(None),
                Some(Err(_)) => return DisconnectedSnafu.fail(),
                // Trailers are skipped; callers do not need them.
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.idle_timeout = UPSTREAM_IDLE_TIMEOUT;
                        return Ok(Some(data));
                    }
                }
            }
        }
    }
}
