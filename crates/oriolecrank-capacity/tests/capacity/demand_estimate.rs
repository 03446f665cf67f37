//! Demand estimates from late, duplicate and missing reports.

use std::time::Duration;

use crate::common::{seconds, service, shaped_demand};
use oriolecrank_capacity::{
    CallShape, DemandEstimator, DemandKey, DemandReport, DemandSettings, DemandSummary, Freshness,
    ReportResult, ReporterId,
};
use oriolecrank_schema::document::PriorityClass;

fn key() -> DemandKey {
    DemandKey {
        service: service(),
        class: PriorityClass::Standard,
        shape: CallShape::PromptHeavy,
    }
}

fn report(reporter: &str, sequence: u64, prefill: u64) -> DemandReport {
    DemandReport {
        reporter: ReporterId(reporter.to_owned()),
        incarnation: 1,
        sequence,
        interval: Duration::from_secs(1),
        tokens: vec![(key(), prefill, prefill / 10)],
    }
}

/// Guards against counting a report twice, dropping a valid one, and counting one that was sent
/// before the reporter restarted.
#[test]
fn each_report_counts_once() {
    let cases = [
        ("next", 11, 1, ReportResult::Counted),
        (
            "after a gap",
            14,
            1,
            ReportResult::CountedAfterGap { missing: 2 },
        ),
        ("late", 12, 1, ReportResult::CountedLate),
        ("late and repeated", 12, 1, ReportResult::Ignored),
        ("repeated", 14, 1, ReportResult::Ignored),
        ("after a restart", 1, 2, ReportResult::Counted),
        ("from before the restart", 15, 1, ReportResult::Ignored),
        (
            "after a long gap",
            500,
            2,
            ReportResult::CountedAfterGap { missing: 498 },
        ),
        (
            "older than the duplicate window",
            400,
            2,
            ReportResult::Ignored,
        ),
        ("late within the window", 440, 2, ReportResult::CountedLate),
    ];
    let mut estimator = DemandEstimator::default();
    assert_eq!(
        estimator.observe(&report("e1", 10, 100), seconds(0)),
        ReportResult::Counted
    );
    for (name, sequence, incarnation, expected) in cases {
        let report = DemandReport {
            incarnation,
            ..report("e1", sequence, 100)
        };
        assert_eq!(estimator.observe(&report, seconds(1)), expected, "{name}");
    }
}

/// Guards against a division by zero, which would make the estimate NaN.
#[test]
fn report_with_zero_interval_is_ignored() {
    let mut estimator = DemandEstimator::default();
    let report = DemandReport {
        interval: Duration::ZERO,
        ..report("e1", 1, 100)
    };
    assert_eq!(
        estimator.observe(&report, seconds(0)),
        ReportResult::Ignored
    );
    assert_eq!(
        estimator.summary(&service(), PriorityClass::Standard),
        DemandSummary::default()
    );
}

/// Guards against lost reports that lower the estimate, which would stop upstreams.
#[test]
fn lost_reports_do_not_lower_the_estimate() {
    let mut complete = DemandEstimator::default();
    let mut partial = DemandEstimator::default();
    for second in 0..120 {
        let report = report("e1", second, 1_000);
        complete.observe(&report, seconds(second));
        if second % 5 != 3 {
            partial.observe(&report, seconds(second + 5));
        }
    }
    let complete = complete
        .summary(&service(), PriorityClass::Standard)
        .short
        .prompt_heavy
        .prefill
        .as_f64();
    let partial = partial
        .summary(&service(), PriorityClass::Standard)
        .short
        .prompt_heavy
        .prefill
        .as_f64();
    assert!(
        (complete - 1_000.0).abs() < 1.0,
        "the estimate is {complete} tokens/s"
    );
    assert!(
        (partial - 1_000.0).abs() < 1.0,
        "the estimate is {partial} tokens/s"
    );
}

/// Guards against late reports that outweigh newer ones.
#[test]
fn a_late_report_counts_less_than_a_new_one() {
    let mut estimator = DemandEstimator::default();
    for second in 0..40 {
        estimator.observe(&report("e1", second, 1_000), seconds(second));
    }
    estimator.observe(&report("e1", 61, 1_000), seconds(61));
    let before = estimator
        .summary(&service(), PriorityClass::Standard)
        .short
        .prompt_heavy
        .prefill
        .as_f64();
    let mut with_new = estimator.clone();
    with_new.observe(&report("e1", 62, 0), seconds(62));
    estimator.observe(&report("e1", 41, 0), seconds(62));
    let late = before
        - estimator
            .summary(&service(), PriorityClass::Standard)
            .short
            .prompt_heavy
            .prefill
            .as_f64();
    let new = before
        - with_new
            .summary(&service(), PriorityClass::Standard)
            .short
            .prompt_heavy
            .prefill
            .as_f64();
    assert!(late > 0.0 && late < new / 2.0, "late {late}, new {new}");
}

