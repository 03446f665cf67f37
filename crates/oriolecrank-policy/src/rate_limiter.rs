//! Limits of requests, tokens and concurrency at one entry.
//!
//! An entry may use its share of each limit, while that is valid, plus its part of the reserve. Rates
//! are token buckets; a request reserves the tokens it is expected to use, and the reservation is
//! corrected by the true tokens when the answer has ended.

use std::collections::HashMap;
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::{OrganisationId, ServiceId};
use snafu::Snafu;

use crate::TokenCount;
use crate::limit_key::{EntryCount, LimitKey, LimitShare, OrganisationLimit, RequestSize};

/// Rules of the limiter.
#[derive(Debug, Clone, PartialEq)]
pub struct LimiterSettings {
    /// Time over which an unused rate accumulates.
    pub burst: Duration,
    /// How long the part of the reserve stays valid after control last stated the number of entries.
    /// The control leader counts it for as long.
    pub reserve_lifetime: Duration,
    /// Suggested delay when nothing can be calculated; shares are renewed each second.
    pub share_interval: Duration,
    /// Shortest suggested delay.
    pub min_retry_after: Duration,
    /// Longest suggested delay.
    pub max_retry_after: Duration,
}

impl Default for LimiterSettings {
    fn default() -> Self {
        Self {
            burst: Duration::from_secs(2),
            reserve_lifetime: Duration::from_mins(1),
            share_interval: Duration::from_secs(1),
            min_retry_after: Duration::from_millis(100),
            max_retry_after: Duration::from_secs(30),
        }
    }
}

/// Level that may be missing, for rounding of the fill rate.
const LEVEL_TOLERANCE: f64 = 1e-9;

/// Weight of the newest answer in the means over answers.
const ANSWER_SMOOTHING: f64 = 0.1;

/// The limit that a request exceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Tokens per second.
    Tokens,
    /// Concurrent requests.
    Concurrency,
}

/// A request that exceeds a limit. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("a limit of the organisation is reached"))]
pub struct LimitRefusal {
    /// Which limit.
    pub kind: LimitKind,
    /// When a retry may succeed.
    pub retry_after: Duration,
}

/// Room taken for a running request; must be returned by [`RateLimiter::finish`].
#[derive(Debug, PartialEq)]
#[must_use = "the concurrency stays taken until the reservation is returned"]
pub struct LimitReservation {
    organisation: OrganisationId,
    service: ServiceId,
    size: RequestSize,
    tokens: f64,
    reserved_at: TimePoint,
}

/// Demand of one organisation for one service since the last report.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitDemand {
    /// What the demand is for.
    pub key: LimitKey,
    /// Requests, admitted or not.
    pub requests: u64,
    /// Tokens of these requests.
    pub tokens: TokenCount,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that run now.
    pub running: u64,
    /// This entry uses no concurrent requests of the limit and gives its share of them back: it does
    /// not use shares that were sent before control had this report.
    pub returned: bool,
}

/// A token bucket. The level may be negative after a correction.
#[derive(Debug, Clone)]
struct RateBucket {
    level: f64,
    updated: TimePoint,
}

impl RateBucket {
    /// Fills at `rate` up to `cap`.
    fn refill(&mut self, rate: f64, cap: f64, now: TimePoint) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.level = (self.level + rate * elapsed).min(cap);
        self.updated = self.updated.max(now);
    }
}

/// State of one limit.
#[derive(Debug)]
struct LimitState {
    limit: OrganisationLimit,
    share: LimitShare,
    share_until: TimePoint,
    /// `None` until the first request, because a new bucket starts full.
    requests: Option<RateBucket>,
    tokens: Option<RateBucket>,
    running: u64,
    /// Whether a request asked for room since the last demand report.
    asked: bool,
    /// When the share of concurrent requests was last given back.
    returned_at: Option<TimePoint>,
    mean_duration_ms: f64,
}

/// Counters of one organisation and service for the demand report.
#[derive(Debug, Default)]
struct DemandCounter {
    requests: u64,
    tokens: u64,
    refused: u64,
    running: u64,
}

