//! One process of the cluster, signalled only by its own id.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use snafu::{ResultExt, Snafu};

/// Time in which a process must end after SIGTERM; its own limit is below.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// A process that cannot be started or signalled.
#[derive(Debug, Snafu)]
#[snafu(display("{name}: {source}"))]
pub struct ProcessError {
    name: String,
    source: std::io::Error,
}

/// A program with its settings; killed when dropped.
#[derive(Debug)]
pub(crate) struct SoakProcess {
    pub(crate) name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl SoakProcess {
    /// Starts `program` with a settings file; log lines are appended to a file beside it.
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
        process.start_again()?;
        Ok(process)
    }

    /// Starts the program if it does not run.
    pub(crate) fn start_again(&mut self) -> Result<(), ProcessError> {
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

    /// Ends the process without warning.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to stop and waits until it has; false if it had to be killed.
    pub(crate) async fn stop(&mut self) -> bool {
        // A paused process would not see the request.
        self.resume();
        self.signal(Signal::TERM);
        let deadline = Instant::now() + STOP_LIMIT;
        while Instant::now() < deadline {
            let ended = self
                .child
                .as_mut()
                .is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()));
            if ended {
                self.child = None;
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.kill();
        false
    }

    /// Stops the process from running.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets the process run on.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Whether the process has ended without being asked to.
    pub(crate) fn has_failed(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().map(Child::id);
        if let Some(id) = id.and_then(|id| Pid::from_raw(id.cast_signed())) {
            // The child is waited for only here, so its id is not used by another process.
            let _ = kill_process(id, signal);
        }
    }
}

impl Drop for SoakProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
