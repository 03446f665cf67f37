//! The control leader's split of each limit over the entries.
//!
//! Three quarters of a limit are handed out as shares by demand; they expire after 5 s unless they
//! are renewed. The last quarter is a reserve that the entries may use in equal parts, even while
//! they cannot reach the leader. The leader counts every grant for as long as an entry may use it,
//! whether or not the message arrives in time, and grants an entry only what the others cannot use.
//! The sum over all entries therefore never exceeds the limit; in exchange, a share moves to
//! another entry only after it has expired.
//!
//! Running requests outlive the share that admitted them, so a share of concurrent requests counts
//! until a later report of the entry shows that it is no longer used. An idle entry returns this
//! share with its report, so that small limits move between entries without waiting for expiry.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::DemandEntry;

use crate::freshness::PingNumber;
use crate::grant_history::GrantHistory;
use crate::limit_key::{EntryCount, LimitKey, LimitShare, OrganisationLimit};
use crate::limit_ledger::{LimitLedger, ROUNDING_TOLERANCE};
use crate::rate_limiter::LimitDemand;

/// Settings of the split.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareSettings {
    /// How long a share is valid.
    pub lifetime: Duration,
    /// How long an entry may use its part of the reserve; must be at least the
    /// `reserve_lifetime` of the limiter settings of the entries.
    pub reserve_lifetime: Duration,
    /// The leader counts each grant for its lifetime times this factor, because clocks may differ
    /// in rate by 10%.
    pub clock_factor: f64,
    /// An entry that has not reported for this long gets no grants.
    pub entry_timeout: Duration,
    /// Longest time that a demand report is in transit; the transport rejects older reports.
    pub report_delay: Duration,
    /// The requests of an entry that has not reported for this long are assumed to have ended.
    pub concurrency_timeout: Duration,
    /// Half-life of reported demand.
    pub demand_half_life: Duration,
    /// Up to this number of live entries, all of them get a share of each limit. With more, only
    /// those with demand for the limit do, to keep messages small; the others use their part of the
    /// reserve until they report demand.
    pub full_split_max_entries: usize,
    /// Fraction of the shares that is divided evenly, so that an entry without earlier demand can
    /// admit its first requests.
    pub even_fraction: f64,
    /// How long a grant of a single concurrent request stays with an entry while others have
    /// demand. A moved grant is unused for the lifetime of a share, so it should not move often.
    pub min_tenure: Duration,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(5),
            reserve_lifetime: Duration::from_mins(1),
            clock_factor: 1.1,
            entry_timeout: Duration::from_secs(3),
            report_delay: Duration::from_secs(2),
            concurrency_timeout: Duration::from_mins(1),
            demand_half_life: Duration::from_secs(2),
            full_split_max_entries: 8,
            even_fraction: 0.05,
            min_tenure: Duration::from_secs(30),
        }
    }
}

/// Name of an entry process. A restarted entry has a new name.
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
    /// Requests since the last report, admitted or refused.
    pub requests: u64,
    /// Expected tokens of these requests.
    pub tokens: u64,
    /// Requests running at the time of the report; `None` if the report does not state it. Its
    /// grants of concurrent requests then count for [`ShareSettings::concurrency_timeout`] longer.
    pub running: Option<u64>,
    /// The entry has returned its share of concurrent requests, including all grants before this
    /// report.
    pub share_returned: bool,
}

impl From<&LimitDemand> for EntryDemand {
    fn from(demand: &LimitDemand) -> Self {
        Self {
            requests: demand.requests,
            tokens: demand.tokens.get(),
            running: Some(demand.running),
            share_returned: demand.share_returned,
        }
    }
}