/// Limits at one entry.
#[derive(Debug)]
pub struct RateLimiter {
    settings: LimiterSettings,
    limits: HashMap<LimitKey, LimitState>,
    entries: Option<EntryCount>,
    reserve_until: TimePoint,
    demand: HashMap<LimitKey, DemandCounter>,
    /// Mean output per largest output of each organisation's answers, between 0 and 1.
    output_ratios: HashMap<OrganisationId, f64>,
}

impl RateLimiter {
    /// A limiter without limits.
    pub fn new(settings: LimiterSettings) -> Self {
        Self {
            settings,
            limits: HashMap::new(),
            entries: None,
            reserve_until: TimePoint::default(),
            demand: HashMap::new(),
            output_ratios: HashMap::new(),
        }
    }

    /// Replaces all limits by those of a new document. Running requests stay counted.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (LimitKey, OrganisationLimit)>) {
        let mut known = std::mem::take(&mut self.limits);
        for (key, limit) in limits {
            let running = self.running_of(&key);
            let state = known
                .remove(&key)
                .unwrap_or_else(|| LimitState::new(running));
            self.limits.insert(key, LimitState { limit, ..state });
        }
    }

    /// Takes this entry's shares; without `entries`, the part of the reserve stays as it is.
    ///
    /// `as_of` is the time at which this entry sent the newest demand report that the leader had
    /// when it granted the shares. Counting their `lifetime` from the arrival instead would let
    /// delayed messages extend the shares beyond what the leader accounts for.
    pub fn apply_shares(
        &mut self,
        shares: impl IntoIterator<Item = (LimitKey, LimitShare)>,
        entries: Option<EntryCount>,
        lifetime: Duration,
        as_of: TimePoint,
        now: TimePoint,
    ) {
        self.refill(now);
        if entries.is_some() {
            self.entries = entries;
            self.reserve_until = as_of + self.settings.reserve_lifetime;
        }
        for state in self.limits.values_mut() {
            state.share = LimitShare::default();
        }
        for (key, share) in shares {
            if let Some(state) = self.limits.get_mut(&key) {
                state.share = share;
                state.share_until = as_of + lifetime;
                let returned = state.returned_at.is_some_and(|at| as_of < at);
                if returned && share.concurrent != u64::MAX {
                    state.share.concurrent = 0;
                }
            }
        }
    }

    /// Takes room for a request, or refuses it.
    pub fn reserve(
        &mut self,
        organisation: &OrganisationId,
        service: &ServiceId,
        size: RequestSize,
        now: TimePoint,
    ) -> Result<LimitReservation, LimitRefusal> {
        let tokens = self.expected_tokens(organisation, size);
        let keys = limit_keys(organisation, service);
        let mut refusal = None;
        for key in &keys {
            let allowed = self.allowed(key, now);
            if let Some(state) = self.limits.get_mut(key) {
                state.asked = true;
                let refused = state.check(allowed, tokens, &self.settings, now);
                refusal = longer(refusal, refused);
            }
        }
        self.count_demand(&keys[0], tokens, refusal.is_some());
        if let Some(refusal) = refusal {
            return Err(refusal);
        }
        for key in &keys {
            if let Some(state) = self.limits.get_mut(key) {
                state.take(tokens);
            }
        }
        Ok(LimitReservation {
            organisation: organisation.clone(),
            service: service.clone(),
            size,
            tokens,
            reserved_at: now,
        })
    }

    /// Returns a reservation; `served` are the true tokens, `None` if the request did not run.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a reservation is returned only once"
    )]
    pub fn finish(
        &mut self,
        reservation: LimitReservation,
        served: Option<RequestSize>,
        now: TimePoint,
    ) {
        let keys = limit_keys(&reservation.organisation, &reservation.service);
        if let Some(counter) = self.demand.get_mut(&keys[0]) {
            counter.running = counter.running.saturating_sub(1);
        }
        if let Some(served) = served {
            self.learn_ratio(&reservation, served);
        }
        let true_tokens = served.map_or(0, |served| (served.prompt + served.output).get());
        let refund = reservation.tokens - true_tokens as f64;
        let elapsed = now.since(reservation.reserved_at);
        for key in &keys {
            if let Some(state) = self.limits.get_mut(key) {
                state.finish(refund, served.is_some(), elapsed);
            }
        }
    }

    /// Demand since the last call, for the report that is sent to control now.
    pub fn take_demand(&mut self, now: TimePoint) -> Vec<LimitDemand> {
        let mut demand: Vec<LimitDemand> = Vec::new();
        for (key, counter) in &mut self.demand {
            let running = counter.running;
            let counter = std::mem::take(counter);
            demand.push(LimitDemand {
                key: key.clone(),
                requests: counter.requests,
                tokens: TokenCount::new(counter.tokens),
                refused: counter.refused,
                running,
                returned: false,
            });
        }
        for item in &demand {
            if let Some(counter) = self.demand.get_mut(&item.key) {
                counter.running = item.running;
            }
        }
        self.demand.retain(|_, counter| counter.running > 0);
        for (key, state) in &mut self.limits {
            if state.give_back(now) {
                demand.push(LimitDemand {
                    key: key.clone(),
                    requests: 0,
                    tokens: TokenCount::default(),
                    refused: 0,
                    running: 0,
                    returned: true,
                });
            }
        }
        demand
    }

    /// What this entry may use of a limit now: its share while valid, and its part of the reserve.
    pub fn allowed(&self, key: &LimitKey, now: TimePoint) -> LimitShare {
        let unlimited = OrganisationLimit::default().reserve(EntryCount::new(1));
        let Some(state) = self.limits.get(key) else {
            return unlimited;
        };
        let share = if now < state.share_until {
            state.share
        } else {
            LimitShare::default()
        };
        match self.entries {
            Some(entries) if now < self.reserve_until => {
                share.combined_with(state.limit.reserve(entries))
            }
            _ => share.combined_with(state.limit.unlimited_parts()),
        }
    }

    /// Fills all buckets at the present rates, so that a higher rate counts only from now on.
    fn refill(&mut self, now: TimePoint) {
        let keys: Vec<_> = self.limits.keys().cloned().collect();
        for key in keys {
            let allowed = self.allowed(&key, now);
            if let Some(state) = self.limits.get_mut(&key) {
                state.refill(allowed, &self.settings, now);
            }
        }
    }

    /// Tokens that a request is expected to use, from the answers of its organisation.
    fn expected_tokens(&self, organisation: &OrganisationId, size: RequestSize) -> f64 {
        let ratio = self.output_ratios.get(organisation).copied().unwrap_or(1.0);
        size.prompt.get() as f64 + size.output.get() as f64 * ratio
    }

    fn learn_ratio(&mut self, reservation: &LimitReservation, served: RequestSize) {
        let largest = reservation.size.output.get();
        if largest == 0 {
            return;
        }
        let ratio = (served.output.get() as f64 / largest as f64).min(1.0);
        let known = self
            .output_ratios
            .entry(reservation.organisation.clone())
            .or_insert(1.0);
        *known += (ratio - *known) * ANSWER_SMOOTHING;
    }

    fn count_demand(&mut self, key: &LimitKey, tokens: f64, refused: bool) {
        let counter = self.demand.entry(key.clone()).or_default();
        counter.requests += 1;
        counter.tokens += tokens as u64;
        if refused {
            counter.refused += 1;
        } else {
            counter.running += 1;
        }
    }

    /// Running requests that a limit applies to.
    fn running_of(&self, key: &LimitKey) -> u64 {
        let counters = self.demand.iter().filter(|(counted, _)| {
            let service = key.service.is_none() || counted.service == key.service;
            counted.organisation == key.organisation && service
        });
        counters.map(|(_, counter)| counter.running).sum()
    }
}

