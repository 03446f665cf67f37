//! Guards against retries of all entries together that exceed the grant of a service.

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
    let mut budget = SharedRetryBudget::new(&grant);
    let spent = (0..100).filter(|_| budget.spend(&grant, 8, at(0))).count();
    assert!((1..=62 / 8).contains(&spent), "{spent}");
}

#[test]
fn the_budget_is_available_again_after_the_window() {
    let grant = grant();
    let mut budget = SharedRetryBudget::new(&grant);
    while budget.spend(&grant, 1, at(0)) {}
    assert!(budget.spend(&grant, 1, at(20_000)));
}
