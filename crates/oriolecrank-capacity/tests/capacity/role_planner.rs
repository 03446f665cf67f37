//! Decisions and bounds of the role planner.

use std::time::Duration;

use crate::common::{engine, fleet, seconds, service, shaped_demand, upstream};
use oriolecrank_capacity::{
    CapabilityEstimator, FreezeReason, Freshness, PoolInput, RoleDecision, RolePlanner,
    RoleSettings, ShapedDemand, TokenRate, UpstreamView,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, OrderAction, UpstreamPhase, UpstreamRole};
use oriolecrank_schema::document::UpstreamId;

use UpstreamRole::{Decode, Mixed, Prefill};

/// Demand that needs about six prefill engines.
const PROMPT_HEAVY: (f64, f64) = (45_000.0, 500.0);

/// Demand that needs about six decode engines.
const OUTPUT_HEAVY: (f64, f64) = (9_000.0, 5_000.0);

struct PoolCase<'a> {
    upstreams: &'a [UpstreamView],
    pending: &'a [UpstreamId],
    demand: ShapedDemand,
    urgent: ShapedDemand,
    freshness: Freshness,
}

fn plan(planner: &mut RolePlanner, case: &PoolCase<'_>, now: TimePoint) -> RoleDecision {
    let service = service();
    let capability = CapabilityEstimator::default();
    let input = PoolInput {
        service: &service,
        upstreams: case.upstreams,
        pending: case.pending,
        demand: case.demand,
        urgent: case.urgent,
        freshness: case.freshness,
        capability: &capability,
    };
    planner.plan(&input, now)
}

fn pool_case(upstreams: &[UpstreamView], (prefill, decode): (f64, f64)) -> PoolCase<'_> {
    PoolCase {
        upstreams,
        pending: &[],
        demand: shaped_demand(prefill, decode),
        urgent: shaped_demand(0.0, 0.0),
        freshness: Freshness::Fresh,
    }
}

fn change_count(decision: &RoleDecision) -> usize {
    match decision {
        RoleDecision::Change(changes) => changes.len(),
        RoleDecision::Keep | RoleDecision::Frozen(_) => 0,
    }
}

/// Guards against a planner that never changes a role, which would pass most other tests.
#[test]
fn demand_shift_changes_roles_to_match() {
    let upstreams = fleet(&[
        Prefill, Prefill, Prefill, Prefill, Decode, Decode, Decode, Decode,
    ]);
    for (demand, wanted) in [(PROMPT_HEAVY, Prefill), (OUTPUT_HEAVY, Decode)] {
        let mut planner = RolePlanner::default();
        let RoleDecision::Change(changes) =
            plan(&mut planner, &pool_case(&upstreams, demand), seconds(600))
        else {
            panic!("expected RoleDecision::Change for {demand:?}");
        };
        assert!(
            changes.iter().all(|change| change.to == wanted),
            "{changes:?}"
        );
    }
}

/// Guards against role changes while the demand is unknown.
#[test]
fn stale_reports_freeze_the_roles() {
    let upstreams = fleet(&[Decode; 8]);
    let stale = PoolCase {
        freshness: Freshness::Stale,
        ..pool_case(&upstreams, PROMPT_HEAVY)
    };
    let decision = plan(&mut RolePlanner::default(), &stale, seconds(600));
    assert_eq!(decision, RoleDecision::Frozen(FreezeReason::StaleReports));
}

/// Guards against changes that cost more than they gain.
#[test]
fn demand_within_target_utilisation_changes_no_role() {
    let upstreams = fleet(&[
        Prefill, Prefill, Prefill, Prefill, Decode, Decode, Decode, Decode,
    ]);
    // Just within the target utilisation of four prefill and four decode engines. By default, a
    // prefill engine processes 9,000 prompt tokens/s and a decode engine generates 1,100 tokens/s.
    let target = RoleSettings::default().target_utilisation;
    let within = 0.98 * 4.0;
    let demand = (
        within * target.prefill * 9_000.0,
        within * target.decode * 1_100.0,
    );
    let served = pool_case(&upstreams, demand);
    let decision = plan(&mut RolePlanner::default(), &served, seconds(600));
    assert_eq!(decision, RoleDecision::Keep);
}

/// Guards against changing more than a quarter of the upstreams of a failure domain at the same
/// time, or more than one upstream of a small failure domain.
#[test]
fn changes_per_failure_domain_are_limited() {
    let mut changing = engine("busy", "a", Decode);
    changing.phase = UpstreamPhase::Changing;
    let small: Vec<UpstreamView> = (0..3)
        .map(|index| engine(&format!("u{index}"), "a", Decode))
        .collect();
    let mut with_changing = small.clone();
    with_changing.push(changing);
    let large: Vec<UpstreamView> = (0..8)
        .map(|index| engine(&format!("u{index}"), "a", Decode))
        .collect();
    let cases = [
        ("three upstreams", &small, vec![], 1),
        ("one is changing", &with_changing, vec![], 0),
        ("one has a plan", &small, vec![upstream("u1")], 0),
        ("eight upstreams", &large, vec![], 2),
    ];
    for (name, upstreams, pending, expected_changes) in cases {
        let case = PoolCase {
            pending: &pending,
            ..pool_case(upstreams, PROMPT_HEAVY)
        };
        let decision = plan(&mut RolePlanner::default(), &case, seconds(600));
        assert_eq!(
            change_count(&decision),
            expected_changes,
            "{name}: {decision:?}"
        );
    }
}

