//! An entry's tokens of one organisation's quota.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

use super::quota_ledger::{LedgerAnswer, LedgerAsk, RATE_HOLD_TIME, RATED_REQUESTS};
use super::quota_spec::{QuotaBounds, QuotaCapacity, QuotaSpec};
use super::quota_table::VersionedSpec;

/// Time of its demand for which an entry holds tokens, so that it can go on without a leader.
const HOLD_TIME: Duration = Duration::from_millis(700);

/// The same for the part of the demand that the entry's own rate covers.
const RATED_HOLD_TIME: Duration = Duration::from_millis(300);

/// Time constant with which demand and grants decay.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// Time constant of the demand for which an entry has a rate of its own.
const STEADY_TIME: Duration = Duration::from_secs(4);

/// Time after an answer that left requests without tokens, in which others are refused at once.
const SHORT_TIME: Duration = Duration::from_millis(150);

/// Shortest and longest time after which a refused caller may come back.
const RETURN_TIMES: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// Number of times that the tokens of a share have been dropped. Tokens that were charged before can
/// be neither used nor returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ChargeEpoch(u64);

/// An ask for the leader, and what belongs to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareAsk {
    /// The quota that the entry knows.
    pub stated: VersionedSpec,
    /// The ask.
    pub ask: LedgerAsk,
}

/// Sum that decays exponentially, read as a rate.
#[derive(Debug, Clone, Copy)]
struct DecayingSum {
    value: f64,
    updated: TimePoint,
    /// Time constant, in seconds.
    seconds: f64,
}

impl DecayingSum {
    fn new(time: Duration) -> Self {
        Self {
            value: 0.0,
            updated: TimePoint::default(),
            seconds: time.as_secs_f64(),
        }
    }

    fn add(&mut self, value: f64, now: TimePoint) {
        let age = now.since(self.updated).as_secs_f64();
        self.value = self.value * (-age / self.seconds).exp() + value;
        self.updated = now;
    }

    fn per_second(&mut self, now: TimePoint) -> f64 {
        self.add(0.0, now);
        self.value / self.seconds
    }
}

/// Tokens of one organisation at one entry.
///
/// Nothing is used after `valid_until`, by a clock that also counts while the machine is suspended,
/// so that a frozen entry does not use tokens that the leader counts as lapsed.
#[derive(Debug)]
pub struct QuotaShare {
    stated: VersionedSpec,
    capacity: QuotaCapacity,
    lifetime: Duration,
    /// Tokens that requests may be charged.
    held: u64,
    /// Tokens of requests that are charged and not sent yet.
    pending: u64,
    /// Tokens that waiting requests lack.
    waiting: u64,
    /// Tokens per second that the share adds by itself, up to [`RATE_HOLD_TIME`] of them.
    rate: u64,
    /// Thousandths of a token that were added and are not whole yet.
    added_milli: u64,
    added_until: TimePoint,
    valid_until: TimePoint,
    epoch: ChargeEpoch,
    sequence: u64,
    base: u64,
    demand: DecayingSum,
    /// Demand over a longer time, for which the share wants a rate of its own.
    steady_demand: DecayingSum,
    grants: DecayingSum,
    /// Tokens of the last request that states prompt tokens or of any other one.
    usual_cost: u64,
    short_until: TimePoint,
    next_return: TimePoint,
}

impl QuotaShare {
    /// Share without tokens. `lifetime` is that of tokens from the leader.
    pub fn new(stated: VersionedSpec, bounds: &QuotaBounds, lifetime: Duration) -> Self {
        Self {
            stated,
            capacity: QuotaCapacity::new(&stated.spec, bounds),
            lifetime,
            held: 0,
            pending: 0,
            waiting: 0,
            rate: 0,
            added_milli: 0,
            added_until: TimePoint::default(),
            valid_until: TimePoint::default(),
            epoch: ChargeEpoch::default(),
            sequence: 0,
            base: 0,
            demand: DecayingSum::new(DEMAND_TIME),
            steady_demand: DecayingSum::new(STEADY_TIME),
            grants: DecayingSum::new(DEMAND_TIME),
            usual_cost: 0,
            short_until: TimePoint::default(),
            next_return: TimePoint::default(),
        }
    }

