//! HTTP answers to callers, including errors.

use std::time::Duration;

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use oriolecrank_net::{AnswerBody, with_close};
use oriolecrank_schema::data_path::{HeaderField, RunVerdict};
use serde_json::json;

use crate::attempt_stream::AttemptError;
use crate::caller_head::clean_answer;
use crate::running_attempt::DEADLINE_EXCEEDED;
use crate::suspect_gate::FINGERPRINT_REFUSED;

/// Header with the request id, accepted from callers and sent back.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Suggested retry delay, in seconds, for requests that have not run and whose failure suggests
/// none.
const DEFAULT_RETRY_AFTER_S: u64 = 1;

/// A failure in the form in which the caller receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerError {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable error code, part of the API for callers.
    pub code: String,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// One sentence that explains the failure.
    pub message: String,
    /// Suggested delay before a retry, in seconds; `None` if no retry is suggested.
    pub retry_after_s: Option<u64>,
    /// Whether the connection is closed, because the rest of the request was not read.
    pub closes_connection: bool,
}

impl CallerError {
    /// The refusal of a request that has not run, without a suggested retry.
    pub fn not_run(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            code: code.to_owned(),
            verdict: RunVerdict::NotRun,
            message: message.into(),
            retry_after_s: None,
            closes_connection: false,
        }
    }

    /// The failure of a request that may have run; has status 502 and suggests no retry.
    pub fn may_have_run(code: &str, message: impl Into<String>) -> Self {
        Self {
            verdict: RunVerdict::MayHaveRun,
            ..Self::not_run(StatusCode::BAD_GATEWAY, code, message)
        }
    }

    /// Sets the suggested delay before a retry.
    #[must_use]
    pub const fn with_retry_after(mut self, seconds: u64) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Closes the connection after the answer.
    #[must_use]
    pub const fn closing(mut self) -> Self {
        self.closes_connection = true;
        self
    }

    /// The failure as a JSON body.
    pub fn body(&self, request_id: &str) -> String {
        let verdict = self.verdict.to_string();
        let error = json!({
            "code": self.code,
            "verdict": verdict,
            "message": self.message,
            "request_id": request_id,
        });
        json!({ "error": error }).to_string()
    }

    /// The failure as a complete HTTP answer.
    pub fn answer(&self, request_id: &str) -> Response<AnswerBody> {
        let mut response = json_answer(self.status, self.body(request_id));
        if let Some(seconds) = self.retry_after_s {
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.closes_connection {
            response = with_close(response);
        }
        response
    }

    /// The failure as a server-sent event, for an answer that has already begun.
    pub fn event(&self, request_id: &str) -> String {
        format!("event: error\ndata: {}\n\n", self.body(request_id))
    }
}

impl From<AttemptError> for CallerError {
    fn from(error: AttemptError) -> Self {
        let status = match (&*error.code, error.verdict) {
            (FINGERPRINT_REFUSED, _) => StatusCode::UNPROCESSABLE_ENTITY,
            (DEADLINE_EXCEEDED, _) => StatusCode::GATEWAY_TIMEOUT,
            (_, RunVerdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
            (_, RunVerdict::MayHaveRun) => StatusCode::BAD_GATEWAY,
        };
        let suggested = error.retry_after.map(whole_seconds);
        let not_run = error.verdict == RunVerdict::NotRun;
        Self {
            status,
            code: error.code,
            verdict: error.verdict,
            message: error.message,
            retry_after_s: suggested.or(not_run.then_some(DEFAULT_RETRY_AFTER_S)),
            closes_connection: false,
        }
    }
}

/// Value for the retry-after header, which is in whole seconds.
pub fn whole_seconds(delay: Duration) -> u64 {
    delay.as_millis().div_ceil(1_000).max(1) as u64
}

/// Creates an answer with a JSON body.
pub fn json_answer(status: StatusCode, body: String) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Creates the answer to the caller from that of an upstream. Drops header fields that the caller
/// must not see and the request id of the upstream.
pub fn upstream_answer(
    status: u16,
    headers: &[HeaderField],
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for field in clean_answer(headers) {
        let name = HeaderName::try_from(field.name);
        let value = HeaderValue::try_from(field.value);
        if let (Ok(name), Ok(value)) = (name, value)
            && name != REQUEST_ID_HEADER
        {
            response.headers_mut().append(name, value);
        }
    }
    response
}
