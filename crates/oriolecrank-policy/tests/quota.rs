//! Quotas over all entries: what is charged in any window stays within the bounds, and what is
//! within the quota is admitted, whichever entries the requests reach.

use std::time::Duration;

use oriolecrank_policy::quota::{
    LedgerAnswer, LedgerAsk, QuotaBounds, QuotaCapacity, QuotaLedger, QuotaShare, QuotaSpec,
    QuotaTable, QuotaUnit, RATE_HOLD_TIME, ShareAsk, VersionedSpec,
};
use oriolecrank_schema::TimePoint;
use proptest::prelude::*;

const LIFETIME: Duration = Duration::from_secs(3);

/// One step of the simulation, in milliseconds.
const STEP_MS: u64 = 50;

fn bounds() -> QuotaBounds {
    QuotaBounds {
        window: Duration::from_secs(8),
        overrun: 0.1,
        slack: 73_000.0,
    }
}

fn tokens(rate: f64, burst: f64) -> QuotaSpec {
    QuotaSpec::limited(rate, burst, QuotaUnit::Tokens { plain: 200 }).expect("a rate above 0")
}

fn allowed(spec: &QuotaSpec) -> f64 {
    let bounds = bounds();
    let quota = spec.rate.per_second() * bounds.window.as_secs_f64() + spec.burst as f64;
    quota * (1.0 + bounds.overrun) + bounds.slack
}

/// An entry, with an answer that is still on its way.
struct Entry {
    run: u64,
    share: QuotaShare,
    arriving: Option<(ShareAsk, LedgerAnswer, TimePoint)>,
    frozen: bool,
    cut: bool,
}

/// Entries and leaders of one organisation, without a network.
struct Site {
    now: TimePoint,
    stated: VersionedSpec,
    table: QuotaTable<&'static str>,
    term: u64,
    /// Time at which the present leader has its lease.
    led_from: TimePoint,
    entries: Vec<Entry>,
    next_run: u64,
    charges: Vec<(TimePoint, u64)>,
    refused: u64,
}

impl Site {
    fn new(spec: QuotaSpec, entries: usize) -> Self {
        let stated = VersionedSpec { version: 1, spec };
        let mut site = Self {
            now: TimePoint::from_millis(10_000),
            stated,
            table: QuotaTable::new(bounds(), LIFETIME),
            term: 1,
            led_from: TimePoint::default(),
            entries: Vec::new(),
            next_run: 1,
            charges: Vec::new(),
            refused: 0,
        };
        site.table.observe_term(1, TimePoint::default());
        for _ in 0..entries {
            let entry = site.new_entry();
            site.entries.push(entry);
        }
        site
    }

    fn new_entry(&mut self) -> Entry {
        self.next_run += 1;
        Entry {
            run: self.next_run,
            share: QuotaShare::new(self.stated, &bounds(), LIFETIME),
            arriving: None,
            frozen: false,
            cut: false,
        }
    }

    /// Applies the answers of the last step and lets all entries ask.
    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(STEP_MS);
        let count = self.entries.len() as u32;
        for entry in self.entries.iter_mut().filter(|entry| !entry.frozen) {
            if let Some((ask, answer, sent_at)) = entry.arriving.take()
                && !entry.cut
            {
                entry.share.apply(&ask, answer, sent_at, self.now);
            }
            let Some(ask) = entry.share.ask(count, self.now) else {
                continue;
            };
            if entry.cut || self.now < self.led_from {
                entry.share.record_no_answer(self.now);
                continue;
            }
            let (term, stated) = (self.term, ask.stated);
            let answer =
                self.table
                    .answer(term, &"organisation", stated, entry.run, ask.ask, self.now);
            entry.arriving = answer.map(|answer| (ask, answer, self.now));
        }
    }

    /// A request at an entry, which waits for tokens for up to two steps in the real entry; here its
    /// lack is stated and it counts as refused.
    fn request(&mut self, index: usize, cost: u64) -> bool {
        let now = self.now;
        let share = &mut self.entries[index].share;
        share.record_demand(cost, now);
        let charged = share
            .charge(cost, now)
            .is_some_and(|epoch| share.spend(cost, epoch, now));
        if charged {
            self.charges.push((now, cost));
        } else {
            self.refused += 1;
            share.begin_wait(cost);
        }
        charged
    }

    fn end_waits(&mut self, index: usize, cost: u64) {
        self.entries[index].share.end_wait(cost);
    }

    /// A request that comes again until it is admitted, at most `steps` steps later.
    fn patient_request(&mut self, index: usize, cost: u64, steps: usize) -> bool {
        for _ in 0..=steps {
            if self.request(index, cost) {
                return true;
            }
            self.step();
            self.end_waits(index, cost);
        }
        false
    }

    fn change_leader(&mut self, gap: Duration) {
        self.term += 1;
        self.led_from = self.now + gap;
        self.table.observe_term(self.term, self.led_from);
    }

    fn largest_window(&self) -> u64 {
        let window = bounds().window;
        let sums = self.charges.iter().map(|(begin, _)| {
            let within = self
                .charges
                .iter()
                .filter(|(at, _)| *at >= *begin && at.since(*begin) < window);
            within.map(|(_, cost)| cost).sum::<u64>()
        });
        sums.max().unwrap_or_default()
    }

    fn assert_bound(&self) {
        let largest = self.largest_window();
        let allowed = allowed(&self.stated.spec);
        assert!(largest as f64 <= allowed, "{largest} of {allowed}");
    }
}

