//! Output lines of the replays and their comparison with the targets.

use serde::Serialize;

use super::scenario::{Scenario, Variant};
use super::score::ReplayScore;
use crate::measurement::{Measurement, Target, size};

/// Smallest ratio of the goodput to that of [`PolicyName::Bound`] on swings.
const MIN_GOODPUT_OF_BOUND: f64 = 0.95;

/// Smallest ratio of the goodput to that of [`PolicyName::Static`] on swings.
const MIN_GOODPUT_OF_STATIC: f64 = 1.25;

/// Smallest ratio of the goodput of the worst-served organisation to the mean during a flood.
const MIN_WORST_OF_MEAN: f64 = 0.9;

/// Largest number of role changes per hour for each [`ROLE_CHANGE_LIMIT_ENGINES`] engines.
const MAX_ROLE_CHANGES_PER_HOUR: f64 = 6.0;

/// Number of engines that the limit of role changes refers to.
const ROLE_CHANGE_LIMIT_ENGINES: f64 = 8.0;

/// A policy that is replayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// Decision functions of this repository.
    Shipped,
    /// Constant roles, round robin, first in, first out.
    Static,
    /// Request path of this repository, role changes by a threshold rule.
    Reactive,
    /// Request path of this repository, role changes at no cost and with the demand known in
    /// advance.
    Bound,
}

impl PolicyName {
    /// All policies, in the order of the output.
    pub const ALL: [Self; 4] = [Self::Shipped, Self::Static, Self::Reactive, Self::Bound];
}

/// Result of one replay, printed as one line of JSON.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyLine {
    scenario: &'static str,
    variant: &'static str,
    seed: u64,
    policy: PolicyName,
    /// Share of the offered calls with a good answer.
    goodput: f64,
    /// The same for the worst-served organisation that does not flood.
    worst_org_goodput: f64,
    role_changes_per_hour: f64,
    upstream_hours_per_1k_good: f64,
    /// Mean over the organisations that do not flood.
    #[serde(skip)]
    mean_org_goodput: f64,
}

impl PolicyLine {
    /// Takes the printed figures from the score of a replay.
    pub fn new(
        scenario: &Scenario,
        variant: Variant,
        seed: u64,
        policy: PolicyName,
        score: &ReplayScore,
    ) -> Self {
        Self {
            scenario: scenario.name,
            variant: variant.name(),
            seed,
            policy,
            goodput: score.goodput(),
            worst_org_goodput: score.worst_organisation_goodput(),
            role_changes_per_hour: score.role_changes_per_hour(),
            upstream_hours_per_1k_good: score.upstream_hours_per_1k_good(),
            mean_org_goodput: score.mean_organisation_goodput(),
        }
    }
}

/// Results of one variant over all seeds.
#[derive(Debug)]
pub struct VariantResults<'a> {
    scenario: &'a Scenario,
    variant: Variant,
    /// First seed.
    seed: u64,
    /// Lines by seed, each in the order of [`PolicyName::ALL`].
    lines: &'a [Vec<PolicyLine>],
}

impl<'a> VariantResults<'a> {
    /// Results of consecutive seeds that begin with `seed`.
    pub const fn new(
        scenario: &'a Scenario,
        variant: Variant,
        seed: u64,
        lines: &'a [Vec<PolicyLine>],
    ) -> Self {
        Self {
            scenario,
            variant,
            seed,
            lines,
        }
    }

    /// Prints all lines and the comparison with the targets; returns whether all targets are met.
    pub fn print(&self) -> bool {
        for line in self.lines.iter().flatten() {
            println!(
                "{}",
                serde_json::to_string(line).expect("lines encode as JSON")
            );
        }
        let mut passed = true;
        if self.variant.swings() {
            let goodput_of = |other: PolicyName| {
                move |lines: &[PolicyLine]| {
                    lines[0].goodput / lines[other as usize].goodput.max(1e-9)
                }
            };
            let target = Target::AtLeast(MIN_GOODPUT_OF_BOUND);
            passed &= self.compare(
                "goodput_of_bound",
                goodput_of(PolicyName::Bound),
                Some(target),
            );
            let target = Target::AtLeast(MIN_GOODPUT_OF_STATIC);
            passed &= self.compare(
                "goodput_of_static",
                goodput_of(PolicyName::Static),
                Some(target),
            );
        }
        let worst =
            |lines: &[PolicyLine]| lines[0].worst_org_goodput / lines[0].mean_org_goodput.max(1e-9);
        let target = (self.variant == Variant::Flood).then_some(Target::AtLeast(MIN_WORST_OF_MEAN));
        passed &= self.compare("worst_org_of_mean", worst, target);
        let engines: usize = self
            .scenario
            .pools
            .iter()
            .map(|pool| pool.roles.len())
            .sum();
        let scale = ROLE_CHANGE_LIMIT_ENGINES / engines as f64;
        let changes = |lines: &[PolicyLine]| lines[0].role_changes_per_hour * scale;
        let target = Target::AtMost(MAX_ROLE_CHANGES_PER_HOUR);
        passed &= self.compare("role_changes_per_8_engines_hour", changes, Some(target));
        let hours = |lines: &[PolicyLine]| {
            lines[0].upstream_hours_per_1k_good / lines[1].upstream_hours_per_1k_good
        };
        passed &= self.compare("upstream_hours_of_static", hours, Some(Target::AtMost(1.0)));
        passed & self.compare("goodput", |lines| lines[0].goodput, None)
    }

    /// Prints the median and the worst of a value over the seeds and returns whether both meet the
    /// target. The worst value is the largest if the target is an upper limit, otherwise the
    /// smallest.
    fn compare(
        &self,
        name: &str,
        value: impl Fn(&[PolicyLine]) -> f64,
        target: Option<Target>,
    ) -> bool {
        let mut values: Vec<f64> = self.lines.iter().map(|lines| value(lines)).collect();
        values.sort_by(f64::total_cmp);
        if matches!(target, Some(Target::AtMost(_))) {
            values.reverse();
        }
        let worst = values[0];
        let middle = values.len() / 2;
        let median = if values.len() % 2 == 1 {
            values[middle]
        } else {
            f64::midpoint(values[middle - 1], values[middle])
        };
        let mut passed = true;
        for (suffix, value) in [("median", median), ("worst", worst)] {
            let mut size = size([("seeds", self.lines.len() as u64)]);
            size.insert("scenario".to_owned(), self.scenario.name.into());
            size.insert("variant".to_owned(), self.variant.name().into());
            let measurement = Measurement {
                measure: format!("policy_{name}_{suffix}"),
                size,
                value,
                unit: "ratio",
                target,
                seed: self.seed,
            };
            passed &= measurement.print();
        }
        passed
    }
}
