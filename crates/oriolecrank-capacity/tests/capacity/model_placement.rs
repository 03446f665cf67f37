//! Placement of models and the load queue of the weight store.

use oriolecrank_capacity::{
    LoadArtefact, LoadRequest, LoadUrgency, ModelDemand, PlacementPlanner, TokenRate,
    WeightLoadQueue, WeightStoreSettings,
};
use oriolecrank_schema::control::{Command, OrderAction, UpstreamRole};
use oriolecrank_schema::document::{PriorityClass, UpstreamId};

use crate::common::{fleet, seconds, upstream};

fn model(name: &str) -> LoadArtefact {
    LoadArtefact::Model {
        model: name.to_owned(),
        version: "1".to_owned(),
    }
}

fn demand(name: &str, class: PriorityClass, copies: &[&str], engines: f64) -> ModelDemand {
    ModelDemand {
        artefact: model(name),
        bytes: 4_000_000_000,
        class,
        engines,
        tokens: TokenRate::per_second(1_000.0 * engines),
        copies: copies.iter().map(|name| upstream(name)).collect(),
        loading: Vec::new(),
    }
}

fn upstream_ids(names: &[&str]) -> Vec<UpstreamId> {
    names.iter().map(|name| upstream(name)).collect()
}

/// Guards against copies in a single failure domain, repeated loads, and unnecessary loads.
#[test]
fn two_failure_domains_get_a_copy() {
    // The engines u0 and u3 are in domain a, u1 and u4 in b, u2 and u5 in c.
    let upstreams = fleet(&[UpstreamRole::Mixed; 6]);
    let all = upstream_ids(&["u0", "u1", "u2", "u3", "u4", "u5"]);
    let class = PriorityClass::Standard;
    let mut loading = demand("m", class, &["u0"], 0.1);
    loading.loading = upstream_ids(&["u1"]);
    let cases = [
        ("no copy", demand("m", class, &[], 0.1), 2),
        ("one copy", demand("m", class, &["u0"], 0.1), 1),
        (
            "both in one domain",
            demand("m", class, &["u0", "u3"], 0.1),
            1,
        ),
        ("two domains", demand("m", class, &["u0", "u1"], 0.1), 0),
        ("one is loading", loading, 0),
        ("high demand", demand("m", class, &["u0", "u1"], 2.0), 1),
    ];
    for (name, demand, expected) in cases {
        let loads =
            PlacementPlanner::default().plan(std::slice::from_ref(&demand), &upstreams, &all);
        assert_eq!(loads.len(), expected, "{name}: {loads:?}");
        let holders = loads
            .iter()
            .map(|load| &load.upstream)
            .chain(&demand.copies);
        let holders = holders.chain(&demand.loading);
        let domains: std::collections::BTreeSet<_> = upstreams
            .iter()
            .filter(|view| holders.clone().any(|holder| *holder == view.upstream))
            .map(|view| view.failure_domain.clone())
            .collect();
        assert!(domains.len() >= 2, "{name}: {domains:?}");
    }
}

/// Guards against a bulk model that takes the only spare upstream from an urgent one.
#[test]
fn the_most_urgent_load_gets_the_spare_upstream() {
    let upstreams = fleet(&[UpstreamRole::Mixed; 3]);
    let demands = [
        demand("bulk", PriorityClass::Bulk, &[], 0.5),
        demand("urgent", PriorityClass::Urgent, &[], 0.1),
        demand("standard", PriorityClass::Standard, &[], 0.9),
    ];
    let loads = PlacementPlanner::default().plan(&demands, &upstreams, &upstream_ids(&["u1"]));
    assert_eq!(loads.len(), 1);
    assert_eq!(loads[0].artefact, model("urgent"));
    let Command::PlaceOrder { action, .. } = Command::from(&loads[0]) else {
        panic!("expected Command::PlaceOrder");
    };
    let expected = OrderAction::LoadModel {
        model: "urgent".to_owned(),
        version: "1".to_owned(),
    };
    assert_eq!(action, expected);
}

/// Guards against a stop or unload that leaves a model with copies in too few failure domains.
#[test]
fn the_last_copies_are_protected() {
    let upstreams = fleet(&[UpstreamRole::Mixed; 6]);
    let cases = [
        ("three domains", vec!["u0", "u1", "u2"], vec![]),
        ("two domains", vec!["u0", "u1"], vec!["u0", "u1"]),
        (
            "two copies in one of two domains",
            vec!["u0", "u3", "u1"],
            vec!["u1"],
        ),
    ];
    for (name, copies, expected) in cases {
        let demand = demand("m", PriorityClass::Standard, &copies, 0.1);
        let protected = PlacementPlanner::default().protected(&[demand], &upstreams);
        assert_eq!(protected, upstream_ids(&expected), "{name}");
    }
}

fn load(name: &str, urgency: LoadUrgency) -> LoadRequest {
    LoadRequest {
        upstream: upstream(name),
        artefact: model("m"),
        bytes: 4_000_000_000,
        urgency,
    }
}

/// Guards against loads that exceed the throughput of the weight store or wait behind less urgent
/// ones.
#[test]
fn queue_respects_store_rate_and_urgency() {
    let mut queue = WeightLoadQueue::new(WeightStoreSettings {
        bytes_per_second: 1e9,
        max_concurrent_loads: 2,
        ..WeightStoreSettings::default()
    });
    queue.push(load("u0", LoadUrgency::MoreDemand(PriorityClass::Bulk)));
    queue.push(load("u1", LoadUrgency::NoCopy(PriorityClass::Standard)));
    queue.push(load("u2", LoadUrgency::NoCopy(PriorityClass::Urgent)));
    queue.push(load("u0", LoadUrgency::MoreDemand(PriorityClass::Bulk)));
    assert_eq!(queue.waiting(), 3, "a repeated load is kept once");
    let mut next = |now| queue.next(seconds(now)).map(|load| load.upstream);
    assert_eq!(next(10), Some(upstream("u2")));
    assert_eq!(next(13), None, "the store is busy for 4 s");
    assert_eq!(next(14), Some(upstream("u1")));
    assert_eq!(next(18), None, "two loads run");
    queue.record_finished(&upstream("u2"));
    assert_eq!(
        queue.next(seconds(18)).map(|load| load.upstream),
        Some(upstream("u0"))
    );
}

/// Guards against a queue that is blocked because the end of a load was never reported.
#[test]
fn unreported_end_of_a_load_does_not_block_the_queue() {
    let settings = WeightStoreSettings {
        max_concurrent_loads: 1,
        ..WeightStoreSettings::default()
    };
    let timeout = settings.load_timeout.as_secs();
    let mut queue = WeightLoadQueue::new(settings);
    queue.push(load("u0", LoadUrgency::NoCopy(PriorityClass::Urgent)));
    queue.push(load("u1", LoadUrgency::NoCopy(PriorityClass::Urgent)));
    assert!(queue.next(seconds(0)).is_some());
    assert!(queue.next(seconds(timeout - 1)).is_none());
    assert!(queue.next(seconds(timeout)).is_some());
}
