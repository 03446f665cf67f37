//! Tests of the choice of other failure domains: what a transfer costs, and how much many entries
//! that see the same shortage send to other regions.

use std::time::Duration;

use oriolecrank_policy::domain_spill::{SpillPacer, SpillRequest, SpillSettings, UpstreamRoom};
use oriolecrank_policy::upstream_state::UpstreamDistance;
use oriolecrank_schema::TimePoint;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

fn at(ms: u64) -> TimePoint {
    TimePoint::from_millis(ms)
}

fn paced() -> SpillSettings {
    SpillSettings {
        paced: true,
        ..SpillSettings::default()
    }
}

/// A request of 20 ms of work, with room for `room_ms`.
fn request(room_ms: f64, entries: u32) -> SpillRequest {
    SpillRequest {
        work_ms: 20.0,
        room_ms,
        view_age: Duration::from_millis(300),
        entries,
    }
}

/// Work that `entries` send to other regions if each has `asked` requests at the same moment and all
/// of them see the same room.
fn work_sent(entries: u32, asked: u32, room_ms: f64, seed: u64) -> f64 {
    let settings = paced();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut pacers = vec![SpillPacer::default(); entries as usize];
    for pacer in &mut pacers {
        pacer.refresh(&settings, at(1_000), &mut random);
    }
    let mut work_ms = 0.0;
    for _ in 0..asked {
        for pacer in &mut pacers {
            let request = request(room_ms, entries);
            if pacer.allows(&request, &settings, at(1_000)) {
                pacer.record_sent(request.work_ms, &settings, at(1_000));
                work_ms += request.work_ms;
            }
        }
    }
    work_ms
}

#[test]
fn entries_that_see_the_same_shortage_do_not_all_leave_at_once() {
    let room_ms = 2_000.0;
    for entries in [1, 3, 35, 100, 400] {
        let sent_ms = work_sent(entries, 200, room_ms, 7);
        // The last request of an entry may be larger than what is left of its part, by chance and on
        // average by as much as the parts that other entries leave.
        let bounds_ms = room_ms * 0.75..=room_ms * 1.25;
        assert!(
            bounds_ms.contains(&sent_ms),
            "{entries} entries: {sent_ms} ms"
        );
    }
}

#[test]
fn a_part_smaller_than_a_request_is_used_by_chance() {
    // 400 entries share room for 20 requests, and each asks many times.
    let sent_ms = work_sent(400, 50, 400.0, 11);
    assert!((200.0..=600.0).contains(&sent_ms), "{sent_ms} ms");
}

#[test]
fn a_full_region_gets_nothing() {
    let room = UpstreamRoom {
        wait_ms: 130.0,
        longest_wait_ms: 120.0,
        parallel: 1,
    };
    let room_ms = room.work_ms(Duration::from_secs(1));
    assert!(room_ms <= 0.0, "{room_ms} ms");
    let sent_ms = work_sent(100, 10, room_ms, 3);
    assert!(sent_ms <= 0.0, "{sent_ms} ms");
}

#[test]
fn an_upstream_too_far_for_the_target_has_no_room() {
    let room = UpstreamRoom {
        wait_ms: 0.0,
        longest_wait_ms: -5.0,
        parallel: 6,
    };
    let room_ms = room.work_ms(Duration::from_secs(1));
    assert!(room_ms <= 0.0, "{room_ms} ms");
}

#[test]
fn a_stale_view_gives_no_room() {
    let stale = SpillRequest {
        view_age: Duration::from_millis(2_001),
        ..request(1e9, 1)
    };
    let pacer = SpillPacer::default();
    assert!(!pacer.allows(&stale, &paced(), at(1_000)));
    assert!(pacer.allows(&request(1e9, 1), &paced(), at(1_000)));
}

#[test]
fn the_part_is_available_again_after_the_view_delay() {
    let settings = paced();
    let mut pacer = SpillPacer::default();
    pacer.record_sent(100.0, &settings, at(1_000));
    let request = request(100.0, 1);
    assert!(!pacer.allows(&request, &settings, at(1_000)));
    assert!(pacer.allows(&request, &settings, at(2_500)));
}

#[test]
fn without_pacing_every_request_may_leave() {
    let settings = SpillSettings::default();
    let mut pacer = SpillPacer::default();
    pacer.record_sent(1e9, &settings, at(0));
    assert!(pacer.allows(&request(0.0, 400), &settings, at(0)));
}

#[test]
fn long_answers_cost_more_than_short_ones() {
    let settings = SpillSettings {
        domain_ms_per_kib: 1.0,
        region_ms_per_kib: 12.0,
        region_ms: 0.0,
        ..SpillSettings::default()
    };
    let verdict = settings.transfer_bytes(9_200, 2);
    let reply = settings.transfer_bytes(220, 72);
    let [near, beside, far] = UpstreamDistance::ALL.map(|distance| {
        let costs = [verdict, reply].map(|bytes| settings.transfer_ms(distance, bytes));
        assert!(costs[0] <= costs[1], "{distance:?}: {costs:?}");
        costs[0]
    });
    assert!(near <= 0.0, "{near} ms");
    assert!(beside < far, "{beside} and {far}");
}

#[test]
fn absurd_sizes_do_not_overflow() {
    let settings = SpillSettings::default();
    assert_eq!(settings.transfer_bytes(u64::MAX, u64::MAX), u64::MAX);
    let cost_ms = settings.transfer_ms(UpstreamDistance::OtherRegion, u64::MAX);
    assert!(cost_ms.is_finite());
}
