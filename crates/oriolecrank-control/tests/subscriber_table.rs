//! The leader's table of subscribed entries.

use oriolecrank_control::{InForceReport, SubscriberTable};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::PingRequest;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn ping(subscriber: &str, revision: u64) -> PingRequest {
    PingRequest {
        demand: Vec::new(),
        ping: 1,
        revision,
        subscriber: subscriber.to_owned(),
    }
}

/// Guards against a report that a revision is in force everywhere while an entry that still serves
/// requests with keys has an older one.
#[test]
fn a_live_subscriber_with_an_older_revision_lags() {
    let mut table = SubscriberTable::default();
    table.record(&ping("entry-1", 7), at(1_000));
    table.record(&ping("entry-2", 6), at(2_000));
    let expected = InForceReport {
        lowest: Some(6),
        live: 2,
        lagging: vec!["entry-2".to_owned()],
    };
    assert_eq!(table.in_force(7, at(3_000)), expected);
}

/// Guards against an endless wait for an entry that has stopped sending pings. After the freshness
/// lease it serves no requests with keys, so it no longer counts.
#[test]
fn a_silent_subscriber_does_not_hold_up_a_revision() {
    let mut table = SubscriberTable::default();
    table.record(&ping("entry-1", 7), at(5_000));
    table.record(&ping("entry-2", 6), at(1_000));
    assert_eq!(table.in_force(7, at(4_000)).lagging, ["entry-2"]);
    let expected = InForceReport {
        lowest: Some(7),
        live: 1,
        lagging: Vec::new(),
    };
    assert_eq!(table.in_force(7, at(5_000)), expected);
}
