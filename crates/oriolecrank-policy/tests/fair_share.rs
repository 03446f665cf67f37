//! Fair shares under the loads they are for: bursts, competition, many small beside one large,
//! capacity lost for good, a restart with all callers waiting, and a lost leader.

use std::time::Duration;

use oriolecrank_policy::fair_share::{
    EngineBacklog, FairGate, FairRequest, FairShareSettings, FlowDemand, FlowShare, WorkDemand,
    WorkFlow, WorkLedger, split_capacity,
};
use oriolecrank_schema::TimePoint;

const TARGET: Duration = Duration::from_millis(250);
const TIME_LEFT: Duration = Duration::from_secs(2);

const fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn flow(organisation: &str) -> WorkFlow {
    WorkFlow {
        organisation: organisation.into(),
        kind: "verdict".into(),
    }
}

fn demand(organisation: &str, priority: u8, tokens_per_second: f64) -> FlowDemand {
    FlowDemand {
        flow: flow(organisation),
        priority,
        tokens_per_second,
    }
}

/// Engines that read 100 tokens in a millisecond and have been sent `wait_ms` of work.
fn backlog(wait_ms: f64) -> EngineBacklog {
    EngineBacklog {
        pending_tokens: wait_ms * 100.0,
        own_tokens: wait_ms * 10.0,
        tokens_per_ms: 100.0,
        running: 100,
        slots: 100,
    }
}

fn request(flow: &WorkFlow, input_tokens: u64) -> FairRequest<'_> {
    FairRequest {
        flow,
        priority: 0,
        input_tokens,
        target: TARGET,
        time_left: TIME_LEFT,
        returning: false,
        entries: 10,
    }
}

fn gate() -> FairGate {
    FairGate::new(FairShareSettings::default())
}

fn fraction(shares: &[FlowShare], organisation: &str) -> f64 {
    let share = shares.iter().find(|share| share.flow == flow(organisation));
    share.map_or(1.0, |share| share.fraction)
}

fn split(demands: &[FlowDemand], capacity: f64) -> Vec<FlowShare> {
    split_capacity(demands, capacity, &FairShareSettings::default())
}

/// Admitted tokens of `flow` that asks `count` times for `tokens`, once in `interval_ms`.
fn admitted(gate: &mut FairGate, flow: &WorkFlow, tokens: u64, count: u64, wait_ms: f64) -> u64 {
    let asks = (0..count).filter(|ask| {
        let asked = gate.ask(&request(flow, tokens), &backlog(wait_ms), at(1_000 + ask));
        asked.is_ok()
    });
    asks.count() as u64 * tokens
}

/// Load: the engines keep up. Guards against refusals in calm, whatever shares were told earlier.
#[test]
fn nobody_is_refused_while_the_engines_keep_up() {
    let (mut gate, flow) = (gate(), flow("a"));
    gate.ask(&request(&flow, 500), &backlog(0.0), at(0))
        .unwrap();
    let fraction = 0.0;
    gate.set_shares(
        &[FlowShare {
            flow: flow.clone(),
            fraction,
        }],
        at(900),
    );
    assert_eq!(admitted(&mut gate, &flow, 500, 200, 150.0), 100_000);
    assert_eq!(
        gate.demand(&backlog(150.0), at(1_200)),
        None,
        "nothing to report"
    );
    let idle = EngineBacklog {
        running: 40,
        ..backlog(900.0)
    };
    assert!(
        gate.ask(&request(&flow, 500), &idle, at(1_300)).is_ok(),
        "slots are free"
    );
}

/// Load: a burst of one organisation. Guards against refusals of those who stay within their share.
#[test]
fn a_burst_of_one_organisation_is_paid_by_itself() {
    let mut demands: Vec<FlowDemand> = (0..85)
        .map(|number| demand(&format!("quiet-{number}"), 0, 1_000.0))
        .collect();
    demands.push(demand("burst", 0, 900_000.0));
    let shares = split(&demands, 100_000.0);
    assert_eq!(
        shares.len(),
        1,
        "only the burst exceeds its share: {shares:?}"
    );
    // All that the others leave: 100,000 - 85,000 of 900,000.
    assert!((fraction(&shares, "burst") - 15.0 / 900.0).abs() < 1e-9);
}