impl LimitState {
    fn new(running: u64) -> Self {
        Self {
            limit: OrganisationLimit::default(),
            share: LimitShare::default(),
            share_until: TimePoint::default(),
            requests: None,
            tokens: None,
            running,
            asked: false,
            returned_at: None,
            mean_duration_ms: 0.0,
        }
    }

    /// Gives an unused share of concurrent requests back, so that another entry need not wait until
    /// it expires.
    fn give_back(&mut self, now: TimePoint) -> bool {
        let unused = !std::mem::take(&mut self.asked) && self.running == 0;
        let share = &mut self.share.concurrent;
        if !unused || *share == 0 || *share == u64::MAX {
            return false;
        }
        *share = 0;
        self.returned_at = Some(now);
        true
    }

    /// Fills the buckets at the allowed rates.
    fn refill(&mut self, allowed: LimitShare, settings: &LimiterSettings, now: TimePoint) {
        let rates = [
            (&mut self.requests, allowed.requests_per_s),
            (&mut self.tokens, allowed.tokens_per_s),
        ];
        for (bucket, rate) in rates {
            if rate.is_infinite() {
                *bucket = None;
                continue;
            }
            if let Some(bucket) = bucket {
                bucket.refill(rate, bucket_cap(rate, settings), now);
            }
        }
    }

