//! Replay of the decision functions of this repository against timing models of engines.
//!
//! A [`scenario`] says which engines run and which calls arrive; [`traffic`] draws the calls from a
//! seed. The [`replay`] moves virtual time from event to event: calls pass through a
//! [`request_path`], run on an [`engine_model`], and a [`capacity_control`] changes roles, and
//! starts and stops engines. The [`score`] counts answers that are complete and on time. Four
//! policies run on the same calls: `shipped` uses the decision functions of this repository,
//! `static` uses round robin and constant roles, `reactive` changes roles by a threshold rule, and
//! `bound` knows the demand in advance and changes roles at no cost.

pub mod capacity_control;
pub mod engine_model;
pub mod replay;
pub mod request_path;
pub mod scenario;
pub mod score;
mod shipped_path;
mod static_path;
pub mod summary;
pub mod traffic;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

use capacity_control::{
    BOUND_FACTORS, BoundControl, ReactiveControl, ShippedControl, StaticControl,
};
use replay::Replay;
use scenario::{Scenario, Variant};
use score::ReplayScore;
use shipped_path::ShippedPath;
use static_path::StaticPath;
use summary::{PolicyLine, PolicyName, VariantResults};

use crate::arguments::BenchArguments;

/// Number of threads; each runs the replays of one variant and seed at a time.
const WORKERS: usize = 4;

/// Runs the replays that the arguments select, prints their lines and returns whether all targets
/// are met.
pub fn run(arguments: &BenchArguments) -> bool {
    let names: Vec<&str> = match &arguments.scenario {
        Some(name) => vec![name],
        None => Scenario::NAMES.to_vec(),
    };
    let mut passed = true;
    for name in names {
        let Some(scenario) = Scenario::named(name, arguments.quick) else {
            eprintln!(
                "oriolecrank-bench: unknown scenario {name:?}; expected one of {:?}",
                Scenario::NAMES
            );
            return false;
        };
        let variants: Vec<Variant> = Variant::ALL
            .into_iter()
            .filter(|variant| {
                arguments
                    .variant
                    .as_deref()
                    .is_none_or(|name| name == variant.name())
            })
            .collect();
        if variants.is_empty() {
            eprintln!(
                "oriolecrank-bench: unknown variant {:?}; expected one of {:?}",
                arguments.variant.as_deref().unwrap_or_default(),
                Variant::ALL.map(Variant::name)
            );
            return false;
        }
        passed &= run_scenario(&scenario, &variants, arguments);
    }
    passed
}

fn run_scenario(scenario: &Scenario, variants: &[Variant], arguments: &BenchArguments) -> bool {
    let seeds = arguments.seed..arguments.seed + arguments.seeds.max(1);
    let jobs: Vec<(Variant, u64)> = variants
        .iter()
        .flat_map(|variant| seeds.clone().map(move |seed| (*variant, seed)))
        .collect();
    let mut lines: Vec<Vec<PolicyLine>> = vec![Vec::new(); jobs.len()];
    let next = AtomicUsize::new(0);
    let (sender, receiver) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..WORKERS {
            let sender = sender.clone();
            let (jobs, next) = (&jobs, &next);
            scope.spawn(move || {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some((variant, seed)) = jobs.get(index) else {
                        return;
                    };
                    let lines = replay_all(scenario, *variant, *seed);
                    sender
                        .send((index, lines))
                        .expect("the receiver outlives the workers");
                }
            });
        }
        drop(sender);
        for (index, result) in receiver {
            lines[index] = result;
        }
    });
    let mut passed = true;
    for (variant, results) in variants.iter().zip(lines.chunks(seeds.count())) {
        let results = VariantResults::new(scenario, *variant, arguments.seed, results);
        passed &= results.print();
    }
    passed
}

/// Runs all policies on the calls of one variant and seed; one line each, in the order of
/// [`PolicyName::ALL`].
pub fn replay_all(scenario: &Scenario, variant: Variant, seed: u64) -> Vec<PolicyLine> {
    let calls = traffic::calls(scenario, variant, seed);
    let path = || ShippedPath::new(scenario, seed);
    PolicyName::ALL
        .into_iter()
        .map(|policy| {
            let score: ReplayScore = match policy {
                PolicyName::Shipped => {
                    let control = ShippedControl::new(scenario, false);
                    Replay::new(scenario, variant, &calls, (path(), control), seed).run()
                }
                PolicyName::Static => {
                    let policy = (StaticPath::default(), StaticControl);
                    Replay::new(scenario, variant, &calls, policy, seed).run()
                }
                PolicyName::Reactive => {
                    let control = ReactiveControl::new(scenario);
                    Replay::new(scenario, variant, &calls, (path(), control), seed).run()
                }
                PolicyName::Bound => {
                    // Only swings have a target relative to the bound; elsewhere one factor
                    // is enough.
                    let factors = if variant.swings() {
                        &BOUND_FACTORS[..]
                    } else {
                        &BOUND_FACTORS[1..]
                    };
                    let scores = factors.iter().map(|factor| {
                        let control = BoundControl::new(scenario, variant, *factor);
                        Replay::new(scenario, variant, &calls, (path(), control), seed).run()
                    });
                    scores
                        .max_by(|one, other| one.goodput().total_cmp(&other.goodput()))
                        .expect("BOUND_FACTORS is not empty")
                }
            };
            PolicyLine::new(scenario, variant, seed, policy, &score)
        })
        .collect()
}
