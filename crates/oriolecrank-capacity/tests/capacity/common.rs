//! Values shared by the tests of the planners.

use oriolecrank_capacity::{DemandRate, ShapedDemand, TokenRate, UpstreamView};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{UpstreamPhase, UpstreamRole};
use oriolecrank_schema::document::{FailureDomainId, RegionId, ServiceId, UpstreamId};

pub fn service() -> ServiceId {
    ServiceId("assistant".to_owned())
}

pub fn domain(name: &str) -> FailureDomainId {
    FailureDomainId(name.to_owned())
}

pub fn upstream(name: &str) -> UpstreamId {
    UpstreamId(name.to_owned())
}

pub const fn seconds(seconds: u64) -> TimePoint {
    TimePoint::from_millis(seconds * 1_000)
}

/// Demand with the given prompt tokens per second of prompt-heavy calls and output tokens per
/// second of output-heavy calls.
pub fn shaped_demand(prefill: f64, decode: f64) -> ShapedDemand {
    ShapedDemand {
        prompt_heavy: DemandRate {
            prefill: TokenRate::per_second(prefill),
            decode: TokenRate::ZERO,
        },
        output_heavy: DemandRate {
            prefill: TokenRate::ZERO,
            decode: TokenRate::per_second(decode),
        },
    }
}

/// A ready engine whose last role change was at the origin of the clock.
pub fn engine(name: &str, failure_domain: &str, role: UpstreamRole) -> UpstreamView {
    UpstreamView {
        upstream: upstream(name),
        service: service(),
        failure_domain: domain(failure_domain),
        region: RegionId(failure_domain.to_owned()),
        role,
        phase: UpstreamPhase::Ready,
        model: None,
        capacity_blocks: 200,
        role_since: TimePoint::default(),
    }
}

/// Engines `u0`, `u1`, ... spread over the failure domains `a`, `b` and `c`.
pub fn fleet(roles: &[UpstreamRole]) -> Vec<UpstreamView> {
    let domains = ["a", "b", "c"];
    roles
        .iter()
        .enumerate()
        .map(|(index, role)| engine(&format!("u{index}"), domains[index % 3], *role))
        .collect()
}
