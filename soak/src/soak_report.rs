//! Result of one run, and its text form.

use std::fmt;
use std::path::PathBuf;

use indexmap::IndexMap;

/// Counts and violations of one run.
#[derive(Debug, Default, Clone)]
pub struct SoakReport {
    /// Bookings sent; the retries of a booking count once.
    pub bookings: u32,
    /// Bookings confirmed by a success answer.
    pub booked: u32,
    /// Bookings that had not run according to all their answers.
    pub not_run: u32,
    /// Streams answered with status 200.
    pub streams: u32,
    /// Streams that ended with the end marker.
    pub complete: u32,
    /// Documents accepted by the control group.
    pub documents: u32,
    /// Answered reads of the document.
    pub reads: u32,
    /// Number of failed calls by error code, and of processes that exited by themselves or had to
    /// be killed.
    pub failures: IndexMap<String, u32>,
    /// Violated guarantees, one sentence each; empty if the run has passed.
    pub violations: Vec<String>,
    /// Folder with settings, logs and data; kept only if there are violations.
    pub folder: Option<PathBuf>,
}

impl SoakReport {
    pub(crate) fn count_failure(&mut self, code: &str) {
        *self.failures.entry(code.to_owned()).or_default() += 1;
    }

    pub(crate) fn add_violation(&mut self, violation: impl Into<String>) {
        self.violations.push(violation.into());
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "bookings {} (booked {}, not run {}), streams {} (complete {}), documents {}, reads {}",
            self.bookings,
            self.booked,
            self.not_run,
            self.streams,
            self.complete,
            self.documents,
            self.reads
        )?;
        for (code, count) in &self.failures {
            write!(formatter, ", {code} {count}")?;
        }
        for violation in &self.violations {
            write!(formatter, "\nviolation: {violation}")?;
        }
        if let Some(folder) = &self.folder {
            write!(formatter, "\nlogs: {}", folder.display())?;
        }
        Ok(())
    }
}
