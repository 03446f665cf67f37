//! Usage totals of the open window and of the closed windows.

use std::collections::{BTreeMap, VecDeque};

use oriolecrank_schema::control::{UsageLine, UsageRecord, UsageWindow};
use oriolecrank_schema::document::{OrganisationId, ServiceId};
use serde::{Deserialize, Serialize};

use super::usage_id::UsageIds;
use crate::document::MAX_NAME_BYTES;

/// Time for which the ids of counted records are stored, in milliseconds (15 min). An older record
/// could be a repetition that is no longer recognised, so it is not counted.
pub const USAGE_ID_LIFETIME_MS: u64 = 900_000;

/// Maximum number of stored ids: twice the attempts within 15 min at 2,200 requests/s. A batch that
/// would exceed it is refused, and its sender has to send it again.
pub const MAX_USAGE_IDS: usize = 4_000_000;

/// Maximum number of records in one batch; a larger batch is refused.
pub const MAX_USAGE_BATCH: usize = 10_000;

/// Maximum number of lines of a window; a batch that could exceed it is refused. A line holds the
/// totals of one organisation at one service, with late attempts on a line of their own.
pub const MAX_USAGE_LINES: usize = 100_000;

/// Maximum number of closed windows that are not reported yet; when it is reached, the open window
/// is not closed. With windows of 60 s this covers a one-day outage of the usage interface.
pub const MAX_UNREPORTED_WINDOWS: usize = 1_440;

/// Maximum total number of lines of the windows that are not reported yet, about 100 MB. The open
/// window is not closed if that would exceed it.
pub const MAX_UNREPORTED_LINES: usize = 1_000_000;

/// Maximum number of reported windows that stay available to queries; the oldest are dropped first.
pub const MAX_REPORTED_WINDOWS: usize = 64;

/// Key of a usage line; all records of the line have these values in common.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct UsageKey {
    organisation: OrganisationId,
    service: ServiceId,
    /// Whether the attempts ended before the window was opened.
    late: bool,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct UsageSum {
    attempts: u64,
    prompt_tokens: u64,
    output_tokens: u64,
}

/// Result of recording a batch of usage records.
#[derive(Debug, PartialEq)]
pub(crate) enum BatchEffect {
    /// At least one record was counted.
    Counted,
    /// No record was counted: each was a repetition or too old.
    Unchanged,
    /// A limit was exceeded, and no record was counted.
    Refused(&'static str),
}

/// Result of closing the window.
#[derive(Debug, PartialEq)]
pub(crate) enum CloseEffect {
    /// The window with this id was closed.
    Closed(u64),
    /// The window has not been open for the configured length yet.
    TooEarly,
    Refused(&'static str),
}

/// Result of marking a window as reported.
#[derive(Debug, PartialEq)]
pub(crate) enum ReportEffect {
    Reported,
    /// The window was marked before.
    Unchanged,
    Refused(&'static str),
}

/// The open window, the closed windows and the ids of counted records.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct UsageTable {
    ids: UsageIds,
    /// Sums of the open window.
    #[serde(rename = "open")]
    open_sums: BTreeMap<UsageKey, UsageSum>,
    /// Log time at which the open window was opened; absent before the first command.
    opened_ms: Option<u64>,
    /// Closed windows in ascending order; their lines never change.
    #[serde(rename = "closed")]
    closed_windows: VecDeque<UsageWindow>,
    /// Id of the newest closed window, 0 if none was closed.
    #[serde(rename = "newest_closed")]
    newest_closed_id: u64,
    /// Number of windows in `closed_windows` that are not reported.
    unreported: usize,
    /// Number of records that were too old to be counted.
    stale_records: u64,
}

impl UsageTable {
    /// Rebuilds the lookup of ids after decoding.
    pub(crate) fn rebuild(&mut self) {
        self.ids.rebuild();
    }

    /// Advances to a log time: opens the first window if none is open yet, and removes expired ids.
    pub(crate) fn advance_to(&mut self, now_ms: u64) {
        self.opened_ms.get_or_insert(now_ms);
        self.ids.expire(now_ms, USAGE_ID_LIFETIME_MS);
    }

