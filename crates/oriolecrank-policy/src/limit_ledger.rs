//! Demand and grants of each entry for one limit, as tracked by the control leader.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolecrank_schema::TimePoint;

use crate::grant_history::GrantHistory;
use crate::limit_key::{LimitShare, OrganisationLimit, RESERVE_DIVISOR};
use crate::limit_shares::{EntryDemand, EntryName, ShareSettings};

/// Differences below this are treated as rounding errors.
pub(crate) const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Demand that decays exponentially, with [`ShareSettings::demand_half_life`].
#[derive(Debug, Clone, Copy, Default)]
struct DecayingDemand {
    value: f64,
    updated: TimePoint,
}

impl DecayingDemand {
    fn get(self, settings: &ShareSettings, now: TimePoint) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        let value = self.value * (-age / settings.demand_half_life.as_secs_f64()).exp2();
        // Demand never decays to zero by itself, and any positive demand would keep competing for
        // single concurrent requests.
        if value < 0.01 { 0.0 } else { value }
    }

    fn add(&mut self, value: f64, settings: &ShareSettings, now: TimePoint) {
        self.value = self.get(settings, now) + value;
        self.updated = now;
    }
}

/// Demand and grants of one entry for one limit.
#[derive(Debug, Default)]
pub(crate) struct EntryShares {
    requests: GrantHistory,
    tokens: GrantHistory,
    /// Grants of concurrent requests that the entry may have used since its last report.
    concurrent: GrantHistory,
    /// Running requests in the last report, less those that the entry's part of the reserve covers.
    running: f64,
    /// Set if reports do not state the number of running requests: `running` is then an upper bound
    /// taken from expired grants, which counts until this time.
    running_expires: Option<TimePoint>,
    request_demand: DecayingDemand,
    token_demand: DecayingDemand,
    /// Since when the entry has had a grant of concurrent requests without interruption.
    granted_since: Option<TimePoint>,
    /// Since when the entry has had demand but no grant of concurrent requests.
    waiting_since: Option<TimePoint>,
}

impl EntryShares {
    /// Largest number of requests that the entry may be running under its shares.
    fn concurrent_in_use(&self) -> f64 {
        self.concurrent.largest().max(self.running)
    }

    pub(crate) fn is_unused(&self) -> bool {
        let grants = [&self.requests, &self.tokens, &self.concurrent];
        grants.iter().all(|history| history.is_empty()) && self.running == 0.0
    }
}

/// A limit with the demand and grants of all entries.
#[derive(Debug, Default)]
pub(crate) struct LimitLedger {
    pub(crate) limit: OrganisationLimit,
    pub(crate) entries: BTreeMap<EntryName, EntryShares>,
}

impl EntryShares {
    /// Applies the number of running requests of a report, `None` if the report does not state it.
    ///
    /// `reserve` is the number of concurrent requests that the entry's part of the reserve allows.
    pub(crate) fn record_running(
        &mut self,
        running: Option<u64>,
        reserve: u64,
        settings: &ShareSettings,
        now: TimePoint,
    ) {
        // The report may have been in transit for `report_delay`. Grants that were still valid when
        // it was sent may have been used since, so the report does not cover them.
        let earliest_send_ms = now
            .as_millis()
            .saturating_sub(settings.report_delay.as_millis() as u64);
        let largest_expired = self
            .concurrent
            .expire(TimePoint::from_millis(earliest_send_ms));
        match running {
            Some(running) => {
                self.running = running.saturating_sub(reserve) as f64;
                self.running_expires = None;
            }
            None if largest_expired > 0.0 => {
                self.running = self.running.max(largest_expired);
                self.running_expires = Some(now + settings.concurrency_timeout);
            }
            None => {}
        }
    }

    /// Removes expired grants of rates. Those of concurrent requests are removed by
    /// [`Self::record_running`], because requests may run for longer than the grant is valid.
    ///
    /// `silent` says that the entry has not reported for `concurrency_timeout`. Its running
    /// requests are then assumed to have ended, and grants of concurrent requests that expired at
    /// least `concurrency_timeout` ago are removed too.
    pub(crate) fn expire(&mut self, silent: bool, concurrency_timeout: Duration, now: TimePoint) {
        self.requests.expire(now);
        self.tokens.expire(now);
        if self.concurrent.is_empty() {
            self.granted_since = None;
        }
        if self.running_expires.is_some_and(|until| until <= now) {
            self.running = 0.0;
            self.running_expires = None;
        }
        if silent {
            let expired_before_ms = now
                .as_millis()
                .saturating_sub(concurrency_timeout.as_millis() as u64);
            self.concurrent
                .expire(TimePoint::from_millis(expired_before_ms));
            self.running = 0.0;
        }
    }

