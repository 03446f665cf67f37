//! One upstream as an entry sees it: load, caches and observed times.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_policy::upstream_pause::UpstreamPause;
use oriolecrank_schema::TimePoint;
use serde::{Deserialize, Serialize};

use crate::direct_chooser::ESTIMATE_LIFETIME;
use crate::engine::event_pace::EventPace;
use crate::limit_report::LimitReport;
use crate::names::SoftwareVersion;
use crate::part_cache::PartCache;
use crate::prompt_shape::PromptShape;
use crate::reading_speed::{EngineFactor, ServiceReading};
use crate::upstream_directory::{UpstreamAnnouncement, UpstreamReadiness};
use crate::upstream_limit::UpstreamLimit;

/// Load of requests on an upstream, from one entry or summed over several.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Those of `running` that have occupied their batch slot for at least 500 ms, such as chat.
    /// Set only in load reports.
    #[serde(default, rename = "held")]
    pub long_running: u32,
    /// Tokens to prefill for requests that have no first answer yet and can still meet their
    /// target.
    #[serde(rename = "unread_tokens")]
    pub pending_prefill_tokens: u64,
    /// Tokens to prefill for requests that are too late for their target; engines process them
    /// after `pending_prefill_tokens`.
    #[serde(default, rename = "late_tokens")]
    pub late_prefill_tokens: u64,
}

impl UpstreamLoad {
    /// Tokens that an engine prefills before those of a new request with this timing.
    pub const fn tokens_ahead(self, timing: CallTiming) -> u64 {
        match timing {
            CallTiming::OnTime => self.pending_prefill_tokens,
            CallTiming::Late => self.pending_prefill_tokens + self.late_prefill_tokens,
        }
    }

    /// Sum of two loads.
    #[must_use]
    pub const fn combined_with(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            long_running: self.long_running + other.long_running,
            pending_prefill_tokens: self.pending_prefill_tokens + other.pending_prefill_tokens,
            late_prefill_tokens: self.late_prefill_tokens + other.late_prefill_tokens,
        }
    }

    /// This load without `part`; no field falls below 0.
    #[must_use]
    pub const fn saturating_sub(self, part: Self) -> Self {
        Self {
            running: self.running.saturating_sub(part.running),
            long_running: self.long_running.saturating_sub(part.long_running),
            pending_prefill_tokens: self
                .pending_prefill_tokens
                .saturating_sub(part.pending_prefill_tokens),
            late_prefill_tokens: self
                .late_prefill_tokens
                .saturating_sub(part.late_prefill_tokens),
        }
    }
}

/// Whether an answer can still meet its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CallTiming {
    /// The target can be met.
    #[default]
    OnTime,
    /// The target cannot be met; the request must not delay those that can still meet theirs.
    Late,
}

/// A request that is counted in the load of an upstream. The caller keeps the ticket and passes it
/// back when the request is answered and when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DispatchTicket {
    /// Number of the request, unique at this entry within the incarnation of the upstream.
    pub number: u64,
    /// Whether the request can meet its target; engines process late requests after those on time.
    pub timing: CallTiming,
    /// Whether the first answer has arrived.
    pub answer_started: bool,
    /// Tokens to prefill, as estimated when the request was sent; 0 for a plain request and where
    /// another engine prefills the prompt.
    pub prefill_tokens: u64,
    /// Tokens of all entries that the engine processes before this request.
    pub ahead_tokens: u64,
}

impl DispatchTicket {
    /// Load that the request adds at present.
    fn load(&self) -> UpstreamLoad {
        let pending_tokens = if self.answer_started {
            0
        } else {
            self.prefill_tokens
        };
        match self.timing {
            CallTiming::OnTime => UpstreamLoad {
                running: 1,
                pending_prefill_tokens: pending_tokens,
                ..UpstreamLoad::default()
            },
            CallTiming::Late => UpstreamLoad {
                running: 1,
                late_prefill_tokens: pending_tokens,
                ..UpstreamLoad::default()
            },
        }
    }
}

/// A request on time that waits for its first answer.
#[derive(Debug, Clone, Copy)]
struct WaitingRequest {
    number: u64,
    sent: TimePoint,
    /// Estimated time of its own prefill, in milliseconds.
    prefill_ms: f64,
}

