//! Guards against choices that fit one kind of engine only: its reading speed, its chunks, its distance
//! to the others.

use std::time::Duration;

use oriolecrank_routing::{
    CallPlan, ChoiceRequest, ChooserSettings, DirectChooser, DomainName, EngineRole, EngineSpec,
    PartId, PlacedParts, PromptPart, PromptShape, UpstreamAnnouncement, UpstreamLoad, UpstreamName,
    VersionFilter,
};
use oriolecrank_schema::TimePoint;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{at, engine};

/// Engines of 160 KB a token, whose links copy 17,000 tokens in 14 ms within a failure domain.
fn chooser(upstreams: &[UpstreamAnnouncement]) -> DirectChooser {
    let settings = ChooserSettings {
        domain: DomainName::from("a"),
        regions: [("a", "x"), ("b", "y")]
            .map(|(domain, region)| (DomainName::from(domain), region.to_owned()))
            .into(),
        ..ChooserSettings::default()
    };
    let mut chooser = DirectChooser::new(settings);
    chooser.set_engine(Some(EngineSpec {
        batch_slots: 64,
        cache_tokens: 525_000,
        token_bytes: 163_840,
        copy_rate: 200_000_000,
    }));
    for upstream in upstreams {
        chooser.apply_announcement(upstream, at(0));
    }
    chooser
}

/// A prompt with a shared part and one of its own.
fn long_prompt(shared: u64, own: u64) -> PromptShape {
    let part = |id, tokens| PromptPart {
        id: PartId(id),
        tokens,
    };
    PromptShape {
        input_tokens: 13_300 + 3_720,
        output_tokens: 17,
        parts: vec![part(shared, 13_300), part(own, 3_720)],
    }
}

fn request(prompt: &PromptShape) -> ChoiceRequest<'_> {
    ChoiceRequest {
        prompt: Some(prompt),
        tried: &[],
        time_left: Duration::from_secs(6),
        time_to_target: Duration::from_millis(800),
        pause_target: Duration::from_millis(200),
        entries: 2,
        allow_remote_prefill: true,
        body_bytes: 0,
        priority: 0,
        versions: VersionFilter::Any,
    }
}

fn choose(chooser: &mut DirectChooser, prompt: &PromptShape, now: TimePoint) -> CallPlan {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let plan = chooser.choose(&request(prompt), now, &mut random);
    plan.expect("an engine serves the request")
}

/// Serves prompts one after the other at engines that read `tokens_per_ms` if they do not decode, and
/// half of it if they do. Returns the time at the end.
fn serve(chooser: &mut DirectChooser, prompts: u64, tokens_per_ms: f64) -> TimePoint {
    let mut now = at(10);
    for number in 0..prompts {
        let prompt = long_prompt(1_000 + number, 2_000 + number);
        let plan = choose(chooser, &prompt, now);
        let upstreams = plan.prefill_upstream.into_iter();
        for mut chosen in upstreams.chain([plan.serving_upstream]) {
            let speed = match chosen.announcement.role {
                Some(EngineRole::Prefill) => tokens_per_ms,
                _ => tokens_per_ms / 2.0,
            };
            let reading_ms = chosen.ticket.prefill_tokens as f64 / speed;
            let elapsed = Duration::from_secs_f64((10.0 + reading_ms) / 1_000.0);
            now = now + elapsed;
            chooser.record_first_answer(&mut chosen, elapsed, now);
            let name = chosen.announcement.name.clone();
            chooser.finish(name.as_str(), &chosen.ticket, None, now);
        }
    }
    now
}

fn three_readers_and_two_writers() -> Vec<UpstreamAnnouncement> {
    vec![
        engine("read-1", 1, EngineRole::Prefill),
        engine("read-2", 2, EngineRole::Prefill),
        engine("read-3", 3, EngineRole::Prefill),
        engine("write-1", 4, EngineRole::Decode),
        engine("write-2", 5, EngineRole::Decode),
    ]
}

/// Guards against estimates that stay near a start value fitted to another kind of engine: with one
/// answer in 20 counted, an entry needs a minute to notice that engines read a quarter as fast.
#[test]
fn a_few_answers_tell_how_fast_the_engines_read() {
    for tokens_per_ms in [50.0, 490.0, 1_320.0] {
        let mut chooser = chooser(&three_readers_and_two_writers());
        let now = serve(&mut chooser, 6, tokens_per_ms);
        let plan = choose(&mut chooser, &long_prompt(1, 2), now);
        let reader = plan.prefill_upstream.unwrap_or(plan.serving_upstream);
        let speed = match reader.announcement.role {
            Some(EngineRole::Prefill) => tokens_per_ms,
            _ => tokens_per_ms / 2.0,
        };
        let actual_ms = 10.0 + 17_020.0 / speed;
        let expected_ms = reader.expected_first_answer.as_secs_f64() * 1_000.0;
        assert!(
            (0.65..1.5).contains(&(expected_ms / actual_ms)),
            "{tokens_per_ms} tokens a ms: expected {expected_ms} ms, takes {actual_ms} ms"
        );
    }
}