/// Load: two organisations that each want all. Guards against the one that asks more often getting
/// more, and against urgent work that starves the less urgent.
#[test]
fn two_that_want_all_get_the_same_and_urgency_starves_nobody() {
    let shares = split(
        &[demand("a", 0, 200_000.0), demand("b", 0, 800_000.0)],
        100_000.0,
    );
    assert!((fraction(&shares, "a") * 200_000.0 - 50_000.0).abs() < 1e-6);
    assert!((fraction(&shares, "b") * 800_000.0 - 50_000.0).abs() < 1e-6);
    let shares = split(
        &[demand("a", 0, 500_000.0), demand("b", 2, 500_000.0)],
        100_000.0,
    );
    assert!((fraction(&shares, "a") * 500_000.0 - 80_000.0).abs() < 1e-6);
    assert!((fraction(&shares, "b") * 500_000.0 - 20_000.0).abs() < 1e-6);
}

/// Load: large prompts beside small ones of the same flow. Guards against a gate that large prompts
/// never pass because small ones use up what is free.
#[test]
fn large_and_small_prompts_are_admitted_alike() {
    let (mut gate, flow) = (gate(), flow("a"));
    let mut counts = [[0_u32; 2]; 2];
    gate.ask(&request(&flow, 100), &backlog(0.0), at(0))
        .unwrap();
    gate.set_shares(
        &[FlowShare {
            flow: flow.clone(),
            fraction: 0.3,
        }],
        at(500),
    );
    for ask in 0..2_000_u64 {
        // The sizes alternate in an order that has no period in common with the credit.
        let large = usize::from(ask * 7 % 11 < 3);
        let tokens = if large == 1 { 8_000 } else { 400 };
        let asked = gate.ask(&request(&flow, tokens), &backlog(900.0), at(1_000));
        counts[large][usize::from(asked.is_ok())] += 1;
    }
    let [small, large] = counts.map(|[refused, sent]| f64::from(sent) / f64::from(refused + sent));
    assert!((small - large).abs() < 0.15, "small {small}, large {large}");
}

/// Load: one organisation's demand spread over entries. Guards against shares that count at each
/// entry alone, and against a share that is kept for an entry that has stopped.
#[test]
fn the_leader_adds_up_the_demand_of_all_entries() {
    let mut ledger = WorkLedger::new(FairShareSettings::default());
    for entry in 0..50 {
        let flows = vec![demand("spread", 0, 4_000.0), demand("quiet", 0, 100.0)];
        let report = WorkDemand {
            capacity: 105_000.0,
            flows,
        };
        ledger.record(entry, report, at(1_000));
    }
    let shares = ledger.shares(at(1_000)).to_vec();
    assert!(
        (fraction(&shares, "spread") - 0.5).abs() < 1e-9,
        "{shares:?}"
    );
    assert_eq!(shares.len(), 1, "the quiet one is within its share");
    for entry in 0..20 {
        let flows = vec![demand("spread", 0, 4_000.0)];
        let report = WorkDemand {
            capacity: 105_000.0,
            flows,
        };
        ledger.record(entry, report, at(2_600));
    }
    assert!(
        ledger.shares(at(2_600)).is_empty(),
        "what the others used is free at once"
    );
}

/// Load: a shift of demand. Guards against a limit that outlives the overload of its flow.
#[test]
fn room_that_one_leaves_goes_to_the_others_at_once() {
    let (mut gate, busy) = (gate(), flow("busy"));
    gate.ask(&request(&busy, 500), &backlog(0.0), at(0))
        .unwrap();
    gate.set_shares(
        &[FlowShare {
            flow: busy.clone(),
            fraction: 0.1,
        }],
        at(900),
    );
    assert!(admitted(&mut gate, &busy, 500, 100, 900.0) <= 6_000);
    gate.set_shares(&[], at(1_100));
    assert_eq!(admitted(&mut gate, &busy, 500, 100, 900.0), 50_000);
}

