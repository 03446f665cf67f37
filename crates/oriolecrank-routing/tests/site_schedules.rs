//! Runs a whole site under seeded schedules of faults and checks documents, usage and upstreams.
//! The group of consensus nodes is the test model of the consensus crate.
//!
//! `ORIOLECRANK_SEEDS` sets the number of schedules and `ORIOLECRANK_FIRST_SEED` the first seed.
//! Failing seeds are printed.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

#[expect(
    dead_code,
    reason = "membership changes are tested in the consensus crate"
)]
#[path = "../../oriolecrank-consensus/tests/support/group.rs"]
mod group;
#[expect(dead_code, reason = "disk faults are tested in the consensus crate")]
#[path = "../../oriolecrank-consensus/tests/support/memory_files.rs"]
mod memory_files;
#[expect(
    dead_code,
    reason = "acknowledgements of single values are tested in the consensus crate"
)]
#[path = "../../oriolecrank-consensus/tests/support/oracle.rs"]
mod oracle;
#[path = "schedule_support/site_model.rs"]
mod site_model;
#[path = "schedule_support/usage_interface.rs"]
mod usage_interface;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering};

use group::{CrashPoint, NetworkFaults};
use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use site_model::SiteModel;

/// Schedules run by default; they take some seconds in a debug build.
const DEFAULT_SEEDS: u64 = 60;

/// Time with faults, in milliseconds.
const FAULT_TIME_MS: u64 = 25_000;

/// Time after the end of the faults, in milliseconds: an election, the lease that a new leader
/// waits for, and the windows whose reports are checked. Only single instances still restart.
const STEADY_TIME_MS: u64 = 36_000;

/// Interval at which one instance loses power during `STEADY_TIME_MS`, in milliseconds. The
/// guarantees hold with one instance lost; a new leader needs an election and a lease within the
/// time until a report is due.
const RESTART_INTERVAL_MS: u64 = 9_000;

/// Time at the end in which nothing new is submitted, in milliseconds.
const QUIET_TIME_MS: u64 = 6_000;

/// Largest number of threads that run schedules.
const MAX_THREADS: usize = 4;

/// Seeds that failed before, each with its cause.
const REGRESSION_SEEDS: [u64; 0] = [];

fn number_from_environment(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| text.parse().unwrap())
}

