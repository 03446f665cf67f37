//! Starts, signals and stops a program of the workspace.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use serde_json::Value;

/// Time limit for events that always happen unless the test fails.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Path of a binary of the workspace; panics if it is not built.
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

/// A running program, killed when dropped.
pub struct RunningProgram {
    child: Child,
    pub address: SocketAddr,
}

impl RunningProgram {
    /// Starts a program and waits until it logs the address on which it listens; panics otherwise.
    pub fn start(name: &str, arguments: &[&str]) -> Self {
        Self::try_start(name, arguments).unwrap_or_else(|failure| panic!("{failure}"))
    }

    /// Like [`Self::start`], but returns a failure to start, with the exit status and the log.
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
                // The receiver is dropped after the start; the log must still be drained.
                let _ = sender.send(line);
            }
        });
        let deadline = Instant::now() + WAIT_LIMIT;
        let mut log = String::new();
        // Ends at the deadline, or when the program closes its standard error.
        while let Ok(line) =
            receiver.recv_timeout(deadline.saturating_duration_since(Instant::now()))
        {
            if let Some(address) = started_address(&line) {
                return Ok(Self { child, address });
            }
            log.push_str(&line);
            log.push('\n');
        }
        let outcome = match wait_until(&mut child, deadline) {
            Some(status) => status.to_string(),
            None => {
                child.kill().unwrap();
                child.wait().unwrap();
                format!("not listening after {WAIT_LIMIT:?}")
            }
        };
        Err(format!("{name} did not start: {outcome}; its log:\n{log}"))
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name without `SIG`, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Kills the program with SIGKILL and waits until it has ended.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the program has ended and returns its exit code; `None` if a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        wait_until(&mut self.child, Instant::now() + WAIT_LIMIT)
            .expect("the program did not stop within the time limit")
            .code()
    }

    /// Sends SIGTERM, waits until the program has ended and returns its exit code.
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

/// Waits until a program has ended; `None` if it still runs at the deadline.
fn wait_until(child: &mut Child, deadline: Instant) -> Option<ExitStatus> {
    loop {
        let status = child.try_wait().unwrap();
        if status.is_some() || Instant::now() >= deadline {
            return status;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Listen address in a log line, if the line reports event 100 (process started).
fn started_address(line: &str) -> Option<SocketAddr> {
    let line: Value = serde_json::from_str(line).ok()?;
    let fields = &line["fields"];
    (fields["event"] == 100).then(|| fields["address"].as_str()?.parse().ok())?
}
