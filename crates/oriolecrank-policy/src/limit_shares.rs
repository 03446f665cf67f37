//! The control leader's split of each limit over the entries.
//!
//! Three quarters of a limit are handed out as shares by demand; they expire after 5 s unless they
//! are renewed. The last quarter is a reserve that each entry may use in equal parts, also when it
//! hears nothing from the leader. The leader counts every grant for as long as an entry may use it,
//! including messages that are late or lost, and grants an entry only what the others cannot use.
//! The sum over all entries therefore never exceeds the limit; the price is that a share moves to
//! another entry only after it has expired.
//!
//! Concurrent requests outlive the share under which they began. A share of them counts until a
//! later report of the entry shows that it is no longer used. An idle entry gives its share of them
//! back with its report, so that small limits move between entries without waiting for expiry.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::DemandEntry;

use crate::freshness::PingNumber;
use crate::grant_history::GrantHistory;
use crate::limit_key::{EntryCount, LimitKey, LimitShare, OrganisationLimit, RESERVE_DIVISOR};
use crate::rate_limiter::LimitDemand;

/// Rules of the split.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareSettings {
    /// Validity of a share.
    pub lifetime: Duration,
    /// Validity of a part of the reserve; at least the value at the entries.
    pub reserve_lifetime: Duration,
    /// The leader counts each grant this many times as long as it is valid, because clocks may
    /// differ in rate by 10%.
    pub clock_factor: f64,
    /// An entry that has not reported for this long gets no grants.
    pub entry_timeout: Duration,
    /// Longest time that a demand report takes; older ones are refused by the transport.
    pub report_delay: Duration,
    /// Concurrent requests of an entry that has not reported for this long are taken as ended.
    pub concurrency_hold: Duration,
    /// Time after which demand counts half.
    pub demand_half_life: Duration,
    /// Part of each limit that is divided evenly, so that an entry without demand can begin.
    pub even_part: f64,
    /// How long a single concurrent request stays with an entry while others want it. Moving it
    /// leaves it unused for the lifetime of a share, so it is not moved often.
    pub tenure: Duration,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(5),
            reserve_lifetime: Duration::from_mins(1),
            clock_factor: 1.1,
            entry_timeout: Duration::from_secs(3),
            report_delay: Duration::from_secs(2),
            concurrency_hold: Duration::from_mins(1),
            demand_half_life: Duration::from_secs(2),
            even_part: 0.05,
            tenure: Duration::from_secs(30),
        }
    }
}

/// Name of an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryName(String);

impl From<String> for EntryName {
    fn from(name: String) -> Self {
        Self(name)
    }
}

impl AsRef<str> for EntryName {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

/// Demand of one entry for one limit since its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EntryDemand {
    /// Requests, admitted or not.
    pub requests: u64,
    /// Tokens of these requests.
    pub tokens: u64,
    /// Requests that run; `None` if the entry does not say. Then its shares of concurrent requests
    /// count for [`ShareSettings::concurrency_hold`].
    pub running: Option<u64>,
    /// The entry uses no shares of concurrent requests that it was granted before this report.
    pub returned: bool,
}

impl From<&LimitDemand> for EntryDemand {
    fn from(demand: &LimitDemand) -> Self {
        Self {
            requests: demand.requests,
            tokens: demand.tokens.get(),
            running: Some(demand.running),
            returned: demand.returned,
        }
    }
}

impl From<&DemandEntry> for EntryDemand {
    fn from(message: &DemandEntry) -> Self {
        Self {
            requests: message.requests,
            tokens: message.tokens,
            running: None,
            returned: false,
        }
    }
}

impl From<&DemandEntry> for LimitKey {
    fn from(message: &DemandEntry) -> Self {
        Self {
            organisation: message.organisation.clone().into(),
            service: Some(message.service.clone()),
        }
    }
}

/// Shares for one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryGrant {
    /// Entry.
    pub entry: EntryName,
    /// Newest report of the entry that the leader has; the shares are valid from its send time on.
    pub report: PingNumber,
    /// Number of entries that divide the reserve; `None` leaves the entry's number as it is.
    pub entries: Option<EntryCount>,
    /// Validity of the shares.
    pub lifetime: Duration,
    /// Shares.
    pub shares: Vec<(LimitKey, LimitShare)>,
}

