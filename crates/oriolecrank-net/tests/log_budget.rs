//! Guards against a flood of lines about requests that hides changes of the process, and against
//! requests of which only some lines are kept.

use std::collections::BTreeMap;

use oriolecrank_net::{BudgetSettings, LogBudget};
use oriolecrank_schema::TimePoint;

const SETTINGS: BudgetSettings = BudgetSettings {
    request_lines: 100,
    process_lines: 10,
};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// Admits three lines of each of 400 requests in the second that begins at `start`, interleaved.
fn flood(budget: &mut LogBudget, start: u64) -> BTreeMap<u64, u32> {
    let mut kept = BTreeMap::new();
    for line in 0..3 {
        for request in 0..400_u64 {
            let now = at(start + line * 300 + request / 2);
            if budget.admits_request(&request.to_string(), now) {
                *kept.entry(request).or_default() += 1;
            }
        }
    }
    kept
}

#[test]
fn all_lines_are_written_below_the_budget() {
    let mut budget = LogBudget::new(SETTINGS);
    let kept = (0..100).filter(|number| budget.admits_request(&number.to_string(), at(5_000)));
    assert_eq!(kept.count(), 100);
}

#[test]
fn lines_beyond_the_budget_are_dropped_by_request() {
    let mut budget = LogBudget::new(SETTINGS);
    let first: u32 = flood(&mut budget, 1_000).values().sum();
    assert_eq!(first, 100);
    // Now the share is known, and most of the sampled requests keep all of their lines.
    let kept = flood(&mut budget, 2_000);
    let lines: u32 = kept.values().sum();
    assert!((50..=100).contains(&lines), "{lines}");
    let whole = kept.values().filter(|count| **count == 3).count();
    assert!(whole * 2 > kept.len(), "{kept:?}");
}

#[test]
fn requests_do_not_use_up_the_budget_of_the_process() {
    let mut budget = LogBudget::new(SETTINGS);
    flood(&mut budget, 1_000);
    let admitted = (0..20).filter(|_| budget.admits_process(at(1_999)));
    assert_eq!(admitted.count(), 10);
    assert!(budget.admits_process(at(2_000)));
}
