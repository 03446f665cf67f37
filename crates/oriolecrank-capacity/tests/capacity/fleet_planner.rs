//! Starts and stops of upstreams.

use oriolecrank_capacity::{
    CapabilityEstimator, DemandSettings, DemandSummary, FleetDecision, FleetInput, FleetPlanner,
    FleetSettings, Freshness, UpstreamView,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, UpstreamPhase, UpstreamRole};
use oriolecrank_schema::document::{FailureDomainId, ServiceId, UpstreamId};

use crate::common::{domain, engine, fleet, rate, seconds, service, upstream};

use UpstreamRole::{Decode, Mixed, Prefill};

/// Demand that needs 6.4 of the default engines at the target utilisation.
const HIGH: (f64, f64) = (20_250.0, 2_475.0);

/// Demand that one engine serves.
const LOW: (f64, f64) = (900.0, 110.0);

fn steady((prefill, decode): (f64, f64)) -> DemandSummary {
    let rate = rate(prefill, decode);
    DemandSummary {
        short: rate,
        long: rate,
    }
}

struct Case {
    upstreams: Vec<UpstreamView>,
    starting: Vec<(ServiceId, FailureDomainId)>,
    protected: Vec<UpstreamId>,
    demand: DemandSummary,
    freshness: Freshness,
    service_budget: Option<usize>,
    total_budget: Option<usize>,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            upstreams: fleet(&[Prefill, Decode, Mixed, Mixed]),
            starting: Vec::new(),
            protected: Vec::new(),
            demand: steady(HIGH),
            freshness: Freshness::Fresh,
            service_budget: None,
            total_budget: None,
        }
    }
}

fn plan(planner: &mut FleetPlanner, case: &Case, now: TimePoint) -> FleetDecision {
    let service = service();
    let input = FleetInput {
        service: &service,
        upstreams: &case.upstreams,
        starting: &case.starting,
        stopping: &[],
        domains: &[domain("a"), domain("b"), domain("c")],
        protected: &case.protected,
        demand: case.demand,
        urgent: rate(0.0, 0.0),
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
    let mut with_other = Case::default().upstreams;
    with_other.push(other);
    let cases = [
        ("no budget", Case::default(), 3),
        (
            "service budget",
            Case {
                service_budget: Some(5),
                ..Case::default()
            },
            1,
        ),
        (
            "used service budget",
            Case {
                service_budget: Some(3),
                ..Case::default()
            },
            0,
        ),
        (
            "total budget counts other services",
            Case {
                upstreams: with_other,
                total_budget: Some(6),
                ..Case::default()
            },
            1,
        ),
        (
            "two are starting",
            Case {
                starting: vec![(service(), domain("b")), (service(), domain("c"))],
                ..Case::default()
            },
            1,
        ),
        (
            "starts count against the budget",
            Case {
                starting: vec![(service(), domain("b"))],
                service_budget: Some(6),
                ..Case::default()
            },
            1,
        ),
        (
            "stale",
            Case {
                freshness: Freshness::Stale,
                ..Case::default()
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
fn starts_balance_the_failure_domains() {
    let decision = plan(&mut FleetPlanner::default(), &Case::default(), seconds(0));
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

/// Guards against starts that come only when the demand is there.
#[test]
fn a_rising_trend_starts_upstreams_ahead_of_need() {
    let upstreams = fleet(&[Prefill, Decode, Mixed, Mixed]);
    // Four engines are needed for this rate, and five for its trend.
    let present = rate(10_000.0, 1_200.0);
    let rising = Case {
        upstreams: upstreams.clone(),
        demand: DemandSummary {
            short: present,
            long: present * 0.3,
        },
        ..Case::default()
    };
    let level = Case {
        upstreams,
        demand: DemandSummary {
            short: present,
            long: present,
        },
        ..Case::default()
    };
    assert!(
        !plan(&mut FleetPlanner::default(), &rising, seconds(0))
            .starts
            .is_empty()
    );
    assert!(
        plan(&mut FleetPlanner::default(), &level, seconds(0))
            .starts
            .is_empty()
    );
}

/// Guards against a start that crashes again and again without a pause.
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
            let decision = plan(&mut planner, &Case::default(), now);
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
    assert_eq!(waits[7], settings.longest_backoff);
    planner.record_start_success(&service(), &domain("b"));
    planner.record_start_crash(&service(), &domain("b"), now);
    now = now + settings.backoff;
    let decision = plan(&mut planner, &Case::default(), now);
    assert!(
        decision
            .starts
            .iter()
            .any(|start| start.failure_domain == domain("b"))
    );
}

/// Guards against stops on a short lull, several at once, and of upstreams that are needed.
#[test]
fn a_superfluous_upstream_stops_after_a_while() {
    let mut planner = FleetPlanner::default();
    let low = Case {
        demand: steady(LOW),
        ..Case::default()
    };
    let after = FleetSettings::default().stop_after.as_secs();
    assert_eq!(
        plan(&mut planner, &low, seconds(0)),
        FleetDecision::default()
    );
    assert_eq!(
        plan(&mut planner, &low, seconds(after - 1)),
        FleetDecision::default()
    );
    let decision = plan(&mut planner, &low, seconds(after));
    assert_eq!(decision.stops.len(), 1);
    // Domain a is the fullest; u0 is a prefill and u3 a mixed engine of equal standing.
    assert!(["u0", "u3"].contains(&decision.stops[0].upstream.as_str()));
    assert!(matches!(
        Command::from(decision.stops[0].clone()),
        Command::PlaceStop { .. }
    ));
    assert_eq!(
        plan(&mut planner, &low, seconds(after + 1)),
        FleetDecision::default()
    );
}

/// Guards against a lull that is interrupted by high demand and still counted as one.
#[test]
fn high_demand_restarts_the_wait_for_a_stop() {
    let mut planner = FleetPlanner::default();
    let low = Case {
        demand: steady(LOW),
        ..Case::default()
    };
    let busy = Case {
        demand: steady((9_000.0, 1_100.0)),
        ..Case::default()
    };
    plan(&mut planner, &low, seconds(0));
    plan(&mut planner, &busy, seconds(400));
    plan(&mut planner, &low, seconds(401));
    assert_eq!(
        plan(&mut planner, &low, seconds(700)),
        FleetDecision::default()
    );
}

/// Guards against stops of the last upstream for a kind of work and of the last hot copies.
#[test]
fn needed_upstreams_do_not_stop() {
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
            "hot copies",
            fleet(&[Mixed, Mixed, Mixed]),
            vec![upstream("u0"), upstream("u2")],
            vec!["u1"],
        ),
    ];
    for (name, upstreams, protected, expected) in cases {
        let mut planner = FleetPlanner::default();
        let low = Case {
            upstreams,
            protected,
            demand: steady(LOW),
            ..Case::default()
        };
        plan(&mut planner, &low, seconds(0));
        let decision = plan(&mut planner, &low, seconds(10_000));
        assert_eq!(decision.stops.len(), 1, "{name}");
        let stopped = decision.stops[0].upstream.as_str();
        assert!(expected.contains(&stopped), "{name}: {stopped}");
    }
}