/// Load: half of the engines lost for good. Guards against callers that are all told to come back at
/// the same time and are refused again and again.
#[test]
fn callers_return_one_after_the_other_after_a_lasting_loss() {
    let (mut gate, flow) = (gate(), flow("a"));
    gate.ask(&request(&flow, 2_000), &backlog(0.0), at(0))
        .unwrap();
    gate.set_shares(
        &[FlowShare {
            flow: flow.clone(),
            fraction: 0.0,
        }],
        at(900),
    );
    let waits: Vec<Duration> = (0..20)
        .filter_map(|_| {
            gate.ask(&request(&flow, 2_000), &backlog(400.0), at(1_000))
                .err()
        })
        .map(|refusal| refusal.return_after)
        .collect();
    assert_eq!(waits.len(), 20);
    assert!(
        waits[0] >= Duration::from_millis(400),
        "the backlog is worked off first"
    );
    // A tenth of the capacity of 100 tokens per millisecond, less what drains the backlog, is this
    // entry's, and half of that is for returns: 2,000 tokens take at least 400 ms.
    for pair in waits.windows(2).filter(|pair| pair[0] < TIME_LEFT) {
        assert!(pair[1] >= pair[0] + Duration::from_millis(400), "{waits:?}");
    }
    let beyond: Vec<_> = waits.iter().filter(|wait| **wait >= TIME_LEFT).collect();
    assert!(
        beyond.windows(2).all(|pair| pair[0] == pair[1]),
        "no place is kept in vain: {waits:?}"
    );
}

/// Load: refused callers that come back beside new ones of their flow. Guards against the same
/// callers being refused again and again.
#[test]
fn a_returning_caller_goes_before_new_ones_of_its_flow() {
    let (mut gate, flow) = (gate(), flow("a"));
    gate.ask(&request(&flow, 1_000), &backlog(0.0), at(0))
        .unwrap();
    gate.set_shares(
        &[FlowShare {
            flow: flow.clone(),
            fraction: 0.25,
        }],
        at(900),
    );
    let mut sent = [0_u32; 2];
    for ask in 0..400_u64 {
        let returning = ask % 5 == 0;
        let request = FairRequest {
            returning,
            ..request(&flow, 1_000)
        };
        let asked = gate.ask(&request, &backlog(900.0), at(1_000));
        sent[usize::from(returning)] += u32::from(asked.is_ok());
    }
    assert!(sent[1] >= 78, "80 return: {sent:?}");
    assert!(
        sent[0] + sent[1] <= 104,
        "a quarter of 400 are within the share: {sent:?}"
    );
}

/// Load: a restart with all callers waiting, before any share is told, and a lost leader. Guards
/// against an entry that sends everything, or nothing, on its own.
#[test]
fn an_entry_decides_alone_without_shares_of_a_leader() {
    let mut gate = gate();
    let names: Vec<WorkFlow> = (0..8)
        .map(|number| flow(&format!("small-{number}")))
        .collect();
    let large = flow("large");
    let mut sent = [0_u32; 2];
    let mut refused = [0_u32; 2];
    for round in 0..100_u64 {
        let now = at(1_000 + round * 10);
        for name in &names {
            let asked = gate.ask(&request(name, 2), &backlog(900.0), now);
            sent[0] += u32::from(asked.is_ok());
            refused[0] += u32::from(asked.is_err());
        }
        for _ in 0..20 {
            let asked = gate.ask(&request(&large, 50), &backlog(900.0), now);
            sent[1] += u32::from(asked.is_ok());
            refused[1] += u32::from(asked.is_err());
        }
    }
    assert_eq!(refused[0], 0, "the small ones are within their shares");
    assert!(
        refused[1] > 500,
        "the large one pays: {sent:?} of {refused:?}"
    );
    assert!(sent[1] > 20, "the large one is not starved: {sent:?}");
    let stale = FlowShare {
        flow: names[0].clone(),
        fraction: 0.0,
    };
    gate.set_shares(&[stale], at(2_000));
    for _ in 0..3 {
        let asked = gate.ask(&request(&names[0], 2), &backlog(900.0), at(4_500));
        assert!(asked.is_ok(), "shares of a lost leader lapse");
    }
}

/// Guards against settings that would refuse everybody or divide by nothing.
#[test]
fn settings_out_of_range_are_named() {
    let settings = FairShareSettings {
        overload_share: 0.0,
        ..FairShareSettings::default()
    };
    assert_eq!(settings.check().unwrap_err().key, "overload_share");
    let settings = FairShareSettings {
        urgency_ratio: f64::NAN,
        ..FairShareSettings::default()
    };
    assert_eq!(settings.check().unwrap_err().key, "urgency_ratio");
    assert_eq!(FairShareSettings::default().check(), Ok(()));
    assert!(split(&[demand("a", 0, f64::NAN), demand("b", 0, 5.0)], 0.0).len() == 1);
}
