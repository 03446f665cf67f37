//! Enforcement of request, token and concurrency limits at one entry.
//!
//! For each limit, an entry may use its share, until that expires, plus its part of the reserve.
//! Rates are enforced by token buckets: a request is charged the tokens it is expected to use, and
//! the charge is corrected by the tokens actually used when the answer has ended.

use std::collections::HashMap;
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::{OrganisationId, ServiceId};
use snafu::Snafu;

use crate::TokenCount;
use crate::limit_key::{EntryCount, LimitKey, LimitShare, OrganisationLimit, RequestSize};

/// Settings of the limiter.
#[derive(Debug, Clone, PartialEq)]
pub struct LimiterSettings {
    /// Capacity of a rate bucket, as the time that it takes to fill at the allowed rate.
    pub burst: Duration,
    /// How long this entry's part of the reserve stays valid after the control leader last sent the
    /// number of entries. The leader counts the part as used for as long.
    pub reserve_lifetime: Duration,
    /// Retry delay suggested when none can be calculated because the allowed rate or concurrency is
    /// zero: the interval at which shares are renewed.
    pub share_interval: Duration,
    /// Shortest suggested retry delay.
    pub min_retry_after: Duration,
    /// Longest suggested retry delay.
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

/// Largest shortfall of a bucket with which a request is still admitted, because refills have
/// rounding errors.
const LEVEL_TOLERANCE: f64 = 1e-9;

/// Weight of the newest answer in the moving averages of output ratio and duration.
const ANSWER_SMOOTHING: f64 = 0.1;

/// Kind of the limit that a request exceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Tokens per second.
    Tokens,
    /// Concurrent requests.
    Concurrency,
}

/// Refusal of a request that exceeds a limit. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the request exceeds a rate or concurrency limit of its organisation"))]
pub struct LimitRefusal {
    /// Kind of the limit with the longest wait.
    pub kind: LimitKind,
    /// Suggested delay before a retry.
    pub retry_after: Duration,
}

/// Concurrency and tokens charged for a running request; released by [`RateLimiter::finish`].
#[derive(Debug, PartialEq)]
#[must_use = "the concurrency stays taken until the reservation is finished"]
pub struct LimitReservation {
    organisation: OrganisationId,
    service: ServiceId,
    size: RequestSize,
    /// Tokens charged at the start.
    tokens: f64,
    reserved_at: TimePoint,
}

/// Demand of one organisation for one service since the last report.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitDemand {
    /// Organisation and service; without a service, the item only returns a share.
    pub key: LimitKey,
    /// Requests since the last report, admitted or refused.
    pub requests: u64,
    /// Expected tokens of these requests.
    pub tokens: TokenCount,
    /// Requests refused since the last report because a limit was exceeded.
    pub refused: u64,
    /// Requests running at the time of the report.
    pub running: u64,
    /// This entry runs no requests under the limit and returns its share of concurrent requests. It
    /// ignores any such share that was granted before the control leader received this report.
    pub share_returned: bool,
}

/// A token bucket. The level is negative if requests used more than was available.
#[derive(Debug, Clone)]
struct RateBucket {
    level: f64,
    updated: TimePoint,
}

impl RateBucket {
    /// Adds `rate` per second since the last refill, up to a level of `cap`.
    fn refill(&mut self, rate: f64, cap: f64, now: TimePoint) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.level = (self.level + rate * elapsed).min(cap);
        self.updated = self.updated.max(now);
    }
}