    /// Adds the demand stated in a report.
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

    /// Removes the grants of concurrent requests, which the entry has returned.
    pub(crate) fn clear_returned(&mut self) {
        self.concurrent = GrantHistory::default();
        self.granted_since = None;
    }

    fn has_concurrency_demand(&self, settings: &ShareSettings, now: TimePoint) -> bool {
        self.running > 0.0 || self.request_demand.get(settings, now) > 0.0
    }
}

impl LimitLedger {
    /// Grants shares of the limit to all live entries, or, above
    /// [`ShareSettings::full_split_max_entries`], to those with demand. `live_entries` is sorted.
    pub(crate) fn allocate<'a>(
        &mut self,
        live_entries: &'a [EntryName],
        settings: &ShareSettings,
        now: TimePoint,
    ) -> Vec<(&'a EntryName, LimitShare)> {
        let recipients: Vec<&EntryName> = if live_entries.len() <= settings.full_split_max_entries {
            live_entries.iter().collect()
        } else {
            let with_demand = self.entries.iter().filter(|(_, shares)| {
                shares.has_concurrency_demand(settings, now)
                    || shares.token_demand.get(settings, now) > 0.0
            });
            with_demand
                .filter_map(|(entry, _)| live_entries.binary_search(entry).ok())
                .map(|index| &live_entries[index])
                .collect()
        };
        let shares = self.split(&recipients, settings, now);
        recipients.into_iter().zip(shares).collect()
    }

    /// Shares for `recipients`, in their order.
    fn split(
        &mut self,
        recipients: &[&EntryName],
        settings: &ShareSettings,
        now: TimePoint,
    ) -> Vec<LimitShare> {
        for &entry in recipients {
            if !self.entries.contains_key(entry) {
                self.entries.insert(entry.clone(), EntryShares::default());
            }
        }
        let requests = self.allocate_rate(
            recipients,
            settings,
            now,
            |limit| limit.requests_per_s,
            |shares| (&mut shares.requests, shares.request_demand),
        );
        let tokens = self.allocate_rate(
            recipients,
            settings,
            now,
            |limit| limit.tokens_per_s,
            |shares| (&mut shares.tokens, shares.token_demand),
        );
        let concurrent = self.allocate_concurrent(recipients, settings, now);
        let shares = requests.into_iter().zip(tokens).zip(concurrent);
        shares
            .map(|((requests_per_s, tokens_per_s), concurrent)| LimitShare {
                requests_per_s,
                tokens_per_s,
                concurrent,
            })
            .collect()
    }

    /// Splits one of the rates by demand. `account` selects the grants and demand of the rate.
    ///
    /// A recipient gets no more than what the others cannot use, even if its target is higher.
    fn allocate_rate(
        &mut self,
        recipients: &[&EntryName],
        settings: &ShareSettings,
        now: TimePoint,
        limit: impl Fn(&OrganisationLimit) -> Option<u64>,
        account: impl Fn(&mut EntryShares) -> (&mut GrantHistory, DecayingDemand),
    ) -> Vec<f64> {
        let Some(limit) = limit(&self.limit) else {
            return vec![f64::INFINITY; recipients.len()];
        };
        let pool = limit as f64 * (1.0 - 1.0 / RESERVE_DIVISOR as f64);
        let until = now + settings.lifetime.mul_f64(settings.clock_factor);
        let mut in_use = 0.0;
        let mut demands = BTreeMap::new();
        for (entry, shares) in &mut self.entries {
            let (history, demand) = account(shares);
            in_use += history.largest();
            demands.insert(entry, demand.get(settings, now));
        }
        let demands: Vec<f64> = recipients.iter().map(|entry| demands[entry]).collect();
        let targets = split_by_demand(pool, &demands, settings.even_fraction);
        let mut granted = Vec::with_capacity(recipients.len());
        for (&entry, target) in recipients.iter().zip(targets) {
            let shares = self.entries.get_mut(entry).expect("the entry was inserted");
            let (history, _) = account(shares);
            let own_use = history.largest();
            let available = (pool - (in_use - own_use)).max(0.0);
            let share = target.min(available);
            history.add(share, until);
            in_use += history.largest() - own_use;
            granted.push(share);
        }
        granted
    }

    /// Splits the concurrent requests by demand, in whole numbers.
    fn allocate_concurrent(
        &mut self,
        recipients: &[&EntryName],
        settings: &ShareSettings,
        now: TimePoint,
    ) -> Vec<u64> {
        let Some(limit) = self.limit.concurrent else {
            return vec![u64::MAX; recipients.len()];
        };
        let pool = limit - limit / RESERVE_DIVISOR;
        let until = now + settings.lifetime.mul_f64(settings.clock_factor);
        let mut in_use: f64 = self
            .entries
            .values()
            .map(EntryShares::concurrent_in_use)
            .sum();
        let targets = self.concurrent_targets(pool, recipients, settings, now);
        let mut granted = Vec::with_capacity(recipients.len());
        for (&entry, target) in recipients.iter().zip(targets) {
            let shares = self.entries.get_mut(entry).expect("the entry was inserted");
            let own_use = shares.concurrent_in_use();
            let available = (pool as f64 - (in_use - own_use)).max(0.0);
            let share = (target as f64).min(available).floor();
            if share > 0.0 {
                shares.concurrent.add(share, until);
                shares.granted_since.get_or_insert(now);
                shares.waiting_since = None;
            } else {
                shares.granted_since = None;
                let has_demand = shares.has_concurrency_demand(settings, now);
                let since = shares.waiting_since.unwrap_or(now);
                shares.waiting_since = has_demand.then_some(since);
            }
            in_use += shares.concurrent_in_use() - own_use;
            granted.push(share as u64);
        }
        granted
    }

    /// Target of each recipient in whole requests, by the largest remainder method.
    ///
    /// Recipients whose target rounds down to zero compete for the remainder: one that has a grant
    /// keeps it for [`ShareSettings::min_tenure`], then the one that has waited longest gets it.
    fn concurrent_targets(
        &self,
        pool: u64,
        recipients: &[&EntryName],
        settings: &ShareSettings,
        now: TimePoint,
    ) -> Vec<u64> {
        let states: Vec<&EntryShares> = recipients
            .iter()
            .map(|&entry| &self.entries[entry])
            .collect();
        let demands: Vec<f64> = states
            .iter()
            .map(|shares| shares.running + shares.request_demand.get(settings, now))
            .collect();
        let ideal_shares = split_by_demand(pool as f64, &demands, settings.even_fraction);
        let mut targets: Vec<u64> = ideal_shares
            .iter()
            .map(|ideal| (ideal + ROUNDING_TOLERANCE) as u64)
            .collect();
        // The remainder goes only to entries with demand. Otherwise it stays unassigned, because a
        // grant cannot be revoked before it expires.
        let mut order: Vec<usize> = (0..recipients.len())
            .filter(|index| states[*index].has_concurrency_demand(settings, now))
            .collect();
        let priority = |index: usize| {
            let shares = states[index];
            let in_tenure = |since| now.since(since) < settings.min_tenure;
            let target_is_zero = targets[index] == 0;
            let keeps_grant = target_is_zero && shares.granted_since.is_some_and(in_tenure);
            let waiting = shares.waiting_since.filter(|_| target_is_zero);
            // Ascending: entries that keep their grant, then the longest waiting, then the others.
            (!keeps_grant, waiting.is_none(), waiting)
        };
        let remainder = |index: usize| ideal_shares[index] - targets[index] as f64;
        order.sort_by(|&first, &second| {
            let by_priority = priority(first).cmp(&priority(second));
            by_priority.then(remainder(second).total_cmp(&remainder(first)))
        });
        let unassigned = pool.saturating_sub(targets.iter().sum()) as usize;
        for index in order.into_iter().take(unassigned) {
            targets[index] += 1;
        }
        targets
    }
}

/// Divides `even_fraction` of `pool` evenly and the rest in proportion to demand. Without any
/// demand, all of it is divided evenly.
fn split_by_demand(pool: f64, demands: &[f64], even_fraction: f64) -> Vec<f64> {
    let sum: f64 = demands.iter().sum();
    let even_share = 1.0 / demands.len().max(1) as f64;
    let share = |demand: &f64| {
        if sum <= 0.0 {
            return pool * even_share;
        }
        pool * (even_fraction * even_share + (1.0 - even_fraction) * demand / sum)
    };
    demands.iter().map(share).collect()
}
