//! Measured abilities of upstreams.

use crate::common::{seconds, upstream};
use oriolecrank_capacity::CapabilityEstimator;
use oriolecrank_schema::control::UpstreamRole;
use oriolecrank_schema::data_path::UpstreamLoad;

fn load(queued: u32, prefill_tokens: u64, decode_tokens: u64) -> UpstreamLoad {
    UpstreamLoad {
        queued,
        running: 1,
        tokens_in_flight: 1_000,
        prefill_tokens,
        decode_tokens,
    }
}

fn speed_after(loads: &[(u32, u64)]) -> f64 {
    let mut estimator = CapabilityEstimator::default();
    let name = upstream("u0");
    let mut total = 0;
    for (index, (queued, tokens)) in loads.iter().enumerate() {
        total += tokens;
        let load = load(*queued, total, 0);
        estimator.observe(
            &name,
            UpstreamRole::Prefill,
            &load,
            seconds(10 * index as u64),
        );
    }
    let ability = estimator.ability(&name, UpstreamRole::Prefill).prefill;
    ability.share_of(estimator.typical(UpstreamRole::Prefill).prefill)
}

/// Guards against an idle upstream that is taken for a slow one, and a slow one that stays unknown.
#[test]
fn speed_is_learned_only_while_requests_wait() {
    let idle = speed_after(&[(0, 0); 30]);
    assert!((idle - 1.0).abs() < 1e-9, "{idle}");
    let slow = speed_after(&[(5, 45_000); 60]);
    assert!((slow - 0.5).abs() < 0.02, "{slow}");
    let fast = speed_after(&[(0, 180_000); 60]);
    assert!((fast - 2.0).abs() < 0.02, "{fast}");
}

/// Guards against counters that restart with the agent and then look like a negative rate.
#[test]
fn restarted_counters_are_skipped() {
    let mut estimator = CapabilityEstimator::default();
    let name = upstream("u0");
    estimator.observe(
        &name,
        UpstreamRole::Decode,
        &load(3, 9_000, 9_000),
        seconds(0),
    );
    estimator.observe(&name, UpstreamRole::Decode, &load(3, 10, 10), seconds(10));
    let ability = estimator.ability(&name, UpstreamRole::Decode);
    assert_eq!(ability, estimator.typical(UpstreamRole::Decode));
}

/// Guards against a mixture of two roles in one measurement.
#[test]
fn an_interval_with_a_role_change_is_skipped() {
    let mut estimator = CapabilityEstimator::default();
    let name = upstream("u0");
    estimator.observe(&name, UpstreamRole::Decode, &load(3, 0, 0), seconds(0));
    estimator.observe(&name, UpstreamRole::Prefill, &load(3, 10, 0), seconds(10));
    let ability = estimator.ability(&name, UpstreamRole::Prefill);
    assert_eq!(ability, estimator.typical(UpstreamRole::Prefill));
}

/// Guards against a decode engine with few sequences that is taken for a fast one because it
/// processes more prompt tokens than stated; the planner then saw no lack of decode ability.
#[test]
fn the_other_kind_of_work_shows_no_speed() {
    for (role, prefill, decode) in [
        (UpstreamRole::Decode, 40_000, 2_000),
        (UpstreamRole::Prefill, 20_000, 4_000),
    ] {
        let mut estimator = CapabilityEstimator::default();
        let name = upstream("u0");
        for interval in 0..30 {
            let load = load(0, prefill * interval, decode * interval);
            estimator.observe(&name, role, &load, seconds(10 * interval));
        }
        assert_eq!(estimator.ability(&name, role), estimator.typical(role));
    }
}