impl From<&DemandEntry> for EntryDemand {
    fn from(message: &DemandEntry) -> Self {
        Self {
            requests: message.requests,
            tokens: message.tokens,
            running: None,
            share_returned: false,
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
    /// Recipient of the shares.
    pub entry: EntryName,
    /// Newest report of the entry that the leader has received; the lifetime of the shares counts
    /// from its send time.
    pub report_number: PingNumber,
    /// Number of entries that divide the reserve; `None` if the entry keeps its last number.
    pub entries: Option<EntryCount>,
    /// How long the shares are valid.
    pub lifetime: Duration,
    /// Shares by limit; the entry has no share of limits that are missing.
    pub shares: Vec<(LimitKey, LimitShare)>,
}

/// The leader's state of one entry.
#[derive(Debug, Default)]
struct EntryState {
    /// Arrival of the newest report; `None` once the entry has shut down.
    last_report: Option<TimePoint>,
    last_number: PingNumber,
    /// Granted parts of the reserve, as fractions of it.
    reserve: GrantHistory,
    /// Last number of entries that was sent to this entry.
    entries: Option<EntryCount>,
}

/// Limits, demand and grants of all entries, held in memory by the control leader.
#[derive(Debug)]
pub struct ShareLedger {
    settings: ShareSettings,
    entries: BTreeMap<EntryName, EntryState>,
    limits: IndexMap<LimitKey, LimitLedger>,
    /// No shares are granted before this time, because those of an earlier leader may be valid.
    shares_allowed_from: TimePoint,
    /// The same for parts of the reserve.
    reserve_allowed_from: TimePoint,
}

impl ShareLedger {
    /// The ledger of a leader that was elected at `started`.
    ///
    /// The grants of the previous leader are not known, so nothing is granted until they must have
    /// expired. Meanwhile the entries use their parts of the reserve.
    pub fn new(settings: ShareSettings, started: TimePoint) -> Self {
        let shares_allowed_from = started + settings.lifetime.mul_f64(settings.clock_factor);
        let reserve_allowed_from =
            started + settings.reserve_lifetime.mul_f64(settings.clock_factor);
        Self {
            settings,
            entries: BTreeMap::new(),
            limits: IndexMap::new(),
            shares_allowed_from,
            reserve_allowed_from,
        }
    }

    /// The ledger of the first leader of a cluster. There are no earlier grants to wait for.
    pub fn for_new_cluster(settings: ShareSettings) -> Self {
        Self {
            shares_allowed_from: TimePoint::default(),
            reserve_allowed_from: TimePoint::default(),
            ..Self::new(settings, TimePoint::default())
        }
    }

    /// Replaces the limits by those of a new document. Earlier grants of limits that remain still
    /// count.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (LimitKey, OrganisationLimit)>) {
        let mut known = std::mem::take(&mut self.limits);
        for (key, limit) in limits {
            let ledger = known.swap_remove(&key).unwrap_or_default();
            self.limits.insert(key, LimitLedger { limit, ..ledger });
        }
    }

    /// Records the demand report of an entry, which also shows that the entry is alive.
    ///
    /// Reports that arrive out of order or twice are ignored: `number` must be larger than before.
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
            if demand.share_returned {
                self.clear_returned(entry, &key);
            }
            let all_services = LimitKey {
                service: None,
                ..key.clone()
            };
            // Demand always names a service; a report without one only returns a share.
            let keys = if key.service.is_some() {
                vec![key, all_services]
            } else {
                vec![key]
            };
            for key in keys {
                self.add_demand(entry, &key, demand, now);
                let total = running.entry(key).or_insert(Some(0));
                *total = total
                    .zip(demand.running)
                    .map(|(total, running)| total + running);
            }
        }
        for (key, ledger) in &mut self.limits {
            let reserve =
                entries.map_or(0, |entries| ledger.limit.reserve_share(entries).concurrent);
            if let Some(shares) = ledger.entries.get_mut(entry) {
                let running = running.get(key).copied().unwrap_or(Some(0));
                shares.record_running(running, reserve, &self.settings, now);
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

    /// Removes the grants of concurrent requests that an entry has returned.
    fn clear_returned(&mut self, entry: &EntryName, key: &LimitKey) {
        let ledger = self.limits.get_mut(key);
        if let Some(shares) = ledger.and_then(|ledger| ledger.entries.get_mut(entry)) {
            shares.clear_returned();
        }
    }

    /// Marks an entry as shut down. Its grants still count until they expire.
    pub fn remove_entry(&mut self, entry: &EntryName) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.last_report = None;
        }
    }

    /// Grants shares to all live entries. The leader calls this when reports have arrived, at most
    /// every 100 ms.
    pub fn allocate(&mut self, now: TimePoint) -> Vec<EntryGrant> {
        self.expire(now);
        let live_entries = self.live_entries(now);
        let counts = self.allocate_reserve(&live_entries, now);
        let mut grants: Vec<EntryGrant> = live_entries
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
        if now < self.shares_allowed_from {
            return grants;
        }
        for (key, ledger) in &mut self.limits {
            for (entry, share) in ledger.allocate(&live_entries, &self.settings, now) {
                let index = live_entries
                    .binary_search(entry)
                    .expect("recipients are live entries");
                grants[index].shares.push((key.clone(), share));
            }
        }
        grants
    }

    /// Entries that reported within [`ShareSettings::entry_timeout`], sorted.
    fn live_entries(&self, now: TimePoint) -> Vec<EntryName> {
        let live = self.entries.iter().filter(|(_, state)| {
            let timeout = self.settings.entry_timeout;
            state.last_report.is_some_and(|at| now.since(at) <= timeout)
        });
        live.map(|(name, _)| name.clone()).collect()
    }

    /// Removes expired grants, and entries without grants that have shut down or not reported for
    /// [`ShareSettings::concurrency_timeout`].
    fn expire(&mut self, now: TimePoint) {
        let concurrency_timeout = self.settings.concurrency_timeout;
        let silent = |state: Option<&EntryState>| {
            let last = state.and_then(|state| state.last_report);
            last.is_none_or(|at| now.since(at) >= concurrency_timeout)
        };
        for ledger in self.limits.values_mut() {
            let limit_entries = &mut ledger.entries;
            limit_entries.retain(|entry, shares| {
                let state = self.entries.get(entry);
                shares.expire(silent(state), concurrency_timeout, now);
                state.is_some_and(|state| state.last_report.is_some()) || !shares.is_unused()
            });
        }
        self.entries.retain(|_, state| {
            state.reserve.expire(now);
            let timed_out = state
                .last_report
                .is_none_or(|at| now.since(at) >= concurrency_timeout);
            !timed_out || !state.reserve.is_empty()
        });
    }

    /// Divides the reserve evenly. An entry gets a smaller part while earlier, larger parts of
    /// other entries are valid, and `None` while they leave nothing.
    fn allocate_reserve(
        &mut self,
        live_entries: &[EntryName],
        now: TimePoint,
    ) -> Vec<Option<EntryCount>> {
        if now < self.reserve_allowed_from {
            return vec![None; live_entries.len()];
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
        let mut counts = Vec::with_capacity(live_entries.len());
        for entry in live_entries {
            let state = self.entries.get_mut(entry).expect("live entries are known");
            let own_use = state.reserve.largest();
            let available = 1.0 - (in_use - own_use);
            let min_count = (1.0 / available.max(f64::MIN_POSITIVE) - ROUNDING_TOLERANCE).ceil();
            let count = min_count.max(live_entries.len() as f64);
            if count > f64::from(u32::MAX) {
                counts.push(None);
                continue;
            }
            let count = EntryCount::new(count as u32);
            state.reserve.add(1.0 / f64::from(count.get()), until);
            state.entries = Some(count);
            in_use += state.reserve.largest() - own_use;
            counts.push(Some(count));
        }
        counts
    }
}
