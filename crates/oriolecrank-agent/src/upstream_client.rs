//! Calls to the upstream beside this agent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request};
use http_body_util::{BodyExt, Full};
use oriolecrank_net::{ClientResponse, HttpClient, SendError};
use oriolecrank_schema::control::{EngineOrder, OrderResult};
use oriolecrank_schema::data_path::{HeaderField, RunVerdict};
use oriolecrank_schema::document::PriorityClass;
use snafu::Snafu;
use tokio::time::timeout;

/// Header that passes the priority class to the engine: 0 is the most urgent.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");

/// Header that tells the engine how many output tokens were already delivered.
const RESUME_HEADER: HeaderName = HeaderName::from_static("x-resume-tokens");

/// Path at which an engine takes orders.
const ORDER_PATH: &str = "/admin/orders";

/// Longest silence of an upstream in the middle of an answer. It is far above the 61 ms between two
/// tokens; the time to the first byte is bounded by the deadline instead, because a long prefill
/// sends nothing.
const UPSTREAM_SILENCE: Duration = Duration::from_secs(2);

/// One call to the upstream.
#[derive(Debug, Clone)]
pub struct UpstreamCall {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Cleaned header fields.
    pub headers: Vec<HeaderField>,
    /// Priority class.
    pub class: PriorityClass,
    /// Output tokens that an earlier attempt has already delivered.
    pub resume_tokens: u64,
    /// Longest wait for the head of the answer.
    pub bound: Duration,
}

/// A call that failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The request cannot be expressed in HTTP.
    #[snafu(display("the request is not valid HTTP"))]
    BadRequest,
    /// The upstream gave no answer.
    #[snafu(transparent)]
    Send {
        /// Cause.
        source: SendError,
    },
    /// The connection broke in the middle of the answer.
    #[snafu(display("the upstream closed the connection before the end of the answer"))]
    Broken,
    /// The upstream sent nothing for too long.
    #[snafu(display("the upstream sent nothing for {} ms", bound.as_millis()))]
    Silent {
        /// Longest wait.
        bound: Duration,
    },
}

impl CallError {
    /// Whether the call may have run.
    pub const fn verdict(&self) -> RunVerdict {
        match self {
            Self::BadRequest => RunVerdict::NotRun,
            Self::Send { source } => source.verdict(),
            Self::Broken | Self::Silent { .. } => RunVerdict::MayHaveRun,
        }
    }
}

impl CallError {
    /// Whether the connection to the upstream broke, as it does when the upstream crashes.
    pub const fn is_break(&self) -> bool {
        matches!(
            self,
            Self::Broken
                | Self::Send {
                    source: SendError::Broken { .. }
                }
        )
    }
}

/// Answer of an upstream while it arrives.
pub trait UpstreamAnswer: Send + 'static {
    /// HTTP status.
    fn status(&self) -> u16;

    /// Header fields.
    fn headers(&self) -> Vec<HeaderField>;

    /// Next bytes of the body; `None` at its end.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, CallError>> + Send;
}

/// Interface to an upstream. Another format of engines is adapted by another implementation.
pub trait UpstreamClient: Send + Sync + 'static {
    /// Answer type.
    type Answer: UpstreamAnswer;

    /// Starts a call.
    fn call(
        &self,
        call: &UpstreamCall,
        body: Bytes,
    ) -> impl Future<Output = Result<Self::Answer, CallError>> + Send;

    /// Sends an order and waits at most `bound`.
    fn order(
        &self,
        order: &EngineOrder,
        bound: Duration,
    ) -> impl Future<Output = OrderResult> + Send;
}

/// An upstream that speaks HTTP/1.1.
#[derive(Debug, Clone)]
pub struct HttpUpstream {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpUpstream {
    /// The upstream at `address`.
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
        let response = self.client.send(self.address, request, call.bound).await?;
        Ok(HttpAnswer {
            response,
            silence: call.bound,
        })
    }

    async fn order(&self, order: &EngineOrder, bound: Duration) -> OrderResult {
        let body = serde_json::to_vec(order).expect("orders encode as JSON");
        let request = Request::post(ORDER_PATH)
            .header(http::header::HOST, self.address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("path and headers are valid");
        match self.client.send(self.address, request, bound).await {
            Ok(response) if response.status().is_success() => OrderResult::Done,
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
    /// Longest wait for the next bytes: the time until the deadline before the first ones, then
    /// [`UPSTREAM_SILENCE`].
    silence: Duration,
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

    async fn next(&mut self) -> Result<Option<Bytes>, CallError> {
        loop {
            let Ok(frame) = timeout(self.silence, self.response.body_mut().frame()).await else {
                return SilentSnafu {
                    bound: self.silence,
                }
                .fail();
            };
            match frame {
                None => return Ok(None),
                Some(Err(_)) => return BrokenSnafu.fail(),
                // Trailers carry nothing that callers need.
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.silence = UPSTREAM_SILENCE;
                        return Ok(Some(data));
                    }
                }
            }
        }
    }
}
