//! Guards against placements that make callers wait although another upstream could answer sooner.

use std::time::Duration;

use oriolecrank_policy::outlier_ejection::UpstreamOutcome;
use oriolecrank_routing::{
    CallPlan, CallTiming, ChoiceRequest, ChooserSettings, DirectChooser, DomainName, EngineRole,
    EngineSpec, NoUpstream, PartId, PlacedParts, PromptShape, UpstreamAnnouncement, UpstreamLoad,
    UpstreamName, UpstreamReadiness,
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{announcement, at, engine, prompt};

fn chooser(upstreams: &[UpstreamAnnouncement]) -> DirectChooser {
    let settings = ChooserSettings {
        domain: DomainName::from("a"),
        regions: [("a", "x"), ("b", "y")]
            .map(|(domain, region)| (DomainName::from(domain), region.to_owned()))
            .into(),
        ..ChooserSettings::default()
    };
    let mut chooser = DirectChooser::new(settings);
    for upstream in upstreams {
        chooser.apply_announcement(upstream, at(0));
    }
    chooser
}

fn engines(upstreams: &[UpstreamAnnouncement]) -> DirectChooser {
    let mut chooser = chooser(upstreams);
    chooser.set_engine(Some(EngineSpec {
        batch_slots: 16,
        cache_tokens: 1_000_000,
        token_bytes: 96_256,
        copy_rate: 737_500_000,
    }));
    chooser
}

fn request<'a>(prompt: Option<&'a PromptShape>, tried: &'a [UpstreamName]) -> ChoiceRequest<'a> {
    ChoiceRequest {
        prompt,
        tried,
        time_left: Duration::from_secs(2),
        time_to_target: Duration::from_millis(250),
        entries: 2,
        allow_remote_prefill: true,
    }
}

fn choose(
    chooser: &mut DirectChooser,
    request: &ChoiceRequest<'_>,
) -> Result<CallPlan, NoUpstream> {
    chooser.choose(request, at(10), &mut ChaCha8Rng::seed_from_u64(7))
}

fn at_port(name: &str, port: u16) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        address: format!("10.0.0.1:{port}")
            .parse()
            .expect("a socket address"),
        ..announcement(name, 1, 1)
    }
}

#[test]
fn plain_calls_spread_over_equal_upstreams() {
    let mut chooser = chooser(&[at_port("u", 1), at_port("v", 2)]);
    let mut counts = [0; 2];
    for _ in 0..10 {
        let plan = choose(&mut chooser, &request(None, &[])).unwrap();
        counts[usize::from(plan.serving_upstream.announcement.name.as_str() == "v")] += 1;
    }
    assert_eq!(counts, [5, 5]);
}

#[test]
fn another_region_takes_calls_only_when_the_own_one_is_full() {
    let far = UpstreamAnnouncement {
        domain: DomainName::from("b"),
        ..at_port("far", 2)
    };
    let mut chooser = chooser(&[at_port("near", 1), far]);
    let mut names = Vec::new();
    for _ in 0..30 {
        let plan = choose(&mut chooser, &request(None, &[])).unwrap();
        names.push(plan.serving_upstream.announcement.name.to_string());
    }
    assert!(names[..4].iter().all(|name| name == "near"), "{names:?}");
    assert!(names.iter().any(|name| name == "far"), "{names:?}");
}

#[test]
fn loads_of_other_entries_count() {
    let mut chooser = chooser(&[at_port("u", 1), at_port("v", 2)]);
    let load = UpstreamLoad {
        running: 20,
        ..UpstreamLoad::default()
    };
    chooser.set_remote_load("u", load);
    for _ in 0..5 {
        let plan = choose(&mut chooser, &request(None, &[])).unwrap();
        assert_eq!(plan.serving_upstream.announcement.name.as_str(), "v");
    }
}

#[test]
fn a_tried_leaving_or_ejected_upstream_gets_nothing() {
    let mut chooser = chooser(&[at_port("u", 1), at_port("v", 2)]);
    let tried = [UpstreamName::from("u")];
    let plan = choose(&mut chooser, &request(None, &tried)).unwrap();
    assert_eq!(plan.serving_upstream.announcement.name.as_str(), "v");
    for _ in 0..3 {
        chooser.record(&UpstreamName::from("v"), UpstreamOutcome::Failed, at(5));
    }
    for _ in 0..5 {
        let plan = choose(&mut chooser, &request(None, &[])).unwrap();
        assert_eq!(plan.serving_upstream.announcement.name.as_str(), "u");
    }
    let leaving = UpstreamAnnouncement {
        state: UpstreamReadiness::Draining,
        sequence: 2,
        ..at_port("u", 1)
    };
    chooser.apply_announcement(&leaving, at(6));
    // The ejected one is better than none.
    let plan = choose(&mut chooser, &request(None, &[])).unwrap();
    assert_eq!(plan.serving_upstream.announcement.name.as_str(), "v");
    let both = ["u", "v"].map(UpstreamName::from);
    assert_eq!(
        choose(&mut chooser, &request(None, &both)),
        Err(NoUpstream::None)
    );
}

