//! Counts of requests that have started, by organisation and window of Unix time.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::names::{EntryName, OrganisationName};

/// Number of a usage window, counted from the Unix epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// Window of the given `length` that contains a point in Unix time.
    pub const fn at(unix_ms: u64, length: Duration) -> Self {
        Self(unix_ms / length.as_millis() as u64)
    }

    /// End of the window, in milliseconds of Unix time.
    pub const fn end_ms(self, length: Duration) -> u64 {
        (self.0 + 1) * length.as_millis() as u64
    }
}

/// Number of requests of each organisation.
pub type OrganisationCounts = IndexMap<OrganisationName, u64>;

/// Counts of one window at one entry; they only grow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Window to which the counts belong.
    pub window: WindowNumber,
    /// Requests that started in the window.
    pub counts: OrganisationCounts,
}

/// Number of windows that an entry retains. A window is closed some seconds after its end, so at
/// most two are open; the others are for a leader that was elected late.
const MAX_COUNTER_WINDOWS: usize = 6;

/// Request counts at an entry.
#[derive(Debug, Default)]
pub struct UsageCounter {
    windows: Vec<WindowCounts>,
}

impl UsageCounter {
    /// Counts a request that has started. If there are too many windows, the oldest is dropped.
    pub fn count(&mut self, organisation: &OrganisationName, window: WindowNumber) {
        let index = self
            .windows
            .iter()
            .position(|counts| counts.window == window);
        let index = index.unwrap_or_else(|| {
            self.windows.push(WindowCounts {
                window,
                counts: OrganisationCounts::new(),
            });
            self.windows.sort_by_key(|counts| counts.window);
            if self.windows.len() > MAX_COUNTER_WINDOWS {
                self.windows.remove(0);
            }
            let index = self
                .windows
                .iter()
                .position(|counts| counts.window == window);
            index.unwrap_or(0)
        });
        let Some(counts) = self.windows.get_mut(index) else {
            return;
        };
        match counts.counts.get_mut(organisation) {
            Some(count) => *count += 1,
            None => {
                counts.counts.insert(organisation.clone(), 1);
            }
        }
    }

    /// All retained windows, oldest first.
    pub fn windows(&self) -> &[WindowCounts] {
        &self.windows
    }
}

/// Counts in `present` that differ from those that a receiver has acknowledged. They are sent as
/// full values, not as increments; counts only grow, so the receiver keeps the larger of two
/// values.
pub fn unacknowledged_counts(
    present: &[WindowCounts],
    acknowledged: &[WindowCounts],
) -> Vec<WindowCounts> {
    let unacknowledged = present.iter().map(|WindowCounts { window, counts }| {
        let receiver_counts = acknowledged
            .iter()
            .find(|receiver_counts| receiver_counts.window == *window);
        let is_unacknowledged = |organisation: &OrganisationName, count: u64| {
            receiver_counts.and_then(|receiver_counts| receiver_counts.counts.get(organisation))
                != Some(&count)
        };
        let counts = counts
            .iter()
            .filter(|(name, count)| is_unacknowledged(name, **count));
        WindowCounts {
            window: *window,
            counts: counts.map(|(name, count)| (name.clone(), *count)).collect(),
        }
    });
    unacknowledged
        .filter(|window| !window.counts.is_empty())
        .collect()
}

/// Identity of one run of an entry process; its counts start at 0 in each run.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryRun {
    /// Name of the entry.
    pub entry: EntryName,
    /// Random number drawn at the start of the process.
    pub run: u64,
}

/// Counts of all entries at a control instance.
#[derive(Debug, Default)]
pub struct UsageCollector {
    /// Counts by window and run. Counts of a run only grow, so the larger one is newer.
    windows: IndexMap<WindowNumber, IndexMap<EntryRun, OrganisationCounts>>,
}

impl UsageCollector {
    /// Merges the counts of an entry; older and repeated reports have no effect.
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

    /// Total of a window over all entries, sorted by organisation.
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

    /// Removes windows before `oldest`.
    pub fn prune(&mut self, oldest: WindowNumber) {
        self.windows.retain(|window, _| *window >= oldest);
    }
}