    /// Counts the records of a batch that were not counted before.
    ///
    /// A batch is refused as a whole; otherwise repeated and old records are skipped.
    pub(crate) fn record_batch(&mut self, records: &[UsageRecord], now_ms: u64) -> BatchEffect {
        if records.len() > MAX_USAGE_BATCH {
            return BatchEffect::Refused("the batch has too many records");
        }
        if self.ids.len() + records.len() > MAX_USAGE_IDS {
            return BatchEffect::Refused("too many attempts within 15 minutes");
        }
        if self.open_sums.len() + records.len() > MAX_USAGE_LINES {
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

    /// Counts one record; returns false if it is too old or a repetition.
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
            late: self.opened_ms.is_some_and(|opened_ms| ended_ms < opened_ms),
        };
        let sum = self.open_sums.entry(key).or_default();
        let usage = &record.usage;
        sum.attempts += 1;
        sum.prompt_tokens = sum.prompt_tokens.saturating_add(usage.prompt_tokens);
        sum.output_tokens = sum.output_tokens.saturating_add(usage.output_tokens);
        true
    }

    /// Closes the open window once it has been open for `length_ms`, and opens the next one.
    pub(crate) fn close(&mut self, length_ms: u64, now_ms: u64) -> CloseEffect {
        let opened_ms = self.opened_ms.unwrap_or(now_ms);
        if now_ms < opened_ms.saturating_add(length_ms) {
            return CloseEffect::TooEarly;
        }
        let is_full = self.unreported >= MAX_UNREPORTED_WINDOWS
            || self.unreported_lines() + self.open_sums.len() > MAX_UNREPORTED_LINES;
        if is_full {
            return CloseEffect::Refused("too many windows are not reported");
        }
        let open_sums = std::mem::take(&mut self.open_sums);
        let line = |(key, sum): (UsageKey, UsageSum)| UsageLine {
            attempts: sum.attempts,
            late: key.late,
            organisation: key.organisation,
            output_tokens: sum.output_tokens,
            prompt_tokens: sum.prompt_tokens,
            service: key.service,
        };
        self.newest_closed_id += 1;
        self.closed_windows.push_back(UsageWindow {
            closed_ms: now_ms,
            lines: open_sums.into_iter().map(line).collect(),
            opened_ms,
            reported: false,
            window_id: self.newest_closed_id,
        });
        self.unreported += 1;
        self.opened_ms = Some(now_ms);
        CloseEffect::Closed(self.newest_closed_id)
    }

    /// Marks a window as accepted by the usage interface.
    pub(crate) fn mark_reported(&mut self, window_id: u64) -> ReportEffect {
        if window_id == 0 || window_id > self.newest_closed_id {
            return ReportEffect::Refused("no closed window has this number");
        }
        let windows = &mut self.closed_windows;
        let window = windows
            .iter_mut()
            .find(|window| window.window_id == window_id);
        // A window that has been dropped was reported before.
        let Some(window) = window.filter(|window| !window.reported) else {
            return ReportEffect::Unchanged;
        };
        window.reported = true;
        self.unreported -= 1;
        self.drop_reported();
        ReportEffect::Reported
    }

    fn unreported_lines(&self) -> usize {
        let unreported = self.closed_windows.iter().filter(|window| !window.reported);
        unreported.map(|window| window.lines.len()).sum()
    }

    /// Drops the oldest reported windows beyond [`MAX_REPORTED_WINDOWS`].
    fn drop_reported(&mut self) {
        let reported = self.closed_windows.len() - self.unreported;
        let mut excess = reported.saturating_sub(MAX_REPORTED_WINDOWS);
        self.closed_windows.retain(|window| {
            let drop_window = window.reported && excess > 0;
            excess -= usize::from(drop_window);
            !drop_window
        });
    }

    /// Closed windows in ascending order.
    pub(crate) fn windows(&self) -> impl Iterator<Item = &UsageWindow> {
        self.closed_windows.iter()
    }

    /// Number of closed windows that are not reported.
    pub(crate) fn unreported_count(&self) -> usize {
        self.unreported
    }

    /// Id that the open window gets when it is closed.
    pub(crate) fn open_id(&self) -> u64 {
        self.newest_closed_id + 1
    }

    pub(crate) fn id_count(&self) -> usize {
        self.ids.len()
    }

    pub(crate) fn stale_records(&self) -> u64 {
        self.stale_records
    }
}

/// Whether the names are short enough for a valid document. A longer name is an error of the
/// sender.
fn has_short_names(record: &UsageRecord) -> bool {
    record.organisation.0.len() <= MAX_NAME_BYTES && record.service.0.len() <= MAX_NAME_BYTES
}