/// Guards against a share by entry: one busy entry must get nearly the whole quota.
#[test]
fn one_entry_can_use_the_quota() {
    let mut site = Site::new(tokens(500_000.0, 500_000.0), 30);
    for _ in 0..400 {
        site.step();
        for _ in 0..4 {
            let charged = site.request(7, 9_000);
            if !charged {
                site.end_waits(7, 9_000);
            }
        }
    }
    let used: u64 = site.charges.iter().map(|(_, cost)| cost).sum();
    assert!(used as f64 > 0.9 * 500_000.0 * 20.0, "{used}");
    site.assert_bound();
}

/// Guards against tokens that are scattered over many entries, too few for a request at each.
#[test]
fn demand_spread_over_105_entries_is_admitted() {
    let mut site = Site::new(tokens(2_000_000.0, 2_000_000.0), 105);
    let mut admitted = 0;
    for round in 0..600 {
        site.step();
        // 1.08 million tokens a second.
        for request in 0..6 {
            let index = (round * 37 + request * 19) % 105;
            admitted += u32::from(site.patient_request(index, 9_000, 3));
        }
    }
    assert!(admitted >= 3_500, "{admitted}");
    site.assert_bound();
}

/// Guards against tokens that stay where an organisation was a second ago.
#[test]
fn an_organisation_that_moves_between_entries_is_admitted() {
    let mut site = Site::new(tokens(100_000.0, 100_000.0), 30);
    let mut admitted = 0;
    for second in 0..40 {
        for _ in 0..6 {
            admitted += u32::from(site.patient_request(second % 30, 9_000, 3));
            site.step();
            site.step();
        }
    }
    assert!(admitted >= 216, "{admitted} of 240");
    site.assert_bound();
}

/// Guards against an entry that wakes up and uses tokens that were granted again meanwhile.
#[test]
fn a_woken_entry_does_not_use_lapsed_tokens() {
    let mut site = Site::new(tokens(100_000.0, 100_000.0), 2);
    for _ in 0..40 {
        site.step();
        if !site.request(0, 1_000) {
            site.end_waits(0, 1_000);
        }
    }
    let now = site.now;
    let share = &mut site.entries[0].share;
    let pending = share.charge(1_000, now).expect("the entry holds tokens");
    site.entries[0].frozen = true;
    for _ in 0..120 {
        site.step();
    }
    let now = site.now;
    let share = &mut site.entries[0].share;
    assert!(!share.spend(1_000, pending, now));
    assert_eq!(share.charge(1, now), None);
}

/// Guards against two organisations that share tokens: one at ten times its quota must not take
/// from a hundred others.
#[test]
fn a_hot_organisation_takes_nothing_from_others() {
    let mut table = QuotaTable::new(bounds(), LIFETIME);
    table.observe_term(1, TimePoint::default());
    let spec = tokens(100_000.0, 100_000.0);
    let stated = VersionedSpec { version: 1, spec };
    let mut shares: Vec<QuotaShare> = (0..100)
        .map(|_| QuotaShare::new(stated, &bounds(), LIFETIME))
        .collect();
    let (mut wanted, mut admitted, mut hot) = (0, 0, 0);
    for step in 0..400_u64 {
        let now = TimePoint::from_millis(10_000 + step * STEP_MS);
        for (name, share) in shares.iter_mut().enumerate() {
            let requests = if name == 0 {
                50
            } else {
                u64::from(step % 2 == 0)
            };
            for _ in 0..requests {
                share.record_demand(2_000, now);
                let charged = share.charge(2_000, now);
                let spent = charged.is_some_and(|epoch| share.spend(2_000, epoch, now));
                let counted = u64::from(spent);
                if name == 0 {
                    hot += counted;
                } else if step > 20 {
                    (wanted, admitted) = (wanted + 1, admitted + counted);
                }
            }
            if let Some(ask) = share.ask(1, now) {
                let answer = table.answer(1, &name, stated, 1, ask.ask, now);
                share.apply(&ask, answer.expect("asks are in order"), now, now);
            }
        }
    }
    assert!(admitted * 100 >= wanted * 98, "{admitted} of {wanted}");
    assert!((hot * 2_000) as f64 <= 100_000.0 * 20.0 + allowed(&spec));
}

