//! Tests of the shares of limits that the leader grants in its answers to pings.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_control::{LeaderTables, ShareTable, TimeSource as _};
use oriolecrank_schema::control::{CallShape, DemandEntry, LimitShare, PingRequest};
use oriolecrank_schema::document::{ConfigDocument, LimitConfig};

use crate::support::{TestGroup, TestReplica, document, service, submit};

/// Limit in the test document, in requests per second.
const LIMIT_PER_S: u64 = 400;

/// Largest sum of the granted shares: three quarters of the limit. The rest is the reserve.
const MAX_SHARES_PER_S: f64 = 300.0;

fn limited_document() -> ConfigDocument {
    let mut document = document();
    document.organisations[0].limits = vec![LimitConfig {
        concurrent: None,
        requests_per_s: Some(LIMIT_PER_S),
        service: Some(service("assistant")),
        tokens_per_s: None,
    }];
    document
}

fn ping(subscriber: &str, number: u64, requests: u64) -> PingRequest {
    let entry = DemandEntry {
        organisation: "grove".to_owned(),
        prompt_tokens: 0,
        refused: 0,
        requests,
        service: service("assistant"),
        shape: CallShape::OutputHeavy,
        tokens: requests * 100,
    };
    PingRequest {
        demand: vec![entry],
        ping: number,
        revision: 1,
        subscriber: subscriber.to_owned(),
    }
}

fn rate(shares: &[LimitShare]) -> f64 {
    shares.iter().map(|share| share.requests_per_s).sum()
}

/// Name of each entry, its share in requests per second, and the time until which it may use the
/// share, in milliseconds of the manual clock.
#[derive(Debug, Default)]
struct HeldShares(Vec<(String, f64, u64)>);

impl HeldShares {
    /// Replaces the share of an entry. Not called for a lost answer, so the old share stays in use.
    fn set(&mut self, entry: &str, rate: f64, until: u64) {
        self.0.retain(|(name, ..)| name != entry);
        self.0.push((entry.to_owned(), rate, until));
    }

    fn sum(&self, now: u64) -> f64 {
        let valid = self.0.iter().filter(|(_, _, until)| now < *until);
        valid.map(|(_, rate, _)| rate).sum()
    }
}

async fn limited_leader(group: &TestGroup) -> Arc<TestReplica> {
    let replica = group.leader();
    submit(&replica, limited_document()).await;
    replica
}

/// Guards against shares that exceed the limit together while the demand moves, answers are lost,
/// an entry restarts with its first ping number, or the leader changes.
#[tokio::test]
async fn the_shares_in_use_never_exceed_the_limit() {
    let group = TestGroup::default();
    group.time.advance(Duration::from_hours(1));
    let replica = limited_leader(&group).await;
    let now = || group.time.now();
    let state = &replica.state;
    // A document exists at the start of the term, so grants of an earlier leader may be valid.
    let mut table = state.read(|state| ShareTable::new(state, now()));
    let mut held = HeldShares::default();
    let mut largest: f64 = 0.0;
    let mut started_at = [0, 0, 0];
    for second in 0..120_u64 {
        group.time.advance(Duration::from_secs(1));
        if second == 60 {
            table = state.read(|state| ShareTable::new(state, now()));
        }
        if second == 90 {
            started_at[1] = second;
        }
        for (index, name) in ["e-1", "e-2", "e-3"].into_iter().enumerate() {
            // The demand moves from the first to the last entry.
            let demand = if (second / 20) as usize % 3 == index {
                500
            } else {
                1
            };
            let ping = ping(name, second - started_at[index] + 1, demand);
            let grant = state.read(|state| table.grant(&ping, state, now()));
            let is_lost = (second + index as u64).is_multiple_of(7);
            if is_lost {
                continue;
            }
            let until = now().as_millis() + grant.lifetime.as_millis() as u64;
            held.set(name, rate(&grant.shares), until);
            let sum = held.sum(now().as_millis());
            assert!(sum <= MAX_SHARES_PER_S + 1e-6, "second {second}: {sum}");
            largest = largest.max(sum);
        }
        // A new leader grants nothing until the shares of the old one have expired.
        if (60..65).contains(&second) {
            assert!(
                held.0.iter().all(|(_, rate, _)| *rate < 1e-9),
                "second {second}"
            );
        }
    }
    assert!(
        largest > 0.9 * MAX_SHARES_PER_S,
        "too little of the limit is granted: {largest}"
    );
}

