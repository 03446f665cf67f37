//! Choice of the control instance that a document is fetched from.

use std::net::SocketAddr;
use std::time::Duration;

use oriolecrank_routing::DocumentFetch;
use oriolecrank_schema::TimePoint;

fn source(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// Guards against a transfer of a version that the entry already holds.
#[test]
fn a_version_that_is_in_force_is_not_fetched() {
    let mut fetch = DocumentFetch::default();
    assert_eq!(fetch.next(0, at(0)), None);
    fetch.record_offer(source(1), 7, at(0));
    assert_eq!(fetch.next(7, at(0)), None);
    fetch.record_offer(source(1), 8, at(10));
    let planned = fetch.next(7, at(10)).expect("a newer version is offered");
    assert_eq!((planned.source, planned.start_at), (source(1), at(10)));
}

/// Guards against an instance that lags behind and is preferred to one with the newest version.
#[test]
fn the_newest_version_is_fetched_first() {
    let mut fetch = DocumentFetch::default();
    fetch.record_offer(source(1), 7, at(0));
    fetch.record_offer(source(2), 9, at(5));
    fetch.record_offer(source(3), 9, at(6));
    let planned = fetch.next(0, at(6)).expect("versions are offered");
    assert_eq!(planned.source, source(2));
}

/// Guards against an entry that keeps fetching from an instance that does not answer, and against
/// one that gives up after each instance has failed once.
#[test]
fn after_a_failure_another_instance_is_asked_and_the_first_one_again_later() {
    let mut fetch = DocumentFetch::default();
    fetch.record_offer(source(1), 9, at(0));
    fetch.record_offer(source(2), 8, at(0));
    fetch.record_failure(source(1), at(700));
    let planned = fetch.next(0, at(700)).expect("two instances offer");
    assert_eq!((planned.source, planned.start_at), (source(2), at(700)));
    fetch.record_failure(source(2), at(1_000));
    let planned = fetch.next(0, at(1_000)).expect("two instances offer");
    assert_eq!(planned.source, source(1));
    let wait = planned.start_at.since(at(1_000));
    assert!(wait > Duration::ZERO && wait <= Duration::from_millis(500));
}

/// Guards against an older version that replaces a newer one that the same instance announced.
#[test]
fn an_older_announcement_of_an_instance_is_ignored() {
    let mut fetch = DocumentFetch::default();
    fetch.record_offer(source(1), 9, at(0));
    fetch.record_offer(source(1), 8, at(1));
    assert!(fetch.next(8, at(1)).is_some());
}
