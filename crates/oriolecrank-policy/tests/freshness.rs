//! Contract tests of the freshness lease.

mod common;

use oriolecrank_policy::freshness::{FreshnessLease, FreshnessSettings, PingNumber};
use oriolecrank_schema::TimePoint;
use proptest::prelude::*;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// Guards against a lease that is valid before the first confirmation, or that counts from the time
/// of the confirmation instead of the send time of the ping.
#[test]
fn lease_counts_from_the_send_time() {
    let mut lease = FreshnessLease::new(FreshnessSettings::default());
    assert!(!lease.is_fresh(at(0)));
    let ping = lease.next_ping(at(1_000)).unwrap();
    assert!(!lease.is_fresh(at(1_000)));
    assert!(lease.confirm(ping));
    assert!(lease.is_fresh(at(3_999)));
    assert!(!lease.is_fresh(at(4_000)));
}

/// Guards against a lease that is changed by confirmations that are repeated, out of order, or of
/// pings that were never sent, and against pings within the minimum interval.
#[test]
fn unknown_and_old_confirmations_have_no_effect() {
    let mut lease = FreshnessLease::new(FreshnessSettings::default());
    let first = lease.next_ping(at(0)).unwrap();
    assert_eq!(lease.next_ping(at(999)), None);
    let second = lease.next_ping(at(1_000)).unwrap();
    assert!(!lease.confirm(PingNumber::from(99)));
    assert!(lease.confirm(second));
    assert!(!lease.confirm(second));
    assert!(!lease.confirm(first));
    assert_eq!(lease.valid_until(), Some(at(4_000)));
}

proptest! {
    #![proptest_config(common::fixed_seed(256))]

    /// Guards against a lease that lasts longer than 3 s after the newest confirmed send time when
    /// confirmations are lost, delayed or reordered.
    #[test]
    fn lease_equals_naive_search(
        steps in prop::collection::vec((0u64..1_500, prop::collection::vec(0usize..12, 0..3)), 1..60),
    ) {
        let mut lease = FreshnessLease::new(FreshnessSettings::default());
        let mut sent: Vec<(PingNumber, u64)> = Vec::new();
        let mut newest = None;
        let mut now = 0;
        for (wait, confirmations) in steps {
            now += wait;
            if let Some(number) = lease.next_ping(at(now)) {
                sent.push((number, now));
            }
            for steps_back in confirmations {
                let Some(index) = sent.len().checked_sub(1 + steps_back) else { continue };
                lease.confirm(sent[index].0);
                newest = newest.max(Some(sent[index].1));
            }
            let expected = newest.is_some_and(|sent| now < sent + 3_000);
            prop_assert_eq!(lease.is_fresh(at(now)), expected);
        }
    }
}