/// Guards against an entry that gets no shares after a restart, because its ping numbers start from
/// one again.
#[tokio::test]
async fn a_restarted_entry_gets_shares_again() {
    let group = TestGroup::default();
    let replica = limited_leader(&group).await;
    let state = &replica.state;
    let mut table = state.read(|state| ShareTable::new(state, group.time.now()));
    let mut restarted_at = 0;
    for second in 0..40_u64 {
        group.time.advance(Duration::from_secs(1));
        if second == 20 {
            restarted_at = second;
        }
        let ping = ping("e-1", second - restarted_at + 1, 100);
        let grant = state.read(|state| table.grant(&ping, state, group.time.now()));
        assert_ne!(grant.lifetime, Duration::ZERO, "second {second}");
        // The shares that were granted before the restart have to expire first.
        if (10..20).contains(&second) || second >= 30 {
            assert!(
                rate(&grant.shares) > 0.9 * MAX_SHARES_PER_S,
                "second {second}"
            );
        }
    }
}

/// Guards against answers without shares, and against shares from an instance that does not lead.
#[tokio::test]
async fn pings_are_answered_with_shares_by_the_leader_only() {
    let group = TestGroup::default();
    let replica = group.replica();
    // The leader's tables use the boot-time clock.
    let now = oriolecrank_net::BootClock.now();
    group.time.advance(Duration::from_millis(now.as_millis()));
    replica.lead(Duration::from_hours(1));
    let tables = LeaderTables::new(Arc::clone(&replica), Arc::clone(&replica.state));
    // The term begins before the first document, so that no earlier shares can exist.
    assert!(
        tables
            .ping(&ping("e-1", 1, 100))
            .await
            .unwrap()
            .shares
            .is_empty()
    );
    submit(&replica, limited_document()).await;
    let answer = tables.ping(&ping("e-1", 2, 100)).await.unwrap();
    assert_eq!(answer.entries, 1);
    assert_eq!(answer.shares_lifetime_ms, 5_000);
    assert!(rate(&answer.shares) > 0.9 * MAX_SHARES_PER_S, "{answer:?}");
    let late = tables.ping(&ping("e-1", 1, 100)).await.unwrap();
    assert!(
        late.shares.is_empty(),
        "the answer to a late ping contains shares"
    );
    replica.resign();
    assert!(tables.ping(&ping("e-1", 3, 100)).await.is_none());
}

/// Guards against an allocation for each ping, whose cost grows with the square of the number of
/// entries, and against an entry that gets no shares because another one was just answered.
#[tokio::test]
async fn one_allocation_answers_the_pings_of_an_interval() {
    let group = TestGroup::default();
    let replica = limited_leader(&group).await;
    let state = &replica.state;
    let mut table = state.read(|state| ShareTable::new(state, group.time.now()));
    group.time.advance(Duration::from_mins(1));
    let now = group.time.now();
    let first = state.read(|state| table.report(&ping("e-1", 1, 100), state, now));
    table.grant_for(&first, now).unwrap();
    let others = ["e-2", "e-3"].map(|name| {
        let report = state.read(|state| table.report(&ping(name, 1, 100), state, now));
        table.grant_for(&report, now).unwrap_err();
        report
    });
    group
        .time
        .advance(table.grant_for(&others[0], now).unwrap_err());
    let later = group.time.now();
    let grants = others.map(|report| table.grant_for(&report, later).unwrap());
    for grant in grants {
        // The first entry still holds all shares, but the answer is for this report, so it is
        // valid.
        assert_ne!(grant.lifetime, Duration::ZERO, "{grant:?}");
    }
}
