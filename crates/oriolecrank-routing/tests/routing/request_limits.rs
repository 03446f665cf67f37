//! Division of a limit that an upstream states among the entries, without a network.

use std::time::Duration;

use oriolecrank_routing::{
    CallPlan, ChoiceRequest, ChooserSettings, DirectChooser, EntryName, EntryRun, LimitStatement,
    LimitTable, NoUpstream, RequestRate, VersionFilter,
};
use oriolecrank_schema::TimePoint;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{announcement, at};

/// Time between two syncs of an entry with the leader.
const SYNC_INTERVAL_MS: u64 = 500;

/// Time from sending a request to its answer.
const ANSWER_TIME_MS: u64 = 30;

fn limited(per_second: f64) -> LimitStatement {
    LimitStatement::Limited(RequestRate::from_per_second(per_second).expect("a valid rate"))
}

fn request(entries: u32, priority: u8) -> ChoiceRequest<'static> {
    ChoiceRequest {
        prompt: None,
        tried: &[],
        time_left: Duration::from_secs(2),
        time_to_target: Duration::from_millis(250),
        pause_target: Duration::from_millis(250),
        entries,
        allow_remote_prefill: false,
        body_bytes: 0,
        priority,
        versions: VersionFilter::Any,
    }
}

fn chooser(upstreams: &[&str]) -> DirectChooser {
    let mut chooser = DirectChooser::new(ChooserSettings::default());
    for name in upstreams {
        chooser.apply_announcement(&announcement(name, 1, 1), at(0));
    }
    chooser
}

/// Entries with one limited upstream, and their leader.
struct LimitModel {
    entries: Vec<ModelEntry>,
    leader: LimitTable,
    statement: LimitStatement,
    random: ChaCha8Rng,
    /// Times of the requests that reached the upstream.
    arrivals: Vec<u64>,
}

struct ModelEntry {
    chooser: DirectChooser,
    run: EntryRun,
    /// Time between two requests of its callers, in milliseconds; 0 for none.
    interval_ms: u64,
    syncs: bool,
    /// Requests without an answer, with the time of sending.
    running: Vec<(CallPlan, u64)>,
}

impl LimitModel {
    fn new(intervals_ms: &[u64], statement: LimitStatement) -> Self {
        let entries = intervals_ms
            .iter()
            .enumerate()
            .map(|(number, interval_ms)| ModelEntry {
                chooser: chooser(&["u"]),
                run: EntryRun {
                    entry: EntryName::from(format!("entry-{number}")),
                    run: number as u64,
                },
                interval_ms: *interval_ms,
                syncs: true,
                running: Vec::new(),
            });
        Self {
            entries: entries.collect(),
            leader: LimitTable::default(),
            statement,
            random: ChaCha8Rng::seed_from_u64(1),
            arrivals: Vec::new(),
        }
    }

    /// Runs the model from one time to another, in steps of a millisecond.
    fn run(&mut self, from_ms: u64, to_ms: u64) {
        let count = self.entries.len() as u32;
        for now_ms in from_ms..to_ms {
            let now = at(now_ms);
            for (number, entry) in self.entries.iter_mut().enumerate() {
                let phase = now_ms + number as u64 * 61;
                if entry.syncs && phase.is_multiple_of(SYNC_INTERVAL_MS) {
                    let reports = entry.chooser.limit_reports(now);
                    self.leader.set_reports(&entry.run, reports, now);
                    for report in self.leader.reports_for(&entry.run, now) {
                        entry
                            .chooser
                            .apply_limit_report(&report, now, &mut self.random);
                    }
                }
                let answered =
                    |(_, sent_ms): &mut (CallPlan, u64)| now_ms >= *sent_ms + ANSWER_TIME_MS;
                for (plan, sent_ms) in entry.running.extract_if(.., answered) {
                    let chosen = &plan.serving_upstream;
                    entry.chooser.record_limit(
                        "u",
                        self.statement,
                        at(sent_ms),
                        now,
                        &mut self.random,
                    );
                    entry.chooser.finish("u", &chosen.ticket, None, now);
                }
                if entry.interval_ms == 0 || !phase.is_multiple_of(entry.interval_ms) {
                    continue;
                }
                let chosen = entry
                    .chooser
                    .choose(&request(count, 0), now, &mut self.random);
                if let Ok(plan) = chosen {
                    entry.running.push((plan, now_ms));
                    self.arrivals.push(now_ms);
                }
            }
        }
    }

