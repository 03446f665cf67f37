//! Guards against lines about requests that crowd out lines about the process, and against sampling
//! that writes only some of the lines of a request.

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

/// Submits three lines for each of 400 requests, interleaved, within the second that starts at
/// `start` (in milliseconds). Returns the number of admitted lines by request.
fn submit_request_lines(budget: &mut LogBudget, start: u64) -> BTreeMap<u64, u32> {
    let mut written = BTreeMap::new();
    for line in 0..3 {
        for request in 0..400_u64 {
            let now = at(start + line * 300 + request / 2);
            if budget.admits_request(&request.to_string(), now) {
                *written.entry(request).or_default() += 1;
            }
        }
    }
    written
}

/// Guards against lines that are dropped although the budget allows them.
#[test]
fn all_lines_are_written_below_the_budget() {
    let mut budget = LogBudget::new(SETTINGS);
    let written = (0..100).filter(|number| budget.admits_request(&number.to_string(), at(5_000)));
    assert_eq!(written.count(), 100);
}

/// Guards against a log that exceeds its budget, and against dropping some lines of most requests
/// instead of all lines of some requests.
#[test]
fn lines_beyond_the_budget_are_dropped_by_request() {
    let mut budget = LogBudget::new(SETTINGS);
    let first: u32 = submit_request_lines(&mut budget, 1_000).values().sum();
    assert_eq!(first, 100);
    // The sampling rate is now known from the first window, and all lines of most sampled requests
    // are written.
    let written = submit_request_lines(&mut budget, 2_000);
    let lines: u32 = written.values().sum();
    assert!((50..=100).contains(&lines), "{lines}");
    let complete = written.values().filter(|count| **count == 3).count();
    assert!(complete * 2 > written.len(), "{written:?}");
}

/// Guards against lines about the process that are lost because requests log too much.
#[test]
fn requests_do_not_use_up_the_budget_of_the_process() {
    let mut budget = LogBudget::new(SETTINGS);
    submit_request_lines(&mut budget, 1_000);
    let admitted = (0..20).filter(|_| budget.admits_process(at(1_999)));
    assert_eq!(admitted.count(), 10);
    assert!(budget.admits_process(at(2_000)));
}
