//! Answers to callers.

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use oriolecrank_net::AnswerBody;
use oriolecrank_schema::data_path::RunVerdict;
use serde_json::json;

/// Header with the request id, accepted from callers and sent back.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// A failure as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerError {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable code.
    pub code: String,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// One sentence.
    pub message: String,
    /// Suggested delay before a retry, in seconds.
    pub retry_after_s: Option<u64>,
}

impl CallerError {
    /// A refusal of a request that has not run.
    pub fn not_run(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            code: code.to_owned(),
            verdict: RunVerdict::NotRun,
            message: message.into(),
            retry_after_s: None,
        }
    }

    /// Adds a delay after which the caller may retry.
    #[must_use]
    pub const fn with_retry_after(mut self, seconds: u64) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// JSON body.
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

    /// Complete HTTP answer.
    pub fn answer(&self, request_id: &str) -> Response<AnswerBody> {
        let mut response = json_answer(self.status, self.body(request_id), request_id);
        if let Some(seconds) = self.retry_after_s {
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    /// The failure as a server-sent event, for an answer that has already begun.
    pub fn event(&self, request_id: &str) -> String {
        format!("event: error\ndata: {}\n\n", self.body(request_id))
    }
}

/// An answer with a JSON body.
pub fn json_answer(status: StatusCode, body: String, request_id: &str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}
