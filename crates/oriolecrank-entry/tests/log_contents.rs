//! Contents of the log lines of an entry. A test program of its own, because the tracing subscriber
//! is global to the process.

#![expect(
    clippy::unwrap_used,
    dead_code,
    reason = "the harness is shared with the other tests and uses unwrap outside of test functions"
)]

#[path = "entry/harness.rs"]
mod harness;

use std::io::Write;
use std::sync::{Arc, Mutex};

use oriolecrank_fakes::{accepted, failed};
use oriolecrank_schema::control::{Command, CommandOutcome};
use oriolecrank_schema::data_path::RunVerdict;

use harness::{EntrySetup, GROVE_KEY, TestEntry, booking, completion, scripted};

/// Buffer that collects all log output.
#[derive(Debug, Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against API keys, idempotency keys and prompts in the log, even at the most verbose level
/// and when requests fail, and against lines without an event number.
#[tokio::test]
async fn logs_show_failures_without_keys_and_prompts() {
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    tracing_subscriber::fmt()
        .with_max_level(tracing::Level::TRACE)
        .with_ansi(false)
        .with_writer(move || writer.clone())
        .init();
    let failing = scripted(
        |_| {
            vec![
                accepted(),
                failed(RunVerdict::MayHaveRun, "upstream_failed"),
            ]
        },
        |_| vec![],
    );
    let entry = TestEntry::start(EntrySetup {
        agents: vec![(failing.clone(), "assistant"), (failing, "desk")],
        commands: Box::new(|command| match command {
            Command::OpenClaim { .. } => CommandOutcome::Refused {
                reason: "unknown upstream".to_owned(),
            },
            _ => CommandOutcome::Accepted,
        }),
        ..EntrySetup::default()
    })
    .await;
    assert_eq!(entry.complete(false).await.status, 502);
    assert_eq!(
        entry.send(booking(Some("secret-booking-7"))).await.status,
        503
    );
    assert_eq!(entry.send(booking(None)).await.status, 502);
    let invalid = completion("a-stolen-key-5e55", false);
    assert_eq!(entry.send(invalid).await.status, 401);
    let unreadable = completion(GROVE_KEY, false).body("{\"is room 7 vacant?\":");
    assert_eq!(entry.send(unreadable).await.status, 400);
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    assert!(text.contains("attempt failed"), "failures are logged");
    for secret in [GROVE_KEY, "a-stolen-key-5e55", "secret-booking-7", "vacant"] {
        assert!(!text.contains(secret), "{secret} is in the log");
    }
    let own_lines = text.lines().filter(|line| line.contains("oriolecrank_"));
    for line in own_lines {
        assert!(line.contains("event="), "no event number: {line}");
    }
}