/// Guards against entries that go on under the old quota after a new document.
#[test]
fn a_lowered_quota_binds_what_entries_hold() {
    let mut site = Site::new(tokens(1_000_000.0, 1_000_000.0), 10);
    for step in 0..100 {
        site.step();
        for request in 0..8 {
            let index = (step + request) % 10;
            if !site.request(index, 9_000) {
                site.end_waits(index, 9_000);
            }
        }
    }
    let spec = tokens(100_000.0, 100_000.0);
    site.stated = VersionedSpec { version: 2, spec };
    for entry in &mut site.entries {
        entry.share.set_spec(2, spec, &bounds());
    }
    site.charges.clear();
    for step in 0..400 {
        site.step();
        for request in 0..8 {
            let index = (step + request) % 10;
            if !site.request(index, 9_000) {
                site.end_waits(index, 9_000);
            }
        }
    }
    site.assert_bound();
    assert!(!site.charges.is_empty());
}

/// Guards against tokens that are used as requests, or requests that are used as tokens.
#[test]
fn a_changed_unit_drops_tokens() {
    let mut site = Site::new(tokens(100_000.0, 100_000.0), 1);
    for _ in 0..40 {
        site.step();
        if !site.request(0, 1_000) {
            site.end_waits(0, 1_000);
        }
    }
    let spec = QuotaSpec::limited(10.0, 10.0, QuotaUnit::Requests).unwrap();
    site.entries[0].share.set_spec(2, spec, &bounds());
    let now = site.now;
    assert_eq!(site.entries[0].share.charge(1, now), None);
    assert_eq!(spec.unit.cost(Some((5_000, 10))), 1);
}

/// Guards against a stop of service while the control group elects a leader.
#[test]
fn entries_go_on_during_a_leader_change() {
    let mut site = Site::new(tokens(500_000.0, 500_000.0), 10);
    let (mut wanted, mut admitted) = (0, 0);
    for step in 0..400 {
        if step % 100 == 60 {
            site.change_leader(Duration::from_millis(800));
        }
        site.step();
        // Half of the quota.
        for request in 0..2 {
            let index = (step + request * 5) % 10;
            let charged = site.request(index, 6_250);
            if !charged {
                site.end_waits(index, 6_250);
            }
            if step >= 40 {
                (wanted, admitted) = (wanted + 1, admitted + u32::from(charged));
            }
        }
    }
    assert!(admitted * 10 >= wanted * 9, "{admitted} of {wanted}");
    site.assert_bound();
}

/// Guards against panics and against requests without cost by numbers that make no sense.
#[test]
fn absurd_numbers_are_clamped() {
    assert_eq!(QuotaSpec::limited(0.0, 5.0, QuotaUnit::Requests), None);
    assert_eq!(QuotaSpec::limited(-1.0, 5.0, QuotaUnit::Requests), None);
    assert_eq!(QuotaSpec::limited(f64::NAN, 5.0, QuotaUnit::Requests), None);
    let endless = QuotaSpec::limited(f64::MAX, -1.0, QuotaUnit::Requests).unwrap();
    assert_eq!((endless.rate.per_second(), endless.burst), (1e12, 0));
    let unit = QuotaUnit::Tokens { plain: 200 };
    assert_eq!(unit.cost(Some((u64::MAX, u64::MAX))), u64::MAX);
    assert_eq!(unit.cost(None), 200);
    let mut site = Site::new(tokens(100_000.0, 0.0), 1);
    assert!(!site.patient_request(0, u64::MAX, 3));
    assert!(site.patient_request(0, 9_000, 20));
    assert!(!site.entries[0].share.can_admit(u64::MAX));
}

#[derive(Debug, Clone)]
enum Event {
    Requests { entry: usize, cost: u64, count: u64 },
    Kill(usize),
    Freeze(usize),
    Cut(usize),
    ChangeLeader { gap_ms: u64 },
    Steps(u64),
}

