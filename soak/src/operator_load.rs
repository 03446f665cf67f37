//! An operator who submits documents, reads them back and checks the revisions.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriolecrank_ctl::{CtlEnvironment, ExitCode, run};
use serde_json::Value;
use tokio::time::sleep;

use crate::soak_report::SoakReport;

/// Key of the callers; [`DOCUMENT`] holds its digest.
pub(crate) const CALLER_KEY: &str = "example-key";

/// Template of the document. The words in capitals are replaced; deadline and request rate differ
/// in each submission.
const DOCUMENT: &str = r#"
[[regions]]
name = "local"
failure_domains = ["local"]

[[organisations]]
name = "vat-watch"

[[organisations.keys]]
name = "first"
digest = "c018c41c1afaf2c0b66c64f97d0ee135657b699ad260f299234cd40a5d625e0e"

LIMITS
[[services]]
name = "assistant"
kind = "engine"
models = ["demo"]
class = "standard"
deadline_ms = DEADLINE

[[services]]
name = "ledger"
kind = "plain"

[[services.routes]]
path = "/entries"
methods = ["POST"]
"#;

/// Limits of the organisation, far above what the callers need.
const LIMITS: &str = "
[[organisations.limits]]
requests_per_s = RATE
tokens_per_s = 5000000
concurrent = 640
";

/// Request rate in the limits, raised by 1 with each submission.
const FIRST_RATE: u64 = 10_000;

/// Deadline of the streams, in milliseconds, raised by 1 with each submission.
const FIRST_DEADLINE_MS: u64 = 6_000;

/// Time limit of one operator command, in milliseconds.
const COMMAND_TIMEOUT_MS: &str = "4000";

/// Pause between two submissions.
const PAUSE: Duration = Duration::from_millis(400);

/// An operator who sends one command at a time to the control instances.
pub(crate) struct SoakOperator {
    pub(crate) control: Vec<SocketAddr>,
    pub(crate) secret_file: PathBuf,
    pub(crate) folder: PathBuf,
    pub(crate) report: Arc<Mutex<SoakReport>>,
    /// Highest revision accepted so far; 0 before the first submission.
    pub(crate) accepted_revision: u64,
    submissions: u64,
    /// Whether the callers' organisation has limits.
    pub(crate) limits: bool,
}

impl SoakOperator {
    pub(crate) fn new(
        control: Vec<SocketAddr>,
        secret_file: PathBuf,
        folder: &Path,
        report: Arc<Mutex<SoakReport>>,
    ) -> Self {
        Self {
            control,
            secret_file,
            folder: folder.to_owned(),
            report,
            accepted_revision: 0,
            submissions: 0,
            limits: true,
        }
    }

    /// Submits and reads documents until `stop` is set.
    pub(crate) async fn run(mut self, stop: Arc<std::sync::atomic::AtomicBool>) -> Self {
        while !stop.load(std::sync::atomic::Ordering::SeqCst) {
            self.submit().await;
            self.read().await;
            sleep(PAUSE).await;
        }
        self
    }

    /// Submits the next document and checks that its revision is not older than an accepted one;
    /// returns true if it was accepted.
    pub(crate) async fn submit(&mut self) -> bool {
        self.submissions += 1;
        let file = self.folder.join("document.toml");
        let deadline_ms = FIRST_DEADLINE_MS + self.submissions;
        let rate = FIRST_RATE + self.submissions;
        let limits = if self.limits { LIMITS } else { "" };
        let text = DOCUMENT
            .replace("DEADLINE", &deadline_ms.to_string())
            .replace("LIMITS", limits)
            .replace("RATE", &rate.to_string());
        if let Err(error) = std::fs::write(&file, text) {
            self.add_violation(format!("cannot write the document file: {error}"));
            return false;
        }
        let answer = self
            .run_command(&["submit", &file.display().to_string()])
            .await;
        let Some(revision) = answer.and_then(|answer| answer["revision"].as_u64()) else {
            return false;
        };
        if revision < self.accepted_revision {
            self.add_violation(format!(
                "a document was accepted as revision {revision} after revision {}",
                self.accepted_revision
            ));
        }
        self.accepted_revision = revision.max(self.accepted_revision);
        self.lock_report().documents += 1;
        true
    }

    /// Reads the document and checks that it is not older than the last accepted one; returns true
    /// if the read was answered.
    pub(crate) async fn read(&mut self) -> bool {
        let accepted_before = self.accepted_revision;
        let answer = self.run_command(&["show"]).await;
        let Some(revision) = answer.and_then(|answer| answer["revision"].as_u64()) else {
            return false;
        };
        self.lock_report().reads += 1;
        if revision < accepted_before {
            self.add_violation(format!(
                "a read returned revision {revision} after revision {accepted_before} was accepted"
            ));
        }
        true
    }

    /// Runs an operator command; returns its JSON output, or `None` if it failed.
    async fn run_command(&self, command: &[&str]) -> Option<Value> {
        let mut arguments = vec![
            "--json",
            "--operator",
            "soak",
            "--timeout-ms",
            COMMAND_TIMEOUT_MS,
        ];
        let secret = self.secret_file.display().to_string();
        arguments.extend(["--secret-file", &secret]);
        let control: Vec<String> = self.control.iter().map(ToString::to_string).collect();
        for address in &control {
            arguments.extend(["--control", address]);
        }
        arguments.extend(command);
        let parser = lexopt::Parser::from_args(arguments);
        let output = run(parser, &CtlEnvironment::default()).await;
        if output.code != ExitCode::Success {
            return None;
        }
        serde_json::from_str(&output.stdout).ok()
    }

    fn lock_report(&self) -> std::sync::MutexGuard<'_, SoakReport> {
        self.report.lock().expect("no holder of the report panics")
    }

    fn add_violation(&self, violation: String) {
        self.lock_report().add_violation(violation);
    }
}
