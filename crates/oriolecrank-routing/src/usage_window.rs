//! Requests that began to run, by organisation and window of true time.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::{EntryName, OrganisationName};

/// Number of a usage window since the start of 1970.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// The window that contains a point of Unix time.
    pub const fn at(unix_ms: u64, length: Duration) -> Self {
        Self(unix_ms / length.as_millis() as u64)
    }

    /// End of the window, in milliseconds of Unix time.
    pub const fn end_ms(self, length: Duration) -> u64 {
        (self.0 + 1) * length.as_millis() as u64
    }
}

/// Requests of each organisation.
pub type OrganisationCounts = IndexMap<OrganisationName, u64>;

/// Counts of one window at one entry; they only grow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: WindowNumber,
    /// Requests that began in it.
    pub counts: OrganisationCounts,
}

/// Windows that an entry keeps. A window is closed some seconds after its end, so that two are open
/// at most; the others serve a leader that was elected late.
const KEPT_WINDOWS: usize = 6;

/// Counts at an entry.
#[derive(Debug, Default)]
pub struct UsageCounter {
    windows: Vec<WindowCounts>,
}

impl UsageCounter {
    /// Counts a request that has begun to run.
    pub fn count(&mut self, organisation: &OrganisationName, window: WindowNumber) {
        let place = self
            .windows
            .iter()
            .position(|counts| counts.window == window);
        let place = place.unwrap_or_else(|| {
            self.windows.push(WindowCounts {
                window,
                counts: OrganisationCounts::new(),
            });
            self.windows.sort_by_key(|counts| counts.window);
            if self.windows.len() > KEPT_WINDOWS {
                self.windows.remove(0);
            }
            let place = self
                .windows
                .iter()
                .position(|counts| counts.window == window);
            place.unwrap_or(0)
        });
        let Some(counts) = self.windows.get_mut(place) else {
            return;
        };
        match counts.counts.get_mut(organisation) {
            Some(count) => *count += 1,
            None => {
                counts.counts.insert(organisation.clone(), 1);
            }
        }
    }

    /// All windows that are kept, oldest first.
    pub fn windows(&self) -> &[WindowCounts] {
        &self.windows
    }
}

/// Counts that a receiver has not seen: what differs between the present windows and those that it
/// has acknowledged. Counts only grow, so the receiver keeps the larger of two.
pub fn unacknowledged_counts(
    present: &[WindowCounts],
    acknowledged: &[WindowCounts],
) -> Vec<WindowCounts> {
    let unseen = present.iter().map(|WindowCounts { window, counts }| {
        let seen = acknowledged.iter().find(|seen| seen.window == *window);
        let is_unseen = |organisation: &OrganisationName, count: u64| {
            seen.and_then(|seen| seen.counts.get(organisation)) != Some(&count)
        };
        let counts = counts
            .iter()
            .filter(|(name, count)| is_unseen(name, **count));
        WindowCounts {
            window: *window,
            counts: counts.map(|(name, count)| (name.clone(), *count)).collect(),
        }
    });
    unseen.filter(|window| !window.counts.is_empty()).collect()
}

/// Identity of one run of an entry process; its counts start anew with each run.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryRun {
    /// Name of the entry.
    pub entry: EntryName,
    /// Random number of the run.
    pub run: u64,
}

/// Counts of all entries at a control instance.
#[derive(Debug, Default)]
pub struct UsageCollector {
    /// Counts of each window by run. Counts of a run only grow, so the larger one is newer.
    windows: IndexMap<WindowNumber, IndexMap<EntryRun, OrganisationCounts>>,
}

impl UsageCollector {
    /// Takes the counts of an entry.
    pub fn record(&mut self, run: &EntryRun, windows: Vec<WindowCounts>) {
        for WindowCounts { window, counts } in windows {
            let runs = self.windows.entry(window).or_default();
            match runs.get_mut(run) {
                Some(known) => {
                    for (organisation, count) in counts {
                        let known = known.entry(organisation).or_default();
                        *known = count.max(*known);
                    }
                }
                None => {
                    runs.insert(run.clone(), counts);
                }
            }
        }
    }

    /// Total of a window over all entries.
    pub fn total(&self, window: WindowNumber) -> OrganisationCounts {
        let mut total = OrganisationCounts::new();
        let runs = self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(IndexMap::values);
        for (organisation, count) in runs.flatten() {
            *total.entry(organisation.clone()).or_default() += count;
        }
        total.sort_keys();
        total
    }

    /// Forgets windows before `oldest`.
    pub fn prune(&mut self, oldest: WindowNumber) {
        self.windows.retain(|window, _| *window >= oldest);
    }
}
