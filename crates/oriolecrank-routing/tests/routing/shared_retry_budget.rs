//! Guards against retries of all entries together that exceed what a service grants.

use std::time::Duration;

use oriolecrank_routing::{RetryGrant, SharedRetryBudget};

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
        .map(|_| SharedRetryBudget::new(&grant))
        .collect();
    let (mut requests, mut extra) = (0, 0);
    for millis in 0..10_000 {
        // Uneven load: entry 0 has half of all requests, and every one of them fails.
        let index = if millis % 2 == 0 {
            0
        } else {
            (millis / 2) as usize % 8
        };
        let budget = &mut budgets[index];
        budget.count_request(at(millis));
        requests += 1;
        extra += u32::from(budget.spend(&grant, ENTRIES, at(millis)));
    }
    let granted = f64::from(requests) * grant.share + grant.fixed;
    assert!(f64::from(extra) <= granted, "{extra} of {granted}");
    assert!(f64::from(extra) >= granted * 0.4, "{extra} of {granted}");
}

#[test]
fn an_entry_without_requests_may_use_its_part_of_the_fixed_grant() {
    let grant = grant();
    let mut budget = SharedRetryBudget::new(&grant);
    let taken = (0..100).filter(|_| budget.spend(&grant, 8, at(0))).count();
    assert!((1..=62 / 8).contains(&taken), "{taken}");
}

#[test]
fn the_budget_returns_when_the_window_has_passed() {
    let grant = grant();
    let mut budget = SharedRetryBudget::new(&grant);
    while budget.spend(&grant, 1, at(0)) {}
    assert!(budget.spend(&grant, 1, at(20_000)));
}
