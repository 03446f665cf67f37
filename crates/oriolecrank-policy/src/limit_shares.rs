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
use crate::limit_key::{EntryCount, LimitKey, LimitShare, OrganisationLimit};
use crate::limit_ledger::{LimitLedger, ROUNDING};
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
    /// Up to this many entries, all take part in the split of each limit. With more, only those do
    /// that have demand for it, to keep messages small; the others use their part of the reserve
    /// until their next report.
    pub idle_entries: usize,
    /// Part of each limit that is divided evenly among those that take part, so that an entry
    /// without demand can begin.
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
            idle_entries: 8,
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
    pub report_number: PingNumber,
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
    pub fn for_new_cluster(settings: ShareSettings) -> Self {
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
    pub fn record_report(
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
            shares.add_demand(demand, &self.settings, now);
        }
    }

    /// Forgets the grants of concurrent requests that an entry has given back.
    fn take_back(&mut self, entry: &EntryName, key: &LimitKey) {
        let ledger = self.limits.get_mut(key);
        if let Some(shares) = ledger.and_then(|ledger| ledger.entries.get_mut(entry)) {
            shares.take_back();
        }
    }

    /// Notes that an entry has shut down. What it was granted stays counted until it expires.
    pub fn remove_entry(&mut self, entry: &EntryName) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.last_report = None;
        }
    }

    /// Shares for all live entries; called each second. Limits without a share are left out.
    pub fn allocate(&mut self, now: TimePoint) -> Vec<EntryGrant> {
        self.expire(now);
        let live = self.live_entries(now);
        let counts = self.allocate_reserve(&live, now);
        let mut grants: Vec<EntryGrant> = live
            .iter()
            .zip(counts)
            .map(|(entry, entries)| EntryGrant {
                entry: entry.clone(),
                report_number: self.entries[entry].last_number,
                entries,
                lifetime: self.settings.lifetime,
                shares: Vec::new(),
            })
            .collect();
        if now < self.shares_from {
            return grants;
        }
        for (key, ledger) in &mut self.limits {
            for (entry, share) in ledger.allocate(&live, &self.settings, now) {
                let index = live.binary_search(entry).expect("takers are live");
                grants[index].shares.push((key.clone(), share));
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
