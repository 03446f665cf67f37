//! Sends requests to a local cluster as a caller and checks the answers.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use oriolecrank_fakes::expected_text;
use oriolecrank_net::HttpClient;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::local_cluster::{LOCAL_KEY, LocalCluster};

/// Time limit for the head of an answer, and again for its body.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for the cluster to answer its first completion.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay between two attempts while the cluster starts.
const START_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum size of an answer body, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Output tokens of each completion.
const TOKENS: u64 = 12;

/// Result of one check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckResult {
    /// Name of the check, as printed.
    pub name: &'static str,
    /// Why the check failed; `None` if it passed.
    pub failure: Option<String>,
}

impl fmt::Display for CheckResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.failure {
            None => write!(formatter, "ok      {}", self.name),
            Some(failure) => write!(formatter, "FAILED  {}: {failure}", self.name),
        }
    }
}

#[derive(Debug)]
struct ReceivedAnswer {
    status: StatusCode,
    body: String,
}

/// Waits until the cluster answers, then runs every check once and returns the results in order.
pub async fn self_check(cluster: &LocalCluster) -> Vec<CheckResult> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let caller = Caller {
        client: HttpClient::default(),
        address: cluster.caller_address,
        idempotency_key: format!("self-check-{}", since_epoch.as_nanos()),
    };
    let mut results = vec![check("cluster is ready", caller.wait_ready().await)];
    results.push(check(
        "answer in one piece",
        caller.check_unstreamed().await,
    ));
    results.push(check("streamed answer", caller.check_streamed().await));
    results.push(check(
        "invalid key is refused",
        caller.check_invalid_key().await,
    ));
    results.push(check(
        "non-idempotent call",
        caller.check_non_idempotent_call(cluster).await,
    ));
    results
}

fn check(name: &'static str, result: Result<(), String>) -> CheckResult {
    CheckResult {
        name,
        failure: result.err(),
    }
}

#[derive(Debug)]
struct Caller {
    client: HttpClient,
    address: SocketAddr,
    /// Unique to each run, because the data folder keeps the answers stored in earlier runs.
    idempotency_key: String,
}

impl Caller {
    async fn send(
        &self,
        method: Method,
        path: &str,
        key: &str,
        body: String,
    ) -> Result<ReceivedAnswer, String> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(AUTHORIZATION, format!("Bearer {key}"))
            .header(CONTENT_TYPE, "application/json")
            .header("idempotency-key", self.idempotency_key.as_str())
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| error.to_string())?;
        let response = self
            .client
            .send(self.address, request, ANSWER_TIMEOUT)
            .await;
        let response = response.map_err(|error| error.to_string())?;
        let status = response.status();
        let bytes = response.collect(MAX_ANSWER_BYTES, ANSWER_TIMEOUT).await;
        let bytes = bytes.map_err(|error| error.to_string())?;
        Ok(ReceivedAnswer {
            status,
            body: String::from_utf8_lossy(&bytes).into_owned(),
        })
    }

    async fn complete(&self, prompt: &str, stream: bool) -> Result<ReceivedAnswer, String> {
        let messages = json!([{ "role": "user", "content": prompt }]);
        let body = json!({
            "model": "demo", "messages": messages, "stream": stream, "max_tokens": TOKENS,
        });
        self.send(
            Method::POST,
            "/v1/chat/completions",
            LOCAL_KEY,
            body.to_string(),
        )
        .await
    }

    async fn wait_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let answer = self.complete("hello", false).await?;
            if answer.status == StatusCode::OK {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(format!(
                    "no completion succeeded within {START_TIMEOUT:?}; last answer: status {}: {}",
                    answer.status, answer.body
                ));
            }
            sleep(START_INTERVAL).await;
        }
    }

    async fn check_unstreamed(&self) -> Result<(), String> {
        let answer = self.complete("whole", false).await?;
        let json: Value = serde_json::from_str(&answer.body).map_err(|error| error.to_string())?;
        let text = json["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default();
        expect_equal(text, &expected_text("whole", TOKENS))
    }

    async fn check_streamed(&self) -> Result<(), String> {
        let answer = self.complete("streamed", true).await?;
        if !answer.body.trim_end().ends_with("data: [DONE]") {
            return Err(format!(
                "expected the stream to end with `data: [DONE]`, got: {}",
                answer.body
            ));
        }
        let events = answer
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: {"));
        let values = events.filter_map(|event| serde_json::from_str(&format!("{{{event}")).ok());
        let parts = values.filter_map(|value: Value| {
            Some(value["choices"][0]["delta"]["content"].as_str()?.to_owned())
        });
        expect_equal(
            &parts.collect::<String>(),
            &expected_text("streamed", TOKENS),
        )
    }

    async fn check_invalid_key(&self) -> Result<(), String> {
        let answer = self
            .send(Method::GET, "/v1/models", "wrong", String::new())
            .await?;
        expect_equal(answer.status.as_str(), StatusCode::UNAUTHORIZED.as_str())
    }

    async fn check_non_idempotent_call(&self, cluster: &LocalCluster) -> Result<(), String> {
        let before = cluster.ledger.entries().len();
        let body = json!({ "animal": "T-17", "grams": 812 }).to_string();
        let mut bodies = Vec::new();
        for _ in 0..2 {
            let path = "/services/ledger/entries";
            let answer = self
                .send(Method::POST, path, LOCAL_KEY, body.clone())
                .await?;
            expect_equal(answer.status.as_str(), StatusCode::CREATED.as_str())?;
            bodies.push(answer.body);
        }
        expect_equal(&bodies[1], &bodies[0])?;
        expect_equal(
            &cluster.ledger.entries().len().to_string(),
            &(before + 1).to_string(),
        )
    }
}

fn expect_equal(actual: &str, expected: &str) -> Result<(), String> {
    if actual == expected {
        return Ok(());
    }
    Err(format!("expected {expected:?}, got {actual:?}"))
}
