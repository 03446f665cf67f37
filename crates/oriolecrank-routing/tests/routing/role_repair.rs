//! Guards against services that stay refused because all of their engines only prefill, and against
//! orders without need.

use std::time::Duration;

use oriolecrank_routing::{
    DirectorySettings, EngineRole, OrderOutcome, RoleRepair, RoleRepairSettings, ServiceName,
    UpstreamAnnouncement, UpstreamDirectory, UpstreamReadiness,
};
use oriolecrank_schema::TimePoint;

use crate::fixtures::{announcement, at, engine};

/// Directory and repair of a control instance that has started at time 0.
struct Control {
    directory: UpstreamDirectory,
    repair: RoleRepair,
}

impl Control {
    fn start(engines: &[UpstreamAnnouncement]) -> Self {
        let mut control = Self {
            directory: UpstreamDirectory::new(DirectorySettings::default()),
            repair: RoleRepair::new(RoleRepairSettings::default(), at(0)),
        };
        control.hear(engines, at(0));
        control
    }

    /// Receives a heartbeat of each engine.
    fn hear(&mut self, engines: &[UpstreamAnnouncement], now: TimePoint) {
        for engine in engines {
            let heartbeat = UpstreamAnnouncement {
                sequence: 1 + now.as_millis(),
                ..engine.clone()
            };
            self.directory.merge(heartbeat, now);
        }
    }

    /// Names of the engines that are ordered to decode; all orders end like `outcome`.
    fn order(&mut self, outcome: OrderOutcome, now: TimePoint) -> Vec<String> {
        self.repair.observe(&self.directory, now);
        let orders = self.repair.due_orders(&self.directory, now);
        for order in &orders {
            self.repair.record_outcome(order, outcome, now);
        }
        let names = orders.iter().map(|order| order.upstream.to_string());
        names.collect()
    }

    /// Names of the engines that are ordered until `end`, with the time in milliseconds. Each engine
    /// sends a heartbeat a second, and orders end like `outcome`.
    fn run(
        &mut self,
        engines: &[UpstreamAnnouncement],
        outcome: OrderOutcome,
        end: u64,
    ) -> Vec<(u64, String)> {
        let mut given = Vec::new();
        for now in (0..=end).step_by(500) {
            if now % 1_000 == 0 {
                self.hear(engines, at(now));
            }
            let names = self.order(outcome, at(now));
            given.extend(names.into_iter().map(|name| (now, name)));
        }
        given
    }
}

const ACCEPTED: OrderOutcome = OrderOutcome::Accepted;

#[test]
fn the_only_engine_left_is_ordered_to_decode_once_the_lost_ones_are_silent() {
    let left = engine("left", 1, EngineRole::Prefill);
    let lost = engine("lost", 2, EngineRole::Decode);
    let mut control = Control::start(&[left.clone(), lost]);
    let given = control.run(&[left], ACCEPTED, 12_000);
    assert_eq!(given, [(5_000, "left".to_owned())]);
}

#[test]
fn an_engine_that_leaves_counts_as_lost_from_its_departure() {
    let left = engine("left", 1, EngineRole::Prefill);
    let leaving = engine("leaving", 2, EngineRole::Decode);
    let both = [left.clone(), leaving.clone()];
    let mut control = Control::start(&both);
    assert!(control.run(&both, ACCEPTED, 10_000).is_empty());
    let draining = UpstreamAnnouncement {
        state: UpstreamReadiness::Draining,
        ..leaving
    };
    control.hear(&[left, draining], at(10_200));
    assert_eq!(control.order(ACCEPTED, at(10_500)), ["left"]);
}

/// Guards against orders by a control instance that has just started and has heard of the prefill
/// engines first.
#[test]
fn nothing_is_ordered_before_all_engines_had_time_to_announce_themselves() {
    let early = engine("early", 1, EngineRole::Prefill);
    let late = engine("late", 2, EngineRole::Decode);
    let mut control = Control::start(&[]);
    assert!(
        control
            .run(std::slice::from_ref(&early), ACCEPTED, 4_500)
            .is_empty()
    );
    control.hear(&[early, late], at(4_600));
    assert!(control.order(ACCEPTED, at(5_000)).is_empty());
}

