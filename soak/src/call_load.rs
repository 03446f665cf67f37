//! Callers that book once and read streams, and what they check.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use oriolecrank_fakes::{FakeLedger, expected_text};
use oriolecrank_net::HttpClient;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::operator_load::KEY;
use crate::soak_report::SoakReport;

/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Tries of one booking, all with the same idempotency key.
const BOOKING_TRIES: u32 = 3;

/// Tokens of a stream; at 20 ms each it lasts for a second.
const STREAM_TOKENS: u64 = 50;

/// Pause of a caller between two calls, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// What the answers to a booking say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BookingEnd {
    /// It was answered with success.
    Booked,
    /// All answers say that it has not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Bookings by their bodies.
#[derive(Debug, Default)]
pub(crate) struct BookingLog(Mutex<HashMap<String, BookingEnd>>);

/// One caller.
pub(crate) struct SoakCaller {
    pub(crate) number: u64,
    pub(crate) seed: u64,
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) client: HttpClient,
    pub(crate) log: Arc<BookingLog>,
    pub(crate) report: Arc<Mutex<SoakReport>>,
}

impl SoakCaller {
    /// Calls until it is aborted or `stop` is set.
    pub(crate) async fn run(self, stop: Arc<std::sync::atomic::AtomicBool>) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ self.number);
        let mut call = 0_u64;
        while !stop.load(std::sync::atomic::Ordering::SeqCst) {
            call += 1;
            let name = format!("{}-{call}", self.number);
            if random.random_bool(0.6) {
                let end = self.book(&name, &mut random).await;
                self.note_booking(name, end);
            } else {
                self.stream(&name, &mut random).await;
            }
            sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        }
    }

    /// Whether a booking and a stream succeed at once.
    pub(crate) async fn probe(&self) -> bool {
        let mut random = ChaCha8Rng::from_os_rng();
        let name = format!("probe-{}", random.random::<u64>());
        let booked = self.book(&name, &mut random).await == BookingEnd::Booked;
        self.stream(&name, &mut random).await;
        let report = self.report.lock().expect("no holder of the report panics");
        booked && report.complete == 1
    }

    fn note_booking(&self, name: String, end: BookingEnd) {
        let mut report = self.report.lock().expect("no holder of the report panics");
        report.bookings += 1;
        report.booked += u32::from(end == BookingEnd::Booked);
        report.not_run += u32::from(end == BookingEnd::NotRun);
        drop(report);
        let mut log = self.log.0.lock().expect("no holder of the log panics");
        log.insert(name, end);
    }

    /// Sends one booking, again with the same key after a failure.
    async fn book(&self, name: &str, random: &mut ChaCha8Rng) -> BookingEnd {
        let mut end = BookingEnd::NotRun;
        for _ in 0..BOOKING_TRIES {
            let request = Request::post("/services/ledger/entries")
                .header("host", "entry")
                .header("authorization", format!("Bearer {KEY}"))
                .header("idempotency-key", name)
                .body(Full::new(Bytes::from(name.to_owned())))
                .expect("the request is valid");
            let entry = self.any_entry(random);
            let answer = self.client.send(entry, request, ANSWER_TIMEOUT).await;
            let Ok(answer) = answer else {
                self.note_failure("no answer");
                end = BookingEnd::Unknown;
                continue;
            };
            let status = answer.status();
            let body = answer.collect(1024 * 1024, ANSWER_TIMEOUT).await;
            match body {
                Ok(_) if status == StatusCode::CREATED => return BookingEnd::Booked,
                Ok(body) => {
                    let error = failure(&body);
                    self.note_failure(error["code"].as_str().unwrap_or("no code"));
                    if error["verdict"] != "not_run" {
                        end = BookingEnd::Unknown;
                    }
                }
                Err(_) => end = BookingEnd::Unknown,
            }
            sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        }
        end
    }

    /// Reads one stream and compares its text with that of the engine.
    async fn stream(&self, name: &str, random: &mut ChaCha8Rng) {
        let body = json!({
            "model": "demo", "max_tokens": STREAM_TOKENS, "stream": true,
            "messages": [{ "role": "user", "content": name }],
        });
        let request = Request::post("/v1/chat/completions")
            .header("host", "entry")
            .header("authorization", format!("Bearer {KEY}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the request is valid");
        let entry = self.any_entry(random);
        let Ok(answer) = self.client.send(entry, request, ANSWER_TIMEOUT).await else {
            return;
        };
        let status = answer.status();
        let whole = answer.collect(1024 * 1024, ANSWER_TIMEOUT).await;
        if status != StatusCode::OK {
            let error = whole.map(|body| failure(&body)).unwrap_or_default();
            return self.note_failure(error["code"].as_str().unwrap_or("no code"));
        }
        let mut report = self.report.lock().expect("no holder of the report panics");
        report.streams += 1;
        // A stream that broke off is allowed. The client keeps nothing of it, so its events are not checked.
        let Ok(bytes) = whole else {
            return;
        };
        let text = String::from_utf8_lossy(&bytes);
        let expected = expected_text(name, STREAM_TOKENS);
        let seen = stream_text(&text);
        if !expected.starts_with(&seen) {
            report.broken(format!("stream {name} has other text: {seen:?}"));
        }
        if text.trim_end().ends_with("data: [DONE]") {
            report.complete += 1;
            if seen != expected {
                report.broken(format!("stream {name} is complete, but lacks events"));
            }
        }
    }

    fn note_failure(&self, code: &str) {
        let mut report = self.report.lock().expect("no holder of the report panics");
        report.failed(code);
    }

    fn any_entry(&self, random: &mut ChaCha8Rng) -> SocketAddr {
        self.entries[random.random_range(0..self.entries.len())]
    }
}

/// Failure that the body of an answer states.
fn failure(body: &[u8]) -> Value {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    body["error"].clone()
}

/// Text of all events of a stream.
fn stream_text(text: &str) -> String {
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    events
        .filter_map(|event| {
            let content = &event["choices"][0]["delta"]["content"];
            content.as_str().map(ToOwned::to_owned)
        })
        .collect()
}

impl BookingLog {
    /// Compares the answers with what the ledgers hold.
    pub(crate) fn check(&self, ledgers: &[FakeLedger], report: &mut SoakReport) {
        let mut written: HashMap<String, u32> = HashMap::new();
        for entry in ledgers.iter().flat_map(FakeLedger::entries) {
            let name = String::from_utf8_lossy(&entry.body).into_owned();
            *written.entry(name).or_default() += 1;
        }
        for (name, count) in &written {
            if *count > 1 {
                report.broken(format!("booking {name} was written {count} times"));
            }
        }
        let log = self.0.lock().expect("no holder of the log panics");
        for (name, end) in log.iter() {
            let count = written.get(name).copied().unwrap_or(0);
            match end {
                BookingEnd::Booked if count == 0 => {
                    report.broken(format!("booking {name} was confirmed, but not written"));
                }
                BookingEnd::NotRun if count > 0 => {
                    report.broken(format!(
                        "booking {name} has run, though all said it had not"
                    ));
                }
                BookingEnd::Booked | BookingEnd::NotRun | BookingEnd::Unknown => {}
            }
        }
    }
}