/// Engines fetch parts from each other within a millisecond, so a request need not go to the engine
/// that keeps its shared part; but after the first request nobody reads that part again.
#[test]
fn a_shared_part_is_read_once() {
    let mut chooser = engines(&[
        engine("u", 1, EngineRole::Decode),
        engine("v", 2, EngineRole::Decode),
    ]);
    for own in 0..6 {
        let prompt = prompt(1, 100 + own);
        let mut plan = choose(&mut chooser, &request(Some(&prompt), &[])).unwrap();
        let name = plan.serving_upstream.announcement.name.clone();
        if own > 0 {
            let reads = plan.serving_upstream.ticket.prefill_tokens;
            assert!(
                reads <= 2_890,
                "request {own} reads {reads} tokens at {name}"
            );
        }
        let elapsed = Duration::from_millis(40);
        chooser.record_first_answer(&mut plan.serving_upstream, elapsed, at(50));
        chooser.finish(name.as_str(), &plan.serving_upstream.ticket, None, at(60));
    }
}

#[test]
fn a_burst_on_one_shared_part_does_not_pile_up_on_one_engine() {
    let mut chooser = engines(&[
        engine("u", 1, EngineRole::Decode),
        engine("v", 2, EngineRole::Decode),
    ]);
    let mut counts = [0_u32; 2];
    for own in 0..40 {
        let prompt = prompt(1, 100 + own);
        if let Ok(plan) = choose(&mut chooser, &request(Some(&prompt), &[])) {
            counts[usize::from(plan.serving_upstream.announcement.name.as_str() == "v")] += 1;
        }
    }
    assert!(counts.iter().all(|count| *count >= 10), "{counts:?}");
}

#[test]
fn an_idle_reader_takes_long_prompts_off_a_busy_engine() {
    let mut chooser = engines(&[
        engine("run", 1, EngineRole::Decode),
        engine("read", 2, EngineRole::Prefill),
    ]);
    let load = UpstreamLoad {
        running: 4,
        pending_prefill_tokens: 40_000,
        ..UpstreamLoad::default()
    };
    chooser.set_remote_load("run", load);
    let prompt = prompt(1, 2);
    let plan = choose(&mut chooser, &request(Some(&prompt), &[])).unwrap();
    assert_eq!(
        plan.prefill_upstream.unwrap().announcement.name.as_str(),
        "read"
    );
    assert_eq!(plan.serving_upstream.announcement.name.as_str(), "run");
    let whole = ChoiceRequest {
        allow_remote_prefill: false,
        ..request(Some(&prompt), &[])
    };
    assert!(
        choose(&mut chooser, &whole)
            .unwrap()
            .prefill_upstream
            .is_none()
    );
}

#[test]
fn what_cannot_be_served_in_time_is_refused_with_the_wait() {
    let mut chooser = engines(&[engine("u", 1, EngineRole::Decode)]);
    let load = UpstreamLoad {
        running: 4,
        pending_prefill_tokens: 2_000_000,
        ..UpstreamLoad::default()
    };
    chooser.set_remote_load("u", load);
    let prompt = prompt(1, 2);
    let refused = choose(&mut chooser, &request(Some(&prompt), &[]));
    assert!(matches!(refused, Err(NoUpstream::Full(wait)) if wait > Duration::from_secs(1)));
}

#[test]
fn an_upstream_that_restarts_under_its_name_starts_without_load() {
    let mut chooser = chooser(&[at_port("u", 1)]);
    choose(&mut chooser, &request(None, &[])).unwrap();
    assert_eq!(chooser.local_loads(at(20)).count(), 1);
    let restarted = UpstreamAnnouncement {
        started_ms: 2,
        ..at_port("u", 1)
    };
    chooser.apply_announcement(&restarted, at(20));
    assert_eq!(chooser.local_loads(at(20)).count(), 0);
}

/// Pattern: long prompts in a burst beyond what the engines read in time. Requests that cannot be
/// answered in time go behind those that can, and only to an engine with a free place.
#[test]
fn late_requests_do_not_delay_those_on_time() {
    let mut chooser = engines(&[engine("u", 1, EngineRole::Decode)]);
    let prompt = prompt(1, 2);
    let late = ChoiceRequest {
        time_to_target: Duration::ZERO,
        ..request(Some(&prompt), &[])
    };
    for _ in 0..8 {
        let plan = choose(&mut chooser, &late).unwrap();
        assert_eq!(plan.timing, CallTiming::Late);
    }
    let plan = choose(&mut chooser, &request(Some(&prompt), &[])).unwrap();
    assert_eq!(plan.timing, CallTiming::OnTime);
    assert!(plan.serving_upstream.expected_first_answer < Duration::from_millis(250));
    let full = UpstreamLoad {
        running: 16,
        ..UpstreamLoad::default()
    };
    chooser.set_remote_load("u", full);
    assert!(matches!(
        choose(&mut chooser, &late),
        Err(NoUpstream::Full(_))
    ));
}

