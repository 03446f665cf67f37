//! Tests of how many requests leave their region while several entries see the same shortage.

use std::time::Duration;

use oriolecrank_policy::domain_spill::SpillSettings;
use oriolecrank_routing::{
    ChoiceRequest, ChooserSettings, DirectChooser, DomainName, EngineRole, EngineSpec, PromptShape,
    UpstreamAnnouncement, UpstreamLoad, VersionFilter,
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{at, engine, prompt};

/// Tokens that an engine reads in the time that a caller accepts to wait, as assumed at the start.
const FULL_QUEUE_TOKENS: u64 = 100_000;

/// An entry in region x, which has the engines near-0 to near-3; region y has far-0 to far-3.
fn entry() -> DirectChooser {
    let mut chooser = DirectChooser::new(ChooserSettings {
        domain: DomainName::from("a"),
        regions: [("a", "x"), ("b", "y")]
            .map(|(domain, region)| (DomainName::from(domain), region.to_owned()))
            .into(),
        spill: SpillSettings {
            paced: true,
            ..SpillSettings::default()
        },
        ..ChooserSettings::default()
    });
    chooser.set_engine(Some(EngineSpec {
        batch_slots: 64,
        cache_tokens: 1_000_000,
        token_bytes: 96_256,
        copy_rate: 0,
    }));
    for number in 0..4 {
        chooser.apply_announcement(&engine_in("a", "near", number), at(0));
        chooser.apply_announcement(&engine_in("b", "far", number), at(0));
    }
    chooser
}

fn engine_in(domain: &str, name: &str, number: u16) -> UpstreamAnnouncement {
    let port = if domain == "a" { 100 } else { 200 } + number;
    UpstreamAnnouncement {
        domain: DomainName::from(domain),
        ..engine(&format!("{name}-{number}"), port, EngineRole::Decode)
    }
}

fn set_queues(chooser: &mut DirectChooser, name: &str, tokens: u64) {
    for number in 0..4 {
        let load = UpstreamLoad {
            running: 4,
            pending_prefill_tokens: tokens,
            ..UpstreamLoad::default()
        };
        chooser.set_remote_load(&format!("{name}-{number}"), load);
    }
}

/// Requests of `count` that the entry sends to the other region at `now_ms`.
fn count_leaving(chooser: &mut DirectChooser, count: u64, now_ms: u64, seed: u64) -> u64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let leaving = (0..count).filter(|number| {
        let prompt: PromptShape = prompt(seed * 1_000 + number, seed * 2_000 + number);
        let request = ChoiceRequest {
            prompt: Some(&prompt),
            tried: &[],
            time_left: Duration::from_secs(2),
            time_to_target: Duration::from_millis(300),
            pause_target: Duration::from_millis(200),
            entries: 60,
            allow_remote_prefill: false,
            body_bytes: 9_200,
            priority: 0,
            versions: VersionFilter::Any,
        };
        let plan = chooser.choose(&request, at(now_ms), &mut random);
        plan.is_ok_and(|plan| plan.serving_upstream.announcement.domain.as_str() == "b")
    });
    leaving.count() as u64
}

#[test]
fn a_shortage_seen_by_many_entries_fills_the_other_region_and_no_more() {
    // Half of the engines of region x are gone, and the others have long queues; 30 entries of the
    // region have eight requests each.
    let mut leaving = 0;
    for number in 0..30 {
        let mut chooser = entry();
        for gone in 2..4 {
            chooser.apply_announcement(
                &UpstreamAnnouncement {
                    state: oriolecrank_routing::UpstreamReadiness::Left,
                    sequence: 2,
                    ..engine_in("a", "near", gone)
                },
                at(900),
            );
        }
        chooser.clear_remote_loads(at(1_000));
        set_queues(&mut chooser, "near", FULL_QUEUE_TOKENS);
        leaving += count_leaving(&mut chooser, 8, 1_100, number + 1);
    }
    // The far engines read 400 tokens a ms at the most and 200 beside streams, so that one prompt of
    // 9,190 tokens takes 46 ms and the four have room for about 100 in a second and the wait.
    assert!((20..=120).contains(&leaving), "{leaving} of 240 left");
}

#[test]
fn nobody_leaves_for_a_region_that_is_as_full() {
    let mut chooser = entry();
    chooser.clear_remote_loads(at(1_000));
    set_queues(&mut chooser, "near", FULL_QUEUE_TOKENS);
    set_queues(&mut chooser, "far", FULL_QUEUE_TOKENS);
    assert_eq!(count_leaving(&mut chooser, 20, 1_100, 5), 0);
}

#[test]
fn requests_stay_as_soon_as_the_own_region_has_room_again() {
    let mut chooser = entry();
    chooser.clear_remote_loads(at(1_000));
    set_queues(&mut chooser, "near", FULL_QUEUE_TOKENS);
    // Few requests, so that those of this entry leave engines idle in both regions.
    assert!(count_leaving(&mut chooser, 3, 1_100, 5) > 0);
    chooser.clear_remote_loads(at(1_600));
    assert_eq!(count_leaving(&mut chooser, 2, 1_700, 6), 0);
}

#[test]
fn a_stale_view_of_the_other_region_keeps_requests() {
    let mut chooser = entry();
    chooser.clear_remote_loads(at(1_000));
    set_queues(&mut chooser, "near", FULL_QUEUE_TOKENS);
    assert_eq!(count_leaving(&mut chooser, 20, 3_500, 5), 0);
}

#[test]
fn a_request_leaves_if_its_own_region_cannot_answer_in_time() {
    // The view is stale, but waiting here would end at the deadline.
    let mut chooser = entry();
    chooser.clear_remote_loads(at(1_000));
    set_queues(&mut chooser, "near", FULL_QUEUE_TOKENS * 20);
    assert_eq!(count_leaving(&mut chooser, 3, 3_500, 5), 3);
}
