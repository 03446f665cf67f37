//! One limit in the ledger of the control leader: demand and grants of each entry.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolecrank_schema::TimePoint;

use crate::grant_history::GrantHistory;
use crate::limit_key::{LimitShare, OrganisationLimit, RESERVE_DIVISOR};
use crate::limit_shares::{EntryDemand, EntryName, ShareSettings};

/// Differences below this come from rounding.
pub(crate) const ROUNDING: f64 = 1e-9;

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
pub(crate) struct EntryShares {
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

    pub(crate) fn is_unused(&self) -> bool {
        let grants = [&self.requests, &self.tokens, &self.concurrent];
        grants.iter().all(|history| history.is_empty()) && self.running == 0.0
    }
}

/// One limit.
#[derive(Debug, Default)]
pub(crate) struct LimitLedger {
    pub(crate) limit: OrganisationLimit,
    pub(crate) entries: BTreeMap<EntryName, EntryShares>,
}

impl EntryShares {
    /// Takes the number of running requests of a report.
    pub(crate) fn settle(
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

    pub(crate) fn expire(&mut self, silent: bool, hold: Duration, now: TimePoint) {
        self.requests.expire(now);
        self.tokens.expire(now);
        if self.concurrent.is_empty() {
            self.held_since = None;
        }
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

    /// Adds the demand of a report.
    pub(crate) fn add_demand(
        &mut self,
        demand: EntryDemand,
        settings: &ShareSettings,
        now: TimePoint,
    ) {
        self.request_demand
            .add(demand.requests as f64, settings, now);
        self.token_demand.add(demand.tokens as f64, settings, now);
    }

    /// Forgets the grants of concurrent requests, which the entry has given back.
    pub(crate) fn take_back(&mut self) {
        self.concurrent = GrantHistory::default();
        self.held_since = None;
    }

    fn wants_concurrency(&self, settings: &ShareSettings, now: TimePoint) -> bool {
        self.running > 0.0 || self.request_demand.get(settings, now) > 0.0
    }
}

impl LimitLedger {
    /// Shares of the limit for those live entries that get one. `live` is sorted.
    pub(crate) fn allocate<'a>(
        &mut self,
        live: &'a [EntryName],
        settings: &ShareSettings,
        now: TimePoint,
    ) -> Vec<(&'a EntryName, LimitShare)> {
        let takers: Vec<&EntryName> = if live.len() <= settings.idle_entries {
            live.iter().collect()
        } else {
            let wanting = self.entries.iter().filter(|(_, shares)| {
                shares.wants_concurrency(settings, now)
                    || shares.token_demand.get(settings, now) > 0.0
            });
            wanting
                .filter_map(|(entry, _)| live.binary_search(entry).ok())
                .map(|index| &live[index])
                .collect()
        };
        let shares = self.split(&takers, settings, now);
        takers.into_iter().zip(shares).collect()
    }

    fn split(
        &mut self,
        takers: &[&EntryName],
        settings: &ShareSettings,
        now: TimePoint,
    ) -> Vec<LimitShare> {
        for &entry in takers {
            if !self.entries.contains_key(entry) {
                self.entries.insert(entry.clone(), EntryShares::default());
            }
        }
        let requests = self.allocate_rate(
            takers,
            settings,
            now,
            |limit| limit.requests_per_s,
            |shares| (&mut shares.requests, shares.request_demand),
        );
        let tokens = self.allocate_rate(
            takers,
            settings,
            now,
            |limit| limit.tokens_per_s,
            |shares| (&mut shares.tokens, shares.token_demand),
        );
        let concurrent = self.allocate_concurrent(takers, settings, now);
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
        takers: &[&EntryName],
        settings: &ShareSettings,
        now: TimePoint,
        limit: impl Fn(&OrganisationLimit) -> Option<u64>,
        part: impl Fn(&mut EntryShares) -> (&mut GrantHistory, DecayingDemand),
    ) -> Vec<f64> {
        let Some(limit) = limit(&self.limit) else {
            return vec![f64::INFINITY; takers.len()];
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
        let demands: Vec<f64> = takers.iter().map(|entry| demands[entry]).collect();
        let targets = split_by_demand(pool, &demands, settings.even_part);
        let mut granted = Vec::with_capacity(takers.len());
        for (&entry, target) in takers.iter().zip(targets) {
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
        takers: &[&EntryName],
        settings: &ShareSettings,
        now: TimePoint,
    ) -> Vec<u64> {
        let Some(limit) = self.limit.concurrent else {
            return vec![u64::MAX; takers.len()];
        };
        let pool = limit - limit / RESERVE_DIVISOR;
        let until = now + settings.lifetime.mul_f64(settings.clock_factor);
        let mut in_use: f64 = self
            .entries
            .values()
            .map(EntryShares::concurrent_in_use)
            .sum();
        let targets = self.concurrent_targets(pool, takers, settings, now);
        let mut granted = Vec::with_capacity(takers.len());
        for (&entry, target) in takers.iter().zip(targets) {
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
        takers: &[&EntryName],
        settings: &ShareSettings,
        now: TimePoint,
    ) -> Vec<u64> {
        let states: Vec<&EntryShares> = takers.iter().map(|&entry| &self.entries[entry]).collect();
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
        let mut order: Vec<usize> = (0..takers.len())
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
