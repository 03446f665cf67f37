//! Property test that compares usage windows with a naive model, which stores every record.

use std::collections::BTreeMap;

use oriolecrank_schema::control::{Command, CommandOutcome, UsageRecord, UsageWindow};
use oriolecrank_state::cluster::USAGE_ID_LIFETIME_MS;
use proptest::prelude::*;

use crate::cluster_fixture::{START_MS, TestCluster};
use crate::random_command::{any_sequence, any_usage, fixed_seed};

/// Length of a usage window in the document of the fixtures.
const WINDOW_MS: u64 = 60_000;

#[derive(Debug)]
struct ModelRecord {
    record: UsageRecord,
    /// Log time at which the record was counted.
    counted_ms: u64,
}

/// Attempts, prompt tokens and output tokens of the late records (`true`) and of the others.
type WindowTotals = BTreeMap<bool, [u64; 3]>;

/// Naive implementation of usage windows.
#[derive(Debug, Default)]
struct UsageModel {
    records: Vec<ModelRecord>,
    /// End of each closed window and the number of records counted until then.
    closed: Vec<(u64, usize)>,
}

impl UsageModel {
    fn opened_ms(&self) -> u64 {
        self.closed
            .last()
            .map_or(START_MS, |(closed_ms, _)| *closed_ms)
    }

    /// Expected outcome, `None` for a command that the model does not cover.
    fn apply(&mut self, command: &Command, now_ms: u64) -> Option<CommandOutcome> {
        match command {
            Command::ReportUsage { records, .. } => {
                let before = self.records.len();
                for record in records {
                    self.count(record, now_ms);
                }
                Some(if self.records.len() > before {
                    CommandOutcome::Accepted
                } else {
                    CommandOutcome::Unchanged
                })
            }
            Command::CloseWindow if now_ms < self.opened_ms() + WINDOW_MS => {
                Some(CommandOutcome::Unchanged)
            }
            Command::CloseWindow => {
                self.closed.push((now_ms, self.records.len()));
                let window_id = self.closed.len() as u64;
                Some(CommandOutcome::WindowClosed { window_id })
            }
            _ => None,
        }
    }

    /// Counts a record unless it is too old or a repetition.
    fn count(&mut self, record: &UsageRecord, now_ms: u64) {
        let is_repetition = |counted: &ModelRecord| {
            counted.record.request_id == record.request_id
                && counted.record.attempt == record.attempt
                && now_ms - counted.counted_ms < USAGE_ID_LIFETIME_MS
        };
        if record.age_ms >= USAGE_ID_LIFETIME_MS || self.records.iter().any(is_repetition) {
            return;
        }
        self.records.push(ModelRecord {
            record: record.clone(),
            counted_ms: now_ms,
        });
    }

    /// Totals of a closed window, computed from its records.
    fn totals(&self, window_id: u64) -> WindowTotals {
        let index = window_id as usize - 1;
        let (opened_ms, first) = match index.checked_sub(1) {
            Some(before) => self.closed[before],
            None => (START_MS, 0),
        };
        let mut totals = WindowTotals::new();
        for counted in &self.records[first..self.closed[index].1] {
            let late = counted.counted_ms - counted.record.age_ms < opened_ms;
            let sums = totals.entry(late).or_default();
            sums[0] += 1;
            sums[1] += counted.record.usage.prompt_tokens;
            sums[2] += counted.record.usage.output_tokens;
        }
        totals
    }
}

fn window_totals(window: &UsageWindow) -> WindowTotals {
    let lines = window.lines.iter();
    lines
        .map(|line| {
            (
                line.late,
                [line.attempts, line.prompt_tokens, line.output_tokens],
            )
        })
        .collect()
}

proptest! {
    #![proptest_config(fixed_seed(400, 41))]

    /// Guards against totals that miss a record, count it twice or change after the window closed.
    #[test]
    fn windows_add_up_to_the_counted_records(sequence in any_sequence(any_usage(), 150)) {
        let mut cluster = TestCluster::ready();
        let mut model = UsageModel::default();
        let mut closed_windows = BTreeMap::new();
        for timed in sequence {
            let expected = model.apply(&timed.command, cluster.time_ms + timed.after_ms);
            let outcome = cluster.send_after(timed.after_ms, timed.command);
            if let Some(expected) = expected {
                prop_assert_eq!(outcome, expected);
            }
            for window in cluster.state.unreported_windows() {
                let first = closed_windows
                    .entry(window.window_id)
                    .or_insert_with(|| window.clone());
                prop_assert_eq!(&*first, window);
            }
        }
        for window in closed_windows.values() {
            prop_assert_eq!(window_totals(window), model.totals(window.window_id));
        }
        prop_assert_eq!(closed_windows.len(), model.closed.len());
    }
}
