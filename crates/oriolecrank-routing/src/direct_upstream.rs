//! Load of one upstream as one entry sees it.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use serde::{Deserialize, Serialize};

use crate::part_cache::PartCache;
use crate::prompt_shape::PromptShape;
use crate::upstream_directory::UpstreamAnnouncement;

/// Work at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Part of them that holds its place for long, such as chat; counted when loads are reported.
    #[serde(default, rename = "held")]
    pub long_running: u32,
    /// Prompt tokens of requests that have not shown a first answer and may still do so in time.
    #[serde(rename = "unread_tokens")]
    pub pending_prefill_tokens: u64,
    /// Prompt tokens of requests that are late already; engines take them after the others.
    #[serde(default, rename = "late_tokens")]
    pub late_prefill_tokens: u64,
}

impl UpstreamLoad {
    /// Tokens that an engine takes before those of a new request.
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

    /// This load without a part of it.
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

/// Whether an answer can still come in the time that callers expect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CallTiming {
    /// It can.
    #[default]
    OnTime,
    /// It is late already; it must not delay one that is not.
    Late,
}

/// Work of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DispatchTicket {
    /// Number of the request among those of the upstream.
    pub number: u64,
    /// Whether the request was sent behind those that are on time.
    pub timing: CallTiming,
    /// The request has shown a first answer.
    pub answer_started: bool,
    /// Tokens that had to be read when the request was sent.
    pub prefill_tokens: u64,
    /// Tokens of all entries that the engine takes before this request.
    pub ahead_tokens: u64,
}

impl DispatchTicket {
    /// Load of the request at present.
    fn load(&self) -> UpstreamLoad {
        let unread = if self.answer_started {
            0
        } else {
            self.prefill_tokens
        };
        match self.timing {
            CallTiming::OnTime => UpstreamLoad {
                running: 1,
                pending_prefill_tokens: unread,
                ..UpstreamLoad::default()
            },
            CallTiming::Late => UpstreamLoad {
                running: 1,
                late_prefill_tokens: unread,
                ..UpstreamLoad::default()
            },
        }
    }
}

/// A request on time that waits for its first answer.
#[derive(Debug, Clone, Copy)]
struct WaitingCall {
    number: u64,
    sent: TimePoint,
    /// Time that its own reading takes, in milliseconds.
    prefill_ms: f64,
}

/// Prompts with at least this many tokens to read show the reading speed.
const MIN_SPEED_TOKENS: u64 = 1_000;

/// Time over which an observed wait fades, in milliseconds; about the time in which a queue of a few
/// hundred milliseconds is gone.
const WAIT_MEMORY_MS: f64 = 300.0;

/// Weight of a new observation in the mean of reading speeds. Low, because single times also hold
/// waits that are not due to reading.
const SPEED_WEIGHT: f64 = 0.05;

/// What is known of the shared parts of a prompt at an engine, beside this entry's own requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PartTrust {
    /// Nothing.
    None,
    /// Requests with the last of them are sent there by rule.
    Probable,
    /// A request with all of them was sent there a moment ago.
    Known,
}

/// Part of a prompt's known tokens that counts as cached at the home of its shared part, which
/// other entries have probably sent there.
const HOME_PART: f64 = 0.9;

/// Fixed time of the first answer of an engine that has answered nothing yet, in milliseconds.
const FIRST_STEP_MS: f64 = 10.0;

/// Weight of a larger observation in the minimum of first answers.
const BASE_WEIGHT: f64 = 0.003;

/// Wait to be expected at an upstream that has just refused a request because it is full, in
/// milliseconds: its queue holds a few times what it runs at once.
const FULL_WAIT_MS: f64 = 250.0;

/// Time for which a run holds its place at an engine that has finished none, in milliseconds; from
/// the shortest requests of the deployments.
const FIRST_HOLD_MS: f64 = 60.0;

