//! When a request pays to leave its failure domain, and how much work an entry sends to other
//! regions.
//!
//! Every candidate in another failure domain costs the time of callers that its transfer is worth,
//! in addition to the round trip and the expected wait there. The lowest sum wins, so that a request
//! leaves as soon as the wait that it saves exceeds what leaving costs, and stays again as soon as it
//! does not.
//!
//! Entries learn of each other's requests with a delay. Those that see the same shortage would all
//! send their requests to the same idle engines before they see each other there. [`SpillPacer`]
//! therefore gives each entry its part of the room that the other regions have, for the time of that
//! delay. The sum over the entries stays within the room, however many of them see the shortage.

use std::time::Duration;

use oriolecrank_schema::TimePoint;
use rand::Rng;

use crate::upstream_state::UpstreamDistance;

/// Settings of the choice of other failure domains.
#[derive(Debug, Clone, PartialEq)]
pub struct SpillSettings {
    /// Cost of one KiB that is sent to or from another failure domain of the same region, in
    /// milliseconds of callers' time.
    pub domain_ms_per_kib: f64,
    /// Cost of one KiB that is sent to or from another region, in milliseconds of callers' time.
    pub region_ms_per_kib: f64,
    /// Cost of a request that leaves the region, whatever its size, in milliseconds of callers' time.
    pub region_ms: f64,
    /// Size of an answer for each output token that the caller allows, in bytes.
    pub answer_bytes_per_token: u64,
    /// Whether an entry sends no more to other regions than its part of the room there.
    pub paced: bool,
    /// Time until entries have learned of each other's requests.
    pub view_delay: Duration,
    /// Age from which the loads that other entries have reported tell nothing of the room.
    pub view_lifetime: Duration,
}

impl Default for SpillSettings {
    /// A fixed cost for each request that leaves the region, and none within it.
    fn default() -> Self {
        Self {
            domain_ms_per_kib: 0.0,
            region_ms_per_kib: 0.0,
            region_ms: 120.0,
            answer_bytes_per_token: 400,
            paced: false,
            view_delay: Duration::from_secs(1),
            view_lifetime: Duration::from_secs(2),
        }
    }
}

impl SpillSettings {
    /// Cost of sending a request with `bytes` of body and answer over a distance, in milliseconds,
    /// without the round trip.
    pub fn transfer_ms(&self, distance: UpstreamDistance, bytes: u64) -> f64 {
        let kib = bytes as f64 / 1_024.0;
        match distance {
            UpstreamDistance::SameDomain => 0.0,
            UpstreamDistance::SameRegion => kib * self.domain_ms_per_kib,
            UpstreamDistance::OtherRegion => self.region_ms + kib * self.region_ms_per_kib,
        }
    }

    /// Bytes of a request and its answer; `output_tokens` is 0 for a plain request.
    pub const fn transfer_bytes(&self, body_bytes: u64, output_tokens: u64) -> u64 {
        let answer_bytes = output_tokens.saturating_mul(self.answer_bytes_per_token);
        body_bytes.saturating_add(answer_bytes)
    }
}

/// What one upstream of another region can take, as an entry sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamRoom {
    /// Wait of a new request there, in milliseconds.
    pub wait_ms: f64,
    /// Wait up to which a request is still on time, without the round trip, in milliseconds.
    pub longest_wait_ms: f64,
    /// Requests that it works on at the same time; 1 for an engine, which reads one prompt after
    /// another.
    pub parallel: u32,
}

impl UpstreamRoom {
    /// Work that it can take within `view_delay` so that all of it is on time, in milliseconds.
    ///
    /// An idle upstream has the whole time and the wait that callers accept; one whose wait is as
    /// long as they accept has no room, because its present load leaves it none.
    pub fn work_ms(&self, view_delay: Duration) -> f64 {
        if self.longest_wait_ms <= 0.0 {
            return 0.0;
        }
        let free_share = (1.0 - self.wait_ms.max(0.0) / self.longest_wait_ms).max(0.0);
        let window_ms = view_delay.as_secs_f64() * 1_000.0 + self.longest_wait_ms;
        free_share * window_ms * f64::from(self.parallel)
    }
}

/// A request that would leave the region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpillRequest {
    /// Work that it causes there, in milliseconds.
    pub work_ms: f64,
    /// Room of all upstreams there that could do it, in milliseconds of work.
    pub room_ms: f64,
    /// Age of the loads that other entries have reported.
    pub view_age: Duration,
    /// Entries that may see the same shortage.
    pub entries: u32,
}

/// Work that an entry has lately sent to other regions.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpillPacer {
    /// Work sent, in milliseconds, as of `sent_at`; decays with [`SpillSettings::view_delay`].
    sent_ms: f64,
    sent_at: TimePoint,
    /// Share of a request that must be left in the part of the room; at least 0 and below 1. It is
    /// drawn again after each view delay and not for each request, so that the chance of an entry
    /// with a small part does not grow with the number of its requests.
    needed_share: f64,
    drawn_at: Option<TimePoint>,
}

impl SpillPacer {
    /// Draws anew which part of the room is enough for a request, if the view delay has passed.
    pub fn refresh<R: Rng>(&mut self, settings: &SpillSettings, now: TimePoint, random: &mut R) {
        let is_recent = |drawn_at| now.since(drawn_at) < settings.view_delay;
        if !self.drawn_at.is_some_and(is_recent) {
            self.needed_share = random.random();
            self.drawn_at = Some(now);
        }
    }

    /// Whether a request may leave the region now. An entry whose part of the room is smaller than
    /// the request may send it with the probability of their ratio, so that many entries together
    /// use the room.
    pub fn allows(&self, request: &SpillRequest, settings: &SpillSettings, now: TimePoint) -> bool {
        if !settings.paced {
            return true;
        }
        if request.view_age > settings.view_lifetime {
            return false;
        }
        let part_ms = request.room_ms / f64::from(request.entries.max(1));
        self.needed_share * request.work_ms < part_ms - self.recent_ms(settings, now)
    }

    /// Records the work of a request that leaves the region.
    pub fn record_sent(&mut self, work_ms: f64, settings: &SpillSettings, now: TimePoint) {
        self.sent_ms = self.recent_ms(settings, now) + work_ms;
        self.sent_at = now;
    }

    /// Work of the requests that the others do not know of yet, in milliseconds.
    fn recent_ms(&self, settings: &SpillSettings, now: TimePoint) -> f64 {
        let delay = settings.view_delay.as_secs_f64().max(f64::EPSILON);
        self.sent_ms * (-now.since(self.sent_at).as_secs_f64() / delay).exp()
    }
}