/// What is known of one entry.
#[derive(Debug, Default)]
struct EntryState {
    last_report: Option<TimePoint>,
    last_number: PingNumber,
    /// Parts of the reserve.
    reserve: GrantHistory,
    /// Number that the entry was told last.
    entries: Option<EntryCount>,
}

/// Demand that decays with time.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingDemand {
    value: f64,
    updated: TimePoint,
}

impl DecayingDemand {
    fn get(self, settings: &ShareSettings, now: TimePoint) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        let value = self.value * (-age / settings.demand_half_life.as_secs_f64()).exp2();
        // Demand of long ago would otherwise compete for single concurrent requests for ever.
        if value < 0.01 { 0.0 } else { value }
    }

    fn add(&mut self, value: f64, settings: &ShareSettings, now: TimePoint) {
        self.value = self.get(settings, now) + value;
        self.updated = now;
    }
}

/// Shares of one limit at one entry.
#[derive(Debug, Default)]
struct EntryShares {
    requests: GrantHistory,
    tokens: GrantHistory,
    /// Grants of concurrent requests that no report has settled.
    concurrent: GrantHistory,
    /// Concurrent requests that the last report showed, without those that the reserve allows.
    running: f64,
    /// Until when `running` counts if the entry does not say how many requests run.
    running_until: Option<TimePoint>,
    request_demand: DecayingDemand,
    token_demand: DecayingDemand,
    /// Since when the entry holds concurrent requests without interruption.
    held_since: Option<TimePoint>,
    /// Since when it wants one and has none.
    waiting_since: Option<TimePoint>,
}

impl EntryShares {
    /// Concurrent requests that the entry may run under its shares.
    fn concurrent_in_use(&self) -> f64 {
        self.concurrent.largest().max(self.running)
    }

    fn is_unused(&self) -> bool {
        let grants = [&self.requests, &self.tokens, &self.concurrent];
        grants.iter().all(|history| history.is_empty()) && self.running == 0.0
    }
}

/// One limit.
#[derive(Debug, Default)]
struct LimitLedger {
    limit: OrganisationLimit,
    entries: BTreeMap<EntryName, EntryShares>,
}

/// Limits, demand and grants; in the memory of the control leader.
#[derive(Debug)]
pub struct ShareLedger {
    settings: ShareSettings,
    entries: BTreeMap<EntryName, EntryState>,
    limits: IndexMap<LimitKey, LimitLedger>,
    /// Grants of an earlier leader may be valid until then.
    shares_from: TimePoint,
    reserves_from: TimePoint,
}

impl ShareLedger {
    /// A ledger of a leader that was elected at `started`.
    ///
    /// The grants of the leader before it are not known, so it grants nothing until they have
    /// expired; entries use their parts of the reserve meanwhile.
    pub fn new(settings: ShareSettings, started: TimePoint) -> Self {
        let shares_from = started + settings.lifetime.mul_f64(settings.clock_factor);
        let reserves_from = started + settings.reserve_lifetime.mul_f64(settings.clock_factor);
        Self {
            settings,
            entries: BTreeMap::new(),
            limits: IndexMap::new(),
            shares_from,
            reserves_from,
        }
    }

    /// A ledger of a cluster that has never had a leader; grants begin at once.
    pub fn first(settings: ShareSettings) -> Self {
        Self {
            shares_from: TimePoint::default(),
            reserves_from: TimePoint::default(),
            ..Self::new(settings, TimePoint::default())
        }
    }

