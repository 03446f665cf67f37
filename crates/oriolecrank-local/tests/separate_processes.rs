//! The programs as separate processes over TCP. The test starts them; they find each other through
//! their settings alone. The binaries are built by `cargo test --workspace`.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use oriolecrank_fakes::expected_text;
use oriolecrank_net::HttpClient;
use serde_json::Value;

/// Bound of waits that end on an event; reached only when the test fails.
const LONG: Duration = Duration::from_secs(30);

const SECRET: &str = "secret-of-the-process-test";

fn binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let folder = test.parent().unwrap().parent().unwrap();
    let path = folder.join(name);
    assert!(
        path.exists(),
        "{name} is not built; run cargo test --workspace"
    );
    path
}

/// A running program; killed when dropped.
struct RunningProgram {
    child: Child,
    address: SocketAddr,
}

impl RunningProgram {
    /// Starts a program and waits until its log says on which address it listens.
    fn start(name: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(binary(name))
            .args(arguments)
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some(address) = started_address(&line) {
                    // The receiver is gone after the first address.
                    let _ = sender.send(address);
                }
            }
        });
        let address = receiver
            .recv_timeout(LONG)
            .unwrap_or_else(|_| panic!("{name} did not start"));
        Self { child, address }
    }

    /// Sends SIGTERM and returns the exit code.
    fn stop(&mut self) -> Option<i32> {
        let status = Command::new("kill")
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
        assert!(status.success());
        let deadline = Instant::now() + LONG;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the program did not stop");
    }
}

impl Drop for RunningProgram {
    fn drop(&mut self) {
        // The program may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Address in the log line of event 100.
fn started_address(line: &str) -> Option<SocketAddr> {
    let line: Value = serde_json::from_str(line).ok()?;
    let fields = &line["fields"];
    (fields["event"] == 100).then(|| fields["address"].as_str()?.parse().ok())?
}

fn write(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

fn common(folder: &Path) -> String {
    format!(
        "region = \"local\"\nfailure_domain = \"local\"\nlog_format = \"json\"\n\
         operator_listen = \"127.0.0.1:0\"\nsecret_file = \"{}\"\n",
        folder.join("secret").display()
    )
}

fn agent(folder: &Path, control: SocketAddr, upstream: SocketAddr, kind: &str) -> RunningProgram {
    let service = if kind == "engine" {
        "assistant"
    } else {
        "ledger"
    };
    let text = format!(
        "{}upstream = \"{service}-1\"\nlisten = \"127.0.0.1:0\"\ncontrol = [\"{control}\"]\n\
         service = \"{service}\"\nkind = \"{kind}\"\nmodel = \"demo\"\n\
         upstream_address = \"{upstream}\"\n",
        common(folder)
    );
    let settings = write(folder, &format!("{service}.toml"), &text);
    RunningProgram::start("oriolecrank-agent", &["--settings", &settings])
}

/// Guards against programs that work together only inside one process: each role runs on its own,
/// an operator submits the example document, a caller is served, and SIGTERM ends each with 0.
#[tokio::test(flavor = "multi_thread")]
async fn programs_serve_a_request_and_stop_gracefully() {
    let folder = tempfile::tempdir().unwrap();
    let folder = folder.path();
    let secret = write(folder, "secret", SECRET);
    let fake = |kind| RunningProgram::start("oriolecrank-fakes", &[kind, "127.0.0.1:0"]);
    let (engine, ledger) = (fake("engine"), fake("ledger"));

    let port = free_port();
    let control_text = format!(
        "{}cluster = \"test\"\ninstance = \"control-1\"\nlisten = \"127.0.0.1:{port}\"\n\
         data_folder = \"{}\"\n[[members]]\ninstance = \"control-1\"\naddress = \"127.0.0.1:{port}\"\n",
        common(folder),
        folder.join("data").display()
    );
    let settings = write(folder, "control.toml", &control_text);
    let control = RunningProgram::start("oriolecrank-control", &["--settings", &settings]);
    let engine_agent = agent(folder, control.address, engine.address, "engine");
    let ledger_agent = agent(folder, control.address, ledger.address, "plain");
    let entry_text = format!(
        "{}name = \"entry-1\"\ncaller_listen = \"127.0.0.1:0\"\ncontrol = [\"{}\"]\n",
        common(folder),
        control.address
    );
    let settings = write(folder, "entry.toml", &entry_text);
    let entry = RunningProgram::start("oriolecrank-entry", &["--settings", &settings]);

    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let submitted = Command::new(binary("oriolecrank-ctl"))
        .args([
            "--control",
            &control.address.to_string(),
            "--secret-file",
            &secret,
            "--operator",
            "tester",
            "submit",
        ])
        .args(["--wait", examples.join("document.toml").to_str().unwrap()])
        .output()
        .unwrap();
    assert!(submitted.status.success(), "{submitted:?}");

    let answer = complete_when_ready(entry.address).await;
    let answer: Value = serde_json::from_str(&answer).unwrap();
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        expected_text("hello", 4)
    );

    for mut program in [entry, engine_agent, ledger_agent, control, engine, ledger] {
        assert_eq!(program.stop(), Some(0));
    }
}

/// Sends a completion until the agents have announced their upstreams.
async fn complete_when_ready(entry: SocketAddr) -> String {
    let deadline = Instant::now() + LONG;
    let client = HttpClient::default();
    loop {
        let body =
            r#"{"model":"demo","max_tokens":4,"messages":[{"role":"user","content":"hello"}]}"#;
        let request = Request::post("/v1/chat/completions")
            .header("host", "entry")
            .header("authorization", "Bearer example-key")
            .body(Full::new(Bytes::from_static(body.as_bytes())))
            .unwrap();
        let response = client.send(entry, request, LONG).await.unwrap();
        let status = response.status();
        let text = response.collect(1024 * 1024, LONG).await.unwrap();
        if status == StatusCode::OK {
            return String::from_utf8(text.to_vec()).unwrap();
        }
        assert!(Instant::now() < deadline, "{status}: {text:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A port that is free now. The control instance needs its address in its own settings.
fn free_port() -> u16 {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .port()
}
