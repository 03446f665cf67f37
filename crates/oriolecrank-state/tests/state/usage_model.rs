//! Usage windows compared with a naive model that keeps every record.

use std::collections::BTreeMap;

use oriolecrank_schema::control::{Command, CommandOutcome, UsageRecord, UsageWindow};
use oriolecrank_state::cluster::USAGE_ID_LIFETIME_MS;
use proptest::prelude::*;

use crate::cluster_fixture::{START_MS, TestCluster};
use crate::random_command::{any_sequence, any_usage, fixed_seed};

/// Length of a window in the document of the fixtures.
const WINDOW_MS: u64 = 60_000;

#[derive(Debug)]
struct ModelRecord {
    record: UsageRecord,
    counted_ms: u64,
}

/// Attempts, prompt tokens and output tokens by lateness.
type WindowFigures = BTreeMap<bool, [u64; 3]>;

/// Every counted record, and the times at which windows closed.
#[derive(Debug, Default)]
struct UsageModel {
    records: Vec<ModelRecord>,
    /// Ends of the closed windows and the number of records counted until then.
    closed: Vec<(u64, usize)>,
}

impl UsageModel {
    fn opened_ms(&self) -> u64 {
        self.closed
            .last()
            .map_or(START_MS, |(closed_ms, _)| *closed_ms)
    }

    fn run(&mut self, command: &Command, now_ms: u64) -> Option<CommandOutcome> {
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

    fn count(&mut self, record: &UsageRecord, now_ms: u64) {
        let is_same = |known: &ModelRecord| {
            known.record.request_id == record.request_id
                && known.record.attempt == record.attempt
                && now_ms - known.counted_ms < USAGE_ID_LIFETIME_MS
        };
        if record.age_ms >= USAGE_ID_LIFETIME_MS || self.records.iter().any(is_same) {
            return;
        }
        self.records.push(ModelRecord {
            record: record.clone(),
            counted_ms: now_ms,
        });
    }

    /// Figures of a closed window, computed from all records.
    fn figures(&self, window_id: u64) -> WindowFigures {
        let index = window_id as usize - 1;
        let (opened_ms, first) = match index.checked_sub(1) {
            Some(before) => self.closed[before],
            None => (START_MS, 0),
        };
        let mut figures = WindowFigures::new();
        for known in &self.records[first..self.closed[index].1] {
            let late = known.counted_ms - known.record.age_ms < opened_ms;
            let sums = figures.entry(late).or_default();
            sums[0] += 1;
            sums[1] += known.record.usage.prompt_tokens;
            sums[2] += known.record.usage.output_tokens;
        }
        figures
    }
}

fn window_figures(window: &UsageWindow) -> WindowFigures {
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

    /// Guards against figures that miss a record, count it twice or change after the window closed.
    #[test]
    fn windows_add_up_to_the_counted_records(sequence in any_sequence(any_usage(), 150)) {
        let mut cluster = TestCluster::ready();
        let mut model = UsageModel::default();
        let mut fixed = BTreeMap::new();
        for timed in sequence {
            let expected = model.run(&timed.command, cluster.time_ms + timed.after_ms);
            let outcome = cluster.send_after(timed.after_ms, timed.command);
            if let Some(expected) = expected {
                prop_assert_eq!(outcome, expected);
            }
            for window in cluster.state.unreported_windows() {
                let first = fixed.entry(window.window_id).or_insert_with(|| window.clone());
                prop_assert_eq!(&*first, window);
            }
        }
        for window in fixed.values() {
            prop_assert_eq!(window_figures(window), model.figures(window.window_id));
        }
        prop_assert_eq!(fixed.len(), model.closed.len());
    }
}