    /// Replaces the limits by those of a new document. Grants stay counted.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (LimitKey, OrganisationLimit)>) {
        let mut known = std::mem::take(&mut self.limits);
        for (key, limit) in limits {
            let ledger = known.swap_remove(&key).unwrap_or_default();
            self.limits.insert(key, LimitLedger { limit, ..ledger });
        }
    }

    /// Takes the demand report of an entry, which also shows that the entry is alive.
    ///
    /// A report that is older than one that was taken before has no effect.
    pub fn report(
        &mut self,
        entry: &EntryName,
        number: PingNumber,
        demand: impl IntoIterator<Item = (LimitKey, EntryDemand)>,
        now: TimePoint,
    ) {
        let state = self.entries.entry(entry.clone()).or_default();
        if number <= state.last_number {
            return;
        }
        state.last_report = Some(now);
        state.last_number = number;
        let entries = state.entries;
        let mut running: BTreeMap<LimitKey, Option<u64>> = BTreeMap::new();
        for (key, demand) in demand {
            if demand.returned {
                self.take_back(entry, &key);
            }
            let all_services = LimitKey {
                service: None,
                ..key.clone()
            };
            // A report for all services together only gives back.
            let keys = if key.service.is_some() {
                vec![key, all_services]
            } else {
                vec![key]
            };
            for key in keys {
                self.add_demand(entry, &key, demand, now);
                let sum = running.entry(key).or_insert(Some(0));
                *sum = sum.zip(demand.running).map(|(sum, more)| sum + more);
            }
        }
        for (key, ledger) in &mut self.limits {
            let reserve = entries.map_or(0, |entries| ledger.limit.reserve(entries).concurrent);
            if let Some(shares) = ledger.entries.get_mut(entry) {
                let running = running.get(key).copied().unwrap_or(Some(0));
                shares.settle(running, reserve, &self.settings, now);
            }
        }
    }

    fn add_demand(
        &mut self,
        entry: &EntryName,
        key: &LimitKey,
        demand: EntryDemand,
        now: TimePoint,
    ) {
        if let Some(ledger) = self.limits.get_mut(key) {
            let shares = ledger.entries.entry(entry.clone()).or_default();
            let settings = &self.settings;
            shares
                .request_demand
                .add(demand.requests as f64, settings, now);
            shares.token_demand.add(demand.tokens as f64, settings, now);
        }
    }

    /// Forgets the grants of concurrent requests that an entry has given back.
    fn take_back(&mut self, entry: &EntryName, key: &LimitKey) {
        let ledger = self.limits.get_mut(key);
        if let Some(shares) = ledger.and_then(|ledger| ledger.entries.get_mut(entry)) {
            shares.concurrent = GrantHistory::default();
            shares.held_since = None;
        }
    }

    /// Notes that an entry has shut down. What it was granted stays counted until it expires.
    pub fn remove_entry(&mut self, entry: &EntryName) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.last_report = None;
        }
    }

    /// Shares for all live entries; called each second.
    pub fn allocate(&mut self, now: TimePoint) -> Vec<EntryGrant> {
        self.expire(now);
        let live = self.live_entries(now);
        let counts = self.allocate_reserve(&live, now);
        let mut grants: Vec<EntryGrant> = live
            .iter()
            .zip(counts)
            .map(|(entry, entries)| EntryGrant {
                entry: entry.clone(),
                report: self.entries[entry].last_number,
                entries,
                lifetime: self.settings.lifetime,
                shares: Vec::with_capacity(self.limits.len()),
            })
            .collect();
        if now < self.shares_from {
            return grants;
        }
        for (key, ledger) in &mut self.limits {
            let shares = ledger.allocate(&live, &self.settings, now);
            for (grant, share) in grants.iter_mut().zip(shares) {
                grant.shares.push((key.clone(), share));
            }
        }
        grants
    }

    fn live_entries(&self, now: TimePoint) -> Vec<EntryName> {
        let live = self.entries.iter().filter(|(_, state)| {
            let timeout = self.settings.entry_timeout;
            state.last_report.is_some_and(|at| now.since(at) <= timeout)
        });
        live.map(|(name, _)| name.clone()).collect()
    }

    fn expire(&mut self, now: TimePoint) {
        let hold = self.settings.concurrency_hold;
        let silent = |state: Option<&EntryState>| {
            let last = state.and_then(|state| state.last_report);
            last.is_none_or(|at| now.since(at) >= hold)
        };
        for ledger in self.limits.values_mut() {
            let limit_entries = &mut ledger.entries;
            limit_entries.retain(|entry, shares| {
                let state = self.entries.get(entry);
                shares.expire(silent(state), hold, now);
                state.is_some_and(|state| state.last_report.is_some()) || !shares.is_unused()
            });
        }
        self.entries.retain(|_, state| {
            state.reserve.expire(now);
            let gone = state.last_report.is_none_or(|at| now.since(at) >= hold);
            !gone || !state.reserve.is_empty()
        });
    }

    /// Divides the reserve evenly, as far as the parts of other entries have expired.
    fn allocate_reserve(&mut self, live: &[EntryName], now: TimePoint) -> Vec<Option<EntryCount>> {
        if now < self.reserves_from {
            return vec![None; live.len()];
        }
        let until = now
            + self
                .settings
                .reserve_lifetime
                .mul_f64(self.settings.clock_factor);
        let mut in_use: f64 = self
            .entries
            .values()
            .map(|state| state.reserve.largest())
            .sum();
        let mut counts = Vec::with_capacity(live.len());
        for entry in live {
            let state = self.entries.get_mut(entry).expect("live entries are known");
            let own = state.reserve.largest();
            let available = 1.0 - (in_use - own);
            let least = (1.0 / available.max(f64::MIN_POSITIVE) - ROUNDING).ceil();
            let count = least.max(live.len() as f64);
            if count > f64::from(u32::MAX) {
                counts.push(None);
                continue;
            }
            let count = EntryCount::new(count as u32);
            state.reserve.add(1.0 / f64::from(count.get()), until);
            state.entries = Some(count);
            in_use += state.reserve.largest() - own;
            counts.push(Some(count));
        }
        counts
    }
}