/// Guards against decisions without reports, and against a freeze while most reporters are active.
#[test]
fn estimate_is_stale_if_most_reporters_are_silent() {
    let cases = [
        ("all report", 4, 0, Freshness::Fresh),
        ("half report", 2, 2, Freshness::Fresh),
        ("a quarter reports", 1, 3, Freshness::Stale),
        ("none reports", 0, 4, Freshness::Stale),
        ("none known", 0, 0, Freshness::Stale),
    ];
    for (name, reporting, silent, expected) in cases {
        let mut estimator = DemandEstimator::default();
        for second in 0..80 {
            let active = if second < 60 {
                reporting + silent
            } else {
                reporting
            };
            for index in 0..active {
                let report = report(&format!("e{index}"), second, 100);
                estimator.observe(&report, seconds(second));
            }
        }
        assert_eq!(estimator.freshness(seconds(80)), expected, "{name}");
    }
}

/// Guards against counting the demand of reporters that have left.
#[test]
fn demand_of_a_reporter_that_left_expires() {
    let mut estimator = DemandEstimator::default();
    estimator.observe(&report("e1", 1, 1_000), seconds(0));
    for second in 1..=60 {
        estimator.observe(&report("e2", second, 500), seconds(second));
    }
    estimator.expire(seconds(61));
    let remaining = estimator
        .summary(&service(), PriorityClass::Standard)
        .short
        .prompt_heavy
        .prefill
        .as_f64();
    assert!(
        (remaining - 500.0).abs() < 1e-6,
        "the estimate is {remaining} tokens/s"
    );
    assert_eq!(estimator.freshness(seconds(61)), Freshness::Fresh);
}

/// Guards against a forecast that lags behind a ramp, which would delay starts.
#[test]
fn the_forecast_follows_a_linear_ramp() {
    let settings = DemandSettings::default();
    let mut estimator = DemandEstimator::new(settings.clone());
    for second in 0..3_000_u64 {
        estimator.observe(&report("e1", second, 10 * second), seconds(second));
    }
    let summary = estimator.summary(&service(), PriorityClass::Standard);
    let forecast = summary.forecast(Duration::from_secs(150), &settings);
    let expected = 10.0 * 3_150.0;
    let error = (forecast.prompt_heavy.prefill.as_f64() - expected).abs() / expected;
    assert!(
        error < 0.02,
        "expected a forecast of {expected} tokens/s, found {}",
        forecast.prompt_heavy.prefill.as_f64()
    );
}

/// Guards against a negative forecast after a steep fall.
#[test]
fn the_forecast_is_never_negative() {
    let summary = DemandSummary {
        short: shaped_demand(10.0, 1.0),
        long: shaped_demand(10_000.0, 1_000.0),
    };
    let forecast = summary.forecast(Duration::from_mins(5), &DemandSettings::default());
    assert_eq!(forecast, shaped_demand(0.0, 0.0));
}

/// Guards against a new leader that acts on its first few demand reports.
#[test]
fn estimate_is_stale_during_warm_up() {
    let mut estimator = DemandEstimator::default();
    let warm_up = DemandSettings::default().warm_up.as_secs();
    for second in 1..warm_up {
        let tokens = if second == 1 { 50_000 } else { 1_000 };
        estimator.observe(&report("e1", second, tokens), seconds(second));
        assert_eq!(
            estimator.freshness(seconds(second)),
            Freshness::Stale,
            "after {second} s"
        );
    }
    let long = estimator
        .summary(&service(), PriorityClass::Standard)
        .long
        .prompt_heavy
        .prefill
        .as_f64();
    let mean = (50_000.0 + 1_000.0 * (warm_up - 2) as f64) / (warm_up - 1) as f64;
    assert!(
        (long - mean).abs() < 1.0,
        "expected a mean of {mean} tokens/s, found {long}"
    );
    estimator.observe(&report("e1", warm_up, 1_000), seconds(warm_up));
    assert_eq!(estimator.freshness(seconds(warm_up)), Freshness::Fresh);
}