/// Guards against a choice that never notices that one engine of a service is slower than the others.
#[test]
fn a_slow_engine_among_fast_ones_is_noticed() {
    let mut chooser = chooser(&[
        engine("slow", 1, EngineRole::Decode),
        engine("fast", 2, EngineRole::Decode),
    ]);
    let mut now = at(10);
    let mut chosen_late = 0;
    for number in 0..60 {
        let plan = choose(
            &mut chooser,
            &long_prompt(1_000 + number, 2_000 + number),
            now,
        );
        let mut chosen = plan.serving_upstream;
        let is_slow = chosen.announcement.name.as_str() == "slow";
        chosen_late += u32::from(is_slow && number >= 30);
        let speed = if is_slow { 60.0 } else { 240.0 };
        let elapsed = Duration::from_secs_f64((10.0 + 17_020.0 / speed) / 1_000.0);
        now = now + elapsed;
        chooser.record_first_answer(&mut chosen, elapsed, now);
        let name = chosen.announcement.name.clone();
        chooser.finish(name.as_str(), &chosen.ticket, None, now);
    }
    assert!(
        chosen_late <= 3,
        "{chosen_late} of 30 prompts went to the slow engine"
    );
}

/// Guards against long prompts that stall the streams of an engine for longer than their pause target
/// although an engine that only reads is idle.
#[test]
fn a_long_prompt_does_not_go_where_it_stalls_streams() {
    let mut chooser = chooser(&three_readers_and_two_writers());
    let now = serve(&mut chooser, 6, 50.0);
    for writer in ["write-1", "write-2"] {
        let streams = UpstreamLoad {
            running: 12,
            ..UpstreamLoad::default()
        };
        chooser.set_remote_load(writer, streams);
    }
    for number in 0..3 {
        let plan = choose(&mut chooser, &long_prompt(10 + number, 20 + number), now);
        assert!(plan.prefill_upstream.is_some(), "prompt {number}");
    }
}

/// Guards against idle engines: a short prompt may be read by an engine that writes streams, if those
/// that only read have long queues.
#[test]
fn a_short_prompt_is_read_beside_streams_while_readers_are_busy() {
    let mut chooser = chooser(&three_readers_and_two_writers());
    let now = serve(&mut chooser, 6, 50.0);
    for reader in ["read-1", "read-2", "read-3"] {
        let queue = UpstreamLoad {
            running: 4,
            pending_prefill_tokens: 30_000,
            ..UpstreamLoad::default()
        };
        chooser.set_remote_load(reader, queue);
    }
    let short = PromptShape {
        input_tokens: 1_400,
        output_tokens: 25,
        parts: vec![PromptPart {
            id: PartId(5),
            tokens: 1_400,
        }],
    };
    let plan = choose(&mut chooser, &short, now);
    assert_eq!(plan.prefill_upstream, None);
}

/// Guards against prompts whose shared part is new being taken for cached: the engine reads all of
/// it, and everything that is queued behind it is late.
#[test]
fn a_part_that_no_entry_has_sent_counts_as_unread() {
    let mut chooser = chooser(&three_readers_and_two_writers());
    let new = choose(&mut chooser, &long_prompt(1, 2), at(10));
    let reader = new.prefill_upstream.unwrap_or(new.serving_upstream);
    assert_eq!(reader.ticket.prefill_tokens, 17_020);
    let placed = PlacedParts {
        upstream: UpstreamName::from("write-1"),
        parts: vec![PartId(3)],
    };
    chooser.apply_placements(&placed, at(10));
    let known = choose(&mut chooser, &long_prompt(3, 4), at(20));
    let reader = known.prefill_upstream.unwrap_or(known.serving_upstream);
    assert_eq!(reader.ticket.prefill_tokens, 3_720);
}

/// Guards against a part that is forgotten after some seconds although the engine, which has much
/// memory and little traffic, still caches it.
#[test]
fn a_part_is_looked_for_where_it_was_half_a_minute_ago() {
    let mut chooser = chooser(&three_readers_and_two_writers());
    let placed = PlacedParts {
        upstream: UpstreamName::from("write-2"),
        parts: vec![PartId(3)],
    };
    chooser.apply_placements(&placed, at(0));
    for upstream in three_readers_and_two_writers() {
        chooser.apply_announcement(
            &UpstreamAnnouncement {
                sequence: 2,
                ..upstream
            },
            at(29_000),
        );
    }
    chooser.prune_placements(at(30_000));
    let plan = choose(&mut chooser, &long_prompt(3, 4), at(30_000));
    let reader = plan.prefill_upstream.unwrap_or(plan.serving_upstream);
    assert!(reader.ticket.prefill_tokens < 17_020);
}

/// Guards against prompts that are read in a region without an engine that serves them: the copy from
/// there occupies the link of the serving engine for as long as another engine needs to read.
#[test]
fn a_prompt_is_read_near_an_engine_that_serves_it() {
    let far = |name: &str, port| UpstreamAnnouncement {
        domain: DomainName::from("b"),
        ..engine(name, port, EngineRole::Prefill)
    };
    let mut chooser = chooser(&[
        far("far-1", 1),
        far("far-2", 2),
        engine("near", 3, EngineRole::Prefill),
        engine("write", 4, EngineRole::Decode),
    ]);
    let now = serve(&mut chooser, 6, 400.0);
    let queue = UpstreamLoad {
        running: 6,
        pending_prefill_tokens: 100_000,
        ..UpstreamLoad::default()
    };
    chooser.set_remote_load("near", queue);
    chooser.set_remote_load("write", queue);
    let plan = choose(&mut chooser, &long_prompt(1, 2), now);
    let reader = plan.prefill_upstream.unwrap_or(plan.serving_upstream);
    assert_eq!(reader.announcement.domain, DomainName::from("a"));
}