/// Guards against a pool without any upstream for prefill or for decode, during or after the
/// changes.
#[test]
fn last_upstream_for_prefill_or_decode_keeps_its_role() {
    let one_decode = fleet(&[Prefill, Prefill, Decode]);
    let mut unready = fleet(&[Prefill, Decode, Decode]);
    unready[1].phase = UpstreamPhase::Suspect;
    let mixed = fleet(&[Prefill, Prefill, Mixed]);
    for (name, upstreams) in [
        ("one decode", one_decode),
        ("the other is suspect", unready),
        ("one mixed", mixed),
    ] {
        let case = pool_case(&upstreams, (200_000.0, 10.0));
        let decision = plan(&mut RolePlanner::default(), &case, seconds(600));
        assert_eq!(change_count(&decision), 0, "{name}: {decision:?}");
    }
}

/// Guards against changes after which the pool could not serve urgent calls if a failure domain
/// were lost.
#[test]
fn urgent_work_survives_the_loss_of_a_domain() {
    let upstreams = fleet(&[Prefill, Decode, Decode, Prefill, Decode, Decode]);
    let urgent = PoolCase {
        urgent: shaped_demand(3_000.0, 2_200.0),
        ..pool_case(&upstreams, PROMPT_HEAVY)
    };
    let without_urgent_demand = plan(
        &mut RolePlanner::default(),
        &pool_case(&upstreams, PROMPT_HEAVY),
        seconds(600),
    );
    assert!(
        change_count(&without_urgent_demand) > 0,
        "{without_urgent_demand:?}"
    );
    // Four decode engines generate 4,400 tokens/s; two of them remain without the worst domain.
    let with_urgent_demand = plan(&mut RolePlanner::default(), &urgent, seconds(600));
    assert_eq!(
        change_count(&with_urgent_demand),
        0,
        "{with_urgent_demand:?}"
    );
}

/// Guards against role changes that follow demand oscillating faster than the minimum time in a
/// role.
#[test]
fn oscillating_demand_changes_few_roles() {
    let mut upstreams = fleet(&[
        Prefill, Prefill, Prefill, Prefill, Decode, Decode, Decode, Decode,
    ]);
    let mut planner = RolePlanner::default();
    let mut total = 0;
    let mut last_change = vec![None; upstreams.len()];
    for second in (600..4_200).step_by(5) {
        let demand = if second / 30 % 2 == 0 {
            PROMPT_HEAVY
        } else {
            OUTPUT_HEAVY
        };
        let decision = plan(
            &mut planner,
            &pool_case(&upstreams, demand),
            seconds(second),
        );
        let RoleDecision::Change(changes) = decision else {
            continue;
        };
        for change in changes {
            total += 1;
            let index = upstreams
                .iter()
                .position(|view| view.upstream == change.upstream)
                .unwrap();
            if let Some(last) = last_change[index].replace(second) {
                let role_duration = Duration::from_secs(second - last);
                assert!(
                    role_duration >= RoleSettings::default().min_role_duration,
                    "role changed after {role_duration:?}"
                );
            }
            upstreams[index].role = change.to;
            upstreams[index].role_since = seconds(second);
        }
    }
    assert!(total <= 6, "{total} changes in an hour");
}

/// Guards against a new leader that does not count the changes made by its predecessor.
#[test]
fn hourly_limit_survives_a_leader_change() {
    let upstreams = fleet(&[Decode; 8]);
    let mut planner = RolePlanner::default();
    planner.restore((0..6).map(|index| seconds(300 + index)));
    let decision = plan(
        &mut planner,
        &pool_case(&upstreams, PROMPT_HEAVY),
        seconds(600),
    );
    assert_eq!(decision, RoleDecision::Frozen(FreezeReason::ChangeLimit));
    // All six changes, the last one at 305 s, are now more than an hour old.
    let later = plan(
        &mut planner,
        &pool_case(&upstreams, PROMPT_HEAVY),
        seconds(3_906),
    );
    assert!(change_count(&later) > 0, "{later:?}");
}

/// Guards against a role change whose command requests another role.
#[test]
fn a_change_becomes_an_order() {
    let upstreams = fleet(&[Decode; 8]);
    let RoleDecision::Change(changes) = plan(
        &mut RolePlanner::default(),
        &pool_case(&upstreams, PROMPT_HEAVY),
        seconds(600),
    ) else {
        panic!("expected RoleDecision::Change");
    };
    let Command::PlaceOrder { action, .. } = Command::from(&changes[0]) else {
        panic!("expected Command::PlaceOrder");
    };
    assert_eq!(
        action,
        OrderAction::ChangeRole {
            role: changes[0].to
        }
    );
}

/// Guards against counting the prompts of output-heavy calls, which decode engines process, as work
/// for prefill engines: there were then too few decode engines after a shift to output-heavy calls.
#[test]
fn prompts_of_output_heavy_calls_need_decode_engines() {
    let upstreams = fleet(&[
        Prefill, Prefill, Prefill, Prefill, Prefill, Decode, Decode, Decode,
    ]);
    let mut output_heavy = pool_case(&upstreams, (9_000.0, 3_000.0));
    output_heavy.demand.output_heavy.prefill = TokenRate::per_second(6_000.0);
    let RoleDecision::Change(changes) =
        plan(&mut RolePlanner::default(), &output_heavy, seconds(600))
    else {
        panic!("expected RoleDecision::Change");
    };
    assert!(
        changes.iter().all(|change| change.to == Decode),
        "{changes:?}"
    );
}
