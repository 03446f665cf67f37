//! Rules of the role planner.

use std::time::Duration;

use crate::common::{engine, fleet, rate, seconds, service, upstream};
use oriolecrank_capacity::{
    CapabilityEstimator, FreezeReason, Freshness, PoolInput, RoleDecision, RolePlanner,
    RoleSettings, ShapedDemand, TokenRate, UpstreamView,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, OrderAction, UpstreamPhase, UpstreamRole};
use oriolecrank_schema::document::UpstreamId;

use UpstreamRole::{Decode, Mixed, Prefill};

/// Demand that needs about six prefill engines.
const READS: (f64, f64) = (45_000.0, 500.0);

/// Demand that needs about six decode engines.
const CHAT: (f64, f64) = (9_000.0, 5_000.0);

struct Case<'a> {
    upstreams: &'a [UpstreamView],
    pending: &'a [UpstreamId],
    demand: ShapedDemand,
    urgent: ShapedDemand,
    freshness: Freshness,
}

fn plan(planner: &mut RolePlanner, case: &Case<'_>, now: TimePoint) -> RoleDecision {
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

fn case(upstreams: &[UpstreamView], (prefill, decode): (f64, f64)) -> Case<'_> {
    Case {
        upstreams,
        pending: &[],
        demand: rate(prefill, decode),
        urgent: rate(0.0, 0.0),
        freshness: Freshness::Fresh,
    }
}

fn changes(decision: &RoleDecision) -> usize {
    match decision {
        RoleDecision::Change(changes) => changes.len(),
        RoleDecision::Keep | RoleDecision::Frozen(_) => 0,
    }
}

/// Guards against a planner that never acts, which would satisfy all other tests.
#[test]
fn a_swing_changes_roles_toward_the_demand() {
    let upstreams = fleet(&[
        Prefill, Prefill, Prefill, Prefill, Decode, Decode, Decode, Decode,
    ]);
    for (demand, wanted) in [(READS, Prefill), (CHAT, Decode)] {
        let mut planner = RolePlanner::default();
        let RoleDecision::Change(changes) =
            plan(&mut planner, &case(&upstreams, demand), seconds(600))
        else {
            panic!("no change for {demand:?}");
        };
        assert!(
            changes.iter().all(|change| change.to == wanted),
            "{changes:?}"
        );
    }
}

/// Guards against changes on demand that is unknown.
#[test]
fn stale_reports_freeze_the_roles() {
    let upstreams = fleet(&[Decode; 8]);
    let stale = Case {
        freshness: Freshness::Stale,
        ..case(&upstreams, READS)
    };
    let decision = plan(&mut RolePlanner::default(), &stale, seconds(600));
    assert_eq!(decision, RoleDecision::Frozen(FreezeReason::StaleReports));
}

/// Guards against changes that cost more than they gain.
#[test]
fn demand_that_is_served_changes_nothing() {
    let upstreams = fleet(&[
        Prefill, Prefill, Prefill, Prefill, Decode, Decode, Decode, Decode,
    ]);
    // Just within the target utilisation of four prefill and four decode engines.
    let target = RoleSettings::default().target_utilisation;
    let within = 0.98 * 4.0;
    let demand = (
        within * target.prefill * 9_000.0,
        within * target.decode * 1_100.0,
    );
    let served = case(&upstreams, demand);
    let decision = plan(&mut RolePlanner::default(), &served, seconds(600));
    assert_eq!(decision, RoleDecision::Keep);
}

/// Guards against more than a quarter of a failure domain, or more than one of a small one, that
/// change at once.
#[test]
fn few_upstreams_of_a_domain_change_at_once() {
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
    for (name, upstreams, pending, bound) in cases {
        let case = Case {
            pending: &pending,
            ..case(upstreams, READS)
        };
        let decision = plan(&mut RolePlanner::default(), &case, seconds(600));
        assert_eq!(changes(&decision), bound, "{name}: {decision:?}");
    }
}

