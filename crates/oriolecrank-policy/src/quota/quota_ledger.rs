//! The leader's account of one organisation's tokens.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;

use super::quota_spec::QuotaCapacity;

/// Time of its rate that an entry may save up.
pub const RATE_HOLD_TIME: Duration = Duration::from_secs(1);

/// Requests that a rate has to save up for; below, few requests would find its tokens.
pub const RATED_REQUESTS: f64 = 2.0;

/// What an entry holds and wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerAsk {
    /// Number of this ask; grows with each ask of a run of the entry.
    pub sequence: u64,
    /// Number of the last ask whose answer the entry has applied; 0 without one.
    pub base: u64,
    /// Tokens that the entry could still use when it sent the ask.
    pub held: u64,
    /// Tokens that it has given up, beside those that it holds.
    pub returned: u64,
    /// Tokens that it wants in addition.
    pub wanted: u64,
    /// Part of `wanted` that waiting requests lack.
    pub needed: u64,
    /// Tokens of a usual request.
    pub usual: u64,
    /// Rate at which the entry adds tokens of its own, per second.
    pub held_rate: u64,
    /// Rate that it wants instead.
    pub wanted_rate: u64,
}

/// Answer to a [`LedgerAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LedgerAnswer {
    /// The entry may use what it held for another lifetime; otherwise it drops it.
    pub renewed: bool,
    /// Tokens that the entry may use in addition, for a lifetime from the sending of its ask.
    pub granted: u64,
    /// Rate at which the entry adds tokens of its own for that time, up to [`RATE_HOLD_TIME`] of it.
    pub rate: u64,
}

/// Tokens that one entry may still use.
#[derive(Debug, Clone, Copy)]
struct EntryHolding {
    /// First ask since which the holding has been valid without interruption.
    first: u64,
    /// Newest ask that was answered.
    sequence: u64,
    /// Upper bound of what the entry could use when it asked.
    tokens: f64,
    /// What was granted since.
    granted: f64,
    /// Upper bound of the rate at which the entry adds tokens.
    rate: f64,
    /// What the entry would like to hold.
    target: f64,
    /// Rate that the entry would like to have.
    wanted_rate: f64,
    /// Not before the entry itself drops the tokens, because its lifetime begins with its ask.
    valid_until: TimePoint,
}

impl EntryHolding {
    /// Upper bound of what the entry can hold at any time until it lapses. At its own rate it adds
    /// nothing to more tokens than it may save up at that rate. It may have saved them up by the time
    /// at which the grant arrives.
    fn most(&self) -> f64 {
        let saved = self.rate * RATE_HOLD_TIME.as_secs_f64();
        self.tokens.max(saved) + self.granted
    }
}

/// Token bucket of one organisation whose tokens are granted to entries.
///
/// In any window of length `w`, the entries charge at most `rate * w + most` tokens:
///
/// - A token can be used if it is in `level`, or if an entry holds it. The sum is at most `most` at
///   all times, because `level` is cut to `most` less all holdings. It grows by `rate` only: the rates
///   of the entries are taken off that of `level`; a grant moves tokens from `level` to a holding, a
///   return moves them back. What can be used at the begin of the window and what is added within it
///   bound what is charged.
/// - A holding here is at least what its entry can use: the entry states what it holds, only its
///   newest ask counts, answers that it does not apply are lost, and it drops its tokens one lifetime
///   after it has sent its last answered ask, hence before its holding lapses here. What has lapsed
///   here is not renewed.
/// - A new leader begins with an empty `level` after the lease of its predecessor, so it adds no
///   tokens to those that entries hold. Until these have lapsed it counts `most_held`, which no
///   leader exceeds, less what entries have stated.
#[derive(Debug)]
pub struct QuotaLedger {
    capacity: QuotaCapacity,
    lifetime: Duration,
    /// Tokens that can be granted; below 0 after the quota was lowered.
    level: f64,
    refilled_at: TimePoint,
    holdings: IndexMap<u64, EntryHolding>,
    /// Tokens that entries may hold from the predecessor, and until when.
    unknown: f64,
    /// Rates that entries may have from the predecessor.
    unknown_rate: f64,
    unknown_until: TimePoint,
}

impl QuotaLedger {
    /// Empty ledger of a leader whose lease began at `led_since`.
    pub fn new(capacity: QuotaCapacity, lifetime: Duration, led_since: TimePoint) -> Self {
        Self {
            capacity,
            lifetime,
            level: 0.0,
            refilled_at: led_since,
            holdings: IndexMap::new(),
            unknown: capacity.most_held(),
            unknown_rate: capacity.most_rate(),
            unknown_until: led_since + lifetime,
        }
    }

    /// Empty ledger whose tokens no entry holds yet.
    pub fn without_predecessor(
        capacity: QuotaCapacity,
        lifetime: Duration,
        now: TimePoint,
    ) -> Self {
        Self {
            unknown: 0.0,
            unknown_rate: 0.0,
            ..Self::new(capacity, lifetime, now)
        }
    }

    /// Changes the bucket; a lower one takes effect at once for all further grants.
    pub fn set_capacity(&mut self, capacity: QuotaCapacity, now: TimePoint) {
        self.refill(now);
        self.capacity = capacity;
        self.refill(now);
    }

    /// Tokens that entries may hold.
    fn held(&self) -> f64 {
        let known: f64 = self.holdings.values().map(EntryHolding::most).sum();
        known + self.unknown
    }

