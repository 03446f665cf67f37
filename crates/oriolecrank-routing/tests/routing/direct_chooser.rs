//! Guards against choices that make callers wait although another upstream could answer sooner.

use std::time::Duration;

use oriolecrank_policy::outlier_ejection::UpstreamOutcome;
use oriolecrank_routing::{
    CallPlan, CallTiming, ChoiceRequest, ChooserSettings, DirectChooser, DomainName, EngineRole,
    EngineSpec, NoUpstream, PartId, PlacedParts, PromptShape, UpstreamAnnouncement, UpstreamLoad,
    UpstreamName, UpstreamReadiness, VersionFilter,
};
use oriolecrank_schema::TimePoint;
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
        pause_target: Duration::from_millis(250),
        entries: 2,
        allow_remote_prefill: true,
        body_bytes: 0,
        priority: 0,
        versions: VersionFilter::Any,
    }
}

fn choose(
    chooser: &mut DirectChooser,
    request: &ChoiceRequest<'_>,
) -> Result<CallPlan, NoUpstream> {
    chooser.choose(request, at(10), &mut ChaCha8Rng::seed_from_u64(7))
}

fn announcement_at_port(name: &str, port: u16) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        address: format!("10.0.0.1:{port}")
            .parse()
            .expect("a socket address"),
        ..announcement(name, 1, 1)
    }
}

#[test]
fn plain_requests_are_spread_over_equal_upstreams() {
    let mut chooser = chooser(&[announcement_at_port("u", 1), announcement_at_port("v", 2)]);
    let mut counts = [0; 2];
    for _ in 0..10 {
        let plan = choose(&mut chooser, &request(None, &[])).unwrap();
        counts[usize::from(plan.serving_upstream.announcement.name.as_str() == "v")] += 1;
    }
    assert_eq!(counts, [5, 5]);
}

#[test]
fn another_region_is_used_only_when_the_local_one_is_full() {
    let far = UpstreamAnnouncement {
        domain: DomainName::from("b"),
        ..announcement_at_port("far", 2)
    };
    let mut chooser = chooser(&[announcement_at_port("near", 1), far]);
    let mut names = Vec::new();
    for _ in 0..30 {
        let plan = choose(&mut chooser, &request(None, &[])).unwrap();
        names.push(plan.serving_upstream.announcement.name.to_string());
    }
    assert!(names[..4].iter().all(|name| name == "near"), "{names:?}");
    assert!(names.iter().any(|name| name == "far"), "{names:?}");
}

