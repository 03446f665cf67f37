//! Guards against streams that stall on uneven engines: slow ones, ones that turn slow for a time, and
//! ones that read prompts meanwhile.

use std::time::Duration;

use oriolecrank_routing::{
    ChoiceRequest, ChooserSettings, DirectChooser, EngineRole, EngineSpec, PartId, PauseCollector,
    PauseSample, PromptPart, PromptShape, UpstreamAnnouncement, UpstreamLoad, VersionFilter,
};
use oriolecrank_schema::TimePoint;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{at, engine};

/// Mean pauses of engines of three speeds, in milliseconds. The slowest one misses a target of 200 ms
/// whenever it is 2.5 times slower than usual; the others do not.
const ENGINE_PAUSES: [(&str, f64); 3] = [("fast", 37.0), ("middle", 45.0), ("slow", 81.0)];

fn engines() -> Vec<UpstreamAnnouncement> {
    let names = ENGINE_PAUSES.iter().zip(1..);
    names
        .map(|((name, _), port)| engine(name, port, EngineRole::Decode))
        .collect()
}

fn chooser(observe_pauses: bool) -> DirectChooser {
    let mut chooser = DirectChooser::new(ChooserSettings {
        observe_pauses,
        ..ChooserSettings::default()
    });
    chooser.set_engine(Some(EngineSpec {
        batch_slots: 48,
        cache_tokens: 305_000,
        token_bytes: 131_072,
        copy_rate: 387_500_000,
    }));
    for upstream in engines() {
        chooser.apply_announcement(&upstream, at(0));
    }
    chooser
}

/// Eight events, one of them `longest` times the mean pause.
fn sample(mean_ms: f64, longest: f64) -> PauseSample {
    PauseSample {
        events: 8,
        total_ms: mean_ms * (7.0 + longest),
        longest_ms: mean_ms * longest,
    }
}

/// Records pauses of all engines, of which a share of 0.15 is 2.5 times longer than usual.
fn observe(chooser: &mut DirectChooser, factor: f64, from: TimePoint, random: &mut ChaCha8Rng) {
    for step in 0..60 {
        let now = from + Duration::from_millis(step * 20);
        for (upstream, (_, mean_ms)) in engines().iter().zip(ENGINE_PAUSES) {
            let longest = if random.random_bool(0.15) { 2.5 } else { 1.05 };
            chooser.record_pauses(upstream, sample(mean_ms * factor, longest), now);
        }
    }
}

fn prompt(output_tokens: u64, own_tokens: u64) -> PromptShape {
    PromptShape {
        input_tokens: own_tokens,
        output_tokens,
        parts: vec![PromptPart {
            id: PartId(own_tokens),
            tokens: own_tokens,
        }],
    }
}

/// Number of 60 requests that go to each engine; each ends before the next one.
fn chosen(chooser: &mut DirectChooser, prompt: &PromptShape, now: TimePoint) -> [usize; 3] {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let request = ChoiceRequest {
        prompt: Some(prompt),
        tried: &[],
        time_left: Duration::from_secs(15),
        time_to_target: Duration::from_millis(800),
        pause_target: Duration::from_millis(200),
        entries: 2,
        allow_remote_prefill: true,
        priority: 1,
        versions: VersionFilter::Any,
        body_bytes: 0,
    };
    let mut counts = [0; 3];
    for _ in 0..60 {
        let plan = chooser.choose(&request, now, &mut random);
        let chosen = plan.expect("an engine is free").serving_upstream;
        let name = chosen.announcement.name.as_str();
        let index = ENGINE_PAUSES.iter().position(|(known, _)| *known == name);
        counts[index.expect("a known engine")] += 1;
        chooser.finish(name, &chosen.ticket, None, now);
    }
    counts
}

/// Guards against long streams on engines of a third of the usual speed, where each slow time of the
/// engine makes them late.
#[test]
fn long_streams_keep_away_from_engines_that_pause_too_long() {
    let mut chooser = chooser(true);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    observe(&mut chooser, 1.0, at(10), &mut random);
    for output_tokens in [72, 500] {
        let [fast, middle, slow] = chosen(&mut chooser, &prompt(output_tokens, 141), at(1_300));
        assert_eq!(slow, 0, "{output_tokens} tokens");
        assert!(fast > 5 && middle > 5, "{fast} and {middle} of 60");
    }
}

