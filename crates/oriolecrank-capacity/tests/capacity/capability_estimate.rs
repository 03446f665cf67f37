//! Throughput estimates from load reports.

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

fn prefill_speed_after(loads: &[(u32, u64)]) -> f64 {
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
    let throughput = estimator.throughput(&name, UpstreamRole::Prefill).prefill;
    throughput.ratio_to(estimator.nominal_throughput(UpstreamRole::Prefill).prefill)
}

/// Guards against an idle upstream that is considered slow, and a slow one that is not detected.
#[test]
fn low_speed_is_measured_only_while_requests_are_queued() {
    let idle = prefill_speed_after(&[(0, 0); 30]);
    assert!((idle - 1.0).abs() < 1e-9, "the relative speed is {idle}");
    let slow = prefill_speed_after(&[(5, 45_000); 60]);
    assert!((slow - 0.5).abs() < 0.02, "the relative speed is {slow}");
    let fast = prefill_speed_after(&[(0, 180_000); 60]);
    assert!((fast - 2.0).abs() < 0.02, "the relative speed is {fast}");
}

/// Guards against a negative rate after the counters were reset by a restart of the agent.
#[test]
fn interval_with_restarted_counters_is_skipped() {
    let mut estimator = CapabilityEstimator::default();
    let name = upstream("u0");
    estimator.observe(
        &name,
        UpstreamRole::Decode,
        &load(3, 9_000, 9_000),
        seconds(0),
    );
    estimator.observe(&name, UpstreamRole::Decode, &load(3, 10, 10), seconds(10));
    let throughput = estimator.throughput(&name, UpstreamRole::Decode);
    assert_eq!(
        throughput,
        estimator.nominal_throughput(UpstreamRole::Decode)
    );
}

/// Guards against a measurement over an interval in which the upstream had two roles.
#[test]
fn interval_with_role_change_is_skipped() {
    let mut estimator = CapabilityEstimator::default();
    let name = upstream("u0");
    estimator.observe(&name, UpstreamRole::Decode, &load(3, 0, 0), seconds(0));
    estimator.observe(&name, UpstreamRole::Prefill, &load(3, 10, 0), seconds(10));
    let throughput = estimator.throughput(&name, UpstreamRole::Prefill);
    assert_eq!(
        throughput,
        estimator.nominal_throughput(UpstreamRole::Prefill)
    );
}

/// Guards against a decode engine with few sequences that is considered fast because it processes
/// more prompt tokens than the nominal throughput; the planner then missed a lack of decode
/// engines.
#[test]
fn work_outside_the_role_does_not_change_the_speed() {
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
        assert_eq!(
            estimator.throughput(&name, role),
            estimator.nominal_throughput(role)
        );
    }
}
