//! Contract and differential tests of the split of limits over entries.

use std::collections::BTreeMap;

use oriolecrank_policy::limit_key::{
    EntryCount, LimitKey, LimitShare, OrganisationLimit, RequestSize,
};
use oriolecrank_policy::limit_shares::{
    EntryDemand, EntryGrant, EntryName, ShareLedger, ShareSettings,
};
use oriolecrank_policy::rate_limiter::{
    LimitDemand, LimitReservation, LimiterSettings, RateLimiter,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::{OrganisationId, ServiceId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn organisation() -> OrganisationId {
    "a".to_owned().into()
}

fn service() -> ServiceId {
    "assistant".to_owned().into()
}

fn key() -> LimitKey {
    LimitKey {
        organisation: organisation(),
        service: None,
    }
}

fn entry_name(number: usize) -> EntryName {
    format!("e-{number}").into()
}

fn limit(requests: u64, concurrent: u64) -> OrganisationLimit {
    OrganisationLimit {
        requests_per_s: Some(requests),
        tokens_per_s: Some(requests * 100),
        concurrent: Some(concurrent),
    }
}

fn ledger(limit: OrganisationLimit) -> ShareLedger {
    let mut ledger = ShareLedger::for_new_cluster(ShareSettings::default());
    ledger.set_limits([(key(), limit)]);
    ledger
}

fn report(ledger: &mut ShareLedger, entry: usize, requests: u64, running: u64, millis: u64) {
    let key = LimitKey {
        service: Some(service()),
        ..key()
    };
    let demand = EntryDemand {
        requests,
        tokens: requests * 100,
        running: Some(running),
        share_returned: false,
    };
    ledger.record_report(
        &entry_name(entry),
        (millis + 1).into(),
        [(key, demand)],
        at(millis),
    );
}

/// The share that each grant has of the only limit, in the order of the entry names.
fn entry_shares(grants: &[EntryGrant]) -> Vec<LimitShare> {
    grants.iter().map(|grant| grant.shares[0].1).collect()
}

/// Guards against shares that stay with an entry without demand while another entry needs them.
#[test]
fn shares_follow_demand() {
    let mut ledger = ledger(limit(100, 40));
    let mut last = Vec::new();
    for second in 0..10 {
        report(&mut ledger, 0, 50, 0, second * 1_000);
        report(&mut ledger, 1, 0, 0, second * 1_000);
        last = entry_shares(&ledger.allocate(at(second * 1_000)));
    }
    assert!(last[0].requests_per_s > 70.0, "{last:?}");
    assert!(last[0].concurrent >= 28, "{last:?}");
    for second in 10..30 {
        report(&mut ledger, 0, 0, 0, second * 1_000);
        report(&mut ledger, 1, 50, 0, second * 1_000);
        last = entry_shares(&ledger.allocate(at(second * 1_000)));
    }
    assert!(last[1].requests_per_s > 70.0, "{last:?}");
    assert!(last[1].concurrent >= 28, "{last:?}");
}

/// Guards against a limit of one concurrent request that is granted to no entry or to two at once,
/// and against an entry that never gets it.
#[test]
fn one_concurrent_request_moves_between_entries() {
    let mut ledger = ledger(limit(100, 1));
    let mut granted_seconds = [0; 3];
    for second in 0..200u64 {
        for entry in 0..3 {
            // Entry 2 has demand only in the second half.
            let requests = u64::from(entry < 2 || second > 100);
            report(&mut ledger, entry, requests, 0, second * 1_000);
        }
        let shares = entry_shares(&ledger.allocate(at(second * 1_000)));
        assert!(shares.iter().map(|share| share.concurrent).sum::<u64>() <= 1);
        for (seconds, share) in granted_seconds.iter_mut().zip(&shares) {
            *seconds += share.concurrent;
        }
        assert!(second != 0 || shares[0].concurrent + shares[1].concurrent == 1);
    }
    assert!(
        granted_seconds.iter().all(|seconds| *seconds >= 25),
        "{granted_seconds:?}"
    );
    assert!(
        granted_seconds.iter().sum::<u64>() >= 140,
        "{granted_seconds:?}"
    );
}

/// Guards against messages that grow with the number of limits times the number of entries.
#[test]
fn with_many_entries_only_those_with_demand_get_shares() {
    let mut ledger = ledger(limit(100, 40));
    for entry in 0..20 {
        report(&mut ledger, entry, u64::from(entry < 5), 0, 0);
    }
    let grants = ledger.allocate(at(0));
    let with_shares = grants.iter().filter(|grant| !grant.shares.is_empty());
    assert_eq!((grants.len(), with_shares.count()), (20, 5));
}

/// Guards against a new leader that grants again what its predecessor has granted.
#[test]
fn a_new_leader_waits_for_earlier_grants() {
    let mut ledger = ShareLedger::new(ShareSettings::default(), at(0));
    ledger.set_limits([(key(), limit(100, 40))]);
    for (millis, shares_granted, reserve_granted) in [
        (5_400, false, false),
        (5_500, true, false),
        (66_000, true, true),
    ] {
        report(&mut ledger, 0, 10, 0, millis);
        let grants = ledger.allocate(at(millis));
        assert_eq!(!grants[0].shares.is_empty(), shares_granted, "{millis}");
        assert_eq!(
            grants[0].entries,
            reserve_granted.then(|| EntryCount::new(1)),
            "{millis}"
        );
    }
}

/// Guards against requests of a silent entry that no longer count while they may still be running.
#[test]
fn requests_of_a_silent_entry_still_count() {
    let mut ledger = ledger(limit(100, 3));
    report(&mut ledger, 0, 10, 0, 0);
    assert_eq!(entry_shares(&ledger.allocate(at(0)))[0].concurrent, 3);
    report(&mut ledger, 0, 0, 3, 1_000);
    ledger.allocate(at(1_000));
    for second in 5..60 {
        report(&mut ledger, 1, 10, 0, second * 1_000);
        assert_eq!(
            entry_shares(&ledger.allocate(at(second * 1_000)))[0].concurrent,
            0,
            "{second}"
        );
    }
    for second in 60..80 {
        report(&mut ledger, 1, 10, 0, second * 1_000);
        ledger.allocate(at(second * 1_000));
    }
    report(&mut ledger, 1, 10, 0, 80_000);
    assert_eq!(entry_shares(&ledger.allocate(at(80_000)))[0].concurrent, 3);
}

/// Guards against a late report that hides requests started after it was sent: a report that
/// arrives within the report delay after a grant has expired may have been sent before the expiry.
#[test]
fn a_late_report_does_not_clear_a_grant() {
    let mut ledger = ledger(limit(100, 3));
    report(&mut ledger, 0, 10, 0, 0);
    assert_eq!(entry_shares(&ledger.allocate(at(0)))[0].concurrent, 3);
    for (millis, cleared) in [(5_500, false), (7_400, false), (7_500, true)] {
        report(&mut ledger, 0, 0, 0, millis);
        report(&mut ledger, 1, 10, 0, millis);
        let shares = entry_shares(&ledger.allocate(at(millis)));
        assert_eq!(shares[1].concurrent > 0, cleared, "{millis}");
    }
}

/// Guards against accounting errors of the ledger: each rate share must equal the one calculated
/// from the whole history of grants and reports.
#[test]
fn rate_shares_equal_naive_history() {
    for seed in 0..30 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut ledger = ledger(limit(100, 8));
        let mut reports: Vec<(usize, u64, f64)> = Vec::new();
        let mut grants: Vec<(usize, u64, f64)> = Vec::new();
        let mut now = 0;
        for _ in 0..100 {
            now += rng.random_range(200..1_500);
            for entry in 0..4 {
                if rng.random_bool(0.6) {
                    let requests = rng.random_range(0..100);
                    report(&mut ledger, entry, requests, 0, now);
                    reports.push((entry, now, requests as f64));
                }
            }
            let entry_grants = ledger.allocate(at(now));
            let live: Vec<usize> = (0..4)
                .filter(|entry| {
                    reports
                        .iter()
                        .any(|report| report.0 == *entry && now - report.1 <= 3_000)
                })
                .collect();
            let demands: Vec<f64> = live
                .iter()
                .map(|entry| naive_demand(&reports, *entry, now))
                .collect();
            let total_demand: f64 = demands.iter().sum();
            assert_eq!(entry_grants.len(), live.len());
            for (index, entry) in live.iter().enumerate() {
                let even = 1.0 / live.len() as f64;
                let fraction = if total_demand > 0.0 {
                    0.05 * even + 0.95 * demands[index] / total_demand
                } else {
                    even
                };
                let others: f64 = (0..4)
                    .filter(|other| other != entry)
                    .map(|other| naive_in_use(&grants, other, now))
                    .sum();
                let expected = (75.0 * fraction).min(75.0 - others).max(0.0);
                let share = entry_grants[index].shares[0].1.requests_per_s;
                assert!(
                    (share - expected).abs() < 1e-6,
                    "seed {seed} {share} {expected}"
                );
                grants.push((*entry, now, share));
            }
        }
    }
}

/// Decayed sum of the reports of an entry. As in the ledger, a value below 0.01 becomes zero at
/// each report.
fn naive_demand(reports: &[(usize, u64, f64)], entry: usize, now: u64) -> f64 {
    let decay = |value: f64, from: u64, to: u64| {
        let value = value * 0.5f64.powf((to - from) as f64 / 2_000.0);
        if value < 0.01 { 0.0 } else { value }
    };
    let (mut value, mut last) = (0.0, 0);
    for (_, at, requests) in reports.iter().filter(|report| report.0 == entry) {
        value = decay(value, last, *at) + requests;
        last = *at;
    }
    decay(value, last, now)
}

/// Largest grant of an entry that the ledger still counts: 5 s of validity times the clock factor.
fn naive_in_use(grants: &[(usize, u64, f64)], entry: usize, now: u64) -> f64 {
    let valid = grants
        .iter()
        .filter(|grant| grant.0 == entry && grant.1 + 5_500 > now);
    valid.map(|grant| grant.2).fold(0.0, f64::max)
}

/// A simulated entry.
struct TestEntry {
    limiter: RateLimiter,
    /// End time and reservation of each running request.
    running: Vec<(u64, LimitReservation)>,
    /// The entry neither sends nor receives messages until this time.
    partitioned_until: u64,
    /// Probability that a request runs for up to 40 s instead of 1 s.
    long_fraction: f64,
    alive: bool,
}

/// Pings in transit: arrival time, number of the entry, demand and send time.
type Pings = Vec<(u64, usize, Vec<LimitDemand>, u64)>;
/// Grants in transit by number of the entry: arrival time and grant.
type Deliveries = BTreeMap<usize, Vec<(u64, EntryGrant)>>;

/// Guards against a sum over all entries above the limit, of allowed rates and of running requests,
/// while messages are late or lost and entries are partitioned, stopped and started.
#[test]
fn the_sum_never_exceeds_the_limit() {
    for (seed, concurrent) in (0..40).zip([1, 2, 5, 40].into_iter().cycle()) {
        let result = simulate(seed, limit(80, concurrent), TestNetwork::Faulty);
        assert!(
            result.max_rate <= 80.0 * (1.0 + 1e-9),
            "seed {seed} {}",
            result.max_rate
        );
        assert!(
            result.max_running <= concurrent,
            "seed {seed} {}",
            result.max_running
        );
        // The requests of a silent entry count for 60 s; then the limit must be usable again.
        assert!(result.admitted >= 5, "seed {seed} {}", result.admitted);
    }
}

/// Guards against a small limit that is mostly unused because its grant follows demand too slowly.
#[test]
fn one_concurrent_request_follows_demand() {
    for seed in 0..10 {
        let result = simulate(seed, limit(80, 1), TestNetwork::Reliable);
        assert_eq!(result.max_running, 1, "seed {seed}");
        // Demand moves every 9 s. The grant may take two reports to follow, so it is used for two
        // thirds of 300 s, by requests of 0.5 s on average; a fifth of that is required.
        assert!(result.admitted >= 80, "seed {seed} {}", result.admitted);
    }
}

#[derive(Clone, Copy, PartialEq)]
enum TestNetwork {
    Faulty,
    Reliable,
}

struct SimulationResult {
    /// Largest sum of the rates that the entries may use.
    max_rate: f64,
    /// Largest number of requests running at the same time.
    max_running: u64,
    /// Number of admitted requests in total.
    admitted: u64,
}

fn simulate(seed: u64, limit: OrganisationLimit, network: TestNetwork) -> SimulationResult {
    let faulty = network == TestNetwork::Faulty;
    let (ping_ms, grant_ms) = if faulty { (1_900, 4_000) } else { (100, 100) };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut ledger = ledger(limit);
    let mut entries: Vec<TestEntry> = Vec::new();
    let (mut pings, mut deliveries): (Pings, Deliveries) = (Vec::new(), BTreeMap::new());
    let mut result = SimulationResult {
        max_rate: 0.0,
        max_running: 0,
        admitted: 0,
    };
    for now in (0..300_000).step_by(100) {
        if entries.iter().filter(|entry| entry.alive).count() < 4 && rng.random_bool(0.01) {
            let mut limiter = RateLimiter::new(LimiterSettings::default());
            limiter.set_limits([(key(), limit)]);
            entries.push(TestEntry {
                limiter,
                running: Vec::new(),
                partitioned_until: 0,
                long_fraction: if faulty { 0.2 } else { 0.0 },
                alive: true,
            });
        }
        for (number, entry) in entries
            .iter_mut()
            .enumerate()
            .filter(|(_, entry)| entry.alive)
        {
            // The busy entry changes every 9 s, so shares have to move.
            let busy = number as u64 % 4 == now / 9_000 % 4;
            entry.step(&mut rng, now, busy, &mut result.admitted);
            if faulty {
                entry.inject_fault(&mut rng, now);
            }
            if now % 1_000 == (number as u64 * 100) % 1_000 && now >= entry.partitioned_until {
                let demand = entry.limiter.take_demand(at(now));
                // Some pings are lost.
                if !faulty || rng.random_bool(0.9) {
                    pings.push((now + rng.random_range(0..ping_ms), number, demand, now));
                }
            }
            let inbox = deliveries.entry(number).or_default();
            while inbox.first().is_some_and(|(arrival, ..)| *arrival <= now)
                && now >= entry.partitioned_until
            {
                let (_, grant) = inbox.remove(0);
                let as_of = u64::from(grant.report_number) - 1;
                entry.limiter.apply_shares(
                    grant.shares,
                    grant.entries,
                    grant.lifetime,
                    at(as_of),
                    at(now),
                );
            }
        }
        let (arrived, in_transit): (Pings, Pings) =
            pings.into_iter().partition(|ping| ping.0 <= now);
        pings = in_transit;
        for (_, number, demand, sent) in arrived {
            let demand = demand
                .iter()
                .map(|demand| (demand.key.clone(), demand.into()));
            // The send time plus one serves as the number of the report.
            ledger.record_report(&entry_name(number), (sent + 1).into(), demand, at(now));
        }
        if now % 1_000 == 0 {
            for grant in ledger.allocate(at(now)) {
                let number = grant.entry.as_ref()[2..]
                    .parse()
                    .expect("names end in numbers");
                let inbox = deliveries.entry(number).or_default();
                let last = inbox.last().map_or(0, |(arrival, ..)| *arrival);
                let arrival = (now + rng.random_range(0..grant_ms)).max(last);
                if !faulty || rng.random_bool(0.8) {
                    inbox.push((arrival, grant));
                }
            }
        }
        let alive = || entries.iter().filter(|entry| entry.alive);
        let rate = alive()
            .map(|entry| entry.limiter.allowed(&key(), at(now)).requests_per_s)
            .sum();
        result.max_rate = result.max_rate.max(rate);
        result.max_running = result
            .max_running
            .max(alive().map(|entry| entry.running.len() as u64).sum());
    }
    result
}

impl TestEntry {
    /// Ends requests that are due and starts new ones; a `busy` entry starts three per step.
    fn step(&mut self, rng: &mut ChaCha8Rng, now: u64, busy: bool, admitted: &mut u64) {
        while let Some(index) = self.running.iter().position(|(end, _)| *end <= now) {
            let (_, reservation) = self.running.remove(index);
            self.limiter
                .finish(reservation, Some(RequestSize::default()), at(now));
        }
        let (organisation, service) = (organisation(), service());
        let requests = if busy {
            3
        } else {
            u64::from(rng.random_bool(0.02))
        };
        for _ in 0..requests {
            let size = RequestSize::default();
            if let Ok(reservation) = self.limiter.reserve(&organisation, &service, size, at(now)) {
                // Long requests still end before those of a silent entry stop counting.
                let long = rng.random_bool(self.long_fraction);
                let length = if long { 40_000 } else { 1_000 };
                self.running
                    .push((now + rng.random_range(0..length), reservation));
                *admitted += 1;
            }
        }
    }

    /// Occasionally partitions the entry, or stops it while it runs no requests.
    fn inject_fault(&mut self, rng: &mut ChaCha8Rng, now: u64) {
        if rng.random_bool(0.002) {
            self.partitioned_until = now + rng.random_range(0..40_000);
        }
        self.alive = !(self.running.is_empty() && rng.random_bool(0.001));
    }
}
