//! Streams that one entry has begun, and those of them that the control group has to know.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;

use crate::stream_origin::{
    AdmittedOrigins, OriginNumber, RecordedStream, StreamKey, StreamOrigin,
};

/// Time after its beginning for which a stream may be resumed. It must exceed the timeouts of callers,
/// which are 15 s in the deployments.
pub const STREAM_LIFETIME: Duration = Duration::from_mins(1);

/// Largest number of streams that an entry remembers; the oldest are dropped first.
const MAX_STREAMS: usize = 65_536;

/// Largest number of streams in one message.
const MAX_BATCH: usize = 4_096;

/// Streams of one entry.
#[derive(Debug, Default)]
pub struct StreamLog {
    origins: IndexMap<StreamKey, StreamOrigin>,
    /// Streams in the order in which they began, with the time; each is in `origins`.
    order: VecDeque<(TimePoint, StreamKey)>,
    admitted: Option<AdmittedOrigins>,
    /// Streams of services with several admitted origins that the control group has not received.
    unsent: VecDeque<StreamKey>,
}

impl StreamLog {
    /// Records that a stream has begun.
    pub fn record(&mut self, key: StreamKey, origin: StreamOrigin, now: TimePoint) {
        self.drop_expired(now);
        if self.is_mixed(&origin) {
            self.unsent.push_back(key);
        }
        self.order.push_back((now, key));
        self.origins.insert(key, origin);
    }

    /// Origin of a stream that this entry has begun.
    pub fn find(&self, key: StreamKey) -> Option<&StreamOrigin> {
        self.origins.get(&key)
    }

    /// Admitted origins; `None` before a control instance has told them.
    pub const fn admitted(&self) -> Option<&AdmittedOrigins> {
        self.admitted.as_ref()
    }

    /// Revision of the admitted origins; `None` before a control instance has told them.
    pub fn revision(&self) -> Option<u64> {
        self.admitted.as_ref().map(|admitted| admitted.revision)
    }

    /// Replaces the admitted origins by newer ones; false if they are not newer. If a service now has
    /// several origins for the first time, the streams that have begun there so far must be sent.
    pub fn set_admitted(&mut self, admitted: AdmittedOrigins) -> bool {
        if self.revision() >= Some(admitted.revision) {
            return false;
        }
        let known = self.admitted.replace(admitted);
        let was_mixed = |origin: &StreamOrigin| {
            let known = known.as_ref();
            known.is_some_and(|known| known.of_service(&origin.service).nth(1).is_some())
        };
        let is_newly_mixed = |origin: &StreamOrigin| self.is_mixed(origin) && !was_mixed(origin);
        let keys = self.order.iter().map(|(_, key)| *key);
        let newly_mixed = keys.filter(|key| self.find(*key).is_some_and(is_newly_mixed));
        let newly_mixed: Vec<StreamKey> = newly_mixed.collect();
        self.unsent.extend(newly_mixed);
        true
    }

    /// Whether streams of the origin's service may have begun at several origins.
    fn is_mixed(&self, origin: &StreamOrigin) -> bool {
        let admitted = self.admitted.as_ref();
        admitted.is_some_and(|admitted| admitted.of_service(&origin.service).nth(1).is_some())
    }

    /// Whether there are streams to send.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Streams to send, which no longer count as unsent; [`return_unsent`](Self::return_unsent) takes
    /// them back if they do not arrive.
    pub fn take_unsent(&mut self, now: TimePoint) -> Vec<RecordedStream> {
        self.drop_expired(now);
        let count = self.unsent.len().min(MAX_BATCH);
        let keys: Vec<StreamKey> = self.unsent.drain(..count).collect();
        let streams = keys.into_iter().filter_map(|key| {
            let number = self.number_of(self.find(key)?)?;
            Some((key, number))
        });
        streams.collect()
    }

    /// Takes back streams that did not arrive.
    pub fn return_unsent(&mut self, streams: &[RecordedStream]) {
        for (key, _) in streams.iter().rev() {
            self.unsent.push_front(*key);
        }
    }

    fn number_of(&self, origin: &StreamOrigin) -> Option<OriginNumber> {
        let mut origins = self.admitted.as_ref()?.origins.iter();
        let (number, _) = origins.find(|(_, known)| known == origin)?;
        Some(*number)
    }

    fn drop_expired(&mut self, now: TimePoint) {
        while let Some((begun_at, key)) = self.order.front().copied() {
            let is_expired = now.since(begun_at) > STREAM_LIFETIME;
            if !is_expired && self.order.len() <= MAX_STREAMS {
                return;
            }
            self.order.pop_front();
            self.origins.swap_remove(&key);
        }
    }
}
