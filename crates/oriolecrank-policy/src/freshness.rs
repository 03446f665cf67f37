//! Freshness lease of an entry's configuration.
//!
//! An entry pings the control leader regularly. The confirmation of a ping shows that the entry's
//! configuration was current when it sent the ping. Only the entry's own clock is used, so clocks
//! of two machines are never compared.

use std::collections::VecDeque;
use std::time::Duration;

use oriolecrank_schema::TimePoint;

/// Settings of the freshness lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreshnessSettings {
    /// Duration of the lease: requests with an API key are refused when the newest confirmed ping
    /// was sent longer ago than this.
    pub lease: Duration,
    /// Shortest time between two pings.
    pub ping_interval: Duration,
    /// Number of pings whose send times are remembered. Confirmations of older pings are ignored;
    /// they could no longer extend the lease.
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

/// Sequence number of a ping, starting at 1; does not restart when the process reconnects.
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

/// Tracks pings and their confirmations, and derives how long the configuration may be trusted.
#[derive(Debug, Clone)]
pub struct FreshnessLease {
    settings: FreshnessSettings,
    /// Recent pings and their send times, in ascending order.
    sent: VecDeque<(PingNumber, TimePoint)>,
    last_number: PingNumber,
    last_sent: Option<TimePoint>,
    /// Newest confirmed ping and its send time; never moves back.
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

    /// Starts a ping and returns its number; `None` if the last one was sent less than
    /// [`FreshnessSettings::ping_interval`] ago.
    ///
    /// The message must be written after this call, because `now` counts as its send time and the
    /// lease must not start later than the ping.
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

    /// Records the confirmation of a ping.
    ///
    /// Returns whether it extended the lease: false if the ping is unknown, or not newer than the
    /// last confirmed one. The entry must apply the confirmed revision of the configuration before
    /// this call; otherwise the lease would cover an older one.
    pub fn confirm(&mut self, number: PingNumber) -> bool {
        let is_newer = self.confirmed.is_none_or(|(known, _)| number > known);
        let Some(sent_at) = self.sent_at(number).filter(|_| is_newer) else {
            return false;
        };
        self.confirmed = Some((number, sent_at));
        true
    }

    /// Send time of a ping, `None` if it is not remembered. The answer to a ping carries shares of
    /// the rate limits; their lifetime counts from this time.
    pub fn sent_at(&self, number: PingNumber) -> Option<TimePoint> {
        let mut sent = self.sent.iter();
        sent.find(|(other, _)| *other == number).map(|(_, at)| *at)
    }

    /// Whether requests with an API key may be accepted.
    pub fn is_fresh(&self, now: TimePoint) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }

    /// End of the lease (exclusive); `None` before the first confirmation.
    pub fn valid_until(&self) -> Option<TimePoint> {
        self.confirmed.map(|(_, sent)| sent + self.settings.lease)
    }
}
