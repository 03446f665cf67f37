//! Callers that send bookings and read streams, and the checks of their answers.
//!
//! A booking is a non-idempotent call that writes to a ledger; it must run at most once.

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

use crate::operator_load::CALLER_KEY;
use crate::soak_report::SoakReport;

/// Time limit for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum number of attempts at one booking, all with the same idempotency key.
const BOOKING_TRIES: u32 = 3;

/// Number of tokens of a stream; at 20 ms each it lasts one second.
const STREAM_TOKENS: u64 = 50;

/// Range of the random pause between two calls of a caller, in milliseconds.
const PAUSE_RANGE_MS: std::ops::Range<u64> = 5..60;

/// Outcome of a booking according to its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BookingOutcome {
    /// An answer confirmed it.
    Booked,
    /// All answers said that it had not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Outcomes of the bookings by name; the name of a booking is also its body.
#[derive(Debug, Default)]
pub(crate) struct BookingLog(Mutex<HashMap<String, BookingOutcome>>);

/// A caller that sends one call at a time, each to a random entry.
pub(crate) struct SoakCaller {
    /// Number of the caller, part of the names of its calls.
    pub(crate) number: u64,
    /// Seed of the run; with the number it determines the random choices of [`SoakCaller::run`].
    pub(crate) seed: u64,
    /// Addresses of the entries to choose from.
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) client: HttpClient,
    pub(crate) log: Arc<BookingLog>,
    pub(crate) report: Arc<Mutex<SoakReport>>,
}