#[test]
fn a_third_of_the_engines_keeps_its_role() {
    for (count, ordered) in [(1, 1), (2, 2), (3, 2), (7, 5)] {
        let engines: Vec<_> = (0..count)
            .map(|port| engine(&format!("e{port}"), port, EngineRole::Prefill))
            .collect();
        let mut control = Control::start(&engines);
        let given = control.run(&engines, ACCEPTED, 6_000);
        assert_eq!(given.len(), ordered, "{count} engines: {given:?}");
    }
}

/// Guards against a second order while the first is carried out, and against one that is never given
/// again although it was lost.
#[test]
fn an_order_is_repeated_late_if_accepted_and_soon_if_not() {
    let left = [engine("left", 1, EngineRole::Prefill)];
    for (outcome, times) in [
        (ACCEPTED, vec![5_000, 13_000]),
        (
            OrderOutcome::Unanswered,
            vec![5_000, 7_000, 9_000, 11_000, 13_000],
        ),
        (
            OrderOutcome::Refused,
            vec![5_000, 7_000, 9_000, 11_000, 13_000],
        ),
    ] {
        let mut control = Control::start(&left);
        let given = control.run(&left, outcome, 14_000);
        let given: Vec<u64> = given.into_iter().map(|(at, _)| at).collect();
        assert_eq!(given, times, "{outcome:?}");
    }
}

/// Guards against an order that counts for the engine's next incarnation, which knows nothing of it.
#[test]
fn a_restarted_engine_is_ordered_again() {
    let left = engine("left", 1, EngineRole::Prefill);
    let mut control = Control::start(std::slice::from_ref(&left));
    let given = control.run(std::slice::from_ref(&left), ACCEPTED, 5_000);
    assert_eq!(given.len(), 1);
    let restarted = UpstreamAnnouncement {
        started_ms: left.started_ms + 1,
        ..left
    };
    control.hear(&[restarted], at(5_200));
    assert_eq!(control.order(ACCEPTED, at(5_500)), ["left"]);
}

#[test]
fn engines_and_plain_upstreams_of_other_services_are_left_alone() {
    let served = [
        engine("prefill", 1, EngineRole::Prefill),
        engine("decode", 2, EngineRole::Decode),
    ];
    let other = UpstreamAnnouncement {
        service: ServiceName::from("other"),
        ..engine("unserved", 3, EngineRole::Prefill)
    };
    let plain = UpstreamAnnouncement {
        address: "10.0.0.1:4".parse().expect("a socket address"),
        service: ServiceName::from("desk"),
        ..announcement("plain", 1, 1)
    };
    let mut all = served.to_vec();
    all.extend([other, plain]);
    let mut control = Control::start(&all);
    let given = control.run(&all, ACCEPTED, 6_000);
    assert_eq!(given, [(5_000, "unserved".to_owned())]);
}

/// Guards against orders right after a time in which no upstream could be heard, when the prefill
/// engines are heard first.
#[test]
fn nothing_is_ordered_before_all_engines_are_heard_again() {
    let prefill = engine("prefill", 1, EngineRole::Prefill);
    let decode = engine("decode", 2, EngineRole::Decode);
    let both = [prefill.clone(), decode.clone()];
    let mut control = Control::start(&both);
    assert!(control.run(&both, ACCEPTED, 8_000).is_empty());
    for now in (8_500..14_000).step_by(500) {
        assert!(control.order(ACCEPTED, at(now)).is_empty(), "{now}");
    }
    control.hear(&[prefill], at(14_000));
    assert!(control.order(ACCEPTED, at(14_100)).is_empty());
    control.hear(&both, at(15_000));
    assert!(control.order(ACCEPTED, at(15_100)).is_empty());
}

/// Guards against orders to an engine that is silent itself.
#[test]
fn a_silent_engine_is_not_ordered() {
    let silent = engine("silent", 1, EngineRole::Prefill);
    let mut control = Control::start(&[silent]);
    assert!(control.order(ACCEPTED, at(5_000)).is_empty());
}

/// Guards against orders to an engine that asks for a pause, and against one that gets none after it.
#[test]
fn an_engine_that_asks_for_a_pause_gets_no_order_until_it_ends() {
    let left = engine("left", 1, EngineRole::Prefill);
    let mut control = Control::start(std::slice::from_ref(&left));
    let pause = Duration::from_secs(10);
    let given = control.run(&[left], OrderOutcome::Paused(pause), 26_000);
    let times: Vec<u64> = given.into_iter().map(|(now, _)| now).collect();
    assert_eq!(times, [5_000, 15_000, 25_000]);
}
