//! Guards against retries of all entries together that exceed the grant of a service.

use std::time::Duration;

use oriolecrank_routing::{EntryCounter, RetryGrant, SharedRetryBudget};

use crate::fixtures::at;

fn grant() -> RetryGrant {
    RetryGrant {
        share: 0.2,
        fixed: 62.0,
        window: Duration::from_secs(10),
    }
}

#[test]
fn all_entries_together_stay_within_the_grant() {
    const ENTRIES: u32 = 8;
    let grant = grant();
    let mut budgets: Vec<SharedRetryBudget> = (0..ENTRIES)
        .map(|_| SharedRetryBudget::new(&grant, at(0)))
        .collect();
    let (mut requests, mut retries) = (0, 0);
    for millis in 0..10_000 {
        // Uneven load: entry 0 has half of all requests, and every request wants a retry.
        let index = if millis % 2 == 0 {
            0
        } else {
            (millis / 2) as usize % 8
        };
        let budget = &mut budgets[index];
        budget.count_request(at(millis));
        requests += 1;
        retries += u32::from(budget.spend(&grant, ENTRIES, at(millis)));
    }
    let granted = f64::from(requests) * grant.share + grant.fixed;
    assert!(f64::from(retries) <= granted, "{retries} of {granted}");
    assert!(
        f64::from(retries) >= granted * 0.4,
        "{retries} of {granted}"
    );
}

#[test]
fn an_entry_without_requests_may_use_its_share_of_the_fixed_grant() {
    let grant = grant();
    let mut budget = SharedRetryBudget::new(&grant, at(0));
    let spent = (0..100)
        .filter(|_| budget.spend(&grant, 8, at(20_000)))
        .count();
    assert!((1..=62 / 8).contains(&spent), "{spent}");
}

#[test]
fn the_budget_is_available_again_after_the_window() {
    let grant = grant();
    let mut budget = SharedRetryBudget::new(&grant, at(0));
    while budget.spend(&grant, 1, at(0)) {}
    assert!(budget.spend(&grant, 1, at(20_000)));
}

/// Number of entries of the site in the tests of entries that are out of step.
const ENTRIES: u32 = 8;

/// An entry with its budget.
struct BudgetedEntry {
    budget: SharedRetryBudget,
    counter: EntryCounter,
}

impl BudgetedEntry {
    fn start(millis: u64) -> Self {
        Self {
            budget: SharedRetryBudget::new(&grant(), at(millis)),
            counter: EntryCounter::new(at(millis)),
        }
    }

    fn start_all(millis: u64) -> Vec<Self> {
        (0..ENTRIES).map(|_| Self::start(millis)).collect()
    }

    /// Retries as often as the budget allows, after a control instance has told a number of entries.
    fn retry(&mut self, told: u32, millis: u64) -> usize {
        self.counter.record(told, at(millis));
        let entries = self.counter.largest(at(millis));
        let attempts = 0..100;
        attempts
            .filter(|_| self.budget.spend(&grant(), entries, at(millis)))
            .count()
    }
}

/// Lets each entry retry as often as its budget allows; `told` are the numbers of entries that each
/// of them is told. Returns the number of retries.
fn retry_all(entries: &mut [BudgetedEntry], told: &[u32], millis: u64) -> usize {
    let entries = entries.iter_mut().zip(told);
    entries
        .map(|(entry, told)| entry.retry(*told, millis))
        .sum()
}

fn assert_granted(retries: usize) {
    assert!(
        retries as f64 <= grant().fixed,
        "{retries} retries, {} are granted",
        grant().fixed
    );
}

/// Guards against entries that are cut off from each other, or are told a number by a control instance
/// that has just started, and take a larger part each.
#[test]
fn entries_that_lose_sight_of_each_other_stay_within_the_grant() {
    for told in [[3, 3, 3, 5, 5, 5, 5, 5], [1; 8], [1, 2, 3, 4, 5, 6, 7, 8]] {
        let mut entries = BudgetedEntry::start_all(0);
        let before = retry_all(&mut entries, &[ENTRIES; 8], 20_000);
        assert_granted(before);
        let cut_off = retry_all(&mut entries, &told, 40_000);
        assert_granted(cut_off);
    }
}

/// Guards against entries that have restarted and use the grant of a window a second time.
#[test]
fn entries_that_restart_within_a_window_stay_within_the_grant() {
    let mut entries = BudgetedEntry::start_all(0);
    let before = retry_all(&mut entries, &[ENTRIES; 8], 20_000);
    let mut restarted = BudgetedEntry::start_all(25_000);
    let after = retry_all(&mut restarted, &[ENTRIES; 8], 25_000);
    assert!(after > 0, "a restarted entry may retry");
    assert_granted(before + after);
}

/// Guards against a site that has shrunk and never gets the whole grant again.
#[test]
fn a_smaller_number_of_entries_counts_after_some_minutes() {
    let mut entry = BudgetedEntry::start(0);
    entry.retry(ENTRIES, 20_000);
    let spent = entry.retry(1, 180_000);
    assert!(spent >= 30, "{spent}");
}