impl SoakCaller {
    /// Sends calls until `stop` is set.
    pub(crate) async fn run(self, stop: Arc<std::sync::atomic::AtomicBool>) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ self.number);
        let mut call = 0_u64;
        while !stop.load(std::sync::atomic::Ordering::SeqCst) {
            call += 1;
            let name = format!("{}-{call}", self.number);
            if random.random_bool(0.6) {
                let outcome = self.book(&name, &mut random).await;
                self.record_booking(name, outcome);
            } else {
                self.stream(&name, &mut random).await;
            }
            sleep(Duration::from_millis(random.random_range(PAUSE_RANGE_MS))).await;
        }
    }

    /// Sends a booking and a stream; returns true if the booking is confirmed and the stream is
    /// complete. The report of this caller must be empty before.
    pub(crate) async fn probe(&self) -> bool {
        let mut random = ChaCha8Rng::from_os_rng();
        let name = format!("probe-{}", random.random::<u64>());
        let booked = self.book(&name, &mut random).await == BookingOutcome::Booked;
        self.stream(&name, &mut random).await;
        let report = self.report.lock().expect("no holder of the report panics");
        booked && report.complete == 1
    }

    fn record_booking(&self, name: String, outcome: BookingOutcome) {
        let mut report = self.report.lock().expect("no holder of the report panics");
        report.bookings += 1;
        report.booked += u32::from(outcome == BookingOutcome::Booked);
        report.not_run += u32::from(outcome == BookingOutcome::NotRun);
        drop(report);
        let mut log = self.log.0.lock().expect("no holder of the log panics");
        log.insert(name, outcome);
    }

    /// Sends one booking and repeats it with the same idempotency key after a failure.
    async fn book(&self, name: &str, random: &mut ChaCha8Rng) -> BookingOutcome {
        let mut outcome = BookingOutcome::NotRun;
        for _ in 0..BOOKING_TRIES {
            let request = Request::post("/services/ledger/entries")
                .header("host", "entry")
                .header("authorization", format!("Bearer {CALLER_KEY}"))
                .header("idempotency-key", name)
                .body(Full::new(Bytes::from(name.to_owned())))
                .expect("the request is valid");
            let entry = self.random_entry(random);
            let answer = self.client.send(entry, request, ANSWER_TIMEOUT).await;
            let Ok(answer) = answer else {
                self.count_failure("no answer");
                outcome = BookingOutcome::Unknown;
                continue;
            };
            let status = answer.status();
            let body = answer.collect(1024 * 1024, ANSWER_TIMEOUT).await;
            match body {
                Ok(_) if status == StatusCode::CREATED => return BookingOutcome::Booked,
                Ok(body) => {
                    let error = error_object(&body);
                    self.count_failure(error["code"].as_str().unwrap_or("no code"));
                    if error["verdict"] != "not_run" {
                        outcome = BookingOutcome::Unknown;
                    }
                }
                Err(_) => outcome = BookingOutcome::Unknown,
            }
            sleep(Duration::from_millis(random.random_range(PAUSE_RANGE_MS))).await;
        }
        outcome
    }

    /// Reads one stream and checks that its text is the one that the engine generates.
    async fn stream(&self, name: &str, random: &mut ChaCha8Rng) {
        let body = json!({
            "model": "demo", "max_tokens": STREAM_TOKENS, "stream": true,
            "messages": [{ "role": "user", "content": name }],
        });
        let request = Request::post("/v1/chat/completions")
            .header("host", "entry")
            .header("authorization", format!("Bearer {CALLER_KEY}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the request is valid");
        let entry = self.random_entry(random);
        let Ok(answer) = self.client.send(entry, request, ANSWER_TIMEOUT).await else {
            return;
        };
        let status = answer.status();
        let body = answer.collect(1024 * 1024, ANSWER_TIMEOUT).await;
        if status != StatusCode::OK {
            let error = body.map(|body| error_object(&body)).unwrap_or_default();
            return self.count_failure(error["code"].as_str().unwrap_or("no code"));
        }
        let mut report = self.report.lock().expect("no holder of the report panics");
        report.streams += 1;
        // A stream may break off. The client keeps none of its bytes, so its text is not checked.
        let Ok(bytes) = body else {
            return;
        };
        let text = String::from_utf8_lossy(&bytes);
        let expected = expected_text(name, STREAM_TOKENS);
        let received_text = stream_text(&text);
        if !expected.starts_with(&received_text) {
            report.add_violation(format!(
                "stream {name} has unexpected text: {received_text:?}"
            ));
        }
        if text.trim_end().ends_with("data: [DONE]") {
            report.complete += 1;
            if received_text != expected {
                report.add_violation(format!("stream {name} is complete, but events are missing"));
            }
        }
    }

    fn count_failure(&self, code: &str) {
        let mut report = self.report.lock().expect("no holder of the report panics");
        report.count_failure(code);
    }

    fn random_entry(&self, random: &mut ChaCha8Rng) -> SocketAddr {
        self.entries[random.random_range(0..self.entries.len())]
    }
}

/// Error object in the body of an answer; null if there is none.
fn error_object(body: &[u8]) -> Value {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    body["error"].clone()
}

/// Concatenated text of all events of a stream.
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
    /// Checks that no booking was written twice, that confirmed ones were written, and that those
    /// reported as not run were not.
    pub(crate) fn check(&self, ledgers: &[FakeLedger], report: &mut SoakReport) {
        let mut written: HashMap<String, u32> = HashMap::new();
        for entry in ledgers.iter().flat_map(FakeLedger::entries) {
            let name = String::from_utf8_lossy(&entry.body).into_owned();
            *written.entry(name).or_default() += 1;
        }
        for (name, count) in &written {
            if *count > 1 {
                report.add_violation(format!("booking {name} was written {count} times"));
            }
        }
        let log = self.0.lock().expect("no holder of the log panics");
        for (name, outcome) in log.iter() {
            let count = written.get(name).copied().unwrap_or(0);
            match outcome {
                BookingOutcome::Booked if count == 0 => {
                    report.add_violation(format!("booking {name} was confirmed, but not written"));
                }
                BookingOutcome::NotRun if count > 0 => {
                    report.add_violation(format!(
                        "booking {name} was written, but all answers said that it had not run"
                    ));
                }
                BookingOutcome::Booked | BookingOutcome::NotRun | BookingOutcome::Unknown => {}
            }
        }
    }
}