#[test]
fn loads_of_other_entries_are_considered() {
    let mut chooser = chooser(&[announcement_at_port("u", 1), announcement_at_port("v", 2)]);
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
fn tried_draining_and_ejected_upstreams_get_no_requests() {
    let mut chooser = chooser(&[announcement_at_port("u", 1), announcement_at_port("v", 2)]);
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
    let draining = UpstreamAnnouncement {
        state: UpstreamReadiness::Draining,
        sequence: 2,
        ..announcement_at_port("u", 1)
    };
    chooser.apply_announcement(&draining, at(6));
    // An ejected upstream is better than none.
    let plan = choose(&mut chooser, &request(None, &[])).unwrap();
    assert_eq!(plan.serving_upstream.announcement.name.as_str(), "v");
    let both = ["u", "v"].map(UpstreamName::from);
    assert_eq!(
        choose(&mut chooser, &request(None, &both)),
        Err(NoUpstream::None)
    );
}

/// Guards against a shared part that an engine prefills although another one caches it. Engines
/// fetch parts from each other within a millisecond, so a request need not go to the engine that
/// caches its shared part.
#[test]
fn a_shared_part_is_prefilled_once() {
    let mut chooser = engines(&[
        engine("u", 1, EngineRole::Decode),
        engine("v", 2, EngineRole::Decode),
    ]);
    for own in 0..6 {
        let prompt = prompt(1, 100 + own);
        let mut plan = choose(&mut chooser, &request(Some(&prompt), &[])).unwrap();
        let name = plan.serving_upstream.announcement.name.clone();
        if own > 0 {
            let prefill_tokens = plan.serving_upstream.ticket.prefill_tokens;
            assert!(
                prefill_tokens <= 2_890,
                "request {own} prefills {prefill_tokens} tokens at {name}"
            );
        }
        let elapsed = Duration::from_millis(40);
        chooser.record_first_answer(&mut plan.serving_upstream, elapsed, at(50));
        chooser.finish(name.as_str(), &plan.serving_upstream.ticket, None, at(60));
    }
}

#[test]
fn a_burst_on_one_shared_part_is_spread_over_engines() {
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
fn an_idle_prefill_engine_relieves_a_busy_decode_engine() {
    let mut chooser = engines(&[
        engine("decode", 1, EngineRole::Decode),
        engine("prefill", 2, EngineRole::Prefill),
    ]);
    let load = UpstreamLoad {
        running: 4,
        pending_prefill_tokens: 40_000,
        ..UpstreamLoad::default()
    };
    chooser.set_remote_load("decode", load);
    let prompt = prompt(1, 2);
    let plan = choose(&mut chooser, &request(Some(&prompt), &[])).unwrap();
    assert_eq!(
        plan.prefill_upstream.unwrap().announcement.name.as_str(),
        "prefill"
    );
    assert_eq!(plan.serving_upstream.announcement.name.as_str(), "decode");
    let without_remote_prefill = ChoiceRequest {
        allow_remote_prefill: false,
        priority: 0,
        ..request(Some(&prompt), &[])
    };
    assert!(
        choose(&mut chooser, &without_remote_prefill)
            .unwrap()
            .prefill_upstream
            .is_none()
    );
}

#[test]
fn requests_that_would_miss_the_deadline_are_refused_with_the_wait() {
    let mut chooser = engines(&[engine("u", 1, EngineRole::Decode)]);
    let load = UpstreamLoad {
        running: 4,
        pending_prefill_tokens: 2_000_000,
        ..UpstreamLoad::default()
    };
    chooser.set_remote_load("u", load);
    let prompt = prompt(1, 2);
    let result = choose(&mut chooser, &request(Some(&prompt), &[]));
    assert!(matches!(result, Err(NoUpstream::Full(wait)) if wait > Duration::from_secs(1)));
}

#[test]
fn a_restarted_upstream_of_the_same_name_has_no_load() {
    let mut chooser = chooser(&[announcement_at_port("u", 1)]);
    choose(&mut chooser, &request(None, &[])).unwrap();
    assert_eq!(chooser.local_loads(at(20)).count(), 1);
    let restarted = UpstreamAnnouncement {
        started_ms: 2,
        ..announcement_at_port("u", 1)
    };
    chooser.apply_announcement(&restarted, at(20));
    assert_eq!(chooser.local_loads(at(20)).count(), 0);
}

/// Guards against late requests that delay others in a burst of long prompts beyond the prefill
/// capacity. Requests that cannot meet their target are queued behind those that can, and are sent
/// only to an engine with a free slot.
#[test]
fn late_requests_do_not_delay_requests_on_time() {
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

/// Guards against a wait that is estimated too low while chat occupies the slots of a small batch
/// for seconds and short answers come and go. The wait follows from the slots that come free, not
/// from the mean over all requests.
#[test]
fn slots_of_long_running_requests_do_not_come_free() {
    let chat_load = UpstreamLoad {
        running: 16,
        long_running: 14,
        ..UpstreamLoad::default()
    };
    let short_load = UpstreamLoad {
        long_running: 0,
        ..chat_load
    };
    let prompt = prompt(1, 2);
    for seed in 0..8 {
        let mut chooser = engines(&[
            engine("chat", 1, EngineRole::Decode),
            engine("short", 2, EngineRole::Decode),
        ]);
        chooser.set_remote_load("chat", chat_load);
        chooser.set_remote_load("short", short_load);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let plan = chooser.choose(&request(Some(&prompt), &[]), at(10), &mut random);
        let plan = plan.unwrap();
        assert_eq!(plan.serving_upstream.announcement.name.as_str(), "short");
    }
}

/// Guards against a repeated prefill in sessions whose requests arrive at a different entry each
/// time. Another entry has sent the part to an engine in another region, and copying it from there
/// takes less time than a prefill.
#[test]
fn a_part_placed_by_another_entry_is_fetched_from_its_engine() {
    let far = UpstreamAnnouncement {
        domain: DomainName::from("b"),
        ..engine("far", 1, EngineRole::Decode)
    };
    let mut chooser = engines(&[
        far.clone(),
        engine("near", 2, EngineRole::Decode),
        engine("prefill", 3, EngineRole::Prefill),
    ]);
    let prompt = prompt(1, 2);
    let placed = PlacedParts {
        upstream: far.name.clone(),
        parts: vec![PartId(1)],
    };
    chooser.apply_placements(&placed, at(0));
    let plan = choose(&mut chooser, &request(Some(&prompt), &[])).unwrap();
    let prefill_upstream = plan.prefill_upstream.unwrap_or(plan.serving_upstream);
    assert_eq!(prefill_upstream.announcement.domain, DomainName::from("a"));
    assert_eq!(prefill_upstream.fetch_from, Some(far.address));
}

/// Guards against a prefill engine that prefills the shared part for each request. It keeps a
/// prompt only until it is handed over, so it fetches the part from the engine that serves the
/// requests.
#[test]
fn a_prefill_engine_fetches_the_shared_part_from_the_decode_engine() {
    let mut chooser = engines(&[
        engine("decode", 1, EngineRole::Decode),
        engine("prefill", 2, EngineRole::Prefill),
    ]);
    let load = UpstreamLoad {
        running: 4,
        pending_prefill_tokens: 40_000,
        ..UpstreamLoad::default()
    };
    chooser.set_remote_load("decode", load);
    let placed = PlacedParts {
        upstream: UpstreamName::from("decode"),
        parts: vec![PartId(1)],
    };
    chooser.apply_placements(&placed, at(0));
    let prompt = prompt(1, 2);
    let plan = choose(&mut chooser, &request(Some(&prompt), &[])).unwrap();
    let holder = plan.serving_upstream.announcement.address;
    assert_eq!(plan.prefill_upstream.unwrap().fetch_from, Some(holder));
}

/// Guards against further requests to an engine that stops answering under load. The age of the
/// oldest waiting request shows it before any load report does.
#[test]
fn a_stalled_request_diverts_later_ones() {
    let mut chooser = engines(&[
        engine("u", 1, EngineRole::Decode),
        engine("v", 2, EngineRole::Decode),
    ]);
    let prompt = prompt(1, 2);
    let stalled = choose(&mut chooser, &request(Some(&prompt), &[])).unwrap();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..3 {
        let plan = chooser.choose(&request(Some(&prompt), &[]), at(2_010), &mut random);
        let plan = plan.unwrap();
        assert_ne!(
            plan.serving_upstream.announcement.name,
            stalled.serving_upstream.announcement.name
        );
        let name = plan.serving_upstream.announcement.name.as_str().to_owned();
        chooser.finish(&name, &plan.serving_upstream.ticket, None, at(2_010));
    }
}

#[test]
fn a_plain_request_starts_when_it_reaches_the_upstream() {
    let mut chooser = chooser(&[announcement_at_port("u", 1)]);
    let mut plan = choose(&mut chooser, &request(None, &[])).unwrap();
    plan.serving_upstream.round_trip = Duration::from_millis(40);
    let started = chooser.start_time(&plan.serving_upstream, at(1_000), at(1_090));
    assert_eq!(started, at(1_020));
}

/// Guards against more connections from all entries together than an upstream accepts; it resets
/// the excess ones.
#[test]
fn an_entry_uses_only_its_share_of_the_connections() {
    let mut chooser = chooser(&[announcement_at_port("u", 1)]);
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

/// Guards against abandoning an attempt although no other upstream takes the request, and against
/// load that is counted for the check alone.
#[test]
fn can_choose_adds_no_load() {
    let mut chooser = chooser(&[announcement_at_port("u", 1)]);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    assert!(chooser.can_choose(&request(None, &[]), at(10), &mut random));
    assert_eq!(chooser.local_loads(at(10)).count(), 0);
    choose(&mut chooser, &request(None, &[])).unwrap();
    let tried = [UpstreamName::from("u")];
    assert!(!chooser.can_choose(&request(None, &tried), at(10), &mut random));
}

/// Guards against a refusal whose log line does not tell a service without upstreams from one whose
/// engines all have the role that only prefills.
#[test]
fn a_service_without_an_engine_that_decodes_is_reported_as_such() {
    let prompt = prompt(1, 2);
    let mut none_known = engines(&[]);
    let refused = choose(&mut none_known, &request(Some(&prompt), &[]));
    assert_eq!(refused, Err(NoUpstream::None));
    let mut prefill_only = engines(&[engine("u", 1, EngineRole::Prefill)]);
    let refused = choose(&mut prefill_only, &request(Some(&prompt), &[]));
    assert_eq!(refused, Err(NoUpstream::NoServingRole));
    let census = prefill_only.census(at(10));
    assert_eq!((census.known, census.ready, census.serving), (1, 1, 0));
    let mut decoding = engines(&[engine("u", 1, EngineRole::Decode)]);
    let tried = [UpstreamName::from("u")];
    let refused = choose(&mut decoding, &request(Some(&prompt), &tried));
    assert_eq!(refused, Err(NoUpstream::None));
}

/// Time after which service must have returned, in milliseconds.
const RECOVERY_MS: u64 = 12_000;

/// Answers that an upstream sends while it is slow.
const SLOW_ANSWERS: u64 = 300;

/// Lets the only upstream answer requests one after the other, each after 1.5 s. Returns the time of
/// the last answer.
fn answer_slowly(chooser: &mut DirectChooser, has_prompt: bool) -> TimePoint {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let elapsed = Duration::from_millis(1_500);
    let mut now = at(10);
    for own in 0..SLOW_ANSWERS {
        let prompt = has_prompt.then(|| prompt(1, 100 + own));
        let request = request(prompt.as_ref(), &[]);
        let plan = chooser.choose(&request, now, &mut random);
        let mut plan = plan.expect("the upstream takes a request");
        now = now + elapsed;
        chooser.record_first_answer(&mut plan.serving_upstream, elapsed, now);
        let name = plan.serving_upstream.announcement.name.clone();
        let service_time = (!has_prompt).then_some(elapsed);
        let ticket = plan.serving_upstream.ticket;
        chooser.finish(name.as_str(), &ticket, service_time, now);
        chooser.apply_announcement(&plan.serving_upstream.announcement, now);
    }
    now
}

/// Guards against a plain service that is refused for good because it was slow for a while and the
/// timeout of its route was shortened: only an answer corrected the estimate, and no request was sent
/// any more.
#[test]
fn a_service_that_was_slow_is_tried_again_without_an_answer() {
    let mut chooser = chooser(&[announcement_at_port("u", 1)]);
    let slow_until = answer_slowly(&mut chooser, false);
    let request = ChoiceRequest {
        time_left: Duration::from_secs(1),
        ..request(None, &[])
    };
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let soon = at(slow_until.as_millis() + 500);
    let choice = chooser.choose(&request, soon, &mut random);
    assert!(matches!(choice, Err(NoUpstream::Full(_))), "{choice:?}");
    let later = at(slow_until.as_millis() + RECOVERY_MS);
    let choice = chooser.choose(&request, later, &mut random);
    assert!(choice.is_ok(), "still refused: {choice:?}");
}

/// Guards against an engine that was slow for a while and whose requests are treated as late for
/// good: late requests taught the estimates nothing, and no others were sent any more.
#[test]
fn an_engine_that_was_slow_serves_requests_on_time_again() {
    let mut chooser = engines(&[engine("u", 1, EngineRole::Decode)]);
    let slow_until = answer_slowly(&mut chooser, true);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut timings = Vec::new();
    for step in (500..RECOVERY_MS).step_by(100) {
        let now = at(slow_until.as_millis() + step);
        let prompt = prompt(1, 10_000 + step);
        let plan = chooser.choose(&request(Some(&prompt), &[]), now, &mut random);
        let mut plan = plan.unwrap();
        timings.push(plan.timing);
        let elapsed = Duration::from_millis(20);
        let answered_at = now + elapsed;
        chooser.record_first_answer(&mut plan.serving_upstream, elapsed, answered_at);
        chooser.finish("u", &plan.serving_upstream.ticket, None, answered_at);
        chooser.apply_announcement(&plan.serving_upstream.announcement, answered_at);
    }
    assert_eq!(timings.first(), Some(&CallTiming::Late));
    assert_eq!(timings.last(), Some(&CallTiming::OnTime));
}

/// Guards against loads of other entries that are counted for good when no control instance answers
/// any more.
#[test]
fn loads_of_other_entries_expire_without_news() {
    let prompt = prompt(1, 2);
    let mut chooser = engines(&[engine("u", 1, EngineRole::Decode)]);
    let load = UpstreamLoad {
        running: 16,
        pending_prefill_tokens: 2_000_000,
        ..UpstreamLoad::default()
    };
    chooser.set_remote_load("u", load);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let request = request(Some(&prompt), &[]);
    assert!(chooser.choose(&request, at(10), &mut random).is_err());
    let choice = chooser.choose(&request, at(RECOVERY_MS), &mut random);
    assert!(choice.is_ok(), "still refused: {choice:?}");
}