/// Differences below this come from rounding.
const ROUNDING: f64 = 1e-9;

impl EntryShares {
    /// Takes the number of running requests of a report.
    fn settle(
        &mut self,
        running: Option<u64>,
        reserve: u64,
        settings: &ShareSettings,
        now: TimePoint,
    ) {
        // The report may have been under way for as long as this; a grant that was valid when it was
        // sent may have been used since.
        let sent_after = now
            .as_millis()
            .saturating_sub(settings.report_delay.as_millis() as u64);
        let settled = self.concurrent.expire(TimePoint::from_millis(sent_after));
        match running {
            Some(running) => {
                self.running = running.saturating_sub(reserve) as f64;
                self.running_until = None;
            }
            None if settled > 0.0 => {
                self.running = self.running.max(settled);
                self.running_until = Some(now + settings.concurrency_hold);
            }
            None => {}
        }
    }

    fn expire(&mut self, silent: bool, hold: Duration, now: TimePoint) {
        self.requests.expire(now);
        self.tokens.expire(now);
        if self.running_until.is_some_and(|until| until <= now) {
            self.running = 0.0;
            self.running_until = None;
        }
        if silent {
            let ended = now.as_millis().saturating_sub(hold.as_millis() as u64);
            self.concurrent.expire(TimePoint::from_millis(ended));
            self.running = 0.0;
        }
    }

    fn wants_concurrency(&self, settings: &ShareSettings, now: TimePoint) -> bool {
        self.running > 0.0 || self.request_demand.get(settings, now) > 0.0
    }
}

impl LimitLedger {
    /// Shares of the limit for each live entry.
    fn allocate(
        &mut self,
        live: &[EntryName],
        settings: &ShareSettings,
        now: TimePoint,
    ) -> Vec<LimitShare> {
        for entry in live {
            if !self.entries.contains_key(entry) {
                self.entries.insert(entry.clone(), EntryShares::default());
            }
        }
        let requests = self.allocate_rate(
            live,
            settings,
            now,
            |limit| limit.requests_per_s,
            |shares| (&mut shares.requests, shares.request_demand),
        );
        let tokens = self.allocate_rate(
            live,
            settings,
            now,
            |limit| limit.tokens_per_s,
            |shares| (&mut shares.tokens, shares.token_demand),
        );
        let concurrent = self.allocate_concurrent(live, settings, now);
        let shares = requests.into_iter().zip(tokens).zip(concurrent);
        shares
            .map(|((requests_per_s, tokens_per_s), concurrent)| LimitShare {
                requests_per_s,
                tokens_per_s,
                concurrent,
            })
            .collect()
    }

    /// Splits a rate by demand.
    fn allocate_rate(
        &mut self,
        live: &[EntryName],
        settings: &ShareSettings,
        now: TimePoint,
        limit: impl Fn(&OrganisationLimit) -> Option<u64>,
        part: impl Fn(&mut EntryShares) -> (&mut GrantHistory, DecayingDemand),
    ) -> Vec<f64> {
        let Some(limit) = limit(&self.limit) else {
            return vec![f64::INFINITY; live.len()];
        };
        let pool = limit as f64 * (1.0 - 1.0 / RESERVE_DIVISOR as f64);
        let until = now + settings.lifetime.mul_f64(settings.clock_factor);
        let mut in_use = 0.0;
        let mut demands = BTreeMap::new();
        for (entry, shares) in &mut self.entries {
            let (history, demand) = part(shares);
            in_use += history.largest();
            demands.insert(entry, demand.get(settings, now));
        }
        let demands: Vec<f64> = live.iter().map(|entry| demands[entry]).collect();
        let targets = split_by_demand(pool, &demands, settings.even_part);
        let mut granted = Vec::with_capacity(live.len());
        for (entry, target) in live.iter().zip(targets) {
            let shares = self.entries.get_mut(entry).expect("the entry was inserted");
            let (history, _) = part(shares);
            let own = history.largest();
            let available = (pool - (in_use - own)).max(0.0);
            let share = target.min(available);
            history.add(share, until);
            in_use += history.largest() - own;
            granted.push(share);
        }
        granted
    }