/// A run of at least this length is chat; its place does not come free while shorter ones wait.
const LONG_HOLD: Duration = Duration::from_millis(500);

/// Weight of a new observation in the mean time for which a run holds its place.
const HOLD_WEIGHT: f64 = 0.05;

/// An upstream with its load.
#[derive(Debug)]
pub struct DirectUpstream {
    announcement: UpstreamAnnouncement,
    received_at: TimePoint,
    /// End of the time in which it is slow after its start.
    cold_until: TimePoint,
    own: UpstreamLoad,
    others: UpstreamLoad,
    parts: PartCache,
    /// Requests on time that wait for a first answer, the oldest first.
    waiting: VecDeque<WaitingCall>,
    /// Begin of the runs that have shown a first answer, by number.
    begun: IndexMap<u64, TimePoint>,
    /// Mean time for which a short run holds its place, in milliseconds.
    hold_ms: f64,
    next_number: u64,
    /// Time of a first answer without reading and waiting, in milliseconds: a slowly rising minimum.
    base_ms: f64,
    /// Wait before the reading of the newest requests that were answered, in milliseconds.
    recent_wait_ms: f64,
    /// Time of the newest observation in `recent_wait_ms`.
    observed: TimePoint,
    /// Time of the newest answer of any kind.
    answered: Option<TimePoint>,
    /// Time of the newest refusal because it was full.
    refused: Option<TimePoint>,
    /// Mean reading speed, in tokens per millisecond; above 0.
    speed: f64,
    /// Weight from ejection, between 0 (ejected) and 1.
    pub(crate) weight: f64,
}

impl DirectUpstream {
    /// An upstream without load.
    pub fn new(announcement: UpstreamAnnouncement, received_at: TimePoint, speed: f64) -> Self {
        Self {
            cold_until: received_at + announcement.warmup_remaining,
            announcement,
            received_at,
            own: UpstreamLoad::default(),
            others: UpstreamLoad::default(),
            parts: PartCache::default(),
            waiting: VecDeque::new(),
            begun: IndexMap::new(),
            hold_ms: FIRST_HOLD_MS,
            next_number: 0,
            base_ms: FIRST_STEP_MS,
            recent_wait_ms: 0.0,
            observed: received_at,
            answered: None,
            refused: None,
            speed,
            weight: 1.0,
        }
    }

    /// Takes over a newer statement of the same incarnation.
    pub fn apply_announcement(
        &mut self,
        announcement: &UpstreamAnnouncement,
        received_at: TimePoint,
    ) {
        self.cold_until = received_at + announcement.warmup_remaining;
        self.announcement = announcement.clone();
        self.received_at = self.received_at.max(received_at);
    }

    /// What it says of itself.
    pub const fn announcement(&self) -> &UpstreamAnnouncement {
        &self.announcement
    }

    /// Time from the first token of a run to the first event, which holds several tokens.
    pub fn collect_time(&self) -> Duration {
        Duration::from_secs_f64((self.base_ms - FIRST_STEP_MS).max(0.0) / 1_000.0)
    }

    /// Whether it has answered this entry after `since`.
    pub fn has_answered(&self, since: TimePoint) -> bool {
        self.answered.is_some_and(|answered| answered > since)
    }

    /// Start of the incarnation.
    pub const fn started_ms(&self) -> u64 {
        self.announcement.started_ms
    }

    /// Time of the newest statement.
    pub const fn received_at(&self) -> TimePoint {
        self.received_at
    }

    /// Whether it is still slow after its start.
    pub fn is_cold(&self, now: TimePoint) -> bool {
        now < self.cold_until
    }

    /// Load by this entry.
    pub fn own_load(&self, now: TimePoint) -> UpstreamLoad {
        UpstreamLoad {
            long_running: self.own_held(now),
            ..self.own
        }
    }

    /// Requests of this entry that run or wait here.
    pub const fn own_running(&self) -> u32 {
        self.own.running
    }

