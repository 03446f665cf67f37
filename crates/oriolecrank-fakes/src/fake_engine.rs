//! A fake model engine with OpenAI-style completions.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_net::{
    AnswerBody, BodyAborted, BodySender, HttpHandler, empty_answer, read_body, text_answer,
};
use oriolecrank_schema::control::EngineOrder;
use serde::Deserialize;
use serde_json::json;
use tokio::time::sleep;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Output tokens of a request without `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;

/// Path that returns the number of received completion requests as text.
pub const CALLS_PATH: &str = "/admin/calls";

/// Path that returns the number of crashes as text.
pub const CRASHES_PATH: &str = "/admin/crashes";

/// A prompt with this text crashes the engine if [`EngineFaults::crash_on_marker`] is set.
pub const CRASH_MARKER: &str = "crash-the-engine";

/// Latencies of a [`FakeEngine`].
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between two tokens.
    pub between_tokens: Duration,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(5),
            between_tokens: Duration::from_millis(2),
        }
    }
}

/// Injected faults of a [`FakeEngine`]. Changes take effect immediately, also for running streams.
#[derive(Debug, Default)]
pub struct EngineFaults {
    /// Whether a request whose prompt contains [`CRASH_MARKER`] aborts all running answers, as a
    /// crash of the engine process does.
    pub crash_on_marker: AtomicBool,
    /// Number of tokens after which a streamed answer is aborted; 0 disables the fault.
    pub break_after_tokens: AtomicU64,
    /// Number of tokens after which a streamed answer sends nothing more but stays open; 0 disables
    /// the fault.
    pub silent_after_tokens: AtomicU64,
    /// Whether streamed answers end without their usage event and end marker.
    pub omit_end_marker: AtomicBool,
    /// Whether orders with a fence below the highest accepted one are refused with status 409;
    /// otherwise the engine ignores the fence, as some engines do.
    pub checks_fencing: AtomicBool,
}

/// A fake engine whose answers are deterministic; see [`expected_text`]. Clones share one state.
#[derive(Debug, Clone, Default)]
pub struct FakeEngine {
    shared: Arc<EngineState>,
}

#[derive(Debug, Default)]
struct EngineState {
    options: EngineOptions,
    faults: EngineFaults,
    /// Running answers compare this counter with its value at their start to notice a crash.
    crashes: AtomicU32,
    calls: AtomicU32,
    headers: Mutex<Vec<HeaderMap>>,
    orders: Mutex<Vec<EngineOrder>>,
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    #[serde(default)]
    messages: serde_json::Value,
    #[serde(default)]
    prompt: serde_json::Value,
}

impl CompletionBody {
    /// Prompt of a completion, or the content of the last message of a chat.
    fn prompt_text(&self) -> String {
        match (&self.prompt, &self.messages) {
            (serde_json::Value::String(text), _) => text.clone(),
            (_, messages) => {
                let last = messages.as_array().and_then(|list| list.last());
                last.and_then(|item| item["content"].as_str())
                    .unwrap_or_default()
                    .to_owned()
            }
        }
    }
}

/// Text of the answer to a prompt. It depends on the prompt and numbers its tokens, so that a test
/// can check that an answer is complete and belongs to its request.
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

fn token(prompt: &str, index: u64) -> String {
    let sum = prompt.bytes().fold(0_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    format!("{sum:08x}-{index} ")
}

impl FakeEngine {
    /// Creates an engine without faults.
    pub fn new(options: EngineOptions) -> Self {
        Self {
            shared: Arc::new(EngineState {
                options,
                ..EngineState::default()
            }),
        }
    }

    /// Injected faults, which a test changes through their atomics.
    pub fn faults(&self) -> &EngineFaults {
        &self.shared.faults
    }

    /// Number of completion requests received, invalid ones included.
    pub fn calls(&self) -> u32 {
        self.shared.calls.load(Ordering::SeqCst)
    }

    /// Number of crashes, by [`Self::crash`] or by the [`CRASH_MARKER`].
    pub fn crashes(&self) -> u32 {
        self.shared.crashes.load(Ordering::SeqCst)
    }

    /// Accepted orders, in the order of their arrival.
    pub fn accepted_orders(&self) -> Vec<EngineOrder> {
        self.shared
            .orders
            .lock()
            .expect("no holder of the order lock panics")
            .clone()
    }

    /// Header fields of all completion requests, in the order of their arrival.
    pub fn seen_headers(&self) -> Vec<HeaderMap> {
        self.shared
            .headers
            .lock()
            .expect("no holder of the header lock panics")
            .clone()
    }

    /// Aborts all running answers, as a crash of the engine process does.
    pub fn crash(&self) {
        self.shared.crashes.fetch_add(1, Ordering::SeqCst);
    }

    fn record_headers(&self, headers: &HeaderMap) {
        let mut seen = self
            .shared
            .headers
            .lock()
            .expect("no holder of the header lock panics");
        seen.push(headers.clone());
    }

    /// Accepts or refuses an order; returns the status of the answer.
    fn accept_order(&self, body: &[u8]) -> StatusCode {
        let Ok(order) = serde_json::from_slice::<EngineOrder>(body) else {
            return StatusCode::BAD_REQUEST;
        };
        let mut orders = self
            .shared
            .orders
            .lock()
            .expect("no holder of the order lock panics");
        let fence = |order: &EngineOrder| (order.fence.term, order.fence.sequence);
        let highest = orders.iter().map(fence).max();
        if self.shared.faults.checks_fencing.load(Ordering::SeqCst) && Some(fence(&order)) < highest
        {
            return StatusCode::CONFLICT;
        }
        orders.push(order);
        StatusCode::OK
    }

    async fn complete(&self, headers: &HeaderMap, body: Bytes) -> Response<AnswerBody> {
        let Ok(request) = serde_json::from_slice::<CompletionBody>(&body) else {
            return text_answer(
                StatusCode::BAD_REQUEST,
                "expected the body to be a JSON completion request".to_owned(),
            );
        };
        let resume = headers
            .get("x-resume-tokens")
            .and_then(|value| value.to_str().ok());
        let first = resume.and_then(|text| text.parse().ok()).unwrap_or(0);
        let prompt = request.prompt_text();
        if prompt.contains(CRASH_MARKER)
            && self.shared.faults.crash_on_marker.load(Ordering::SeqCst)
        {
            self.crash();
            let (sender, body) = AnswerBody::stream();
            // The receiver may already be dropped.
            let _ = sender.send(Err(BodyAborted)).await;
            return Response::new(body);
        }
        let tokens = request.max_tokens.unwrap_or(DEFAULT_TOKENS);
        let prompt_tokens = (prompt.len() as u64).div_ceil(4);
        let usage = json!({ "prompt_tokens": prompt_tokens, "completion_tokens": tokens });
        if request.stream {
            let (sender, body) = AnswerBody::stream();
            let answer = StreamedAnswer {
                prompt,
                first,
                tokens,
                usage: usage.to_string(),
            };
            tokio::spawn(answer.send(Arc::clone(&self.shared), sender));
            return with_content_type(Response::new(body), "text/event-stream");
        }
        self.whole_answer(&prompt, tokens, &usage).await
    }

    async fn whole_answer(
        &self,
        prompt: &str,
        tokens: u64,
        usage: &serde_json::Value,
    ) -> Response<AnswerBody> {
        let crashes = self.crashes();
        let options = &self.shared.options;
        sleep(options.first_token + options.between_tokens * tokens as u32).await;
        if self.crashes() != crashes {
            let (sender, body) = AnswerBody::stream();
            // The receiver may already be dropped.
            let _ = sender.send(Err(BodyAborted)).await;
            return Response::new(body);
        }
        let message = json!({ "role": "assistant", "content": expected_text(prompt, tokens) });
        let answer = json!({
            "object": "chat.completion",
            "choices": [{ "index": 0, "message": message, "finish_reason": "stop" }],
            "usage": usage,
        });
        let response = Response::new(AnswerBody::full(answer.to_string()));
        with_content_type(response, "application/json")
    }
}

/// One streamed answer.
#[derive(Debug)]
struct StreamedAnswer {
    prompt: String,
    /// Index of the first token to send; above 0 if an interrupted answer is continued.
    first: u64,
    /// Number of tokens of the complete answer.
    tokens: u64,
    /// Usage as JSON.
    usage: String,
}

impl StreamedAnswer {
    async fn send(self, state: Arc<EngineState>, sender: BodySender) {
        let crashes = state.crashes.load(Ordering::SeqCst);
        sleep(state.options.first_token).await;
        for index in self.first..self.tokens {
            let sent = index - self.first;
            if state.crashes.load(Ordering::SeqCst) != crashes
                || is_due(&state.faults.break_after_tokens, sent)
            {
                // The receiver may already be dropped.
                let _ = sender.send(Err(BodyAborted)).await;
                return;
            }
            if is_due(&state.faults.silent_after_tokens, sent) {
                sender.closed().await;
                return;
            }
            let delta = json!({ "content": token(&self.prompt, index) });
            let event = json!({ "choices": [{ "index": 0, "delta": delta }] });
            if sender
                .send(Ok(format!("data: {event}\n\n").into()))
                .await
                .is_err()
            {
                return;
            }
            sleep(state.options.between_tokens).await;
        }
        if state.faults.omit_end_marker.load(Ordering::SeqCst) {
            return;
        }
        let usage = format!("data: {{\"choices\":[],\"usage\":{}}}\n\n", self.usage);
        // An error means that the receiver was dropped.
        let _ = sender.send(Ok(usage.into())).await;
        let _ = sender
            .send(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
            .await;
    }
}

/// Whether a fault that occurs after `limit` tokens is due; 0 disables it.
fn is_due(limit: &AtomicU64, sent: u64) -> bool {
    let limit = limit.load(Ordering::SeqCst);
    limit > 0 && sent >= limit
}

fn with_content_type(
    mut response: Response<AnswerBody>,
    name: &'static str,
) -> Response<AnswerBody> {
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(name));
    response
}

impl HttpHandler for FakeEngine {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        match head.uri.path() {
            CALLS_PATH => text_answer(StatusCode::OK, self.calls().to_string()),
            CRASHES_PATH => text_answer(StatusCode::OK, self.crashes().to_string()),
            "/health" => empty_answer(StatusCode::OK),
            "/admin/orders" => match read_body(body, MAX_BODY_BYTES).await {
                Some(body) => empty_answer(self.accept_order(&body)),
                None => empty_answer(StatusCode::PAYLOAD_TOO_LARGE),
            },
            "/v1/chat/completions" | "/v1/completions" => {
                self.shared.calls.fetch_add(1, Ordering::SeqCst);
                self.record_headers(&head.headers);
                let Some(body) = read_body(body, MAX_BODY_BYTES).await else {
                    return empty_answer(StatusCode::PAYLOAD_TOO_LARGE);
                };
                self.complete(&head.headers, body).await
            }
            _ => empty_answer(StatusCode::NOT_FOUND),
        }
    }
}
