//! Guards against delayed, repeated and foreign statements that bring a departed upstream back or
//! send requests to an address that another upstream has taken over.

use std::time::Duration;

use oriolecrank_routing::{
    DirectorySettings, MergeEffect, UpstreamAnnouncement, UpstreamDirectory, UpstreamReadiness,
};
use proptest::prelude::*;

use crate::fixtures::{announcement, at};

fn state(directory: &UpstreamDirectory, name: &str) -> Option<UpstreamReadiness> {
    directory.get(name).map(|record| record.announcement.state)
}

fn draining(statement: UpstreamAnnouncement) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        state: UpstreamReadiness::Draining,
        ..statement
    }
}

#[test]
fn a_delayed_statement_does_not_undo_a_newer_one() {
    let mut directory = UpstreamDirectory::default();
    directory.merge(announcement("u", 5, 1), at(0));
    directory.merge(draining(announcement("u", 5, 3)), at(1));
    assert_eq!(
        directory.merge(announcement("u", 5, 2), at(2)),
        MergeEffect::Stale
    );
    assert_eq!(state(&directory, "u"), Some(UpstreamReadiness::Draining));
}

#[test]
fn draining_is_not_taken_back_by_the_same_incarnation() {
    let mut directory = UpstreamDirectory::default();
    directory.merge(draining(announcement("u", 5, 3)), at(1));
    directory.merge(announcement("u", 5, 4), at(2));
    assert_eq!(state(&directory, "u"), Some(UpstreamReadiness::Draining));
}

#[test]
fn a_farewell_holds_against_later_statements_of_its_incarnation_only() {
    let mut directory = UpstreamDirectory::default();
    directory.merge(announcement("u", 5, 1), at(0));
    assert!(directory.mark_left("u", Some(4), at(1)).is_none());
    assert!(directory.mark_left("u", None, at(1)).is_some());
    directory.merge(announcement("u", 5, 9), at(2));
    assert_eq!(state(&directory, "u"), Some(UpstreamReadiness::Left));
    assert_eq!(
        directory.merge(announcement("u", 6, 1), at(3)),
        MergeEffect::Changed
    );
    assert_eq!(state(&directory, "u"), Some(UpstreamReadiness::Ready));
}

#[test]
fn a_new_incarnation_at_an_address_retires_the_one_before() {
    let mut directory = UpstreamDirectory::default();
    directory.merge(announcement("old", 5, 1), at(0));
    directory.merge(announcement("new", 6, 1), at(1));
    assert_eq!(state(&directory, "old"), Some(UpstreamReadiness::Left));
    // A heartbeat of the old one was held up by a partition.
    assert_eq!(
        directory.merge(announcement("old", 5, 2), at(2)),
        MergeEffect::Stale
    );
    assert_eq!(state(&directory, "new"), Some(UpstreamReadiness::Ready));
}

#[test]
fn a_repeated_meaning_is_no_change_for_entries() {
    let mut directory = UpstreamDirectory::default();
    directory.merge(announcement("u", 5, 1), at(0));
    let changed = directory.changed_revision();
    assert_eq!(
        directory.merge(announcement("u", 5, 2), at(1)),
        MergeEffect::Repeated
    );
    assert_eq!(directory.since(changed).count(), 0);
    assert_eq!(
        directory.merge(announcement("u", 5, 3), at(2_000)),
        MergeEffect::Refreshed
    );
    assert_eq!(directory.since(changed).count(), 1);
    assert_eq!(directory.changed_revision(), changed);
    assert_eq!(directory.get("u").unwrap().received_at, at(2_000));
}

#[test]
fn silent_and_departed_upstreams_are_forgotten_in_time() {
    let settings = DirectorySettings {
        left_retention: Duration::from_secs(10),
        silent_retention: Duration::from_secs(20),
        ..DirectorySettings::default()
    };
    let mut directory = UpstreamDirectory::new(settings);
    directory.merge(announcement("u", 5, 1), at(0));
    directory.prune(at(19_999));
    assert!(directory.get("u").is_some());
    directory.mark_left("u", None, at(15_000));
    directory.prune(at(24_999));
    assert!(directory.get("u").is_some());
    directory.prune(at(25_000));
    assert!(directory.get("u").is_none());
}

/// Statements of three upstreams at two addresses, some of them incarnations of one identity.
fn statements() -> impl Strategy<Value = Vec<UpstreamAnnouncement>> {
    let one = (0..3_u64, 1..4_u64, 0..4_u64, 0..2_u16, prop::bool::ANY);
    let one = one.prop_map(|(name, started, sequence, port, leaving)| {
        let statement = UpstreamAnnouncement {
            address: format!("10.0.0.1:{}", 80 + port)
                .parse()
                .expect("a socket address"),
            // Incarnations of different identities never start at the same moment.
            started_ms: started * 10 + name,
            ..announcement(&format!("u{name}"), 0, sequence)
        };
        if leaving {
            draining(statement)
        } else {
            statement
        }
    });
    prop::collection::vec(one, 1..12)
}

proptest! {
    /// Directories that receive the same statements in another order agree on who may be used,
    /// except for the ties that real upstreams never produce.
    #[test]
    fn the_usable_upstream_of_an_address_does_not_depend_on_the_order(
        statements in statements(),
        seed in 0..1_000_u64,
    ) {
        // One incarnation keeps its address.
        let mut places = std::collections::BTreeMap::new();
        let statements: Vec<_> = statements
            .into_iter()
            .map(|statement| {
                let place = *places.entry(statement.started_ms).or_insert(statement.address);
                UpstreamAnnouncement { address: place, ..statement }
            })
            .collect();
        let mut shuffled = statements.clone();
        for index in (1..shuffled.len()).rev() {
            let other = (seed as usize * 31 + index * 17) % (index + 1);
            shuffled.swap(index, other);
        }
        let newest = |statements: &[UpstreamAnnouncement]| {
            let mut directory = UpstreamDirectory::default();
            for statement in statements {
                directory.merge(statement.clone(), at(0));
            }
            let mut starts: Vec<(String, u64)> = directory
                .since(0)
                .map(|record| {
                    let known = &record.announcement;
                    (known.name.to_string(), known.started_ms)
                })
                .collect();
            starts.sort();
            starts.into_iter().max_by_key(|(_, started)| *started)
        };
        prop_assert_eq!(newest(&statements), newest(&shuffled));
    }
}
