//! One entry's share of the limit of requests that an upstream states for all entries together.
//!
//! The entries divide a limit by the requests that each of them wants to send, which they report to
//! the leader. An entry that does not know the demand of the others takes an equal part.

use std::time::Duration;

use oriolecrank_policy::recent_count::RecentCount;
use oriolecrank_schema::TimePoint;
use rand::Rng;

use crate::limit_report::REPORT_LIFETIME;
use crate::request_rate::RequestRate;

/// Time over which the requests that an entry wants to send are counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Demand, in requests per second, that counts for each entry in addition to its own, so that an
/// entry without recent requests has a share for its next one.
const BASE_DEMAND: f64 = 0.1;

/// Lowest rate, in requests per second, at which all entries together use an upstream with a limit
/// close to 0. Without an answer they would not learn that the limit has ended.
const MIN_TOTAL_RATE: f64 = 0.2;

/// Share of a limit that is used. The rest covers spans in which several entries happen to send at
/// the same time.
const USED_LIMIT_SHARE: f64 = 0.95;

/// Time for which unused requests of a share may be saved; at least one request is.
const SAVING_TIME: Duration = Duration::from_millis(250);

/// Time after a request without success for which less urgent ones leave the share to those of its
/// priority.
const URGENT_WINDOW: Duration = Duration::from_secs(1);

/// Share of an earlier limit below which a fall counts as large.
const REDRAW_SHARE: f64 = 0.5;

/// Share of an upstream's limit, as a token bucket whose rate follows the demand.
#[derive(Debug)]
pub(crate) struct LimitShare {
    limit: RequestRate,
    /// Largest limit since the tokens were drawn.
    drawn_limit: RequestRate,
    /// Requests of this entry that were sent, or would have been without the limit.
    demand: RecentCount,
    /// Demand of the other entries, and when the leader told it.
    others: Option<(RequestRate, TimePoint)>,
    /// Requests per second of this entry, as of `refilled_at`; above 0.
    rate: f64,
    /// Requests that may be sent now; below 0 after one that could not be held back.
    tokens: f64,
    refilled_at: TimePoint,
    /// Most urgent priority that the share had no token for lately.
    missed: Option<(u8, TimePoint)>,
    /// When the caller that was refused last may come back.
    next_return: TimePoint,
}

impl LimitShare {
    /// A share with less than one token, at random, so that the entries do not all wait for their
    /// first token and then send at the same time.
    pub(crate) fn new<R: Rng>(limit: RequestRate, now: TimePoint, random: &mut R) -> Self {
        Self {
            limit,
            drawn_limit: limit,
            demand: RecentCount::new(DEMAND_WINDOW),
            others: None,
            rate: MIN_TOTAL_RATE,
            tokens: random.random(),
            refilled_at: now,
            missed: None,
            next_return: now,
        }
    }

    /// Limit of all entries together.
    pub(crate) const fn limit(&self) -> RequestRate {
        self.limit
    }

    /// Changes the limit. After a large fall, the tokens are drawn again: an entry learns of the
    /// fall from the answer to a request that has just taken a token.
    pub(crate) fn set_limit<R: Rng>(&mut self, limit: RequestRate, random: &mut R) {
        self.limit = limit;
        self.drawn_limit = self.drawn_limit.max(limit);
        if limit.per_second() < self.drawn_limit.per_second() * REDRAW_SHARE {
            self.drawn_limit = limit;
            self.tokens = random.random();
        }
    }

    /// Sets the demand of the other entries.
    pub(crate) const fn set_other_demand(&mut self, demand: RequestRate, now: TimePoint) {
        self.others = Some((demand, now));
    }

    /// Requests per second that this entry wants to send.
    pub(crate) fn demand(&mut self, now: TimePoint) -> RequestRate {
        RequestRate::from_count(self.demand.get(now), DEMAND_WINDOW)
    }

    /// Adds the tokens since the last call and updates the rate; `entries` is the number of entries.
    pub(crate) fn refill(&mut self, entries: u32, now: TimePoint) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let own = self.demand(now).per_second() + BASE_DEMAND;
        let entries = f64::from(entries.max(1));
        let others = self.others;
        let total = match others.filter(|(_, told_at)| now.since(*told_at) <= REPORT_LIFETIME) {
            Some((demand, _)) => own + demand.per_second() + BASE_DEMAND * (entries - 1.0),
            None => own * entries,
        };
        let total_rate = (self.limit.per_second() * USED_LIMIT_SHARE).max(MIN_TOTAL_RATE);
        self.rate = total_rate * own / total;
        let most = (self.rate * SAVING_TIME.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + elapsed * self.rate).min(most);
    }

    /// Whether a request may be sent now; 0 is the most urgent priority.
    pub(crate) fn allows(&self, priority: u8, now: TimePoint) -> bool {
        let is_preceded = self
            .missed
            .is_some_and(|(missed, at)| missed < priority && now.since(at) <= URGENT_WINDOW);
        self.tokens >= 1.0 && !is_preceded
    }

    /// Records a request that is sent.
    pub(crate) fn record_sent(&mut self, now: TimePoint) {
        self.demand.add(1, now);
        self.tokens -= 1.0;
    }

    /// Records a request that is not sent because of the limit.
    pub(crate) fn record_missed(&mut self, priority: u8, now: TimePoint) {
        self.demand.add(1, now);
        let earlier = self
            .missed
            .filter(|(missed, at)| *missed < priority && now.since(*at) <= URGENT_WINDOW);
        self.missed = earlier.or(Some((priority, now)));
    }

    /// Time until the share has a request for another refused caller, after those before it.
    pub(crate) fn return_time(&self, now: TimePoint) -> Duration {
        let token_wait = (1.0 - self.tokens).max(0.0) / self.rate;
        let first = now + Duration::from_secs_f64(token_wait.min(MAX_RETURN_SECONDS));
        first.max(self.next_return).since(now)
    }

    /// Takes the place of a refused caller that comes back after `wait`.
    pub(crate) fn reserve_return(&mut self, wait: Duration, now: TimePoint) {
        let interval = (1.0 / self.rate).min(MAX_RETURN_SECONDS);
        self.next_return = now + wait + Duration::from_secs_f64(interval);
    }
}

/// Longest time after which a refused caller is asked to come back, in seconds.
const MAX_RETURN_SECONDS: f64 = 60.0;
