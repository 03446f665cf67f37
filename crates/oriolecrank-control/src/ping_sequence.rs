//! Recognises subscribers that restarted.

use indexmap::IndexMap;
use oriolecrank_schema::control::PingRequest;

/// Pings that are late by less than this come from the same process; more than a minute of pings is
/// never under way.
const LATE_PINGS: u64 = 64;

/// A process numbers its pings from one. Such a small number far behind the newest one comes from a
/// new process; among the first pings it may only be late.
const FIRST_PINGS: u64 = 2;

/// Start number of a subscriber, counted by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct SubscriberIncarnation(pub u64);

/// Newest ping number and start number of each subscriber.
///
/// Pings carry no start number, so a number that falls far behind shows a restart.
#[derive(Debug, Default)]
pub struct PingSequence {
    subscribers: IndexMap<String, (u64, SubscriberIncarnation)>,
}

impl PingSequence {
    /// Subscribers that are kept; the one that joined first is dropped beyond it.
    const MAX_SUBSCRIBERS: usize = 16_384;

    /// Takes a ping and returns the start number of its sender.
    pub fn record(&mut self, ping: &PingRequest) -> SubscriberIncarnation {
        let number = ping.ping;
        if let Some((newest, start)) = self.subscribers.get_mut(&ping.subscriber) {
            let behind = newest.saturating_sub(number);
            let begins_anew = number <= FIRST_PINGS && behind > FIRST_PINGS;
            let restarted = behind >= LATE_PINGS || begins_anew;
            if restarted {
                start.0 += 1;
                *newest = number;
            }
            *newest = number.max(*newest);
            return *start;
        }
        if self.subscribers.len() >= Self::MAX_SUBSCRIBERS {
            self.subscribers.shift_remove_index(0);
        }
        let start = SubscriberIncarnation::default();
        self.subscribers
            .insert(ping.subscriber.clone(), (number, start));
        start
    }
}
