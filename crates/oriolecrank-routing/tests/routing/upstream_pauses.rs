//! Guards against requests to upstreams that ask for a pause, and against upstreams that get none
//! although their pause has ended.

use std::collections::VecDeque;
use std::time::Duration;

use oriolecrank_routing::{
    CallPlan, ChoiceRequest, ChooserSettings, ChosenUpstream, DirectChooser, DomainName,
    EngineRole, EngineSpec, LimitStatement, NoUpstream, PromptShape, RequestRate, SoftwareVersion,
    UpstreamAnnouncement, UpstreamName, VersionFilter,
};
use oriolecrank_schema::TimePoint;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{announcement, at, engine, prompt};

/// Pause that upstreams ask for.
const PAUSE: Duration = Duration::from_secs(3);

fn chooser(upstreams: &[UpstreamAnnouncement]) -> DirectChooser {
    let mut chooser = DirectChooser::new(ChooserSettings {
        domain: DomainName::from("a"),
        ..ChooserSettings::default()
    });
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

fn request(prompt: Option<&PromptShape>) -> ChoiceRequest<'_> {
    ChoiceRequest {
        prompt,
        tried: &[],
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

fn plain(name: &str, port: u16) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        address: format!("10.0.0.1:{port}").parse().expect("an address"),
        ..announcement(name, 1, 1)
    }
}

fn choose(
    chooser: &mut DirectChooser,
    request: &ChoiceRequest<'_>,
    now: TimePoint,
) -> Result<CallPlan, NoUpstream> {
    chooser.choose(
        request,
        now,
        &mut ChaCha8Rng::seed_from_u64(now.as_millis()),
    )
}

fn serving_name(plan: &CallPlan) -> &str {
    plan.serving_upstream.announcement.name.as_str()
}

/// Guards against a pause that only makes an upstream less likely to be chosen.
#[test]
fn an_upstream_that_asks_for_a_pause_is_never_chosen() {
    let (resting, other) = (plain("u", 1), plain("v", 2));
    let mut chooser = chooser(&[resting.clone(), other]);
    assert!(chooser.record_pause(&resting, PAUSE, at(100)));
    for millis in 100..3_100 {
        if let Ok(plan) = choose(&mut chooser, &request(None), at(millis)) {
            assert_eq!(serving_name(&plan), "v", "{millis}");
        }
    }
    assert_eq!(chooser.census(at(1_000)).paused, 1);
    let later = (3_100..3_200).any(|millis| {
        let plan = choose(&mut chooser, &request(None), at(millis));
        plan.is_ok_and(|plan| serving_name(&plan) == "u")
    });
    assert!(later, "it is chosen again after the pause");
}

/// Guards against waits for the deadline, and against callers that come back before an upstream wants
/// requests, when all upstreams ask for a pause. A silent or failing upstream is no exception.
#[test]
fn a_request_is_refused_until_the_first_pause_ends_if_all_upstreams_ask_for_one() {
    let (one, other) = (plain("u", 1), plain("v", 2));
    let mut chooser = chooser(&[one.clone(), other.clone()]);
    chooser.record_pause(&one, PAUSE * 2, at(100));
    chooser.record_pause(&other, PAUSE, at(1_000));
    // Both upstreams are silent by then.
    let refused = choose(&mut chooser, &request(None), at(3_000));
    let (wait, age) = (Duration::from_secs(2), Duration::from_secs(2));
    assert_eq!(refused, Err(NoUpstream::Paused { wait, age }));
    let tried = [UpstreamName::from("v")];
    let retried = ChoiceRequest {
        tried: &tried,
        ..request(None)
    };
    assert_eq!(
        choose(&mut chooser, &retried, at(3_000)),
        Err(NoUpstream::Paused { wait, age }),
        "a caller that comes back may try all upstreams"
    );
    let mut random = ChaCha8Rng::seed_from_u64(7);
    assert!(!chooser.can_choose(&request(None), at(3_000), &mut random));
    assert!(choose(&mut chooser, &request(None), at(4_000)).is_ok());
}

/// Guards against a caller that is told the pause of upstreams that cannot serve it.
#[test]
fn only_upstreams_that_could_serve_a_request_count() {
    let version = |announcement: UpstreamAnnouncement, version: &str| UpstreamAnnouncement {
        version: Some(SoftwareVersion::from(version.to_owned())),
        ..announcement
    };
    let old = version(engine("u", 1, EngineRole::Decode), "v1");
    let new = version(engine("v", 2, EngineRole::Decode), "v2");
    let prefill = version(engine("p", 3, EngineRole::Prefill), "v1");
    let mut chooser = engines(&[old.clone(), new.clone(), prefill]);
    chooser.record_pause(&old, PAUSE * 2, at(1_000));
    chooser.record_pause(&new, PAUSE, at(1_000));
    let only = SoftwareVersion::from("v1".to_owned());
    let prompt = prompt(1, 2);
    let resumed = ChoiceRequest {
        versions: VersionFilter::Only(&only),
        ..request(Some(&prompt))
    };
    let refused = choose(&mut chooser, &resumed, at(1_000));
    let (wait, age) = (PAUSE * 2, Duration::ZERO);
    assert_eq!(refused, Err(NoUpstream::Paused { wait, age }));
}