/// Guards against lost or reverted documents, different counts for one usage window, two leaders
/// that report usage at the same time, usage that is late or wrong after faults, and announcements
/// of upstreams that undo newer ones.
#[test]
fn a_site_keeps_its_guarantees_under_seeded_schedules() {
    let seeds = number_from_environment("ORIOLECRANK_SEEDS", DEFAULT_SEEDS);
    let first = number_from_environment("ORIOLECRANK_FIRST_SEED", 1);
    let next = AtomicU64::new(0);
    let totals = Totals::default();
    std::thread::scope(|scope| {
        for _ in 0..MAX_THREADS {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let regressions = REGRESSION_SEEDS.len() as u64;
                    if number >= seeds + regressions {
                        break;
                    }
                    let new_seed = number.checked_sub(regressions).map(|number| first + number);
                    let seed = new_seed.unwrap_or_else(|| REGRESSION_SEEDS[number as usize]);
                    let run = catch_unwind(AssertUnwindSafe(|| run_schedule(seed, &totals)));
                    if run.is_err() {
                        println!("failing seed: {seed}");
                        totals.failures.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    println!("{totals:?}");
    let failures = totals.failures.into_inner();
    assert_eq!(failures, 0, "the failing seeds are printed above");
    // Schedules that publish and report nothing would check nothing.
    assert!(totals.documents.into_inner() > seeds);
    assert!(totals.reports.into_inner() > seeds);
}

#[derive(Debug, Default)]
struct Totals {
    failures: AtomicU64,
    documents: AtomicU64,
    reports: AtomicU64,
}

/// A fault, or a change of an upstream.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Partition,
    HealNetwork,
    Pause,
    LongPause,
    PowerLoss,
    PowerLossInWrite,
    AllLosePower,
    Compaction,
    Latency,
    CutEntryLink,
    RestartEntry,
    MessageLoss,
    UpstreamChange,
}

const FAULTS: [Fault; 15] = [
    Fault::Partition,
    Fault::HealNetwork,
    Fault::HealNetwork,
    Fault::Pause,
    Fault::LongPause,
    Fault::PowerLoss,
    Fault::PowerLossInWrite,
    Fault::AllLosePower,
    Fault::Compaction,
    Fault::Latency,
    Fault::CutEntryLink,
    Fault::RestartEntry,
    Fault::MessageLoss,
    Fault::UpstreamChange,
    Fault::UpstreamChange,
];

fn run_schedule(seed: u64, totals: &Totals) {
    let mut site = SiteModel::new(seed);
    let max_fault_interval = [400, 1_500, 6_000][seed as usize % 3];
    let mut next_fault = 0;
    while site.group.now < FAULT_TIME_MS {
        let step = site.group.random.random_range(50..250);
        site.step(step);
        if site.group.random.random_bool(0.2) {
            site.publish();
        }
        if site.group.now >= next_fault {
            inject_fault(&mut site);
            next_fault = site.group.now + site.group.random.random_range(1..max_fault_interval);
        }
    }
    site.end_faults();
    let healed_at = site.group.now;
    let mut next_restart = healed_at + RESTART_INTERVAL_MS;
    while site.group.now < healed_at + STEADY_TIME_MS {
        site.step(200);
        if site.group.now >= next_restart
            && site.group.now < healed_at + STEADY_TIME_MS - QUIET_TIME_MS
        {
            let id = site.any_control();
            lose_power(&mut site, &id);
            next_restart += RESTART_INTERVAL_MS;
        }
        if site.group.now < healed_at + STEADY_TIME_MS - QUIET_TIME_MS
            && site.group.random.random_bool(0.1)
        {
            site.publish();
        }
    }
    site.check_settled(healed_at);
    totals
        .documents
        .fetch_add(site.acknowledged_version, Ordering::Relaxed);
    totals
        .reports
        .fetch_add(site.reports_sent, Ordering::Relaxed);
}

fn inject_fault(site: &mut SiteModel) {
    let id = site.any_control();
    match FAULTS.choose(&mut site.group.random).unwrap() {
        Fault::Partition => {
            for other in site.ids() {
                let links = [(id.clone(), other.clone()), (other, id.clone())];
                let one_way = site.group.random.random_bool(0.2);
                let count = if one_way { 1 } else { 2 };
                site.group
                    .network
                    .blocked
                    .extend(links.into_iter().take(count));
            }
        }
        Fault::HealNetwork => {
            site.group.network = NetworkFaults::default();
            site.cut_links.clear();
            site.loss_chance = 0.0;
        }
        Fault::Pause => {
            let millis = site.group.random.random_range(10..400);
            site.group.pause(&id, millis);
        }
        Fault::LongPause => {
            let millis = site.group.random.random_range(1_000..8_000);
            site.group.pause(&id, millis);
        }
        Fault::PowerLoss => lose_power(site, &id),
        Fault::PowerLossInWrite => {
            let points = [CrashPoint::BeforeSync, CrashPoint::AfterSync];
            let point = points.choose(&mut site.group.random).copied();
            site.group.instances[&id].crash_point = point;
        }
        Fault::AllLosePower => {
            for id in site.ids() {
                lose_power(site, &id);
            }
        }
        Fault::Compaction => {
            if site.group.is_active(&id) {
                site.group.compact(&id);
            }
        }
        Fault::Latency => site.group.network.max_delay = site.group.random.random_range(2..300),
        Fault::CutEntryLink => {
            let entry = site.group.random.random_range(0..3);
            site.cut_links.insert((entry, id));
        }
        Fault::RestartEntry => site.restart_entry(),
        Fault::MessageLoss => site.loss_chance = site.group.random.random_range(0.0..0.4),
        Fault::UpstreamChange => site.change_upstream(),
    }
}

fn lose_power(site: &mut SiteModel, id: &oriolecrank_consensus::InstanceId) {
    let downtime = site.group.downtime();
    let restart = site.group.now + downtime;
    site.group.crash(id, Some(restart));
}