/// Shortest prefill, in tokens, that is used to observe the prefill speed.
const MIN_SPEED_SAMPLE_TOKENS: u64 = 1_000;

/// Shortest time over which an observed wait decays to 0, in milliseconds. A longer wait decays over
/// its own length, in which an engine drains such a queue if nothing is added.
const WAIT_DECAY_MS: f64 = 300.0;

/// Confidence that requests of other entries have put the shared parts of a prompt into the cache
/// of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CacheConfidence {
    /// Nothing is known.
    None,
    /// Rendezvous hashing of the last shared part chooses this engine.
    Probable,
    /// A request with all shared parts was recently sent to this engine.
    Known,
}

/// Share of the shared prompt tokens that counts as cached at the engine chosen by hashing: other
/// entries have probably sent them there.
const PROBABLE_CACHED_SHARE: f64 = 0.9;

/// Duration of the first decoding step, in milliseconds. Initial value of
/// `DirectUpstream::base_ms`, and additional time of a first decoding step with all slots in use.
const FIRST_DECODE_STEP_MS: f64 = 10.0;

/// Weight of an observation above `DirectUpstream::base_ms`, which makes the minimum rise slowly.
const BASE_RISE_WEIGHT: f64 = 0.003;

/// Wait expected at an upstream that has just refused a request, in milliseconds. Assumes a full
/// queue, which holds a few times the requests that the upstream runs at once.
const REFUSAL_WAIT_MS: f64 = 250.0;

/// Time for which an announcement tells the version of an upstream. Announcements reach an entry every
/// 2.4 s, and an upstream that restarts is away for about as long.
const VERSION_LIFETIME: Duration = Duration::from_secs(4);

/// Time for which a request occupies its batch slot at an engine that has finished none, in
/// milliseconds: that of the shortest requests of the deployments.
const INITIAL_SLOT_TIME_MS: f64 = 60.0;

/// A request that decodes for at least this long counts as long-running, such as chat: its slot is
/// not expected to come free while shorter requests wait.
const LONG_RUNNING_TIME: Duration = Duration::from_millis(500);

/// Weight of a new observation in the mean time for which a request occupies its slot.
const SLOT_TIME_WEIGHT: f64 = 0.05;

/// State of one upstream incarnation at one entry.
#[derive(Debug)]
pub struct DirectUpstream {
    announcement: UpstreamAnnouncement,
    received_at: TimePoint,
    /// End of the warm-up after its start.
    warmup_end: TimePoint,
    local_load: UpstreamLoad,
    remote_load: UpstreamLoad,
    part_cache: PartCache,
    /// Requests on time that wait for a first answer, oldest first.
    waiting: VecDeque<WaitingRequest>,
    /// Time of the first answer of each running request, by request number.
    first_answers: IndexMap<u64, TimePoint>,
    /// Mean time for which a short request occupies its batch slot, in milliseconds.
    slot_time_ms: f64,
    next_number: u64,
    /// Time of a first answer without prefill and wait, in milliseconds: a slowly rising minimum.
    base_ms: f64,
    /// Wait before the prefill of the request that was answered last, in milliseconds.
    recent_wait_ms: f64,
    /// Time of the observation in `recent_wait_ms`.
    wait_observed: TimePoint,
    /// Time of the last answer to a request on time, which `base_ms` and `reading_factor` follow.
    estimated_at: TimePoint,
    /// Time of the last answer of any kind, including refusals.
    last_answer: Option<TimePoint>,
    /// Time of the last answer that refused a request without running it.
    last_refusal: Option<TimePoint>,
    /// When its machine last refused a connection.
    refused_at: Option<TimePoint>,
    /// Reading speed relative to the other engines of its service and role.
    reading_factor: EngineFactor,
    /// Limit that the upstream states in its answers.
    pub(crate) limit: UpstreamLimit,
    /// Pause that this incarnation asks for.
    pub(crate) pause: UpstreamPause,
    /// This incarnation has stated in an answer that it leaves, which is final.
    pub(crate) leaving: bool,
    /// Time between the events of its streams.
    pub(crate) pace: EventPace,
    /// Weight set by outlier ejection, between 0 (ejected) and 1.
    pub(crate) weight: f64,
}