/// State of one limit at this entry.
#[derive(Debug)]
struct LimitState {
    limit: OrganisationLimit,
    share: LimitShare,
    /// End of the validity of `share`.
    share_until: TimePoint,
    /// `None` until the first request creates a full bucket, and while the rate is unlimited.
    requests: Option<RateBucket>,
    tokens: Option<RateBucket>,
    running: u64,
    /// Whether any request was checked against the limit since the last demand report.
    requested: bool,
    /// When the share of concurrent requests was last returned to the control leader.
    returned_at: Option<TimePoint>,
    /// Moving average over finished requests.
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

/// Limiter of one entry.
#[derive(Debug)]
pub struct RateLimiter {
    settings: LimiterSettings,
    limits: HashMap<LimitKey, LimitState>,
    /// Number of entries that divide the reserve, as last received from the control leader.
    entries: Option<EntryCount>,
    reserve_until: TimePoint,
    /// By organisation and service; keys always name a service.
    demand: HashMap<LimitKey, DemandCounter>,
    /// Moving average of actual to largest allowed output tokens of each organisation's answers,
    /// between 0 and 1.
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
            let running = self.running_under(&key);
            let state = known
                .remove(&key)
                .unwrap_or_else(|| LimitState::new(running));
            self.limits.insert(key, LimitState { limit, ..state });
        }
    }

    /// Replaces this entry's shares. Without `entries`, its part of the reserve is not changed.
    ///
    /// `as_of` is the time at which this entry sent the newest demand report that the leader had
    /// received when it granted the shares. If their `lifetime` counted from the arrival instead, a
    /// delayed message could keep a share valid for longer than the leader accounts for.
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
                let share_returned = state.returned_at.is_some_and(|at| as_of < at);
                if share_returned && share.concurrent != u64::MAX {
                    state.share.concurrent = 0;
                }
            }
        }
    }

    /// Charges a request to all limits that apply to it, or refuses it and charges none.
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
                state.requested = true;
                let refused = state.check(allowed, tokens, &self.settings, now);
                refusal = longer_wait(refusal, refused);
            }
        }
        self.count_demand(&keys[0], tokens, refusal.is_some());
        if let Some(refusal) = refusal {
            return Err(refusal);
        }
        for key in &keys {
            if let Some(state) = self.limits.get_mut(key) {
                state.charge(tokens);
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

    /// Releases a reservation and corrects its charge. `served` holds the tokens actually used,
    /// `None` if the request did not run.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a reservation is finished only once"
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
            self.update_output_ratio(&reservation, served);
        }
        let used_tokens = served.map_or(0, |served| (served.prompt + served.output).get());
        let refund = reservation.tokens - used_tokens as f64;
        let elapsed = now.since(reservation.reserved_at);
        for key in &keys {
            if let Some(state) = self.limits.get_mut(key) {
                state.finish(refund, served.is_some(), elapsed);
            }
        }
    }

    /// Collects the demand since the last call and returns unused shares of concurrent requests.
    /// The caller sends the result to the control leader at `now`.
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
                share_returned: false,
            });
        }
        for item in &demand {
            if let Some(counter) = self.demand.get_mut(&item.key) {
                counter.running = item.running;
            }
        }
        self.demand.retain(|_, counter| counter.running > 0);
        for (key, state) in &mut self.limits {
            if state.return_unused_share(now) {
                demand.push(LimitDemand {
                    key: key.clone(),
                    requests: 0,
                    tokens: TokenCount::default(),
                    refused: 0,
                    running: 0,
                    share_returned: true,
                });
            }
        }
        demand
    }

    /// The rates and concurrency that this entry may use of a limit at `now`: its share until that
    /// expires, plus its part of the reserve. Unlimited if there is no limit with this key.
    pub fn allowed(&self, key: &LimitKey, now: TimePoint) -> LimitShare {
        let unlimited = OrganisationLimit::default().reserve_share(EntryCount::new(1));
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
                share.combined_with(state.limit.reserve_share(entries))
            }
            _ => share.combined_with(state.limit.unlimited_dimensions()),
        }
    }

    /// Refills all buckets at the rates that applied until `now`, before the rates change.
    fn refill(&mut self, now: TimePoint) {
        let keys: Vec<_> = self.limits.keys().cloned().collect();
        for key in keys {
            let allowed = self.allowed(&key, now);
            if let Some(state) = self.limits.get_mut(&key) {
                state.refill(allowed, &self.settings, now);
            }
        }
    }

    /// Tokens that a request is expected to use, estimated from earlier answers to its
    /// organisation.
    fn expected_tokens(&self, organisation: &OrganisationId, size: RequestSize) -> f64 {
        let ratio = self.output_ratios.get(organisation).copied().unwrap_or(1.0);
        size.prompt.get() as f64 + size.output.get() as f64 * ratio
    }

    fn update_output_ratio(&mut self, reservation: &LimitReservation, served: RequestSize) {
        let max_output = reservation.size.output.get();
        if max_output == 0 {
            return;
        }
        let ratio = (served.output.get() as f64 / max_output as f64).min(1.0);
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

    /// Number of running requests that the limit with this key applies to.
    fn running_under(&self, key: &LimitKey) -> u64 {
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
            requested: false,
            returned_at: None,
            mean_duration_ms: 0.0,
        }
    }

    /// Gives up an unused share of concurrent requests, so that the control leader can grant it to
    /// another entry before it expires. Returns whether there was one.
    fn return_unused_share(&mut self, now: TimePoint) -> bool {
        let unused = !std::mem::take(&mut self.requested) && self.running == 0;
        let share = &mut self.share.concurrent;
        if !unused || *share == 0 || *share == u64::MAX {
            return false;
        }
        *share = 0;
        self.returned_at = Some(now);
        true
    }

    /// Refills the buckets at the allowed rates and removes those of unlimited rates.
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

    /// Returns the refusal if a request with `tokens` expected tokens exceeds the limit.
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
            // Assumes that running requests end at even intervals over the mean duration.
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
            // A request larger than the bucket needs a full bucket and leaves a negative level.
            let missing = needed.min(bucket_cap(rate, settings)) - bucket.level;
            if missing > LEVEL_TOLERANCE || rate <= 0.0 {
                let wait = Duration::try_from_secs_f64(missing.max(0.0) / rate);
                let wait = wait.unwrap_or(settings.share_interval);
                refusal = longer_wait(refusal, Some(LimitRefusal::new(kind, wait, settings)));
            }
        }
        refusal
    }

    fn charge(&mut self, tokens: f64) {
        self.running += 1;
        if let Some(bucket) = &mut self.requests {
            bucket.level -= 1.0;
        }
        if let Some(bucket) = &mut self.tokens {
            bucket.level -= tokens;
        }
    }

    /// Ends a request; `refund` is negative if it used more tokens than it was charged.
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

/// Largest level of a bucket: the burst, but at least 1, so that very low rates still admit single
/// requests.
fn bucket_cap(rate: f64, settings: &LimiterSettings) -> f64 {
    (rate * settings.burst.as_secs_f64()).max(1.0)
}

/// The refusal with the longer suggested delay.
fn longer_wait(first: Option<LimitRefusal>, second: Option<LimitRefusal>) -> Option<LimitRefusal> {
    let refusals = first.into_iter().chain(second);
    refusals.max_by_key(|refusal| refusal.retry_after)
}

/// Keys of the limits that apply to a request: of its service, then of all services.
fn limit_keys(organisation: &OrganisationId, service: &ServiceId) -> [LimitKey; 2] {
    [Some(service.clone()), None].map(|service| LimitKey {
        organisation: organisation.clone(),
        service,
    })
}
