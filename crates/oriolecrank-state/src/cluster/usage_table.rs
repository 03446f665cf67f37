//! Usage of the open window and the closed windows.

use std::collections::{BTreeMap, VecDeque};

use oriolecrank_schema::control::{UsageLine, UsageRecord, UsageWindow};
use oriolecrank_schema::document::{OrganisationId, ServiceId};
use serde::{Deserialize, Serialize};

use super::usage_id::UsageIds;
use crate::document::MAX_NAME_BYTES;

/// Ids of counted records are kept this long, in milliseconds (15 min). An older record could be a
/// repetition that is no longer recognised, so it is not counted.
pub const USAGE_ID_LIFETIME_MS: u64 = 900_000;

/// Largest number of kept ids: twice the attempts within 15 min at 2,200 requests/s. Beyond it
/// batches are refused and stay with their senders.
pub const MAX_USAGE_IDS: usize = 4_000_000;

/// Largest number of records in one batch.
pub const MAX_USAGE_BATCH: usize = 10_000;

/// Largest number of lines of a window; beyond it batches are refused.
pub const MAX_USAGE_LINES: usize = 100_000;

/// Number of closed windows that are not reported yet; beyond it the open window is not closed.
/// With windows of 60 s this is a day without the usage interface.
pub const MAX_UNREPORTED_WINDOWS: usize = 1_440;

/// Total lines of the windows that are not reported yet, about 100 MB; beyond it the open window is
/// not closed.
pub const MAX_UNREPORTED_LINES: usize = 1_000_000;

/// Number of windows that are kept after they were reported.
pub const REPORTED_WINDOWS_KEPT: usize = 64;

/// What the records of one line have in common.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct UsageKey {
    organisation: OrganisationId,
    service: ServiceId,
    /// The attempt ended before the window opened.
    late: bool,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct UsageSum {
    attempts: u64,
    prompt_tokens: u64,
    output_tokens: u64,
}

/// Result of a batch of usage records.
#[derive(Debug, PartialEq)]
pub(crate) enum BatchEffect {
    /// At least one record was counted.
    Counted,
    /// Every record was a repetition or too old.
    Unchanged,
    /// No record was counted.
    Refused(&'static str),
}

/// Result of closing the window.
#[derive(Debug, PartialEq)]
pub(crate) enum CloseEffect {
    Closed(u64),
    /// The window has not been open for its length.
    TooEarly,
    Refused(&'static str),
}

/// Result of marking a window as reported.
#[derive(Debug, PartialEq)]
pub(crate) enum ReportEffect {
    Reported,
    Unchanged,
    Refused(&'static str),
}

/// Usage figures.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct UsageTable {
    ids: UsageIds,
    open: BTreeMap<UsageKey, UsageSum>,
    /// Log time at which the open window began, absent before the first command.
    opened_ms: Option<u64>,
    /// Closed windows in ascending order; their figures never change.
    closed: VecDeque<UsageWindow>,
    /// Number of the newest closed window.
    newest_closed: u64,
    /// Number of windows in `closed` that are not reported.
    unreported: usize,
    /// Records that were too old to be counted.
    stale_records: u64,
}

impl UsageTable {
    /// Restores derived lookups after decoding.
    pub(crate) fn rebuild(&mut self) {
        self.ids.rebuild();
    }

    /// Opens the first window and forgets old ids.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        self.opened_ms.get_or_insert(now_ms);
        self.ids.expire(now_ms, USAGE_ID_LIFETIME_MS);
    }

    /// Counts the records that were not counted before.
    pub(crate) fn report(&mut self, records: &[UsageRecord], now_ms: u64) -> BatchEffect {
        if records.len() > MAX_USAGE_BATCH {
            return BatchEffect::Refused("the batch has too many records");
        }
        if self.ids.len() + records.len() > MAX_USAGE_IDS {
            return BatchEffect::Refused("too many attempts within 15 minutes");
        }
        if self.open.len() + records.len() > MAX_USAGE_LINES {
            return BatchEffect::Refused("the window has too many lines");
        }
        if !records.iter().all(has_short_names) {
            return BatchEffect::Refused("a name of a record is too long");
        }
        let mut counted = false;
        for record in records {
            counted |= self.count(record, now_ms);
        }
        if counted {
            BatchEffect::Counted
        } else {
            BatchEffect::Unchanged
        }
    }