impl DirectUpstream {
    /// Creates an upstream without load.
    pub fn new(announcement: UpstreamAnnouncement, received_at: TimePoint) -> Self {
        Self {
            warmup_end: received_at + announcement.warmup_remaining,
            announcement,
            received_at,
            local_load: UpstreamLoad::default(),
            remote_load: UpstreamLoad::default(),
            part_cache: PartCache::default(),
            waiting: VecDeque::new(),
            first_answers: IndexMap::new(),
            slot_time_ms: INITIAL_SLOT_TIME_MS,
            next_number: 0,
            base_ms: FIRST_DECODE_STEP_MS,
            recent_wait_ms: 0.0,
            wait_observed: received_at,
            estimated_at: received_at,
            last_answer: None,
            last_refusal: None,
            refused_at: None,
            reading_factor: EngineFactor::new(received_at),
            limit: UpstreamLimit::default(),
            pause: UpstreamPause::default(),
            leaving: false,
            pace: EventPace::default(),
            weight: 1.0,
        }
    }

    /// Applies a newer announcement of the same incarnation.
    pub fn apply_announcement(
        &mut self,
        announcement: &UpstreamAnnouncement,
        received_at: TimePoint,
    ) {
        self.warmup_end = received_at + announcement.warmup_remaining;
        self.announcement = announcement.clone();
        self.received_at = self.received_at.max(received_at);
    }

    /// Latest announcement.
    pub const fn announcement(&self) -> &UpstreamAnnouncement {
        &self.announcement
    }

    /// Time from the first token of an answer to its first event. Engines may send several tokens
    /// in one event, so a first answer then takes longer than one decoding step.
    pub fn event_collection_time(&self) -> Duration {
        Duration::from_secs_f64((self.base_ms - FIRST_DECODE_STEP_MS).max(0.0) / 1_000.0)
    }

    /// Whether the upstream has answered this entry after `since`; refusals count.
    pub fn has_answered(&self, since: TimePoint) -> bool {
        self.last_answer
            .is_some_and(|last_answer| last_answer > since)
    }

    /// Start of the incarnation, in milliseconds of Unix time.
    pub const fn started_ms(&self) -> u64 {
        self.announcement.started_ms
    }

    /// Whether it takes new requests, as far as it has stated. A pause does not count.
    pub fn is_ready(&self) -> bool {
        self.announcement.state == UpstreamReadiness::Ready && !self.leaving
    }

    /// Time at which the latest announcement was received.
    pub const fn received_at(&self) -> TimePoint {
        self.received_at
    }

    /// Version of its software; `None` if it states none, or has not been heard lately enough to be sure
    /// that it has not restarted with another version under its name.
    pub fn confirmed_version(&self, now: TimePoint) -> Option<&SoftwareVersion> {
        let is_recent = now.since(self.received_at) <= VERSION_LIFETIME;
        let is_running = self.refused_at.is_none_or(|at| at < self.received_at);
        let version = self.announcement.version.as_ref();
        version.filter(|_| is_recent && is_running)
    }

    /// Records that the machine of the upstream refuses connections, as after a crash.
    pub(crate) const fn record_refused_connection(&mut self, now: TimePoint) {
        self.refused_at = Some(now);
    }

    /// Whether the upstream is still slow after its start.
    pub fn is_warming_up(&self, now: TimePoint) -> bool {
        now < self.warmup_end
    }

    /// Load that this entry puts on the upstream.
    pub fn local_load(&self, now: TimePoint) -> UpstreamLoad {
        UpstreamLoad {
            long_running: self.local_long_running(now),
            ..self.local_load
        }
    }

    /// Requests of this entry that run or wait at the upstream.
    pub const fn local_running(&self) -> u32 {
        self.local_load.running
    }

    /// Requests of this entry that have occupied their slots for long.
    fn local_long_running(&self, now: TimePoint) -> u32 {
        let is_long_running =
            |first_answer: &TimePoint| now.since(*first_answer) >= LONG_RUNNING_TIME;
        self.first_answers
            .values()
            .filter(|first_answer| is_long_running(first_answer))
            .count() as u32
    }