    /// Takes over the quota of a newer document. Tokens are dropped if the quota was lowered or
    /// counts something else.
    pub fn set_spec(&mut self, version: u64, spec: QuotaSpec, bounds: &QuotaBounds) {
        if version <= self.stated.version {
            return;
        }
        let covers = self.stated.spec.covers(&spec);
        self.stated = VersionedSpec { version, spec };
        self.capacity = QuotaCapacity::new(&spec, bounds);
        if !covers {
            self.drop_tokens();
            self.demand = DecayingSum::new(DEMAND_TIME);
            self.steady_demand = DecayingSum::new(STEADY_TIME);
        }
    }

    fn drop_tokens(&mut self) {
        self.epoch.0 += 1;
        self.held = 0;
        self.pending = 0;
        self.rate = 0;
    }

    /// Drops tokens whose lifetime has ended, and adds those of the share's own rate.
    fn lapse(&mut self, now: TimePoint) {
        let has_tokens = self.held > 0 || self.pending > 0 || self.rate > 0;
        if now >= self.valid_until && has_tokens {
            self.drop_tokens();
        }
        let elapsed_ms = now.since(self.added_until).as_millis() as u64;
        self.added_until = self.added_until.max(now);
        let added = self.rate.saturating_mul(elapsed_ms);
        self.added_milli = self.added_milli.saturating_add(added);
        let room = self
            .rate_hold()
            .saturating_sub(self.held.saturating_add(self.pending));
        self.held += (self.added_milli / 1_000).min(room);
        self.added_milli %= 1_000;
    }

    /// Most tokens that the share saves up at its own rate.
    const fn rate_hold(&self) -> u64 {
        self.rate.saturating_mul(RATE_HOLD_TIME.as_secs())
    }

    /// Records a request that wants tokens.
    pub fn record_demand(&mut self, cost: u64, now: TimePoint) {
        // One absurd request must not set the demand for seconds.
        let counted = (cost as f64).min(self.capacity.most);
        self.demand.add(counted, now);
        self.steady_demand.add(counted, now);
        self.usual_cost = cost.max(self.usual_cost / 2);
    }

    /// Charges a request; `None` if the share has too few tokens.
    pub fn charge(&mut self, cost: u64, now: TimePoint) -> Option<ChargeEpoch> {
        self.lapse(now);
        if now >= self.valid_until || self.held < cost {
            return None;
        }
        self.held -= cost;
        self.pending = self.pending.saturating_add(cost);
        Some(self.epoch)
    }

    /// Uses the tokens of a charged request, which is about to be sent. False if they have lapsed.
    pub fn spend(&mut self, cost: u64, epoch: ChargeEpoch, now: TimePoint) -> bool {
        self.lapse(now);
        if epoch != self.epoch {
            return false;
        }
        self.pending = self.pending.saturating_sub(cost);
        true
    }

    /// Returns the tokens of a charged request that was not sent.
    pub fn return_charge(&mut self, cost: u64, epoch: ChargeEpoch, now: TimePoint) {
        if self.spend(cost, epoch, now) {
            self.held = self.held.saturating_add(cost);
        }
    }

    /// Begins to wait for tokens of a request.
    pub fn begin_wait(&mut self, cost: u64) {
        self.waiting = self.waiting.saturating_add(cost);
    }

    /// Ends a wait.
    pub fn end_wait(&mut self, cost: u64) {
        self.waiting = self.waiting.saturating_sub(cost);
    }

    /// Whether the leader had too few tokens a moment ago, so that waiting is of no use.
    pub fn is_short(&self, now: TimePoint) -> bool {
        now < self.short_until
    }

    /// Whether a request of this size can ever be admitted.
    pub fn can_admit(&self, cost: u64) -> bool {
        cost as f64 <= self.capacity.most_held()
    }

    /// Records that the leader did not answer.
    pub fn record_no_answer(&mut self, now: TimePoint) {
        self.short_until = now + SHORT_TIME;
    }