    fn arrivals_between(&self, from_ms: u64, to_ms: u64) -> f64 {
        let range = from_ms..to_ms;
        self.arrivals.iter().filter(|at| range.contains(at)).count() as f64
    }

    /// Largest number of arrivals in 4 s.
    fn busiest_window(&self, from_ms: u64) -> f64 {
        let starts = self.arrivals.iter().filter(|at| **at >= from_ms);
        let counts = starts.map(|start| self.arrivals_between(*start, start + 4_000));
        counts.fold(0.0, f64::max)
    }
}

/// Guards against entries that take the whole limit each, or equal parts of it although only some of
/// them have requests for the upstream.
#[test]
fn a_limit_is_divided_by_demand_and_used() {
    let cases: [&[u64]; 3] = [&[20; 8], &[5, 50, 50, 0, 0, 0, 0, 0], &[100; 33]];
    for intervals_ms in cases {
        let mut model = LimitModel::new(intervals_ms, limited(12.0));
        model.run(0, 20_000);
        let busiest = model.busiest_window(4_000);
        assert!(
            busiest <= 12.0 * 4.0 + 5.0,
            "{intervals_ms:?}: {busiest} in 4 s"
        );
        let used = model.arrivals_between(4_000, 20_000);
        assert!(
            used >= 12.0 * 16.0 * 0.8,
            "{intervals_ms:?}: {used} in 16 s"
        );
    }
}

/// Guards against a limit that is followed only when it is stated for the first time, and against
/// entries that do not notice its end, near 0 as well.
#[test]
fn a_limit_that_changes_is_followed() {
    let mut model = LimitModel::new(&[20; 8], limited(30.0));
    model.run(0, 8_000);
    for (number, limit) in [5.0, 60.0, 0.05].into_iter().enumerate() {
        model.statement = limited(limit);
        let start = 8_000 + number as u64 * 24_000;
        model.run(start, start + 24_000);
        let busiest = model.busiest_window(start + 12_000);
        assert!(busiest <= limit * 4.0 + 5.0, "{limit}: {busiest} in 4 s");
        let used = model.arrivals_between(start + 4_000, start + 24_000);
        assert!(used >= limit * 20.0 * 0.7, "{limit}: {used} in 20 s");
    }
    model.statement = LimitStatement::Unlimited;
    model.run(80_000, 96_000);
    let used = model.arrivals_between(94_000, 96_000);
    assert!(used >= 700.0, "{used} of 800 requests in 2 s");
}

/// Guards against an entry that is cut off from the leader or has just started, and takes more than
/// an equal part.
#[test]
fn an_entry_without_news_of_the_others_takes_an_equal_part() {
    let mut model = LimitModel::new(&[10; 8], limited(16.0));
    model.run(0, 8_000);
    model.entries[0].syncs = false;
    model.entries[1] = ModelEntry {
        chooser: chooser(&["u"]),
        run: EntryRun {
            run: 99,
            ..model.entries[1].run.clone()
        },
        running: Vec::new(),
        interval_ms: 10,
        syncs: false,
    };
    model.run(8_000, 24_000);
    let busiest = model.busiest_window(10_000);
    assert!(busiest <= 16.0 * 4.0 * 1.5 + 5.0, "{busiest} in 4 s");
}

/// Guards against less urgent requests that use up the limit while urgent ones are refused.
#[test]
fn urgent_requests_come_first() {
    let mut chooser = chooser(&["u"]);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut served = [0, 0];
    chooser.record_limit("u", limited(10.0), at(0), at(1), &mut random);
    for now_ms in 1..10_000 {
        // The less urgent request comes first each time.
        for priority in [1, 0] {
            if now_ms % 50 == 0 {
                let chosen = chooser.choose(&request(1, priority), at(now_ms), &mut random);
                served[usize::from(priority)] += usize::from(chosen.is_ok());
            }
        }
    }
    assert!(served[0] >= 90 && served[1] <= 10, "{served:?}");
}