fn events() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..8_usize, 1..20_000_u64, 1..40_u64)
            .prop_map(|(entry, cost, count)| Event::Requests { entry, cost, count }),
        1 => (0..8_usize).prop_map(Event::Kill),
        1 => (0..8_usize).prop_map(Event::Freeze),
        1 => (0..8_usize).prop_map(Event::Cut),
        1 => (0..3_000_u64).prop_map(|gap_ms| Event::ChangeLeader { gap_ms }),
        6 => (1..30_u64).prop_map(Event::Steps),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against any order of kills, freezes, cuts and leader changes in which more is charged
    /// than the rule allows.
    #[test]
    fn no_window_exceeds_the_bound(
        rate in 10_000.0..1_000_000.0_f64,
        events in proptest::collection::vec(events(), 20..200),
    ) {
        let mut site = Site::new(tokens(rate, rate), 8);
        for event in events {
            match event {
                Event::Requests { entry, cost, count } => {
                    for _ in 0..count {
                        if site.entries[entry].frozen {
                            continue;
                        }
                        if !site.request(entry, cost) {
                            site.end_waits(entry, cost);
                        }
                    }
                }
                Event::Kill(index) => {
                    let entry = site.new_entry();
                    site.entries[index] = entry;
                }
                Event::Freeze(index) => site.entries[index].frozen ^= true,
                Event::Cut(index) => site.entries[index].cut ^= true,
                Event::ChangeLeader { gap_ms } => {
                    site.change_leader(Duration::from_millis(gap_ms));
                }
                Event::Steps(count) => (0..count).for_each(|_| site.step()),
            }
        }
        site.assert_bound();
    }
}

/// Guards against rates of entries that save up too few tokens for any of their requests: in a burst
/// over many entries, most of a small quota was lost that way.
#[test]
fn a_burst_over_many_entries_uses_the_whole_quota() {
    const RATE: f64 = 450_000.0;
    const COSTS: [u64; 5] = [4_000, 6_000, 9_000, 14_000, 24_000];
    const STEPS: usize = 400;
    let mut site = Site::new(tokens(RATE, RATE), 31);
    let mut waiting: Vec<(usize, u64, u32)> = Vec::new();
    for round in 0..STEPS {
        site.step();
        let now = site.now;
        waiting.retain_mut(|(index, cost, steps_left)| {
            let share = &mut site.entries[*index].share;
            let epoch = share.charge(*cost, now);
            let charged = epoch.is_some_and(|epoch| share.spend(*cost, epoch, now));
            if charged {
                site.charges.push((now, *cost));
            }
            *steps_left -= 1;
            let ended = charged || *steps_left == 0;
            if ended {
                site.entries[*index].share.end_wait(*cost);
            }
            !ended
        });
        // Three times the rate, evenly over the entries.
        for number in 0..7 {
            let index = (round * 7 + number) % 31;
            let cost = COSTS[(round + number * 3) % 5];
            let is_short = site.entries[index].share.is_short(now);
            if is_short {
                site.entries[index].share.record_demand(cost, now);
            } else if !site.request(index, cost) {
                waiting.push((index, cost, 2));
            }
        }
    }
    let used: u64 = site.charges.iter().map(|(_, cost)| cost).sum();
    let seconds = (STEPS as u64 * STEP_MS) as f64 / 1_000.0;
    assert!(used as f64 > 0.95 * RATE * seconds, "{used}");
    site.assert_bound();
}

/// Guards against a leader that forgets what an entry saves up at its own rate while an answer is on
/// its way: the grant comes on top of it.
#[test]
fn what_an_entry_saves_up_before_an_answer_counts_beside_the_grant() {
    let capacity = QuotaCapacity {
        rate: 100_000.0,
        most: 170_000.0,
    };
    let at = TimePoint::from_millis;
    let mut ledger = QuotaLedger::without_predecessor(capacity, LIFETIME, at(10_000));
    let ask = |sequence: u64, rate: u64, wanted: u64| LedgerAsk {
        sequence,
        base: sequence - 1,
        held: 0,
        returned: 0,
        wanted,
        needed: wanted,
        usual: 100,
        held_rate: rate,
        wanted_rate: 60_000,
    };
    let rated = ledger
        .answer(1, ask(1, 0, 0), at(20_000))
        .expect("the first ask");
    assert!(rated.rate > 0);
    let first = ledger
        .answer(1, ask(2, rated.rate, 200_000), at(20_050))
        .expect("a newer ask");
    let other = LedgerAsk {
        wanted_rate: 0,
        ..ask(1, 0, 200_000)
    };
    let second = ledger.answer(2, other, at(20_100)).expect("the first ask");
    let saved = rated.rate as f64 * RATE_HOLD_TIME.as_secs_f64();
    let usable = saved + (first.granted + second.granted) as f64;
    assert!(usable <= capacity.most, "{usable} of {}", capacity.most);
}