/// Guards against slow engines that stand idle: an answer of two tokens has no pause that matters.
#[test]
fn short_answers_use_slow_engines_too() {
    let mut chooser = chooser(true);
    let mut random = ChaCha8Rng::seed_from_u64(2);
    observe(&mut chooser, 1.0, at(10), &mut random);
    let mut now = at(1_300);
    let mut slow = 0;
    // Each of 60 requests stays for a second, so that the fast engines fill up.
    let prompt = prompt(2, 2_890);
    for _ in 0..20 {
        slow += chosen(&mut chooser, &prompt, now)[2];
        let load = UpstreamLoad {
            running: 40,
            pending_prefill_tokens: 20_000,
            ..UpstreamLoad::default()
        };
        chooser.set_remote_load("fast", load);
        chooser.set_remote_load("middle", load);
        now = now + Duration::from_millis(10);
    }
    assert!(slow > 0, "no request goes to the slow engine");
}

/// Guards against an engine that is kept out for good after it was slow, and against one that keeps its
/// streams while it is slow.
#[test]
fn an_engine_that_slows_to_a_quarter_and_recovers_is_followed() {
    let mut chooser = chooser(true);
    let mut random = ChaCha8Rng::seed_from_u64(3);
    observe(&mut chooser, 1.0, at(10), &mut random);
    let fast = &engines()[0];
    for step in 0..12 {
        chooser.record_pauses(fast, sample(4.0 * 37.0, 1.05), at(1_300 + step * 300));
    }
    let reply = prompt(72, 141);
    let slowed = chosen(&mut chooser, &reply, at(4_900));
    assert_eq!(slowed[0], 0, "of 60 while it is slow");
    observe(&mut chooser, 1.0, at(5_000), &mut random);
    let recovered = chosen(&mut chooser, &reply, at(6_300));
    assert!(recovered[0] > 5, "{} of 60 afterwards", recovered[0]);
}

/// Guards against an engine that gets no stream any more because its last ones were slow: after half a
/// minute without an observation it is tried again.
#[test]
fn an_engine_without_streams_is_tried_again() {
    let mut chooser = chooser(true);
    let mut random = ChaCha8Rng::seed_from_u64(4);
    observe(&mut chooser, 1.0, at(10), &mut random);
    let (fast, rest) = (&engines()[0], &engines()[1..]);
    for step in 0..12 {
        chooser.record_pauses(fast, sample(4.0 * 37.0, 1.05), at(1_300 + step * 50));
    }
    for (upstream, (_, mean_ms)) in rest.iter().zip(&ENGINE_PAUSES[1..]) {
        chooser.record_pauses(upstream, sample(*mean_ms, 1.05), at(32_000));
    }
    let counts = chosen(&mut chooser, &prompt(72, 141), at(32_100));
    assert!(counts[0] > 5, "{} of 60", counts[0]);
}

/// Guards against a long prompt beside streams that already pause for most of their target.
#[test]
fn a_prompt_is_not_read_where_reading_makes_streams_late() {
    let mut chooser = chooser(true);
    let mut random = ChaCha8Rng::seed_from_u64(5);
    observe(&mut chooser, 1.0, at(10), &mut random);
    for (name, _) in ENGINE_PAUSES {
        let load = UpstreamLoad {
            running: 6,
            ..UpstreamLoad::default()
        };
        chooser.set_remote_load(name, load);
    }
    let counts = chosen(&mut chooser, &prompt(2, 12_000), at(1_300));
    assert_eq!(counts[2], 0, "of 60 at the slow engine");
}

/// Guards against a change for deployments whose settings do not ask for it.
#[test]
fn without_the_setting_pauses_do_not_count() {
    let (mut off, mut unobserved) = (chooser(false), chooser(false));
    let mut random = ChaCha8Rng::seed_from_u64(6);
    observe(&mut off, 1.0, at(10), &mut random);
    let reply = prompt(72, 141);
    assert_eq!(
        chosen(&mut off, &reply, at(1_300)),
        chosen(&mut unobserved, &reply, at(1_300))
    );
}

/// Guards against pauses of a caller that reads slowly, which would be taken for those of the engine.
#[test]
fn the_delay_of_a_caller_is_not_a_pause_of_the_engine() {
    let mut pauses = PauseCollector::default();
    assert_eq!(pauses.record(1, at(0)), None);
    let pause = Duration::from_millis(50);
    assert_eq!(pauses.record(1, at(50)), Some(pause));
    pauses.skip_pause();
    assert_eq!(pauses.record(1, at(5_000)), None);
    assert_eq!(pauses.record(2, at(5_050)), Some(pause));
    let rest = pauses.take_rest().expect("three pauses");
    assert_eq!(
        (rest.events, rest.total_ms, rest.longest_ms),
        (3, 100.0, 50.0)
    );
    assert_eq!(pauses.take_rest(), None);
}
