//! Tests of the leases of upstreams in the leader's memory.

use oriolecrank_control::{LeaseSettings, LeaseTable};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{UpstreamPhase, UpstreamRecord, UpstreamRole};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn record(name: &str, domain: &str) -> UpstreamRecord {
    UpstreamRecord {
        address: "127.0.0.1:1".to_owned(),
        capacity_blocks: 1,
        checks_fencing: false,
        failure_domain: domain.to_owned().into(),
        incarnation: 5,
        model: None,
        phase: UpstreamPhase::Ready,
        region: "r".to_owned().into(),
        role: UpstreamRole::Mixed,
        service: "s".to_owned().into(),
        upstream: name.to_owned().into(),
        version: None,
    }
}

fn table() -> LeaseTable {
    LeaseTable::new(LeaseSettings::default(), at(0))
}

/// Names of suspected and of removed upstreams at `now`, in milliseconds.
fn check(
    table: &mut LeaseTable,
    records: &[UpstreamRecord],
    now: u64,
) -> (Vec<String>, Vec<String>) {
    let report = table.check(records.iter(), at(now));
    let suspects = report
        .suspects
        .iter()
        .map(|record| record.upstream.to_string())
        .collect();
    let removals = report
        .removals
        .iter()
        .map(|removal| removal.upstream.to_string())
        .collect();
    (suspects, removals)
}

fn names(list: &[&str]) -> Vec<String> {
    list.iter().map(|name| (*name).to_owned()).collect()
}

/// Guards against removing the upstream of an agent that is only paused, and against keeping that
/// of a dead one: silence leads to suspicion after 2 s and to removal after 10 s.
#[test]
fn silence_leads_to_suspicion_and_then_removal() {
    let records = [record("a", "d1")];
    let cases = [
        (1_999, names(&[]), names(&[])),
        (2_000, names(&["a"]), names(&[])),
        (9_999, names(&["a"]), names(&[])),
        (10_000, names(&[]), names(&["a"])),
    ];
    for (now, suspects, removals) in cases {
        assert_eq!(
            check(&mut table(), &records, now),
            (suspects, removals),
            "at {now} ms"
        );
    }
}

/// Guards against a new leader that removes all upstreams because none has announced itself to it
/// yet.
#[test]
fn a_new_leader_grants_a_full_lease() {
    let mut table = LeaseTable::new(LeaseSettings::default(), at(50_000));
    assert_eq!(
        check(&mut table, &[record("a", "d1")], 51_900),
        (names(&[]), names(&[]))
    );
}

/// Guards against a lease that is renewed by announcements of an earlier incarnation.
#[test]
fn an_older_incarnation_does_not_renew() {
    let mut table = table();
    let records = [record("a", "d1")];
    table.renew(&records[0].upstream, 4, at(9_000));
    assert_eq!(check(&mut table, &records, 10_000).1, names(&["a"]));
    let mut table = LeaseTable::new(LeaseSettings::default(), at(0));
    table.renew(&records[0].upstream, 5, at(9_000));
    table.renew(&records[0].upstream, 4, at(9_500));
    assert_eq!(
        check(&mut table, &records, 11_000),
        (names(&["a"]), names(&[]))
    );
}

/// Guards against many log entries when a whole failure domain fails: members whose leases have
/// almost ended are removed together with a removed member of their domain, while one of another
/// domain that has been silent for as long stays.
#[test]
fn members_of_a_lost_failure_domain_are_removed_together() {
    let mut table = table();
    let records = [
        record("a", "d1"),
        record("b", "d1"),
        record("c", "d2"),
        record("d", "d1"),
    ];
    table.renew(&records[1].upstream, 5, at(1_500));
    table.renew(&records[2].upstream, 5, at(1_500));
    table.renew(&records[3].upstream, 5, at(5_000));
    let (suspects, removals) = check(&mut table, &records, 10_000);
    assert_eq!(removals, names(&["a", "b"]));
    assert_eq!(suspects, names(&["c", "d"]));
}

/// Guards against a leaving upstream that is marked as suspect and later gets work again.
#[test]
fn phases_without_new_work_are_kept() {
    let mut leaving = record("a", "d1");
    leaving.phase = UpstreamPhase::Leaving;
    assert_eq!(
        check(&mut table(), &[leaving], 5_000),
        (names(&[]), names(&[]))
    );
}
