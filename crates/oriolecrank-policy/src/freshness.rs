//! Freshness lease of an entry's configuration.
//!
//! A confirmation of ping `n` shows that the state was current when the entry sent ping `n`. Only
//! the entry's own clock is used, so clocks of two machines are never compared.

use std::collections::VecDeque;
use std::time::Duration;

use oriolecrank_schema::TimePoint;

/// Times of the freshness lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreshnessSettings {
    /// Keyed work is refused when the newest confirmed send time is older than this.
    pub lease: Duration,
    /// Time between pings.
    pub ping_interval: Duration,
    /// Pings whose send times are remembered; older ones could no longer extend the lease.
    pub remembered_pings: usize,
}

impl Default for FreshnessSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            ping_interval: Duration::from_secs(1),
            remembered_pings: 16,
        }
    }
}

/// Number of a ping; grows over the life of the process, also over new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct PingNumber(u64);

impl From<u64> for PingNumber {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl From<PingNumber> for u64 {
    fn from(number: PingNumber) -> Self {
        number.0
    }
}

/// Tracks pings and confirmations.
#[derive(Debug, Clone)]
pub struct FreshnessLease {
    settings: FreshnessSettings,
    /// Latest pings and their send times, in the order of their numbers.
    sent: VecDeque<(PingNumber, TimePoint)>,
    last_number: PingNumber,
    last_sent: Option<TimePoint>,
    /// Newest confirmed ping and its send time; never falls.
    confirmed: Option<(PingNumber, TimePoint)>,
}

impl FreshnessLease {
    /// A lease that is not valid until the first confirmation.
    pub fn new(settings: FreshnessSettings) -> Self {
        Self {
            settings,
            sent: VecDeque::new(),
            last_number: PingNumber(0),
            last_sent: None,
            confirmed: None,
        }
    }

    /// Number of the ping to send now; `None` until the interval has passed.
    ///
    /// The message must be written after this call, never before.
    pub fn next_ping(&mut self, now: TimePoint) -> Option<PingNumber> {
        let waiting = |sent| now < sent + self.settings.ping_interval;
        if self.last_sent.is_some_and(waiting) {
            return None;
        }
        self.last_number.0 += 1;
        self.last_sent = Some(now);
        self.sent.push_back((self.last_number, now));
        if self.sent.len() > self.settings.remembered_pings {
            self.sent.pop_front();
        }
        Some(self.last_number)
    }

    /// Takes the confirmation of a ping.
    ///
    /// Returns whether it was known and newer than the last confirmation. The confirmed revision
    /// must be in force at the entry before this is called; otherwise the lease would cover an older
    /// state.
    pub fn confirm(&mut self, number: PingNumber) -> bool {
        let newer = self.confirmed.is_none_or(|(known, _)| number > known);
        let Some(sent_at) = self.sent_at(number).filter(|_| newer) else {
            return false;
        };
        self.confirmed = Some((number, sent_at));
        true
    }

    /// Send time of a recent ping; limit shares that answer a ping are valid from then on.
    pub fn sent_at(&self, number: PingNumber) -> Option<TimePoint> {
        let mut sent = self.sent.iter();
        sent.find(|(other, _)| *other == number).map(|(_, at)| *at)
    }

    /// Whether keyed work may be accepted.
    pub fn is_fresh(&self, now: TimePoint) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }

    /// End of the lease; `None` before the first confirmation.
    pub fn valid_until(&self) -> Option<TimePoint> {
        self.confirmed.map(|(_, sent)| sent + self.settings.lease)
    }
}