/// Guards against a pool in which nothing serves one kind of work, during or after the changes.
#[test]
fn the_last_capable_upstream_keeps_its_role() {
    let one_decode = fleet(&[Prefill, Prefill, Decode]);
    let mut unready = fleet(&[Prefill, Decode, Decode]);
    unready[1].phase = UpstreamPhase::Suspect;
    let mixed = fleet(&[Prefill, Prefill, Mixed]);
    for (name, upstreams) in [
        ("one decode", one_decode),
        ("the other is suspect", unready),
        ("one mixed", mixed),
    ] {
        let demand = case(&upstreams, (200_000.0, 10.0));
        let decision = plan(&mut RolePlanner::default(), &demand, seconds(600));
        assert_eq!(changes(&decision), 0, "{name}: {decision:?}");
    }
}

/// Guards against a pool whose urgent work would not survive the loss of a failure domain.
#[test]
fn urgent_work_survives_the_loss_of_a_domain() {
    let upstreams = fleet(&[Prefill, Decode, Decode, Prefill, Decode, Decode]);
    let urgent = Case {
        urgent: rate(3_000.0, 2_200.0),
        ..case(&upstreams, READS)
    };
    let free = plan(
        &mut RolePlanner::default(),
        &case(&upstreams, READS),
        seconds(600),
    );
    assert!(changes(&free) > 0, "{free:?}");
    // Four decode engines are 4,400 tokens/s; two of them are left without the worst domain.
    let bound = plan(&mut RolePlanner::default(), &urgent, seconds(600));
    assert_eq!(changes(&bound), 0, "{bound:?}");
}

/// Guards against roles that follow demand which flaps faster than the minimum stay.
#[test]
fn flapping_demand_changes_few_roles() {
    let mut upstreams = fleet(&[
        Prefill, Prefill, Prefill, Prefill, Decode, Decode, Decode, Decode,
    ]);
    let mut planner = RolePlanner::default();
    let mut total = 0;
    let mut last_change = vec![None; upstreams.len()];
    for second in (600..4_200).step_by(5) {
        let demand = if second / 30 % 2 == 0 { READS } else { CHAT };
        let decision = plan(&mut planner, &case(&upstreams, demand), seconds(second));
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
                let stay = Duration::from_secs(second - last);
                assert!(stay >= RoleSettings::default().minimum_stay, "{stay:?}");
            }
            upstreams[index].role = change.to;
            upstreams[index].role_since = seconds(second);
        }
    }
    assert!(total <= 6, "{total} changes in an hour");
}

/// Guards against a new leader that forgets how many changes its predecessor made.
#[test]
fn the_hourly_bound_survives_a_new_leader() {
    let upstreams = fleet(&[Decode; 8]);
    let mut planner = RolePlanner::default();
    planner.restore((0..6).map(|index| seconds(300 + index)));
    let decision = plan(&mut planner, &case(&upstreams, READS), seconds(600));
    assert_eq!(decision, RoleDecision::Frozen(FreezeReason::ChangeLimit));
    let later = plan(&mut planner, &case(&upstreams, READS), seconds(3_906));
    assert!(changes(&later) > 0, "{later:?}");
}

/// Guards against a decision that cannot be committed as a command.
#[test]
fn a_change_becomes_an_order() {
    let upstreams = fleet(&[Decode; 8]);
    let RoleDecision::Change(changes) = plan(
        &mut RolePlanner::default(),
        &case(&upstreams, READS),
        seconds(600),
    ) else {
        panic!("no change");
    };
    let Command::PlaceOrder { action, .. } = Command::from(&changes[0]) else {
        panic!("not an order");
    };
    assert_eq!(
        action,
        OrderAction::ChangeRole {
            role: changes[0].to
        }
    );
}

/// Guards against the prompts of chats, which decode engines process, being counted as work for
/// prefill engines: the decode engines were then too few on swings to chat.
#[test]
fn prompts_of_chats_need_decode_engines() {
    let upstreams = fleet(&[
        Prefill, Prefill, Prefill, Prefill, Prefill, Decode, Decode, Decode,
    ]);
    let mut chats = case(&upstreams, (9_000.0, 3_000.0));
    chats.demand.output_heavy.prefill = TokenRate::per_second(6_000.0);
    let RoleDecision::Change(changes) = plan(&mut RolePlanner::default(), &chats, seconds(600))
    else {
        panic!("no change");
    };
    assert!(
        changes.iter().all(|change| change.to == Decode),
        "{changes:?}"
    );
}