/// Guards against prefills at an engine that rests, and against prompts that are fetched from it.
#[test]
fn a_prefill_engine_that_asks_for_a_pause_is_left_out() {
    let prefill = engine("p", 1, EngineRole::Prefill);
    let decode = engine("d", 2, EngineRole::Decode);
    let mut chooser = engines(&[prefill.clone(), decode]);
    let own_prompts: Vec<_> = (0..20).map(|own| prompt(1, own + 2)).collect();
    let mut prefills = 0;
    for (number, prompt) in (0..).zip(&own_prompts) {
        let plan = choose(&mut chooser, &request(Some(prompt)), at(number));
        prefills += usize::from(plan.is_ok_and(|plan| plan.prefill_upstream.is_some()));
    }
    assert!(prefills > 0, "the prefill engine is used without a pause");
    chooser.record_pause(&prefill, PAUSE, at(1_000));
    for (number, prompt) in (0..).zip(&own_prompts) {
        let plan = choose(&mut chooser, &request(Some(prompt)), at(1_000 + number));
        let Ok(plan) = plan else {
            continue;
        };
        assert_eq!(plan.prefill_upstream, None);
        assert_eq!(plan.serving_upstream.fetch_from, None);
    }
}

/// Guards against a request that is sent after a long prefill, although its serving engine was asked
/// for a pause meanwhile, and against the release of a prompt at an engine that rests.
#[test]
fn a_pause_that_begins_after_the_choice_is_noticed() {
    let resting = plain("u", 1);
    let mut chooser = chooser(std::slice::from_ref(&resting));
    let plan = choose(&mut chooser, &request(None), at(100)).expect("an upstream");
    assert!(!chooser.must_withhold(&plan.serving_upstream, at(100)));
    assert!(chooser.count_extra_message(&resting, at(100)));
    chooser.record_pause(&resting, PAUSE, at(200));
    assert!(chooser.must_withhold(&plan.serving_upstream, at(300)));
    assert!(!chooser.count_extra_message(&resting, at(300)));
    assert!(!chooser.must_withhold(&plan.serving_upstream, at(3_200)));
    assert!(chooser.count_extra_message(&resting, at(3_200)));
}

/// Guards against a pause that a restarted upstream has not asked for, one that is forgotten with a
/// later announcement, and one that a late answer of an earlier incarnation begins.
#[test]
fn a_pause_belongs_to_an_incarnation() {
    let first = plain("u", 1);
    let mut chooser = chooser(std::slice::from_ref(&first));
    chooser.record_pause(&first, PAUSE, at(100));
    let repeated = UpstreamAnnouncement {
        sequence: 2,
        ..first.clone()
    };
    chooser.apply_announcement(&repeated, at(200));
    assert!(choose(&mut chooser, &request(None), at(300)).is_err());
    let second = UpstreamAnnouncement {
        started_ms: 2,
        sequence: 1,
        ..first.clone()
    };
    chooser.apply_announcement(&second, at(400));
    assert!(choose(&mut chooser, &request(None), at(400)).is_ok());
    assert!(!chooser.record_pause(&first, PAUSE, at(500)));
    assert!(choose(&mut chooser, &request(None), at(500)).is_ok());
}

/// Guards against the next overload: all requests that were held back reach an upstream at the end of
/// its pause.
#[test]
fn one_request_is_sent_first_after_a_pause() {
    let resting = plain("u", 1);
    let mut chooser = chooser(std::slice::from_ref(&resting));
    chooser.record_pause(&resting, PAUSE, at(100));
    let ended = at(3_100);
    let mut plan = choose(&mut chooser, &request(None), ended).expect("the first request");
    let second = choose(&mut chooser, &request(None), ended);
    assert_eq!(second, Err(NoUpstream::None));
    let answered = at(3_130);
    let elapsed = Duration::from_millis(30);
    chooser.record_first_answer(&mut plan.serving_upstream, elapsed, answered);
    let sent = (0..10).filter(|_| choose(&mut chooser, &request(None), answered).is_ok());
    assert_eq!(sent.count(), 2);
}