    /// Whether a request of `tokens` is refused.
    fn check(
        &mut self,
        allowed: LimitShare,
        tokens: f64,
        settings: &LimiterSettings,
        now: TimePoint,
    ) -> Option<LimitRefusal> {
        self.refill(allowed, settings, now);
        let mut refusal = None;
        if self.running >= allowed.concurrent {
            // Requests end evenly over their duration, so one place becomes free in this time.
            let free_ms = self.mean_duration_ms / allowed.concurrent.max(1) as f64;
            let wait = match allowed.concurrent {
                0 => settings.share_interval,
                _ => Duration::from_secs_f64(free_ms / 1e3),
            };
            refusal = Some(LimitRefusal::new(LimitKind::Concurrency, wait, settings));
        }
        let rates = [
            (
                &mut self.requests,
                allowed.requests_per_s,
                1.0,
                LimitKind::Requests,
            ),
            (
                &mut self.tokens,
                allowed.tokens_per_s,
                tokens,
                LimitKind::Tokens,
            ),
        ];
        for (bucket, rate, needed, kind) in rates {
            if rate.is_infinite() {
                continue;
            }
            let bucket = bucket.get_or_insert(RateBucket {
                level: bucket_cap(rate, settings),
                updated: now,
            });
            // A request larger than the bucket waits for a full bucket and leaves it in debt.
            let missing = needed.min(bucket_cap(rate, settings)) - bucket.level;
            if missing > LEVEL_TOLERANCE || rate <= 0.0 {
                let wait = Duration::try_from_secs_f64(missing.max(0.0) / rate);
                let wait = wait.unwrap_or(settings.share_interval);
                refusal = longer(refusal, Some(LimitRefusal::new(kind, wait, settings)));
            }
        }
        refusal
    }

    fn take(&mut self, tokens: f64) {
        self.running += 1;
        if let Some(bucket) = &mut self.requests {
            bucket.level -= 1.0;
        }
        if let Some(bucket) = &mut self.tokens {
            bucket.level -= tokens;
        }
    }

    fn finish(&mut self, refund: f64, ran: bool, elapsed: Duration) {
        self.running = self.running.saturating_sub(1);
        if let Some(bucket) = &mut self.tokens {
            bucket.level += refund;
        }
        if ran {
            let difference = elapsed.as_secs_f64() * 1e3 - self.mean_duration_ms;
            self.mean_duration_ms += difference * ANSWER_SMOOTHING;
        } else if let Some(bucket) = &mut self.requests {
            bucket.level += 1.0;
        }
    }
}

impl LimitRefusal {
    fn new(kind: LimitKind, wait: Duration, settings: &LimiterSettings) -> Self {
        Self {
            kind,
            retry_after: wait.clamp(settings.min_retry_after, settings.max_retry_after),
        }
    }
}

/// Largest level of a bucket: the burst, but a rate below one request in a burst must still let
/// single requests through.
fn bucket_cap(rate: f64, settings: &LimiterSettings) -> f64 {
    (rate * settings.burst.as_secs_f64()).max(1.0)
}

/// The refusal after which a retry has to wait longer.
fn longer(one: Option<LimitRefusal>, other: Option<LimitRefusal>) -> Option<LimitRefusal> {
    let refusals = one.into_iter().chain(other);
    refusals.max_by_key(|refusal| refusal.retry_after)
}

/// Keys that apply to a request; the first names its service.
fn limit_keys(organisation: &OrganisationId, service: &ServiceId) -> [LimitKey; 2] {
    [Some(service.clone()), None].map(|service| LimitKey {
        organisation: organisation.clone(),
        service,
    })
}
