//! Planned starts and stops of upstreams.

use oriolecrank_capacity::{
    CapabilityEstimator, DemandSettings, DemandSummary, FleetDecision, FleetInput, FleetPlanner,
    FleetSettings, Freshness, UpstreamView,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, UpstreamPhase, UpstreamRole};
use oriolecrank_schema::document::{FailureDomainId, ServiceId, UpstreamId};

use crate::common::{domain, engine, fleet, seconds, service, shaped_demand, upstream};

use UpstreamRole::{Decode, Mixed, Prefill};

/// Demand that needs 6.4 engines of nominal speed at the target utilisation.
const HIGH_DEMAND: (f64, f64) = (20_250.0, 2_475.0);

/// Demand that one engine can serve.
const LOW_DEMAND: (f64, f64) = (900.0, 110.0);

fn steady_demand((prefill, decode): (f64, f64)) -> DemandSummary {
    let shaped_demand = shaped_demand(prefill, decode);
    DemandSummary {
        short: shaped_demand,
        long: shaped_demand,
    }
}

struct FleetCase {
    upstreams: Vec<UpstreamView>,
    starting: Vec<(ServiceId, FailureDomainId)>,
    protected: Vec<UpstreamId>,
    demand: DemandSummary,
    freshness: Freshness,
    service_budget: Option<usize>,
    total_budget: Option<usize>,
}

impl Default for FleetCase {
    fn default() -> Self {
        Self {
            upstreams: fleet(&[Prefill, Decode, Mixed, Mixed]),
            starting: Vec::new(),
            protected: Vec::new(),
            demand: steady_demand(HIGH_DEMAND),
            freshness: Freshness::Fresh,
            service_budget: None,
            total_budget: None,
        }
    }
}

fn plan(planner: &mut FleetPlanner, case: &FleetCase, now: TimePoint) -> FleetDecision {
    let service = service();
    let input = FleetInput {
        service: &service,
        upstreams: &case.upstreams,
        starting: &case.starting,
        stopping: &[],
        domains: &[domain("a"), domain("b"), domain("c")],
        protected: &case.protected,
        demand: case.demand,
        urgent: shaped_demand(0.0, 0.0),
        freshness: case.freshness,
        demand_settings: &DemandSettings::default(),
        capability: &CapabilityEstimator::default(),
        service_budget: case.service_budget,
        total_budget: case.total_budget,
    };
    planner.plan(&input, now)
}

/// Guards against starts beyond the budget, starts that are ordered twice, and decisions on stale
/// reports.
#[test]
fn missing_upstreams_start_within_the_budget() {
    let other = UpstreamView {
        service: ServiceId("desk".to_owned()),
        ..engine("desk", "a", UpstreamRole::Plain)
    };
    let mut with_other = FleetCase::default().upstreams;
    with_other.push(other);
    let cases = [
        ("no budget", FleetCase::default(), 3),
        (
            "service budget",
            FleetCase {
                service_budget: Some(5),
                ..FleetCase::default()
            },
            1,
        ),
        (
            "used service budget",
            FleetCase {
                service_budget: Some(3),
                ..FleetCase::default()
            },
            0,
        ),
        (
            "total budget counts other services",
            FleetCase {
                upstreams: with_other,
                total_budget: Some(6),
                ..FleetCase::default()
            },
            1,
        ),
        (
            "two are starting",
            FleetCase {
                starting: vec![(service(), domain("b")), (service(), domain("c"))],
                ..FleetCase::default()
            },
            1,
        ),
        (
            "starts count against the budget",
            FleetCase {
                starting: vec![(service(), domain("b"))],
                service_budget: Some(6),
                ..FleetCase::default()
            },
            1,
        ),
        (
            "stale reports",
            FleetCase {
                freshness: Freshness::Stale,
                ..FleetCase::default()
            },
            0,
        ),
    ];
    for (name, case, starts) in cases {
        let decision = plan(&mut FleetPlanner::default(), &case, seconds(0));
        assert_eq!(decision.starts.len(), starts, "{name}: {decision:?}");
        assert!(decision.stops.is_empty(), "{name}");
    }
}

/// Guards against starts that all go to one failure domain.
#[test]
fn starts_are_balanced_over_failure_domains() {
    let decision = plan(
        &mut FleetPlanner::default(),
        &FleetCase::default(),
        seconds(0),
    );
    let domains: Vec<_> = decision
        .starts
        .iter()
        .map(|start| start.failure_domain.clone())
        .collect();
    // Domain a has two of the four upstreams.
    assert_eq!(domains, [domain("b"), domain("c"), domain("a")]);
    let command = Command::from(decision.starts[0].clone());
    assert!(matches!(command, Command::PlaceStart { .. }));
}