/// Guards against callers that come back in the pause of an upstream whose limit has room by then.
#[test]
fn a_limited_upstream_that_asks_for_a_pause_has_room_after_the_pause() {
    let (limited, resting) = (plain("u", 1), plain("v", 2));
    let mut chooser = chooser(&[limited, resting.clone()]);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    for (name, per_second) in [("u", 0.001), ("v", 100.0)] {
        let rate = RequestRate::from_per_second(per_second).expect("a rate");
        let statement = LimitStatement::Limited(rate);
        chooser.record_limit(name, statement, at(0), at(0), &mut random);
    }
    chooser.record_pause(&resting, PAUSE * 100, at(0));
    let refused = loop {
        if let Err(refused) = choose(&mut chooser, &request(None), at(0)) {
            break refused;
        }
    };
    let NoUpstream::Limited(wait) = refused else {
        panic!("{refused:?}");
    };
    assert!(wait > Duration::from_secs(1), "{wait:?}");
    assert!(wait < PAUSE * 100, "{wait:?}");
}

/// Entries of the largest site.
const ENTRIES: usize = 400;

/// Requests that all entries send in a second.
const REQUESTS_PER_SECOND: u64 = 2_000;

/// Time from sending a request to its answer, in milliseconds.
const ANSWER_MS: u64 = 30;

/// Guards against entries that ask an overloaded upstream again and again, or all in the same instant
/// after its pause. Each entry finds out by one request that the upstream wants a pause.
#[test]
fn all_entries_together_ask_an_overloaded_upstream_once_each() {
    let upstream = plain("u", 1);
    let mut entries: Vec<_> = (0..ENTRIES)
        .map(|_| chooser(std::slice::from_ref(&upstream)))
        .collect();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let (pause_begin, pause_end) = (1_000, 4_000);
    let mut refused = 0;
    let mut arrivals_after = Vec::new();
    // Answers on their way: time, entry, and the upstream with its ticket.
    let mut answers: VecDeque<(u64, usize, ChosenUpstream)> = VecDeque::new();
    for millis in 0..8_000 {
        while answers.front().is_some_and(|(due, ..)| *due <= millis) {
            let (_, index, mut chosen) = answers.pop_front().expect("an answer");
            let elapsed = Duration::from_millis(ANSWER_MS);
            entries[index].record_first_answer(&mut chosen, elapsed, at(millis));
            entries[index].finish("u", &chosen.ticket, None, at(millis));
        }
        for _ in 0..REQUESTS_PER_SECOND / 1_000 {
            let index = random.random_range(0..ENTRIES);
            let Ok(plan) = choose(&mut entries[index], &request(None), at(millis)) else {
                continue;
            };
            if (pause_begin..pause_end).contains(&millis) {
                refused += 1;
                let left = Duration::from_millis(pause_end - millis);
                entries[index].record_pause(&upstream, left, at(millis));
                let ticket = &plan.serving_upstream.ticket;
                entries[index].finish("u", ticket, None, at(millis));
            } else {
                if millis >= pause_end {
                    arrivals_after.push(millis);
                }
                answers.push_back((millis + ANSWER_MS, index, plan.serving_upstream));
            }
        }
    }
    assert!(refused <= ENTRIES, "{refused} requests were refused");
    let busiest = arrivals_after.iter().enumerate().map(|(index, start)| {
        let later = arrivals_after[index..].iter();
        later.take_while(|millis| **millis < start + 100).count()
    });
    let busiest = busiest.max().unwrap_or(0);
    let usual = REQUESTS_PER_SECOND as usize / 10;
    assert!(
        busiest <= usual,
        "{busiest} requests in 100 ms, {usual} are usual"
    );
    let last = arrivals_after.iter().filter(|millis| **millis >= 7_000);
    assert!(last.count() >= usual * 9, "the upstream is used again");
}

/// Guards against new requests to an upstream that leaves, against one that restarts and gets none, and
/// against a statement that an earlier incarnation has made.
#[test]
fn an_upstream_that_leaves_is_not_chosen_until_it_restarts() {
    let first = plain("u", 1);
    let mut chooser = chooser(std::slice::from_ref(&first));
    let plan = choose(&mut chooser, &request(None), at(100)).expect("an upstream");
    assert!(chooser.record_leaving(&first), "it leaves");
    assert!(!chooser.record_leaving(&first), "it is known to leave");
    assert!(chooser.must_withhold(&plan.serving_upstream, at(100)));
    assert_eq!(
        choose(&mut chooser, &request(None), at(100)),
        Err(NoUpstream::None)
    );
    let census = chooser.census(at(100));
    assert_eq!((census.known, census.ready, census.serving), (1, 0, 0));
    let repeated = UpstreamAnnouncement {
        sequence: 2,
        ..first.clone()
    };
    chooser.apply_announcement(&repeated, at(200));
    assert!(choose(&mut chooser, &request(None), at(200)).is_err());
    let second = UpstreamAnnouncement {
        started_ms: 2,
        ..first.clone()
    };
    chooser.apply_announcement(&second, at(300));
    assert!(!chooser.record_leaving(&first), "the first one is gone");
    assert!(choose(&mut chooser, &request(None), at(300)).is_ok());
}