    /// Tokens that the share wants to hold. An idle entry among `entries` keeps those of one request
    /// if the capacity allows it for all.
    fn target(&mut self, entries: u32, now: TimePoint) -> u64 {
        let demand = self.demand.per_second(now);
        if demand < 0.1 * self.usual_cost as f64 && demand < 1.0 {
            return 0;
        }
        let idle = self.capacity.most_held() / 2.0 / f64::from(entries.max(1));
        // The share adds what its own rate covers.
        let uncovered = (demand - self.rate as f64).max(0.0);
        let held = uncovered * HOLD_TIME.as_secs_f64() + demand * RATED_HOLD_TIME.as_secs_f64();
        let target = held + (self.usual_cost as f64).min(idle);
        target.min(self.capacity.most_held()) as u64
    }

    /// Rate that the share wants for itself: that of its demand, if it is steady enough.
    fn wanted_rate(&mut self, now: TimePoint) -> u64 {
        // A rate that is given for a moment of demand is lost to other entries afterwards.
        let steady = self.steady_demand.per_second(now);
        let demand = self.demand.per_second(now).min(steady);
        let saved = demand * RATE_HOLD_TIME.as_secs_f64();
        if saved >= RATED_REQUESTS * self.usual_cost as f64 {
            demand as u64
        } else {
            0
        }
    }

    /// Ask for the leader, if tokens are short, run low or are about to lapse.
    pub fn ask(&mut self, entries: u32, now: TimePoint) -> Option<ShareAsk> {
        self.lapse(now);
        let target = self.target(entries, now);
        let has_tokens = self.held > 0 || self.pending > 0 || self.rate > 0;
        let lapses_soon = has_tokens && now + self.lifetime / 2 >= self.valid_until;
        let runs_low = self.held < target / 4 * 3 && !self.is_short(now);
        // Tokens that are not needed here any more return to the leader.
        let is_excess =
            self.held > (target + self.rate_hold()).saturating_add(target / 4) && self.waiting == 0;
        let wanted_rate = self.wanted_rate(now);
        let has_excess_rate = wanted_rate < self.rate / 2;
        let may_rest = !runs_low && !lapses_soon && !is_excess && !has_excess_rate;
        if self.waiting == 0 && may_rest {
            return None;
        }
        let returned = if is_excess {
            self.held - target - self.rate_hold()
        } else {
            0
        };
        self.held -= returned;
        self.sequence += 1;
        Some(ShareAsk {
            stated: self.stated,
            ask: LedgerAsk {
                sequence: self.sequence,
                base: self.base,
                held: self.held.saturating_add(self.pending),
                returned,
                needed: self.waiting.saturating_sub(self.held),
                usual: self.usual_cost,
                held_rate: self.rate,
                wanted_rate,
                wanted: target
                    .saturating_add(self.waiting)
                    .saturating_sub(self.held),
            },
        })
    }

    /// Applies the answer to an ask that was sent at `sent_at`.
    pub fn apply(
        &mut self,
        ask: &ShareAsk,
        answer: LedgerAnswer,
        sent_at: TimePoint,
        now: TimePoint,
    ) {
        self.lapse(now);
        let is_outdated =
            ask.stated.version != self.stated.version && !ask.stated.spec.covers(&self.stated.spec);
        let lapses_at = sent_at + self.lifetime;
        if is_outdated || ask.ask.sequence != self.sequence || now >= lapses_at {
            return;
        }
        if !answer.renewed {
            self.drop_tokens();
        }
        self.rate = answer.rate;
        self.base = ask.ask.sequence;
        self.held = self.held.saturating_add(answer.granted);
        self.valid_until = lapses_at;
        self.grants.add(answer.granted as f64, now);
        if self.held < self.waiting {
            self.short_until = now + SHORT_TIME;
        }
    }

    /// Time after which a refused caller may come back: when the share has got tokens for it and for
    /// those refused before. `random` is uniform from 0 to 1.
    pub fn return_time(
        &mut self,
        cost: u64,
        entries: u32,
        random: f64,
        now: TimePoint,
    ) -> Duration {
        let even_rate = self.capacity.rate / f64::from(entries.max(1));
        let rate = self.grants.per_second(now).max(even_rate).max(0.001);
        let (shortest, longest) = RETURN_TIMES;
        let interval = Duration::from_secs_f64((cost as f64 / rate).min(longest.as_secs_f64()));
        let free_at = self.next_return.max(now);
        let wait = free_at.since(now) + shortest + interval.mul_f64(random);
        self.next_return = (free_at + interval).min(now + longest);
        wait.min(longest)
    }
}