/// Pattern: chat holds the places of a small batch for seconds while short answers come and go. The
/// wait follows from the places that come free, not from the mean of all runs.
#[test]
fn places_held_by_chat_do_not_come_free() {
    let mut chooser = engines(&[
        engine("chat", 1, EngineRole::Decode),
        engine("short", 2, EngineRole::Decode),
    ]);
    let held = UpstreamLoad {
        running: 16,
        long_running: 14,
        ..UpstreamLoad::default()
    };
    let short = UpstreamLoad {
        long_running: 0,
        ..held
    };
    chooser.set_remote_load("chat", held);
    chooser.set_remote_load("short", short);
    let prompt = prompt(1, 2);
    for _ in 0..2 {
        let plan = choose(&mut chooser, &request(Some(&prompt), &[])).unwrap();
        assert_eq!(plan.serving_upstream.announcement.name.as_str(), "short");
    }
}

/// Pattern: sessions that are asked at another entry each time. Another entry has sent the part to an
/// engine in another region, and the time on the link is shorter than that of reading.
#[test]
fn a_part_that_another_entry_has_placed_is_fetched_from_there() {
    let far = UpstreamAnnouncement {
        domain: DomainName::from("b"),
        ..engine("far", 1, EngineRole::Decode)
    };
    let mut chooser = engines(&[
        far.clone(),
        engine("near", 2, EngineRole::Decode),
        engine("read", 3, EngineRole::Prefill),
    ]);
    let prompt = prompt(1, 2);
    let placed = PlacedParts {
        upstream: far.name.clone(),
        parts: vec![PartId(1)],
    };
    chooser.apply_placements(&placed, at(0));
    let plan = choose(&mut chooser, &request(Some(&prompt), &[])).unwrap();
    let reads = plan.prefill_upstream.unwrap_or(plan.serving_upstream);
    assert_eq!(reads.announcement.domain, DomainName::from("a"));
    assert_eq!(reads.fetch_from, Some(far.address));
}

/// Pattern: engines that only read prompts keep a prompt until it is taken over, so the shared part is
/// fetched from the engine that runs its requests.
#[test]
fn a_reader_fetches_the_shared_part_from_its_keeper() {
    let mut chooser = engines(&[
        engine("run", 1, EngineRole::Decode),
        engine("read", 2, EngineRole::Prefill),
    ]);
    let load = UpstreamLoad {
        running: 4,
        pending_prefill_tokens: 40_000,
        ..UpstreamLoad::default()
    };
    chooser.set_remote_load("run", load);
    let prompt = prompt(1, 2);
    let plan = choose(&mut chooser, &request(Some(&prompt), &[])).unwrap();
    let keeper = plan.serving_upstream.announcement.address;
    assert_eq!(plan.prefill_upstream.unwrap().fetch_from, Some(keeper));
}

/// Pattern: an engine falls silent under load. The age of the oldest request shows it before any
/// report does.
#[test]
fn a_request_that_waits_too_long_diverts_the_next_ones() {
    let mut chooser = engines(&[
        engine("u", 1, EngineRole::Decode),
        engine("v", 2, EngineRole::Decode),
    ]);
    let prompt = prompt(1, 2);
    let stuck = choose(&mut chooser, &request(Some(&prompt), &[])).unwrap();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..3 {
        let later = chooser.choose(&request(Some(&prompt), &[]), at(2_010), &mut random);
        let later = later.unwrap();
        assert_ne!(
            later.serving_upstream.announcement.name,
            stuck.serving_upstream.announcement.name
        );
        let name = later.serving_upstream.announcement.name.as_str().to_owned();
        chooser.finish(&name, &later.serving_upstream.ticket, None, at(2_010));
    }
}

#[test]
fn a_run_counts_from_its_begin_at_the_upstream() {
    let mut chooser = chooser(&[at_port("u", 1)]);
    let mut plan = choose(&mut chooser, &request(None, &[])).unwrap();
    plan.serving_upstream.round_trip = Duration::from_millis(40);
    let begun = chooser.start_time(&plan.serving_upstream, at(1_000), at(1_090));
    assert_eq!(begun, at(1_020));
}

/// Guards against connections of all entries together that exceed what an upstream accepts; it resets
/// those beyond.
#[test]
fn an_entry_keeps_to_its_part_of_the_connections() {
    let mut chooser = chooser(&[at_port("u", 1)]);
    chooser.set_max_connections(7);
    for _ in 0..3 {
        choose(&mut chooser, &request(None, &[])).unwrap();
    }
    assert_eq!(
        choose(&mut chooser, &request(None, &[])),
        Err(NoUpstream::None)
    );
    let alone = ChoiceRequest {
        entries: 1,
        ..request(None, &[])
    };
    choose(&mut chooser, &alone).unwrap();
}

/// Guards against an attempt that is given up although no other upstream takes the request.
#[test]
fn asking_for_an_alternative_takes_nothing() {
    let mut chooser = chooser(&[at_port("u", 1)]);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    assert!(chooser.can_choose(&request(None, &[]), at(10), &mut random));
    assert_eq!(chooser.local_loads(at(10)).count(), 0);
    choose(&mut chooser, &request(None, &[])).unwrap();
    let tried = [UpstreamName::from("u")];
    assert!(!chooser.can_choose(&request(None, &tried), at(10), &mut random));
}
