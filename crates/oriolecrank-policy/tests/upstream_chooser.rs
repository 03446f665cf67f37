//! Contract and differential tests of the choice of an upstream.

mod common;

use std::collections::{BTreeSet, HashMap, HashSet};

use oriolecrank_policy::load_estimate::{EstimateSettings, LoadEstimate, LoadReport};
use oriolecrank_policy::prefix_map::{
    CacheEvent, PrefixHash, PrefixMap, SlotIndex, SlotSet, hash_prompt,
};
use oriolecrank_policy::subset::{EntryIdentity, SubsetSettings, select_subset};
use oriolecrank_policy::upstream_chooser::{
    ChoiceReason, ChoiceRequest, ChooserSettings, UpstreamChoice, UpstreamChooser,
};
use oriolecrank_policy::upstream_state::{
    NetworkLocation, UpstreamDistance, UpstreamPhase, UpstreamRole, UpstreamState,
};
use oriolecrank_policy::{BlockCount, TokenCount, WorkClass};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::UpstreamId;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const LOCATIONS: [(&str, &str); 3] = [
    ("piedmont-1", "piedmont"),
    ("piedmont-2", "piedmont"),
    ("gulf-1", "gulf"),
];

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn location(index: usize) -> NetworkLocation {
    NetworkLocation {
        failure_domain: LOCATIONS[index].0.to_owned().into(),
        region: LOCATIONS[index].1.to_owned().into(),
    }
}

fn entry(name: &str) -> EntryIdentity {
    EntryIdentity {
        name: name.to_owned(),
        location: location(0),
    }
}

fn upstream(number: usize, location_index: usize) -> UpstreamState {
    UpstreamState {
        upstream: name(number),
        incarnation: 1,
        location: location(location_index),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        role: UpstreamRole::Mixed,
        phase: UpstreamPhase::Ready,
        capacity: BlockCount::new(10),
        model: None,
        version: None,
    }
}

fn name(number: usize) -> UpstreamId {
    format!("u-{number}").into()
}

fn chooser(upstreams: &[UpstreamState]) -> UpstreamChooser {
    let mut chooser = UpstreamChooser::new(ChooserSettings::default(), entry("e-1"));
    chooser.update(upstreams);
    chooser
}

fn request() -> ChoiceRequest<'static> {
    ChoiceRequest {
        class: WorkClass::Standard,
        model: None,
        prompt: TokenCount::new(500),
        output: TokenCount::new(500),
        prefixes: &[],
        deadline: at(1_000_000),
        excluded: &[],
    }
}

fn report(chooser: &mut UpstreamChooser, number: usize, blocks: f64, millis: u64) {
    let measured_at = at(millis);
    chooser.record_load(
        &name(number),
        LoadReport {
            blocks,
            measured_at,
        },
    );
}

fn choose(
    chooser: &mut UpstreamChooser,
    request: &ChoiceRequest<'_>,
    millis: u64,
) -> UpstreamChoice {
    let mut rng = ChaCha8Rng::seed_from_u64(millis);
    chooser
        .choose(request, at(millis), &mut rng)
        .expect("there is an upstream")
}

/// Guards against requests to upstreams that are leaving or changing, and to cold, suspect or
/// ejected ones while better ones exist.
#[test]
fn unsuitable_upstreams_are_avoided() {
    use UpstreamPhase::{Changing, Cold, Leaving, Ready, Suspect};
    let cases: [(&[UpstreamPhase], Option<usize>); 6] = [
        (&[Leaving, Changing, Suspect, Cold, Ready], Some(4)),
        (&[Leaving, Changing, Suspect, Cold], Some(3)),
        (&[Leaving, Changing, Suspect], Some(2)),
        (&[Leaving, Changing], None),
        (&[Leaving], None),
        (&[], None),
    ];
    for (phases, expected) in cases {
        let states = phases
            .iter()
            .enumerate()
            .map(|(number, phase)| UpstreamState {
                phase: *phase,
                // Puts the less suitable ones nearer.
                ..upstream(number, number / 3)
            });
        let mut chooser = chooser(&states.collect::<Vec<_>>());
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let chosen = chooser.choose(&request(), at(0), &mut rng).ok();
        assert_eq!(
            chosen.map(|choice| choice.upstream),
            expected.map(name),
            "{phases:?}"
        );
    }
    let mut chooser = chooser(&[upstream(0, 0), upstream(1, 2)]);
    chooser.set_weight(&name(0), 0.0);
    assert_eq!(choose(&mut chooser, &request(), 0).upstream, name(1));
    let excluded = [name(1)];
    let retry = ChoiceRequest {
        excluded: &excluded,
        ..request()
    };
    assert_eq!(choose(&mut chooser, &retry, 0).upstream, name(0));
}