    /// Sum of the rates that entries may have.
    fn given_rate(&self) -> f64 {
        let known: f64 = self.holdings.values().map(|holding| holding.rate).sum();
        known + self.unknown_rate
    }

    fn refill(&mut self, now: TimePoint) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        // Rates that have lapsed since count for all of the time.
        self.level += elapsed * (self.capacity.rate - self.given_rate()).max(0.0);
        self.holdings.retain(|_, holding| now < holding.valid_until);
        if now >= self.unknown_until {
            self.unknown = 0.0;
            self.unknown_rate = 0.0;
        }
        self.cut_level();
    }

    /// Keeps the sum of all tokens within the capacity.
    fn cut_level(&mut self) {
        self.level = self.level.min(self.capacity.most - self.held());
    }

    /// Answers an ask of the run `entry` of an entry; `None` if a newer one was answered before.
    pub fn answer(&mut self, entry: u64, ask: LedgerAsk, now: TimePoint) -> Option<LedgerAnswer> {
        self.refill(now);
        let known = self.holdings.get(&entry).copied();
        if known.is_some_and(|known| ask.sequence <= known.sequence) {
            return None;
        }
        let counted = known.map_or(0.0, |known| known.most());
        let counted_rate = known.map_or(0.0, |known| known.rate);
        let stated = ask.held as f64;
        // What the entry holds beyond what is counted for it can only be from the predecessor.
        let from_predecessor = (stated - counted).max(0.0);
        let predecessor_rate = (ask.held_rate as f64 - counted_rate).max(0.0);
        let is_unbroken = match known {
            Some(known) => known.first <= ask.base,
            None => now < self.unknown_until && ask.base > 0,
        };
        let renewed = is_unbroken
            && from_predecessor <= self.unknown
            && predecessor_rate <= self.unknown_rate;
        let mut tokens = 0.0;
        let mut first = ask.sequence;
        if renewed {
            first = known.map_or(ask.base, |known| known.first);
            tokens = stated;
            self.unknown -= from_predecessor;
            self.unknown_rate -= predecessor_rate;
            // Only what is counted can move back; tokens that were lost with an answer stay lost.
            self.level += (ask.returned as f64).min((counted - stated).max(0.0));
        }
        self.holdings.insert(
            entry,
            EntryHolding {
                first,
                sequence: ask.sequence,
                tokens,
                granted: 0.0,
                rate: if renewed { ask.held_rate as f64 } else { 0.0 },
                target: stated + ask.wanted as f64,
                wanted_rate: ask.wanted_rate as f64,
                valid_until: now + self.lifetime,
            },
        );
        self.cut_level();
        let rate = self.next_rate(entry, ask.usual);
        if let Some(holding) = self.holdings.get_mut(&entry) {
            // The entry keeps its former rate if this answer is lost.
            holding.rate = holding.rate.max(rate);
        }
        self.cut_level();
        let granted = self.next_grant(entry, &ask);
        self.level -= granted;
        if let Some(holding) = self.holdings.get_mut(&entry) {
            holding.granted += granted;
        }
        Some(LedgerAnswer {
            renewed,
            granted: granted as u64,
            rate: rate as u64,
        })
    }

    /// Rate for an entry: what it wants, at most its part of all rates by demand. An entry whose part
    /// saves up too few tokens for its usual requests gets none, because they would be lost.
    fn next_rate(&self, entry: u64, usual_cost: u64) -> f64 {
        let Some(own) = self.holdings.get(&entry) else {
            return 0.0;
        };
        let most_rate = self.capacity.most_rate();
        let wanted: f64 = self.holdings.values().map(|other| other.wanted_rate).sum();
        let part = most_rate * own.wanted_rate / wanted.max(1.0);
        let free_rate = most_rate - (self.given_rate() - own.rate);
        // What the entry saves up at the rate must fit too.
        let room = (self.capacity.most_held() - self.held()).min(self.level);
        let room_rate = own.rate + room.max(0.0) / RATE_HOLD_TIME.as_secs_f64();
        let rate = own.wanted_rate.min(part).min(free_rate).min(room_rate);
        let saved = rate * RATE_HOLD_TIME.as_secs_f64();
        if saved < RATED_REQUESTS * usual_cost as f64 {
            return 0.0;
        }
        rate.max(0.0).floor()
    }

    /// Tokens for an entry: what waiting requests lack, and what it wants beyond that as far as
    /// others do not need it. Too few for a request are not granted, because they would be scattered
    /// over entries that cannot use them.
    fn next_grant(&self, entry: u64, ask: &LedgerAsk) -> f64 {
        let Some(own) = self.holdings.get(&entry) else {
            return 0.0;
        };
        let room = (self.capacity.most_held() - self.held())
            .min(self.level)
            .max(0.0);
        let needed = ask.needed as f64;
        if needed > room {
            let is_enough = room >= needed.min(ask.usual as f64);
            return if is_enough { room.floor() } else { 0.0 };
        }
        let targets: f64 = self.holdings.values().map(|other| other.target).sum();
        let part = self.capacity.most_held() * own.target / targets.max(1.0) - own.tokens;
        let spare = room - needed;
        let more = (ask.wanted as f64 - needed).min(part - needed).min(spare);
        (needed + more.max(0.0)).floor()
    }
}
