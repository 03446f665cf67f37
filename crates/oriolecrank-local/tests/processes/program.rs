//! A program that a test runs.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
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
        Self::try_start(name, arguments).unwrap_or_else(|failure| panic!("{failure}"))
    }

    /// Like [`Self::start`]; a failure says how the program ended and what it wrote.
    pub fn try_start(name: &str, arguments: &[&str]) -> Result<Self, String> {
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
                // The receiver is gone after the start.
                let _ = sender.send(line);
            }
        });
        let deadline = Instant::now() + LONG;
        let mut log = String::new();
        // Ends at the deadline, or when the program has closed its log.
        while let Ok(line) =
            receiver.recv_timeout(deadline.saturating_duration_since(Instant::now()))
        {
            if let Some(address) = started_address(&line) {
                return Ok(Self { child, address });
            }
            log.push_str(&line);
            log.push('\n');
        }
        let end = match wait_until(&mut child, deadline) {
            Some(status) => status.to_string(),
            None => {
                child.kill().unwrap();
                child.wait().unwrap();
                format!("not listening after {LONG:?}")
            }
        };
        Err(format!("{name} did not start: {end}; its log:\n{log}"))
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
        wait_until(&mut self.child, Instant::now() + LONG)
            .expect("the program did not stop")
            .code()
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

/// Waits until a program has ended, at most until the deadline.
fn wait_until(child: &mut Child, deadline: Instant) -> Option<ExitStatus> {
    loop {
        let status = child.try_wait().unwrap();
        if status.is_some() || Instant::now() >= deadline {
            return status;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Address in the log line of event 100.
fn started_address(line: &str) -> Option<SocketAddr> {
    let line: Value = serde_json::from_str(line).ok()?;
    let fields = &line["fields"];
    (fields["event"] == 100).then(|| fields["address"].as_str()?.parse().ok())?
}