    fn count(&mut self, record: &UsageRecord, now_ms: u64) -> bool {
        if record.age_ms >= USAGE_ID_LIFETIME_MS {
            self.stale_records += 1;
            return false;
        }
        if !self.ids.insert(record, now_ms) {
            return false;
        }
        let ended_ms = now_ms.saturating_sub(record.age_ms);
        let key = UsageKey {
            organisation: record.organisation.clone(),
            service: record.service.clone(),
            late: self.opened_ms.is_some_and(|opened| ended_ms < opened),
        };
        let sum = self.open.entry(key).or_default();
        let usage = &record.usage;
        sum.attempts += 1;
        sum.prompt_tokens = sum.prompt_tokens.saturating_add(usage.prompt_tokens);
        sum.output_tokens = sum.output_tokens.saturating_add(usage.output_tokens);
        true
    }

    /// Fixes the figures of the open window once it has been open for `length_ms`.
    pub(crate) fn close(&mut self, length_ms: u64, now_ms: u64) -> CloseEffect {
        let opened_ms = self.opened_ms.unwrap_or(now_ms);
        if now_ms < opened_ms.saturating_add(length_ms) {
            return CloseEffect::TooEarly;
        }
        let full = self.unreported >= MAX_UNREPORTED_WINDOWS
            || self.unreported_lines() + self.open.len() > MAX_UNREPORTED_LINES;
        if full {
            return CloseEffect::Refused("too many windows are not reported");
        }
        let open = std::mem::take(&mut self.open);
        let line = |(key, sum): (UsageKey, UsageSum)| UsageLine {
            attempts: sum.attempts,
            late: key.late,
            organisation: key.organisation,
            output_tokens: sum.output_tokens,
            prompt_tokens: sum.prompt_tokens,
            service: key.service,
        };
        self.newest_closed += 1;
        self.closed.push_back(UsageWindow {
            closed_ms: now_ms,
            lines: open.into_iter().map(line).collect(),
            opened_ms,
            reported: false,
            window_id: self.newest_closed,
        });
        self.unreported += 1;
        self.opened_ms = Some(now_ms);
        CloseEffect::Closed(self.newest_closed)
    }

    /// Marks a window as accepted by the usage interface.
    pub(crate) fn mark_reported(&mut self, window_id: u64) -> ReportEffect {
        if window_id == 0 || window_id > self.newest_closed {
            return ReportEffect::Refused("no closed window has this number");
        }
        let windows = &mut self.closed;
        let window = windows
            .iter_mut()
            .find(|window| window.window_id == window_id);
        // A window that is no longer kept was reported.
        let Some(window) = window.filter(|window| !window.reported) else {
            return ReportEffect::Unchanged;
        };
        window.reported = true;
        self.unreported -= 1;
        self.drop_reported();
        ReportEffect::Reported
    }

    fn unreported_lines(&self) -> usize {
        let unreported = self.closed.iter().filter(|window| !window.reported);
        unreported.map(|window| window.lines.len()).sum()
    }

    /// Drops the oldest reported windows beyond [`REPORTED_WINDOWS_KEPT`].
    fn drop_reported(&mut self) {
        let reported = self.closed.len() - self.unreported;
        let mut excess = reported.saturating_sub(REPORTED_WINDOWS_KEPT);
        self.closed.retain(|window| {
            let drops = window.reported && excess > 0;
            excess -= usize::from(drops);
            !drops
        });
    }

    /// Closed windows in ascending order.
    pub(crate) fn windows(&self) -> impl Iterator<Item = &UsageWindow> {
        self.closed.iter()
    }

    pub(crate) fn unreported(&self) -> usize {
        self.unreported
    }

    /// Number of the open window.
    pub(crate) fn open_id(&self) -> u64 {
        self.newest_closed + 1
    }

    pub(crate) fn id_count(&self) -> usize {
        self.ids.len()
    }

    pub(crate) fn stale_records(&self) -> u64 {
        self.stale_records
    }
}

/// Names come from the document; a longer one is a fault of the sender.
fn has_short_names(record: &UsageRecord) -> bool {
    record.organisation.0.len() <= MAX_NAME_BYTES && record.service.0.len() <= MAX_NAME_BYTES
}