    /// Splits whole concurrent requests by demand.
    fn allocate_concurrent(
        &mut self,
        live: &[EntryName],
        settings: &ShareSettings,
        now: TimePoint,
    ) -> Vec<u64> {
        let Some(limit) = self.limit.concurrent else {
            return vec![u64::MAX; live.len()];
        };
        let pool = limit - limit / RESERVE_DIVISOR;
        let until = now + settings.lifetime.mul_f64(settings.clock_factor);
        let mut in_use: f64 = self
            .entries
            .values()
            .map(EntryShares::concurrent_in_use)
            .sum();
        let targets = self.concurrent_targets(pool, live, settings, now);
        let mut granted = Vec::with_capacity(live.len());
        for (entry, target) in live.iter().zip(targets) {
            let shares = self.entries.get_mut(entry).expect("the entry was inserted");
            let own = shares.concurrent_in_use();
            let available = (pool as f64 - (in_use - own)).max(0.0);
            let share = (target as f64).min(available).floor();
            if share > 0.0 {
                shares.concurrent.add(share, until);
                shares.held_since.get_or_insert(now);
                shares.waiting_since = None;
            } else {
                shares.held_since = None;
                let wants = shares.wants_concurrency(settings, now);
                let since = shares.waiting_since.unwrap_or(now);
                shares.waiting_since = wants.then_some(since);
            }
            in_use += shares.concurrent_in_use() - own;
            granted.push(share as u64);
        }
        granted
    }

    /// Whole targets by largest remainder. If there are fewer requests than entries that want one,
    /// an entry keeps its request for the tenure, and then the one that has waited longest gets it.
    fn concurrent_targets(
        &self,
        pool: u64,
        live: &[EntryName],
        settings: &ShareSettings,
        now: TimePoint,
    ) -> Vec<u64> {
        let states: Vec<&EntryShares> = live.iter().map(|entry| &self.entries[entry]).collect();
        let demands: Vec<f64> = states
            .iter()
            .map(|shares| shares.running + shares.request_demand.get(settings, now))
            .collect();
        let ideal = split_by_demand(pool as f64, &demands, settings.even_part);
        let mut targets: Vec<u64> = ideal
            .iter()
            .map(|ideal| (ideal + ROUNDING) as u64)
            .collect();
        // What is left over stays with the leader unless somebody wants it, because it could not be
        // taken back quickly.
        let mut order: Vec<usize> = (0..live.len())
            .filter(|index| states[*index].wants_concurrency(settings, now))
            .collect();
        let rank = |index: usize| {
            let shares = states[index];
            let tenure = |since| now.since(since) < settings.tenure;
            let without = targets[index] == 0;
            let keeps = without && shares.held_since.is_some_and(tenure);
            let waiting = shares.waiting_since.filter(|_| without);
            // Ascending: entries that keep theirs, then the longest waiting, then the others.
            (!keeps, waiting.is_none(), waiting)
        };
        let remainder = |index: usize| ideal[index] - targets[index] as f64;
        order.sort_by(|&one, &other| {
            let ranks = rank(one).cmp(&rank(other));
            ranks.then(remainder(other).total_cmp(&remainder(one)))
        });
        let rest = pool.saturating_sub(targets.iter().sum()) as usize;
        for index in order.into_iter().take(rest) {
            targets[index] += 1;
        }
        targets
    }
}

/// Splits `pool` in proportion to demand, after `even_part` of it was divided evenly. Without any
/// demand everything is divided evenly.
fn split_by_demand(pool: f64, demands: &[f64], even_part: f64) -> Vec<f64> {
    let sum: f64 = demands.iter().sum();
    let even = 1.0 / demands.len().max(1) as f64;
    let part = |demand: &f64| {
        if sum <= 0.0 {
            return pool * even;
        }
        pool * (even_part * even + (1.0 - even_part) * demand / sum)
    };
    demands.iter().map(part).collect()
}