/// Guards against a request for a model that the upstream has not loaded.
#[test]
fn only_upstreams_with_the_model_are_chosen() {
    let with_model = |number, model: &str| UpstreamState {
        model: Some(model.to_owned()),
        ..upstream(number, 0)
    };
    let mut chooser = chooser(&[with_model(0, "small"), with_model(1, "large")]);
    for millis in 0..20 {
        let wanted = ChoiceRequest {
            model: Some("large"),
            ..request()
        };
        assert_eq!(choose(&mut chooser, &wanted, millis).upstream, name(1));
    }
    let unknown = ChoiceRequest {
        model: Some("other"),
        ..request()
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    assert!(chooser.choose(&unknown, at(0), &mut rng).is_err());
}

/// Guards against needless cross-region traffic, which costs money, and against missed deadlines
/// that another region could meet.
#[test]
fn farther_upstreams_are_used_only_to_meet_the_deadline() {
    let mut chooser = chooser(&[upstream(0, 0), upstream(1, 1), upstream(2, 2)]);
    report(&mut chooser, 0, 60.0, 0);
    report(&mut chooser, 1, 50.0, 0);
    report(&mut chooser, 2, 0.0, 0);
    let choice = choose(&mut chooser, &request(), 0);
    assert_eq!(choice.distance, UpstreamDistance::SameDomain);
    let near_deadline = ChoiceRequest {
        deadline: at(1_500),
        ..request()
    };
    let choice = choose(&mut chooser, &near_deadline, 0);
    assert_eq!(
        (choice.upstream, choice.reason),
        (name(2), ChoiceReason::Deadline)
    );
    chooser.update(&[upstream(1, 1), upstream(2, 2)]);
    let choice = choose(&mut chooser, &request(), 0);
    assert_eq!(choice.distance, UpstreamDistance::SameRegion);
}

/// Guards against a frequent prefix that overloads one upstream, and against ignoring cached
/// prefixes.
#[test]
fn cached_prefixes_are_used_up_to_the_load_limit() {
    let states: Vec<_> = (0..4).map(|number| upstream(number, 0)).collect();
    let mut chooser = chooser(&states);
    let prompt = vec![7; 12_000];
    let prefixes = hash_prompt("a", &prompt);
    let frequent = ChoiceRequest {
        prefixes: &prefixes,
        ..request()
    };
    let first = choose(&mut chooser, &frequent, 0).upstream;
    let second = choose(&mut chooser, &frequent, 1);
    assert_eq!(second.upstream, first);
    assert_eq!(second.reason, ChoiceReason::Prefix { blocks: 3 });
    let mut counts: HashMap<UpstreamId, usize> = HashMap::new();
    for millis in 2..200 {
        *counts
            .entry(choose(&mut chooser, &frequent, millis).upstream)
            .or_default() += 1;
    }
    assert!(counts.values().all(|count| *count <= 75), "{counts:?}");
}

/// Guards against routing by prefixes that an upstream has evicted in a missed cache event.
#[test]
fn a_gap_in_cache_events_removes_the_prefixes() {
    let mut chooser = chooser(&[upstream(0, 0), upstream(1, 0)]);
    let prefixes = hash_prompt("a", &[7; 8_000]);
    let event = |sequence| CacheEvent {
        sequence,
        added: prefixes.clone(),
        removed: vec![],
    };
    let empty = |sequence| CacheEvent {
        sequence,
        added: vec![],
        removed: vec![],
    };
    let request = ChoiceRequest {
        prefixes: &prefixes,
        ..request()
    };
    assert!(!chooser.apply_cache_event(&name(1), &event(5)));
    let choice = choose(&mut chooser, &request, 0);
    assert_eq!(choice.reason, ChoiceReason::Prefix { blocks: 2 });
    assert!(!chooser.apply_cache_event(&name(1), &empty(5)));
    assert!(!chooser.apply_cache_event(&name(1), &empty(6)));
    assert!(chooser.apply_cache_event(&name(1), &empty(8)));
    assert_eq!(choose(&mut chooser, &request, 1).reason, ChoiceReason::Load);
}

/// Guards against a timing attack by which one organisation finds out what another one has sent.
#[test]
fn prefixes_of_organisations_differ() {
    let prompt = vec![7; 8_000];
    let one: HashSet<PrefixHash> = hash_prompt("a", &prompt).into_iter().collect();
    let other: HashSet<PrefixHash> = hash_prompt("b", &prompt).into_iter().collect();
    assert_eq!((one.len(), other.len()), (2, 2));
    assert!(one.is_disjoint(&other));
}

/// Guards against long prompts on decode upstreams and short ones on prefill upstreams.
#[test]
fn roles_are_respected_between_equally_loaded_upstreams() {
    let with_role = |number, role| UpstreamState {
        role,
        ..upstream(number, 0)
    };
    let states = [
        with_role(0, UpstreamRole::Prefill),
        with_role(1, UpstreamRole::Decode),
    ];
    let mut chooser = chooser(&states);
    let prompt_heavy = ChoiceRequest {
        prompt: TokenCount::new(4_000),
        ..request()
    };
    assert_eq!(choose(&mut chooser, &prompt_heavy, 0).upstream, name(0));
    assert_eq!(choose(&mut chooser, &request(), 0).upstream, name(1));
}

/// Guards against preferring a near engine of the wrong role to a distant one of the right role:
/// the wrong role costs seconds, the distance milliseconds.
#[test]
fn a_matching_role_is_preferred_to_a_near_upstream() {
    let states = [
        UpstreamState {
            role: UpstreamRole::Decode,
            ..upstream(0, 0)
        },
        UpstreamState {
            role: UpstreamRole::Prefill,
            ..upstream(1, 1)
        },
    ];
    let mut chooser = chooser(&states);
    let prompt_heavy = ChoiceRequest {
        prompt: TokenCount::new(4_000),
        ..request()
    };
    assert_eq!(choose(&mut chooser, &prompt_heavy, 0).upstream, name(1));
    assert_eq!(choose(&mut chooser, &request(), 0).upstream, name(0));
}

/// Guards against a new incarnation that inherits the load and prefixes of the previous one.
#[test]
fn a_new_incarnation_starts_without_history() {
    let mut chooser = chooser(&[upstream(0, 0), upstream(1, 0)]);
    let old = choose(&mut chooser, &request(), 0);
    let states = [0, 1].map(|number| UpstreamState {
        incarnation: 2,
        ..upstream(number, 0)
    });
    chooser.update(&states);
    chooser.finish(&old.ticket, true, at(10));
    report(&mut chooser, 0, 0.0, 20);
    report(&mut chooser, 1, 5.0, 20);
    assert_eq!(choose(&mut chooser, &request(), 20).upstream, name(0));
}

/// Guards against entries that use the same few upstreams, and against subsets that change widely
/// when one upstream joins or leaves.
#[test]
fn subsets_use_upstreams_evenly_and_are_stable() {
    let states: Vec<_> = (0..600)
        .map(|number| upstream(number, number % 3))
        .collect();
    let settings = SubsetSettings::default();
    let mut uses: HashMap<&UpstreamId, usize> = HashMap::new();
    for number in 0..100 {
        let entry = entry(&format!("e-{number}"));
        let subset = select_subset(&entry, &states, &settings);
        let names: BTreeSet<_> = subset.iter().map(|state| &state.upstream).collect();
        assert_eq!(names.len(), 64);
        let near = subset
            .iter()
            .filter(|state| state.location == location(0))
            .count();
        assert_eq!(near, 48);
        let fewer: Vec<_> = states[1..].to_vec();
        let after = select_subset(&entry, &fewer, &settings);
        let after: BTreeSet<_> = after.iter().map(|state| &state.upstream).collect();
        assert!(names.difference(&after).count() <= 1);
        for state in subset {
            *uses.entry(&state.upstream).or_default() += 1;
        }
    }
    // 48 of 200 near upstreams for each of 100 entries: 24 uses each.
    let near = (0..200).map(|number| uses.get(&name(number * 3)).copied().unwrap_or(0));
    let (least, most) = near.fold((usize::MAX, 0), |(least, most), count| {
        (least.min(count), most.max(count))
    });
    assert!(least >= 8 && most <= 48, "{least} {most}");
}

proptest! {
    #![proptest_config(common::fixed_seed(300))]

    /// Guards against an estimate that misses the entry's own dispatches or counts them twice when
    /// reports are delayed, repeated or missing.
    #[test]
    fn estimate_equals_naive_history(
        steps in prop::collection::vec((0usize..3, 0u64..400, 0u64..600, 1u64..9), 1..80),
    ) {
        let settings = EstimateSettings::default();
        let capacity = BlockCount::new(50);
        let mut estimate = LoadEstimate::default();
        // Time sent, time finished and blocks of each request.
        let mut history: Vec<(u64, Option<u64>, u64)> = Vec::new();
        let mut last: Option<(u64, f64)> = None;
        let mut now = 1_000;
        for (kind, wait, lag, blocks) in steps {
            now += wait;
            match kind {
                0 => {
                    estimate.dispatch(BlockCount::new(blocks), at(now));
                    history.push((now, None, blocks));
                }
                1 => {
                    let running = history.iter_mut().filter(|(_, finished, _)| finished.is_none());
                    if let Some(item) = running.min_by_key(|(_, _, size)| size.abs_diff(blocks)) {
                        item.1 = Some(now);
                        estimate.finish(BlockCount::new(item.2), at(item.0), &settings, at(now));
                    }
                }
                _ => {
                    let measured = now - lag;
                    let blocks = blocks as f64 * 5.0;
                    if last.is_none_or(|(known, _)| measured > known) {
                        last = Some((measured, blocks));
                    }
                    estimate.record_load(LoadReport { blocks, measured_at: at(measured) });
                }
            }
            let since = last.map_or(0, |(measured, _)| measured);
            let sum = |keep: &dyn Fn(u64, Option<u64>) -> bool| -> f64 {
                let kept = history.iter().filter(|(sent, finished, _)| keep(*sent, *finished));
                kept.map(|(_, _, blocks)| *blocks as f64).sum()
            };
            let own = sum(&|sent, finished| sent >= since && finished.is_none());
            let ended = sum(&|sent, finished| sent < since && finished.is_some_and(|end| end >= since));
            let mean_blocks = 0.3 * 50.0;
            let expected = own + last.map_or(mean_blocks, |(measured, blocks)| {
                let weight = 0.5f64.powf((now - measured) as f64 / 4_000.0);
                weight * (blocks - ended).max(0.0) + (1.0 - weight) * mean_blocks
            });
            let found = estimate.blocks(capacity, 0.3, &settings, at(now));
            prop_assert!((found - expected).abs() < 1e-6, "{found} {expected}");
        }
    }

    /// Guards against matches with prefixes that an upstream does not hold, under any order of
    /// events.
    #[test]
    fn prefix_map_equals_naive_sets(
        steps in prop::collection::vec((0usize..4, 0usize..3, 0u64..12, 1usize..6), 1..150),
    ) {
        let mut map = PrefixMap::default();
        let mut naive: [Vec<u64>; 3] = Default::default();
        let mut candidates = SlotSet::default();
        for slot in 0..3 {
            map.add_slot(SlotIndex::new(slot), BlockCount::new(8));
            candidates.insert(SlotIndex::new(slot));
        }
        for (kind, slot, from, len) in steps {
            let hashes: Vec<u64> = (from..from + len as u64).collect();
            let prefixes: Vec<PrefixHash> = hashes.iter().map(|hash| PrefixHash::from(*hash)).collect();
            match kind {
                0 | 1 => {
                    map.record(SlotIndex::new(slot), &prefixes);
                    for hash in hashes.iter().rev() {
                        naive[slot].retain(|known| known != hash);
                        naive[slot].push(*hash);
                    }
                    let extra = naive[slot].len().saturating_sub(8);
                    naive[slot].drain(..extra);
                }
                2 => {
                    let matched = map.longest_match(&prefixes, candidates);
                    let depths = naive.each_ref().map(|known| {
                        hashes.iter().take_while(|hash| known.contains(hash)).count()
                    });
                    let best = depths.into_iter().max().filter(|best| *best > 0);
                    prop_assert_eq!(matched.map(|(_, depth)| depth), best);
                    for (slot, depth) in depths.into_iter().enumerate() {
                        let holds = matched.is_some_and(|(set, _)| set.contains(SlotIndex::new(slot)));
                        prop_assert_eq!(holds, best == Some(depth));
                    }
                }
                _ => {
                    map.clear_slot(SlotIndex::new(slot));
                    naive[slot].clear();
                }
            }
        }
    }

    /// Guards against a choice that differs from an exhaustive search. There are at most two
    /// upstreams at each distance, so that the random choice always compares all of them.
    #[test]
    fn choice_equals_naive_search(
        loads in prop::collection::vec((0usize..3, 0usize..5, 0u64..400), 1..7),
        deadline in 100u64..8_000,
        excluded in 0usize..7,
    ) {
        let phases = [UpstreamPhase::Ready, UpstreamPhase::Cold, UpstreamPhase::Suspect,
            UpstreamPhase::Changing, UpstreamPhase::Leaving];
        let mut states = Vec::new();
        for (number, (location_index, phase, _)) in loads.iter().enumerate() {
            let same_location = states.iter().filter(|state: &&UpstreamState| state.location == location(*location_index));
            if same_location.count() < 2 {
                states.push(UpstreamState { phase: phases[*phase], ..upstream(number, *location_index) });
            }
        }
        let mut chooser = chooser(&states);
        let load = |state: &UpstreamState| {
            let number = states.iter().position(|other| other == state).expect("it is listed");
            // Makes all loads different, so that there are no ties.
            loads[number].2 as f64 / 10.0 + number as f64 / 1_000.0
        };
        for state in &states {
            let measured_at = at(0);
            chooser.record_load(&state.upstream, LoadReport { blocks: load(state), measured_at });
        }
        let excluded = [name(excluded)];
        let request = ChoiceRequest { deadline: at(deadline), excluded: &excluded, ..request() };
        let mut rng = ChaCha8Rng::seed_from_u64(deadline);
        let chosen = chooser.choose(&request, at(0), &mut rng).ok().map(|choice| choice.upstream);

        let allowed = || states.iter().filter(|state| !excluded.contains(&state.upstream));
        let phase = phases[..3].iter().find(|phase| allowed().any(|state| state.phase == **phase));
        let mut best: Option<(f64, &UpstreamState)> = None;
        for (index, latency) in [0.0, 1.0, 20.0].into_iter().enumerate() {
            let at_distance = allowed().filter(|state| state.location == location(index) && Some(&state.phase) == phase);
            let Some(least) = at_distance.min_by(|one, other| load(one).total_cmp(&load(other))) else { continue };
            let wait = ((load(least) + 1.0) / 10.0 - 1.0).max(0.0) * 1_000.0;
            let meets = wait == 0.0 || latency + wait + 1_000.0 <= deadline as f64;
            if meets || best.is_none_or(|(delay, _)| latency + wait < delay) {
                best = Some((latency + wait, least));
            }
            if meets {
                break;
            }
        }
        prop_assert_eq!(chosen, best.map(|(_, state)| state.upstream.clone()));
    }
}

/// Guards against calls that are refused for good because all upstreams were full when they were last
/// heard of: loads arrive with answers only, and a refused call brings none.
#[test]
fn loads_that_no_answer_confirms_expire() {
    let mut chooser = chooser(&[upstream(0, 0), upstream(1, 0)]);
    for number in 0..2 {
        report(&mut chooser, number, 60.0, 1_000);
    }
    let delay = |millis| {
        let delay = chooser.expected_delay(&request(), at(millis));
        delay.expect("there is an upstream").as_millis()
    };
    assert!(delay(1_100) > 1_000, "{} ms soon", delay(1_100));
    // A call that would wait for up to 50 ms is admitted whatever its deadline.
    assert!(delay(31_000) <= 50, "{} ms after 30 s", delay(31_000));
}