    /// Own runs that hold their places for long.
    fn own_held(&self, now: TimePoint) -> u32 {
        let long = |begun: &TimePoint| now.since(*begun) >= LONG_HOLD;
        self.begun.values().filter(|begun| long(begun)).count() as u32
    }

    /// Whether a place in the batch is free, as far as this entry knows.
    pub fn has_place(&self, slots: u32) -> bool {
        self.own.combined_with(self.others).running < slots
    }

    /// Expected wait for a place in the batch, in milliseconds.
    fn place_ms(&self, slots: u32, now: TimePoint) -> f64 {
        let load = self.own.combined_with(self.others);
        let held = (self.own_held(now) + self.others.long_running).min(slots.saturating_sub(1));
        let free = f64::from(slots.saturating_sub(held).max(1));
        let ahead = f64::from(load.running.saturating_sub(held)) + 1.0 - free;
        ahead.max(0.0) / free * self.hold_ms
    }

    /// Takes over the load by the other entries.
    pub const fn set_remote_load(&mut self, load: UpstreamLoad) {
        self.others = load;
    }

    /// Tokens of a prompt that it probably keeps.
    pub(crate) fn kept_tokens(&self, prompt: &PromptShape, trust: PartTrust) -> u64 {
        let cached = self.parts.cached_tokens(prompt);
        let own = prompt.parts.last().map_or(0, |part| part.tokens);
        let shared = prompt.input_tokens.saturating_sub(own);
        match trust {
            PartTrust::Known => shared.max(cached),
            PartTrust::Probable if cached == 0 => (shared as f64 * HOME_PART) as u64,
            PartTrust::Probable | PartTrust::None => cached,
        }
    }

