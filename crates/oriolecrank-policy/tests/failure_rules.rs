//! Contract tests of hedging, outlier ejection, suspect placement and read coalescing.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use oriolecrank_policy::WorkClass;
use oriolecrank_policy::hedge::{FirstAttempt, HedgePolicy, HedgeSettings};
use oriolecrank_policy::outlier_ejection::{EjectionSettings, OutlierEjection, UpstreamOutcome};
use oriolecrank_policy::read_coalescing::{
    CoalescingSettings, ReadDeparture, ReadKey, ReadRole, ReadTable,
};
use oriolecrank_policy::suspect_placement::{
    FingerprintState, PlacementRefusal, PlacementRule, SuspectKey, SuspectTable,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::{RequestId, UpstreamId};
use proptest::prelude::*;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn upstream(number: usize) -> UpstreamId {
    format!("u-{number}").into()
}

/// Guards against hedging calls with side effects (a second booking) or without urgency, and
/// against hedging with too few samples or too little time before the deadline.
#[test]
fn only_slow_urgent_idempotent_calls_are_hedged() {
    let first = |class, idempotent, deadline| FirstAttempt {
        class,
        idempotent,
        sent_at: at(1_000),
        deadline: at(deadline),
    };
    let mut policy = HedgePolicy::new(HedgeSettings::default());
    let urgent = first(WorkClass::Urgent, true, 9_000);
    for millis in 1..20 {
        policy.record(Duration::from_millis(millis * 10));
        assert_eq!(policy.hedge_at(&urgent), None);
    }
    policy.record(Duration::from_millis(200));
    assert_eq!(policy.hedge_at(&urgent), Some(at(1_200)));
    let cases = [
        first(WorkClass::Standard, true, 9_000),
        first(WorkClass::Urgent, false, 9_000),
        first(WorkClass::Urgent, true, 1_250),
    ];
    for case in cases {
        assert_eq!(policy.hedge_at(&case), None, "{case:?}");
    }
    for _ in 0..200 {
        policy.record(Duration::from_millis(1));
    }
    assert_eq!(policy.hedge_at(&urgent), Some(at(1_020)));
}

fn ejection(upstreams: usize) -> OutlierEjection {
    let mut ejection = OutlierEjection::new(EjectionSettings::default());
    let names: Vec<_> = (0..upstreams).map(upstream).collect();
    ejection.set_upstreams(&names);
    ejection
}

/// Records up to `times` failures, until one causes an ejection, and returns whether one did.
fn fail(ejection: &mut OutlierEjection, number: usize, times: usize, millis: u64) -> bool {
    (0..times).any(|_| {
        let change = ejection.record(&upstream(number), UpstreamOutcome::Failed, at(millis));
        change.is_some_and(|change| change.weight == 0.0)
    })
}

/// Guards against requests to a failing upstream, against ejections for single failures, and
/// against full load right after an ejection.
#[test]
fn failing_upstreams_are_ejected_and_recover_gradually() {
    let mut ejection = ejection(4);
    assert!(!fail(&mut ejection, 0, 4, 0));
    ejection.record(&upstream(0), UpstreamOutcome::Answered, at(0));
    assert!(!fail(&mut ejection, 0, 4, 0));
    assert!(fail(&mut ejection, 0, 1, 0));
    assert!(ejection.weight_changes(at(4_999)).is_empty());
    let weights = [5_000, 10_000, 15_000].map(|millis| {
        let changes = ejection.weight_changes(at(millis));
        (changes[0].weight * 100.0).round() as u64
    });
    assert_eq!(weights, [10, 55, 100]);
    assert!(ejection.weight_changes(at(16_000)).is_empty());
}

/// Guards against an upstream that fails after each ejection and receives as many requests as
/// before.
#[test]
fn repeated_ejections_last_longer() {
    let mut ejection = ejection(4);
    assert!(fail(&mut ejection, 0, 5, 0));
    ejection.weight_changes(at(5_000));
    assert!(fail(&mut ejection, 0, 5, 5_000));
    assert!(ejection.weight_changes(at(14_999)).is_empty());
    assert_eq!(ejection.weight_changes(at(15_000)).len(), 1);
}

/// Guards against an entry that ejects all upstreams because its own network fails.
#[test]
fn at_most_half_of_the_upstreams_are_ejected() {
    for (upstreams, expected) in [(1, 0), (2, 1), (3, 1), (8, 4)] {
        let mut ejection = ejection(upstreams);
        let ejected = (0..upstreams).filter(|number| fail(&mut ejection, *number, 20, 0));
        assert_eq!(ejected.count(), expected, "{upstreams}");
    }
}

fn suspect(organisation: &str, digest: &str) -> SuspectKey {
    SuspectKey {
        organisation: organisation.to_owned().into(),
        fingerprint: digest.to_owned().into(),
    }
}

/// Guards against two suspects on one engine, against a refused request that runs again, and
/// against effects on other organisations.
#[test]
fn suspects_run_on_separate_upstreams_and_refused_requests_nowhere() {
    let (one, other) = (suspect("a", "1"), suspect("a", "2"));
    let mut table = SuspectTable::default();
    for key in [&one, &other] {
        table.set(key.clone(), Some(FingerprintState::Suspect), at(1_000));
    }
    assert_eq!(
        table.placement_rule(&suspect("b", "1"), at(0)),
        Ok(PlacementRule::Anywhere)
    );
    assert_eq!(
        table.placement_rule(&one, at(0)),
        Ok(PlacementRule::AnywhereExcept { excluded: vec![] })
    );
    table.record_start(&one, &upstream(0), at(0)).unwrap();
    assert_eq!(
        table.placement_rule(&one, at(0)),
        Err(PlacementRefusal::AlreadyRunning)
    );
    let excluded = vec![upstream(0)];
    assert_eq!(
        table.placement_rule(&other, at(0)),
        Ok(PlacementRule::AnywhereExcept { excluded })
    );
    assert_eq!(
        table.record_start(&other, &upstream(0), at(0)),
        Err(PlacementRefusal::UpstreamBusy)
    );
    assert_eq!(
        table.record_start(&suspect("b", "1"), &upstream(0), at(0)),
        Ok(())
    );
    table.set(one.clone(), Some(FingerprintState::Refused), at(1_000));
    assert_eq!(
        table.placement_rule(&one, at(999)),
        Err(PlacementRefusal::Refused)
    );
    assert_eq!(
        table.placement_rule(&one, at(1_000)),
        Ok(PlacementRule::Anywhere)
    );
    table.record_end(&one, &upstream(0));
    assert_eq!(table.record_start(&other, &upstream(0), at(0)), Ok(()));
    table.retain(&[]);
    assert_eq!(
        table.placement_rule(&other, at(0)),
        Ok(PlacementRule::Anywhere)
    );
    table.set(one.clone(), Some(FingerprintState::Suspect), at(1_000));
    assert_eq!(table.record_start(&one, &upstream(0), at(0)), Ok(()));
}

fn read(organisation: &str, target: &str) -> ReadKey {
    ReadKey {
        organisation: organisation.to_owned().into(),
        service: "desk".to_owned().into(),
        method: "GET".to_owned(),
        target: target.to_owned(),
        variant: String::new(),
    }
}

fn caller(number: usize) -> RequestId {
    format!("r-{number}").into()
}

/// Guards against an answer that reaches another organisation, a caller that never gets an answer,
/// and a call that continues after all its callers have disconnected.
#[test]
fn equal_reads_share_one_call_within_an_organisation() {
    let settings = CoalescingSettings { max_callers: 3 };
    let mut table = ReadTable::new(settings);
    let (key, leader) = (read("a", "/vat/1"), caller(0));
    assert_eq!(table.join(&key, &leader), ReadRole::Lead);
    assert_eq!(table.join(&read("b", "/vat/1"), &caller(9)), ReadRole::Lead);
    assert_eq!(table.join(&read("a", "/vat/2"), &caller(8)), ReadRole::Lead);
    let joined = ReadRole::Join {
        leader: leader.clone(),
    };
    assert_eq!(table.join(&key, &caller(1)), joined);
    assert_eq!(table.join(&key, &caller(2)), joined);
    assert_eq!(table.join(&key, &caller(3)), ReadRole::Alone);
    assert_eq!(table.finish(&key, &caller(1)), []);
    assert_eq!(table.leave(&key, &leader), ReadDeparture::Continue);
    assert_eq!(table.leave(&key, &leader), ReadDeparture::Unknown);
    assert_eq!(table.fail(&key, &leader), Some(caller(1)));
    assert_eq!(table.fail(&key, &leader), None);
    assert_eq!(table.finish(&key, &caller(1)), [caller(1), caller(2)]);
    assert_eq!(table.join(&key, &caller(4)), ReadRole::Lead);
    assert_eq!(table.leave(&key, &caller(4)), ReadDeparture::Cancel);
    assert_eq!(table.len(), 2);
}

proptest! {
    #![proptest_config(common::fixed_seed(200))]

    /// Guards against callers that get no answer or two answers, under any order of events.
    #[test]
    fn each_caller_is_answered_once(
        steps in prop::collection::vec((0usize..4, 0usize..2, 0usize..30), 1..120),
    ) {
        let mut table = ReadTable::new(CoalescingSettings::default());
        // Leader and waiting callers of the read of each target.
        let mut naive: HashMap<usize, (usize, Vec<usize>)> = HashMap::new();
        for (number, (kind, target, pick)) in steps.into_iter().enumerate() {
            let key = read("a", &target.to_string());
            if kind == 0 || !naive.contains_key(&target) {
                let role = table.join(&key, &caller(number));
                let entry = naive.entry(target).or_insert((number, Vec::new()));
                let leads = entry.1.is_empty() && entry.0 == number;
                entry.1.push(number);
                let join = ReadRole::Join { leader: caller(entry.0) };
                prop_assert_eq!(role, if leads { ReadRole::Lead } else { join });
                continue;
            }
            let (leader, callers) = naive.get_mut(&target).expect("the read runs");
            match kind {
                1 => {
                    let expected: Vec<_> = callers.iter().map(|number| caller(*number)).collect();
                    prop_assert_eq!(table.finish(&key, &caller(*leader)), expected);
                    naive.remove(&target);
                }
                2 => {
                    callers.retain(|number| number != leader);
                    let next = callers.first().copied();
                    prop_assert_eq!(table.fail(&key, &caller(*leader)), next.map(caller));
                    match next {
                        Some(next) => *leader = next,
                        None => drop(naive.remove(&target)),
                    }
                }
                _ => {
                    let leaving = callers.remove(pick % callers.len());
                    let empty = callers.is_empty();
                    let expected = if empty { ReadDeparture::Cancel } else { ReadDeparture::Continue };
                    prop_assert_eq!(table.leave(&key, &caller(leaving)), expected);
                    if empty {
                        naive.remove(&target);
                    }
                }
            }
            prop_assert_eq!(table.len(), naive.len());
        }
    }
}