    /// Load of all entries on the upstream, as far as this entry knows.
    pub(crate) const fn total_load(&self) -> UpstreamLoad {
        self.local_load.combined_with(self.remote_load)
    }

    /// Requests of all entries that run or wait at the upstream, as far as this entry knows.
    pub(crate) const fn running(&self) -> u32 {
        self.total_load().running
    }

    /// Requests of all entries that have occupied their slots for long, as far as this entry knows.
    fn long_running(&self, now: TimePoint) -> u32 {
        self.local_long_running(now) + self.remote_load.long_running
    }

    /// Time to read all prompts that wait at the engine, in milliseconds.
    pub(crate) fn queued_reading_ms(&self, reading: &ServiceReading, now: TimePoint) -> f64 {
        let load = self.local_load.combined_with(self.remote_load);
        self.prefill_ms(load.tokens_ahead(CallTiming::Late), reading, now)
    }

    /// Whether a batch slot is free, as far as this entry knows.
    pub fn has_free_slot(&self, slots: u32) -> bool {
        self.local_load.combined_with(self.remote_load).running < slots
    }

    /// Expected wait for a batch slot, in milliseconds. Slots of long-running requests are not
    /// expected to come free.
    fn slot_wait_ms(&self, slots: u32, now: TimePoint) -> f64 {
        let load = self.local_load.combined_with(self.remote_load);
        let long_running = self.long_running(now).min(slots.saturating_sub(1));
        let usable_slots = f64::from(slots.saturating_sub(long_running).max(1));
        let ahead = f64::from(load.running.saturating_sub(long_running)) + 1.0 - usable_slots;
        ahead.max(0.0) / usable_slots * self.slot_time_ms
    }

    /// Sets the load that other entries put on the upstream.
    pub const fn set_remote_load(&mut self, load: UpstreamLoad) {
        self.remote_load = load;
    }

    /// Tokens of a prompt that the engine probably caches.
    pub(crate) fn expected_cached_tokens(
        &self,
        prompt: &PromptShape,
        confidence: CacheConfidence,
    ) -> u64 {
        let cached = self.part_cache.cached_tokens(prompt);
        let own_tokens = prompt.parts.last().map_or(0, |part| part.tokens);
        let shared = prompt.input_tokens.saturating_sub(own_tokens);
        match confidence {
            CacheConfidence::Known => shared.max(cached),
            CacheConfidence::Probable if cached == 0 => {
                (shared as f64 * PROBABLE_CACHED_SHARE) as u64
            }
            CacheConfidence::Probable | CacheConfidence::None => cached,
        }
    }

    /// Speed at which the engine reads prompts, in tokens per millisecond.
    pub fn reading_speed(&self, reading: &ServiceReading, now: TimePoint) -> f64 {
        let factor = self.reading_factor.at(now, ESTIMATE_LIFETIME);
        reading.speed(self.announcement.role) * factor
    }