    /// Time that reading a prompt takes up, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.speed
    }

    /// Expected time to the first event of a request that has `tokens` to read, in milliseconds.
    pub fn prompt_ms(&self, tokens: u64, slots: u32, timing: CallTiming, now: TimePoint) -> f64 {
        let load = self.own.combined_with(self.others);
        let queued_ms = load.tokens_ahead(timing) as f64 / self.speed;
        let wait_ms = queued_ms.max(self.seen_wait_ms(now));
        let place_ms = self.place_ms(slots, now);
        self.base_ms + wait_ms.max(place_ms) + self.prefill_ms(tokens)
    }

    /// Wait that requests on time have seen lately, in milliseconds. Counts of tokens miss what other
    /// entries have sent since their last report.
    fn seen_wait_ms(&self, now: TimePoint) -> f64 {
        let recent = self.recent_wait_ms * fading(now.since(self.observed));
        recent.max(self.stuck_ms(now))
    }

    /// Wait by requests that are stuck or refused, in milliseconds.
    fn stuck_ms(&self, now: TimePoint) -> f64 {
        let full = self
            .refused
            .map_or(0.0, |refused| FULL_WAIT_MS * fading(now.since(refused)));
        let waits = self.waiting.iter().map(|call| {
            let waited_ms = now.since(call.sent).as_secs_f64() * 1_000.0;
            waited_ms - call.prefill_ms - self.base_ms
        });
        waits.fold(full, f64::max)
    }

    /// Expected time to the first event of a request whose prompt was read elsewhere, in
    /// milliseconds.
    pub fn start_ms(&self, slots: u32, now: TimePoint) -> f64 {
        let running = self.own.combined_with(self.others).running;
        let share = f64::from(running) / f64::from(slots.max(1));
        let wait_ms = self.place_ms(slots, now).max(self.stuck_ms(now));
        self.base_ms + share * FIRST_STEP_MS + wait_ms
    }

    /// Expected time of a plain call, in milliseconds.
    pub fn call_ms(&self, mean_ms: f64, slots: u32) -> f64 {
        let load = self.own.combined_with(self.others);
        let ahead = f64::from(load.running) / f64::from(slots.max(1));
        mean_ms * (1.0 + ahead)
    }

    /// Counts a request as sent; `prefill_tokens` must be read here.
    pub fn dispatch(
        &mut self,
        prompt: Option<&PromptShape>,
        cache_tokens: u64,
        prefill_tokens: u64,
        timing: CallTiming,
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
                ticket.ahead_tokens = self.own.combined_with(self.others).tokens_ahead(timing);
            }
            self.parts.record(prompt, cache_tokens);
        }
        if prompt.is_some() && timing == CallTiming::OnTime {
            self.waiting.push_back(WaitingCall {
                number: ticket.number,
                sent: now,
                prefill_ms: ticket.prefill_tokens as f64 / self.speed,
            });
        }
        self.own = self.own.combined_with(ticket.load());
        ticket
    }

    /// A request is sent only now, because another engine had to read its prompt.
    pub fn mark_sent(&mut self, ticket: &DispatchTicket, now: TimePoint) {
        let call = self
            .waiting
            .iter_mut()
            .find(|call| call.number == ticket.number);
        if let Some(call) = call {
            call.sent = now;
        }
    }

    /// A request has shown its first answer, `elapsed` after it was sent and without the way there.
    pub fn record_first_answer(
        &mut self,
        ticket: &mut DispatchTicket,
        elapsed: Duration,
        now: TimePoint,
    ) {
        self.answered = Some(now);
        self.own = self.own.saturating_sub(ticket.load());
        ticket.answer_started = true;
        self.begun.insert(ticket.number, now);
        self.own = self.own.combined_with(ticket.load());
        self.forget_waiting(ticket);
        if ticket.timing == CallTiming::Late {
            return;
        }
        let answer_ms = elapsed.as_secs_f64() * 1_000.0;
        // Short prompts say nothing about the reading speed.
        if ticket.prefill_tokens >= MIN_SPEED_TOKENS {
            let tokens = (ticket.prefill_tokens + ticket.ahead_tokens) as f64;
            let prefill_ms = (answer_ms - self.base_ms).max(1.0);
            self.speed += (tokens / prefill_ms - self.speed) * SPEED_WEIGHT;
            self.speed = self.speed.max(1.0);
        }
        let rest_ms = answer_ms - ticket.prefill_tokens as f64 / self.speed;
        if rest_ms < self.base_ms {
            self.base_ms = rest_ms.max(0.0);
        } else {
            self.base_ms += (rest_ms - self.base_ms) * BASE_WEIGHT;
        }
        if ticket.prefill_tokens > 0 {
            self.recent_wait_ms = (rest_ms - self.base_ms).max(0.0);
            self.observed = now;
        }
    }

    /// The upstream has refused a request because it is full.
    pub const fn record_refusal(&mut self, now: TimePoint) {
        self.answered = Some(now);
        self.refused = Some(now);
    }

    /// A request no longer runs.
    pub fn finish(&mut self, ticket: &DispatchTicket, now: TimePoint) {
        self.own = self.own.saturating_sub(ticket.load());
        let held = self
            .begun
            .swap_remove(&ticket.number)
            .map(|begun| now.since(begun));
        if let Some(held) = held.filter(|held| *held < LONG_HOLD) {
            let held_ms = held.as_secs_f64() * 1_000.0 + FIRST_STEP_MS;
            self.hold_ms += (held_ms - self.hold_ms) * HOLD_WEIGHT;
        }
        self.forget_waiting(ticket);
    }

    fn forget_waiting(&mut self, ticket: &DispatchTicket) {
        let place = self
            .waiting
            .iter()
            .position(|call| call.number == ticket.number);
        if let Some(place) = place {
            self.waiting.remove(place);
        }
    }
}

/// Part of an observation that still counts after a time.
fn fading(age: Duration) -> f64 {
    let age_ms = age.as_secs_f64() * 1_000.0;
    (1.0 - age_ms / WAIT_MEMORY_MS).max(0.0)
}