/// Guards against starts that are ordered only once the demand has arrived.
#[test]
fn rising_trend_starts_upstreams_ahead_of_demand() {
    let upstreams = fleet(&[Prefill, Decode, Mixed, Mixed]);
    // This demand needs four engines, and its trend needs five.
    let present = shaped_demand(10_000.0, 1_200.0);
    let rising = FleetCase {
        upstreams: upstreams.clone(),
        demand: DemandSummary {
            short: present,
            long: present * 0.3,
        },
        ..FleetCase::default()
    };
    let steady = FleetCase {
        upstreams,
        demand: DemandSummary {
            short: present,
            long: present,
        },
        ..FleetCase::default()
    };
    assert!(
        !plan(&mut FleetPlanner::default(), &rising, seconds(0))
            .starts
            .is_empty()
    );
    assert!(
        plan(&mut FleetPlanner::default(), &steady, seconds(0))
            .starts
            .is_empty()
    );
}

/// Guards against crashing starts that are repeated without a delay.
#[test]
fn crashed_starts_back_off_by_domain() {
    let mut planner = FleetPlanner::default();
    let settings = FleetSettings::default();
    let mut now = seconds(0);
    let mut waits = Vec::new();
    for _ in 0..8 {
        planner.record_start_crash(&service(), &domain("b"), now);
        let crashed_at = now;
        loop {
            let decision = plan(&mut planner, &FleetCase::default(), now);
            assert!(
                !decision.starts.is_empty(),
                "the other domains are not affected"
            );
            if decision
                .starts
                .iter()
                .any(|start| start.failure_domain == domain("b"))
            {
                break;
            }
            now = now + std::time::Duration::from_secs(1);
        }
        waits.push(now.since(crashed_at));
    }
    assert_eq!(waits[0], settings.backoff);
    assert!(waits.windows(2).all(|pair| pair[1] >= pair[0]), "{waits:?}");
    assert_eq!(waits[7], settings.max_backoff);
    planner.record_start_success(&service(), &domain("b"));
    planner.record_start_crash(&service(), &domain("b"), now);
    now = now + settings.backoff;
    let decision = plan(&mut planner, &FleetCase::default(), now);
    assert!(
        decision
            .starts
            .iter()
            .any(|start| start.failure_domain == domain("b"))
    );
}

/// Guards against stops during a short drop in demand and against several stops at the same time.
#[test]
fn surplus_upstream_stops_after_the_stop_delay() {
    let mut planner = FleetPlanner::default();
    let low = FleetCase {
        demand: steady_demand(LOW_DEMAND),
        ..FleetCase::default()
    };
    let stop_after_s = FleetSettings::default().stop_after.as_secs();
    assert_eq!(
        plan(&mut planner, &low, seconds(0)),
        FleetDecision::default()
    );
    assert_eq!(
        plan(&mut planner, &low, seconds(stop_after_s - 1)),
        FleetDecision::default()
    );
    let decision = plan(&mut planner, &low, seconds(stop_after_s));
    assert_eq!(decision.stops.len(), 1);
    // Domain a has the most upstreams, u0 and u3, and either of them may be stopped.
    assert!(["u0", "u3"].contains(&decision.stops[0].upstream.as_str()));
    assert!(matches!(
        Command::from(decision.stops[0].clone()),
        Command::PlaceStop { .. }
    ));
    assert_eq!(
        plan(&mut planner, &low, seconds(stop_after_s + 1)),
        FleetDecision::default()
    );
}

/// Guards against two drops in demand that count as one although high demand separates them.
#[test]
fn high_demand_restarts_the_stop_delay() {
    let mut planner = FleetPlanner::default();
    let low = FleetCase {
        demand: steady_demand(LOW_DEMAND),
        ..FleetCase::default()
    };
    let busy = FleetCase {
        demand: steady_demand((9_000.0, 1_100.0)),
        ..FleetCase::default()
    };
    plan(&mut planner, &low, seconds(0));
    plan(&mut planner, &busy, seconds(400));
    plan(&mut planner, &low, seconds(401));
    assert_eq!(
        plan(&mut planner, &low, seconds(700)),
        FleetDecision::default()
    );
}

/// Guards against stops of the last upstream that can do prefill or decode, and of protected ones.
#[test]
fn needed_upstreams_are_not_stopped() {
    let mut suspect = fleet(&[Prefill, Prefill, Decode, Decode]);
    suspect[3].phase = UpstreamPhase::Suspect;
    let cases = [
        (
            "one decode engine",
            fleet(&[Prefill, Prefill, Decode]),
            vec![],
            vec!["u0", "u1"],
        ),
        ("the other is suspect", suspect, vec![], vec!["u0", "u1"]),
        (
            "protected upstreams",
            fleet(&[Mixed, Mixed, Mixed]),
            vec![upstream("u0"), upstream("u2")],
            vec!["u1"],
        ),
    ];
    for (name, upstreams, protected, expected) in cases {
        let mut planner = FleetPlanner::default();
        let low = FleetCase {
            upstreams,
            protected,
            demand: steady_demand(LOW_DEMAND),
            ..FleetCase::default()
        };
        plan(&mut planner, &low, seconds(0));
        let decision = plan(&mut planner, &low, seconds(10_000));
        assert_eq!(decision.stops.len(), 1, "{name}");
        let stopped = decision.stops[0].upstream.as_str();
        assert!(expected.contains(&stopped), "{name}: {stopped}");
    }
}
