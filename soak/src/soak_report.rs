//! What a run has seen.

use std::fmt;
use std::path::PathBuf;

use indexmap::IndexMap;

/// Counts and broken promises of one run.
#[derive(Debug, Default, Clone)]
pub struct SoakReport {
    /// Bookings that were sent.
    pub bookings: u32,
    /// Bookings that were answered with success.
    pub booked: u32,
    /// Bookings of which every answer said that they had not run.
    pub not_run: u32,
    /// Streams that were opened.
    pub streams: u32,
    /// Streams that ended as complete.
    pub complete: u32,
    /// Documents that were accepted.
    pub documents: u32,
    /// Reads of the document that were answered.
    pub reads: u32,
    /// Codes of the failures that callers were told, with their numbers.
    pub failures: IndexMap<String, u32>,
    /// Broken promises, one sentence each.
    pub violations: Vec<String>,
    /// Folder with settings, logs and data, kept if a promise was broken.
    pub folder: Option<PathBuf>,
}

impl SoakReport {
    /// Counts a failure.
    pub(crate) fn failed(&mut self, code: &str) {
        *self.failures.entry(code.to_owned()).or_default() += 1;
    }

    /// Notes a broken promise.
    pub(crate) fn broken(&mut self, promise: impl Into<String>) {
        self.violations.push(promise.into());
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
        for promise in &self.violations {
            write!(formatter, "\nbroken: {promise}")?;
        }
        if let Some(folder) = &self.folder {
            write!(formatter, "\nlogs: {}", folder.display())?;
        }
        Ok(())
    }
}
