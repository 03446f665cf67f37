//! A program that a test runs.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use serde_json::Value;

/// Bound of waits that end on an event; reached only when a test fails.
pub const LONG: Duration = Duration::from_secs(30);

/// Path of a binary of the workspace.
pub fn binary(name: &str) -> PathBuf {
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
pub struct RunningProgram {
    child: Child,
    pub address: SocketAddr,
}

impl RunningProgram {
    /// Starts a program and waits until its log says on which address it listens.
    pub fn start(name: &str, arguments: &[&str]) -> Self {
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

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Ends the program without warning.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the program has ended and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let deadline = Instant::now() + LONG;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the program did not stop");
    }

    /// Sends SIGTERM and returns the exit code.
    pub fn stop(&mut self) -> Option<i32> {
        self.signal("TERM");
        self.wait()
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
