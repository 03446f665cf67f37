//! A process of the cluster that can be suspended, stopped, killed and started again.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use snafu::{ResultExt, Snafu};

/// Time within which a process must exit after SIGTERM; it is killed afterwards.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// A process cannot be started, or its log file cannot be opened.
#[derive(Debug, Snafu)]
#[snafu(display("cannot start {name} or open its log file: {source}"))]
pub struct ProcessError {
    name: String,
    source: std::io::Error,
}

/// A program with its settings file, whose process is killed when this is dropped.
#[derive(Debug)]
pub(crate) struct SoakProcess {
    pub(crate) name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl SoakProcess {
    /// Starts `program` with a settings file. Its log is appended to a file of the same name with
    /// the extension `log`.
    pub(crate) fn start(
        name: &str,
        program: PathBuf,
        settings: PathBuf,
    ) -> Result<Self, ProcessError> {
        let mut process = Self {
            name: name.to_owned(),
            program,
            log: settings.with_extension("log"),
            settings,
            child: None,
        };
        process.ensure_started()?;
        Ok(process)
    }

    /// Starts the program unless it has been started and not been stopped or killed since.
    pub(crate) fn ensure_started(&mut self) -> Result<(), ProcessError> {
        if self.child.is_some() {
            return Ok(());
        }
        let name = self.name.as_str();
        let context = ProcessSnafu { name };
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log);
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(Stdio::null())
            .stderr(log.context(context)?)
            .spawn();
        self.child = Some(child.context(context)?);
        Ok(())
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process with SIGTERM and waits until it has exited; returns false if it had to be
    /// killed.
    pub(crate) async fn stop(&mut self) -> bool {
        // A suspended process would not handle the signal.
        self.resume();
        self.signal(Signal::TERM);
        let deadline = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < deadline {
            let exited = self
                .child
                .as_mut()
                .is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()));
            if exited {
                self.child = None;
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.kill();
        false
    }

    /// Suspends the process with SIGSTOP.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Whether the process has exited although it was neither killed nor stopped.
    pub(crate) fn has_exited(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().map(Child::id);
        if let Some(id) = id.and_then(|id| Pid::from_raw(id.cast_signed())) {
            // Only this type reaps the child, so no other process has got its id.
            let _ = kill_process(id, signal);
        }
    }
}

impl Drop for SoakProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
