//! Contract tests of retry budgets.

use std::time::Duration;

use oriolecrank_policy::retry_budget::{
    FailedAttempt, FailureCause, GiveUpReason, RetryBudget, RetryDecision, RetrySettings,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::document::{OrganisationId, UpstreamId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn organisation() -> OrganisationId {
    "a".to_owned().into()
}

fn upstream(number: usize) -> UpstreamId {
    format!("u-{number}").into()
}

/// Guards against a second run of a call that is not idempotent, against endless retries and
/// against retries that start after the deadline.
#[test]
fn only_safe_retries_before_the_deadline_are_made() {
    use GiveUpReason::{Attempts, Deadline, NotIdempotent};
    use RunVerdict::{MayHaveRun, NotRun};
    let cases = [
        (MayHaveRun, false, 1, 10_000, None, Some(NotIdempotent)),
        (MayHaveRun, true, 1, 10_000, None, None),
        (NotRun, false, 1, 10_000, None, None),
        (NotRun, true, 4, 10_000, None, Some(Attempts)),
        (NotRun, true, 1, 1_005, None, Some(Deadline)),
        (NotRun, true, 1, 1_500, Some(500), Some(Deadline)),
    ];
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for (verdict, idempotent, attempt, deadline, retry_after, expected) in cases {
        let mut budget = RetryBudget::new(RetrySettings::default());
        let failed = FailedAttempt {
            organisation: &organisation(),
            attempt,
            verdict,
            idempotent,
            cause: FailureCause::Other,
            retry_after: retry_after.map(Duration::from_millis),
            deadline: at(deadline),
        };
        let reason = match budget.decide(&failed, at(1_000), &mut rng) {
            RetryDecision::Retry { .. } => None,
            RetryDecision::GiveUp(reason) => Some(reason),
        };
        assert_eq!(reason, expected, "{failed:?}");
    }
}

/// Guards against a retry storm: retries must not exceed a tenth of recent successes plus the free
/// ones, for the organisation and for each upstream, and old successes must not count.
#[test]
fn retries_are_limited_by_recent_successes() {
    let mut budget = RetryBudget::new(RetrySettings::default());
    for number in 0..400 {
        budget.record_success(&organisation(), &upstream(number % 4), at(1_000));
    }
    let spend = |budget: &mut RetryBudget, upstreams: std::ops::Range<usize>, now| {
        let targets = upstreams.flat_map(|number| std::iter::repeat_n(number, 100));
        targets
            .filter(|number| budget.spend(&organisation(), &upstream(*number), at(now)))
            .count()
    };
    // For the upstream: 10 for 100 successes, and 3 free ones.
    assert_eq!(spend(&mut budget, 0..1, 1_000), 13);
    // For the organisation: 40 for 400 successes, and 3 free ones, of which 13 are spent.
    assert_eq!(spend(&mut budget, 1..9, 1_000), 30);
    assert_eq!(spend(&mut budget, 0..9, 20_000), 3);
    budget.forget_idle(at(60_000));
    assert_eq!(spend(&mut budget, 0..1, 60_000), 3);
}

/// Guards against requests that fail during a planned drain because the budget is used up.
#[test]
fn planned_refusals_need_no_budget() {
    let mut budget = RetryBudget::new(RetrySettings::default());
    while budget.spend(&organisation(), &upstream(0), at(0)) {}
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut failed = FailedAttempt {
        organisation: &organisation(),
        attempt: 1,
        verdict: RunVerdict::NotRun,
        idempotent: false,
        cause: FailureCause::Other,
        retry_after: None,
        deadline: at(10_000),
    };
    let decision = budget.decide(&failed, at(0), &mut rng);
    assert_eq!(decision, RetryDecision::GiveUp(GiveUpReason::Budget));
    failed.cause = FailureCause::PlannedChange;
    let decision = budget.decide(&failed, at(0), &mut rng);
    assert_eq!(
        decision,
        RetryDecision::Retry {
            after: Duration::ZERO
        }
    );
}

/// Guards against synchronised retries of many callers, and against delays that do not grow.
#[test]
fn delays_grow_and_have_jitter() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for (attempt, bound) in [(1, 20), (2, 40), (3, 80)] {
        let mut delays = std::collections::BTreeSet::new();
        for _ in 0..50 {
            let mut budget = RetryBudget::new(RetrySettings::default());
            let failed = FailedAttempt {
                organisation: &organisation(),
                attempt,
                verdict: RunVerdict::NotRun,
                idempotent: true,
                cause: FailureCause::Other,
                retry_after: None,
                deadline: at(10_000),
            };
            let RetryDecision::Retry { after } = budget.decide(&failed, at(0), &mut rng) else {
                panic!("the retry is allowed");
            };
            assert!(
                after <= Duration::from_millis(bound) && after * 2 >= Duration::from_millis(bound)
            );
            delays.insert(after);
        }
        assert!(delays.len() > 40);
    }
}