    /// Time to prefill `tokens`, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64, reading: &ServiceReading, now: TimePoint) -> f64 {
        tokens as f64 / self.reading_speed(reading, now)
    }

    /// Expected time to the first answer of a request with `tokens` to prefill here, in
    /// milliseconds and without the round trip.
    pub fn first_answer_ms(
        &self,
        tokens: u64,
        slots: u32,
        timing: CallTiming,
        reading: &ServiceReading,
        now: TimePoint,
    ) -> f64 {
        let load = self.local_load.combined_with(self.remote_load);
        let queued_ms = self.prefill_ms(load.tokens_ahead(timing), reading, now);
        let wait_ms = queued_ms.max(self.observed_wait_ms(now));
        let slot_wait_ms = self.slot_wait_ms(slots, now);
        self.base_ms + wait_ms.max(slot_wait_ms) + self.prefill_ms(tokens, reading, now)
    }

    /// Wait recently observed for requests on time, in milliseconds. It includes the effect of what
    /// other entries have sent since their last report, which the token counts miss.
    fn observed_wait_ms(&self, now: TimePoint) -> f64 {
        let decay_ms = self.recent_wait_ms.max(WAIT_DECAY_MS);
        let recent = self.recent_wait_ms * decay_factor(now.since(self.wait_observed), decay_ms);
        recent.max(self.stalled_wait_ms(now))
    }

    /// Wait inferred from refusals and from requests that still wait for a first answer, in
    /// milliseconds.
    fn stalled_wait_ms(&self, now: TimePoint) -> f64 {
        let refusal_ms = self.last_refusal.map_or(0.0, |last_refusal| {
            REFUSAL_WAIT_MS * decay_factor(now.since(last_refusal), WAIT_DECAY_MS)
        });
        let waits = self.waiting.iter().map(|request| {
            let waited_ms = now.since(request.sent).as_secs_f64() * 1_000.0;
            waited_ms - request.prefill_ms - self.base_ms
        });
        waits.fold(refusal_ms, f64::max)
    }

    /// Expected time to the first answer of a request that was prefilled on another engine, in
    /// milliseconds.
    pub fn decode_start_ms(&self, slots: u32, now: TimePoint) -> f64 {
        let running = self.local_load.combined_with(self.remote_load).running;
        let share = f64::from(running) / f64::from(slots.max(1));
        let wait_ms = self.slot_wait_ms(slots, now).max(self.stalled_wait_ms(now));
        self.base_ms + share * FIRST_DECODE_STEP_MS + wait_ms
    }

    /// Expected time to the answer of a plain request, in milliseconds; `mean_ms` is the mean
    /// service time of the service.
    pub fn plain_request_ms(&self, mean_ms: f64, slots: u32) -> f64 {
        let load = self.local_load.combined_with(self.remote_load);
        let ahead = f64::from(load.running) / f64::from(slots.max(1));
        mean_ms * (1.0 + ahead)
    }

    /// Counts a request as sent; `prefill_tokens` must be prefilled here. The engine is assumed to
    /// cache `cache_tokens` at most.
    pub fn dispatch(
        &mut self,
        prompt: Option<&PromptShape>,
        cache_tokens: u64,
        prefill_tokens: u64,
        timing: CallTiming,
        reading: &ServiceReading,
        now: TimePoint,
    ) -> DispatchTicket {
        let mut ticket = DispatchTicket {
            number: self.next_number,
            timing,
            ..DispatchTicket::default()
        };
        self.next_number += 1;
        if let Some(prompt) = prompt {
            if prefill_tokens > 0 {
                ticket.prefill_tokens = prefill_tokens;
                ticket.ahead_tokens = self
                    .local_load
                    .combined_with(self.remote_load)
                    .tokens_ahead(timing);
            }
            self.part_cache.record(prompt, cache_tokens);
        }
        if prompt.is_some() && timing == CallTiming::OnTime {
            self.waiting.push_back(WaitingRequest {
                number: ticket.number,
                sent: now,
                prefill_ms: self.prefill_ms(ticket.prefill_tokens, reading, now),
            });
        }
        self.local_load = self.local_load.combined_with(ticket.load());
        ticket
    }

    /// Records that a request is sent only now, after another engine has prefilled its prompt.
    pub fn mark_sent(&mut self, ticket: &DispatchTicket, now: TimePoint) {
        let request = self
            .waiting
            .iter_mut()
            .find(|request| request.number == ticket.number);
        if let Some(request) = request {
            request.sent = now;
        }
    }

    /// Records the first answer of a request, and improves the estimates of this engine and of its
    /// service; `elapsed` is the time since it was sent, less the round trip.
    pub fn record_first_answer(
        &mut self,
        ticket: &mut DispatchTicket,
        elapsed: Duration,
        reading: &mut ServiceReading,
        now: TimePoint,
    ) {
        self.last_answer = Some(now);
        self.local_load = self.local_load.saturating_sub(ticket.load());
        ticket.answer_started = true;
        self.first_answers.insert(ticket.number, now);
        self.local_load = self.local_load.combined_with(ticket.load());
        self.remove_waiting(ticket);
        let answer_ms = elapsed.as_secs_f64() * 1_000.0;
        if ticket.timing == CallTiming::Late {
            if now.since(self.estimated_at) > ESTIMATE_LIFETIME {
                self.improve_estimates(ticket, answer_ms, reading, now);
            }
            return;
        }
        self.estimated_at = now;
        self.record_reading(ticket, answer_ms, reading, now);
        let overhead_ms = answer_ms - self.prefill_ms(ticket.prefill_tokens, reading, now);
        if overhead_ms < self.base_ms {
            self.base_ms = overhead_ms.max(0.0);
        } else {
            self.base_ms += (overhead_ms - self.base_ms) * BASE_RISE_WEIGHT;
        }
        if ticket.prefill_tokens > 0 {
            self.recent_wait_ms = (overhead_ms - self.base_ms).max(0.0);
            self.wait_observed = now;
        }
    }

    /// Improves the estimates by the answer to a late request. Late requests also wait for others, so
    /// their answers show only that the upstream is faster than estimated. Without them, an upstream
    /// that is taken for too slow to meet any target would get late requests only, for good.
    fn improve_estimates(
        &mut self,
        ticket: &DispatchTicket,
        answer_ms: f64,
        reading: &mut ServiceReading,
        now: TimePoint,
    ) {
        if self.observed_speed(ticket, answer_ms) > self.reading_speed(reading, now) {
            self.record_reading(ticket, answer_ms, reading, now);
        }
        let overhead_ms = answer_ms - self.prefill_ms(ticket.prefill_tokens, reading, now);
        self.base_ms = self.base_ms.min(overhead_ms.max(0.0));
    }

    /// Corrects the reading speed by an answer. The time of a short prefill depends little on it.
    fn record_reading(
        &mut self,
        ticket: &DispatchTicket,
        answer_ms: f64,
        reading: &mut ServiceReading,
        now: TimePoint,
    ) {
        if ticket.prefill_tokens < MIN_SPEED_SAMPLE_TOKENS {
            return;
        }
        let role = self.announcement.role;
        let tokens = (ticket.prefill_tokens + ticket.ahead_tokens) as f64;
        reading.record(role, tokens, self.reading_time_ms(answer_ms));
        let relative_speed = self.observed_speed(ticket, answer_ms) / reading.speed(role);
        self.reading_factor.record(relative_speed, now);
    }

    /// Speed at which the engine has read a prompt and those before it, in tokens per millisecond.
    fn observed_speed(&self, ticket: &DispatchTicket, answer_ms: f64) -> f64 {
        let tokens = (ticket.prefill_tokens + ticket.ahead_tokens) as f64;
        tokens / self.reading_time_ms(answer_ms)
    }

    /// Part of the time to a first answer that the engine has spent reading, in milliseconds.
    fn reading_time_ms(&self, answer_ms: f64) -> f64 {
        (answer_ms - self.base_ms).max(1.0)
    }

    /// Records that the upstream has refused a request without running it.
    pub const fn record_refusal(&mut self, now: TimePoint) {
        self.last_answer = Some(now);
        self.last_refusal = Some(now);
    }

    /// What the leader has to know about the upstream's limit; `None` without one now or lately.
    pub(crate) fn limit_report(&mut self, now: TimePoint) -> Option<LimitReport> {
        self.limit.report(&self.announcement, now)
    }

    /// Removes the load of a request that has ended.
    pub fn finish(&mut self, ticket: &DispatchTicket, now: TimePoint) {
        self.local_load = self.local_load.saturating_sub(ticket.load());
        let slot_time = self
            .first_answers
            .swap_remove(&ticket.number)
            .map(|first_answer| now.since(first_answer));
        if let Some(slot_time) = slot_time.filter(|slot_time| *slot_time < LONG_RUNNING_TIME) {
            let observed_ms = slot_time.as_secs_f64() * 1_000.0 + FIRST_DECODE_STEP_MS;
            self.slot_time_ms += (observed_ms - self.slot_time_ms) * SLOT_TIME_WEIGHT;
        }
        self.remove_waiting(ticket);
    }

    fn remove_waiting(&mut self, ticket: &DispatchTicket) {
        let index = self
            .waiting
            .iter()
            .position(|request| request.number == ticket.number);
        if let Some(index) = index {
            self.waiting.remove(index);
        }
    }
}

/// Share of an observation that still counts at `age`: falls linearly from 1 to 0 within `decay_ms`.
fn decay_factor(age: Duration, decay_ms: f64) -> f64 {
    let age_ms = age.as_secs_f64() * 1_000.0;
    (1.0 - age_ms / decay_ms).max(0.0)
}
