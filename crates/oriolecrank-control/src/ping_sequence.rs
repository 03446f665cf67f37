//! Detects restarts of subscribers from their ping numbers.

use indexmap::IndexMap;
use oriolecrank_schema::control::PingRequest;

/// A ping whose number is this far behind the newest one shows a restart: 64 pings take at least
/// 32 s, and no ping is in flight for so long. A ping that is less far behind may only be late.
const RESTART_GAP_PINGS: u64 = 64;

/// A process numbers its pings from 1. A ping with at most this number shows a restart if the
/// newest number is more than this ahead of it; otherwise it may only be late.
const FIRST_PINGS: u64 = 2;

/// Number of restarts of a subscriber that the leader has detected; 0 for the first process that
/// sent it a ping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct SubscriberIncarnation(pub u64);

/// Newest ping number and incarnation of each subscriber.
///
/// Pings do not contain the incarnation of their sender, so a restart is detected from a ping
/// number that is far behind the newest one.
#[derive(Debug, Default)]
pub struct PingSequence {
    subscribers: IndexMap<String, (u64, SubscriberIncarnation)>,
}

impl PingSequence {
    /// Largest number of subscribers; beyond it, the one that was added first is dropped.
    const MAX_SUBSCRIBERS: usize = 16_384;

    /// Records a ping and returns the incarnation of its sender.
    pub fn record(&mut self, ping: &PingRequest) -> SubscriberIncarnation {
        let number = ping.ping;
        if let Some((newest, incarnation)) = self.subscribers.get_mut(&ping.subscriber) {
            let behind = newest.saturating_sub(number);
            let starts_over = number <= FIRST_PINGS && behind > FIRST_PINGS;
            let restarted = behind >= RESTART_GAP_PINGS || starts_over;
            if restarted {
                incarnation.0 += 1;
                *newest = number;
            }
            *newest = number.max(*newest);
            return *incarnation;
        }
        if self.subscribers.len() >= Self::MAX_SUBSCRIBERS {
            self.subscribers.shift_remove_index(0);
        }
        let incarnation = SubscriberIncarnation::default();
        self.subscribers
            .insert(ping.subscriber.clone(), (number, incarnation));
        incarnation
    }
}
