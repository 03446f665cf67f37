//! Guards against delayed or repeated announcements that bring a departed upstream back or send
//! requests to an address that another upstream has taken over, and against a departure message
//! that removes another incarnation than the one it is about.

use std::time::Duration;

use oriolecrank_routing::{
    DirectorySettings, LeavingUpstream, MergeEffect, ServiceName, UpstreamAnnouncement,
    UpstreamDirectory, UpstreamReadiness,
};
use proptest::prelude::*;

use crate::fixtures::{announcement, at};

fn state(directory: &UpstreamDirectory, name: &str) -> Option<UpstreamReadiness> {
    directory.get(name).map(|record| record.announcement.state)
}

fn draining(announcement: UpstreamAnnouncement) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        state: UpstreamReadiness::Draining,
        ..announcement
    }
}

#[test]
fn a_delayed_announcement_does_not_undo_a_newer_one() {
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
fn draining_is_final_for_an_incarnation() {
    let mut directory = UpstreamDirectory::default();
    directory.merge(draining(announcement("u", 5, 3)), at(1));
    directory.merge(announcement("u", 5, 4), at(2));
    assert_eq!(state(&directory, "u"), Some(UpstreamReadiness::Draining));
}

#[test]
fn a_departure_is_final_for_its_incarnation_only() {
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
fn a_new_incarnation_at_an_address_replaces_the_old_one() {
    let mut directory = UpstreamDirectory::default();
    directory.merge(announcement("old", 5, 1), at(0));
    directory.merge(announcement("new", 6, 1), at(1));
    assert_eq!(state(&directory, "old"), Some(UpstreamReadiness::Left));
    // A heartbeat of the old incarnation was delayed by a partition.
    assert_eq!(
        directory.merge(announcement("old", 5, 2), at(2)),
        MergeEffect::Stale
    );
    assert_eq!(state(&directory, "new"), Some(UpstreamReadiness::Ready));
}

#[test]
fn an_unchanged_announcement_is_no_change_for_entries() {
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
fn silent_and_departed_upstreams_are_removed_after_their_retention() {
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

/// Announcements of three upstreams at two addresses, some of them incarnations of one identity.
fn announcements() -> impl Strategy<Value = Vec<UpstreamAnnouncement>> {
    let fields = (0..3_u64, 1..4_u64, 0..4_u64, 0..2_u16, prop::bool::ANY);
    let fields = fields.prop_map(|(name, started, sequence, port, is_draining)| {
        let announcement = UpstreamAnnouncement {
            address: format!("10.0.0.1:{}", 80 + port)
                .parse()
                .expect("a socket address"),
            // Incarnations of different identities never start in the same millisecond.
            started_ms: started * 10 + name,
            ..announcement(&format!("u{name}"), 0, sequence)
        };
        if is_draining {
            draining(announcement)
        } else {
            announcement
        }
    });
    prop::collection::vec(fields, 1..12)
}

proptest! {
    /// Directories that receive the same announcements in different order agree on the newest
    /// upstream, except for ties that real upstreams never produce.
    #[test]
    fn the_newest_upstream_does_not_depend_on_the_order_of_announcements(
        announcements in announcements(),
        seed in 0..1_000_u64,
    ) {
        // An incarnation keeps its address.
        let mut addresses = std::collections::BTreeMap::new();
        let announcements: Vec<_> = announcements
            .into_iter()
            .map(|announcement| {
                let address = *addresses.entry(announcement.started_ms).or_insert(announcement.address);
                UpstreamAnnouncement { address, ..announcement }
            })
            .collect();
        let mut shuffled = announcements.clone();
        for index in (1..shuffled.len()).rev() {
            let other = (seed as usize * 31 + index * 17) % (index + 1);
            shuffled.swap(index, other);
        }
        let newest_upstream = |announcements: &[UpstreamAnnouncement]| {
            let mut directory = UpstreamDirectory::default();
            for announcement in announcements {
                directory.merge(announcement.clone(), at(0));
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
        prop_assert_eq!(newest_upstream(&announcements), newest_upstream(&shuffled));
    }
}

/// Guards against a crash that goes unnoticed because the upstream was back before its connections
/// were tested, and against another service at the address that is taken for the same upstream.
#[test]
fn only_a_later_incarnation_of_the_service_is_a_successor() {
    let crashed = announcement("u", 5, 1);
    let is_succeeded_by = |other: UpstreamAnnouncement| {
        let mut directory = UpstreamDirectory::default();
        directory.merge(crashed.clone(), at(0));
        directory.merge(other, at(1));
        directory.has_successor(&crashed)
    };
    assert!(is_succeeded_by(announcement("u", 6, 1)));
    assert!(is_succeeded_by(announcement("v", 6, 1)));
    assert!(!is_succeeded_by(announcement("u", 5, 2)));
    assert!(!is_succeeded_by(announcement("v", 4, 1)));
    assert!(!is_succeeded_by(UpstreamAnnouncement {
        service: ServiceName::from("other"),
        ..announcement("v", 6, 1)
    }));
}

/// Guards against an upstream that has told one entry that it leaves and goes on getting requests of
/// the others, and against another incarnation that is taken for leaving.
#[test]
fn what_an_entry_was_told_of_leaving_is_passed_on() {
    let mut directory = UpstreamDirectory::new(DirectorySettings::default());
    directory.merge(announcement("u", 5, 3), at(0));
    let told = |started_ms| LeavingUpstream {
        upstream: "u".into(),
        started_ms,
    };
    let state = |directory: &UpstreamDirectory| {
        let record = directory.get("u").expect("a record");
        (record.announcement.state, record.received_at)
    };
    directory.mark_draining(&told(4));
    assert_eq!(state(&directory), (UpstreamReadiness::Ready, at(0)));
    let before = directory.changed_revision();
    directory.mark_draining(&told(5));
    assert_eq!(state(&directory), (UpstreamReadiness::Draining, at(0)));
    assert!(directory.changed_revision() > before, "entries are told");
    // Its own heartbeats may not say so yet.
    directory.merge(announcement("u", 5, 4), at(1_000));
    assert_eq!(state(&directory), (UpstreamReadiness::Draining, at(1_000)));
    directory.merge(announcement("u", 6, 1), at(2_000));
    assert_eq!(state(&directory), (UpstreamReadiness::Ready, at(2_000)));
}