/// Guards against a limit that is lifted by an answer to a request from before the statement, and
/// against one that outlives its server.
#[test]
fn only_later_requests_and_a_restart_lift_a_limit() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let is_allowed = |chooser: &mut DirectChooser, now| {
        let mut random = ChaCha8Rng::seed_from_u64(2);
        let chosen = chooser.choose(&request(1, 0), now, &mut random);
        chosen.is_ok()
    };
    let mut chooser = chooser(&["u"]);
    let mut record = |chooser: &mut DirectChooser, statement, sent_ms, now_ms| {
        chooser.record_limit("u", statement, at(sent_ms), at(now_ms), &mut random)
    };
    record(&mut chooser, limited(0.1), 90, 100);
    assert!(!record(&mut chooser, LimitStatement::Unlimited, 95, 110));
    assert!(!record(&mut chooser, LimitStatement::Unknown, 105, 115));
    assert!(!is_allowed(&mut chooser, at(120)));
    assert!(record(&mut chooser, LimitStatement::Unlimited, 130, 140));
    assert!(is_allowed(&mut chooser, at(150)));
    record(&mut chooser, limited(0.1), 150, 160);
    assert!(!is_allowed(&mut chooser, at(170)));
    chooser.apply_announcement(&announcement("u", 2, 1), at(180));
    assert!(is_allowed(&mut chooser, at(190)));
}

/// Guards against entries that report the end of a limit for as long as the upstream answers.
#[test]
fn the_end_of_a_limit_is_reported_for_a_time_only() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut chooser = chooser(&["u"]);
    chooser.record_limit("u", limited(10.0), at(0), at(10), &mut random);
    let mut reported_until = 0;
    for now_ms in (100..30_000).step_by(100) {
        let (sent_at, now) = (at(now_ms - 30), at(now_ms));
        chooser.record_limit("u", LimitStatement::Unlimited, sent_at, now, &mut random);
        if !chooser.limit_reports(now).is_empty() {
            reported_until = now_ms;
        }
    }
    assert!(
        (5_000..12_000).contains(&reported_until),
        "{reported_until} ms"
    );
}

/// Guards against a request that is refused although another upstream takes it, and against refused
/// callers that are all asked to come back at the same time.
#[test]
fn the_excess_goes_to_other_upstreams_or_comes_back_in_turn() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let now = TimePoint::from_millis(1_000);
    let mut chooser = chooser(&["u", "v"]);
    chooser.record_limit("u", limited(10.0), at(900), now, &mut random);
    for _ in 0..4 {
        let plan = chooser.choose(&request(1, 0), now, &mut random);
        let plan = plan.expect("an upstream without a limit");
        assert_eq!(plan.serving_upstream.announcement.name.as_str(), "v");
    }
    chooser.record_limit("v", limited(10.0), at(900), now, &mut random);
    let mut waits_ms = Vec::new();
    for _ in 0..6 {
        match chooser.choose(&request(1, 0), now, &mut random) {
            Err(NoUpstream::Limited(wait)) => waits_ms.push(wait.as_millis()),
            other => panic!("{other:?}"),
        }
    }
    // Two upstreams serve one caller each in 100 ms.
    let gaps_ms = waits_ms.windows(3).map(|waits| waits[2] - waits[0]);
    let mut gaps_ms = gaps_ms.map(|gap_ms| (100..110).contains(&gap_ms));
    assert!(waits_ms.is_sorted() && waits_ms[0] <= 110, "{waits_ms:?}");
    assert!(gaps_ms.all(|in_turn| in_turn), "{waits_ms:?}");
}

/// Guards against numbers that are no rates, and against log lines in another unit.
#[test]
fn a_rate_is_a_decimal_number_of_requests_a_second() {
    let rate = RequestRate::from_per_second(12.7).expect("a valid rate");
    assert_eq!(format!("{rate:?}"), "12.7/s");
    for invalid in [-0.1, f64::NAN, f64::INFINITY] {
        assert!(RequestRate::from_per_second(invalid).is_none(), "{invalid}");
    }
}
